"""The contract machines: each case a table of what comes and what is heard; the record out and in again; the model."""

from __future__ import annotations

import unittest

from milletsill.fleet.channels import codec, ordering
from milletsill.fleet.channels.channel_sequencer import Line
from milletsill.fleet.channels.errors import (
    ContractOutdated,
    ContractConflict,
    ChannelRecordUnreadable,
)
from milletsill.fleet.channels.ordering import (
    REMEMBERED,
    Contract,
    Declared,
    Input,
    Order,
    Reach,
    Unsure,
)
from milletsill.fleet.channels.sequences import (
    Claimed,
    Closed,
    Coming,
    Entry,
    LetGo,
    Tell,
)
from milletsill.lab.model_checks import channel_model

REST, WINDOW, HOLE = 100, 5000, 1000


def channel(order=Order.EACH_IN_ORDER, unsure=Unsure.REST, name="c", **terms):
    line = Line(Contract(name, 1, order, unsure, hole=HOLE, **terms), REST)
    line.open(0, Declared(line.contract), "t", "opener")
    said(line)
    return line


def said(line):
    """What the line wants done, as words: `go N`, `N answer`, ... and forgets."""
    found = []
    for each in line.at_once + line.after:
        if isinstance(each, LetGo):
            found.append(
                f"go {each.number}"
                + (f"/{each.turn}" if each.turn else "")
                + (" again" if each.again else "")
            )
        elif isinstance(each, Tell):
            found.append(
                f"{each.asker} {each.word}"
                + (f" {each.number}" if each.number is not None else "")
            )
        elif isinstance(each, Claimed):
            found.append(f"{each.asker} claimed")
    line.at_once, line.after = [], []
    return found


def come(line, number, now=1, on=1, claim=None, digest=None, ends=50_000, **more):
    line.come(
        now,
        Coming(
            number,
            line.claim if claim is None else claim,
            digest or number,
            (Reach(on),),
            ends,
            WINDOW,
            f"a{number}",
            **more,
        ),
    )
    return said(line)


def end(line, number, input=Input.SETTLED, now=2):
    line.ended(now, number, input)
    return said(line)


def on(line, now):
    line.go_on(now)
    return said(line)


