"""Tests of the channel sequencer under each order, of its record, and model checks."""

from __future__ import annotations

import unittest

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.access_ranges import AccessRange
from milletsill.fleet.channels.channel_sequencer import ChannelSequencer
from milletsill.fleet.channels.contracts import (
    ChannelDeclaration,
    ChannelOrder,
    ContractChange,
    IndeterminatePolicy,
    OrderingContract,
)
from milletsill.fleet.channels.effects import AnswerChannelOpen, Notify, Release
from milletsill.fleet.channels.errors import (
    ChannelRecordUnreadableError,
    ContractConflictError,
    ContractOutdatedError,
)
from milletsill.fleet.channels.limits import (
    MAX_KEY_GENERATIONS,
    MAX_NUMBERS_AHEAD,
    MAX_PINNED,
    MAX_REMEMBERED,
)
from milletsill.fleet.channels.number_states import NumberEvent, NumberState
from milletsill.fleet.channels.tracked_numbers import (
    CompletedNumber,
    OpenNumber,
    PendingRequest,
)
from milletsill.lab.model_checks import channel_model, channel_mutation_checks

QUARANTINE = 100
KEY_WINDOW = 5000
GAP_TIMEOUT = 1000


def new_channel(
    order=ChannelOrder.EACH_IN_ORDER,
    policy=IndeterminatePolicy.QUARANTINE,
    name="c",
    **terms,
):
    contract = OrderingContract(
        name, 1, order, policy, gap_timeout=GAP_TIMEOUT, **terms
    )
    channel = ChannelSequencer(contract, QUARANTINE)
    channel.open(0, ChannelDeclaration(channel.contract), "t", "opener")
    take_effects(channel)
    return channel


def take_effects(channel):
    """Return the channel's effects as short texts, and clear them.

    For example `release N`, `release N retry` or `aN answer N`.
    """
    found = []
    for effect in channel.immediate_effects + channel.effects_after_write:
        if isinstance(effect, Release):
            found.append(
                f"release {effect.number}"
                + (f"/{effect.key_generation}" if effect.key_generation else "")
                + (" retry" if effect.is_retry else "")
            )
        elif isinstance(effect, Notify):
            found.append(
                f"{effect.recipient} {effect.kind.value}"
                + (f" {effect.number}" if effect.number is not None else "")
            )
        elif isinstance(effect, AnswerChannelOpen):
            found.append(f"{effect.recipient} claimed")
    channel.immediate_effects = []
    channel.effects_after_write = []
    return found


def submit(
    channel,
    number,
    now=1,
    object_id=1,
    claim=None,
    digest=None,
    deadline=50_000,
    **fields,
):
    channel.submit(
        now,
        PendingRequest(
            number,
            channel.claim if claim is None else claim,
            digest or number,
            (AccessRange(object_id),),
            deadline,
            KEY_WINDOW,
            f"a{number}",
            **fields,
        ),
    )
    return take_effects(channel)


def end(channel, number, event=NumberEvent.SETTLED, now=2):
    channel.on_attempt_ended(now, number, event)
    return take_effects(channel)


def advance(channel, now):
    channel.release_ready(now)
    return take_effects(channel)


