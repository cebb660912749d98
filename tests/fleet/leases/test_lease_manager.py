"""Leases over the transport: gateways, acceptors and a network on a fake clock."""

import os
import shutil
import tempfile
import unittest
from pathlib import Path

from prometheus_client import CollectorRegistry
from twisted.internet.task import Clock

from milletsill.fleet.leases import errors
from milletsill.fleet.leases.blocking_worker import run_guarded
from milletsill.fleet.leases.lease_manager import LeaseManager
from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.fleet.leases.timings import LeaseTimings
from milletsill.fleet.transport import Member, MemberState, View

TIMINGS = LeaseTimings()


class StandInTransport:
    """The fleet's transport for many gateways, on one clock."""

    def __init__(self, name, net):
        self.name = name
        self.net = net
        self.incarnation = 1
        self.subscribers = []

    @property
    def view(self):
        return View(
            1,
            [
                Member(each, "h:1", 1, MemberState.ALIVE)
                for each in sorted(self.net.transports)
            ],
        )

    def send(self, member, kind, body):
        if member not in self.net.transports or {member, self.name} & self.net.cut:
            return False
        self.net.clock.callLater(0.001, self.net.bring, self.name, member, body)
        return True

    def subscribe(self, kind, on_message):
        self.subscribers.append(on_message)

    def watch_view(self, on_change):
        pass


class ImmediateWorker:
    """A job at once, its result by the reactor."""

    def __init__(self, clock):
        self.clock = clock
        self.stopped = False

    def run(self, job, on_result):
        result = run_guarded(job)
        self.clock.callLater(
            0.0005, lambda: None if self.stopped else on_result(result)
        )

    def stop(self):
        self.stopped = True


class Network:
    """Three acceptors r0 to r2 and two more gateways."""

    def __init__(self, folder, **values):
        self.clock = Clock()
        self.folder = folder
        self.values = values
        self.transports = {}
        self.managers = {}
        self.events = []
        self.cut = set()
        for name in ("r0", "r1", "r2", "x", "y"):
            self.start(name)
        self.go(0.5)

    def path(self, name):
        return os.path.join(self.folder, f"{name}.sqlite")

    def now(self):
        return int(self.clock.seconds() * 10_000) + 1000

    def start(self, name, **values):
        self.transports[name] = StandInTransport(name, self)
        given = {"idle_after": 36_000_000, **self.values, **values}
        lease_duration = given.pop("lease_duration", 20_000)
        settings = LeaseSettings(
            acceptors=given.pop("acceptors", ("r0", "r1", "r2")),
            timings=LeaseTimings(lease_duration, 3_000, 5),
            max_leases=given.pop("max_leases", 1000),
            store_path=self.path(name),
            seed=1,
            **given,
        )
        environment = LeaseEnvironment(
            self.clock,
            self.now,
            self.transports[name],
            lambda event, **fields: self.events.append(
                (name, fields.get("error", event))
            ),
            CollectorRegistry(),
        )
        worker = ImmediateWorker(self.clock)
        self.managers[name] = LeaseManager(settings, environment, worker)

    def stop(self, name):
        self.managers.pop(name).stop()
        del self.transports[name]

    def bring(self, sender, member, body):
        for each in (
            self.transports[member].subscribers
            if member in self.transports and not {sender, member} & self.cut
            else ()
        ):
            each(sender, 1, body)

    def go(self, seconds):
        for _ in range(int(seconds * 400)):
            self.clock.advance(0.0025)

    def acquire(self, name, key="c", seconds=0.5):
        got = []
        self.managers[name].acquire(key, got.append)
        self.go(seconds)
        return got[0]

    def write(self, name, term, *values):
        got = []
        for value in values:
            self.managers[name].write(term, value, got.append)
        self.go(0.5)
        return got


