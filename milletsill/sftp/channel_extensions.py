"""Extensions by which a client orders its commands on a channel.

docs/channels.md says what a channel is. A gateway that has channels offers
`channel@milletsill` in its VERSION packet; others answer OP_UNSUPPORTED.

channel@milletsill, client to gateway: a uint32 verb, and then by verb

    1 OPEN  string path        any within the volume
            string channel     1 to 128 octets, printable, no spaces
            string contract    empty for the operator's
            uint32 version     of the contract, 0 for the gateway's
            uint64 first       number from which the contract holds, where it
                               differs from before; 0 for the next free one
    2 ASK   string handle
            uint64 number
    3 SAY   string handle
            uint64 number      of an indeterminate outcome, or that never came
            uint32 word        1 done, 2 not done, 3 skipped; of a number that
                               never came 3 alone

OPEN claims the channel: the later claim holds. The earlier client is told at its
next request (x-claim-lost), and its waiting commands at once. OPEN is answered by
EXTENDED_REPLY:

    string handle              for this connection, until CLOSE
    uint64 claim
    string contract
    uint32 version
    uint32 order               0 each in order, 1 newest, 2 by extent, 3 batches
    uint64 next                the lowest number that is open
    uint64 batch               that of `next`
    uint32 most waiting        how many numbers may wait
    uint64 remembered          the lowest number whose answer is remembered
    uint32 n                   and n times
    uint64 number              with an indeterminate outcome

ASK is answered by EXTENDED_REPLY, SAY by STATUS:

    uint32 status              0 open, 1 in progress, 2 settled, 3 indeterminate,
                               4 skipped, 5 forgotten
    uint64 next
    the answer                 if settled: its kind and fields

numbered@milletsill, client to gateway: one command of a channel. It writes, and
becomes one request at a node.

    string handle
    uint64 number              from 1
    uint64 batch               from 1, 0 where the contract has none
    uint32 flags               1: the last of its batch
    the body of a command@milletsill

It is answered as the command would be, under the id of the EXTENDED packet. A settled
number gets its remembered answer, without a second effect; else the answer is STATUS
FAILURE with a language tag (status_tags.py).
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
LAST_OF_BATCH = 1  # the one flag of a numbered command
MAX_NAME_LENGTH = 128  # octets of a channel's name
MAX_INDETERMINATE = 1024  # numbers that one reply may list
MAX_NUMBER = (1 << 63) - 1


class ChannelVerb(IntEnum):
    """What a client asks of a channel."""

    OPEN = 1
    ASK = 2
    SAY = 3


class Resolution(IntEnum):
    """What a client says became of a number whose outcome is indeterminate (SAY)."""

    DONE = 1
    NOT_DONE = 2
    SKIPPED = 3


class NumberStatus(IntEnum):
    """What became of a number so far, as ASK is answered."""

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
        contract: The name of the contract, empty for the volume's own.
        version: Its version, 0 for the gateway's.
        first: The number from which the contract holds, 0 for the next free one.
    """

    path: str
    channel: str
    contract: str = ""
    version: int = 0
    first: int = 0


@dataclass(frozen=True, slots=True)
class ChannelQuery:
    """ASK: what became of a number."""

    handle: bytes
    number: int


@dataclass(frozen=True, slots=True)
class ChannelResolve:
    """SAY: what became of a number; `word` is a `Resolution`."""

    handle: bytes
    number: int
    word: int


@dataclass(frozen=True, slots=True)
class ChannelOpenReply:
    """The answer to OPEN.

    Attributes:
        handle: Names the channel on this connection.
        claim: Grows with each OPEN; the latest claim holds.
        contract: The name of the contract in force.
        version: Its version.
        order: Its order, by number.
        next: The lowest number that is open.
        batch: The batch of `next`.
        most_waiting: How many numbers ahead of `next` may wait.
        remembered: The lowest number whose answer is remembered.
        unsure: Numbers with an indeterminate outcome.
    """

    handle: bytes
    claim: int
    contract: str
    version: int
    order: int
    next: int
    batch: int
    most_waiting: int
    remembered: int
    unsure: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class ChannelQueryReply:
    """The answer to ASK.

    `state` is a `NumberStatus`, `answer` that of a settled number.
    """

    state: int
    next: int
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class NumberedCommand:
    """One command of a channel as a client sends it; `batch` is 0 without batches."""

    handle: bytes
    number: int
    batch: int
    last: bool
    terms: CommandTerms
    command: Command


ChannelRequest = ChannelOpen | ChannelQuery | ChannelResolve


def channel_name(text: str) -> str:
    """Return a channel's name once it is checked.

    Raise `MalformedInputError` for a bad one.
    """
    if (
        not 0 < len(text_to_bytes(text)) <= MAX_NAME_LENGTH
        or not text.isprintable()
        or " " in text
    ):
        raise MalformedInputError(
            f"a channel's name is 1 to {MAX_NAME_LENGTH} octets of printable "
            "characters without spaces"
        )
    return text


def number_of(reader: PacketReader) -> int:
    """Read the number of a command; raise `MalformedInputError` past the bounds."""
    number = reader.u64("a number")
    if not 1 <= number <= MAX_NUMBER:
        raise MalformedInputError(f"number {number} is not from 1 to {MAX_NUMBER}")
    return number


