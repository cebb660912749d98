"""Verdicts on nodes from the reports of all gateways. No I/O, no clock, no chance.

`HealthEvaluator.evaluate` is a function of the reports, the view and what the evaluator
held before. Gateways with equal reports and views agree within a few evaluations.
Times are whole tenths of a millisecond. See docs/health.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median

from milletsill.fleet.health.node_verdict import NodeVerdict
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking, is_admitted
from milletsill.fleet.health.report_store import ReportStore
from milletsill.fleet.health.tuning import (
    MIN_PACED_VOTES,
    MIN_PROBERS,
    OBSERVATION_FADE,
    OVERLOADED_WASTE,
    PROBER_LOAD_FACTOR,
    PROBES_PER_SECOND,
    WARM_UP,
)
from milletsill.fleet.health.verdict_table import (
    HealthFinding,
    HealthVerdict,
    next_verdict,
)
from milletsill.fleet.health.votes import (
    VoteWeighting,
    admitted_votes,
    collect_votes,
    median_answer_rate,
    tally_votes,
)

ShardByNode = Mapping[int, int | None]


@dataclass(frozen=True, slots=True)
class VerdictChange:
    """A verdict that changed, and on what grounds."""

    node: int
    previous: HealthVerdict
    current: HealthVerdict
    cause: str


@dataclass(frozen=True, slots=True)
class NodeAdvice:
    """Advice to one gateway on a node that is not HEALTHY.

    Attributes:
        load_factor: What speaks against the node, in shortest target times.
        avoid: Whether this gateway should send it nothing.
    """

    load_factor: float
    avoid: bool


class HealthEvaluator:
    """Verdicts of one gateway on all nodes.

    Args:
        max_called_share: Share of the nodes, and of a shard's, that may be called ill
            at once.
    """

    def __init__(self, max_called_share: float) -> None:
        self.max_called_share = max_called_share
        self.nodes: dict[int, NodeVerdict] = {}
        self.disregarded = 0  # nodes over the limit at the last evaluation
        self._weighting = VoteWeighting()
        self._answer_rate = 0.0  # a second, of the median gateway from one node
        self._evaluated_at = 0
        self._first_at: int | None = None

    def evaluate(
        self,
        store: ReportStore,
        members: int,
        ranking: RendezvousRanking,
        shards: ShardByNode,
        now: int,
    ) -> list[VerdictChange]:
        """Evaluate all reports once.

        Args:
            store: All reports.
            members: Number of gateways in the view.
            ranking: Each origin's place for a node.
            shards: The listed nodes, with their shards.
            now: Present time.

        Returns:
            The verdicts that changed; none until the warm-up is over, since the few
            reports that come first could mislead.
        """
        self._track(shards)
        self._tally(store, members, ranking, now)
        if self._first_at is None:
            self._first_at = now
        if now - self._first_at < WARM_UP:
            return []
        findings = {node: held.find() for node, held in self.nodes.items()}
        self._limit_called(findings, shards)
        overloaded = self._median_waste() > OVERLOADED_WASTE
        changes = []
        for node, finding in findings.items():
            held = self.nodes[node]
            change = self.apply_finding(node, held, finding, members, overloaded)
            if change is not None:
                changes.append(change)
        return changes

    def _track(self, shards: ShardByNode) -> None:
        """Hold a verdict on each listed node, and on no other."""
        for node in [each for each in self.nodes if each not in shards]:
            del self.nodes[node]
        for node in shards:
            self.nodes.setdefault(node, NodeVerdict())

    def _tally(
        self, store: ReportStore, members: int, ranking: RendezvousRanking, now: int
    ) -> None:
        """Count and weigh all votes, and take them into the smoothed figures."""
        votes = collect_votes(store, self._fade_by_node(), now)
        self._answer_rate = median_answer_rate(store, len(self.nodes), now)
        elapsed = max(now - self._evaluated_at, 0) if self._evaluated_at else 0
        self._evaluated_at = now
        self._weighting.apply(votes, elapsed)
        for node, held in self.nodes.items():
            votes_on_node = votes.get(node, [])
            share = held.admitted_share
            if share < 1:
                votes_on_node = admitted_votes(
                    votes_on_node, members, share, ranking, node
                )
            held.tally = tally_votes(votes_on_node, members, share)
        common_pace = self._common_pace()
        for held in self.nodes.values():
            held.smooth(elapsed, common_pace)

    def _fade_by_node(self) -> dict[int, float]:
        """Return how fast observations fade: faster where a verdict may end."""
        return {
            node: OBSERVATION_FADE
            if held.verdict is HealthVerdict.HEALTHY
            else OBSERVATION_FADE / 2
            for node, held in self.nodes.items()
        }

    def _common_pace(self) -> float:
        """Return the median node's pace: what all nodes have is not a node's own."""
        paces = [
            held.tally.relative_pace
            for held in self.nodes.values()
            if held.tally.paced_weight >= MIN_PACED_VOTES
        ]
        return max(median(paces or [0.0]), 0.0)

    def _median_waste(self) -> float:
        wastes = [held.tally.wasted_share for held in self.nodes.values()]
        return median(wastes or [0.0])

    def _limit_called(
        self, findings: dict[int, HealthFinding], shards: ShardByNode
    ) -> None:
        """Guard the rest of the fleet against verdicts on too many nodes at once.

        The less impaired of a shard are not called; and where more than
        `max_called_share` of all nodes are impaired, none is, since the fault is
        elsewhere. The price: many nodes that are truly impaired go uncalled, and each
        gateway learns alone, as without the others.
        """
        impaired = [
            node for node, finding in findings.items() if self._counts(node, finding)
        ]
        impaired.sort(
            key=lambda node: (
                not self.nodes[node].is_called,
                -self.nodes[node].tally.lost_share,
                node,
            )
        )
        shard_sizes: dict[int | None, int] = {}
        for shard in shards.values():
            shard_sizes[shard] = shard_sizes.get(shard, 0) + 1
        fleet_limit = max(self.max_called_share * len(shards), 1.0)
        too_many = len(impaired) > fleet_limit
        called: dict[int | None, int] = {}
        self.disregarded = 0
        for node in impaired:
            shard = shards[node]
            called[shard] = called.get(shard, 0) + 1
            shard_limit = max(int(self.max_called_share * shard_sizes[shard]), 1)
            if too_many or called[shard] > shard_limit:
                findings[node] = HealthFinding.OVER_LIMIT
                self.disregarded += 1

    def _counts(self, node: int, finding: HealthFinding) -> bool:
        """Return whether a node counts against the limit."""
        if finding is HealthFinding.INCONCLUSIVE:
            return self.nodes[node].is_called
        return finding in (HealthFinding.FAILING, HealthFinding.IMPAIRED)

    def apply_finding(
        self,
        node: int,
        held: NodeVerdict,
        finding: HealthFinding,
        members: int,
        overloaded: bool,
    ) -> VerdictChange | None:
        """Change a node's verdict and load as the table says."""
        previous = held.verdict
        held.verdict, action = next_verdict(previous, finding)
        held.adjust_load(action, self._probing_share(members), overloaded)
        if previous is held.verdict:
            return None
        if (
            previous is HealthVerdict.FAILING
            or held.verdict is HealthVerdict.RECOVERING
        ):
            held.smoothed_loss = held.tally.lost_share  # what was is over
        return VerdictChange(node, previous, held.verdict, held.describe(finding))

    def _probing_share(self, members: int) -> float:
        """Return the share of the gateways that try each called node."""
        called = max(sum(held.is_called for held in self.nodes.values()), 1)
        probers = PROBES_PER_SECOND / called / max(self._answer_rate, 1e-9)
        return min(max(probers, MIN_PROBERS) / max(members, 1), 1.0)

    def not_healthy(self) -> list[int]:
        """Return the nodes on which there is advice."""
        return [
            node
            for node, held in self.nodes.items()
            if held.verdict is not HealthVerdict.HEALTHY
        ]

    def advice(self, node: int, place: int, members: int) -> NodeAdvice:
        """Return the advice for the gateway at a place of a node's ranking.

        Nothing speaks against the node for those chosen to try it, and later for those
        for whom it is healthy again.
        """
        held = self.nodes[node]
        if is_admitted(place, members, held.unrestricted_share):
            return NodeAdvice(PROBER_LOAD_FACTOR, avoid=False)
        avoid = not is_admitted(place, members, held.admitted_share)
        return NodeAdvice(held.load_factor(), avoid)
