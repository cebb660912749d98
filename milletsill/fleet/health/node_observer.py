"""Results of this gateway's own attempts, as observations of nodes.

An observation says what failed, what came late, and the pace: the latency beside the
usual one of nodes of the same kind with as much in progress, for requests of about the
same size. No I/O, no clock.
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
    OBSERVATION_FADE,
    PACE_WINDOW,
)
from milletsill.interface import AttemptOutcome, AttemptResult, Endpoint, Request

FAILED_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.RESET,
    AttemptOutcome.ERROR,
)
# What was withdrawn, rejected by a full node or overtaken says nothing of its health.
OBSERVED_OUTCOMES = (*FAILED_OUTCOMES, AttemptOutcome.SUCCEEDED)
SLOW_PACE = 1.0  # log2 beyond the usual pace, from which on an answer is bad news


class RunningMedian:
    """The median of the latest paces, as log2; recomputed now and then."""

    def __init__(self) -> None:
        self._latest: deque[float] = deque(maxlen=PACE_WINDOW)
        self._median = 0.0
        self._until_recomputed = 0

    def learn(self, pace: float) -> float | None:
        """Add a pace; return how far it is from the median, None if unknown yet."""
        self._latest.append(pace)
        self._until_recomputed -= 1
        if self._until_recomputed <= 0:
            self._median = median(self._latest)
            self._until_recomputed = len(self._latest) // 8
        if len(self._latest) < MIN_PACE_SAMPLES:
            return None
        return pace - self._median


class NodeStatistics:
    """Sums over one node's latest answers, which all fade alike.

    Attributes:
        updated_at: Until when the sums have faded.
        answers: Number of answers.
        lost: Of these, failed attempts.
        wasted: Of these, failed or later than their target.
        paced: Of these, with a pace.
        pace: Sum of the relative paces, as log2.
        reported: Whether all of this is in the last report.
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
        """Add one answer; `relative_pace` is log2 of its pace over the usual one."""
        self.answers += 1
        self.lost += lost
        self.wasted += wasted
        self.reported = False
        if relative_pace is not None:
            self.paced += 1
            self.pace += min(max(relative_pace, -MAX_RELATIVE_PACE), MAX_RELATIVE_PACE)

    def fade(self, now: int) -> None:
        """Let the sums fade until `now`."""
        remaining = exp(-max(now - self.updated_at, 0) / OBSERVATION_FADE)
        self.updated_at = now
        self.answers *= remaining
        self.lost *= remaining
        self.wasted *= remaining
        self.paced *= remaining
        self.pace *= remaining

    def observation(self, now: int) -> NodeObservation:
        """Return the sums as an observation that has no sequence number yet."""
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


def has_news_of(statistics: StatisticsByNode, nodes: Iterable[int]) -> bool:
    """Return whether there is anything unreported of one of the nodes.

    Few gateways try a called node, so that each of their observations counts.
    """
    return any(node in statistics and not statistics[node].reported for node in nodes)


def take_unreported(
    statistics: StatisticsByNode, now: int
) -> dict[int, NodeObservation]:
    """Return what was not reported yet, and mark it as reported."""
    observations = {}
    for node, each in statistics.items():
        if each.reported:
            continue
        each.fade(now)
        each.reported = True
        if each.answers > MIN_ANSWERS:
            observations[node] = each.observation(now)
    return observations


class PaceClass(NamedTuple):
    """Answers whose paces are compared; a tuple, since each answer looks it up."""

    node_kind: int
    node_size: float
    is_write: bool
    size_class: int


class NodeObserver:
    """All nodes as one gateway sees them.

    Args:
        latency_objectives: Target time of each request class, in tenths of a
            millisecond.
    """

    def __init__(self, latency_objectives: Sequence[int]) -> None:
        self.latency_objectives = latency_objectives
        self.statistics: StatisticsByNode = {}
        self.has_bad_news = False  # an answer since the last report was lost or slow
        self._usual_paces: dict[PaceClass, RunningMedian] = {}
        self._endpoints: dict[int, Endpoint] = {}

    def on_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Take what the endpoint list says of some nodes."""
        for endpoint in endpoints:
            self._endpoints[endpoint.node] = endpoint

    def keep_only(self, nodes: Collection[int]) -> None:
        """Forget the nodes that are no longer listed."""
        for node in [each for each in self.statistics if each not in nodes]:
            del self.statistics[node]
        for node in [each for each in self._endpoints if each not in nodes]:
            del self._endpoints[node]

    def on_attempt_result(
        self, now: int, request: Request, result: AttemptResult
    ) -> None:
        """Take the end of one attempt into the node's statistics."""
        endpoint = self._endpoints.get(result.node)
        if endpoint is None or result.outcome not in OBSERVED_OUTCOMES:
            return
        statistics = self.statistics.get(result.node)
        if statistics is None:
            statistics = NodeStatistics(now)
            self.statistics[result.node] = statistics
        statistics.fade(now)
        lost = result.outcome is not AttemptOutcome.SUCCEEDED
        objective = self.latency_objectives[request.request_class]
        late = not lost and result.latency > objective
        pace = None if lost else self._relative_pace(endpoint, request, result)
        statistics.add(lost, lost or late, pace)
        self.has_bad_news |= lost or (pace is not None and pace > SLOW_PACE)

    def _relative_pace(
        self, endpoint: Endpoint, request: Request, result: AttemptResult
    ) -> float | None:
        """Return log2 of the pace over the usual one; None if that is unknown.

        A node that does not report its load is taken as one with nothing in progress:
        a busy one then looks slow, and only the limits on verdicts hold.
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
        return usual.learn(pace)

    def take_observations(self, now: int) -> dict[int, NodeObservation]:
        """Return what was not reported yet, for the next report."""
        self.has_bad_news = False
        return take_unreported(self.statistics, now)