class EachInOrder(unittest.TestCase):
    def test_numbers_start_in_order_and_outcomes_are_remembered(self):
        channel = new_channel()
        self.assertEqual(submit(channel, 2), [])
        self.assertEqual(submit(channel, 1), ["release 1"])
        self.assertEqual(submit(channel, 1), [])  # joins the attempt in flight
        self.assertEqual(end(channel, 1), ["a1 answer 1", "a1 answer 1", "release 2"])
        self.assertEqual(submit(channel, 1), ["a1 answer 1"])
        self.assertEqual(submit(channel, 1, digest=99), ["a1 contract 1"])

    def test_a_request_behind_a_gap_is_rejected_after_the_gap_timeout(self):
        channel = new_channel()
        submit(channel, 3)
        self.assertEqual(advance(channel, GAP_TIMEOUT), [])
        self.assertEqual(advance(channel, GAP_TIMEOUT + 1), ["a3 declined 1"])
        submit(channel, 3, now=2000, deadline=2100)
        # The deadline passes before the gap timeout.
        self.assertEqual(advance(channel, 2100), ["a3 declined 1"])

    def test_a_number_that_never_ran_is_free_again_and_limits_hold(self):
        channel = new_channel(max_waiting=2)
        submit(channel, 1)
        submit(channel, 2)
        self.assertEqual(submit(channel, 3), ["a3 declined 1"])
        self.assertEqual(end(channel, 1, NumberEvent.NEVER_RAN), ["a1 declined 1"])
        self.assertEqual(submit(channel, 5000), ["a5000 declined 1"])
        self.assertEqual(submit(channel, 1), ["release 1"])

    def test_an_indeterminate_number_is_retried_under_its_key_after_the_quarantine(
        self,
    ):
        channel = new_channel()
        submit(channel, 1)
        submit(channel, 2)
        self.assertEqual(end(channel, 1, NumberEvent.ANSWER_LOST, 10), ["a1 aborted 1"])
        self.assertEqual(submit(channel, 1, now=50), [])
        self.assertEqual(advance(channel, 10 + QUARANTINE), ["release 1 retry"])
        # An earlier attempt may have run.
        self.assertEqual(end(channel, 1, NumberEvent.NEVER_RAN, 200), ["a1 aborted 1"])
        self.assertEqual(advance(channel, 200 + QUARANTINE), ["release 2"])
        self.assertEqual(submit(channel, 1), ["a1 aborted"])

    def test_an_indeterminate_number_stops_later_ones_until_it_is_resolved(self):
        channel = new_channel(policy=IndeterminatePolicy.STOP)
        submit(channel, 1)
        end(channel, 1, NumberEvent.ANSWER_LOST, 10)
        submit(channel, 2)
        channel.resolve(50, 1, NumberEvent.RESOLVED_NOT_DONE, channel.claim, "s")
        self.assertEqual(take_effects(channel), ["s declined"])  # still in quarantine
        self.assertEqual(advance(channel, 10 + QUARANTINE), ["a2 stopped 1"])
        # The window of its idempotency key has passed.
        self.assertEqual(submit(channel, 1, now=KEY_WINDOW + 10), ["a1 stopped 1"])
        channel.resolve(
            KEY_WINDOW + 10, 1, NumberEvent.RESOLVED_NOT_DONE, channel.claim, "s"
        )
        self.assertEqual(take_effects(channel), ["s answer 1"])
        self.assertEqual(submit(channel, 1, now=KEY_WINDOW + 20), ["release 1/1"])
        channel.resolve(
            KEY_WINDOW + 20, 7, NumberEvent.RESOLVED_DONE, channel.claim, "s"
        )
        self.assertEqual(take_effects(channel), ["s contract 7"])

    def test_a_new_claim_ends_the_previous_one(self):
        channel = new_channel()
        submit(channel, 1)
        submit(channel, 2)
        channel.open(5, ChannelDeclaration(channel.contract), "later", "second")
        self.assertEqual(take_effects(channel), ["a2 claim-lost", "second claimed"])
        # The same command arrives twice.
        channel.open(5, ChannelDeclaration(channel.contract), "later", "second")
        self.assertEqual(
            (channel.claim, take_effects(channel)), (2, ["second claimed"])
        )
        self.assertEqual(submit(channel, 2, claim=1), ["a2 claim-lost"])
        self.assertEqual(submit(channel, 2), [])
        self.assertEqual(end(channel, 1), ["a1 answer 1", "release 2"])

    def test_a_number_that_the_client_skips(self):
        channel = new_channel()
        submit(channel, 2)
        channel.resolve(3, 1, NumberEvent.RESOLVED_SKIPPED, channel.claim, "s")
        self.assertEqual(take_effects(channel), ["s answer 1", "release 2"])
        self.assertEqual(submit(channel, 1), ["a1 left-out"])

    def test_the_number_of_remembered_outcomes_is_bounded(self):
        channel = new_channel()
        for number in range(1, MAX_REMEMBERED + 3):
            submit(channel, number)
            end(channel, number)
        self.assertEqual(submit(channel, 2), ["a2 over"])
        self.assertLess(len(codec.encode_record(channel, 5)), codec.MAX_RECORD_BYTES)

    def test_the_largest_record_fits_an_acceptor(self):
        far, two = (1 << 62) + 1, (AccessRange((1 << 64) - 1, 1 << 60, 1 << 61),) * 2
        channel = new_channel(ChannelOrder.BY_EXTENT, name="n" * 64)
        channel.next_contract = ContractChange(far, channel.contract)
        channel.claim_token = "t" * 100
        channel.lowest_open = far
        channel.claim = 1 << 60
        channel.closed = {far + each for each in range(1, MAX_NUMBERS_AHEAD, 2)}
        for each in range(64):
            channel.open_numbers[far + 2 * each] = OpenNumber(
                NumberState.RELEASED,
                (1 << 64) - 1,
                two,
                1 << 60,
                True,
                first_released_at=-(1 << 50),
            )
        for each in range(MAX_REMEMBERED):
            channel.completed[far + each] = CompletedNumber(3, 255, (1 << 64) - 1)
        channel.pinned_ranges = {far + each: two for each in range(MAX_PINNED)}
        channel.key_generations = {
            far + each: 1 << 30 for each in range(MAX_KEY_GENERATIONS)
        }
        self.assertLess(len(codec.encode_record(channel, 5)), codec.MAX_RECORD_BYTES)


