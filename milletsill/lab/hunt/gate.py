"""One gateway of a hunted fleet: the very machines of members, health and registers on a simulated clock, and its disk.

What is between them is the product's own service of offices; the sockets, the thread and the file's folder are simulated (sqlite
itself is real, in memory, and outlives a killed gateway).
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

from prometheus_client import CollectorRegistry

from milletsill.fleet.health.shared_health import (
    HealthConfig,
    HealthEnvironment,
    SharedHealth,
)
from milletsill.fleet.leases.acceptor_recovery import StateIdentity
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.fleet.leases.blocking_worker import run_guarded
from milletsill.fleet.leases.lease_manager import LeaseManager
from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.fleet.leases.store_file import create_tables
from milletsill.fleet.leases.store_rows import initial_state
from milletsill.fleet.leases.timings import LeaseTimings
from milletsill.lab.fleet_clock import SECOND, Stand

PERIOD, RIVALS = 5000, 9
MOST_NODES = 64
CHANNELS = tuple(f"channel-{each}" for each in range(4))


def remark(*what: Any, **more: Any) -> None:
    """Lines are not looked at."""


class Disk:
    """One gateway's: it may be slow or full, and holds copies that may come back."""

    def __init__(self) -> None:
        self.base: sqlite3.Connection | None = None
        self.wait, self.full, self.copies = (
            20,
            False,
            list[tuple[StateIdentity, sqlite3.Connection]](),
        )

    def copy(self, own: StateIdentity) -> None:
        if self.base is not None:
            made = sqlite3.connect(":memory:", isolation_level=None)
            self.base.backup(made)
            self.copies = self.copies[-8:] + [(own, made)]

    def fill(self, full: bool) -> None:
        """No page more than there is, by sqlite's own bound."""
        self.full = full
        if self.base is not None:
            pages = self.base.execute("PRAGMA page_count").fetchone()[0]
            self.base.execute(f"PRAGMA max_page_count={pages if full else 1 << 30}")


class Kept(AcceptorStore):
    """The register's file, in memory."""

    disks: dict[str, Disk] = {}

    @classmethod
    def open(
        cls,
        path: str,
        chance: int,
        acceptor_set: int = 0,
        is_incomplete: bool = False,
        max_pages: int = 0,
    ) -> AcceptorStore:
        disk = cls.disks[path]
        if disk.base is None:
            base = disk.base = sqlite3.connect(":memory:", isolation_level=None)
            create_tables(base, initial_state(chance, acceptor_set, is_incomplete))
        store = cls(path, disk.base)
        store.load(0)
        return store

    def close(self) -> None:
        """The file stays."""


class Host:
    """What health tells a module."""

    def __init__(self) -> None:
        self.on_attempt_ended: Any = None
        self.away: dict[int, tuple[int, bool]] = {}

    def on_health_advice(self, box: int, strain: float, away: bool, until: int) -> None:
        self.away[box] = (until, away)


class Eye:
    """In the place of an observer: what a gateway saw, as the world has it."""

    def __init__(self, gate: Gate) -> None:
        self.gate = gate

    @property
    def statistics(self) -> dict[int, Any]:
        """There is news of each box that it sends to."""
        world = self.gate.world
        return (
            {}
            if world.quiet
            else {
                box: SimpleNamespace(reported=False)
                for box in world.cells
                if not self.gate.keeps_away(box)
            }
        )

    @property
    def has_bad_news(self) -> bool:
        return not self.gate.world.quiet and self.gate.world.trouble_for(self.gate)

    def take_observations(self, now: int) -> Any:
        return {} if self.gate.world.quiet else self.gate.world.observations(self.gate)

    def on_attempt_result(self, *what: Any) -> None: ...

    def keep_only(self, nodes: Any) -> None: ...


class Worker:
    """The register's thread: on the disk now, told when the disk is done. One killed in between has written and said nothing."""

    def __init__(self, gate: Gate) -> None:
        self.gate, self.stopped = gate, False

    def run(self, job: Callable[[], Any], then: Callable[[Any], None]) -> None:
        if not self.stopped:
            result = run_guarded(job)
            self.gate.callLater(
                self.gate.disk.wait / SECOND,
                lambda: None if self.stopped else then(result),
            )

    def stop(self) -> None:
        self.stopped = True


class Timer:
    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def active(self) -> bool:
        return self.call is not None

    def cancel(self) -> None:
        self.call = None