class EachInOrder(unittest.TestCase):
    def test_one_after_another_and_remembered(self):
        line = channel()
        self.assertEqual(come(line, 2), [])
        self.assertEqual(come(line, 1), ["go 1"])
        self.assertEqual(come(line, 1), [])  # joins
        self.assertEqual(end(line, 1), ["a1 answer 1", "a1 answer 1", "go 2"])
        self.assertEqual(come(line, 1), ["a1 answer 1"])
        self.assertEqual(come(line, 1, digest=99), ["a1 contract 1"])

    def test_a_hole_waits_and_is_declined_naming_the_next(self):
        line = channel()
        come(line, 3)
        self.assertEqual(on(line, HOLE), [])
        self.assertEqual(on(line, HOLE + 1), ["a3 declined 1"])
        come(line, 3, now=2000, ends=2100)
        self.assertEqual(on(line, 2100), ["a3 declined 1"])  # its patience first

    def test_never_ran_is_free_again_and_bounds(self):
        line = channel(most_waiting=2)
        come(line, 1), come(line, 2)
        self.assertEqual(come(line, 3), ["a3 declined 1"])
        self.assertEqual(end(line, 1, Input.NEVER_RAN), ["a1 declined 1"])
        self.assertEqual(come(line, 5000), ["a5000 declined 1"])
        self.assertEqual(come(line, 1), ["go 1"])

    def test_unsure_rests_then_comes_again_under_its_ticket(self):
        line = channel()
        come(line, 1), come(line, 2)
        self.assertEqual(end(line, 1, Input.LOST, 10), ["a1 aborted 1"])
        self.assertEqual(come(line, 1, now=50), [])
        self.assertEqual(on(line, 10 + REST), ["go 1 again"])
        self.assertEqual(
            end(line, 1, Input.NEVER_RAN, 200), ["a1 aborted 1"]
        )  # an earlier try may have run
        self.assertEqual(on(line, 200 + REST), ["go 2"])
        self.assertEqual(come(line, 1), ["a1 aborted"])

    def test_unsure_stops_until_the_client_says(self):
        line = channel(unsure=Unsure.STOP)
        come(line, 1), end(line, 1, Input.LOST, 10), come(line, 2)
        line.say(50, 1, Input.SAID_AGAIN, line.claim, "s")
        self.assertEqual(said(line), ["s declined"])  # the rest first
        self.assertEqual(on(line, 10 + REST), ["a2 stopped 1"])
        self.assertEqual(
            come(line, 1, now=WINDOW + 10), ["a1 stopped 1"]
        )  # no ticket is remembered any more
        line.say(WINDOW + 10, 1, Input.SAID_AGAIN, line.claim, "s")
        self.assertEqual(said(line), ["s answer 1"])
        self.assertEqual(come(line, 1, now=WINDOW + 20), ["go 1/1"])
        line.say(WINDOW + 20, 7, Input.SAID_DONE, line.claim, "s")
        self.assertEqual(said(line), ["s contract 7"])

    def test_claims(self):
        line = channel()
        come(line, 1), come(line, 2)
        line.open(5, Declared(line.contract), "later", "second")
        self.assertEqual(said(line), ["a2 claim-lost", "second claimed"])
        line.open(5, Declared(line.contract), "later", "second")  # the same word twice
        self.assertEqual((line.claim, said(line)), (2, ["second claimed"]))
        self.assertEqual(come(line, 2, claim=1), ["a2 claim-lost"])
        self.assertEqual(come(line, 2), [])
        self.assertEqual(end(line, 1), ["a1 answer 1", "go 2"])

    def test_left_out_by_the_client(self):
        line = channel()
        come(line, 2)
        line.say(3, 1, Input.SAID_LEFT_OUT, line.claim, "s")
        self.assertEqual(said(line), ["s answer 1", "go 2"])
        self.assertEqual(come(line, 1), ["a1 left-out"])

    def test_memory_is_bounded(self):
        line = channel()
        for number in range(1, REMEMBERED + 3):
            come(line, number), end(line, number)
        self.assertEqual(come(line, 2), ["a2 over"])
        self.assertLess(len(codec.put_record(line, 5)), codec.MOST_RECORD)

    def test_the_largest_record_is_taken_by_a_register(self):
        far, two = (1 << 62) + 1, (Reach((1 << 64) - 1, 1 << 60, 1 << 61),) * 2
        line = channel(Order.BY_EXTENT, name="n" * 64)
        line.coming, line.token, line.floor, line.claim = (
            (far, line.contract),
            "t" * 100,
            far,
            1 << 60,
        )
        line.closed = {far + each for each in range(1, ordering.SPAN, 2)}
        for each in range(64):
            line.entries[far + 2 * each] = Entry(
                ordering.Phase.OUT, (1 << 64) - 1, two, 1 << 60, True, since=-(1 << 50)
            )
        for each in range(REMEMBERED):
            line.remembered[far + each] = Closed(3, 255, (1 << 64) - 1)
        line.pinned = {far + each: two for each in range(ordering.MOST_PINNED)}
        line.turns = {far + each: 1 << 30 for each in range(ordering.MOST_TURNS)}
        self.assertLess(len(codec.put_record(line, 5)), codec.MOST_RECORD)


