"""Frames and records of the wire, to and from plain Python values. Nothing is decided here."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from struct import Struct
from typing import Any, BinaryIO, NamedTuple

from milletsill import facts
from milletsill.errors import MalformedInput
from milletsill.facts import UNIT
from milletsill.interface import Endpoint, EndpointUpdateKind, AttemptOutcome, Readiness

HEADER = Struct("<IIIQ")
REPLY = Struct("<II")
RECORD = Struct("<BI")
(
    BORN,
    UPDATE,
    TAKEN,
    FLOWING,
    RETURNED,
    ABANDONED,
    RING,
    PROBED,
    NOTE,
    CRASH,
    ROSTER,
    INSTANCE,
) = range(12)
NAMES = (
    "Born",
    "Update",
    "Req",
    "Flowing",
    "Returned",
    "Abandoned",
    "Ring",
    "Probed",
    "NoteFrom",
    "CrashNow",
    "Roster",
    "Instance",
)
# The fixed part of each event; what follows it is counted by its last field.
FIXED = {
    BORN: Struct("<QI"),
    UPDATE: Struct("<BQB"),
    TAKEN: Struct("<QQfHHBffQQ"),
    FLOWING: Struct("<QBQI"),
    RETURNED: Struct("<QHIHHBBQB"),
    ABANDONED: Struct("<Q"),
    RING: Struct("<Q"),
    PROBED: Struct("<IQHB"),
    NOTE: Struct("<IH"),
    CRASH: Struct("<"),
    ROSTER: Struct("<BI"),
    INSTANCE: Struct("<I"),
}
TAIL = {BORN: 1, RETURNED: 4, PROBED: 4, NOTE: 1, ROSTER: 22}
ENTRY = Struct("<IBfHBQH")

OUTCOMES = {
    0: AttemptOutcome.SUCCEEDED,
    255: AttemptOutcome.ERROR,
    254: AttemptOutcome.REJECTED,
    253: AttemptOutcome.TIMED_OUT,
    252: AttemptOutcome.UNREACHABLE,
    251: AttemptOutcome.RESET,
    250: AttemptOutcome.CANCELLED,
    249: AttemptOutcome.WITHDRAWN,
}
READINESS = {0: Readiness.GONE, 1: Readiness.READY, 2: Readiness.DRAINING}
NEWS = {
    0: EndpointUpdateKind.DELTA,
    1: EndpointUpdateKind.SNAPSHOT,
    2: EndpointUpdateKind.CACHED,
    3: EndpointUpdateKind.FAILED,
}


class MalformedBatch(MalformedInput):
    """Input of the simulator's wire that its page does not allow."""

    remedy = "bring the adapter and the simulator to versions that go together"


class Event(NamedTuple):
    """One record: its code, its fixed fields, and the counted bytes behind them."""

    code: int
    fields: tuple[Any, ...]
    tail: bytes


class Batch(NamedTuple):
    """One frame of events."""

    number: int
    clock: int
    events: list[Event]


def read_exactly(
    stream: BinaryIO, size: int, what: str, may_end: bool = False
) -> bytes | None:
    """That many bytes; None where the input ends cleanly before the first of them."""
    data = stream.read(size)
    if may_end and not data:
        return None
    if len(data) != size:
        raise MalformedBatch(f"input ended inside {what}: {len(data)} of {size} bytes")
    return data


def read_batch(stream: BinaryIO) -> Batch | None:
    """The next frame, or None at the end of the input."""
    head = read_exactly(stream, HEADER.size, "a batch header", may_end=True)
    if head is None:
        return None
    number, size, count, clock = HEADER.unpack(head)
    if size < HEADER.size + count * RECORD.size:
        raise MalformedBatch(
            f"batch {number}: a length of {size} cannot hold {count} records"
        )
    body = read_exactly(stream, size - HEADER.size, f"batch {number}")
    assert body is not None
    events = list(events_of(body, number))
    if len(events) != count:
        raise MalformedBatch(
            f"batch {number}: {len(events)} records where the header says {count}"
        )
    return Batch(number, clock, events)


def events_of(body: bytes, number: int) -> Iterator[Event]:
    """The records of one frame, each checked against its own length."""
    at = 0
    while at < len(body):
        if len(body) - at < RECORD.size:
            raise MalformedBatch(
                f"batch {number}: {len(body) - at} bytes left over after the last record"
            )
        code, size = RECORD.unpack_from(body, at)
        fixed = FIXED.get(code)
        if fixed is None:
            raise MalformedBatch(f"batch {number}: unknown event code {code}")
        start = at + RECORD.size
        at = start + size
        if at > len(body) or size < fixed.size:
            raise MalformedBatch(
                f"batch {number}: {NAMES[code]} cannot have a length of {size}"
            )
        fields = fixed.unpack_from(body, start)
        counted = fields[-1] * TAIL[code] if code in TAIL else 0
        if size != fixed.size + counted:
            raise MalformedBatch(
                f"batch {number}: {NAMES[code]} is {size} bytes long, not {fixed.size + counted}"
            )
        yield Event(code, fields, body[start + fixed.size : at])


def pick(table: Mapping[int, Any], code: int, what: str) -> Any:
    """The word for a code; an unknown one is malformed input."""
    if code not in table:
        raise MalformedBatch(f"unknown {what} {code}")
    return table[code]


def entries_of(tail: bytes) -> tuple[Endpoint, ...]:
    """The lines of a Roster."""
    return tuple(
        Endpoint(
            node,
            pick(READINESS, ready, "readiness"),
            size,
            kind,
            zone,
            -(-since // UNIT) if since else None,
            cell,
        )
        for node, ready, size, kind, zone, since, cell in ENTRY.iter_unpack(tail)
    )


def report_of(tail: bytes, fields: list[str]) -> dict[str, float]:
    """A load report by our names."""
    values = Struct(f"<{len(tail) // 4}f").unpack(tail)
    return dict(zip(fields, values))


def facts_of(text: bytes) -> dict[str, Any]:
    """The facts of one gateway, out of the settings' text."""
    try:
        return facts.facts_of(json.loads(text))
    except ValueError as error:
        raise MalformedBatch(f"settings: {error}") from None


def action(code: int, layout: str) -> Any:
    """A packer of one kind of action, header included."""
    fields = Struct("<" + layout)
    whole = Struct("<BI" + layout)
    return lambda *values: whole.pack(code, fields.size, *values)


ATTEMPT, FAILURE, REJECT = action(0, "QIQ"), action(1, "Q"), action(2, "QQ")
SOURCE, STREAM, CALL_OFF = action(5, "I"), action(6, "B"), action(7, "QB")
PROBE, QUERY, NOTIFY = action(8, "I"), action(9, ""), action(11, "QQ")


def text_action(code: int, text: str) -> bytes:
    """A Remark (4) or an Exception (3)."""
    data = text.encode()[:60_000]
    return RECORD.pack(code, 2 + len(data)) + len(data).to_bytes(2, "little") + data


def reply_to(number: int, actions: list[bytes]) -> bytes:
    """The frame that answers a batch."""
    body = b"".join(actions)
    return REPLY.pack(number, REPLY.size + len(body)) + body
