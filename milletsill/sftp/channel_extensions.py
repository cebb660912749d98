"""Extensions by which a client sends commands on a channel in a defined order.

docs/channels.md describes channels. A gateway that offers channels lists
`channel@milletsill` in its VERSION packet; other gateways answer OP_UNSUPPORTED.

channel@milletsill, client to gateway: a uint32 verb, then fields that depend on it.

    1 OPEN  string path        any path within the volume
            string channel     1 to 128 octets, printable, no spaces
            string contract    empty for the contract in the gateway's settings
            uint32 version     of the contract, 0 for the gateway's version
            uint64 first       the number from which the contract applies if it
                               changes; 0 for the next free number
    2 ASK   string handle
            uint64 number
    3 SAY   string handle
            uint64 number      with an indeterminate outcome, or never received
            uint32 resolution  1 done, 2 not done, 3 skipped; only 3 is allowed
                               for a number that was never received

OPEN claims the channel, and the latest claim holds. The client with the earlier claim
gets x-claim-lost at once for its waiting commands, and for its next request. The
gateway answers OPEN with EXTENDED_REPLY:

    string handle              valid on this connection until CLOSE
    uint64 claim
    string contract
    uint32 version
    uint32 order               0 each in order, 1 newest, 2 by extent, 3 batches
    uint64 lowest open         the lowest number that is open
    uint64 batch               the batch of the lowest open number
    uint32 max waiting         how many numbers may wait
    uint64 first remembered    the lowest number whose answer is stored
    uint32 n                   count of indeterminate numbers, each of them
    uint64 number              with an indeterminate outcome

The gateway answers SAY with STATUS, and ASK with EXTENDED_REPLY:

    uint32 status              0 open, 1 in progress, 2 settled, 3 indeterminate,
                               4 skipped, 5 forgotten
    uint64 lowest open
    the answer                 of a settled number: its packet type and fields

numbered@milletsill, client to gateway: one command of a channel. The command must be a
write that takes a single request to a node.

    string handle
    uint64 number              from 1
    uint64 batch               from 1, 0 if the contract has no batches
    uint32 flags               1: the last command of its batch
    the body of a command@milletsill

The gateway answers as it answers the command itself, under the id of the EXTENDED
packet. A settled number gets its stored answer and is not executed again. Any other
number that is not executed gets STATUS FAILURE with a language tag (status_tags.py).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import cast

from milletsill.errors import MalformedInputError
from milletsill.sftp.extensions import (
    CommandTerms,
    decode_command,
    decode_embedded,
    encode_command,
    encode_embedded,
)
from milletsill.sftp.packets import (
    Answer,
    Command,
    Extended,
    ExtendedReply,
)
from milletsill.sftp.wire import (
    U32,
    U64,
    PacketReader,
    encode_bytes,
    encode_text,
    text_to_bytes,
)

CHANNEL = "channel@milletsill"
NUMBERED = "numbered@milletsill"
LAST_OF_BATCH = 1  # the only flag of a numbered command
MAX_NAME_LENGTH = 128  # octets in the name of a channel
MAX_INDETERMINATE = 1024  # numbers in one reply
MAX_NUMBER = (1 << 63) - 1


class ChannelVerb(IntEnum):
    """The operation that a client requests on a channel."""

    OPEN = 1
    ASK = 2
    SAY = 3


class Resolution(IntEnum):
    """How a client resolves a number with an indeterminate outcome (SAY)."""

    DONE = 1
    NOT_DONE = 2
    SKIPPED = 3


class NumberStatus(IntEnum):
    """The current status of a number, as the reply to ASK states it."""

    OPEN = 0
    IN_PROGRESS = 1
    SETTLED = 2
    INDETERMINATE = 3
    SKIPPED = 4
    FORGOTTEN = 5


@dataclass(frozen=True, slots=True)
class ChannelOpen:
    """OPEN: claims a channel.

    Attributes:
        path: Any path within the channel's volume.
        channel: The channel's name.
        contract: The name of the contract, empty for the volume's own contract.
        version: The contract's version, 0 for the gateway's version.
        first: The number from which the contract applies, 0 for the next free number.
    """

    path: str
    channel: str
    contract: str = ""
    version: int = 0
    first: int = 0


@dataclass(frozen=True, slots=True)
class ChannelQuery:
    """ASK: queries the status of a number."""

    handle: bytes
    number: int


@dataclass(frozen=True, slots=True)
class ChannelResolve:
    """SAY: resolves a number; `resolution` is a `Resolution`."""

    handle: bytes
    number: int
    resolution: int


@dataclass(frozen=True, slots=True)
class ChannelOpenReply:
    """The answer to OPEN.

    Attributes:
        handle: The handle of the channel on this connection.
        claim: The claim's number; it grows with each OPEN. The latest claim holds.
        contract: The name of the contract in force.
        version: The contract's version.
        order: The contract's order, as its number on the wire.
        lowest_open: The lowest number that is open.
        batch: The batch of `lowest_open`.
        max_waiting: How many numbers above `lowest_open` may wait.
        first_remembered: The lowest number whose answer is stored.
        indeterminate: The numbers with an indeterminate outcome.
    """

    handle: bytes
    claim: int
    contract: str
    version: int
    order: int
    lowest_open: int
    batch: int
    max_waiting: int
    first_remembered: int
    indeterminate: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ChannelQueryReply:
    """The answer to ASK.

    `status` is a `NumberStatus`; `answer` is None unless the number is settled.
    """

    status: int
    lowest_open: int
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class NumberedCommand:
    """One command of a channel as a client sends it; `batch` is 0 without batches."""

    handle: bytes
    number: int
    batch: int
    ends_batch: bool
    terms: CommandTerms
    command: Command


ChannelRequest = ChannelOpen | ChannelQuery | ChannelResolve


def checked_channel_name(text: str) -> str:
    """Return a channel's name; raise `MalformedInputError` if it is invalid."""
    if (
        not 0 < len(text_to_bytes(text)) <= MAX_NAME_LENGTH
        or not text.isprintable()
        or " " in text
    ):
        raise MalformedInputError(
            f"channel name {text[:MAX_NAME_LENGTH]!r} is not 1 to {MAX_NAME_LENGTH} "
            "octets of printable characters without spaces"
        )
    return text


