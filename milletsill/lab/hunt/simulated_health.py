"""What stands around shared health at a gateway of a simulated fleet."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, Protocol

from milletsill.fleet.health.report_store import NodeObservation


def ignore_log(event: str, /, **fields: Any) -> None:
    """Take a log event, which nobody reads here."""


@dataclass(frozen=True, slots=True)
class RecordedAdvice:
    """The latest advice on a node."""

    until: int
    avoid: bool


class AdviceRecorder:
    """In the place of the scheduler: it keeps the advice that it is given."""

    def __init__(self) -> None:
        self.on_attempt_ended: Any = None
        self.advice: dict[int, RecordedAdvice] = {}

    def on_health_advice(self, node: int, load: float, avoid: bool, until: int) -> None:
        """Take advice on a node, until a time."""
        self.advice[node] = RecordedAdvice(until, avoid)

    def avoids(self, node: int, now: int) -> bool:
        """Return whether a node is to be avoided now."""
        advice = self.advice.get(node)
        return advice is not None and advice.avoid and advice.until > now


@dataclass(frozen=True, slots=True)
class RecentStatistics:
    """Statistics of a node of which there is news."""

    reported: bool = False


class ObservationSource(Protocol):
    """What a gateway would see of the nodes."""

    def nodes_in_use(self) -> Collection[int]:
        """Return the nodes that it sends to."""

    def sees_trouble(self) -> bool:
        """Return whether it sees a node fail or slow."""

    def observe(self) -> dict[int, NodeObservation]:
        """Return what it saw lately."""


class SimulatedObserver:
    """In the place of `NodeObserver`: it reports what the simulation says."""

    def __init__(self, source: ObservationSource) -> None:
        self.source = source

    @property
    def statistics(self) -> dict[int, RecentStatistics]:
        """News of each node in use."""
        return {node: RecentStatistics() for node in self.source.nodes_in_use()}

    @property
    def has_urgent_results(self) -> bool:
        """Whether an answer since the last report was lost or slow."""
        return self.source.sees_trouble()

    def take_observations(self, now: int) -> dict[int, NodeObservation]:
        """Return what was seen since the last report."""
        return self.source.observe()

    def on_attempt_result(self, *result: object) -> None:
        """Take the end of an attempt, which has no part here."""

    def keep_only(self, nodes: Collection[int]) -> None:
        """Forget nodes, of which nothing is kept here."""


def evaluate_nothing() -> None:
    """SimulatedMember in for the evaluation at a gateway that does not judge nodes."""