class Gate(Stand):
    """Its timers stand while it stands still and end when it is killed. `rate`: its clock's error in parts of a million."""

    def begin(self, world: Any, place: int) -> None:
        """All that stands on the plane."""
        self.world, self.place, self.rate, self.disk = (
            world,
            place,
            world.rates[place],
            world.disks[self.name],
        )
        self.own_chance = Random(self.chance.getrandbits(64))
        self.terms: dict[str, LeaseTerm] = {}
        self.writes: dict[str, int] = {}
        if world.judges:
            self.advised = Host()
            self.shared_health = SharedHealth(
                HealthConfig(PERIOD, 60 * SECOND, 0.34, 4096, MOST_NODES, ()),
                HealthEnvironment(
                    self,
                    lambda: self.clock.now,
                    self,
                    self.advised,
                    remark,
                    remark,
                    CollectorRegistry(),
                ),
                self.own_chance.getrandbits(64),
            )
            self.shared_health.observer = Eye(self)  # type: ignore[assignment]
            self.shared_health.shards = dict(world.cells)
            if place >= world.judges:
                self.shared_health.evaluate = lambda: None  # type: ignore[method-assign]
            self.callLater(
                self.own_chance.random() * PERIOD / SECOND, self.shared_health.start
            )
        if world.registers:
            settings = LeaseSettings(
                acceptors=tuple(world.registers),
                timings=LeaseTimings(2 * SECOND, 3000, 5),
                max_leases=64,
                idle_after=1 << 50,
                store_path=f"/{self.name}",
                seed=self.own_chance.getrandbits(64),
            )
            environment = LeaseEnvironment(
                self, self.own_now, self, remark, CollectorRegistry()
            )
            self.offices = LeaseManager(settings, environment, Worker(self))
            if place < world.users:
                self.callLater(self.own_chance.random(), self.use)

    # The reactor and the thread.

    def own_now(self) -> int:
        return (
            self.clock.now
            + self.clock.now * self.rate // 1_000_000
            + self.world.jumped.get(self.name, 0)
        )

    def callLater(
        self, seconds: float, call: Callable[..., None], *values: Any
    ) -> Timer:
        timer = Timer(lambda: call(*values))
        self.clock.at(self.clock.now + int(seconds * SECOND), self.fire, timer)
        return timer

    def fire(self, timer: Timer) -> None:
        if not self.up or timer.call is None:
            return None
        if self.clock.now < self.stands_until:
            return self.clock.at(self.stands_until, self.fire, timer)
        call, timer.call = timer.call, None
        call()

    # Offices, as channels use them.

    def use(self) -> None:
        """A write where this gateway has the office; else it takes it, as a keeper or, now and then, as a rival."""
        self.callLater(0.2 + 0.6 * self.own_chance.random(), self.use)
        for channel in CHANNELS:
            if self.own_chance.random() < 0.5:
                self.use_one(channel)

    def use_one(self, channel: str) -> None:
        term = self.terms.get(channel)
        if term is not None and self.offices.holds(term):
            if channel not in self.writes:
                base = int.from_bytes(term.value or b"\0", "big")
                self.writes[channel] = value = self.world.value(base)
                term.in_use = True
                self.offices.write(
                    term,
                    value.to_bytes(8, "big"),
                    lambda fault: self.wrote(channel, term, value, fault),
                )
                if self.own_chance.random() < 0.05:
                    self.offices.release(term)
        elif self.offices.preferred_holder(channel) == self.name or (
            self.place < RIVALS and self.own_chance.random() < 0.05
        ):
            self.offices.acquire(channel, lambda found: self.took(channel, found))

    def took(self, channel: str, found: Any) -> None:
        if isinstance(found, LeaseTerm):
            self.terms[channel] = found
            if self.offices.holds(found):
                self.world.seated(
                    self, channel, int.from_bytes(found.value or b"\0", "big")
                )

    def wrote(self, channel: str, term: LeaseTerm, value: int, fault: Any) -> None:
        self.writes.pop(channel, None)
        term.in_use = False
        if fault is None:
            self.world.counted(self, channel, value)

    def holding(self, channel: str) -> bool:
        term = self.terms.get(channel)
        return term is not None and self.offices.holds(term)

    def register(self) -> Any:
        return (
            self.offices.acceptor
            if self.world.registers and self.name in self.world.registers
            else None
        )

    def keeps_away(self, box: int) -> bool:
        return (
            self.advised.away.get(box, (0, False))[1]
            and self.advised.away[box][0] > self.clock.now
        )
