"""A register's file: sqlite3, one transaction for many channels, synced before it returns. Blocking; of one thread at a time.

Each row has a checksum, and the one row of the state its identity, whose generation grows with each commit (standing.py). A file
that is torn is set aside. A file that is older shows by what others heard; sqlite's own log, cut short, is an older state too.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable, Iterable, Mapping

import xxhash
from google.protobuf.message import DecodeError

from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import Record, forgettable, raised
from milletsill.fleet.leases.acceptor_recovery import (
    PAGE_BYTES,
    PER_PAGE,
    StateIdentity,
    SnapshotPage,
)
from milletsill.fleet.leases.codec import (
    MalformedFrame,
    get_identity,
    get_record,
    put_identity,
    put_record,
)
from milletsill.fleet.leases.errors import (
    CoordinationError,
    DiskFull,
    AcceptorStateCorrupt,
    AcceptorStateUnusable,
)

SCHEMA, MARK = 1, 0x4D435231  # a later schema is left alone; sqlite's application_id
MOST_KNOWN = 1024
TABLES = (
    "CREATE TABLE record(channel TEXT PRIMARY KEY, touched INTEGER NOT NULL, body BLOB NOT NULL, sum BLOB NOT NULL) WITHOUT ROWID",
    "CREATE TABLE state(id INTEGER PRIMARY KEY CHECK(id = 0), body BLOB NOT NULL, sum BLOB NOT NULL)",
)
Row = tuple[str, int, bytes, bytes]


def checksum(channel: str, touched: int, body: bytes) -> bytes:
    return xxhash.xxh64_digest(f"{channel}\0{touched}\0".encode() + body)


def fault_of(error: sqlite3.Error, path: str) -> CoordinationError:
    """Sqlite's words as ours."""
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    if code == sqlite3.SQLITE_FULL:
        return DiskFull("no room for the register's file", path)
    if code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB):
        return AcceptorStateCorrupt(str(error), path)
    return AcceptorStateUnusable(str(error), path)


def sync_folder(path: str) -> None:
    handle = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def created(path: str, state: bytes) -> None:
    """A new file, whole or not there: under another name first."""
    made = f"{path}.new"
    for each in (made, f"{made}-journal"):
        if os.path.exists(each):
            os.remove(each)
    base = sqlite3.connect(made, isolation_level=None)
    try:
        base.execute("PRAGMA synchronous=FULL")
        base.execute("BEGIN")
        for each in TABLES:
            base.execute(each)
        base.execute(f"PRAGMA user_version={SCHEMA}")
        base.execute(f"PRAGMA application_id={MARK}")
        base.execute(
            "INSERT INTO state VALUES(0, ?, ?)", (state, checksum("", 0, state))
        )
        base.execute("COMMIT")
    finally:
        base.close()
    os.replace(made, path)
    sync_folder(path)


def set_aside(path: str) -> str:
    """A file that cannot be used is kept for whoever wants to look; the last of them."""
    aside = f"{path}.torn"
    os.replace(path, aside)
    for tail in ("-wal", "-shm", "-journal"):
        if os.path.exists(path + tail):
            os.replace(path + tail, aside + tail)
    sync_folder(path)
    return aside