def read_number(reader: PacketReader) -> int:
    """Read a command's number; raise `MalformedInputError` if it is out of range."""
    number = reader.u64("a number")
    if not 1 <= number <= MAX_NUMBER:
        raise MalformedInputError(f"number {number} is not from 1 to {MAX_NUMBER}")
    return number


def encode_channel_request(id: int, request: ChannelRequest) -> Extended:
    """Return a request on a channel as a channel@milletsill packet."""
    if isinstance(request, ChannelOpen):
        body = (
            U32.pack(ChannelVerb.OPEN)
            + encode_text(request.path)
            + encode_text(request.channel)
            + encode_text(request.contract)
            + U32.pack(request.version)
            + U64.pack(request.first)
        )
    elif isinstance(request, ChannelQuery):
        body = U32.pack(ChannelVerb.ASK) + encode_bytes(request.handle)
        body += U64.pack(request.number)
    else:
        body = (
            U32.pack(ChannelVerb.SAY)
            + encode_bytes(request.handle)
            + U64.pack(request.number)
            + U32.pack(request.resolution)
        )
    return Extended(id, CHANNEL, body)


def _decode_open(reader: PacketReader) -> ChannelOpen:
    return ChannelOpen(
        path=reader.text("a path"),
        channel=checked_channel_name(reader.text("a channel")),
        contract=reader.text("a contract"),
        version=reader.u32("a version"),
        first=reader.u64("a first number"),
    )


def _decode_query(reader: PacketReader) -> ChannelQuery:
    return ChannelQuery(handle=reader.raw("a handle"), number=read_number(reader))


def _decode_resolve(reader: PacketReader) -> ChannelResolve:
    request = ChannelResolve(
        handle=reader.raw("a handle"),
        number=read_number(reader),
        resolution=reader.u32("a resolution"),
    )
    if request.resolution not in tuple(Resolution):
        raise MalformedInputError(f"resolution {request.resolution} is not from 1 to 3")
    return request


