"""Lease managers of several gateways over a simulated network and a fake clock."""

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
    """One gateway's transport over a `Network`."""

    def __init__(self, name, network):
        self.name = name
        self.network = network
        self.incarnation = 1
        self.subscribers = []

    @property
    def view(self):
        return View(
            1,
            [
                Member(each, "h:1", 1, MemberState.ALIVE)
                for each in sorted(self.network.transports)
            ],
        )

    def send(self, member, kind, body):
        if (
            member not in self.network.transports
            or {member, self.name} & self.network.cut
        ):
            return False
        self.network.clock.callLater(
            0.001, self.network.deliver, self.name, member, body
        )
        return True

    def subscribe(self, kind, on_message):
        self.subscribers.append(on_message)

    def watch_view(self, on_change):
        pass


class ImmediateWorker:
    """Runs a job at once and delivers its result through the fake reactor."""

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
    """Gateways on one fake clock: acceptors r0, r1 and r2, and gateways x and y.

    Gateways in `cut` neither send nor receive messages. `events` has the gateway of
    each log event and the error's name or, without an error, the event's name.
    """

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
        self.advance(0.5)

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

    def deliver(self, sender, member, body):
        for each in (
            self.transports[member].subscribers
            if member in self.transports and not {sender, member} & self.cut
            else ()
        ):
            each(sender, 1, body)

    def advance(self, seconds):
        for _ in range(int(seconds * 400)):
            self.clock.advance(0.0025)

    def acquire(self, name, key="c", seconds=0.5):
        got = []
        self.managers[name].acquire(key, got.append)
        self.advance(seconds)
        return got[0]

    def write(self, name, term, *values):
        got = []
        for value in values:
            self.managers[name].write(term, value, got.append)
        self.advance(0.5)
        return got