def encode_channel_request(id: int, said: ChannelRequest) -> Extended:
    """Return a request on a channel as a packet."""
    if isinstance(said, ChannelOpen):
        body = (
            U32.pack(ChannelVerb.OPEN)
            + encode_text(said.path)
            + encode_text(said.channel)
            + encode_text(said.contract)
            + U32.pack(said.version)
            + U64.pack(said.first)
        )
    elif isinstance(said, ChannelQuery):
        body = U32.pack(ChannelVerb.ASK) + encode_bytes(said.handle)
        body += U64.pack(said.number)
    else:
        body = (
            U32.pack(ChannelVerb.SAY)
            + encode_bytes(said.handle)
            + U64.pack(said.number)
            + U32.pack(said.word)
        )
    return Extended(id, CHANNEL, body)


def _decode_open(reader: PacketReader) -> ChannelOpen:
    return ChannelOpen(
        path=reader.text("a path"),
        channel=channel_name(reader.text("a channel")),
        contract=reader.text("a contract"),
        version=reader.u32("a version"),
        first=reader.u64("a first number"),
    )


def _decode_query(reader: PacketReader) -> ChannelQuery:
    return ChannelQuery(handle=reader.raw("a handle"), number=number_of(reader))


def _decode_resolve(reader: PacketReader) -> ChannelResolve:
    request = ChannelResolve(
        handle=reader.raw("a handle"),
        number=number_of(reader),
        word=reader.u32("a word"),
    )
    if request.word not in tuple(Resolution):
        raise MalformedInputError(f"word {request.word} on a number is not 1 to 3")
    return request


REQUEST_DECODERS: dict[int, Callable[[PacketReader], ChannelRequest]] = {
    ChannelVerb.OPEN: _decode_open,
    ChannelVerb.ASK: _decode_query,
    ChannelVerb.SAY: _decode_resolve,
}


def decode_channel_request(packet: Extended) -> ChannelRequest:
    """Return a request on a channel from its packet."""
    reader = PacketReader(packet.body)
    verb = reader.u32("a verb")
    decode = REQUEST_DECODERS.get(verb)
    if decode is None:
        raise MalformedInputError(f"verb {verb} on a channel is not 1 to 3")
    request = decode(reader)
    reader.end()
    return request


def encode_open_reply(id: int, told: ChannelOpenReply) -> ExtendedReply:
    """Return the answer to OPEN as a packet."""
    return ExtendedReply(
        id,
        b"".join(
            (
                encode_bytes(told.handle),
                U64.pack(told.claim),
                encode_text(told.contract),
                U32.pack(told.version),
                U32.pack(told.order),
                U64.pack(told.next),
                U64.pack(told.batch),
                U32.pack(told.most_waiting),
                U64.pack(told.remembered),
                U32.pack(len(told.unsure)),
                *(U64.pack(each) for each in told.unsure),
            )
        ),
    )


def decode_open_reply(packet: ExtendedReply) -> ChannelOpenReply:
    """Return the answer to OPEN from its packet."""
    reader = PacketReader(packet.body)
    parts = (
        reader.raw("a handle"),
        reader.u64("a claim"),
        reader.text("a contract"),
        reader.u32("a version"),
        reader.u32("an order"),
        reader.u64("a next number"),
        reader.u64("a batch"),
        reader.u32("a bound"),
        reader.u64("a remembered number"),
    )
    count = reader.u32("a count of numbers")
    if count > MAX_INDETERMINATE:
        raise MalformedInputError(
            f"{count} unsure numbers, {MAX_INDETERMINATE} at most"
        )
    told = ChannelOpenReply(*parts, tuple(reader.u64() for _ in range(count)))
    reader.end()
    return told


def encode_query_reply(id: int, told: ChannelQueryReply) -> ExtendedReply:
    """Return the answer to ASK as a packet."""
    answer = encode_embedded(told.answer) if told.answer is not None else b""
    return ExtendedReply(id, U32.pack(told.state) + U64.pack(told.next) + answer)


def decode_query_reply(packet: ExtendedReply) -> ChannelQueryReply:
    """Return the answer to ASK from its packet."""
    reader = PacketReader(packet.body)
    state = reader.u32("a state")
    following = reader.u64("a next number")
    rest = reader.rest()
    answer = cast(Answer, decode_embedded(rest, packet.id)) if rest else None
    return ChannelQueryReply(state, following, answer)


def encode_numbered(id: int, said: NumberedCommand) -> Extended:
    """Return a numbered command as a packet."""
    return Extended(
        id,
        NUMBERED,
        b"".join(
            (
                encode_bytes(said.handle),
                U64.pack(said.number),
                U64.pack(said.batch),
                U32.pack(LAST_OF_BATCH if said.last else 0),
                encode_command(said.terms, said.command).body,
            )
        ),
    )


def decode_numbered(packet: Extended) -> NumberedCommand:
    """Return a numbered command from its packet."""
    reader = PacketReader(packet.body)
    handle = reader.raw("a handle")
    number = number_of(reader)
    batch = reader.u64("a batch")
    flags = reader.u32("flags")
    if batch > MAX_NUMBER or flags & ~LAST_OF_BATCH:
        raise MalformedInputError(f"batch {batch} or flags {flags} out of range")
    terms, command = decode_command(Extended(packet.id, packet.name, reader.rest()))
    return NumberedCommand(
        handle, number, batch, bool(flags & LAST_OF_BATCH), terms, command
    )
