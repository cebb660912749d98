"""Offices over the plane: gateways, registers and a network between them on a fake clock."""

import os
import shutil
import tempfile
import unittest
from pathlib import Path

from prometheus_client import CollectorRegistry
from twisted.internet.task import Clock

from milletsill.fleet.leases import errors
from milletsill.fleet.leases.acceptor import Ballot, Record, Span, Stamp
from milletsill.fleet.leases.acceptor_recovery import StateIdentity
from milletsill.fleet.leases.blocking_worker import tried
from milletsill.fleet.leases.lease_manager import LeaseManager
from milletsill.fleet.leases.lease_state import LeaseTerm
from milletsill.fleet.transport import Member, MemberState, View

SPAN = Span()
A, B = Ballot(5, "a", 1), Ballot(6, "b", 2)


def record(number, value=b""):
    return Record(A, Stamp(A, number), value or b"%d" % number, 0)


class Wire:
    """The fleet's plane for many gateways, on one clock."""

    def __init__(self, name, net):
        self.name, self.net, self.incarnation, self.ears = name, net, 1, []

    @property
    def view(self):
        return View(
            1,
            [
                Member(each, "h:1", 1, MemberState.ALIVE)
                for each in sorted(self.net.planes)
            ],
        )

    def send(self, member, kind, body):
        if member not in self.net.planes or {member, self.name} & self.net.cut:
            return False
        self.net.clock.callLater(0.001, self.net.bring, self.name, member, body)
        return True

    def subscribe(self, kind, heard):
        self.ears.append(heard)

    def watch_view(self, told):
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
        self.offices[name] = LeaseManager(
            self.clock,
            self.now,
            self.planes[name],
            given.pop("names", ("r0", "r1", "r2")),
            given.pop("office", 20_000),
            5,
            3_000,
            given.pop("most", 1000),
            self.path(name),
            1,
            lambda line, **said: self.lines.append((name, said.get("error", line))),
            CollectorRegistry(),
            worker=Thread(self.clock),
            **given,
        )

    def stop(self, name):
        self.offices.pop(name).stop()
        del self.planes[name]

    def bring(self, sender, member, body):
        for each in (
            self.planes[member].ears
            if member in self.planes and not {sender, member} & self.cut
            else ()
        ):
            each(sender, 1, body)

    def go(self, seconds):
        for _ in range(int(seconds * 400)):
            self.clock.advance(0.0025)

    def take(self, name, channel="c", seconds=0.5):
        got = []
        self.offices[name].acquire(channel, got.append)
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

    def test_a_write_that_lay_on_its_way_is_as_old_as_it_is(self):
        """A network that holds a keeper's streams for six seconds, then brings what was in one of them."""
        net, held = self.net(), []
        term = net.take("x")
        self.assertEqual(net.write("x", term, b"1"), [None])
        bring, made = net.bring, net.now()
        net.bring = lambda sender, *rest: (
            held.append((sender, *rest)) if sender == "x" else bring(sender, *rest)
        )
        self.assertIsInstance(net.write("x", term, b"2")[0], errors.QuorumNotReached)
        net.go(6)
        net.bring = bring
        for each in [each for each in held if each[1] == "r1"]:
            net.bring(*each)
        net.go(2.5)
        later = net.take("y")
        self.assertEqual(later.value, b"2")
        self.assertLessEqual(
            net.now() - made - 5000, later.value_age
        )  # it was had half a second ago
        self.assertLess(later.value_age, net.now() - made + 2000)

    def test_an_office_is_taken_written_under_and_handed_over(self):
        net = self.net()
        term = net.take("x")
        self.assertEqual(
            (term.value, term.value_age, net.offices["x"].holds(term)), (b"", 0, True)
        )
        self.assertEqual(net.write("x", term, b"1", b"2", b"3"), [None] * 3)
        self.assertEqual(term.value, b"3")
        refused = net.take("y")
        self.assertIsInstance(refused, errors.NotLeaseHolder)
        self.assertEqual(refused.who, "x")
        self.assertLessEqual(refused.pause, SPAN.refused())
        net.offices["x"].release(term)
        self.assertFalse(net.offices["x"].holds(term))
        later = net.take("y")
        self.assertEqual(later.value, b"3")
        self.assertTrue(5_000 <= later.value_age <= 15_000)
        self.assertIsInstance(net.write("x", term, b"4")[0], errors.LeaseNotHeld)

    def test_a_busy_term_is_renewed_an_idle_one_lapses_and_is_taken_after_it(self):
        net = self.net()
        term = net.take("x")
        net.write("x", term, b"1")
        term.in_use = True
        net.go(6)
        self.assertTrue(net.offices["x"].holds(term))
        self.assertIsInstance(net.take("y"), errors.NotLeaseHolder)
        net.cut.add("x")  # its keeper is gone
        began = net.now()
        while isinstance(got := net.take("y", seconds=0.05), errors.CoordinationError):
            self.assertLess(net.now() - began, 3 * 10_000)
        self.assertFalse(net.offices["x"].holds(term))
        self.assertEqual(got.value, b"1")
        net.cut.clear()
        self.assertEqual(
            [type(each) for each in net.write("x", term, b"2")], [errors.NotLeaseHolder]
        )

    def test_without_a_majority_it_is_declined_soon_with_a_time_to_come_back(self):
        net = self.net()
        term = net.take("x")
        net.cut |= {"r0", "r1"}
        got = net.take("y", "other", seconds=0.05)
        self.assertIsInstance(got, errors.QuorumNotReached)
        self.assertGreater(got.pause, 0)
        self.assertIsInstance(net.write("x", term, b"1")[0], errors.QuorumNotReached)
        net.cut.clear()
        net.go(3)
        again = net.take("y")
        self.assertIn(again.value, (b"", b"1"))

    def test_registers_come_back_with_what_they_have_without_or_with_less(self):
        for how, error in (
            ("kept", "register_begins"),
            ("torn", "AcceptorStateCorrupt"),
            ("lost", "AcceptorStateMissing"),
            ("older", "AcceptorStateRolledBack"),
        ):
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
                    Path(net.path("r1")).write_bytes(
                        Path(net.path("r1")).read_bytes()[:5000]
                    )
                elif how == "lost":
                    os.remove(net.path("r1"))
                elif how == "older":
                    os.replace(net.path("r1") + ".copy", net.path("r1"))
                del net.lines[:]
                net.start("r1")
                net.go(0.5)
                self.assertIn(("r1", error), net.lines)
                self.assertEqual(net.offices["r1"].acceptor.whole(), how == "kept")
                net.go(3)
                self.assertTrue(net.offices["r1"].acceptor.whole())
                net.cut.add("r0")  # r1 counts again, and has what was written
                while isinstance(got := net.take("y"), errors.CoordinationError):
                    net.go(0.2)
                self.assertEqual(got.value, b"2")

    def test_a_register_without_room_answers_nothing_that_is_not_written(self):
        net = self.net()
        net.stop("r0")
        net.start("r0", most_pages=14)
        net.go(0.5)
        terms = [net.take("x", f"c{each}", seconds=0.1) for each in range(12)]
        self.assertEqual(
            sum([net.write("x", term, b"x" * 6000) for term in terms], []), [None] * 12
        )  # the two others do
        self.assertIn(("r0", "DiskFull"), net.lines)
        net.cut.add("r1")
        self.assertIsInstance(
            net.write("x", terms[11], b"y" * 6000)[0], errors.QuorumNotReached
        )
        net.offices["r0"].acceptor.store.base.execute("PRAGMA max_page_count=1000")
        net.go(3)
        self.assertIsInstance(net.take("x", "c11"), LeaseTerm)

    def test_bounds_and_what_is_silent(self):
        net = self.net(most=3, silent=50_000)
        for each in range(3):
            term = net.take("x", f"c{each}")
            net.write("x", term, b"v")
        self.assertIsInstance(net.take("x", "c3"), errors.ResourceLimitReached)  # here
        self.assertIsInstance(
            net.take("y", "c3"), errors.QuorumNotReached
        )  # at the registers
        self.assertIsInstance(
            net.write("x", term, b"v" * 20_000)[0], errors.ResourceLimitReached
        )
        net.go(8)
        got = net.take("y", "c3")
        self.assertIsInstance(got, LeaseTerm)
        self.assertGreater(got.ballot.round, term.ballot.round)  # the floor
        self.assertIsInstance(net.take("y", "\udc80"), errors.ResourceLimitReached)
        net.offices["x"].heard("y", 1, b"Rnonsense")
        self.assertIn(("x", "MalformedFrame"), net.lines)
        heard = []
        net.offices["x"].on_other_message = lambda *what: heard.append(what)
        net.offices["x"].heard("y", 1, b"Cours")
        self.assertEqual(heard, [("y", 1, b"Cours")])
        self.assertEqual(
            net.offices["x"].preferred_holder("c1"),
            net.offices["y"].preferred_holder("c1"),
        )

    def test_other_terms_are_declined_and_other_registers_need_an_order(self):
        net = self.net()
        net.write("x", net.take("x"), b"1")
        net.stop("y")
        net.start("y", office=30_000)
        self.assertIsInstance(net.take("y"), errors.QuorumNotReached)
        self.assertIn(("r0", "LeaseSettingsMismatch"), net.lines)
        net.stop("r0")
        net.start("r0", names=("r0", "r1", "x"))
        net.go(3)
        self.assertIn(("r0", "AcceptorSetChanged"), net.lines)
        self.assertFalse(net.offices["r0"].acceptor.whole())
        net.stop("r0")
        Path(net.path("r0") + ".go-on").touch()
        net.start("r0", names=("r0", "r1", "x"))
        net.go(0.1)
        self.assertIn(("r0", "register_ordered"), net.lines)
        self.assertTrue(net.offices["r0"].acceptor.whole())
        self.assertFalse(os.path.exists(net.path("r0") + ".go-on"))

    def test_an_older_state_shows_while_the_register_runs(self):
        net = self.net()
        net.write("x", net.take("x"), b"1")
        desk = net.offices["r0"].acceptor
        desk.witnessed(
            "y",
            StateIdentity(desk.own().age, desk.own().chance, desk.own().generation + 5),
        )
        self.assertFalse(desk.whole())
        self.assertIn(("r0", "AcceptorStateRolledBack"), net.lines)
        net.go(4)
        self.assertTrue(desk.whole())
        self.assertEqual(desk.own().age, 2)


if __name__ == "__main__":
    unittest.main()
