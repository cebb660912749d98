"""Derives verdicts on nodes from the reports of all gateways. No I/O, no clock.

`HealthEvaluator.evaluate` depends only on the reports, the view, the time and the
evaluator's earlier state; nothing is random. Gateways with equal reports and views
agree within a few evaluations. Times are in whole tenths of a millisecond. See
docs/health.md.
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
    OBSERVATION_DECAY_TIME,
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
    """A change of a node's verdict, and its cause."""

    node: int
    previous: HealthVerdict
    current: HealthVerdict
    cause: str


@dataclass(frozen=True, slots=True)
class NodeAdvice:
    """Advice to one gateway on a node that is not HEALTHY.

    Attributes:
        load_factor: Cost that the scheduler adds to the node, in units of the shortest
            latency objective.
        avoid: Whether this gateway should send nothing to the node.
    """

    load_factor: float
    avoid: bool


class HealthEvaluator:
    """Holds one gateway's verdicts on all nodes.

    A flagged node has the verdict DEGRADED or FAILING.

    Args:
        max_flagged_share: Largest share of all nodes, and of the nodes of a shard, that
            may be flagged at once.
    """

    def __init__(self, max_flagged_share: float) -> None:
        self.max_flagged_share = max_flagged_share
        self.nodes: dict[int, NodeVerdict] = {}
        self.disregarded = 0  # impaired nodes not flagged, being over the limit
        self._weighting = VoteWeighting()
        self._answer_rate = 0.0  # answers per second of the median gateway from a node
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
            ranking: Each origin's place in the ranking for a node.
            shards: The nodes on the endpoint list, each with its shard.
            now: The current time.

        Returns:
            The verdicts that changed; none during the warm-up, since the first few
            reports could mislead.
        """
        self._track_listed_nodes(shards)
        self._tally(store, members, ranking, now)
        if self._first_at is None:
            self._first_at = now
        if now - self._first_at < WARM_UP:
            return []
        findings = {node: state.next_finding() for node, state in self.nodes.items()}
        self._limit_flagged(findings, shards)
        overloaded = self._median_waste() > OVERLOADED_WASTE
        changes = []
        for node, finding in findings.items():
            state = self.nodes[node]
            change = self.apply_finding(node, state, finding, members, overloaded)
            if change is not None:
                changes.append(change)
        return changes

    def _track_listed_nodes(self, shards: ShardByNode) -> None:
        """Add listed nodes that are new, and remove nodes that are no longer listed."""
        for node in [each for each in self.nodes if each not in shards]:
            del self.nodes[node]
        for node in shards:
            self.nodes.setdefault(node, NodeVerdict())

    def _tally(
        self, store: ReportStore, members: int, ranking: RendezvousRanking, now: int
    ) -> None:
        """Collect, weight and tally all votes, and update the smoothed values."""
        votes = collect_votes(store, self._decay_times(), now)
        self._answer_rate = median_answer_rate(store, len(self.nodes), now)
        elapsed = max(now - self._evaluated_at, 0) if self._evaluated_at else 0
        self._evaluated_at = now
        self._weighting.apply(votes, elapsed)
        for node, state in self.nodes.items():
            votes_on_node = votes.get(node, [])
            share = state.admitted_share
            if share < 1:
                votes_on_node = admitted_votes(
                    votes_on_node, members, share, ranking, node
                )
            state.tally = tally_votes(votes_on_node, members, share)
        common_pace = self._common_pace()
        for state in self.nodes.values():
            state.smooth(elapsed, common_pace)

    def _decay_times(self) -> dict[int, float]:
        """Return each node's time constant for the decay of observations.

        It is shorter for nodes that are not HEALTHY, so that a verdict ends sooner.
        """
        return {
            node: OBSERVATION_DECAY_TIME
            if state.verdict is HealthVerdict.HEALTHY
            else OBSERVATION_DECAY_TIME / 2
            for node, state in self.nodes.items()
        }

    def _common_pace(self) -> float:
        """Return the median pace of all nodes, to be deducted from each node's pace."""
        paces = [
            state.tally.relative_pace
            for state in self.nodes.values()
            if state.tally.paced_weight >= MIN_PACED_VOTES
        ]
        return max(median(paces or [0.0]), 0.0)

    def _median_waste(self) -> float:
        wastes = [state.tally.wasted_share for state in self.nodes.values()]
        return median(wastes or [0.0])

    def _limit_flagged(
        self, findings: dict[int, HealthFinding], shards: ShardByNode
    ) -> None:
        """Limit how many nodes are flagged, to protect the nodes that take their load.

        In a shard with too many impaired nodes, the less impaired ones are not flagged.
        If more than `max_flagged_share` of all nodes are impaired, none is flagged,
        since the fault is then elsewhere. The cost: if that many nodes are really
        impaired, each gateway detects them on its own, as without shared health.
        """
        impaired = [
            node
            for node, finding in findings.items()
            if self._counts_against_limit(node, finding)
        ]
        impaired.sort(
            key=lambda node: (
                not self.nodes[node].is_flagged,
                -self.nodes[node].tally.lost_share,
                node,
            )
        )
        shard_sizes: dict[int | None, int] = {}
        for shard in shards.values():
            shard_sizes[shard] = shard_sizes.get(shard, 0) + 1
        fleet_limit = max(self.max_flagged_share * len(shards), 1.0)
        too_many = len(impaired) > fleet_limit
        flagged: dict[int | None, int] = {}
        self.disregarded = 0
        for node in impaired:
            shard = shards[node]
            flagged[shard] = flagged.get(shard, 0) + 1
            shard_limit = max(int(self.max_flagged_share * shard_sizes[shard]), 1)
            if too_many or flagged[shard] > shard_limit:
                findings[node] = HealthFinding.OVER_LIMIT
                self.disregarded += 1

    def _counts_against_limit(self, node: int, finding: HealthFinding) -> bool:
        """Return whether a node counts toward the limit on flagged nodes."""
        if finding is HealthFinding.INCONCLUSIVE:
            return self.nodes[node].is_flagged
        return finding in (HealthFinding.FAILING, HealthFinding.IMPAIRED)

    def apply_finding(
        self,
        node: int,
        state: NodeVerdict,
        finding: HealthFinding,
        members: int,
        overloaded: bool,
    ) -> VerdictChange | None:
        """Change a node's verdict and admitted share as the verdict table says."""
        previous = state.verdict
        state.verdict, action = next_verdict(previous, finding)
        state.adjust_load(action, self._probing_share(members), overloaded)
        if previous is state.verdict:
            return None
        if (
            previous is HealthVerdict.FAILING
            or state.verdict is HealthVerdict.RECOVERING
        ):
            state.smoothed_loss = state.tally.lost_share  # discards earlier loss
        return VerdictChange(node, previous, state.verdict, state.describe(finding))

    def _probing_share(self, members: int) -> float:
        """Return the share of the gateways that probe each flagged node."""
        flagged = max(sum(state.is_flagged for state in self.nodes.values()), 1)
        probers = PROBES_PER_SECOND / flagged / max(self._answer_rate, 1e-9)
        return min(max(probers, MIN_PROBERS) / max(members, 1), 1.0)

    def not_healthy(self) -> list[int]:
        """Return the nodes whose verdict is not HEALTHY."""
        return [
            node
            for node, state in self.nodes.items()
            if state.verdict is not HealthVerdict.HEALTHY
        ]

    def advice(self, node: int, place: int, members: int) -> NodeAdvice:
        """Return the advice for the gateway at a place in a node's ranking.

        The load factor is PROBER_LOAD_FACTOR for the gateways that probe the node and,
        while it recovers, for those that may send to it without restriction.
        """
        state = self.nodes[node]
        if is_admitted(place, members, state.unrestricted_share):
            return NodeAdvice(PROBER_LOAD_FACTOR, avoid=False)
        avoid = not is_admitted(place, members, state.admitted_share)
        return NodeAdvice(state.load_factor(), avoid)
