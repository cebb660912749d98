"""A simulated gateway's disk, and the acceptor's store on it.

The store is a real SQLite database in memory, which survives the kill of its gateway.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import ClassVar
from unittest import mock

from milletsill.fleet.leases import acceptor_service, lease_manager
from milletsill.fleet.leases.acceptor_recovery import StateIdentity
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.fleet.leases.store_file import create_tables
from milletsill.fleet.leases.store_rows import initial_state

USUAL_LATENCY = 20  # ticks of 0.1 ms per job
MAX_BACKUPS = 9
MAX_PAGES = 1 << 30


@dataclass(frozen=True, slots=True)
class DiskBackup:
    """A copy of the store, with the identity of its state."""

    identity: StateIdentity
    database: sqlite3.Connection


class SimulatedDisk:
    """One gateway's disk, which may be slow, full, or restored from a backup.

    Attributes:
        database: the acceptor's store; None if the disk has none.
        latency: latency of one job, in ticks of 0.1 ms.
        backups: the latest copies of the store, oldest first.
    """

    def __init__(self) -> None:
        self.database: sqlite3.Connection | None = None
        self.latency = USUAL_LATENCY
        self.backups: list[DiskBackup] = []

    def back_up(self, identity: StateIdentity) -> None:
        """Add a copy of the store to the backups."""
        if self.database is None:
            return
        copy = sqlite3.connect(":memory:", isolation_level=None)
        self.database.backup(copy)
        self.backups = [
            *self.backups[1 - MAX_BACKUPS :],
            DiskBackup(identity, copy),
        ]

    def set_latency(self, latency: int) -> None:
        """Set the latency of each job, in ticks of 0.1 ms."""
        self.latency = latency

    def set_full(self, is_full: bool) -> None:
        """Set SQLite's page limit to the present page count, or lift it."""
        if self.database is None:
            return
        pages = self.database.execute("PRAGMA page_count").fetchone()[0]
        bound = pages if is_full else MAX_PAGES
        self.database.execute(f"PRAGMA max_page_count={bound}")


class InMemoryAcceptorStore(AcceptorStore):
    """The acceptor's store on a simulated disk.

    Attributes:
        disks: the disks of the simulated fleet, by store path.
    """

    disks: ClassVar[Mapping[str, SimulatedDisk]] = {}

    @classmethod
    def open(
        cls,
        path: str,
        nonce: int,
        acceptor_set_digest: int = 0,
        is_incomplete: bool = False,
        max_pages: int = 0,
    ) -> AcceptorStore:
        """Open the store at a path, and create it if the disk has none."""
        disk = cls.disks[path]
        if disk.database is None:
            disk.database = sqlite3.connect(":memory:", isolation_level=None)
            state = initial_state(nonce, acceptor_set_digest, is_incomplete)
            create_tables(disk.database, state)
        store = cls(path, disk.database)
        store.load(0)
        return store

    def close(self) -> None:
        """Keep the database open, since it stands for a file that remains."""


@contextmanager
def simulated_leases(seed: int) -> Iterator[None]:
    """Seed the random draws of leases, and put acceptor stores on simulated disks."""
    random = Random(seed)
    with (
        mock.patch.object(lease_manager, "SystemRandom", lambda: random),
        mock.patch.object(acceptor_service, "AcceptorStore", InMemoryAcceptorStore),
    ):
        yield
