"""The rules of the membership: updates, probes, local health, name claims."""

import unittest

from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.membership import probe_state
from milletsill.fleet.membership.config import MembershipConfig
from milletsill.fleet.membership.local_health import (
    LocalHealth,
    ProbeOutcome,
    is_isolated,
)
from milletsill.fleet.membership.name_claims import (
    NAME_CLAIM_RULES,
    LocalStatus,
    NameClaim,
    classify_claim,
)
from milletsill.fleet.membership.probe_state import (
    PROBE_TRANSITIONS,
    ProbeAction,
    ProbeEvent,
    ProbeStage,
    ProbeState,
)
from milletsill.fleet.membership.update_rules import (
    UPDATE_RULES,
    MemberVersion,
    UpdateAction,
    UpdateOrder,
    compare_versions,
)
from milletsill.fleet.transport import MemberState

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
GONE = MemberState.GONE
LEFT = MemberState.LEFT


class UpdateRules(unittest.TestCase):
    def test_update_rules_and_version_order(self):
        for case, expected in (
            ((ALIVE, SUSPECT, UpdateOrder.SAME), UpdateAction.SUSPECTED),
            ((SUSPECT, ALIVE, UpdateOrder.NEWER), UpdateAction.REFUTED),
            ((ALIVE, GONE, UpdateOrder.SAME), UpdateAction.VERIFY_GONE),
            ((SUSPECT, GONE, UpdateOrder.SAME), UpdateAction.ACCEPT_OR_VERIFY),
            ((GONE, ALIVE, UpdateOrder.NEWER), UpdateAction.JOINED),
            ((ALIVE, ALIVE, UpdateOrder.NEW_START), UpdateAction.RESTARTED),
            ((SUSPECT, LEFT, UpdateOrder.SAME), UpdateAction.LEFT),
            ((LEFT, ALIVE, UpdateOrder.NEWER), UpdateAction.JOINED),
        ):
            self.assertEqual(UPDATE_RULES[case].action, expected)
        self.assertFalse(
            [each for each in UPDATE_RULES if each[2] is UpdateOrder.OLDER]
        )
        self.assertFalse(
            [
                each
                for each in UPDATE_RULES
                if each[0] in (GONE, LEFT)
                and each[2] is UpdateOrder.SAME
                and each[1] in (ALIVE, SUSPECT)
            ]
        )
        self.assertEqual(
            [
                compare_versions(MemberVersion(2, 5, 1), MemberVersion(*each))
                for each in (
                    (1, 9, 9),
                    (2, 4, 9),
                    (2, 5, 0),
                    (2, 5, 1),
                    (2, 5, 2),
                    (2, 6, 0),
                    (3, 0, 0),
                )
            ],
            [UpdateOrder.OLDER] * 3
            + [
                UpdateOrder.SAME,
                UpdateOrder.NEWER,
                UpdateOrder.NEW_START,
                UpdateOrder.NEW_START,
            ],
        )


class ProbeStages(unittest.TestCase):
    def test_timeouts(self):
        config = MembershipConfig("t")
        for stage, since, stage_began, expected in (
            (ProbeStage.AWAITING_ACK, 1999, 0, None),
            (ProbeStage.AWAITING_ACK, 2000, 0, ProbeEvent.ACK_TIMEOUT),
            (
                ProbeStage.AWAITING_INDIRECT_ACK,
                5000,
                0,
                ProbeEvent.INDIRECT_ACK_TIMEOUT,
            ),
            (ProbeStage.UNRESPONSIVE, 11_999, 0, None),
            (ProbeStage.UNRESPONSIVE, 12_000, 0, ProbeEvent.SILENCE_TIMEOUT),
            (ProbeStage.SUSPECTED, 0, 19_999, None),
            (ProbeStage.SUSPECTED, 0, 20_000, ProbeEvent.SUSPICION_TIMEOUT),
        ):
            probe = ProbeState(
                "x", stage, 100_000 - since, 100_000 - stage_began, 100_000
            )
            self.assertEqual(
                probe_state.due_event(probe, 100_000, config, 1.0, 0, 2), expected
            )
        self.assertEqual(
            probe_state.due_event(
                ProbeState("x", ProbeStage.SUSPECTED, 0, 100_000 - 10_001, 100_000),
                100_000,
                config,
                1.0,
                2,
                2,
            ),
            ProbeEvent.SUSPICION_TIMEOUT,
        )

    def test_liveness_evidence_finishes_each_stage(self):
        for stage in ProbeStage:
            if stage is not ProbeStage.FINISHED:
                transition = PROBE_TRANSITIONS[stage, ProbeEvent.LIVENESS_EVIDENCE]
                self.assertIs(transition.stage, ProbeStage.FINISHED)
                self.assertIsNot(transition.action, ProbeAction.DECLARE_GONE)

    def test_a_local_stall_never_declares_a_member_gone(self):
        for (_, event), transition in PROBE_TRANSITIONS.items():
            if event is ProbeEvent.LOCAL_STALL:
                self.assertIn(
                    transition.action, (ProbeAction.NONE, ProbeAction.PROBE_ROUND)
                )


class LocalHealthScore(unittest.TestCase):
    def test_score_multiplier_and_isolation(self):
        missed = [ProbeOutcome(f"m{each}", acked=False) for each in range(6)]
        acked = [ProbeOutcome("w", acked=True)] * 2
        self.assertTrue(is_isolated(missed + acked))
        self.assertFalse(is_isolated(missed[:4] + acked * 2))
        # Failed probes of only one member do not make this gateway isolated.
        self.assertFalse(is_isolated([ProbeOutcome("m1", acked=False)] * 8))
        health = LocalHealth()
        health.on_ack("w")
        self.assertEqual((health.score, health.multiplier), (0, 1.0))
        health.on_suspected()
        self.assertEqual((health.score, health.multiplier), (1, 1.25))
        for _ in range(5):
            health.on_stall()
        self.assertEqual((health.score, health.multiplier), (4, 2.0))
        for outcome in missed:
            health.on_miss(outcome.target)
        self.assertTrue(health.is_isolated)
        self.assertEqual((health.score, health.multiplier), (4, 3))


class NameClaims(unittest.TestCase):
    def test_updates_with_the_own_name(self):
        for update, advanced_to, expected in (
            (("me", 5, 9, 0, SUSPECT), None, NameClaim.NEEDS_REFUTATION),
            (("me", 5, 9, 0, ALIVE), None, NameClaim.STALE),
            (("me", 4, 1, 0, ALIVE), None, NameClaim.STALE),
            (("me", 5, 1, 0, GONE), None, NameClaim.OTHER_START),
            (("me", 8, 1, 0, ALIVE), 5, NameClaim.OVERTAKEN_BY_SMALLER_NONCE),
            (("me", 8, 99, 0, ALIVE), 5, NameClaim.OVERTAKEN_BY_LARGER_NONCE),
        ):
            self.assertEqual(
                classify_claim(MemberUpdate(*update), 5, 9, 0, advanced_to), expected
            )
        self.assertEqual(
            NAME_CLAIM_RULES.get((LocalStatus.LEAVING, NameClaim.NEEDS_REFUTATION)),
            None,
        )


if __name__ == "__main__":
    unittest.main()
