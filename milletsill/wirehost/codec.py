"""Frames and records of the simulator's wire, to and from typed values.

Each frame of events is answered by one frame of actions. Numbers are little-endian.
Nothing is decided here.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping, Sequence
from enum import IntEnum
from struct import Struct
from typing import Any, BinaryIO, NamedTuple, TypeVar

from milletsill.deployment_config import DeploymentConfig
from milletsill.deployment_settings import NANOSECONDS_PER_TICK, config_from_settings
from milletsill.errors import MalformedInputError
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    Readiness,
    Request,
)

# Of a frame of events: batch number, size, count of records, clock in nanoseconds.
BATCH_HEADER = Struct("<IIIQ")
# Of a frame of actions: batch number, size.
REPLY_HEADER = Struct("<II")
# Of each record, either way: code, size of what follows.
RECORD_HEADER = Struct("<BI")


class EventCode(IntEnum):
    """The records that the simulator sends; the names are those of its page."""

    BORN = 0
    UPDATE = 1
    REQ = 2
    FLOWING = 3
    RETURNED = 4
    ABANDONED = 5
    RING = 6
    PROBED = 7
    NOTE_FROM = 8
    CRASH_NOW = 9
    ROSTER = 10
    INSTANCE = 11


class ActionCode(IntEnum):
    """The records that answer them; the names are those of the simulator's page."""

    ATTEMPT = 0
    FAILURE = 1
    REJECT = 2
    EXCEPTION = 3
    REMARK = 4
    SOURCE = 5
    STREAM = 6
    CALL_OFF = 7
    PROBE = 8
    QUERY = 9
    NOTIFY = 11


def event_name(code: int) -> str:
    """The name of an event as the simulator's page writes it."""
    return EventCode(code).name.title().replace("_", "")


# The fixed part of each event; what follows it is counted by its last field.
FIXED_PARTS = {
    EventCode.BORN: Struct("<QI"),
    EventCode.UPDATE: Struct("<BQB"),
    EventCode.REQ: Struct("<QQfHHBffQQ"),
    EventCode.FLOWING: Struct("<QBQI"),
    EventCode.RETURNED: Struct("<QHIHHBBQB"),
    EventCode.ABANDONED: Struct("<Q"),
    EventCode.RING: Struct("<Q"),
    EventCode.PROBED: Struct("<IQHB"),
    EventCode.NOTE_FROM: Struct("<IH"),
    EventCode.CRASH_NOW: Struct("<"),
    EventCode.ROSTER: Struct("<BI"),
    EventCode.INSTANCE: Struct("<I"),
}
# The size of one counted item behind the fixed part.
TAIL_ITEM_SIZES = {
    EventCode.BORN: 1,
    EventCode.RETURNED: 4,
    EventCode.PROBED: 4,
    EventCode.NOTE_FROM: 1,
    EventCode.ROSTER: 22,
}
# Node, readiness, size, kind, zone, start in nanoseconds, shard.
ROSTER_ENTRY = Struct("<IBfHBQH")
REPORT_VALUE_SIZE = 4
# Of the text of an action.
MAX_TEXT_SIZE = 60_000

# The flags of a Req record.
RETRY_FLAG = 2
WRITE_FLAG = 4

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
UPDATE_KINDS = {
    0: EndpointUpdateKind.DELTA,
    1: EndpointUpdateKind.SNAPSHOT,
    2: EndpointUpdateKind.CACHED,
    3: EndpointUpdateKind.FAILED,
}

Value = TypeVar("Value")


class MalformedBatchError(MalformedInputError):
    """Input of the simulator's wire that its page does not allow."""

    remedy = "bring the adapter and the simulator to versions that go together"


class Event(NamedTuple):
    """One record: its `EventCode`, its fixed fields and the counted bytes behind."""

    code: int
    fields: tuple[Any, ...]
    tail: bytes

    @property
    def id(self) -> int:
        """The first field: of an instance, a request, a roster or a timer; a seed."""
        return int(self.fields[0])


class Batch(NamedTuple):
    """One frame of events; the clock is in nanoseconds."""

    number: int
    clock: int
    events: list[Event]


def read_batch(stream: BinaryIO) -> Batch | None:
    """The next frame, or None where the input ends cleanly before it.

    Raises:
        MalformedBatchError: the frame is cut, or is not what its page says.
    """
    head = stream.read(BATCH_HEADER.size)
    if not head:
        return None
    _check_size(head, BATCH_HEADER.size, "a batch header")
    number, size, count, clock = BATCH_HEADER.unpack(head)
    if size < BATCH_HEADER.size + count * RECORD_HEADER.size:
        raise MalformedBatchError(
            f"batch {number}: a length of {size} cannot hold {count} records"
        )
    body = stream.read(size - BATCH_HEADER.size)
    _check_size(body, size - BATCH_HEADER.size, f"batch {number}")
    events = list(decode_events(body, number))
    if len(events) != count:
        raise MalformedBatchError(
            f"batch {number}: {len(events)} records where the header says {count}"
        )
    return Batch(number, clock, events)


