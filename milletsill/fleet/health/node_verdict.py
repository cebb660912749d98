"""One gateway's state of a node: verdict, smoothed values and admitted share."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from milletsill.fleet.health.tuning import (
    CONFIRMING_FINDINGS,
    CUT_FACTOR,
    CUT_WASTE,
    FAILING_CUT_FACTOR,
    FAILING_LOSS,
    HEALTHY_LOSS,
    HEALTHY_PACE,
    IMPAIRED_LOSS,
    IMPAIRED_PACE,
    IMPAIRED_SMOOTHED_LOSS,
    LOAD_FACTOR_PER_LOSS,
    LOSS_SMOOTHING,
    MAX_LOAD_FACTOR,
    MIN_ANSWERS,
    MIN_PACED_VOTES,
    MIN_VOTES,
    MIN_VOTES_FLAGGED,
    PACE_SMOOTHING,
    RAISE_STEP,
    RAISE_WASTE,
    RAMP_FACTOR,
    RAMP_STEP,
)
from milletsill.fleet.health.verdict_table import (
    FLAGGED_VERDICTS,
    HealthFinding,
    HealthVerdict,
    LoadAction,
)
from milletsill.fleet.health.votes import VoteTally


@dataclass(slots=True)
class NodeVerdict:
    """One gateway's verdict on a node, and the state that leads to it.

    Attributes:
        verdict: The verdict.
        admitted_share: Share of the gateways that may send to the node, counted from
            the top of its ranking.
        unrestricted_share: Share of the gateways that send as if it were healthy.
        last_finding: Finding of the last evaluation, before confirmation.
        repeated: Number of consecutive evaluations with that finding.
        tally: Tally of the votes at the last evaluation.
        smoothed_pace: Smoothed relative pace (log2), less the median over all nodes.
        smoothed_loss: Smoothed share of failed attempts.
    """

    verdict: HealthVerdict = HealthVerdict.HEALTHY
    admitted_share: float = 1.0
    unrestricted_share: float = 1.0
    last_finding: HealthFinding = HealthFinding.HEALTHY
    repeated: int = 0
    tally: VoteTally = field(default_factory=VoteTally)
    smoothed_pace: float = 0.0
    smoothed_loss: float = 0.0

    @property
    def is_flagged(self) -> bool:
        """Whether gateways are advised to send less to the node."""
        return self.verdict in FLAGGED_VERDICTS

    def smooth(self, elapsed: int, common_pace: float) -> None:
        """Update the smoothed values with the tally, `elapsed` after the last update.

        A flagged node needs less vote weight with a pace. Few gateways probe it, so in
        a small or idle fleet the pace for which it was flagged might never decrease.
        The cost is noise in the pace of nodes that are already flagged.
        """
        tally = self.tally
        if tally.paced_weight >= (
            MIN_VOTES_FLAGGED if self.is_flagged else MIN_PACED_VOTES
        ):
            self.smoothed_pace += (1 - exp(-elapsed / PACE_SMOOTHING)) * (
                tally.relative_pace - common_pace - self.smoothed_pace
            )
        if tally.weight > MIN_ANSWERS:
            self.smoothed_loss += (1 - exp(-elapsed / LOSS_SMOOTHING)) * (
                tally.lost_share - self.smoothed_loss
            )

    def next_finding(self) -> HealthFinding:
        """Return the finding of this evaluation, with hysteresis and confirmation."""
        finding = self._classify()
        self.repeated = self.repeated + 1 if finding is self.last_finding else 1
        self.last_finding = finding
        if finding is HealthFinding.IMPAIRED and self.repeated < CONFIRMING_FINDINGS:
            return HealthFinding.INCONCLUSIVE
        return HealthFinding.RESTORED if self._is_restored(finding) else finding

    def _classify(self) -> HealthFinding:
        tally = self.tally
        if tally.weight <= MIN_ANSWERS:
            return HealthFinding.UNOBSERVED
        if tally.weight < (MIN_VOTES_FLAGGED if self.is_flagged else MIN_VOTES):
            return HealthFinding.INCONCLUSIVE
        if tally.lost_share >= FAILING_LOSS:
            return HealthFinding.FAILING
        if (
            tally.lost_share >= IMPAIRED_LOSS
            or self.smoothed_loss >= IMPAIRED_SMOOTHED_LOSS
            or self.smoothed_pace >= IMPAIRED_PACE
        ):
            return HealthFinding.IMPAIRED
        # Past losses must not keep a node FAILING after it has recovered.
        failing = self.verdict is HealthVerdict.FAILING
        past_loss = 0.0 if failing else self.smoothed_loss
        if (
            max(tally.lost_share, past_loss) <= HEALTHY_LOSS
            and self.smoothed_pace <= HEALTHY_PACE
        ):
            return HealthFinding.HEALTHY
        return HealthFinding.INCONCLUSIVE

    def _is_restored(self, finding: HealthFinding) -> bool:
        """Return whether the finding permits HEALTHY and all gateways send freely."""
        if self.admitted_share < 1 or self.unrestricted_share < 1:
            return False
        if finding is HealthFinding.INCONCLUSIVE:
            return self.verdict is HealthVerdict.RECOVERING
        return finding in (HealthFinding.HEALTHY, HealthFinding.UNOBSERVED)

    def adjust_load(
        self, action: LoadAction, probing_share: float, overloaded: bool
    ) -> None:
        """Change which gateways may send to the node.

        Args:
            action: The action in the verdict table.
            probing_share: Share of the gateways that always probe the node.
            overloaded: Whether the other nodes lack capacity for this node's load.
        """
        if action is LoadAction.CUT:
            self._cut(FAILING_CUT_FACTOR, probing_share)
        elif action is LoadAction.ADJUST:
            if self.tally.wasted_share > CUT_WASTE and not overloaded:
                self._cut(CUT_FACTOR, probing_share)
            elif self.tally.wasted_share < RAISE_WASTE:
                self.admitted_share = min(self.admitted_share + RAISE_STEP, 1.0)
        if action in (LoadAction.CUT, LoadAction.ADJUST):
            self.unrestricted_share = probing_share
        elif action is LoadAction.RAMP_UP:
            self.admitted_share = min(
                self.admitted_share * RAMP_FACTOR + RAMP_STEP, 1.0
            )
            self.unrestricted_share = min(
                self.unrestricted_share * RAMP_FACTOR + RAMP_STEP, self.admitted_share
            )

    def _cut(self, factor: float, probing_share: float) -> None:
        self.admitted_share = max(self.admitted_share * factor, probing_share)

    def load_factor(self) -> float:
        """Return the node's extra cost in units of the shortest latency objective."""
        if self.verdict is HealthVerdict.FAILING:
            return MAX_LOAD_FACTOR
        slowness = max(2**self.smoothed_pace - 1, 0.0)
        return min(
            LOAD_FACTOR_PER_LOSS * self.tally.lost_share + slowness, MAX_LOAD_FACTOR
        )

    def describe(self, finding: HealthFinding) -> str:
        """Return a finding and the values behind it, for the log."""
        tally = self.tally
        return (
            f"{finding.value}: {tally.weight:.1f} votes, {tally.lost_share:.2f} lost, "
            f"{tally.wasted_share:.2f} wasted, "
            f"pace {2**self.smoothed_pace:.1f} times the usual"
        )
