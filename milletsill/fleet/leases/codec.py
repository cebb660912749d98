"""Encodes and decodes messages about leases: the byte "R" and one protobuf Frame.

This module maps the wire names (`registers.proto`) to the names in the code. A message
that cannot be decoded raises `MalformedFrameError`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

import xxhash
from google.protobuf.message import DecodeError

from milletsill.fleet.errors import MalformedFrameError
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.acceptor_recovery import SnapshotPage, StateIdentity
from milletsill.fleet.leases.ballot import UNWRITTEN, Ballot, RecordVersion
from milletsill.fleet.leases.messages import (
    CREATED_ON_ARRIVAL,
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    UNKNOWN,
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
    RequestKind,
)
from milletsill.fleet.leases.timings import LeaseTimings
from milletsill.fleet.peer_clocks import RemoteTime

FRAME_MARK = b"R"
FRAME_VERSION = 1
MAX_FRAME_BYTES = 1 << 19
MAX_FRAME_MESSAGES = 2000
FRAME_BYTES = 200_000  # approximate size limit of one frame of requests or replies
MAX_NUMBER = 1 << 60

FramePayload = (
    wire.Calls
    | wire.Answers
    | wire.Beat
    | wire.Hello
    | wire.Witness
    | wire.Tell
    | wire.Page
)
_Message = TypeVar("_Message", wire.Call, wire.Answer)

_REQUEST_KINDS = {each.value: each for each in RequestKind}
_REPLY_STATUSES = {each.value: each for each in ReplyStatus}
_FRAME_FIELDS: dict[type, str] = {
    wire.Calls: "calls",
    wire.Answers: "answers",
    wire.Beat: "beat",
    wire.Hello: "hello",
    wire.Witness: "witness",
    wire.Tell: "tell",
    wire.Page: "page",
}


@dataclass(frozen=True, slots=True)
class EncodedRequests:
    """Encoded requests to one acceptor.

    Attributes:
        clock_id: The acceptor's clock, on which the creation times are; 0 if too little
            is known of that clock to send any.
        calls: The requests, in order.
    """

    clock_id: int
    calls: list[wire.Call]


def settings_digest(acceptors: Iterable[str], timings: LeaseTimings) -> int:
    """Return a digest of the settings that must be the same at all gateways."""
    settings = (
        sorted(acceptors),
        timings.lease_duration,
        timings.call_timeout,
        timings.drift_permille,
    )
    return xxhash.xxh64_intdigest(repr(settings).encode("utf-8", "surrogateescape"))


def encode_frame(payload: FramePayload) -> bytes:
    """Return the body of a message with one frame."""
    frame = wire.Frame(version=FRAME_VERSION)
    field = getattr(frame, _FRAME_FIELDS[type(payload)])
    field.CopyFrom(payload)
    field.SetInParent()  # sets the field for an empty payload as well
    return FRAME_MARK + frame.SerializeToString()


def decode_frame(body: bytes) -> wire.Frame:
    """Return the Frame of a body that begins with the mark.

    Its `WhichOneof` returns None for a message type of a later version.

    Raises:
        MalformedFrameError: The body is too long or not a Frame.
    """
    if len(body) > MAX_FRAME_BYTES:
        raise MalformedFrameError(
            f"lease message has {len(body)} bytes, limit {MAX_FRAME_BYTES}"
        )
    try:
        return wire.Frame.FromString(body[1:])
    except DecodeError as error:
        raise MalformedFrameError("lease message is not a valid Frame") from error


def is_valid_key(key: str) -> bool:
    """Whether a key can name a lease: UTF-8, not empty, `MAX_KEY_BYTES` at most."""
    try:
        return 0 < len(key.encode()) <= MAX_KEY_BYTES
    except UnicodeEncodeError:
        return False


def encode_identity(identity: StateIdentity) -> wire.Identity:
    """Encode an identity."""
    return wire.Identity(
        age=identity.epoch, chance=identity.nonce, generation=identity.generation
    )


def decode_identity(identity: wire.Identity) -> StateIdentity:
    """Decode an identity."""
    return StateIdentity(
        _number(identity.age), identity.chance, _number(identity.generation)
    )


def encode_request(
    request: AcceptorRequest, created_at: int | None = None
) -> wire.Call:
    """Encode a request.

    `created_at` is on the acceptor's clock; None if that time is not known.
    """
    call = wire.Call(
        ask=request.kind.value,
        channel=request.key,
        round=request.ballot.round,
        nonce=request.ballot.nonce,
        index=request.number,
    )
    if request.kind is RequestKind.ACCEPT:
        call.value = request.value
        call.fresh = request.is_original
        if created_at is not None:
            call.born = max(created_at, 0)
    return call


def decode_request(
    sender: str, call: wire.Call, created_at: int = CREATED_ON_ARRIVAL
) -> AcceptorRequest | None:
    """Decode a request; return None for a request kind of a later version.

    `created_at` is used if the request has no creation time of its own.
    """
    kind = _REQUEST_KINDS.get(call.ask)
    if kind is None:
        return None
    return AcceptorRequest(
        kind,
        _key(call.channel),
        Ballot(_number(call.round), sender, call.nonce),
        _number(call.index),
        _value(call.value),
        call.fresh,
        _number(call.born) if call.HasField("born") else created_at,
    )


def encode_requests(
    requests: Iterable[AcceptorRequest],
    to_remote: Callable[[int], RemoteTime | None],
) -> EncodedRequests:
    """Encode requests to one acceptor.

    `to_remote` converts a time of this gateway to the least reading that the acceptor's
    clock can have had at that time.
    """
    calls = []
    clock_id = 0
    for request in requests:
        remote = to_remote(request.created_at)
        if remote is None:
            calls.append(encode_request(request))
            continue
        clock_id = clock_id or remote.clock_id
        calls.append(encode_request(request, remote.reading))
    return EncodedRequests(clock_id, calls)


def decode_requests(
    sender: str, calls: wire.Calls, clock_id: int
) -> list[AcceptorRequest]:
    """Decode the requests of a frame, without request kinds of later versions.

    Creation times on another clock than `clock_id`, this acceptor's, are ignored. A
    gateway of an earlier version sends no creation times.
    """
    created_at = UNKNOWN if calls.HasField("whose") else CREATED_ON_ARRIVAL
    requests = []
    for call in calls.call[:MAX_FRAME_MESSAGES]:
        if calls.whose != clock_id:
            call.ClearField("born")
        request = decode_request(sender, call, created_at)
        if request is not None:
            requests.append(request)
    return requests


def decode_own_request(sender: str, call: wire.Call) -> AcceptorRequest:
    """Decode a request that this gateway encoded; the value is left empty."""
    ballot = Ballot(call.round, sender, call.nonce)
    return AcceptorRequest(_REQUEST_KINDS[call.ask], call.channel, ballot, call.index)


def encode_reply(reply: AcceptorReply) -> wire.Answer:
    """Encode a reply."""
    answer = wire.Answer(
        ask=reply.kind.value,
        channel=reply.key,
        round=reply.ballot.round,
        nonce=reply.ballot.nonce,
        index=reply.number,
        say=reply.status.value,
    )
    if reply.version != UNWRITTEN:
        answer.stamp.CopyFrom(_encode_ballot(reply.version.ballot))
        answer.stamp_index = reply.version.number
        answer.value = reply.value
    if reply.is_copied:
        answer.told = True
    if reply.is_original:
        answer.fresh = True
    if reply.value_age != UNKNOWN:
        answer.aged = reply.value_age
    if reply.status is not ReplyStatus.GRANTED:
        answer.known = reply.promised_round
        answer.pause = reply.retry_delay
        answer.who = reply.holder
    return answer


def decode_reply(receiver: str, answer: wire.Answer) -> AcceptorReply | None:
    """Decode a reply; return None for a kind or status of a later version."""
    kind = _REQUEST_KINDS.get(answer.ask)
    status = _REPLY_STATUSES.get(answer.say)
    if kind is None or status is None:
        return None
    version = UNWRITTEN
    if answer.HasField("stamp"):
        version = RecordVersion(
            _decode_ballot(answer.stamp), _number(answer.stamp_index)
        )
    return AcceptorReply(
        kind,
        answer.channel,
        Ballot(answer.round, receiver, answer.nonce),
        answer.index,
        status,
        version,
        _value(answer.value),
        _number(answer.aged) if answer.HasField("aged") else UNKNOWN,
        _number(answer.known),
        _number(answer.pause),
        answer.who,
        answer.told,
        answer.fresh,
    )


def encode_record(record: LeaseRecord, key: str = "") -> wire.Kept:
    """Encode a record, to send it to another acceptor or to store it."""
    kept = wire.Kept(promised=_encode_ballot(record.promised))
    if key:
        kept.channel = key
    if record.version != UNWRITTEN:
        kept.stamp.CopyFrom(_encode_ballot(record.version.ballot))
        kept.index = record.version.number
        kept.value = record.value
        kept.told = record.is_copied
    return kept


def decode_record(kept: wire.Kept, written_at: int = 0) -> LeaseRecord:
    """Decode a record."""
    version = UNWRITTEN
    if kept.HasField("stamp"):
        version = RecordVersion(_decode_ballot(kept.stamp), _number(kept.index))
    return LeaseRecord(
        _decode_ballot(kept.promised),
        version,
        _value(kept.value),
        written_at,
        kept.told,
    )


def encode_page(after: str, page: SnapshotPage) -> wire.Page:
    """Encode a page of records that answers a query for records after a key."""
    return wire.Page(
        after=after,
        kept=[encode_record(record, key) for key, record in page.records],
        floor=page.ballot_floor,
        last=page.is_last,
    )


def decode_page(page: wire.Page) -> SnapshotPage:
    """Decode a page of records."""
    return SnapshotPage(
        tuple((_key(each.channel), decode_record(each)) for each in page.kept),
        _number(page.floor),
        page.last,
    )


def split_into_frames(messages: Iterable[_Message]) -> Iterator[list[_Message]]:
    """Split requests or replies into lists that each fit into one frame."""
    part: list[_Message] = []
    size = 0
    for message in messages:
        length = message.ByteSize()
        is_full = size + length > FRAME_BYTES or len(part) >= MAX_FRAME_MESSAGES
        if part and is_full:
            yield part
            part = []
            size = 0
        part.append(message)
        size += length
    if part:
        yield part


def _encode_ballot(ballot: Ballot) -> wire.Ballot:
    return wire.Ballot(round=ballot.round, name=ballot.gateway, nonce=ballot.nonce)


def _decode_ballot(ballot: wire.Ballot) -> Ballot:
    return Ballot(_number(ballot.round), ballot.name, ballot.nonce)


def _number(value: int) -> int:
    if value > MAX_NUMBER:
        raise MalformedFrameError(
            f"lease message has number {value}, limit {MAX_NUMBER}"
        )
    return value


def _key(key: str) -> str:
    if not is_valid_key(key):
        raise MalformedFrameError(
            f"lease key must be UTF-8 of 1 to {MAX_KEY_BYTES} bytes, found "
            f"{len(key)} characters"
        )
    return key


def _value(value: bytes) -> bytes:
    if len(value) > MAX_VALUE_BYTES:
        raise MalformedFrameError(
            f"lease record has {len(value)} bytes, limit {MAX_VALUE_BYTES}"
        )
    return value
