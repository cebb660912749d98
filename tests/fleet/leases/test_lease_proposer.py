"""State transitions of a lease proposer."""

import unittest

from milletsill.fleet.leases.ballot import Ballot, RecordVersion
from milletsill.fleet.leases.lease_proposer import LeaseProposer
from milletsill.fleet.leases.messages import (
    UNKNOWN,
    AcceptorReply,
    ReplyStatus,
    RequestKind,
)
from milletsill.fleet.leases.proposer_table import ProposerEffect, ProposerState
from milletsill.fleet.leases.timings import LeaseTimings

TIMINGS = LeaseTimings()
WRITTEN = RecordVersion(Ballot(1, "b", 2), 1)


class LeaseProposerTests(unittest.TestCase):
    def setUp(self):
        self.proposer = LeaseProposer("c", "a", 1, TIMINGS, 3)

    def reply(self, acceptor, now, status=ReplyStatus.GRANTED, **fields):
        """Deliver a reply to the request in progress."""
        request = self.proposer.current_round.request
        reply = AcceptorReply.to_request(request, status)._replace(**fields)
        return self.proposer.on_reply(acceptor, reply, now)

    def acquire(self):
        self.proposer.acquire(0)
        self.reply("r0", 10)
        self.assertEqual(self.reply("r1", 10), [ProposerEffect.HOLD])

    def test_a_lease_that_a_majority_grants_counts_from_the_send(self):
        self.assertEqual(self.proposer.acquire(0), [ProposerEffect.PREPARE])
        self.assertEqual(self.reply("r0", 10), [])
        self.assertFalse(self.proposer.holds(10))
        self.assertEqual(self.reply("r1", 10), [ProposerEffect.HOLD])
        end = TIMINGS.holder_duration()
        self.assertTrue(self.proposer.holds(end - 1))
        self.assertFalse(self.proposer.holds(end))

    def test_an_unsettled_write_is_repaired_before_the_lease_is_held(self):
        self.proposer.acquire(0)
        self.reply("r0", 10, version=WRITTEN, value=b"v", value_age=UNKNOWN)
        self.assertEqual(self.reply("r1", 10), [ProposerEffect.REPAIR])
        request = self.proposer.current_round.request
        self.assertIs(request.kind, RequestKind.ACCEPT)
        self.assertEqual((request.value, request.is_original), (b"v", False))
        self.reply("r1", 20)
        self.assertEqual(self.reply("r2", 20), [ProposerEffect.HOLD])
        self.assertEqual(self.proposer.value, b"v")

    def test_only_the_last_of_several_queued_writes_is_carried_out(self):
        self.acquire()
        self.assertEqual(self.proposer.write(b"1", 20), [ProposerEffect.WRITE])
        self.assertEqual(self.proposer.write(b"2", 21), [ProposerEffect.QUEUE])
        self.assertEqual(self.proposer.write(b"3", 22), [ProposerEffect.QUEUE])
        self.reply("r0", 30)
        effects = self.reply("r1", 30)
        self.assertEqual(effects, [ProposerEffect.WRITTEN, ProposerEffect.WRITE])
        self.assertEqual(self.proposer.current_round.request.value, b"3")
        self.assertEqual(self.proposer.current_round.request.created_at, 22)

    def test_a_refused_ballot_is_raised_until_the_attempts_are_used_up(self):
        self.proposer.acquire(0)
        low = ReplyStatus.BALLOT_TOO_LOW
        for promised in (7, 9):
            self.reply("r0", 10, low, promised_round=promised)
            effects = self.reply("r1", 10, low, promised_round=promised)
            self.assertEqual(effects, [ProposerEffect.PREPARE_HIGHER])
            self.assertEqual(self.proposer.ballot.round, promised + 1)
        self.reply("r0", 10, low)
        self.assertEqual(self.reply("r1", 10, low), [ProposerEffect.LOSE])

    def test_the_lease_lasts_until_its_end_when_a_renewal_times_out(self):
        self.acquire()
        self.assertEqual(self.proposer.acquire(100), [ProposerEffect.RENEW])
        over = 100 + TIMINGS.call_timeout
        self.assertEqual(self.proposer.on_timer(over - 1), [])
        self.assertEqual(self.proposer.on_timer(over), [ProposerEffect.KEEP])
        self.assertTrue(self.proposer.holds(over))

    def test_a_write_that_times_out_ends_the_term_without_a_release(self):
        self.acquire()
        self.proposer.write(b"1", 20)
        effects = self.proposer.on_timer(20 + TIMINGS.call_timeout)
        self.assertEqual(effects, [ProposerEffect.LOSE])
        self.assertIs(self.proposer.state, ProposerState.IDLE)
        self.assertIsNone(self.proposer.release_request)

    def test_replies_to_an_earlier_renewal_are_ignored(self):
        self.acquire()
        self.proposer.acquire(100)
        first = self.proposer.current_round.request
        self.proposer.on_timer(100 + TIMINGS.call_timeout)
        self.proposer.acquire(4000)
        late = AcceptorReply.to_request(first, ReplyStatus.GRANTED)
        self.assertEqual(self.proposer.on_reply("r0", late, 4001), [])
        self.assertEqual(self.proposer.current_round.granted, {})


if __name__ == "__main__":
    unittest.main()
