"""Channels on the wire: what a client says of a named line of numbered transfers, and what it hears. docs/channels.md.

A gateway that keeps channels offers `channel@milletsill` in its VERSION packet; others answer OP_UNSUPPORTED.

channel@milletsill (client to gateway): uint32 verb, then by verb

    1 OPEN   string path, any within the volume     string channel, 1 to 128 octets, printable, no spaces
             string contract, '' for the operator's  uint32 its version, 0 for the gateway's
             uint64 from: the number from which it holds where it is another than before; 0 the next that is free
    2 ASK    string handle   uint64 number
    3 SAY    string handle   uint64 number   uint32 word (1 done, 2 again, 3 left out): of a number whose end is unsure; of one
             that never came 3 alone

OPEN claims the channel: the later claim holds, the earlier is told at its next word (x-claim-lost), and what waits under it at
once. OPEN is answered by EXTENDED_REPLY:

    string handle, for this connection until CLOSE          uint64 claim          string contract   uint32 version
    uint32 order (0 each in order, 1 newest, 2 by extent, 3 batches)              uint64 next, the lowest number that is open
    uint64 batch, that of `next`   uint32 most transfers that may wait   uint64 first number whose answer is remembered
    uint32 n, then n times uint64: numbers at an unsure end

ASK is answered by EXTENDED_REPLY: uint32 state (0 open, 1 under way, 2 settled, 3 unsure, 4 left out, 5 no longer remembered),
uint64 next, then, where settled, the answer by kind and fields. SAY is answered by STATUS.

numbered@milletsill (client to gateway): one transfer of a channel, a command that writes and takes one transfer.

    string handle   uint64 number, from 1   uint64 batch, from 1, 0 where the contract has none   uint32 flags (1: last of its batch)
    then the body of a command@milletsill: uint32 patience, uint32 tries, string mark, the command

It is answered as the command would be, under the id of the EXTENDED packet; a number that is settled already by the answer that is
remembered, without a second effect. Else by STATUS FAILURE with one of these language tags:

    x-declined-MS           nothing was done; come again after MS milliseconds
    x-declined-MS-next-N    the same; number N is the next that is awaited (a hole, too far ahead)
    x-aborted               it may have been done or not; OPEN and ASK tell more
    x-claim-lost            a later claim holds; nothing was done by this word
    x-superseded-N          (newest) N, which is newer, is settled or under way: this one never takes effect
    x-over                  over long ago: what became of it is no longer remembered
    x-left-out              counted as left out: the client said so, or its end stayed unsure; it is not let go again
    x-stopped-N             stands behind N, whose end is unsure, until the client says (SAY) what became of it
    x-contract              contradicts what is declared; the message says which and what to do. Nothing was done

At a disk box a numbered dispatch's ticket is `VOLUME@CHANNEL@NUMBER.TURN#LEG.0`: VOLUME the xxhash (64 bits, decimal) of the volume's
name, the same at gateways whose files list volumes in another order; TURN 0 until a client says `again`. `read_ticket` takes it apart.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import xxhash

from milletsill.sftp.extensions import Terms, bare, dressed, put_terms, read_terms
from milletsill.sftp.packets import (
    FAILURE,
    Answer,
    Command,
    Extended,
    ExtendedReply,
    Status,
)
from milletsill.sftp.wire import (
    U32,
    U64,
    MalformedInput,
    Reader,
    bytes_of,
    put_raw,
    put_text,
)

CHANNEL, NUMBERED = "channel@milletsill", "numbered@milletsill"
OPEN, ASK, SAY = 1, 2, 3
DONE, AGAIN, LEFT_OUT = 1, 2, 3  # words of SAY
IS_OPEN, IS_OUT, IS_SETTLED, IS_UNSURE, IS_LEFT_OUT, IS_FORGOTTEN = range(
    6
)  # states of ASK
LAST = 1  # flag
MOST_NAME, MOST_UNSURE, MOST_NUMBER = 128, 1024, (1 << 63) - 1


@dataclass(frozen=True, slots=True)
class Opening:
    """OPEN as a client says it."""

    path: str
    channel: str
    contract: str = ""
    version: int = 0
    first: int = 0


@dataclass(frozen=True, slots=True)
class Asking:
    handle: bytes
    number: int


@dataclass(frozen=True, slots=True)
class Saying:
    handle: bytes
    number: int
    word: int


@dataclass(frozen=True, slots=True)
class Opened:
    """The answer to OPEN."""

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
class Asked:
    """The answer to ASK."""

    state: int
    next: int
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Numbered:
    """One transfer of a channel as a client sends it."""

    handle: bytes
    number: int
    batch: int
    last: bool
    terms: Terms
    command: Command


def channel_name(text: str) -> str:
    """A channel's name, or Malformed."""
    if (
        not 0 < len(bytes_of(text)) <= MOST_NAME
        or not text.isprintable()
        or " " in text
    ):
        raise MalformedInput(
            f"a channel's name is 1 to {MOST_NAME} octets of printable characters without spaces"
        )
    return text


def number_of(reader: Reader) -> int:
    number = reader.u64("a number")
    if not 1 <= number <= MOST_NUMBER:
        raise MalformedInput(f"number {number} is not from 1 to {MOST_NUMBER}")
    return number


