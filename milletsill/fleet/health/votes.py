"""Votes of the origins on each node: collected, weighed, and tallied.

Each origin has at most one vote on each node. What an origin that is impaired itself,
or that lies, can do to a tally is bounded by weights and by trimming.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import exp
from statistics import median

from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking, is_admitted
from milletsill.fleet.health.report_store import ReportStore
from milletsill.fleet.health.tuning import (
    BAD_SHARE_REJECTED,
    BAD_SHARE_TOLERATED,
    BAD_WEIGHT_FADE,
    BAD_WEIGHT_FREE,
    IMPAIRED_LOSS,
    IMPAIRED_PACE,
    MAX_TRIMMED_WEIGHT,
    MIN_ANSWERS,
    OBSERVATION_FADE,
    SECOND,
    TRIMMED_GATEWAYS,
)


@dataclass(slots=True)
class Vote:
    """What one origin says of one node; the weights are at most 1."""

    origin: int
    weight: float
    lost_share: float
    wasted_share: float
    paced_weight: float
    relative_pace: float

    @property
    def is_bad(self) -> bool:
        """Whether it speaks against the node."""
        return self.lost_share > IMPAIRED_LOSS or (
            self.paced_weight > 0 and self.relative_pace > 2 * IMPAIRED_PACE
        )


@dataclass(slots=True)
class VoteTally:
    """What all origins say of one node; the weights are sums over the votes."""

    weight: float = 0.0
    lost_share: float = 0.0
    wasted_share: float = 0.0
    relative_pace: float = 0.0
    paced_weight: float = 0.0


VotesByNode = dict[int, list[Vote]]


def collect_votes(
    store: ReportStore, fade_by_node: Mapping[int, float], now: int
) -> VotesByNode:
    """Return the votes on the given nodes, of observations that have not faded.

    Args:
        store: All reports.
        fade_by_node: The time constant of fading for each node to be voted on.
        now: Present time.
    """
    votes: VotesByNode = {}
    since = now - 4 * OBSERVATION_FADE
    for report in store.reports.values():
        for node, observation in report.observations.items():
            if observation.observed_at < since or node not in fade_by_node:
                continue
            age = max(now - observation.observed_at, 0)
            remaining = exp(-age / fade_by_node[node])
            if observation.answers * remaining <= MIN_ANSWERS:
                continue
            vote = Vote(
                report.origin,
                min(observation.answers * remaining, 1.0),
                observation.lost_share,
                observation.wasted_share,
                min(observation.paced_answers * remaining, 1.0),
                observation.relative_pace,
            )
            votes.setdefault(node, []).append(vote)
    return votes


def median_answer_rate(store: ReportStore, nodes: int, now: int) -> float:
    """Return the answers a second of the median origin from one of so many nodes."""
    since = now - OBSERVATION_FADE
    answers = [
        sum(
            observation.answers
            for observation in report.observations.values()
            if observation.observed_at >= since
        )
        for report in store.reports.values()
    ]
    return median(answers or [0.0]) / (OBSERVATION_FADE / SECOND) / max(nodes, 1)


def _all_votes(votes: VotesByNode) -> Iterator[Vote]:
    for votes_on_node in votes.values():
        yield from votes_on_node


class VoteWeighting:
    """Weights of the origins, which remember who spoke against nodes for long.

    This guards against a gateway that is impaired itself (it speaks against all nodes
    that it sees), one that claims to see more than others do, and those that speak
    against the same nodes without pause. The price: a true vote of such an origin
    weighs less.
    """

    def __init__(self) -> None:
        self._smoothed_bad: dict[int, float] = {}

    def apply(self, votes: VotesByNode, elapsed: int) -> None:
        """Multiply each vote by its origin's weight, `elapsed` after the last time."""
        total: dict[int, float] = {}
        bad: dict[int, float] = {}
        for vote in _all_votes(votes):
            origin = vote.origin
            total[origin] = total.get(origin, 0.0) + vote.weight
            bad[origin] = bad.get(origin, 0.0) + vote.weight * vote.is_bad
        if not total:
            return
        self._smooth(total, bad, elapsed)
        weights = self._weights(total, bad)
        for vote in _all_votes(votes):
            vote.weight *= weights[vote.origin]
            vote.paced_weight *= weights[vote.origin]

    def _smooth(
        self, total: dict[int, float], bad: dict[int, float], elapsed: int
    ) -> None:
        smoothed = self._smoothed_bad
        new_part = 1 - exp(-elapsed / BAD_WEIGHT_FADE)
        self._smoothed_bad = {
            origin: smoothed.get(origin, 0.0) * (1 - new_part)
            + bad.get(origin, 0.0) * new_part
            for origin in total | smoothed
            if origin in total or smoothed.get(origin, 0.0) > MIN_ANSWERS
        }

    def _weights(
        self, total: dict[int, float], bad: dict[int, float]
    ) -> dict[int, float]:
        median_total = median(total.values())
        median_share = median(bad[origin] / total[origin] for origin in total)
        median_bad = median(self._smoothed_bad.get(origin, 0.0) for origin in total)
        allowed_bad = 2 * median_bad + BAD_WEIGHT_FREE
        weights = {}
        for origin, weight in total.items():
            excess = bad[origin] / weight - median_share if weight > 1 else 0.0
            weights[origin] = (
                min(2 * median_total / weight, 1.0)
                * min(allowed_bad / max(self._smoothed_bad[origin], 1e-9), 1.0) ** 2
                * _weight_for_excess(excess)
            )
        return weights


def _weight_for_excess(excess: float) -> float:
    """Return the weight for a share of bad votes so far beyond the median origin's."""
    span = BAD_SHARE_REJECTED - BAD_SHARE_TOLERATED
    return min(max((BAD_SHARE_REJECTED - excess) / span, 0.0), 1.0)


def admitted_votes(
    votes: Iterable[Vote],
    members: int,
    share: float,
    ranking: RendezvousRanking,
    node: int,
) -> list[Vote]:
    """Return the votes of the origins that may send to a node."""
    places = ranking.places(node)
    return [
        vote
        for vote in votes
        if is_admitted(places.get(vote.origin, members), members, share)
    ]


def tally_votes(votes: Sequence[Vote], members: int, share: float) -> VoteTally:
    """Sum up votes on one node; the worst of a few do not count.

    Args:
        votes: Weighed votes on the node, by origins that may send to it.
        members: Number of gateways in the view.
        share: Share of them that may send to the node.
    """
    weight = sum(vote.weight for vote in votes)
    if weight <= 0:
        return VoteTally()
    trimmed = max(
        min(TRIMMED_GATEWAYS * members * share, weight * MAX_TRIMMED_WEIGHT),
        min(1.0, weight / 3),
    )
    counted = weight - trimmed
    lost = sum(vote.weight * vote.lost_share for vote in votes)
    wasted = sum(vote.weight * vote.wasted_share for vote in votes)
    return VoteTally(
        weight,
        max(lost - trimmed, 0.0) / counted,
        max(wasted - trimmed, 0.0) / counted,
        weighted_median(
            [
                (vote.relative_pace, vote.paced_weight)
                for vote in votes
                if vote.paced_weight > 0
            ]
        ),
        sum(vote.paced_weight for vote in votes),
    )


def weighted_median(values_and_weights: Sequence[tuple[float, float]]) -> float:
    """Return the median of values with weights; 0 for none."""
    remaining = sum(weight for _, weight in values_and_weights) / 2
    for value, weight in sorted(values_and_weights):
        remaining -= weight
        if remaining <= 0:
            return value
    return 0.0
