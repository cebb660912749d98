"""Rows of an acceptor's file: one per lease record, and one for the state."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import xxhash
from google.protobuf.message import DecodeError

from milletsill.fleet.errors import MalformedFrameError
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.acceptor_recovery import StateIdentity
from milletsill.fleet.leases.codec import (
    decode_record,
    encode_identity,
    encode_record,
)
from milletsill.fleet.leases.errors import AcceptorStateCorruptError


class RecordRow(NamedTuple):
    """A stored record; the checksum covers the other columns."""

    key: str
    written_at: int
    body: bytes
    checksum: bytes


@dataclass(frozen=True, slots=True)
class StoredState:
    """The row of the state, without the digest and the identities of the acceptors.

    Attributes:
        identity: Identity of the state.
        ballot_floor: The highest ballot round of all records that were removed.
        uptime: Total uptime of the acceptor over all its incarnations, in ticks, at
            the last commit.
        is_incomplete: Whether the state lacks something that the acceptor must copy
            from the other acceptors before it may answer.
    """

    identity: StateIdentity
    ballot_floor: int = 0
    uptime: int = 0
    is_incomplete: bool = False


def checksum(key: str, written_at: int, body: bytes) -> bytes:
    """Return the checksum of a row; the state row has an empty key and time 0."""
    return xxhash.xxh64_digest(f"{key}\0{written_at}\0".encode() + body)


def decode_row(row: RecordRow, path: str) -> LeaseRecord:
    """Return the record of a row.

    Raises:
        AcceptorStateCorruptError: The row fails its checksum or cannot be read.
    """
    if checksum(row.key, row.written_at, row.body) != row.checksum:
        raise AcceptorStateCorruptError(
            f"record of lease {row.key!r} fails its checksum", path
        )
    try:
        return decode_record(wire.Kept.FromString(row.body), row.written_at)
    except (DecodeError, MalformedFrameError) as error:
        raise AcceptorStateCorruptError(
            f"record of lease {row.key!r} cannot be decoded: {error}", path
        ) from error


def initial_state(nonce: int, acceptor_set_digest: int, is_incomplete: bool) -> bytes:
    """Return the state row of a new file."""
    state = StoredState(StateIdentity(1, nonce, 0), is_incomplete=is_incomplete)
    return encode_state(state, acceptor_set_digest, [])


def encode_state(
    state: StoredState,
    acceptor_set_digest: int,
    known: Iterable[tuple[str, StateIdentity]],
) -> bytes:
    """Return the state row."""
    stored = wire.State(
        own=encode_identity(state.identity),
        floor=state.ballot_floor,
        up=state.uptime,
        doubted=state.is_incomplete,
        among=acceptor_set_digest,
        known=[
            wire.Known(name=name, own=encode_identity(identity))
            for name, identity in known
        ],
    )
    return stored.SerializeToString()


def encode_rows(records: Mapping[str, LeaseRecord | None]) -> list[RecordRow]:
    """Return the rows of records; None, for a removed record, gives no row."""
    rows: list[RecordRow] = []
    for key, record in records.items():
        if record is None:
            continue
        body = encode_record(record).SerializeToString()
        digest = checksum(key, record.written_at, body)
        rows.append(RecordRow(key, record.written_at, body, digest))
    return rows
