"""What one acceptor does with one request, and how long leases last."""

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
A = Ballot(5, "a", 1)
B = Ballot(6, "b", 2)


class AcceptorTests(unittest.TestCase):
    def test_what_an_acceptor_does(self):
        record, other = LeaseRecord(A, RecordVersion(A, 3), b"v", 0), LeaseGrant(1000)
        prepare, accept = (
            AcceptorRequest(RequestKind.PREPARE, "c", B),
            AcceptorRequest(RequestKind.ACCEPT, "c", B, 1, b"w", True),
        )
        for held, grant, floor, request, now, status, after in (
            (None, None, 0, prepare, 0, ReplyStatus.GRANTED, (B, UNWRITTEN)),
            (
                None,
                None,
                6,
                prepare,
                0,
                ReplyStatus.BALLOT_TOO_LOW,
                None,
            ),  # the floor of what was forgotten
            (
                record,
                other,
                0,
                prepare,
                999,
                ReplyStatus.LEASE_HELD,
                (A, RecordVersion(A, 3)),
            ),
            (
                record,
                other,
                0,
                prepare,
                1000,
                ReplyStatus.GRANTED,
                (B, RecordVersion(A, 3)),
            ),
            (
                record,
                other,
                0,
                accept,
                999,
                ReplyStatus.LEASE_HELD,
                (A, RecordVersion(A, 3)),
            ),
            (
                record,
                other,
                0,
                accept,
                1000,
                ReplyStatus.GRANTED,
                (B, RecordVersion(B, 1)),
            ),
            (
                record,
                other,
                0,
                AcceptorRequest(RequestKind.PREPARE, "c", Ballot(4, "b", 2)),
                1000,
                ReplyStatus.BALLOT_TOO_LOW,
                (A, RecordVersion(A, 3)),
            ),
            (
                record,
                other,
                0,
                AcceptorRequest(RequestKind.PREPARE, "c", A),
                0,
                ReplyStatus.GRANTED,
                (A, RecordVersion(A, 3)),
            ),  # a renewal
            (
                record,
                LeaseGrant(0, True),
                0,
                AcceptorRequest(RequestKind.PREPARE, "c", A),
                0,
                ReplyStatus.BALLOT_TOO_LOW,
                (A, RecordVersion(A, 3)),
            ),  # given up before
            (
                record,
                other,
                0,
                AcceptorRequest(RequestKind.ACCEPT, "c", A, 2, b"old"),
                0,
                None,
                (A, RecordVersion(A, 3)),
            ),  # overtaken
            (
                record,
                grant_after_restart(0, TIMINGS),
                0,
                prepare,
                TIMINGS.acceptor_duration() - 1,
                ReplyStatus.LEASE_HELD,
                (A, RecordVersion(A, 3)),
            ),
        ):
            with self.subTest(request=request, now=now):
                state = LeaseState(held, grant, floor)
                outcome = handle_request(state, request, now, 0, TIMINGS)
                self.assertIs(outcome.reply and outcome.reply.status, status)
                self.assertEqual(
                    outcome.record
                    and (outcome.record.promised, outcome.record.version),
                    after,
                )

    def test_two_leases_never_meet_at_the_worst_of_drift(self):
        for drift in (0, 5, 50, 200):
            timings = LeaseTimings(20_000, 3_000, drift)
            self.assertLess(
                timings.holder_duration() * 1000 / (1000 - drift),
                timings.acceptor_duration() * 1000 / (1000 + drift),
            )


if __name__ == "__main__":
    unittest.main()
