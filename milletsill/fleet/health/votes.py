"""Collects, weights and tallies the votes of the origins on each node.

Each origin has at most one vote on a node. Weights and trimming bound the effect on a
tally of origins that have a fault themselves or report false observations.
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
    BAD_WEIGHT_DECAY_TIME,
    IMPAIRED_LOSS,
    IMPAIRED_PACE,
    MAX_TRIMMED_WEIGHT,
    MIN_ANSWERS,
    OBSERVATION_DECAY_TIME,
    SECOND,
    TOLERATED_BAD_WEIGHT,
    TRIMMED_GATEWAY_SHARE,
)


@dataclass(slots=True)
class Vote:
    """One origin's vote on one node; each weight is at most 1."""

    origin: int
    weight: float
    lost_share: float
    wasted_share: float
    paced_weight: float
    relative_pace: float

    @property
    def is_bad(self) -> bool:
        """Whether the vote is against the node."""
        return self.lost_share > IMPAIRED_LOSS or (
            self.paced_weight > 0 and self.relative_pace > 2 * IMPAIRED_PACE
        )


@dataclass(slots=True)
class VoteTally:
    """Tally of all votes on one node; each weight is a sum over the votes."""

    weight: float = 0.0
    lost_share: float = 0.0
    wasted_share: float = 0.0
    relative_pace: float = 0.0
    paced_weight: float = 0.0


VotesByNode = dict[int, list[Vote]]


def collect_votes(
    store: ReportStore, decay_times: Mapping[int, float], now: int
) -> VotesByNode:
    """Return votes on nodes from observations that are recent enough.

    Args:
        store: All reports.
        decay_times: The nodes to vote on, each with the time constant for the decay of
            its observations.
        now: The current time.
    """
    votes: VotesByNode = {}
    since = now - 4 * OBSERVATION_DECAY_TIME
    for report in store.reports.values():
        for node, observation in report.observations.items():
            if observation.observed_at < since or node not in decay_times:
                continue
            age = max(now - observation.observed_at, 0)
            remaining = exp(-age / decay_times[node])
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
    """Return the answers per second and node of the median origin."""
    since = now - OBSERVATION_DECAY_TIME
    answers = [
        sum(
            observation.answers
            for observation in report.observations.values()
            if observation.observed_at >= since
        )
        for report in store.reports.values()
    ]
    return median(answers or [0.0]) / (OBSERVATION_DECAY_TIME / SECOND) / max(nodes, 1)


def _all_votes(votes: VotesByNode) -> Iterator[Vote]:
    for votes_on_node in votes.values():
        yield from votes_on_node


class VoteWeighting:
    """Weights the votes of each origin, also by its bad votes in the past.

    The weights limit three kinds of origin: a gateway that has a fault itself and so
    votes against all nodes it uses, a gateway that claims many more answers than others
    do, and a gateway that votes against the same nodes all the time. The cost: correct
    votes of such an origin have less weight.
    """

    def __init__(self) -> None:
        self._smoothed_bad: dict[int, float] = {}

    def apply(self, votes: VotesByNode, elapsed: int) -> None:
        """Weight each vote by its origin, `elapsed` after the last evaluation."""
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
        new_part = 1 - exp(-elapsed / BAD_WEIGHT_DECAY_TIME)
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
        allowed_bad = 2 * median_bad + TOLERATED_BAD_WEIGHT
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
    """Return the weight for an excess of bad votes over the median origin's share."""
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
    """Return the tally of the votes on one node, with the worst votes trimmed.

    Args:
        votes: Weighted votes on the node, by origins that may send to it.
        members: Number of gateways in the view.
        share: Share of the members that may send to the node.
    """
    weight = sum(vote.weight for vote in votes)
    if weight <= 0:
        return VoteTally()
    trimmed = max(
        min(TRIMMED_GATEWAY_SHARE * members * share, weight * MAX_TRIMMED_WEIGHT),
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
    """Return the weighted median of the values; 0 if there are none."""
    remaining = sum(weight for _, weight in values_and_weights) / 2
    for value, weight in sorted(values_and_weights):
        remaining -= weight
        if remaining <= 0:
            return value
    return 0.0
