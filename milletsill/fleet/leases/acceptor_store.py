"""An acceptor's records in SQLite, with one synced transaction for many leases.

The store blocks, and one thread at a time uses it. Each row has a checksum. The state
row holds the state's identity, whose generation grows with each commit (see
`acceptor_recovery`). The caller sets a corrupt file aside. An older copy of the file is
detected by the identities that other gateways know. A truncated write-ahead log of
SQLite gives an older state as well.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import (
    LeaseRecord,
    is_removable,
    raise_ballot_floor,
)
from milletsill.fleet.leases.acceptor_recovery import (
    MAX_PAGE_BYTES,
    MAX_PAGE_RECORDS,
    SnapshotPage,
    StateIdentity,
)
from milletsill.fleet.leases.codec import decode_identity
from milletsill.fleet.leases.errors import (
    AcceptorStateCorruptError,
    AcceptorStateUnusableError,
    CoordinationError,
)
from milletsill.fleet.leases.store_file import (
    APPLICATION_ID,
    SCHEMA_VERSION,
    open_database,
    translate_error,
)
from milletsill.fleet.leases.store_rows import (
    RecordRow,
    StoredState,
    checksum,
    decode_row,
    encode_rows,
    encode_state,
    initial_state,
)

MAX_KNOWN_ACCEPTORS = 1024

_SELECT_ALL = "SELECT channel, touched, body, sum FROM record"
_SELECT_ONE = f"{_SELECT_ALL} WHERE channel = ?"
_SELECT_AFTER = f"{_SELECT_ALL} WHERE channel > ? ORDER BY channel LIMIT ?"


@dataclass(frozen=True, slots=True)
class RemovalResult:
    """The result of one round of removals.

    Attributes:
        next_key: The last key that was examined, after which the next round starts;
            empty when all records have been examined.
        removed: Keys of the records that were removed.
    """

    next_key: str
    removed: tuple[str, ...]


class AcceptorStore:
    """An open acceptor file; see `open`.

    Attributes:
        path: The file's path.
        connection: The database connection.
        state: The state row.
        known: The greatest known identity of each other acceptor; written with the
            next commit.
        acceptor_set_digest: Digest of the names of all acceptors that the state was
            created for; written with the next commit.
        count: Number of records.
    """

    def __init__(self, path: str, connection: sqlite3.Connection) -> None:
        self.path = path
        self.connection = connection
        self.state = StoredState(StateIdentity(0, 0, 0))
        self.known: dict[str, StateIdentity] = {}
        self.count = 0
        self.acceptor_set_digest = 0

    @classmethod
    def open(
        cls,
        path: str,
        nonce: int,
        acceptor_set_digest: int = 0,
        is_incomplete: bool = False,
        max_pages: int = 0,
    ) -> AcceptorStore:
        """Open the file of an acceptor; create it if it does not exist.

        Args:
            path: The file's path.
            nonce: Random number for the identity of a new state.
            acceptor_set_digest: Digest of the acceptors' names, for a new state.
            is_incomplete: Whether a new file replaces a corrupt one, so that its state
                is incomplete.
            max_pages: Size limit of the file in SQLite pages; 0 for none.

        Raises:
            AcceptorStateCorruptError, AcceptorStateUnusableError, DiskFullError.
        """
        state = initial_state(nonce, acceptor_set_digest, is_incomplete)
        connection = open_database(path, state)
        store = cls(path, connection)
        try:
            store.load(max_pages)
        except sqlite3.Error as error:
            connection.close()
            raise translate_error(error, path) from error
        except CoordinationError:
            connection.close()
            raise
        return store

    @property
    def identity(self) -> StateIdentity:
        """The identity of the state."""
        return self.state.identity

    @property
    def ballot_floor(self) -> int:
        """The highest ballot round of all records that were removed."""
        return self.state.ballot_floor

    def load(self, max_pages: int) -> None:
        """Read and check the whole file once."""
        connection = self.connection
        # A second process that opens the file gets an error.
        connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        if max_pages:
            connection.execute(f"PRAGMA max_page_count={max_pages}")
        self._check_file()
        self._load_state()
        self.count = 0
        for row in connection.execute(_SELECT_ALL):
            decode_row(RecordRow(*row), self.path)
            self.count += 1

    def _check_file(self) -> None:
        schema_version = self._pragma("user_version")
        if self._pragma("application_id") != APPLICATION_ID:
            raise AcceptorStateCorruptError("not an acceptor file", self.path)
        if schema_version > SCHEMA_VERSION:
            raise AcceptorStateUnusableError(
                f"schema version {schema_version}, supported up to {SCHEMA_VERSION}",
                self.path,
            )
        result = self.connection.execute("PRAGMA quick_check(1)").fetchone()[0]
        if result != "ok":
            raise AcceptorStateCorruptError(str(result), self.path)

    def _pragma(self, name: str) -> int:
        return int(self.connection.execute(f"PRAGMA {name}").fetchone()[0])

    def _load_state(self) -> None:
        row = self.connection.execute("SELECT body, sum FROM state").fetchone()
        if row is None or checksum("", 0, row[0]) != row[1]:
            raise AcceptorStateCorruptError(
                "the state row is missing or fails its checksum", self.path
            )
        stored = wire.State.FromString(row[0])
        self.state = StoredState(
            decode_identity(stored.own), stored.floor, stored.up, stored.doubted
        )
        self.acceptor_set_digest = stored.among
        self.known = {each.name: decode_identity(each.own) for each in stored.known}

    def read(self, key: str) -> LeaseRecord | None:
        """Return a lease's record; None if there is none.

        Raises:
            AcceptorStateCorruptError, AcceptorStateUnusableError.
        """
        try:
            row = self.connection.execute(_SELECT_ONE, (key,)).fetchone()
        except sqlite3.Error as error:
            raise translate_error(error, self.path) from error
        return None if row is None else decode_row(RecordRow(*row), self.path)

    def commit(
        self,
        records: Mapping[str, LeaseRecord | None],
        uptime: int,
        ballot_floor: int | None = None,
        added: int = 0,
    ) -> None:
        """Write records in one transaction; they are on disk when it returns.

        Args:
            records: Records by key; None removes a record.
            uptime: Total uptime of the acceptor, in ticks.
            ballot_floor: The new floor; None if it does not change.
            added: How many of the records are new.

        Raises:
            DiskFullError: Nothing has changed.
            AcceptorStateCorruptError: Nothing has changed.
            AcceptorStateUnusableError: Nothing has changed.
        """
        identity = self.identity
        identity = identity._replace(generation=identity.generation + 1)
        floor = self.ballot_floor if ballot_floor is None else ballot_floor
        state = replace(
            self.state, identity=identity, ballot_floor=floor, uptime=uptime
        )
        removed = [key for key, record in records.items() if record is None]
        self._write(encode_rows(records), removed, state)
        self.count += added - len(removed)

    def mark_incomplete(self, uptime: int) -> None:
        """Store that the state is incomplete. Raises as `commit`."""
        self._write([], [], replace(self.state, uptime=uptime, is_incomplete=True))

    def adopt(
        self,
        records: Mapping[str, LeaseRecord],
        ballot_floor: int,
        identity: StateIdentity,
        uptime: int,
    ) -> None:
        """Write a state that was copied from other acceptors. Raises as `commit`."""
        state = StoredState(identity, ballot_floor, uptime)
        self._write(encode_rows(records), [], state)
        count = self.connection.execute("SELECT count(*) FROM record").fetchone()
        self.count = count[0]

    def read_page(self, after: str) -> SnapshotPage:
        """Return a page of the records after a key, for another acceptor.

        Raises:
            AcceptorStateCorruptError, AcceptorStateUnusableError.
        """
        records: list[tuple[str, LeaseRecord]] = []
        size = 0
        is_last = True
        try:
            rows = self.connection.execute(_SELECT_AFTER, (after, MAX_PAGE_RECORDS + 1))
            for row in map(RecordRow._make, rows):
                if len(records) >= MAX_PAGE_RECORDS or size > MAX_PAGE_BYTES:
                    is_last = False
                    break
                records.append((row.key, decode_row(row, self.path)))
                size += len(row.body)
        except sqlite3.Error as error:
            raise translate_error(error, self.path) from error
        return SnapshotPage(tuple(records), self.ballot_floor, is_last)

    def remove_idle(
        self,
        after: str,
        limit: int,
        uptime: int,
        idle_after: int,
        is_free: Callable[[str], bool],
    ) -> RemovalResult:
        """Remove records of leases that have been unused for `idle_after`.

        Args:
            after: Key after which the examined records start.
            limit: How many records to examine.
            uptime: Total uptime of the acceptor, in ticks.
            idle_after: How long a lease must have been unused, in ticks.
            is_free: Returns whether no gateway holds the lease of a key.

        Raises:
            As `commit`.
        """
        try:
            rows = self.connection.execute(_SELECT_AFTER, (after, limit)).fetchall()
        except sqlite3.Error as error:
            raise translate_error(error, self.path) from error
        records = {row[0]: decode_row(RecordRow(*row), self.path) for row in rows}
        removed: dict[str, LeaseRecord | None] = {}
        floor = self.ballot_floor
        for key, record in records.items():
            if is_removable(record, uptime, idle_after) and is_free(key):
                removed[key] = None
                floor = raise_ballot_floor(floor, record)
        if removed:
            self.commit(removed, uptime, floor)
        next_key = rows[-1][0] if len(rows) == limit else ""
        return RemovalResult(next_key, tuple(removed))

    def close(self) -> None:
        """Close the file."""
        self.connection.close()

    def _write(
        self, rows: Iterable[RecordRow], removed: Iterable[str], state: StoredState
    ) -> None:
        known = list(self.known.items())[:MAX_KNOWN_ACCEPTORS]
        body = encode_state(state, self.acceptor_set_digest, known)
        connection = self.connection
        try:
            connection.execute("BEGIN IMMEDIATE")
            connection.executemany(
                "INSERT OR REPLACE INTO record VALUES(?, ?, ?, ?)", rows
            )
            connection.executemany(
                "DELETE FROM record WHERE channel = ?", [(key,) for key in removed]
            )
            connection.execute(
                "UPDATE state SET body = ?, sum = ?", (body, checksum("", 0, body))
            )
            connection.execute("COMMIT")
        except sqlite3.Error as error:
            self._roll_back()
            raise translate_error(error, self.path) from error
        self.state = state

    def _roll_back(self) -> None:
        if not self.connection.in_transaction:
            return
        # The caller reports the first error; an error of the rollback is a consequence.
        with contextlib.suppress(sqlite3.Error):
            self.connection.execute("ROLLBACK")