class OtherOrders(unittest.TestCase):
    def test_newest(self):
        channel = new_channel(ChannelOrder.NEWEST)
        self.assertEqual(submit(channel, 5), ["release 5"])
        submit(channel, 7)
        submit(channel, 9)
        self.assertEqual(end(channel, 5), ["a5 answer 5", "release 9"])
        self.assertEqual(
            end(channel, 9, NumberEvent.NEVER_RAN), ["a9 declined 6", "release 7"]
        )
        self.assertEqual(submit(channel, 9), [])
        self.assertEqual(end(channel, 7, NumberEvent.ANSWER_LOST, 10), ["a7 aborted 7"])
        self.assertEqual(advance(channel, 10 + QUARANTINE), ["release 9"])
        self.assertEqual(submit(channel, 8, now=200), [])
        self.assertEqual(end(channel, 9), ["a8 superseded 9", "a9 answer 9"])
        self.assertEqual(submit(channel, 3), ["a3 superseded 9"])

    def test_by_extent(self):
        channel = new_channel(ChannelOrder.BY_EXTENT)
        self.assertEqual(submit(channel, 1, object_id=1), ["release 1"])
        self.assertEqual(submit(channel, 2, object_id=1), [])
        self.assertEqual(submit(channel, 3, object_id=2), ["release 3"])
        # The absent number 4 may touch any extent.
        self.assertEqual(submit(channel, 5, object_id=3), [])
        self.assertEqual(submit(channel, 4, object_id=4), ["release 4", "release 5"])
        advance(channel, 50_000)
        # It was overtaken, so it is pinned to its access ranges.
        self.assertEqual(submit(channel, 2, object_id=3), ["a2 contract 2"])
        self.assertEqual(
            end(channel, 1, NumberEvent.ANSWER_LOST, 60_000), ["a1 aborted 1"]
        )
        self.assertEqual(
            submit(channel, 2, object_id=1, now=60_001, deadline=90_000), []
        )
        self.assertEqual(advance(channel, 60_000 + QUARANTINE), ["release 2"])

    def test_batches(self):
        channel = new_channel(ChannelOrder.BATCHES)
        self.assertEqual(submit(channel, 1), ["a1 contract 1"])  # has no batch
        self.assertEqual(submit(channel, 3, batch=1, ends_batch=True), ["release 3"])
        self.assertEqual(submit(channel, 1, batch=1), ["release 1"])
        self.assertEqual(submit(channel, 4, batch=2), [])
        self.assertEqual(end(channel, 3), ["a3 answer 3"])
        self.assertEqual(submit(channel, 5, batch=1), ["a5 contract 5"])
        self.assertEqual(
            submit(channel, 2, batch=1, ends_batch=True), ["a2 contract 2"]
        )
        self.assertEqual(end(channel, 1), ["a1 answer 1"])
        self.assertEqual(submit(channel, 2, batch=1), ["release 2"])
        self.assertEqual(end(channel, 2), ["a2 answer 2", "release 4"])

    def test_a_contract_changes_at_a_declared_number(self):
        channel = new_channel()
        later = OrderingContract("c", 2, ChannelOrder.NEWEST, gap_timeout=GAP_TIMEOUT)
        submit(channel, 1)
        with self.assertRaises(ContractConflictError):
            channel.open(3, ChannelDeclaration(later, 1), "x", "o")
        channel.open(3, ChannelDeclaration(later, 3), "y", "o")
        take_effects(channel)
        with self.assertRaises(ContractConflictError):
            channel.open(3, ChannelDeclaration(later, 4), "y", "o")
        with self.assertRaises(ContractConflictError):
            channel.open(
                3,
                ChannelDeclaration(OrderingContract("c", 2, ChannelOrder.BATCHES)),
                "z",
                "o",
            )
        self.assertEqual(submit(channel, 9), [])
        self.assertEqual(end(channel, 1), ["a1 answer 1"])
        self.assertEqual(submit(channel, 2), ["release 2"])
        self.assertEqual(end(channel, 2), ["a2 answer 2", "release 9"])
        self.assertEqual(channel.contract, later)
        with self.assertRaises(ContractOutdatedError):
            channel.open(
                3,
                ChannelDeclaration(
                    OrderingContract("c", 1, ChannelOrder.EACH_IN_ORDER)
                ),
                "w",
                "o",
            )

    def test_a_contract_changes_from_newest_to_each_in_order(self):
        channel = new_channel(ChannelOrder.NEWEST)
        submit(channel, 3)
        channel.open(
            3,
            ChannelDeclaration(OrderingContract("c", 2, ChannelOrder.EACH_IN_ORDER), 8),
            "y",
            "o",
        )
        take_effects(channel)
        self.assertEqual(
            (submit(channel, 9), submit(channel, 8), submit(channel, 5)), ([], [], [])
        )
        # Numbers from the change on do not hold it back.
        self.assertEqual(end(channel, 3), ["a3 answer 3", "release 5"])
        self.assertEqual(end(channel, 5), ["a5 answer 5", "release 8"])
        self.assertEqual(
            (end(channel, 8), channel.contract.version),
            (["a8 answer 8", "release 9"], 2),
        )


