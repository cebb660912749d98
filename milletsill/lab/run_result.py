"""What a scenario run came to: summaries of its processes, findings of the audit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypedDict

from milletsill.lab.audit_fleet import VerdictSpread, ViewAgreement
from milletsill.lab.breaches import Breach
from milletsill.lab.contract_figures import ContractFigures


class LoadSummary(TypedDict):
    """What the process of clients stored: the keys of `load.json`."""

    rows: list[dict[str, Any]]
    latency_ms: dict[str, dict[str, float]]
    counted: dict[str, float]
    counts: dict[str, int]
    operations: int
    unended: int
    worst_lag_ms: float
    late: list[dict[str, float]]


class ChannelsSummary(TypedDict):
    """What the process of clients with channels stored: keys of `channels.json`."""

    latency_ms: dict[str, dict[str, float]]
    counts: dict[str, int]
    worst_lag_ms: float
    connections: int
    unended: int


@dataclass(frozen=True, slots=True)
class FleetResult:
    """How views and verdicts came to agree; `start` on the monotonic clock."""

    start: float
    agreements: list[ViewAgreement]
    false_deaths: list[str]
    spreads: list[VerdictSpread]
    traffic: dict[str, float]

    @property
    def views_agree(self) -> bool:
        """Whether views agreed after the last mark and to the end."""
        return self.agreements[-1].took is not None


@dataclass(frozen=True, slots=True)
class ChannelsResult:
    """What clients with channels counted, and the audit of the contracts."""

    summary: ChannelsSummary
    breaches: dict[str, list[Breach]]
    figures: dict[str, ContractFigures]


@dataclass(slots=True)
class RunResult:
    """All that a run's report says.

    `exits` are gateway processes' exit codes, `faults` logs with a fault that nobody
    caught, `starved` seconds that the machine gave gateways no core.
    """

    module: str
    load: LoadSummary
    breaches: dict[int, list[Breach]]
    command_count: int
    attempt_count: int
    exits: list[int | str | None]
    faults: list[str]
    starved: float
    planned: bool
    flows: dict[str, object] = field(default_factory=dict)
    fleet: FleetResult | None = None
    channels: ChannelsResult | None = None