REQUEST_DECODERS: dict[int, Callable[[PacketReader], ChannelRequest]] = {
    ChannelVerb.OPEN: _decode_open,
    ChannelVerb.ASK: _decode_query,
    ChannelVerb.SAY: _decode_resolve,
}


def decode_channel_request(packet: Extended) -> ChannelRequest:
    """Return the request of a channel@milletsill packet."""
    reader = PacketReader(packet.body)
    verb = reader.u32("a verb")
    decode = REQUEST_DECODERS.get(verb)
    if decode is None:
        raise MalformedInputError(f"channel verb {verb} is not from 1 to 3")
    request = decode(reader)
    reader.end()
    return request


def encode_open_reply(id: int, reply: ChannelOpenReply) -> ExtendedReply:
    """Return the answer to OPEN as a packet."""
    return ExtendedReply(
        id,
        b"".join(
            (
                encode_bytes(reply.handle),
                U64.pack(reply.claim),
                encode_text(reply.contract),
                U32.pack(reply.version),
                U32.pack(reply.order),
                U64.pack(reply.lowest_open),
                U64.pack(reply.batch),
                U32.pack(reply.max_waiting),
                U64.pack(reply.first_remembered),
                U32.pack(len(reply.indeterminate)),
                *(U64.pack(each) for each in reply.indeterminate),
            )
        ),
    )


def decode_open_reply(packet: ExtendedReply) -> ChannelOpenReply:
    """Return the answer to OPEN that a packet contains."""
    reader = PacketReader(packet.body)
    parts = (
        reader.raw("a handle"),
        reader.u64("a claim"),
        reader.text("a contract"),
        reader.u32("a version"),
        reader.u32("an order"),
        reader.u64("a lowest open number"),
        reader.u64("a batch"),
        reader.u32("a maximum of waiting numbers"),
        reader.u64("a first remembered number"),
    )
    count = reader.u32("a count of indeterminate numbers")
    if count > MAX_INDETERMINATE:
        raise MalformedInputError(
            f"{count} indeterminate numbers are more than {MAX_INDETERMINATE}"
        )
    reply = ChannelOpenReply(*parts, tuple(reader.u64() for _ in range(count)))
    reader.end()
    return reply


def encode_query_reply(id: int, reply: ChannelQueryReply) -> ExtendedReply:
    """Return the answer to ASK as a packet."""
    answer = encode_embedded(reply.answer) if reply.answer is not None else b""
    return ExtendedReply(
        id, U32.pack(reply.status) + U64.pack(reply.lowest_open) + answer
    )


def decode_query_reply(packet: ExtendedReply) -> ChannelQueryReply:
    """Return the answer to ASK that a packet contains."""
    reader = PacketReader(packet.body)
    status = reader.u32("a status")
    lowest_open = reader.u64("a lowest open number")
    rest = reader.rest()
    answer = cast(Answer, decode_embedded(rest, packet.id)) if rest else None
    return ChannelQueryReply(status, lowest_open, answer)


def encode_numbered(id: int, numbered: NumberedCommand) -> Extended:
    """Return a numbered command as a numbered@milletsill packet."""
    return Extended(
        id,
        NUMBERED,
        b"".join(
            (
                encode_bytes(numbered.handle),
                U64.pack(numbered.number),
                U64.pack(numbered.batch),
                U32.pack(LAST_OF_BATCH if numbered.ends_batch else 0),
                encode_command(numbered.terms, numbered.command).body,
            )
        ),
    )


def decode_numbered(packet: Extended) -> NumberedCommand:
    """Return the numbered command of a numbered@milletsill packet."""
    reader = PacketReader(packet.body)
    handle = reader.raw("a handle")
    number = read_number(reader)
    batch = reader.u64("a batch")
    flags = reader.u32("flags")
    if batch > MAX_NUMBER or flags & ~LAST_OF_BATCH:
        raise MalformedInputError(f"batch {batch} or flags {flags} are out of range")
    terms, command = decode_command(Extended(packet.id, packet.name, reader.rest()))
    return NumberedCommand(
        handle, number, batch, bool(flags & LAST_OF_BATCH), terms, command
    )
