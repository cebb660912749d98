"""Registers and offices: the model with and without each guard, the register's file under crashes, and offices over a plane."""
import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from prometheus_client import CollectorRegistry
from twisted.internet.task import Clock

from milletsill.fleet.channels import errors, model, mutants
from milletsill.fleet.channels.registers import codec, registers_pb2 as wire
from milletsill.fleet.channels.registers.decide import (UNWRITTEN, Answer, Ask, Ballot, Call, Office, Record, Say, Span, Stamp, loaded,
                                                        register)
from milletsill.fleet.channels.registers.service import Offices
from milletsill.fleet.channels.registers.terms import Term
from milletsill.fleet.channels.registers.standing import Identity, Page
from milletsill.fleet.channels.registers.store import Store
from milletsill.fleet.channels.registers.thread import tried
from milletsill.fleet.plane import Member, Standing, View

SPAN = Span()
A, B = Ballot(5, "a", 1), Ballot(6, "b", 2)


class TheModel(unittest.TestCase):
    def test_every_order_of_events_keeps_what_is_promised(self):
        for moves, most in ((model.events, 3000), (model.rounds, 3000)):
            for how in ("nothing", "written", "unsure"):
                count, depth, found = model.explore(how, 12, most, moves)
                self.assertIsNone(found)
                self.assertGreaterEqual(depth, 2)
                self.assertEqual(count, most)

    def test_chance_keeps_what_is_promised(self):
        self.assertIsNone(model.wrong(25))
        steps, found, written = model.walk(5, 5, 1500, 1)
        self.assertIsNone(found)
        self.assertGreater(written, 50)  # it did come to something

    def test_it_goes_wrong_without_each_guard(self):
        for guard in mutants.MUTANTS:
            with self.subTest(guard), mutants.without(guard):
                self.assertIsNotNone(model.wrong(40, first=mutants.FOUND[guard]))


class OneCall(unittest.TestCase):
    def test_what_a_register_does(self):
        record, other = Record(A, Stamp(A, 3), b"v", 0), Office(1000)
        prepare, accept = Call(Ask.PREPARE, "c", B), Call(Ask.ACCEPT, "c", B, 1, b"w", True)
        for held, office, floor, call, now, say, after in (
                (None, None, 0, prepare, 0, Say.YES, (B, UNWRITTEN)),
                (None, None, 6, prepare, 0, Say.LOWER, None),  # the floor of what was forgotten
                (record, other, 0, prepare, 999, Say.HELD, (A, Stamp(A, 3))),
                (record, other, 0, prepare, 1000, Say.YES, (B, Stamp(A, 3))),
                (record, other, 0, accept, 999, Say.HELD, (A, Stamp(A, 3))),
                (record, other, 0, accept, 1000, Say.YES, (B, Stamp(B, 1))),
                (record, other, 0, Call(Ask.PREPARE, "c", Ballot(4, "b", 2)), 1000, Say.LOWER, (A, Stamp(A, 3))),
                (record, other, 0, Call(Ask.PREPARE, "c", A), 0, Say.YES, (A, Stamp(A, 3))),  # a renewal
                (record, Office(0, True), 0, Call(Ask.PREPARE, "c", A), 0, Say.LOWER, (A, Stamp(A, 3))),  # given up before
                (record, other, 0, Call(Ask.ACCEPT, "c", A, 2, b"old"), 0, None, (A, Stamp(A, 3))),  # overtaken
                (record, loaded(0, SPAN), 0, prepare, SPAN.refused() - 1, Say.HELD, (A, Stamp(A, 3)))):
            with self.subTest(call=call, now=now):
                done = register(held, office, floor, call, now, 0, SPAN)
                self.assertIs(done.answer and done.answer.say, say)
                self.assertEqual(done.record and (done.record.promised, done.record.stamp), after)

    def test_two_offices_never_meet_at_the_worst_of_drift(self):
        for drift in (0, 5, 50, 200):
            span = Span(20_000, 3_000, drift)
            self.assertLess(span.kept() * 1000 / (1000 - drift), span.refused() * 1000 / (1000 + drift))


