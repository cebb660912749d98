"""Registers and offices: the model with and without each guard, the register's file under crashes, and offices over a plane."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from milletsill.fleet.leases import errors
from milletsill.fleet.leases import codec
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import (
    UNWRITTEN,
    Answer,
    Ask,
    Ballot,
    Call,
    Office,
    Record,
    Say,
    Span,
    Stamp,
    loaded,
    register,
)
from milletsill.fleet.leases.acceptor_recovery import SnapshotPage
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.lab.model_checks import lease_model, lease_mutation_checks

SPAN = Span()
A, B = Ballot(5, "a", 1), Ballot(6, "b", 2)


class TheModel(unittest.TestCase):
    def test_every_order_of_events_keeps_what_is_promised(self):
        for moves, most in ((lease_model.events, 3000), (lease_model.rounds, 3000)):
            for how in ("nothing", "written", "unsure"):
                count, depth, found = lease_model.explore(how, 12, most, moves)
                self.assertIsNone(found)
                self.assertGreaterEqual(depth, 2)
                self.assertEqual(count, most)

    def test_chance_keeps_what_is_promised(self):
        self.assertIsNone(lease_model.wrong(25))
        steps, found, written = lease_model.walk(5, 5, 1500, 1)
        self.assertIsNone(found)
        self.assertGreater(written, 50)  # it did come to something

    def test_it_goes_wrong_without_each_guard(self):
        for guard in lease_mutation_checks.MUTANTS:
            with self.subTest(guard), lease_mutation_checks.without(guard):
                self.assertIsNotNone(
                    lease_model.wrong(40, first=lease_mutation_checks.FOUND[guard])
                )


class OneCall(unittest.TestCase):
    def test_what_a_register_does(self):
        record, other = Record(A, Stamp(A, 3), b"v", 0), Office(1000)
        prepare, accept = (
            Call(Ask.PREPARE, "c", B),
            Call(Ask.ACCEPT, "c", B, 1, b"w", True),
        )
        for held, office, floor, call, now, say, after in (
            (None, None, 0, prepare, 0, Say.YES, (B, UNWRITTEN)),
            (
                None,
                None,
                6,
                prepare,
                0,
                Say.LOWER,
                None,
            ),  # the floor of what was forgotten
            (record, other, 0, prepare, 999, Say.HELD, (A, Stamp(A, 3))),
            (record, other, 0, prepare, 1000, Say.YES, (B, Stamp(A, 3))),
            (record, other, 0, accept, 999, Say.HELD, (A, Stamp(A, 3))),
            (record, other, 0, accept, 1000, Say.YES, (B, Stamp(B, 1))),
            (
                record,
                other,
                0,
                Call(Ask.PREPARE, "c", Ballot(4, "b", 2)),
                1000,
                Say.LOWER,
                (A, Stamp(A, 3)),
            ),
            (
                record,
                other,
                0,
                Call(Ask.PREPARE, "c", A),
                0,
                Say.YES,
                (A, Stamp(A, 3)),
            ),  # a renewal
            (
                record,
                Office(0, True),
                0,
                Call(Ask.PREPARE, "c", A),
                0,
                Say.LOWER,
                (A, Stamp(A, 3)),
            ),  # given up before
            (
                record,
                other,
                0,
                Call(Ask.ACCEPT, "c", A, 2, b"old"),
                0,
                None,
                (A, Stamp(A, 3)),
            ),  # overtaken
            (
                record,
                loaded(0, SPAN),
                0,
                prepare,
                SPAN.refused() - 1,
                Say.HELD,
                (A, Stamp(A, 3)),
            ),
        ):
            with self.subTest(call=call, now=now):
                done = register(held, office, floor, call, now, 0, SPAN)
                self.assertIs(done.answer and done.answer.say, say)
                self.assertEqual(
                    done.record and (done.record.promised, done.record.stamp), after
                )

    def test_two_offices_never_meet_at_the_worst_of_drift(self):
        for drift in (0, 5, 50, 200):
            span = Span(20_000, 3_000, drift)
            self.assertLess(
                span.kept() * 1000 / (1000 - drift),
                span.refused() * 1000 / (1000 + drift),
            )


class Frames(unittest.TestCase):
    def test_there_and_back(self):
        call = Call(Ask.ACCEPT, "depot/é", A, 7, b"v", True)
        self.assertEqual(codec.get_call("a", codec.put_call(call)), call)
        for answer in (
            Answer(Ask.PREPARE, "c", A, 2, Say.YES, Stamp(B, 1), b"v", 9, told=True),
            Answer(Ask.ACCEPT, "c", A, 2, Say.HELD, round=4, pause=7, who="b"),
            Answer(Ask.PREPARE, "c", A, 0, Say.YES),
        ):
            self.assertEqual(codec.get_answer("a", codec.put_answer(answer)), answer)
        page = SnapshotPage(
            (
                ("c", Record(A, Stamp(A, 1), b"v", 0, True)),
                ("d", Record(B, UNWRITTEN, b"", 0)),
            ),
            4,
            True,
        )
        self.assertEqual(
            codec.get_page(
                wire.Page.FromString(codec.put_page("", page).SerializeToString())
            ),
            page,
        )

    def test_what_is_no_frame_has_its_error(self):
        for body in (b"R\xff\xff", b"R" + b"x" * (1 << 20)):
            self.assertRaises(codec.MalformedFrame, codec.decoded, body)
        for call in (
            wire.Call(ask=1, channel="", round=1, nonce=1),
            wire.Call(ask=2, channel="c", round=1, nonce=1, value=b"x" * 20_000),
            wire.Call(ask=1, channel="c", round=1 << 62, nonce=1),
        ):
            self.assertRaises(codec.MalformedFrame, codec.get_call, "a", call)
        self.assertIsNone(
            codec.get_call("a", wire.Call(ask=9, channel="c", round=1, nonce=1))
        )  # a later version's


def record(number, value=b""):
    return Record(A, Stamp(A, number), value or b"%d" % number, 0)


class TheFile(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "state", "register.sqlite")

    def opened(self, path=None, **values):
        store = AcceptorStore.opened(path or self.path, 7, **values)
        self.addCleanup(store.close)
        return store

    def test_a_log_that_is_cut_anywhere_is_one_of_the_states_that_were(self):
        store = self.opened()
        states, sizes = [(0, None)], []
        for number in range(1, 6):
            store.commit(
                {"c": record(number), f"c{number}": record(number)}, number, more=1
            )
            sizes.append(os.path.getsize(self.path + "-wal"))
            states.append((number, number))
        whole = Path(self.path + "-wal").read_bytes()
        base = Path(self.path).read_bytes()
        seen = set()
        for size in [
            *range(0, len(whole), 1031),
            *sizes,
            *(each - 1 for each in sizes),
        ]:
            copy = os.path.join(
                tempfile.mkdtemp(dir=os.path.dirname(self.path)), "r.sqlite"
            )
            Path(copy).write_bytes(base)
            Path(copy + "-wal").write_bytes(whole[:size])
            cut = self.opened(copy)
            found = cut.read("c")
            state = (cut.own.generation, found and found.stamp.index)
            self.assertIn(state, states)
            seen.add(state)
            for number in range(1, 6):  # all of a commit or nothing
                self.assertEqual(
                    cut.read(f"c{number}") is not None, number <= cut.own.generation
                )
            if size in sizes:  # what was committed by then is there
                self.assertGreaterEqual(cut.own.generation, sizes.index(size) + 1)
        self.assertEqual(seen, set(states))

    def test_a_cut_while_the_log_goes_into_the_file_loses_nothing(self):
        store = self.opened()
        store.commit(
            {f"c{each}": record(each, b"x" * 500) for each in range(1, 100)}, 1, more=99
        )
        before, log = (
            Path(self.path).read_bytes(),
            Path(self.path + "-wal").read_bytes(),
        )
        store.base.execute("PRAGMA wal_checkpoint(FULL)")
        after = Path(self.path).read_bytes()
        for cut in range(0, len(after) + 1, 4096):
            copy = os.path.join(
                tempfile.mkdtemp(dir=os.path.dirname(self.path)), "r.sqlite"
            )
            Path(copy).write_bytes(after[:cut] + before[cut:])
            Path(copy + "-wal").write_bytes(log)
            self.assertEqual(self.opened(copy).count, 99)

    def test_a_file_that_cannot_be_used_has_its_error(self):
        store = self.opened()
        store.commit(
            {f"c{each}": record(each, b"x" * 900) for each in range(1, 60)}, 1, more=59
        )
        self.assertRaises(
            errors.AcceptorStateUnusable, AcceptorStore.opened, self.path, 7
        )  # a second process
        store.close()
        data = Path(self.path).read_bytes()
        flipped = bytearray(data)
        flipped[data.rindex(b"x" * 900) + 5] ^= 1
        later = data[:60] + (99).to_bytes(4, "big") + data[64:]
        for bad, error in [
            (data[:cut], errors.AcceptorStateCorrupt)
            for cut in (0, 10, 4096, 9000, len(data) - 4096)
        ] + [
            (bytes(flipped), errors.AcceptorStateCorrupt),
            (b"no file of ours" * 500, errors.AcceptorStateCorrupt),
            (later, errors.AcceptorStateUnusable),
        ]:
            Path(self.path).write_bytes(bad)
            with self.assertRaises(error) as caught:
                AcceptorStore.opened(self.path, 7)
            self.assertTrue(caught.exception.remedy)

    def test_a_full_disk_changes_nothing_and_room_mends_it(self):
        store = self.opened(most_pages=12)
        held = 0
        with self.assertRaises(errors.DiskFull):
            for number in range(100):
                store.commit(
                    {f"c{number}": record(number + 1, b"x" * 2000)}, number, more=1
                )
                held += 1
        self.assertEqual(
            (store.count, store.own.generation, store.read(f"c{held}")),
            (held, held, None),
        )
        store.base.execute("PRAGMA max_page_count=1000")
        store.commit({"z": record(1)}, 1, more=1)
        self.assertEqual(store.read("z"), record(1))

    def test_what_was_acknowledged_is_there_after_a_kill(self):
        code = (
            "import sys; sys.path.insert(0, '.')\nfrom tests.fleet.leases.test_leases import AcceptorStore, record\n"
            "store = AcceptorStore.opened(sys.argv[1], 7)\n"
            "for number in range(1, 100000):\n    store.commit({f'c{number % 50}': record(number)}, number)\n    print(number, flush=True)"
        )
        run = subprocess.Popen(
            [sys.executable, "-c", code, self.path], stdout=subprocess.PIPE
        )
        for _ in range(40):
            last = int(run.stdout.readline())
        run.send_signal(signal.SIGKILL)
        last = max([last, *map(int, run.stdout.read().split(b"\n")[:-1])])
        run.wait()
        run.stdout.close()
        store = self.opened()
        self.assertIn(store.own.generation, (last, last + 1))
        self.assertGreaterEqual(store.read(f"c{last % 50}").stamp.index, last)