class Others(unittest.TestCase):
    def test_newest(self):
        line = channel(Order.NEWEST)
        self.assertEqual(come(line, 5), ["go 5"])
        come(line, 7), come(line, 9)
        self.assertEqual(end(line, 5), ["a5 answer 5", "go 9"])
        self.assertEqual(end(line, 9, Input.NEVER_RAN), ["a9 declined 6", "go 7"])
        self.assertEqual(come(line, 9), [])
        self.assertEqual(end(line, 7, Input.LOST, 10), ["a7 aborted 7"])
        self.assertEqual(on(line, 10 + REST), ["go 9"])
        self.assertEqual(come(line, 8, now=200), [])
        self.assertEqual(end(line, 9), ["a8 superseded 9", "a9 answer 9"])
        self.assertEqual(come(line, 3), ["a3 superseded 9"])

    def test_by_extent(self):
        line = channel(Order.BY_EXTENT)
        self.assertEqual(come(line, 1, on=1), ["go 1"])
        self.assertEqual(come(line, 2, on=1), [])
        self.assertEqual(come(line, 3, on=2), ["go 3"])
        self.assertEqual(come(line, 5, on=3), [])  # 4 may be of any extent
        self.assertEqual(come(line, 4, on=4), ["go 4", "go 5"])
        on(line, 50_000)
        self.assertEqual(
            come(line, 2, on=3), ["a2 contract 2"]
        )  # it was overtaken: pinned to what it touched
        self.assertEqual(end(line, 1, Input.LOST, 60_000), ["a1 aborted 1"])
        self.assertEqual(come(line, 2, on=1, now=60_001, ends=90_000), [])
        self.assertEqual(on(line, 60_000 + REST), ["go 2"])

    def test_batches(self):
        line = channel(Order.BATCHES)
        self.assertEqual(come(line, 1), ["a1 contract 1"])  # of no batch
        self.assertEqual(come(line, 3, batch=1, last=True), ["go 3"])
        self.assertEqual(come(line, 1, batch=1), ["go 1"])
        self.assertEqual(come(line, 4, batch=2), [])
        self.assertEqual(end(line, 3), ["a3 answer 3"])
        self.assertEqual(come(line, 5, batch=1), ["a5 contract 5"])
        self.assertEqual(come(line, 2, batch=1, last=True), ["a2 contract 2"])
        self.assertEqual(end(line, 1), ["a1 answer 1"])
        self.assertEqual(come(line, 2, batch=1), ["go 2"])
        self.assertEqual(end(line, 2), ["a2 answer 2", "go 4"])

    def test_another_contract_from_a_number_on(self):
        line = channel()
        later = Contract("c", 2, Order.NEWEST, hole=HOLE)
        come(line, 1)
        with self.assertRaises(ContractConflict):
            line.open(3, Declared(later, 1), "x", "o")
        line.open(3, Declared(later, 3), "y", "o")
        said(line)
        with self.assertRaises(ContractConflict):
            line.open(3, Declared(later, 4), "y", "o")
        with self.assertRaises(ContractConflict):
            line.open(3, Declared(Contract("c", 2, Order.BATCHES)), "z", "o")
        self.assertEqual(come(line, 9), [])
        self.assertEqual(end(line, 1), ["a1 answer 1"])
        self.assertEqual(come(line, 2), ["go 2"])
        self.assertEqual(end(line, 2), ["a2 answer 2", "go 9"])
        self.assertEqual(line.contract, later)
        with self.assertRaises(ContractOutdated):
            line.open(3, Declared(Contract("c", 1, Order.EACH_IN_ORDER)), "w", "o")

    def test_from_the_newest_to_another_contract(self):
        line = channel(Order.NEWEST)
        come(line, 3)
        line.open(3, Declared(Contract("c", 2, Order.EACH_IN_ORDER), 8), "y", "o")
        said(line)
        self.assertEqual((come(line, 9), come(line, 8), come(line, 5)), ([], [], []))
        self.assertEqual(
            end(line, 3), ["a3 answer 3", "go 5"]
        )  # not held up by what waits for the change
        self.assertEqual(end(line, 5), ["a5 answer 5", "go 8"])
        self.assertEqual(
            (end(line, 8), line.contract.version), (["a8 answer 8", "go 9"], 2)
        )


class Records(unittest.TestCase):
    def test_out_and_in_again(self):
        line = channel(Order.BY_EXTENT)
        come(line, 1, on=1), come(line, 2, on=1), come(line, 3, on=2), end(line, 3)
        data = codec.put_record(line, 11)
        found = codec.read_record(data, REST, 1000, 40)
        self.assertEqual(
            (found.floor, found.closed, found.claim, found.top, list(found.pinned)),
            (1, {3}, 1, 3, [2]),
        )
        self.assertEqual(found.entries[1].since, 1000 - 40 - 10)
        self.assertEqual(come(found, 1, on=1, now=1001), [])
        self.assertEqual(on(found, 1000 + REST), ["go 1 again"])
        unknown = codec.read_record(data, REST, 1000, None)
        self.assertEqual(come(unknown, 1, on=1, now=1001), ["a1 aborted 1"])
        self.assertEqual(come(unknown, 2, on=1, now=1001), [])
        self.assertEqual(
            on(unknown, 1000 + REST), []
        )  # its client may come again for as long as a hole waits
        self.assertEqual(on(unknown, 1000 + HOLE), ["go 2"])
        for torn in (b"", data[:9], b"\xff" * 40):
            with self.assertRaises(ChannelRecordUnreadable):
                codec.read_record(torn, REST, 0, 0)


class Model(unittest.TestCase):
    """The very keeper under losses, doubles, late runs, stalls and kills; sizes for a few seconds, more by the module's own command."""

    def test_every_order_of_events_at_small_sizes(self):
        for order, unsure in channel_model.CASES:
            for start in channel_model.STARTS:
                self.assertIsNone(
                    channel_model.explore(order, unsure, start, 4, 120)[2],
                    (order, unsure, start),
                )

    def test_scripts_and_chance(self):
        self.assertIsNone(channel_model.wrong(8))

    def test_each_guard_is_needed(self):
        for guard in channel_model.MUTANTS:
            with channel_model.without(guard):
                self.assertIsNotNone(channel_model.wrong(14), guard)