class Frames(unittest.TestCase):
    def test_there_and_back(self):
        call = Call(Ask.ACCEPT, "depot/é", A, 7, b"v", True)
        self.assertEqual(codec.get_call("a", codec.put_call(call)), call)
        for answer in (Answer(Ask.PREPARE, "c", A, 2, Say.YES, Stamp(B, 1), b"v", 9, told=True),
                       Answer(Ask.ACCEPT, "c", A, 2, Say.HELD, round=4, pause=7, who="b"), Answer(Ask.PREPARE, "c", A, 0, Say.YES)):
            self.assertEqual(codec.get_answer("a", codec.put_answer(answer)), answer)
        page = Page((("c", Record(A, Stamp(A, 1), b"v", 0, True)), ("d", Record(B, UNWRITTEN, b"", 0))), 4, True)
        self.assertEqual(codec.get_page(wire.Page.FromString(codec.put_page("", page).SerializeToString())), page)

    def test_what_is_no_frame_has_its_error(self):
        for body in (b"R\xff\xff", b"R" + b"x" * (1 << 20)):
            self.assertRaises(codec.Unreadable, codec.decoded, body)
        for call in (wire.Call(ask=1, channel="", round=1, nonce=1), wire.Call(ask=2, channel="c", round=1, nonce=1, value=b"x" * 20_000),
                     wire.Call(ask=1, channel="c", round=1 << 62, nonce=1)):
            self.assertRaises(codec.Unreadable, codec.get_call, "a", call)
        self.assertIsNone(codec.get_call("a", wire.Call(ask=9, channel="c", round=1, nonce=1)))  # a later version's


def record(number, value=b""):
    return Record(A, Stamp(A, number), value or b"%d" % number, 0)


class TheFile(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "state", "register.sqlite")

    def opened(self, path=None, **values):
        store = Store.opened(path or self.path, 7, **values)
        self.addCleanup(store.close)
        return store

    def test_a_log_that_is_cut_anywhere_is_one_of_the_states_that_were(self):
        store = self.opened()
        states, sizes = [(0, None)], []
        for number in range(1, 6):
            store.commit({"c": record(number), f"c{number}": record(number)}, number, more=1)
            sizes.append(os.path.getsize(self.path + "-wal"))
            states.append((number, number))
        whole = Path(self.path + "-wal").read_bytes()
        base = Path(self.path).read_bytes()
        seen = set()
        for size in [*range(0, len(whole), 1031), *sizes, *(each - 1 for each in sizes)]:
            copy = os.path.join(tempfile.mkdtemp(dir=os.path.dirname(self.path)), "r.sqlite")
            Path(copy).write_bytes(base)
            Path(copy + "-wal").write_bytes(whole[:size])
            cut = self.opened(copy)
            found = cut.read("c")
            state = (cut.own.generation, found and found.stamp.index)
            self.assertIn(state, states)
            seen.add(state)
            for number in range(1, 6):  # all of a commit or nothing
                self.assertEqual(cut.read(f"c{number}") is not None, number <= cut.own.generation)
            if size in sizes:  # what was committed by then is there
                self.assertGreaterEqual(cut.own.generation, sizes.index(size) + 1)
        self.assertEqual(seen, set(states))

    def test_a_cut_while_the_log_goes_into_the_file_loses_nothing(self):
        store = self.opened()
        store.commit({f"c{each}": record(each, b"x" * 500) for each in range(1, 100)}, 1, more=99)
        before, log = Path(self.path).read_bytes(), Path(self.path + "-wal").read_bytes()
        store.base.execute("PRAGMA wal_checkpoint(FULL)")
        after = Path(self.path).read_bytes()
        for cut in range(0, len(after) + 1, 4096):
            copy = os.path.join(tempfile.mkdtemp(dir=os.path.dirname(self.path)), "r.sqlite")
            Path(copy).write_bytes(after[:cut] + before[cut:])
            Path(copy + "-wal").write_bytes(log)
            self.assertEqual(self.opened(copy).count, 99)

    def test_a_file_that_cannot_be_used_has_its_error(self):
        store = self.opened()
        store.commit({f"c{each}": record(each, b"x" * 900) for each in range(1, 60)}, 1, more=59)
        self.assertRaises(errors.StateUnusable, Store.opened, self.path, 7)  # a second process
        store.close()
        data = Path(self.path).read_bytes()
        flipped = bytearray(data)
        flipped[data.rindex(b"x" * 900) + 5] ^= 1
        later = data[:60] + (99).to_bytes(4, "big") + data[64:]
        for bad, error in [(data[:cut], errors.StateTorn) for cut in (0, 10, 4096, 9000, len(data) - 4096)] + [
                (bytes(flipped), errors.StateTorn), (b"no file of ours" * 500, errors.StateTorn), (later, errors.StateUnusable)]:
            Path(self.path).write_bytes(bad)
            with self.assertRaises(error) as caught:
                Store.opened(self.path, 7)
            self.assertTrue(caught.exception.remedy)

    def test_a_full_disk_changes_nothing_and_room_mends_it(self):
        store = self.opened(most_pages=12)
        held = 0
        with self.assertRaises(errors.DiskFull):
            for number in range(100):
                store.commit({f"c{number}": record(number + 1, b"x" * 2000)}, number, more=1)
                held += 1
        self.assertEqual((store.count, store.own.generation, store.read(f"c{held}")), (held, held, None))
        store.base.execute("PRAGMA max_page_count=1000")
        store.commit({"z": record(1)}, 1, more=1)
        self.assertEqual(store.read("z"), record(1))

    def test_what_was_acknowledged_is_there_after_a_kill(self):
        code = ("import sys; sys.path.insert(0, '.')\nfrom tests.test_registers import Store, record\n"
                "store = Store.opened(sys.argv[1], 7)\n"
                "for number in range(1, 100000):\n    store.commit({f'c{number % 50}': record(number)}, number)\n    print(number, flush=True)")
        run = subprocess.Popen([sys.executable, "-c", code, self.path], stdout=subprocess.PIPE)
        for _ in range(40):
            last = int(run.stdout.readline())
        run.send_signal(signal.SIGKILL)
        last = max([last, *map(int, run.stdout.read().split(b"\n")[:-1])])
        run.wait()
        run.stdout.close()
        store = self.opened()
        self.assertIn(store.own.generation, (last, last + 1))
        self.assertGreaterEqual(store.read(f"c{last % 50}").stamp.index, last)