class Records(unittest.TestCase):
    def test_a_decoded_record_has_the_encoded_state(self):
        channel = new_channel(ChannelOrder.BY_EXTENT)
        submit(channel, 1, object_id=1)
        submit(channel, 2, object_id=1)
        submit(channel, 3, object_id=2)
        end(channel, 3)
        data = codec.encode_record(channel, 11)
        found = codec.decode_record(data, QUARANTINE, 1000, 40)
        self.assertEqual(
            (
                found.lowest_open,
                found.closed,
                found.claim,
                found.highest_released,
                list(found.pinned_ranges),
            ),
            (1, {3}, 1, 3, [2]),
        )
        self.assertEqual(found.open_numbers[1].first_released_at, 1000 - 40 - 10)
        self.assertEqual(submit(found, 1, object_id=1, now=1001), [])
        self.assertEqual(advance(found, 1000 + QUARANTINE), ["release 1 retry"])
        unknown = codec.decode_record(data, QUARANTINE, 1000, None)
        self.assertEqual(submit(unknown, 1, object_id=1, now=1001), ["a1 aborted 1"])
        self.assertEqual(submit(unknown, 2, object_id=1, now=1001), [])
        # Number 1 is reserved for its client until the gap timeout.
        self.assertEqual(advance(unknown, 1000 + QUARANTINE), [])
        self.assertEqual(advance(unknown, 1000 + GAP_TIMEOUT), ["release 2"])
        for torn in (b"", data[:9], b"\xff" * 40):
            with self.assertRaises(ChannelRecordUnreadableError):
                codec.decode_record(torn, QUARANTINE, 0, 0)


class Model(unittest.TestCase):
    """Model checks of the real channel owner.

    The simulated cluster loses and duplicates commands, runs attempts late, and stalls
    and kills owners. The sizes here take a few seconds; the command line of
    `milletsill.lab.model_checks.channel_model` runs larger ones.
    """

    def test_every_order_of_four_events_keeps_the_contracts(self):
        for case in channel_model.CASES:
            for start in channel_model.STARTS:
                self.assertIsNone(
                    channel_model.explore(case, start, 4, 120).violation,
                    (case, start),
                )

    def test_scripted_and_random_runs_keep_the_contracts(self):
        self.assertIsNone(channel_model.find_violation(8))

    def test_the_model_detects_each_missing_guard(self):
        for guard in channel_mutation_checks.MUTATIONS:
            with channel_mutation_checks.without(guard):
                self.assertIsNotNone(channel_model.find_violation(14), guard)
