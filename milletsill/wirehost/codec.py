"""Encode and decode the simulator's wire protocol.

The simulator sends frames of event records, and the adapter answers each with one frame
of action records. Numbers are little-endian. This module makes no decisions.
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

# A frame of events: batch number, frame size, record count, clock in nanoseconds.
BATCH_HEADER = Struct("<IIIQ")
# A frame of actions: batch number, frame size.
REPLY_HEADER = Struct("<II")
# A record of either kind of frame: code, size of the body that follows.
RECORD_HEADER = Struct("<BI")


class EventCode(IntEnum):
    """The events that the simulator sends, named as in its documentation."""

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
    """The actions that the adapter sends, named as in the simulator's documentation."""

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
    """Return an event's name as the simulator's documentation writes it."""
    return EventCode(code).name.title().replace("_", "")


# The fixed fields of each event. In an event with a variable part, the last of them is
# the number of items in that part.
FIXED_FIELDS = {
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
# The size in bytes of one item of the variable part that follows the fixed fields.
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
# The largest text of an action, in bytes.
MAX_TEXT_SIZE = 60_000

# Bits in the flags of a Req event.
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
    """The simulator's input violates its wire protocol."""

    remedy = "run matching versions of the adapter and the simulator"


class Event(NamedTuple):
    """One event record: its `EventCode`, fixed fields and variable part."""

    code: int
    fields: tuple[Any, ...]
    tail: bytes

    @property
    def id(self) -> int:
        """The first field.

        Depending on the event it is the id of an instance, request, roster or timer, or
        (Born) a random seed.
        """
        return int(self.fields[0])


class Batch(NamedTuple):
    """One frame of events, with the simulator's clock in nanoseconds."""

    number: int
    clock: int
    events: list[Event]


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read the next frame; return None if the input ends before it.

    Raises:
        MalformedBatchError: the frame is truncated or violates the protocol.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    _check_size(header, BATCH_HEADER.size, "a batch header")
    number, size, count, clock = BATCH_HEADER.unpack(header)
    if size < BATCH_HEADER.size + count * RECORD_HEADER.size:
        raise MalformedBatchError(
            f"batch {number}: a frame of {size} bytes cannot hold {count} records"
        )
    body = stream.read(size - BATCH_HEADER.size)
    _check_size(body, size - BATCH_HEADER.size, f"batch {number}")
    events = list(decode_events(body, number))
    if len(events) != count:
        raise MalformedBatchError(
            f"batch {number}: the header announces {count} records, "
            f"but the frame holds {len(events)}"
        )
    return Batch(number, clock, events)


def decode_events(body: bytes, number: int) -> Iterator[Event]:
    """Decode the records of one frame, and check the length of each.

    Raises:
        MalformedBatchError: a record has an unknown code, is truncated or has a wrong
            length.
    """
    offset = 0
    while offset < len(body):
        if len(body) - offset < RECORD_HEADER.size:
            raise MalformedBatchError(
                f"batch {number}: {len(body) - offset} bytes left over "
                "after the last record"
            )
        code, size = RECORD_HEADER.unpack_from(body, offset)
        fixed = FIXED_FIELDS.get(code)
        if fixed is None:
            raise MalformedBatchError(f"batch {number}: unknown event code {code}")
        start = offset + RECORD_HEADER.size
        offset = start + size
        if offset > len(body) or size < fixed.size:
            raise MalformedBatchError(
                f"batch {number}: {event_name(code)} has a length of {size} bytes: "
                f"less than {fixed.size} or beyond the end of the frame"
            )
        fields = fixed.unpack_from(body, start)
        item_size = TAIL_ITEM_SIZES.get(code, 0)
        expected_size = fixed.size + (fields[-1] * item_size if item_size else 0)
        if size != expected_size:
            raise MalformedBatchError(
                f"batch {number}: {event_name(code)} is {size} bytes long, "
                f"not {expected_size}"
            )
        yield Event(code, fields, body[start + fixed.size : offset])


def decode_roster(tail: bytes) -> tuple[Endpoint, ...]:
    """Decode the endpoints in the variable part of a Roster event."""
    return tuple(
        Endpoint(
            node,
            _decode_enum(READINESS, readiness, "readiness"),
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
    """Decode the request of a Req event."""
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
    """Decode the attempt result of a Returned event.

    The event's load report has values only, in the order of `report_fields`.
    """
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
        _decode_enum(OUTCOMES, outcome, "outcome"),
        bool(is_finished),
        latency // NANOSECONDS_PER_TICK,
        usage_plus_one - 1 if usage_plus_one else None,
        units_elsewhere,
        _decode_load_report(event.tail, report_fields),
    )


def decode_update(event: Event) -> tuple[EndpointUpdateKind, int]:
    """Return the kind of an Update event and the number of its roster."""
    kind, _, roster = event.fields
    return _decode_enum(UPDATE_KINDS, kind, "kind of Update"), roster


def decode_config(text: bytes) -> DeploymentConfig:
    """Decode the configuration of one gateway from the JSON text of its settings.

    Raises:
        MalformedBatchError: the settings are not valid.
    """
    try:
        return config_from_settings(json.loads(text))
    except ValueError as error:
        raise MalformedBatchError(f"settings: {error}") from error


def _decode_enum(values: Mapping[int, Value], code: int, name: str) -> Value:
    """Return the value that a code stands for.

    Raises:
        MalformedBatchError: the code is unknown.
    """
    if code not in values:
        raise MalformedBatchError(f"unknown {name} {code}")
    return values[code]


def _decode_load_report(tail: bytes, names: Sequence[str]) -> dict[str, float]:
    """Decode the values of a load report, and key them by name."""
    values = Struct(f"<{len(tail) // REPORT_VALUE_SIZE}f").unpack(tail)
    return dict(zip(names, values, strict=False))


def _check_size(data: bytes, size: int, section: str) -> None:
    if len(data) != size:
        raise MalformedBatchError(
            f"input ended inside {section}: {len(data)} of {size} bytes"
        )


def _encoder(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """Return a function that encodes one kind of action with its header."""
    fields = Struct("<" + layout)
    record = Struct("<BI" + layout)

    def encode(*values: int) -> bytes:
        return record.pack(code, fields.size, *values)

    return encode


# Encoders of the actions; the comments name their arguments. Times are nanoseconds.
encode_attempt = _encoder(ActionCode.ATTEMPT, "QIQ")  # request, node, timeout
encode_failure = _encoder(ActionCode.FAILURE, "Q")  # request
encode_rejection = _encoder(ActionCode.REJECT, "QQ")  # request, retry delay
encode_source = _encoder(ActionCode.SOURCE, "I")  # instance of the next actions
encode_watch = _encoder(ActionCode.STREAM, "B")  # 1 subscribes
encode_cancellation = _encoder(ActionCode.CALL_OFF, "QB")  # request, attempt number
encode_probe = _encoder(ActionCode.PROBE, "I")  # node
encode_query = _encoder(ActionCode.QUERY, "")
encode_timer = _encoder(ActionCode.NOTIFY, "QQ")  # cookie, delay


def encode_text(code: ActionCode, text: str) -> bytes:
    """Encode a REMARK or an EXCEPTION, truncated to `MAX_TEXT_SIZE`."""
    data = text.encode()[:MAX_TEXT_SIZE]
    size = len(data).to_bytes(2, "little")
    return RECORD_HEADER.pack(code, len(size) + len(data)) + size + data


def encode_reply(number: int, actions: Sequence[bytes]) -> bytes:
    """Encode the frame of actions that answers a batch."""
    body = b"".join(actions)
    return REPLY_HEADER.pack(number, REPLY_HEADER.size + len(body)) + body