class LeaseManagerTests(unittest.TestCase):
    def start_network(self, **values):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        network = Network(folder.name, **values)
        self.addCleanup(lambda: [network.stop(each) for each in list(network.managers)])
        return network

    def test_the_age_of_a_delayed_write_counts_from_its_creation(self):
        """Hold back a gateway's messages, and deliver those to one acceptor later."""
        network = self.start_network()
        held = []
        term = network.acquire("x")
        self.assertEqual(network.write("x", term, b"1"), [None])
        deliver, created_at = network.deliver, network.now()
        network.deliver = lambda sender, *rest: (
            held.append((sender, *rest)) if sender == "x" else deliver(sender, *rest)
        )
        self.assertIsInstance(
            network.write("x", term, b"2")[0], errors.QuorumNotReachedError
        )
        network.advance(6)
        network.deliver = deliver
        for each in [each for each in held if each[1] == "r1"]:
            network.deliver(*each)
        network.advance(2.5)
        later = network.acquire("y")
        self.assertEqual(later.value, b"2")
        self.assertLessEqual(
            network.now() - created_at - 5000, later.value_age
        )  # `acquire` returns half a second after the lease was acquired
        self.assertLess(later.value_age, network.now() - created_at + 2000)

    def test_a_released_lease_passes_to_another_gateway_with_its_record(self):
        network = self.start_network()
        term = network.acquire("x")
        self.assertEqual(
            (term.value, term.value_age, network.managers["x"].holds(term)),
            (b"", 0, True),
        )
        self.assertEqual(network.write("x", term, b"1", b"2", b"3"), [None] * 3)
        self.assertEqual(term.value, b"3")
        refused = network.acquire("y")
        self.assertIsInstance(refused, errors.NotLeaseHolderError)
        self.assertEqual(refused.holder, "x")
        self.assertLessEqual(refused.retry_delay, TIMINGS.acceptor_duration())
        network.managers["x"].release(term)
        self.assertFalse(network.managers["x"].holds(term))
        later = network.acquire("y")
        self.assertEqual(later.value, b"3")
        self.assertTrue(5_000 <= later.value_age <= 15_000)
        self.assertIsInstance(
            network.write("x", term, b"4")[0], errors.LeaseNotHeldError
        )

    def test_a_term_in_use_is_renewed_until_its_holder_is_disconnected(self):
        network = self.start_network()
        term = network.acquire("x")
        network.write("x", term, b"1")
        term.in_use = True
        network.advance(6)
        self.assertTrue(network.managers["x"].holds(term))
        self.assertIsInstance(network.acquire("y"), errors.NotLeaseHolderError)
        network.cut.add("x")  # the holder
        started_at = network.now()
        while isinstance(
            got := network.acquire("y", seconds=0.05), errors.CoordinationError
        ):
            self.assertLess(network.now() - started_at, 3 * 10_000)
        self.assertFalse(network.managers["x"].holds(term))
        self.assertEqual(got.value, b"1")
        network.cut.clear()
        self.assertEqual(
            [type(each) for each in network.write("x", term, b"2")],
            [errors.NotLeaseHolderError],
        )

    def test_an_acquisition_without_a_majority_fails_with_a_retry_delay(self):
        network = self.start_network()
        term = network.acquire("x")
        network.cut |= {"r0", "r1"}
        got = network.acquire("y", "other", seconds=0.05)
        self.assertIsInstance(got, errors.QuorumNotReachedError)
        self.assertGreater(got.retry_delay, 0)
        self.assertIsInstance(
            network.write("x", term, b"1")[0], errors.QuorumNotReachedError
        )
        network.cut.clear()
        network.advance(3)
        again = network.acquire("y")
        self.assertIn(again.value, (b"", b"1"))

    def test_an_acceptor_recovers_from_a_corrupt_missing_or_older_file(self):
        for how, error in (
            ("kept", "acceptor_serving"),
            ("torn", "AcceptorStateCorruptError"),
            ("lost", "AcceptorStateMissingError"),
            ("older", "AcceptorStateRolledBackError"),
        ):
            with self.subTest(how):
                network = self.start_network()
                term = network.acquire("x")
                network.cut.add("r2")
                network.write("x", term, b"1")
                network.advance(0.3)
                network.stop("r1")
                shutil.copy(network.path("r1"), network.path("r1") + ".copy")
                network.start("r1")
                network.advance(0.5)
                network.cut.clear()
                network.advance(2.5)
                self.assertEqual(network.write("x", term, b"2"), [None])
                network.advance(0.3)
                network.stop("r1")
                if how == "torn":
                    Path(network.path("r1")).write_bytes(
                        Path(network.path("r1")).read_bytes()[:5000]
                    )
                elif how == "lost":
                    os.remove(network.path("r1"))
                elif how == "older":
                    os.replace(network.path("r1") + ".copy", network.path("r1"))
                del network.events[:]
                network.start("r1")
                network.advance(0.5)
                self.assertIn(("r1", error), network.events)
                self.assertEqual(
                    network.managers["r1"].acceptor.is_serving(), how == "kept"
                )
                network.advance(3)
                self.assertTrue(network.managers["r1"].acceptor.is_serving())
                network.cut.add("r0")  # so r1 is needed, with the write
                while isinstance(got := network.acquire("y"), errors.CoordinationError):
                    network.advance(0.2)
                self.assertEqual(got.value, b"2")

    def test_an_acceptor_with_a_full_disk_grants_no_write(self):
        network = self.start_network()
        network.stop("r0")
        network.start("r0", max_store_pages=14)
        network.advance(0.5)
        terms = [network.acquire("x", f"c{each}", seconds=0.1) for each in range(12)]
        self.assertEqual(
            sum([network.write("x", term, b"x" * 6000) for term in terms], []),
            [None] * 12,
        )  # the other two acceptors accept the writes
        self.assertIn(("r0", "DiskFullError"), network.events)
        network.cut.add("r1")
        self.assertIsInstance(
            network.write("x", terms[11], b"y" * 6000)[0], errors.QuorumNotReachedError
        )
        network.managers["r0"].acceptor.store.connection.execute(
            "PRAGMA max_page_count=1000"
        )
        network.advance(3)
        self.assertIsInstance(network.acquire("x", "c11"), LeaseTerm)

    def test_limits_and_removal_of_idle_leases(self):
        network = self.start_network(max_leases=3, idle_after=50_000)
        for each in range(3):
            term = network.acquire("x", f"c{each}")
            network.write("x", term, b"v")
        self.assertIsInstance(
            network.acquire("x", "c3"), errors.ResourceLimitReachedError
        )  # the limit of the gateway x
        self.assertIsInstance(
            network.acquire("y", "c3"), errors.QuorumNotReachedError
        )  # the limit of the acceptors
        self.assertIsInstance(
            network.write("x", term, b"v" * 20_000)[0], errors.ResourceLimitReachedError
        )
        network.advance(8)
        got = network.acquire("y", "c3")
        self.assertIsInstance(got, LeaseTerm)
        self.assertGreater(got.ballot.round, term.ballot.round)  # the ballot floor
        self.assertIsInstance(
            network.acquire("y", "\udc80"), errors.ResourceLimitReachedError
        )
        network.deliver("y", "x", b"Rnonsense")
        self.assertIn(("x", "MalformedFrameError"), network.events)
        received = []
        network.managers["x"].set_on_channel_message(
            lambda *message: received.append(message)
        )
        network.deliver("y", "x", b"Cours")
        self.assertEqual(received, [("y", 1, b"Cours")])
        self.assertEqual(
            network.managers["x"].preferred_holder("c1"),
            network.managers["y"].preferred_holder("c1"),
        )

    def test_other_timings_are_refused_and_other_acceptors_need_an_override(self):
        network = self.start_network()
        network.write("x", network.acquire("x"), b"1")
        network.stop("y")
        network.start("y", lease_duration=30_000)
        self.assertIsInstance(network.acquire("y"), errors.QuorumNotReachedError)
        self.assertIn(("r0", "LeaseSettingsMismatchError"), network.events)
        network.stop("r0")
        network.start("r0", acceptors=("r0", "r1", "x"))
        network.advance(3)
        self.assertIn(("r0", "AcceptorSetChangedError"), network.events)
        self.assertFalse(network.managers["r0"].acceptor.is_serving())
        network.stop("r0")
        Path(network.path("r0") + ".go-on").touch()
        network.start("r0", acceptors=("r0", "r1", "x"))
        network.advance(0.1)
        self.assertIn(("r0", "acceptor_overridden"), network.events)
        self.assertTrue(network.managers["r0"].acceptor.is_serving())
        self.assertFalse(os.path.exists(network.path("r0") + ".go-on"))

    def test_a_running_acceptor_stops_and_recovers_when_its_state_is_stale(self):
        network = self.start_network()
        network.write("x", network.acquire("x"), b"1")
        acceptor = network.managers["r0"].acceptor
        identity = acceptor.identity()
        later = identity._replace(generation=identity.generation + 5)
        acceptor.on_known_identity("y", later)
        self.assertFalse(acceptor.is_serving())
        self.assertIn(("r0", "AcceptorStateRolledBackError"), network.events)
        network.advance(4)
        self.assertTrue(acceptor.is_serving())
        self.assertEqual(acceptor.identity().epoch, 2)


if __name__ == "__main__":
    unittest.main()
