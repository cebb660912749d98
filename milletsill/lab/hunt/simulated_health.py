"""Test doubles around shared health at a gateway of a simulated fleet."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, Protocol

from milletsill.fleet.health.report_store import NodeObservation


def ignore_log(event: str, /, **fields: Any) -> None:
    """Discard a log event."""


@dataclass(frozen=True, slots=True)
class RecordedAdvice:
    """The latest advice on a node."""

    until: int
    avoid: bool


class AdviceRecorder:
    """Stands in for the scheduler and records the health advice it receives."""

    def __init__(self) -> None:
        self.on_attempt_ended: Any = None
        self.advice: dict[int, RecordedAdvice] = {}

    def on_health_advice(self, node: int, load: float, avoid: bool, until: int) -> None:
        """Record advice on a node that is valid until a time."""
        self.advice[node] = RecordedAdvice(until, avoid)

    def avoids(self, node: int, now: int) -> bool:
        """Return whether current advice is to avoid a node."""
        advice = self.advice.get(node)
        return advice is not None and advice.avoid and advice.until > now


@dataclass(frozen=True, slots=True)
class RecentStatistics:
    """Statistics of a node with results that were not reported yet."""

    reported: bool = False


class ObservationSource(Protocol):
    """Supplies a gateway's simulated observations of the nodes."""

    def nodes_in_use(self) -> Collection[int]:
        """Return the nodes that the gateway sends to."""

    def sees_failing_nodes(self) -> bool:
        """Return whether the gateway sees a failing or slow node."""

    def observe(self) -> dict[int, NodeObservation]:
        """Return the gateway's recent observations, by node."""


class SimulatedObserver:
    """Stands in for `NodeObserver` and returns simulated observations."""

    def __init__(self, source: ObservationSource) -> None:
        self.source = source

    @property
    def statistics(self) -> dict[int, RecentStatistics]:
        """Unreported statistics of each node in use."""
        return {node: RecentStatistics() for node in self.source.nodes_in_use()}

    @property
    def has_urgent_results(self) -> bool:
        """Whether a result since the last report was lost or slow."""
        return self.source.sees_failing_nodes()

    def take_observations(self, now: int) -> dict[int, NodeObservation]:
        """Return the observations since the last report."""
        return self.source.observe()

    def on_attempt_result(self, *result: object) -> None:
        """Ignore the result of an attempt; observations are simulated."""

    def keep_only(self, nodes: Collection[int]) -> None:
        """Do nothing, since no state is kept per node."""


def evaluate_nothing() -> None:
    """Replaces the evaluation at a gateway that does not evaluate nodes."""
