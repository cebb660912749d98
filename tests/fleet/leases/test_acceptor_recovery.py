"""When an acceptor that has started may answer."""

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


def recovery(own=OWN, is_empty=False):
    return AcceptorRecovery(own, ("r1", "r2"), TIMINGS, 0, is_empty, False)


class AcceptorRecoveryTests(unittest.TestCase):
    def test_it_serves_once_enough_others_know_of_nothing_later(self):
        found = recovery()
        self.assertIs(found.on_witness("r1", BEHIND, 10), RecoveryAction.NONE)
        self.assertIs(found.on_witness("x", None, 10), RecoveryAction.NONE)
        self.assertIs(found.on_witness("r2", OWN, 10), RecoveryAction.SERVE)
        self.assertIs(found.status, RecoveryStatus.SERVING)

    def test_after_a_wait_one_fewer_is_enough_but_not_for_an_empty_file(self):
        wait = TIMINGS.recovery_wait()
        for is_empty, action in (
            (False, RecoveryAction.SERVE),
            (True, RecoveryAction.NONE),
        ):
            found = recovery(is_empty=is_empty)
            found.on_witness("r1", None, 10)
            self.assertIs(found.on_timer(wait - 1), RecoveryAction.NONE)
            self.assertIs(found.on_timer(wait), action)

    def test_a_stale_state_waits_and_copies_all_records(self):
        found = recovery()
        self.assertIs(found.on_witness("x", AHEAD, 10), RecoveryAction.WAIT)
        wait = TIMINGS.recovery_wait()
        self.assertIs(found.on_timer(wait), RecoveryAction.CATCH_UP)
        first = SnapshotPage((("c", RECORD),), 4, False)
        last = SnapshotPage((("d", RECORD),), 2, True)
        self.assertIs(found.on_page("r1", "", first, 20), RecoveryAction.NONE)
        self.assertEqual(found.last_key("r1"), "c")
        self.assertIs(found.on_page("r1", "", last, 20), RecoveryAction.NONE)
        self.assertTrue(found.needs_page_from("r1"))  # it was not after "c"
        self.assertIs(found.on_page("r1", "c", last, 20), RecoveryAction.NONE)
        self.assertIs(found.on_page("r2", "", last, 20), RecoveryAction.ADOPT)
        self.assertEqual(sorted(found.records), ["c", "d"])
        self.assertTrue(found.records["c"].is_copied)
        self.assertEqual(found.ballot_floor, 4)
        self.assertEqual(found.renewed_identity(9), StateIdentity(2, 9, 1))

    def test_what_cannot_be_written_is_copied_again(self):
        found = recovery()
        found.on_witness("x", AHEAD, 10)
        found.on_timer(TIMINGS.recovery_wait())
        last = SnapshotPage((), 0, True)
        found.on_page("r1", "", last, 20)
        found.on_page("r2", "", last, 20)
        found.on_write_failed(50_000)
        self.assertIs(found.on_timer(49_999), RecoveryAction.NONE)
        self.assertIs(found.on_timer(50_000), RecoveryAction.CATCH_UP)

    def test_an_operators_order_goes_on_with_what_there_is(self):
        found = recovery()
        self.assertIs(found.on_override(), RecoveryAction.ADOPT)
        later = StateIdentity(4, 1, 1)
        self.assertIs(found.on_witness("x", later, 10), RecoveryAction.ADOPT)
        self.assertEqual(found.renewed_identity(9).age, 5)


if __name__ == "__main__":
    unittest.main()