class LeaseManagerTests(unittest.TestCase):
    def net(self, **values):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        net = Network(folder.name, **values)
        self.addCleanup(lambda: [net.stop(each) for each in list(net.managers)])
        return net

    def test_a_write_that_lay_on_its_way_is_as_old_as_it_is(self):
        """A network that holds a gateway's streams, then brings what was in one."""
        net = self.net()
        held = []
        term = net.acquire("x")
        self.assertEqual(net.write("x", term, b"1"), [None])
        bring, made = net.bring, net.now()
        net.bring = lambda sender, *rest: (
            held.append((sender, *rest)) if sender == "x" else bring(sender, *rest)
        )
        self.assertIsInstance(
            net.write("x", term, b"2")[0], errors.QuorumNotReachedError
        )
        net.go(6)
        net.bring = bring
        for each in [each for each in held if each[1] == "r1"]:
            net.bring(*each)
        net.go(2.5)
        later = net.acquire("y")
        self.assertEqual(later.value, b"2")
        self.assertLessEqual(
            net.now() - made - 5000, later.value_age
        )  # it was had half a second ago
        self.assertLess(later.value_age, net.now() - made + 2000)

    def test_a_lease_is_acquired_written_under_and_handed_over(self):
        net = self.net()
        term = net.acquire("x")
        self.assertEqual(
            (term.value, term.value_age, net.managers["x"].holds(term)), (b"", 0, True)
        )
        self.assertEqual(net.write("x", term, b"1", b"2", b"3"), [None] * 3)
        self.assertEqual(term.value, b"3")
        refused = net.acquire("y")
        self.assertIsInstance(refused, errors.NotLeaseHolderError)
        self.assertEqual(refused.holder, "x")
        self.assertLessEqual(refused.retry_delay, TIMINGS.acceptor_duration())
        net.managers["x"].release(term)
        self.assertFalse(net.managers["x"].holds(term))
        later = net.acquire("y")
        self.assertEqual(later.value, b"3")
        self.assertTrue(5_000 <= later.value_age <= 15_000)
        self.assertIsInstance(net.write("x", term, b"4")[0], errors.LeaseNotHeldError)

    def test_a_term_in_use_is_renewed_an_idle_one_ends_and_is_acquired_after_it(self):
        net = self.net()
        term = net.acquire("x")
        net.write("x", term, b"1")
        term.in_use = True
        net.go(6)
        self.assertTrue(net.managers["x"].holds(term))
        self.assertIsInstance(net.acquire("y"), errors.NotLeaseHolderError)
        net.cut.add("x")  # its holder is gone
        began = net.now()
        while isinstance(
            got := net.acquire("y", seconds=0.05), errors.CoordinationError
        ):
            self.assertLess(net.now() - began, 3 * 10_000)
        self.assertFalse(net.managers["x"].holds(term))
        self.assertEqual(got.value, b"1")
        net.cut.clear()
        self.assertEqual(
            [type(each) for each in net.write("x", term, b"2")],
            [errors.NotLeaseHolderError],
        )

    def test_without_a_majority_it_is_declined_soon_with_a_time_to_come_back(self):
        net = self.net()
        term = net.acquire("x")
        net.cut |= {"r0", "r1"}
        got = net.acquire("y", "other", seconds=0.05)
        self.assertIsInstance(got, errors.QuorumNotReachedError)
        self.assertGreater(got.retry_delay, 0)
        self.assertIsInstance(
            net.write("x", term, b"1")[0], errors.QuorumNotReachedError
        )
        net.cut.clear()
        net.go(3)
        again = net.acquire("y")
        self.assertIn(again.value, (b"", b"1"))

    def test_acceptors_come_back_with_what_they_have_without_or_with_less(self):
        for how, error in (
            ("kept", "acceptor_serving"),
            ("torn", "AcceptorStateCorruptError"),
            ("lost", "AcceptorStateMissingError"),
            ("older", "AcceptorStateRolledBackError"),
        ):
            with self.subTest(how):
                net = self.net()
                term = net.acquire("x")
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
                del net.events[:]
                net.start("r1")
                net.go(0.5)
                self.assertIn(("r1", error), net.events)
                self.assertEqual(
                    net.managers["r1"].acceptor.is_serving(), how == "kept"
                )
                net.go(3)
                self.assertTrue(net.managers["r1"].acceptor.is_serving())
                net.cut.add("r0")  # r1 counts again, and has what was written
                while isinstance(got := net.acquire("y"), errors.CoordinationError):
                    net.go(0.2)
                self.assertEqual(got.value, b"2")

    def test_an_acceptor_without_room_answers_nothing_that_is_not_written(self):
        net = self.net()
        net.stop("r0")
        net.start("r0", max_store_pages=14)
        net.go(0.5)
        terms = [net.acquire("x", f"c{each}", seconds=0.1) for each in range(12)]
        self.assertEqual(
            sum([net.write("x", term, b"x" * 6000) for term in terms], []), [None] * 12
        )  # the two others do
        self.assertIn(("r0", "DiskFullError"), net.events)
        net.cut.add("r1")
        self.assertIsInstance(
            net.write("x", terms[11], b"y" * 6000)[0], errors.QuorumNotReachedError
        )
        net.managers["r0"].acceptor.store.connection.execute(
            "PRAGMA max_page_count=1000"
        )
        net.go(3)
        self.assertIsInstance(net.acquire("x", "c11"), LeaseTerm)

    def test_bounds_and_idle_leases(self):
        net = self.net(max_leases=3, idle_after=50_000)
        for each in range(3):
            term = net.acquire("x", f"c{each}")
            net.write("x", term, b"v")
        self.assertIsInstance(
            net.acquire("x", "c3"), errors.ResourceLimitReachedError
        )  # here
        self.assertIsInstance(
            net.acquire("y", "c3"), errors.QuorumNotReachedError
        )  # at the acceptors
        self.assertIsInstance(
            net.write("x", term, b"v" * 20_000)[0], errors.ResourceLimitReachedError
        )
        net.go(8)
        got = net.acquire("y", "c3")
        self.assertIsInstance(got, LeaseTerm)
        self.assertGreater(got.ballot.round, term.ballot.round)  # the floor
        self.assertIsInstance(
            net.acquire("y", "\udc80"), errors.ResourceLimitReachedError
        )
        net.bring("y", "x", b"Rnonsense")
        self.assertIn(("x", "MalformedFrameError"), net.events)
        heard = []
        net.managers["x"].set_on_foreign_message(lambda *what: heard.append(what))
        net.bring("y", "x", b"Cours")
        self.assertEqual(heard, [("y", 1, b"Cours")])
        self.assertEqual(
            net.managers["x"].preferred_holder("c1"),
            net.managers["y"].preferred_holder("c1"),
        )

    def test_other_settings_are_declined_and_other_acceptors_need_an_order(self):
        net = self.net()
        net.write("x", net.acquire("x"), b"1")
        net.stop("y")
        net.start("y", lease_duration=30_000)
        self.assertIsInstance(net.acquire("y"), errors.QuorumNotReachedError)
        self.assertIn(("r0", "LeaseSettingsMismatchError"), net.events)
        net.stop("r0")
        net.start("r0", acceptors=("r0", "r1", "x"))
        net.go(3)
        self.assertIn(("r0", "AcceptorSetChangedError"), net.events)
        self.assertFalse(net.managers["r0"].acceptor.is_serving())
        net.stop("r0")
        Path(net.path("r0") + ".go-on").touch()
        net.start("r0", acceptors=("r0", "r1", "x"))
        net.go(0.1)
        self.assertIn(("r0", "acceptor_overridden"), net.events)
        self.assertTrue(net.managers["r0"].acceptor.is_serving())
        self.assertFalse(os.path.exists(net.path("r0") + ".go-on"))

    def test_an_older_state_shows_while_the_acceptor_runs(self):
        net = self.net()
        net.write("x", net.acquire("x"), b"1")
        acceptor = net.managers["r0"].acceptor
        identity = acceptor.identity()
        later = identity._replace(generation=identity.generation + 5)
        acceptor.on_witness("y", later)
        self.assertFalse(acceptor.is_serving())
        self.assertIn(("r0", "AcceptorStateRolledBackError"), net.events)
        net.go(4)
        self.assertTrue(acceptor.is_serving())
        self.assertEqual(acceptor.identity().age, 2)


if __name__ == "__main__":
    unittest.main()