def decode_events(body: bytes, number: int) -> Iterator[Event]:
    """The records of one frame, each checked against its own length.

    Raises:
        MalformedBatchError: a record is unknown, cut or of a wrong length.
    """
    at = 0
    while at < len(body):
        if len(body) - at < RECORD_HEADER.size:
            raise MalformedBatchError(
                f"batch {number}: {len(body) - at} bytes left over "
                "after the last record"
            )
        code, size = RECORD_HEADER.unpack_from(body, at)
        fixed = FIXED_PARTS.get(code)
        if fixed is None:
            raise MalformedBatchError(f"batch {number}: unknown event code {code}")
        start = at + RECORD_HEADER.size
        at = start + size
        if at > len(body) or size < fixed.size:
            raise MalformedBatchError(
                f"batch {number}: {event_name(code)} cannot have a length of {size}"
            )
        fields = fixed.unpack_from(body, start)
        item_size = TAIL_ITEM_SIZES.get(code, 0)
        wanted = fixed.size + (fields[-1] * item_size if item_size else 0)
        if size != wanted:
            raise MalformedBatchError(
                f"batch {number}: {event_name(code)} is {size} bytes long, not {wanted}"
            )
        yield Event(code, fields, body[start + fixed.size : at])


def decode_roster(tail: bytes) -> tuple[Endpoint, ...]:
    """The endpoints of a Roster."""
    return tuple(
        Endpoint(
            node,
            _decode_word(READINESS, readiness, "readiness"),
            size,
            kind,
            zone,
            -(-started_at // NANOSECONDS_PER_TICK) if started_at else None,
            shard,
        )
        for node, readiness, size, kind, zone, started_at, shard in (
            ROSTER_ENTRY.iter_unpack(tail)
        )
    )


def decode_request(event: Event) -> Request:
    """The request of a Req."""
    (
        request_id,
        key,
        sharing_gateways,
        request_class,
        service_plan,
        flags,
        shard,
        units,
        volume,
        deadline,
    ) = event.fields
    return Request(
        request_id,
        key,
        volume,
        max(int(sharing_gateways), 0),
        request_class,
        service_plan,
        bool(flags & RETRY_FLAG),
        bool(flags & WRITE_FLAG),
        int(shard) if shard >= 0 else None,
        units,
        deadline // NANOSECONDS_PER_TICK,
    )


def decode_attempt_result(event: Event, report_fields: Sequence[str]) -> AttemptResult:
    """The end of an attempt of a Returned; its load report has values by position."""
    (
        request_id,
        outcome,
        node,
        units_elsewhere,
        usage_plus_one,
        is_finished,
        number,
        latency,
        _,
    ) = event.fields
    return AttemptResult(
        request_id,
        number,
        node,
        _decode_word(OUTCOMES, outcome, "outcome"),
        bool(is_finished),
        latency // NANOSECONDS_PER_TICK,
        usage_plus_one - 1 if usage_plus_one else None,
        units_elsewhere,
        _decode_load_report(event.tail, report_fields),
    )


def decode_update(event: Event) -> tuple[EndpointUpdateKind, int]:
    """The kind of an Update, and the number of its roster."""
    kind, _, roster = event.fields
    return _decode_word(UPDATE_KINDS, kind, "kind of Update"), roster


def decode_config(text: bytes) -> DeploymentConfig:
    """The configuration of one gateway, out of the settings' text.

    Raises:
        MalformedBatchError: the settings are of no use.
    """
    try:
        return config_from_settings(json.loads(text))
    except ValueError as error:
        raise MalformedBatchError(f"settings: {error}") from error


def _decode_word(words: Mapping[int, Value], code: int, what: str) -> Value:
    """What a code stands for.

    Raises:
        MalformedBatchError: the code is not known.
    """
    if code not in words:
        raise MalformedBatchError(f"unknown {what} {code}")
    return words[code]


def _decode_load_report(tail: bytes, names: Sequence[str]) -> dict[str, float]:
    """The values of a load report, by name."""
    values = Struct(f"<{len(tail) // REPORT_VALUE_SIZE}f").unpack(tail)
    return dict(zip(names, values, strict=False))


def _check_size(data: bytes, size: int, what: str) -> None:
    if len(data) != size:
        raise MalformedBatchError(
            f"input ended inside {what}: {len(data)} of {size} bytes"
        )


def _encoder(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """A packer of one kind of action, header included."""
    fields = Struct("<" + layout)
    whole = Struct("<BI" + layout)

    def encode(*values: int) -> bytes:
        return whole.pack(code, fields.size, *values)

    return encode


# Actions; times are nanoseconds.
encode_attempt = _encoder(ActionCode.ATTEMPT, "QIQ")  # request, node, time-out
encode_failure = _encoder(ActionCode.FAILURE, "Q")  # request
encode_rejection = _encoder(ActionCode.REJECT, "QQ")  # request, pause
encode_source = _encoder(ActionCode.SOURCE, "I")  # whose the next actions are
encode_watch = _encoder(ActionCode.STREAM, "B")  # 1: changes from now on
encode_cancellation = _encoder(ActionCode.CALL_OFF, "QB")  # request, attempt number
encode_probe = _encoder(ActionCode.PROBE, "I")  # node
encode_query = _encoder(ActionCode.QUERY, "")
encode_timer = _encoder(ActionCode.NOTIFY, "QQ")  # cookie, span


def encode_text(code: ActionCode, text: str) -> bytes:
    """A REMARK or an EXCEPTION."""
    data = text.encode()[:MAX_TEXT_SIZE]
    size = len(data).to_bytes(2, "little")
    return RECORD_HEADER.pack(code, len(size) + len(data)) + size + data


def encode_reply(number: int, actions: Sequence[bytes]) -> bytes:
    """The frame that answers a batch."""
    body = b"".join(actions)
    return REPLY_HEADER.pack(number, REPLY_HEADER.size + len(body)) + body
