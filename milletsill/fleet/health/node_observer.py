"""Turns the results of this gateway's own attempts into observations of nodes.

An observation holds the share of failed attempts, the share of late answers and the
relative pace. The pace is the latency per unit of work, divided by the load per core.
The relative pace compares it with the usual pace of nodes of the same kind and size for
requests of about the same size. No I/O, no clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Sequence
from math import exp, log2
from statistics import median
from typing import NamedTuple

from milletsill.fleet.health.report_store import NodeObservation
from milletsill.fleet.health.tuning import (
    DOUBLINGS_PER_SIZE_CLASS,
    MAX_PACE_CLASSES,
    MAX_RELATIVE_PACE,
    MIN_ANSWERS,
    MIN_PACE_SAMPLES,
    OBSERVATION_DECAY_TIME,
    PACE_WINDOW,
)
from milletsill.interface import AttemptOutcome, AttemptResult, Endpoint, Request

FAILED_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.RESET,
    AttemptOutcome.ERROR,
)
# Attempts that were cancelled, withdrawn or rejected by a full node say nothing about
# the node's health.
OBSERVED_OUTCOMES = (*FAILED_OUTCOMES, AttemptOutcome.SUCCEEDED)
SLOW_PACE = 1.0  # log2 over the usual pace; slower answers are reported at once


class RunningMedian:
    """The median of the latest PACE_WINDOW paces (log2).

    To save time it is recomputed only once an eighth of the paces are new.
    """

    def __init__(self) -> None:
        self._latest: deque[float] = deque(maxlen=PACE_WINDOW)
        self._median = 0.0
        self._until_recomputed = 0

    def add(self, pace: float) -> float | None:
        """Add a pace; return its difference from the median, None with few samples."""
        self._latest.append(pace)
        self._until_recomputed -= 1
        if self._until_recomputed <= 0:
            self._median = median(self._latest)
            self._until_recomputed = len(self._latest) // 8
        if len(self._latest) < MIN_PACE_SAMPLES:
            return None
        return pace - self._median


class NodeStatistics:
    """Sums over one node's latest attempt results, which decay exponentially.

    Attributes:
        updated_at: The time up to which decay has been applied.
        answers: Number of results.
        lost: Number of failed attempts among them.
        wasted: Number of results that failed or exceeded the latency objective.
        paced: Number of results with a relative pace.
        pace: Sum of the relative paces (log2).
        reported: Whether the last report includes all results.
    """

    __slots__ = (
        "answers",
        "lost",
        "pace",
        "paced",
        "reported",
        "updated_at",
        "wasted",
    )

    def __init__(self, now: int) -> None:
        self.updated_at = now
        self.answers = 0.0
        self.lost = 0.0
        self.wasted = 0.0
        self.paced = 0.0
        self.pace = 0.0
        self.reported = True

    def add(self, lost: bool, wasted: bool, relative_pace: float | None) -> None:
        """Add a result; `relative_pace` is log2 of its pace over the usual pace."""
        self.answers += 1
        self.lost += lost
        self.wasted += wasted
        self.reported = False
        if relative_pace is not None:
            self.paced += 1
            self.pace += min(max(relative_pace, -MAX_RELATIVE_PACE), MAX_RELATIVE_PACE)

    def decay(self, now: int) -> None:
        """Apply the decay of the sums up to `now`."""
        remaining = exp(-max(now - self.updated_at, 0) / OBSERVATION_DECAY_TIME)
        self.updated_at = now
        self.answers *= remaining
        self.lost *= remaining
        self.wasted *= remaining
        self.paced *= remaining
        self.pace *= remaining

    def observation(self, now: int) -> NodeObservation:
        """Return an observation from the sums; its sequence number is set later."""
        return NodeObservation(
            0,
            now,
            self.answers,
            self.lost / self.answers,
            self.wasted / self.answers,
            self.paced,
            self.pace / self.paced if self.paced > 0 else 0.0,
        )


StatisticsByNode = dict[int, NodeStatistics]


def has_unreported(statistics: StatisticsByNode, nodes: Iterable[int]) -> bool:
    """Return whether any of the nodes has unreported results.

    Few gateways probe a flagged node, so each of their observations matters.
    """
    return any(node in statistics and not statistics[node].reported for node in nodes)


def take_unreported(
    statistics: StatisticsByNode, now: int
) -> dict[int, NodeObservation]:
    """Return observations of nodes with unreported results; mark these as reported."""
    observations = {}
    for node, each in statistics.items():
        if each.reported:
            continue
        each.decay(now)
        each.reported = True
        if each.answers > MIN_ANSWERS:
            observations[node] = each.observation(now)
    return observations


class PaceClass(NamedTuple):
    """Class of answers with one usual pace; a tuple, as it is a key for each answer."""

    node_kind: int
    node_size: float
    is_write: bool
    size_class: int


class NodeObserver:
    """Collects one gateway's attempt results by node.

    Args:
        latency_objectives: Latency objective of each request class, in tenths of a
            millisecond.
    """

    def __init__(self, latency_objectives: Sequence[int]) -> None:
        self.latency_objectives = latency_objectives
        self.statistics: StatisticsByNode = {}
        self.has_urgent_results = False  # a failure or slow answer is unreported
        self._usual_paces: dict[PaceClass, RunningMedian] = {}
        self._endpoints: dict[int, Endpoint] = {}

    def on_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Store the endpoint list's entries for some nodes."""
        for endpoint in endpoints:
            self._endpoints[endpoint.node] = endpoint

    def keep_only(self, nodes: Collection[int]) -> None:
        """Remove all nodes except those given."""
        for node in [each for each in self.statistics if each not in nodes]:
            del self.statistics[node]
        for node in [each for each in self._endpoints if each not in nodes]:
            del self._endpoints[node]

    def on_attempt_result(
        self, now: int, request: Request, result: AttemptResult
    ) -> None:
        """Add the result of one attempt to its node's statistics."""
        endpoint = self._endpoints.get(result.node)
        if endpoint is None or result.outcome not in OBSERVED_OUTCOMES:
            return
        statistics = self.statistics.get(result.node)
        if statistics is None:
            statistics = NodeStatistics(now)
            self.statistics[result.node] = statistics
        statistics.decay(now)
        lost = result.outcome is not AttemptOutcome.SUCCEEDED
        objective = self.latency_objectives[request.request_class]
        late = not lost and result.latency > objective
        pace = None if lost else self._relative_pace(endpoint, request, result)
        statistics.add(lost, lost or late, pace)
        self.has_urgent_results |= lost or (pace is not None and pace > SLOW_PACE)

    def _relative_pace(
        self, endpoint: Endpoint, request: Request, result: AttemptResult
    ) -> float | None:
        """Return log2 of the pace over the usual pace; None if that is unknown.

        A node that does not report its load counts as idle. If it is busy, it looks
        slow, and only the limits on flagged nodes keep it in use.
        """
        cores = max(endpoint.size, 1.0)
        load = result.load_report
        queued_and_busy = load.get("queue", 0.0) + load.get("busy", 0.0) * cores
        in_progress = load.get("inflight", queued_and_busy)
        latency_per_unit = max(result.latency, 1) / max(request.units, 1e-6)
        pace = log2(latency_per_unit / max((in_progress + 1) / cores, 1.0))
        pace_class = PaceClass(
            endpoint.kind,
            endpoint.size,
            request.is_write,
            int(log2(max(request.units, 1)) / DOUBLINGS_PER_SIZE_CLASS),
        )
        usual = self._usual_paces.get(pace_class)
        if usual is None:
            if len(self._usual_paces) >= MAX_PACE_CLASSES:
                return None
            usual = RunningMedian()
            self._usual_paces[pace_class] = usual
        return usual.add(pace)

    def take_observations(self, now: int) -> dict[int, NodeObservation]:
        """Return the unreported observations, for the next report."""
        self.has_urgent_results = False
        return take_unreported(self.statistics, now)
