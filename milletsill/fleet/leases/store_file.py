"""Creates, opens and sets aside the acceptor's SQLite file."""

from __future__ import annotations

import os
import sqlite3

from milletsill.fleet.leases.errors import (
    AcceptorStateCorruptError,
    AcceptorStateUnusableError,
    CoordinationError,
    DiskFullError,
)
from milletsill.fleet.leases.store_rows import checksum

SCHEMA_VERSION = 1  # a file with a later version is not opened
APPLICATION_ID = 0x4D435231
TABLES = (
    "CREATE TABLE record(channel TEXT PRIMARY KEY, touched INTEGER NOT NULL, "
    "body BLOB NOT NULL, sum BLOB NOT NULL) WITHOUT ROWID",
    "CREATE TABLE state(id INTEGER PRIMARY KEY CHECK(id = 0), body BLOB NOT NULL, "
    "sum BLOB NOT NULL)",
)
_SIDE_FILES = ("-wal", "-shm", "-journal")


def translate_error(error: sqlite3.Error, path: str) -> CoordinationError:
    """Return the error of the lease service for an SQLite error."""
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    if code == sqlite3.SQLITE_FULL:
        return DiskFullError("no disk space left for the acceptor's file", path)
    if code in (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB):
        return AcceptorStateCorruptError(str(error), path)
    return AcceptorStateUnusableError(str(error), path)


def open_database(path: str, initial_state: bytes) -> sqlite3.Connection:
    """Open the file; create it with the initial state if it does not exist.

    Raises:
        AcceptorStateCorruptError, AcceptorStateUnusableError, DiskFullError.
    """
    try:
        if not os.path.exists(path):
            _remove_side_files(path)
            os.makedirs(os.path.dirname(path) or ".", exist_ok=True)
            _create_database(path, initial_state)
        return sqlite3.connect(
            path, isolation_level=None, check_same_thread=False, timeout=1.0
        )
    except sqlite3.Error as error:
        raise translate_error(error, path) from error
    except OSError as error:
        raise AcceptorStateUnusableError(error.strerror or str(error), path) from error


def set_aside(path: str) -> None:
    """Rename a file that cannot be used, so that an operator can examine it.

    Only the most recent one is kept.
    """
    aside = f"{path}.torn"
    os.replace(path, aside)
    for suffix in _SIDE_FILES:
        if os.path.exists(path + suffix):
            os.replace(path + suffix, aside + suffix)
    _sync_directory(path)


def _remove_side_files(path: str) -> None:
    """Remove side files of a missing database, so that a new one does not read them."""
    for suffix in _SIDE_FILES:
        if os.path.exists(path + suffix):
            os.remove(path + suffix)


def _create_database(path: str, initial_state: bytes) -> None:
    """Create the file under a temporary name and rename it when it is complete."""
    temporary = f"{path}.new"
    for each in (temporary, f"{temporary}-journal"):
        if os.path.exists(each):
            os.remove(each)
    connection = sqlite3.connect(temporary, isolation_level=None)
    try:
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute("BEGIN")
        create_tables(connection, initial_state)
        connection.execute("COMMIT")
    finally:
        connection.close()
    os.replace(temporary, path)
    _sync_directory(path)


def create_tables(connection: sqlite3.Connection, initial_state: bytes) -> None:
    """Create the tables of an empty database, and the state row."""
    for statement in TABLES:
        connection.execute(statement)
    connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")
    connection.execute(f"PRAGMA application_id={APPLICATION_ID}")
    connection.execute(
        "INSERT INTO state VALUES(0, ?, ?)",
        (initial_state, checksum("", 0, initial_state)),
    )


def _sync_directory(path: str) -> None:
    handle = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
