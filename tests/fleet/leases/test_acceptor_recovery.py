"""When an acceptor may answer after a start."""

import unittest

from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.acceptor_recovery import (
    AcceptorRecovery,
    RecoveryAction,
    RecoveryStatus,
    SnapshotPage,
    StateIdentity,
)
from milletsill.fleet.leases.ballot import Ballot, RecordVersion
from milletsill.fleet.leases.timings import LeaseTimings

TIMINGS = LeaseTimings()
OWN = StateIdentity(1, 7, 5)
BEHIND = StateIdentity(1, 7, 4)
AHEAD = StateIdentity(1, 7, 6)
BALLOT = Ballot(3, "a", 1)
RECORD = LeaseRecord(BALLOT, RecordVersion(BALLOT, 1), b"v", 0)


def create_recovery(own=OWN, is_empty=False):
    return AcceptorRecovery(own, ("r1", "r2"), TIMINGS, 0, is_empty, False)


class AcceptorRecoveryTests(unittest.TestCase):
    def test_an_acceptor_serves_once_enough_others_know_no_later_state(self):
        recovery = create_recovery()
        self.assertIs(recovery.on_known_identity("r1", BEHIND, 10), RecoveryAction.NONE)
        self.assertIs(recovery.on_known_identity("x", None, 10), RecoveryAction.NONE)
        self.assertIs(recovery.on_known_identity("r2", OWN, 10), RecoveryAction.SERVE)
        self.assertIs(recovery.status, RecoveryStatus.SERVING)

    def test_one_confirmation_fewer_suffices_after_the_wait_unless_empty(self):
        wait = TIMINGS.recovery_wait()
        for is_empty, action in (
            (False, RecoveryAction.SERVE),
            (True, RecoveryAction.NONE),
        ):
            recovery = create_recovery(is_empty=is_empty)
            recovery.on_known_identity("r1", None, 10)
            self.assertIs(recovery.on_timer(wait - 1), RecoveryAction.NONE)
            self.assertIs(recovery.on_timer(wait), action)

    def test_an_acceptor_with_a_stale_state_waits_and_copies_all_records(self):
        recovery = create_recovery()
        self.assertIs(recovery.on_known_identity("x", AHEAD, 10), RecoveryAction.WAIT)
        wait = TIMINGS.recovery_wait()
        self.assertIs(recovery.on_timer(wait), RecoveryAction.CATCH_UP)
        first = SnapshotPage((("c", RECORD),), 4, False)
        last = SnapshotPage((("d", RECORD),), 2, True)
        self.assertIs(recovery.on_page("r1", "", first, 20), RecoveryAction.NONE)
        self.assertEqual(recovery.last_key("r1"), "c")
        self.assertIs(recovery.on_page("r1", "", last, 20), RecoveryAction.NONE)
        # The page is ignored: it does not follow the key "c".
        self.assertTrue(recovery.needs_page_from("r1"))
        self.assertIs(recovery.on_page("r1", "c", last, 20), RecoveryAction.NONE)
        self.assertIs(recovery.on_page("r2", "", last, 20), RecoveryAction.ADOPT)
        self.assertEqual(sorted(recovery.records), ["c", "d"])
        self.assertTrue(recovery.records["c"].is_copied)
        self.assertEqual(recovery.ballot_floor, 4)
        self.assertEqual(recovery.renewed_identity(9), StateIdentity(2, 9, 1))

    def test_records_are_copied_again_after_a_failed_write(self):
        recovery = create_recovery()
        recovery.on_known_identity("x", AHEAD, 10)
        recovery.on_timer(TIMINGS.recovery_wait())
        last = SnapshotPage((), 0, True)
        recovery.on_page("r1", "", last, 20)
        recovery.on_page("r2", "", last, 20)
        recovery.on_write_failed(50_000)
        self.assertIs(recovery.on_timer(49_999), RecoveryAction.NONE)
        self.assertIs(recovery.on_timer(50_000), RecoveryAction.CATCH_UP)

    def test_an_operators_order_keeps_the_state_with_a_later_identity(self):
        recovery = create_recovery()
        self.assertIs(recovery.on_override(), RecoveryAction.ADOPT)
        later = StateIdentity(4, 1, 1)
        self.assertIs(recovery.on_known_identity("x", later, 10), RecoveryAction.ADOPT)
        self.assertEqual(recovery.renewed_identity(9).epoch, 5)


if __name__ == "__main__":
    unittest.main()