class AcceptorStore:
    """The file, open. `opened` finds or makes it; `chance` is for the identity of a new one, `among` a digest of
    the registers it is of.
    """

    def __init__(self, path: str, base: sqlite3.Connection) -> None:
        self.path, self.base = path, base
        self.own, self.floor, self.up, self.doubted = (
            StateIdentity(0, 0, 0),
            0,
            0,
            False,
        )
        self.known: dict[str, StateIdentity] = {}
        self.count = self.among = 0

    @classmethod
    def opened(
        cls,
        path: str,
        chance: int,
        among: int = 0,
        doubted: bool = False,
        most_pages: int = 0,
    ) -> AcceptorStore:
        """Raises StateTorn, StateUnusable, DiskFull. `doubted` for one that is made where there was another."""
        try:
            if not os.path.exists(path):
                for tail in (
                    "-wal",
                    "-shm",
                    "-journal",
                ):  # of a file that is gone: not of the new one
                    if os.path.exists(path + tail):
                        os.remove(path + tail)
                os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
                state = wire.State(
                    own=put_identity(StateIdentity(1, chance, 0)),
                    floor=0,
                    up=0,
                    doubted=doubted,
                    among=among,
                )
                created(path, state.SerializeToString())
            base = sqlite3.connect(
                path, isolation_level=None, check_same_thread=False, timeout=1.0
            )
        except sqlite3.Error as error:
            raise fault_of(error, path) from None
        except OSError as error:
            raise AcceptorStateUnusable(error.strerror or str(error), path) from None
        store = cls(path, base)
        try:
            store.begin(most_pages)
        except sqlite3.Error as error:
            base.close()
            raise fault_of(error, path) from None
        except CoordinationError:
            base.close()
            raise
        return store

    def begin(self, most_pages: int) -> None:
        """All that is in it is looked at once."""
        base = self.base
        base.execute(
            "PRAGMA locking_mode=EXCLUSIVE"
        )  # two processes with one file: the second is told so
        base.execute("PRAGMA journal_mode=WAL")
        base.execute("PRAGMA synchronous=FULL")
        if most_pages:
            base.execute(f"PRAGMA max_page_count={most_pages}")
        schema, mark = (
            base.execute(f"PRAGMA {each}").fetchone()[0]
            for each in ("user_version", "application_id")
        )
        if mark != MARK:
            raise AcceptorStateCorrupt("no file of a register", self.path)
        if schema > SCHEMA:
            raise AcceptorStateUnusable(
                f"its schema is {schema}, this program knows {SCHEMA}", self.path
            )
        if (found := base.execute("PRAGMA quick_check(1)").fetchone()[0]) != "ok":
            raise AcceptorStateCorrupt(str(found), self.path)
        row = base.execute("SELECT body, sum FROM state").fetchone()
        if row is None or checksum("", 0, row[0]) != row[1]:
            raise AcceptorStateCorrupt(
                "the row of the state fails its checksum", self.path
            )
        state = wire.State.FromString(row[0])
        self.own, self.floor, self.up, self.doubted = (
            get_identity(state.own),
            state.floor,
            state.up,
            state.doubted,
        )
        self.among = state.among
        self.known = {each.name: get_identity(each.own) for each in state.known}
        self.count = 0
        for each in base.execute("SELECT channel, touched, body, sum FROM record"):
            self.record(each)
            self.count += 1

    def record(self, row: Row) -> Record:
        """A row as a record. Raises StateTorn."""
        channel, touched, body, found = row
        if checksum(channel, touched, body) != found:
            raise AcceptorStateCorrupt(
                f"the record of {channel!r} fails its checksum", self.path
            )
        try:
            return get_record(wire.Kept.FromString(body), touched)
        except (DecodeError, MalformedFrame) as error:
            raise AcceptorStateCorrupt(
                f"the record of {channel!r} cannot be read: {error}", self.path
            ) from None

    def read(self, channel: str) -> Record | None:
        """Raises StateTorn, StateUnusable."""
        try:
            row = self.base.execute(
                "SELECT channel, touched, body, sum FROM record WHERE channel = ?",
                (channel,),
            ).fetchone()
        except sqlite3.Error as error:
            raise fault_of(error, self.path) from None
        return None if row is None else self.record(row)

    def commit(
        self,
        records: Mapping[str, Record | None],
        up: int,
        floor: int | None = None,
        more: int = 0,
    ) -> None:
        """All of them, or none, on disk when it returns; None is a record that goes; `more` are new. Raises DiskFull, StateUnusable,
        StateTorn; then nothing has changed.
        """
        own, floor = (
            self.own._replace(generation=self.own.generation + 1),
            self.floor if floor is None else floor,
        )
        gone = [channel for channel, each in records.items() if each is None]
        self.transaction(self.rows(records), gone, own, floor, up, self.doubted)
        self.count += more - len(gone)

    def doubt(self, up: int) -> None:
        """It lacks something, also after the next start. Raises as `commit`."""
        self.transaction([], [], self.own, self.floor, up, True)

    def anew(
        self, records: Mapping[str, Record], floor: int, own: StateIdentity, up: int
    ) -> None:
        """A state out of the others' word; it has a new identity. Raises as `commit`."""
        self.transaction(self.rows(records), [], own, floor, up, False)
        self.count = self.base.execute("SELECT count(*) FROM record").fetchone()[0]

    def rows(self, records: Mapping[str, Record | None]) -> list[Row]:
        made: list[Row] = []
        for channel, record in records.items():
            if record is not None:
                body = put_record(record).SerializeToString()
                made.append(
                    (
                        channel,
                        record.touched,
                        body,
                        checksum(channel, record.touched, body),
                    )
                )
        return made

    def transaction(
        self,
        rows: Iterable[Row],
        gone: Iterable[str],
        own: StateIdentity,
        floor: int,
        up: int,
        doubted: bool,
    ) -> None:
        state = wire.State(
            own=put_identity(own),
            floor=floor,
            up=up,
            doubted=doubted,
            among=self.among,
            known=[
                wire.Known(name=name, own=put_identity(each))
                for name, each in list(self.known.items())[:MOST_KNOWN]
            ],
        ).SerializeToString()
        base = self.base
        try:
            base.execute("BEGIN IMMEDIATE")
            base.executemany("INSERT OR REPLACE INTO record VALUES(?, ?, ?, ?)", rows)
            base.executemany(
                "DELETE FROM record WHERE channel = ?", [(each,) for each in gone]
            )
            base.execute(
                "UPDATE state SET body = ?, sum = ?", (state, checksum("", 0, state))
            )
            base.execute("COMMIT")
        except sqlite3.Error as error:
            if base.in_transaction:
                try:
                    base.execute("ROLLBACK")
                except sqlite3.Error:
                    pass  # the error that came first says more
            raise fault_of(error, self.path) from None
        self.own, self.floor, self.up, self.doubted = own, floor, up, doubted

    def page(self, after: str) -> SnapshotPage:
        """Records after a channel, for another register. Raises StateTorn, StateUnusable."""
        found: list[tuple[str, Record]] = []
        size, last = 0, True
        try:
            for row in self.base.execute(
                "SELECT channel, touched, body, sum FROM record WHERE channel > ? ORDER BY channel LIMIT ?",
                (after, PER_PAGE + 1),
            ):
                if len(found) >= PER_PAGE or size > PAGE_BYTES:
                    last = False
                    break
                found.append((row[0], self.record(row)))
                size += len(row[2])
        except sqlite3.Error as error:
            raise fault_of(error, self.path) from None
        return SnapshotPage(tuple(found), self.floor, last)

    def forget(
        self, after: str, some: int, up: int, silent: int, free: Callable[[str], bool]
    ) -> tuple[str, list[str]]:
        """Looks at some records after a channel and lets those go that were silent for so long and that are `free`; the channel it
        came to, empty at the end, and what went. Raises as `commit`.
        """
        try:
            rows = self.base.execute(
                "SELECT channel, touched, body, sum FROM record WHERE channel > ? ORDER BY channel LIMIT ?",
                (after, some),
            ).fetchall()
        except sqlite3.Error as error:
            raise fault_of(error, self.path) from None
        records = {row[0]: self.record(row) for row in rows}
        gone: dict[str, Record | None] = {}
        floor = self.floor
        for channel, record in records.items():
            if forgettable(record, up, silent) and free(channel):
                gone[channel], floor = None, raised(floor, record)
        if gone:
            self.commit(gone, up, floor)
        return rows[-1][0] if len(rows) == some else "", list(gone)

    def close(self) -> None:
        self.base.close()