class Wire:
    """The fleet's plane for many gateways, on one clock."""

    def __init__(self, name, net):
        self.name, self.net, self.run, self.ears = name, net, 1, []

    @property
    def view(self):
        return View(1, [Member(each, "h:1", 1, Standing.ALIVE) for each in sorted(self.net.planes)])

    def tell(self, member, kind, body):
        if member not in self.net.planes or {member, self.name} & self.net.cut:
            return False
        self.net.clock.callLater(0.001, self.net.bring, self.name, member, body)
        return True

    def hear(self, kind, heard):
        self.ears.append(heard)

    def watch(self, told):
        pass


class Thread:
    """A job at once, its result by the reactor."""

    def __init__(self, clock):
        self.clock, self.stopped = clock, False

    def run(self, job, then):
        result = tried(job)
        self.clock.callLater(0.0005, lambda: None if self.stopped else then(result))

    def stop(self):
        self.stopped = True


class Net:
    """Three registers r0 to r2 and two more gateways."""

    def __init__(self, folder, **values):
        self.clock, self.folder, self.values = Clock(), folder, values
        self.planes, self.offices, self.lines, self.cut = {}, {}, [], set()
        for name in ("r0", "r1", "r2", "x", "y"):
            self.start(name)
        self.go(0.5)

    def path(self, name):
        return os.path.join(self.folder, f"{name}.sqlite")

    def now(self):
        return int(self.clock.seconds() * 10_000) + 1000

    def start(self, name, **values):
        self.planes[name] = Wire(name, self)
        given = {"silent": 36_000_000, **self.values, **values}
        self.offices[name] = Offices(self.clock, self.now, self.planes[name], given.pop("names", ("r0", "r1", "r2")),
                                     given.pop("office", 20_000), 5, 3_000, given.pop("most", 1000), self.path(name), 1,
                                     lambda line, **said: self.lines.append((name, said.get("error", line))), CollectorRegistry(),
                                     worker=Thread(self.clock), **given)

    def stop(self, name):
        self.offices.pop(name).stop()
        del self.planes[name]

    def bring(self, sender, member, body):
        for each in self.planes[member].ears if member in self.planes and not {sender, member} & self.cut else ():
            each(sender, 1, body)

    def go(self, seconds):
        for _ in range(int(seconds * 400)):
            self.clock.advance(0.0025)

    def take(self, name, channel="c", seconds=0.5):
        got = []
        self.offices[name].take(channel, got.append)
        self.go(seconds)
        return got[0]

    def write(self, name, term, *values):
        got = []
        for value in values:
            self.offices[name].write(term, value, got.append)
        self.go(0.5)
        return got


