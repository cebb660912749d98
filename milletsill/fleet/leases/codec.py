"""Messages between gateways about leases: the byte "R" and one protobuf Frame.

This is the one place where the names on the wire (`registers.proto`) and the names of
the code both stand. Whatever cannot be read is a `MalformedFrameError`.
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
FRAME_BYTES = 200_000  # requests or replies are parted into frames of about so many
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
    """Requests to one acceptor.

    Attributes:
        clock_id: Clock that their creation times are on; 0 where too little is known
            of the acceptor's.
        calls: The requests, in their order.
    """

    clock_id: int
    calls: list[wire.Call]


def settings_digest(acceptors: Iterable[str], timings: LeaseTimings) -> int:
    """Return a digest of what must be the same at all gateways."""
    settings = (
        sorted(acceptors),
        timings.lease_duration,
        timings.call_timeout,
        timings.drift_permille,
    )
    return xxhash.xxh64_intdigest(repr(settings).encode("utf-8", "surrogateescape"))


def encode_frame(payload: FramePayload) -> bytes:
    """Return the body of one message."""
    frame = wire.Frame(version=FRAME_VERSION)
    field = getattr(frame, _FRAME_FIELDS[type(payload)])
    field.CopyFrom(payload)
    field.SetInParent()  # an empty message is there as well
    return FRAME_MARK + frame.SerializeToString()


def decode_frame(body: bytes) -> wire.Frame:
    """Return the Frame of a body that begins with the mark.

    Its `WhichOneof` is None for what only a later version knows.

    Raises:
        MalformedFrameError: It is too long, or no protobuf of ours.
    """
    if len(body) > MAX_FRAME_BYTES:
        raise MalformedFrameError(
            f"a body of {len(body)} bytes, {MAX_FRAME_BYTES} at most"
        )
    try:
        return wire.Frame.FromString(body[1:])
    except DecodeError as error:
        raise MalformedFrameError("a body that is no protobuf of ours") from error


def is_valid_key(key: str) -> bool:
    """Whether it can be a lease's name: UTF-8, not empty, not too long."""
    try:
        return 0 < len(key.encode()) <= MAX_KEY_BYTES
    except UnicodeEncodeError:
        return False


def encode_identity(identity: StateIdentity) -> wire.Identity:
    """Return an identity as a message."""
    return wire.Identity(
        age=identity.age, chance=identity.chance, generation=identity.generation
    )


def decode_identity(identity: wire.Identity) -> StateIdentity:
    """Read an identity."""
    return StateIdentity(
        _number(identity.age), identity.chance, _number(identity.generation)
    )


def encode_request(
    request: AcceptorRequest, created_at: int | None = None
) -> wire.Call:
    """Return a request as a message.

    `created_at` is on the acceptor's clock, None where that is not known.
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
    """Read a request; None for a kind that only a later version knows.

    `created_at` holds where the request itself has none.
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
    """Return requests to one acceptor.

    `to_remote` gives what its clock reads at the least at a time of this gateway.
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
    """Read what can be read of a frame's requests.

    Creation times on a clock that is not this one's, `clock_id`, are left out. A
    gateway of an earlier version sends none at all.
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
    """Return what identifies a request of this gateway; it lacks its value."""
    ballot = Ballot(call.round, sender, call.nonce)
    return AcceptorRequest(_REQUEST_KINDS[call.ask], call.channel, ballot, call.index)


def encode_reply(reply: AcceptorReply) -> wire.Answer:
    """Return a reply as a message."""
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
    """Read a reply; None for a kind or status that only a later version knows."""
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
    """Return a record as it is sent to another acceptor and as it is stored."""
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
    """Read a record."""
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
    """Return a page of records as a message."""
    return wire.Page(
        after=after,
        kept=[encode_record(record, key) for key, record in page.records],
        floor=page.ballot_floor,
        last=page.is_last,
    )


def decode_page(page: wire.Page) -> SnapshotPage:
    """Read a page of records."""
    return SnapshotPage(
        tuple((_key(each.channel), decode_record(each)) for each in page.kept),
        _number(page.floor),
        page.last,
    )


def split_into_frames(messages: Iterable[_Message]) -> Iterator[list[_Message]]:
    """Part requests or replies into lists that each fit a frame."""
    found: list[_Message] = []
    size = 0
    for message in messages:
        length = message.ByteSize()
        is_full = size + length > FRAME_BYTES or len(found) >= MAX_FRAME_MESSAGES
        if found and is_full:
            yield found
            found = []
            size = 0
        found.append(message)
        size += length
    if found:
        yield found


def _encode_ballot(ballot: Ballot) -> wire.Ballot:
    return wire.Ballot(round=ballot.round, name=ballot.gateway, nonce=ballot.nonce)


def _decode_ballot(ballot: wire.Ballot) -> Ballot:
    return Ballot(_number(ballot.round), ballot.name, ballot.nonce)


def _number(value: int) -> int:
    if value > MAX_NUMBER:
        raise MalformedFrameError(f"a number of {value}, {MAX_NUMBER} at most")
    return value


def _key(key: str) -> str:
    if not is_valid_key(key):
        raise MalformedFrameError(
            f"a name of {len(key)} characters, {MAX_KEY_BYTES} bytes at most"
        )
    return key


def _value(value: bytes) -> bytes:
    if len(value) > MAX_VALUE_BYTES:
        raise MalformedFrameError(
            f"a record of {len(value)} bytes, {MAX_VALUE_BYTES} at most"
        )
    return value
