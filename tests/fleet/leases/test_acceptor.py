"""How one acceptor decides a request, and the durations of leases."""

import unittest

from milletsill.fleet.leases.acceptor import (
    LeaseGrant,
    LeaseRecord,
    LeaseState,
    grant_after_restart,
    handle_request,
)
from milletsill.fleet.leases.ballot import UNWRITTEN, Ballot, RecordVersion
from milletsill.fleet.leases.messages import (
    AcceptorRequest,
    ReplyStatus,
    RequestKind,
)
from milletsill.fleet.leases.timings import LeaseTimings

TIMINGS = LeaseTimings()
OLDER = Ballot(4, "b", 2)
PROMISED = Ballot(5, "a", 1)
LATER = Ballot(6, "b", 2)
WRITTEN = RecordVersion(PROMISED, 3)
RECORD = LeaseRecord(PROMISED, WRITTEN, b"v", 0)
PREPARE_LATER = AcceptorRequest(RequestKind.PREPARE, "c", LATER)
ACCEPT_LATER = AcceptorRequest(RequestKind.ACCEPT, "c", LATER, 1, b"w", True)
RENEWAL = AcceptorRequest(RequestKind.PREPARE, "c", PROMISED)


class AcceptorTests(unittest.TestCase):
    def check(self, state, request, now, status, promised_and_version):
        """Check the reply's status, and the record's promise and version afterwards."""
        with self.subTest(request=request, now=now):
            outcome = handle_request(state, request, now, 0, TIMINGS)
            self.assertIs(outcome.reply and outcome.reply.status, status)
            record = outcome.record
            actual = record and (record.promised, record.version)
            self.assertEqual(actual, promised_and_version)

    def test_ballots_up_to_the_floor_are_refused_without_a_record(self):
        unknown = LeaseState(None, None, 0)
        below_floor = LeaseState(None, None, 6)
        granted = (LATER, UNWRITTEN)
        self.check(unknown, PREPARE_LATER, 0, ReplyStatus.GRANTED, granted)
        self.check(below_floor, PREPARE_LATER, 0, ReplyStatus.BALLOT_TOO_LOW, None)

    def test_other_gateways_are_refused_until_the_grant_ends(self):
        held = LeaseState(RECORD, LeaseGrant(1000), 0)
        unchanged = (PROMISED, WRITTEN)
        promised = (LATER, WRITTEN)
        accepted = (LATER, RecordVersion(LATER, 1))
        self.check(held, PREPARE_LATER, 999, ReplyStatus.LEASE_HELD, unchanged)
        self.check(held, PREPARE_LATER, 1000, ReplyStatus.GRANTED, promised)
        self.check(held, ACCEPT_LATER, 999, ReplyStatus.LEASE_HELD, unchanged)
        self.check(held, ACCEPT_LATER, 1000, ReplyStatus.GRANTED, accepted)

    def test_a_record_of_a_former_incarnation_counts_as_granted_after_restart(self):
        loaded = LeaseState(RECORD, grant_after_restart(0, TIMINGS), 0)
        last = TIMINGS.acceptor_duration() - 1
        unchanged = (PROMISED, WRITTEN)
        self.check(loaded, PREPARE_LATER, last, ReplyStatus.LEASE_HELD, unchanged)

    def test_only_the_promised_ballot_renews_until_its_release(self):
        held = LeaseState(RECORD, LeaseGrant(1000), 0)
        released = LeaseState(RECORD, LeaseGrant(0, True), 0)
        unchanged = (PROMISED, WRITTEN)
        lower = AcceptorRequest(RequestKind.PREPARE, "c", OLDER)
        superseded = AcceptorRequest(RequestKind.ACCEPT, "c", PROMISED, 2, b"old")
        self.check(held, lower, 1000, ReplyStatus.BALLOT_TOO_LOW, unchanged)
        self.check(held, RENEWAL, 0, ReplyStatus.GRANTED, unchanged)
        self.check(released, RENEWAL, 0, ReplyStatus.BALLOT_TOO_LOW, unchanged)
        self.check(held, superseded, 0, None, unchanged)

    def test_another_gateway_acquires_the_lease_right_after_a_release(self):
        held = LeaseState(RECORD, LeaseGrant(1000), 0)
        release = AcceptorRequest(RequestKind.RELEASE, "c", PROMISED)
        outcome = handle_request(held, release, 10, 0, TIMINGS)
        self.assertIsNone(outcome.reply)
        after = LeaseState(outcome.record, outcome.grant, 0)
        self.check(after, PREPARE_LATER, 10, ReplyStatus.GRANTED, (LATER, WRITTEN))


class LeaseTimingsTests(unittest.TestCase):
    def test_leases_of_two_holders_do_not_overlap_at_the_maximum_drift(self):
        for drift in (0, 5, 50, 200):
            timings = LeaseTimings(20_000, 3_000, drift)
            self.assertLess(
                timings.holder_duration() * 1000 / (1000 - drift),
                timings.acceptor_duration() * 1000 / (1000 + drift),
            )


if __name__ == "__main__":
    unittest.main()
