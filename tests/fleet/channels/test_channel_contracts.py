"""Sequencers of channels by table, their records encoded and decoded, the model checks."""

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
from milletsill.fleet.channels.sequences import (
    CompletedSequence,
    OpenSequence,
    PendingNumber,
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
    """What the channel wants done, as words: `go N`, `N answer`, ... and forgets."""
    found = []
    for effect in channel.immediate_effects + channel.effects_after_write:
        if isinstance(effect, Release):
            found.append(
                f"go {effect.number}"
                + (f"/{effect.key_generation}" if effect.key_generation else "")
                + (" again" if effect.is_retry else "")
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


def submit(channel, number, now=1, on=1, claim=None, digest=None, ends=50_000, **more):
    channel.submit(
        now,
        PendingNumber(
            number,
            channel.claim if claim is None else claim,
            digest or number,
            (AccessRange(on),),
            ends,
            KEY_WINDOW,
            f"a{number}",
            **more,
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
    def test_one_after_another_and_remembered(self):
        channel = new_channel()
        self.assertEqual(submit(channel, 2), [])
        self.assertEqual(submit(channel, 1), ["go 1"])
        self.assertEqual(submit(channel, 1), [])  # joins
        self.assertEqual(end(channel, 1), ["a1 answer 1", "a1 answer 1", "go 2"])
        self.assertEqual(submit(channel, 1), ["a1 answer 1"])
        self.assertEqual(submit(channel, 1, digest=99), ["a1 contract 1"])

    def test_a_gap_waits_and_is_rejected_naming_the_next(self):
        channel = new_channel()
        submit(channel, 3)
        self.assertEqual(advance(channel, GAP_TIMEOUT), [])
        self.assertEqual(advance(channel, GAP_TIMEOUT + 1), ["a3 declined 1"])
        submit(channel, 3, now=2000, ends=2100)
        self.assertEqual(
            advance(channel, 2100), ["a3 declined 1"]
        )  # its patience first

    def test_never_ran_is_free_again_and_bounds(self):
        channel = new_channel(max_waiting=2)
        submit(channel, 1)
        submit(channel, 2)
        self.assertEqual(submit(channel, 3), ["a3 declined 1"])
        self.assertEqual(end(channel, 1, NumberEvent.NEVER_RAN), ["a1 declined 1"])
        self.assertEqual(submit(channel, 5000), ["a5000 declined 1"])
        self.assertEqual(submit(channel, 1), ["go 1"])

    def test_an_indeterminate_number_is_quarantined_then_comes_again_under_its_ticket(
        self,
    ):
        channel = new_channel()
        submit(channel, 1)
        submit(channel, 2)
        self.assertEqual(end(channel, 1, NumberEvent.ANSWER_LOST, 10), ["a1 aborted 1"])
        self.assertEqual(submit(channel, 1, now=50), [])
        self.assertEqual(advance(channel, 10 + QUARANTINE), ["go 1 again"])
        self.assertEqual(
            end(channel, 1, NumberEvent.NEVER_RAN, 200), ["a1 aborted 1"]
        )  # an earlier try may have run
        self.assertEqual(advance(channel, 200 + QUARANTINE), ["go 2"])
        self.assertEqual(submit(channel, 1), ["a1 aborted"])

    def test_an_indeterminate_number_stops_until_the_client_says(self):
        channel = new_channel(policy=IndeterminatePolicy.STOP)
        submit(channel, 1)
        end(channel, 1, NumberEvent.ANSWER_LOST, 10)
        submit(channel, 2)
        channel.resolve(50, 1, NumberEvent.RESOLVED_NOT_DONE, channel.claim, "s")
        self.assertEqual(take_effects(channel), ["s declined"])  # the rest first
        self.assertEqual(advance(channel, 10 + QUARANTINE), ["a2 stopped 1"])
        self.assertEqual(
            submit(channel, 1, now=KEY_WINDOW + 10), ["a1 stopped 1"]
        )  # no ticket is remembered any more
        channel.resolve(
            KEY_WINDOW + 10, 1, NumberEvent.RESOLVED_NOT_DONE, channel.claim, "s"
        )
        self.assertEqual(take_effects(channel), ["s answer 1"])
        self.assertEqual(submit(channel, 1, now=KEY_WINDOW + 20), ["go 1/1"])
        channel.resolve(
            KEY_WINDOW + 20, 7, NumberEvent.RESOLVED_DONE, channel.claim, "s"
        )
        self.assertEqual(take_effects(channel), ["s contract 7"])

    def test_claims(self):
        channel = new_channel()
        submit(channel, 1)
        submit(channel, 2)
        channel.open(5, ChannelDeclaration(channel.contract), "later", "second")
        self.assertEqual(take_effects(channel), ["a2 claim-lost", "second claimed"])
        channel.open(
            5, ChannelDeclaration(channel.contract), "later", "second"
        )  # the same word twice
        self.assertEqual(
            (channel.claim, take_effects(channel)), (2, ["second claimed"])
        )
        self.assertEqual(submit(channel, 2, claim=1), ["a2 claim-lost"])
        self.assertEqual(submit(channel, 2), [])
        self.assertEqual(end(channel, 1), ["a1 answer 1", "go 2"])

    def test_left_out_by_the_client(self):
        channel = new_channel()
        submit(channel, 2)
        channel.resolve(3, 1, NumberEvent.RESOLVED_SKIPPED, channel.claim, "s")
        self.assertEqual(take_effects(channel), ["s answer 1", "go 2"])
        self.assertEqual(submit(channel, 1), ["a1 left-out"])

    def test_memory_is_bounded(self):
        channel = new_channel()
        for number in range(1, MAX_REMEMBERED + 3):
            submit(channel, number)
            end(channel, number)
        self.assertEqual(submit(channel, 2), ["a2 over"])
        self.assertLess(len(codec.encode_record(channel, 5)), codec.MAX_RECORD_BYTES)

    def test_the_largest_record_is_stored_by_an_acceptor(self):
        far, two = (1 << 62) + 1, (AccessRange((1 << 64) - 1, 1 << 60, 1 << 61),) * 2
        channel = new_channel(ChannelOrder.BY_EXTENT, name="n" * 64)
        channel.next_contract = ContractChange(far, channel.contract)
        channel.claim_token = "t" * 100
        channel.lowest_open = far
        channel.claim = 1 << 60
        channel.closed = {far + each for each in range(1, MAX_NUMBERS_AHEAD, 2)}
        for each in range(64):
            channel.open_sequences[far + 2 * each] = OpenSequence(
                NumberState.RELEASED,
                (1 << 64) - 1,
                two,
                1 << 60,
                True,
                first_released_at=-(1 << 50),
            )
        for each in range(MAX_REMEMBERED):
            channel.completed[far + each] = CompletedSequence(3, 255, (1 << 64) - 1)
        channel.pinned_ranges = {far + each: two for each in range(MAX_PINNED)}
        channel.key_generations = {
            far + each: 1 << 30 for each in range(MAX_KEY_GENERATIONS)
        }
        self.assertLess(len(codec.encode_record(channel, 5)), codec.MAX_RECORD_BYTES)


class OtherOrders(unittest.TestCase):
    def test_newest(self):
        channel = new_channel(ChannelOrder.NEWEST)
        self.assertEqual(submit(channel, 5), ["go 5"])
        submit(channel, 7)
        submit(channel, 9)
        self.assertEqual(end(channel, 5), ["a5 answer 5", "go 9"])
        self.assertEqual(
            end(channel, 9, NumberEvent.NEVER_RAN), ["a9 declined 6", "go 7"]
        )
        self.assertEqual(submit(channel, 9), [])
        self.assertEqual(end(channel, 7, NumberEvent.ANSWER_LOST, 10), ["a7 aborted 7"])
        self.assertEqual(advance(channel, 10 + QUARANTINE), ["go 9"])
        self.assertEqual(submit(channel, 8, now=200), [])
        self.assertEqual(end(channel, 9), ["a8 superseded 9", "a9 answer 9"])
        self.assertEqual(submit(channel, 3), ["a3 superseded 9"])

    def test_by_extent(self):
        channel = new_channel(ChannelOrder.BY_EXTENT)
        self.assertEqual(submit(channel, 1, on=1), ["go 1"])
        self.assertEqual(submit(channel, 2, on=1), [])
        self.assertEqual(submit(channel, 3, on=2), ["go 3"])
        self.assertEqual(submit(channel, 5, on=3), [])  # 4 may be of any extent
        self.assertEqual(submit(channel, 4, on=4), ["go 4", "go 5"])
        advance(channel, 50_000)
        self.assertEqual(
            submit(channel, 2, on=3), ["a2 contract 2"]
        )  # it was overtaken: pinned to what it touched
        self.assertEqual(
            end(channel, 1, NumberEvent.ANSWER_LOST, 60_000), ["a1 aborted 1"]
        )
        self.assertEqual(submit(channel, 2, on=1, now=60_001, ends=90_000), [])
        self.assertEqual(advance(channel, 60_000 + QUARANTINE), ["go 2"])

    def test_batches(self):
        channel = new_channel(ChannelOrder.BATCHES)
        self.assertEqual(submit(channel, 1), ["a1 contract 1"])  # of no batch
        self.assertEqual(submit(channel, 3, batch=1, ends_batch=True), ["go 3"])
        self.assertEqual(submit(channel, 1, batch=1), ["go 1"])
        self.assertEqual(submit(channel, 4, batch=2), [])
        self.assertEqual(end(channel, 3), ["a3 answer 3"])
        self.assertEqual(submit(channel, 5, batch=1), ["a5 contract 5"])
        self.assertEqual(
            submit(channel, 2, batch=1, ends_batch=True), ["a2 contract 2"]
        )
        self.assertEqual(end(channel, 1), ["a1 answer 1"])
        self.assertEqual(submit(channel, 2, batch=1), ["go 2"])
        self.assertEqual(end(channel, 2), ["a2 answer 2", "go 4"])

    def test_another_contract_from_a_number_on(self):
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
        self.assertEqual(submit(channel, 2), ["go 2"])
        self.assertEqual(end(channel, 2), ["a2 answer 2", "go 9"])
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

    def test_from_the_newest_to_another_contract(self):
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
        self.assertEqual(
            end(channel, 3), ["a3 answer 3", "go 5"]
        )  # not held up by what waits for the change
        self.assertEqual(end(channel, 5), ["a5 answer 5", "go 8"])
        self.assertEqual(
            (end(channel, 8), channel.contract.version), (["a8 answer 8", "go 9"], 2)
        )


class Records(unittest.TestCase):
    def test_out_and_in_again(self):
        channel = new_channel(ChannelOrder.BY_EXTENT)
        submit(channel, 1, on=1)
        submit(channel, 2, on=1)
        submit(channel, 3, on=2)
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
        self.assertEqual(found.open_sequences[1].first_released_at, 1000 - 40 - 10)
        self.assertEqual(submit(found, 1, on=1, now=1001), [])
        self.assertEqual(advance(found, 1000 + QUARANTINE), ["go 1 again"])
        unknown = codec.decode_record(data, QUARANTINE, 1000, None)
        self.assertEqual(submit(unknown, 1, on=1, now=1001), ["a1 aborted 1"])
        self.assertEqual(submit(unknown, 2, on=1, now=1001), [])
        self.assertEqual(
            advance(unknown, 1000 + QUARANTINE), []
        )  # its client may come again for as long as a hole waits
        self.assertEqual(advance(unknown, 1000 + GAP_TIMEOUT), ["go 2"])
        for torn in (b"", data[:9], b"\xff" * 40):
            with self.assertRaises(ChannelRecordUnreadableError):
                codec.decode_record(torn, QUARANTINE, 0, 0)


class Model(unittest.TestCase):
    """The program's own owner under losses, doubles, late runs, stalls and kills.

    Sizes for a few seconds, more by the module's own command.
    """

    def test_every_order_of_events_at_small_sizes(self):
        for case in channel_model.CASES:
            for start in channel_model.STARTS:
                self.assertIsNone(
                    channel_model.explore(case, start, 4, 120).violation,
                    (case, start),
                )

    def test_scripts_and_chance(self):
        self.assertIsNone(channel_model.find_violation(8))

    def test_each_guard_is_needed(self):
        for guard in channel_mutation_checks.MUTATIONS:
            with channel_mutation_checks.without(guard):
                self.assertIsNotNone(channel_model.find_violation(14), guard)