class OverThePlane(unittest.TestCase):
    def net(self, **values):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        net = Net(folder.name, **values)
        self.addCleanup(lambda: [net.stop(each) for each in list(net.offices)])
        return net

    def test_an_office_is_taken_written_under_and_handed_over(self):
        net = self.net()
        term = net.take("x")
        self.assertEqual((term.value, term.age, net.offices["x"].holds(term)), (b"", 0, True))
        self.assertEqual(net.write("x", term, b"1", b"2", b"3"), [None] * 3)
        self.assertEqual(term.value, b"3")
        refused = net.take("y")
        self.assertIsInstance(refused, errors.NotKeeper)
        self.assertEqual(refused.who, "x")
        self.assertLessEqual(refused.pause, SPAN.refused())
        net.offices["x"].give_up(term)
        self.assertFalse(net.offices["x"].holds(term))
        later = net.take("y")
        self.assertEqual(later.value, b"3")
        self.assertTrue(5_000 <= later.age <= 15_000)
        self.assertIsInstance(net.write("x", term, b"4")[0], errors.NotHeld)

    def test_a_busy_term_is_renewed_an_idle_one_lapses_and_is_taken_after_it(self):
        net = self.net()
        term = net.take("x")
        net.write("x", term, b"1")
        term.busy = True
        net.go(6)
        self.assertTrue(net.offices["x"].holds(term))
        self.assertIsInstance(net.take("y"), errors.NotKeeper)
        net.cut.add("x")  # its keeper is gone
        began = net.now()
        while isinstance(got := net.take("y", seconds=0.05), errors.ChannelFault):
            self.assertLess(net.now() - began, 3 * 10_000)
        self.assertFalse(net.offices["x"].holds(term))
        self.assertEqual(got.value, b"1")
        net.cut.clear()
        self.assertEqual([type(each) for each in net.write("x", term, b"2")], [errors.NotKeeper])

    def test_without_a_majority_it_is_declined_soon_with_a_time_to_come_back(self):
        net = self.net()
        term = net.take("x")
        net.cut |= {"r0", "r1"}
        got = net.take("y", "other", seconds=0.05)
        self.assertIsInstance(got, errors.NoMajority)
        self.assertGreater(got.pause, 0)
        self.assertIsInstance(net.write("x", term, b"1")[0], errors.NoMajority)
        net.cut.clear()
        net.go(3)
        again = net.take("y")
        self.assertIn(again.value, (b"", b"1"))

    def test_registers_come_back_with_what_they_have_without_or_with_less(self):
        for how, error in (("kept", "register_begins"), ("torn", "StateTorn"), ("lost", "StateLost"), ("older", "StateOlder")):
            with self.subTest(how):
                net = self.net()
                term = net.take("x")
                net.cut.add("r2")
                net.write("x", term, b"1")
                net.go(0.3)
                net.stop("r1")
                shutil.copy(net.path("r1"), net.path("r1") + ".copy")
                net.start("r1")
                net.go(0.5)
                net.cut.clear()
                net.go(2.5)
                self.assertEqual(net.write("x", term, b"2"), [None])
                net.go(0.3)
                net.stop("r1")
                if how == "torn":
                    Path(net.path("r1")).write_bytes(Path(net.path("r1")).read_bytes()[:5000])
                elif how == "lost":
                    os.remove(net.path("r1"))
                elif how == "older":
                    os.replace(net.path("r1") + ".copy", net.path("r1"))
                del net.lines[:]
                net.start("r1")
                net.go(0.5)
                self.assertIn(("r1", error), net.lines)
                self.assertEqual(net.offices["r1"].desk.whole(), how == "kept")
                net.go(3)
                self.assertTrue(net.offices["r1"].desk.whole())
                net.cut.add("r0")  # r1 counts again, and has what was written
                while isinstance(got := net.take("y"), errors.ChannelFault):
                    net.go(0.2)
                self.assertEqual(got.value, b"2")

    def test_a_register_without_room_answers_nothing_that_is_not_written(self):
        net = self.net()
        net.stop("r0")
        net.start("r0", most_pages=14)
        net.go(0.5)
        terms = [net.take("x", f"c{each}", seconds=0.1) for each in range(12)]
        self.assertEqual(sum([net.write("x", term, b"x" * 6000) for term in terms], []), [None] * 12)  # the two others do
        self.assertIn(("r0", "DiskFull"), net.lines)
        net.cut.add("r1")
        self.assertIsInstance(net.write("x", terms[11], b"y" * 6000)[0], errors.NoMajority)
        net.offices["r0"].desk.store.base.execute("PRAGMA max_page_count=1000")
        net.go(3)
        self.assertIsInstance(net.take("x", "c11"), Term)

    def test_bounds_and_what_is_silent(self):
        net = self.net(most=3, silent=50_000)
        for each in range(3):
            term = net.take("x", f"c{each}")
            net.write("x", term, b"v")
        self.assertIsInstance(net.take("x", "c3"), errors.TooMany)  # here
        self.assertIsInstance(net.take("y", "c3"), errors.NoMajority)  # at the registers
        self.assertIsInstance(net.write("x", term, b"v" * 20_000)[0], errors.TooMany)
        net.go(8)
        got = net.take("y", "c3")
        self.assertIsInstance(got, Term)
        self.assertGreater(got.ballot.round, term.ballot.round)  # the floor
        self.assertIsInstance(net.take("y", "\udc80"), errors.TooMany)
        net.offices["x"].heard("y", 1, b"Rnonsense")
        self.assertIn(("x", "Unreadable"), net.lines)
        heard = []
        net.offices["x"].others = lambda *what: heard.append(what)
        net.offices["x"].heard("y", 1, b"Cours")
        self.assertEqual(heard, [("y", 1, b"Cours")])
        self.assertEqual(net.offices["x"].keeper_of("c1"), net.offices["y"].keeper_of("c1"))

    def test_other_terms_are_declined_and_other_registers_need_an_order(self):
        net = self.net()
        net.write("x", net.take("x"), b"1")
        net.stop("y")
        net.start("y", office=30_000)
        self.assertIsInstance(net.take("y"), errors.NoMajority)
        self.assertIn(("r0", "TermsDiffer"), net.lines)
        net.stop("r0")
        net.start("r0", names=("r0", "r1", "x"))
        net.go(3)
        self.assertIn(("r0", "RegistersChanged"), net.lines)
        self.assertFalse(net.offices["r0"].desk.whole())
        net.stop("r0")
        Path(net.path("r0") + ".go-on").touch()
        net.start("r0", names=("r0", "r1", "x"))
        net.go(0.1)
        self.assertIn(("r0", "register_ordered"), net.lines)
        self.assertTrue(net.offices["r0"].desk.whole())
        self.assertFalse(os.path.exists(net.path("r0") + ".go-on"))

    def test_an_older_state_shows_while_the_register_runs(self):
        net = self.net()
        net.write("x", net.take("x"), b"1")
        desk = net.offices["r0"].desk
        desk.witnessed("y", Identity(desk.own().age, desk.own().chance, desk.own().generation + 5))
        self.assertFalse(desk.whole())
        self.assertIn(("r0", "StateOlder"), net.lines)
        net.go(4)
        self.assertTrue(desk.whole())
        self.assertEqual(desk.own().age, 2)


if __name__ == "__main__":
    unittest.main()
