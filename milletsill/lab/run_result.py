"""The result of a scenario run: summaries of its processes, findings of the audit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypedDict

from milletsill.lab.audit_fleet import VerdictSpread, ViewAgreement
from milletsill.lab.breaches import Breach
from milletsill.lab.contract_figures import ContractFigures


class LoadSummary(TypedDict):
    """The contents of `load.json`, which the process of clients writes."""

    rows: list[dict[str, Any]]
    latency_ms: dict[str, dict[str, float]]
    counted: dict[str, float]
    counts: dict[str, int]
    operations: int
    unended: int
    worst_lag_ms: float
    late: list[dict[str, float]]


class ChannelsSummary(TypedDict):
    """The contents of `channels.json`, which the process of channel clients writes."""

    latency_ms: dict[str, dict[str, float]]
    counts: dict[str, int]
    worst_lag_ms: float
    connections: int
    unended: int


@dataclass(frozen=True, slots=True)
class FleetResult:
    """How views and health verdicts converged; `start` is on the monotonic clock."""

    start: float
    agreements: list[ViewAgreement]
    false_deaths: list[str]
    spreads: list[VerdictSpread]
    traffic: dict[str, float]

    @property
    def views_agree(self) -> bool:
        """Whether views agreed after the last fault and until the end."""
        return self.agreements[-1].took is not None


@dataclass(frozen=True, slots=True)
class ChannelsResult:
    """The counts of clients with channels, and the audit of the ordering contracts."""

    summary: ChannelsSummary
    breaches: dict[str, list[Breach]]
    figures: dict[str, ContractFigures]


@dataclass(slots=True)
class RunResult:
    """The data of a run's report.

    Attributes:
        exits: Exit codes of the gateway processes.
        faults: Names of the logs that contain an uncaught exception.
        starved: Seconds in which gateways were ready to run but had no core.
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