def put_channel(id: int, said: Opening | Asking | Saying) -> Extended:
    """A word on a channel as a packet."""
    if isinstance(said, Opening):
        body = (
            U32.pack(OPEN)
            + put_text(said.path)
            + put_text(said.channel)
            + put_text(said.contract)
            + U32.pack(said.version)
            + U64.pack(said.first)
        )
    elif isinstance(said, Asking):
        body = U32.pack(ASK) + put_raw(said.handle) + U64.pack(said.number)
    else:
        body = (
            U32.pack(SAY)
            + put_raw(said.handle)
            + U64.pack(said.number)
            + U32.pack(said.word)
        )
    return Extended(id, CHANNEL, body)


def read_channel(packet: Extended) -> Opening | Asking | Saying:
    """A word on a channel from its packet."""
    reader = Reader(packet.body)
    verb, said = reader.u32("a verb"), None
    if verb == OPEN:
        said = Opening(
            reader.text("a path"),
            channel_name(reader.text("a channel")),
            reader.text("a contract"),
            reader.u32("a version"),
            reader.u64("a first number"),
        )
    elif verb == ASK:
        said = Asking(reader.raw("a handle"), number_of(reader))
    elif verb == SAY:
        said = Saying(reader.raw("a handle"), number_of(reader), reader.u32("a word"))
        if said.word not in (DONE, AGAIN, LEFT_OUT):
            raise MalformedInput(f"word {said.word} on a number is not 1 to 3")
    if said is None:
        raise MalformedInput(f"verb {verb} on a channel is not 1 to 3")
    reader.end()
    return said


def put_opened(id: int, told: Opened) -> ExtendedReply:
    return ExtendedReply(
        id,
        b"".join(
            (
                put_raw(told.handle),
                U64.pack(told.claim),
                put_text(told.contract),
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


def read_opened(packet: ExtendedReply) -> Opened:
    """The answer to OPEN from its packet."""
    reader = Reader(packet.body)
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
    if count > MOST_UNSURE:
        raise MalformedInput(f"{count} unsure numbers, {MOST_UNSURE} at most")
    told = Opened(*parts, tuple(reader.u64() for _ in range(count)))
    reader.end()
    return told


def put_asked(id: int, told: Asked) -> ExtendedReply:
    answer = bare(told.answer) if told.answer is not None else b""
    return ExtendedReply(id, U32.pack(told.state) + U64.pack(told.next) + answer)


def read_asked(packet: ExtendedReply) -> Asked:
    """The answer to ASK from its packet."""
    reader = Reader(packet.body)
    state, following, rest = (
        reader.u32("a state"),
        reader.u64("a next number"),
        reader.rest(),
    )
    return Asked(state, following, dressed(rest, packet.id) if rest else None)  # type: ignore[arg-type]


def put_numbered(id: int, said: Numbered) -> Extended:
    """A transfer of a channel as a packet."""
    return Extended(
        id,
        NUMBERED,
        b"".join(
            (
                put_raw(said.handle),
                U64.pack(said.number),
                U64.pack(said.batch),
                U32.pack(LAST if said.last else 0),
                put_terms(said.terms, said.command).body,
            )
        ),
    )


def read_numbered(packet: Extended) -> Numbered:
    """A transfer of a channel from its packet."""
    reader = Reader(packet.body)
    handle, number = reader.raw("a handle"), number_of(reader)
    batch, flags = reader.u64("a batch"), reader.u32("flags")
    if batch > MOST_NUMBER or flags & ~LAST:
        raise MalformedInput(f"batch {batch} or flags {flags} out of range")
    terms, command = read_terms(Extended(packet.id, packet.name, reader.rest()))
    return Numbered(handle, number, batch, bool(flags & LAST), terms, command)


# --- Language tags.


@dataclass(frozen=True, slots=True)
class Sign:
    """A language tag taken apart: its word, the pause in milliseconds and the number, where it has them."""

    word: str
    pause: int | None = None
    number: int | None = None


TAG = re.compile(
    r"x-(declined|aborted|claim-lost|superseded|over|left-out|stopped|contract)(?:-(\d+))?(?:-next-(\d+))?"
)


def read_sign(language: str) -> Sign | None:
    """What a status's language tag says; None for one that is not ours."""
    found = TAG.fullmatch(language)
    if found is None:
        return None
    word, first, following = found[1], found[2], found[3]
    if word == "declined":
        return Sign(
            word, int(first) if first else None, int(following) if following else None
        )
    return Sign(word, None, int(first) if first else None)


def put_sign(
    id: int, word: str, message: str, number: int | None = None, pause: int = 0
) -> Status:
    """A STATUS with one of our tags; the pause in tenths of a millisecond, for `declined` alone."""
    tag = f"x-{word}"
    if word == "declined":
        tag += f"-{-(-pause // 10)}" + (f"-next-{number}" if number is not None else "")
    elif number is not None:
        tag += f"-{number}"
    return Status(id, FAILURE, message, tag)


# --- Tickets.


def put_ticket(volume: str, channel: str, number: int, turn: int) -> str:
    """What all dispatches of one number share, whichever gateway lets them go."""
    return f"{xxhash.xxh64_intdigest(bytes_of(volume))}@{channel}@{number}.{turn}"


def read_ticket(ticket: str) -> tuple[int, str, int, int] | None:
    """The hash of the volume's name, channel, number and turn of a numbered dispatch's ticket; None for any other."""
    head, _, tail = ticket.rpartition("#")[0].rpartition("@")
    volume, at, channel = head.partition("@")
    number, dot, turn = tail.partition(".")
    if not (
        at and dot and volume.isdecimal() and number.isdecimal() and turn.isdecimal()
    ):
        return None
    return int(volume), channel, int(number), int(turn)
