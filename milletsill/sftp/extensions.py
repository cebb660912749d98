"""Our extensions of SFTP version 3, and the two of OpenSSH that are answered.

command@milletsill (client to gateway): a command with the client's terms. It is answered as the command itself
would be, under the id of the EXTENDED packet.

    uint32 patience, milliseconds, 0 for the operator's   uint32 tries made before this one
    string mark, the same for all tries                    then the command: its kind and fields but for the id

dispatch@milletsill (gateway to disk box): one dispatch.

    string gateway   uint32 incarnation   uint64 transfer   uint32 number, 0 the first   uint32 units times 1000
    uint64 extent    uint32 time left, milliseconds   string ticket   uint32 volume   uint32 gateways of it
    string category  string mark   then the command, its handles being paths

answered by EXTENDED_REPLY:

    uint32 verdict (0 done, 1 full, 2 draining, 3 elsewhere: the text is a cell, 4 error)   string text
    uint32 n, then n times string name, uint32 value times 1000: the load report
    uint32 used + 1, 0 where it is not told   uint32 units served through others   then the answer, by kind and fields

cancel@milletsill (gateway to disk box): uint64 transfer, uint32 number; no answer is owed to the dispatch then.
hello@milletsill (gateway to disk box): string gateway, uint32 incarnation; STATUS.
Channels (client to gateway) have two more: files/channels.py.
beat@milletsill (gateway to disk box): nothing; STATUS at once, beside the queue: tells a half-open link.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from milletsill.sftp.packets import (
    Answer,
    Command,
    Extended,
    ExtendedReply,
    Init,
    Version,
    decode,
    encode,
)
from milletsill.sftp.wire import U32, U64, MalformedPacket, Reader, put_raw, put_text

COMMAND, DISPATCH, CANCEL = (
    "command@milletsill",
    "dispatch@milletsill",
    "cancel@milletsill",
)
HELLO, BEAT = "hello@milletsill", "beat@milletsill"
FSYNC, LIMITS = "fsync@openssh.com", "limits@openssh.com"
DONE, FULL, DRAINING, ELSEWHERE, ERROR = range(5)
MOST_MARK, MOST_REPORTS, MOST_U32 = 128, 8, 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Terms:
    """What a client says of its command: patience in milliseconds (0: the operator's), tries made before, and
    a mark that all tries share ('' for none).
    """

    patience: int = 0
    tries: int = 0
    mark: str = ""


@dataclass(frozen=True, slots=True)
class Order:
    """One dispatch as it crosses to a disk box; `left` in milliseconds."""

    gateway: str
    incarnation: int
    transfer: int
    number: int
    units: float
    extent: int
    left: int
    ticket: str
    volume: int
    gateways: int
    category: str
    mark: str
    command: Command


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a disk box answers a dispatch; `answer` is None where it did not run."""

    verdict: int
    text: str = ""
    report: Mapping[str, float] = None  # type: ignore[assignment]
    used: int | None = None
    elsewhere: int = 0
    answer: Answer | None = None


def bare(packet: Command | Answer) -> bytes:
    """A packet's kind and fields without its length and id."""
    data = encode(packet)
    return data[4:5] + data[9:]


def dressed(data: bytes, id: int) -> Command | Answer:
    """The inverse of `bare`; Extended inside Extended is not allowed but for fsync."""
    if not data:
        raise MalformedPacket("no command behind the terms")
    packet = decode(data[:1] + U32.pack(id) + data[1:])
    if (
        isinstance(packet, (Init, Version))
        or isinstance(packet, Extended)
        and packet.name != FSYNC
    ):
        raise MalformedPacket(
            f"{type(packet).__name__} cannot stand inside another packet"
        )
    return packet


def read_terms(packet: Extended) -> tuple[Terms, Command]:
    """The terms and the command of a command@milletsill."""
    reader = Reader(packet.body)
    terms = Terms(
        reader.u32("a patience"), reader.u32("a count of tries"), reader.text("a mark")
    )
    if len(terms.mark) > MOST_MARK:
        raise MalformedPacket(
            f"a mark of {len(terms.mark)} characters, {MOST_MARK} at most"
        )
    return terms, dressed(reader.rest(), packet.id)  # type: ignore[return-value]


def put_terms(terms: Terms, command: Command) -> Extended:
    """A command under its terms."""
    body = (
        U32.pack(terms.patience)
        + U32.pack(terms.tries)
        + put_text(terms.mark)
        + bare(command)
    )
    return Extended(command.id, COMMAND, body)  # type: ignore[union-attr]


def put_order(id: int, order: Order) -> Extended:
    """A dispatch as a packet."""
    body = b"".join(
        (
            put_text(order.gateway),
            U32.pack(order.incarnation),
            U64.pack(order.transfer),
            U32.pack(order.number),
            U32.pack(min(round(order.units * 1000), MOST_U32)),
            U64.pack(order.extent),
            U32.pack(order.left),
            put_text(order.ticket),
            U32.pack(order.volume),
            U32.pack(order.gateways),
            put_text(order.category),
            put_text(order.mark),
            bare(order.command),
        )
    )
    return Extended(id, DISPATCH, body)


def read_order(packet: Extended) -> Order:
    """A dispatch from its packet."""
    reader = Reader(packet.body)
    return Order(
        reader.text("a gateway"),
        reader.u32("an incarnation"),
        reader.u64("a transfer"),
        reader.u32("a number"),
        reader.u32("units") / 1000,
        reader.u64("an extent"),
        reader.u32("a time left"),
        reader.text("a ticket"),
        reader.u32("a volume"),
        reader.u32("gateways"),
        reader.text("a category"),
        reader.text("a mark"),
        dressed(reader.rest(), packet.id),
    )  # type: ignore[arg-type]


def put_verdict(id: int, verdict: Verdict) -> ExtendedReply:
    """A disk box's answer as a packet."""
    report = list((verdict.report or {}).items())[:MOST_REPORTS]
    body = [U32.pack(verdict.verdict), put_text(verdict.text), U32.pack(len(report))]
    body += [
        put_text(name) + U32.pack(max(min(round(value * 1000), MOST_U32), 0))
        for name, value in report
    ]
    body += [
        U32.pack(0 if verdict.used is None else verdict.used + 1),
        U32.pack(verdict.elsewhere),
    ]
    return ExtendedReply(
        id,
        b"".join(body) + (bare(verdict.answer) if verdict.answer is not None else b""),
    )


def read_verdict(packet: ExtendedReply) -> Verdict:
    """A disk box's answer from its packet."""
    reader = Reader(packet.body)
    verdict, text, count = (
        reader.u32("a verdict"),
        reader.text("a text"),
        reader.u32("a count of reports"),
    )
    if verdict > ERROR or count > MOST_REPORTS:
        raise MalformedPacket(f"a verdict {verdict} with {count} reports")
    report = {
        reader.text("a report's name"): reader.u32("a report") / 1000
        for _ in range(count)
    }
    used, elsewhere, rest = (
        reader.u32("a use"),
        reader.u32("units elsewhere"),
        reader.rest(),
    )
    answer = dressed(rest, packet.id) if rest else None
    return Verdict(verdict, text, report, used - 1 if used else None, elsewhere, answer)  # type: ignore[arg-type]


def put_cancel(id: int, transfer: int, number: int) -> Extended:
    return Extended(id, CANCEL, U64.pack(transfer) + U32.pack(number))


def read_cancel(packet: Extended) -> tuple[int, int]:
    reader = Reader(packet.body)
    return reader.u64("a transfer"), reader.u32("a number")


def put_hello(id: int, gateway: str, incarnation: int) -> Extended:
    return Extended(id, HELLO, put_text(gateway) + U32.pack(incarnation))


def read_hello(packet: Extended) -> tuple[str, int]:
    reader = Reader(packet.body)
    return reader.text("a gateway"), reader.u32("an incarnation")


def put_limits(
    id: int, packet: int, read: int, write: int, handles: int
) -> ExtendedReply:
    """The answer to limits@openssh.com: most bytes of a packet, a read and a write, most handles."""
    return ExtendedReply(
        id, b"".join(U64.pack(each) for each in (packet, read, write, handles))
    )


def read_limits(packet: ExtendedReply) -> tuple[int, int, int, int]:
    reader = Reader(packet.body)
    return reader.u64(), reader.u64(), reader.u64(), reader.u64()


def put_fsync(id: int, handle: bytes) -> Extended:
    return Extended(id, FSYNC, put_raw(handle))


def read_fsync(packet: Extended) -> bytes:
    return Reader(packet.body).raw("a handle")


def offered(*further: str) -> bytes:
    """What a gateway's VERSION packet offers; `further` extensions where it has them (files/channels.py)."""
    pairs = [(COMMAND, "1"), (FSYNC, "1"), (LIMITS, "1")] + [
        (each, "1") for each in further
    ]
    return b"".join(put_text(name) + put_text(value) for name, value in pairs)


def offers(extensions: bytes) -> dict[str, str]:
    """The pairs behind an INIT or VERSION."""
    reader, found = Reader(extensions), {}
    while reader.at < len(extensions):
        name = reader.text("an extension's name")
        found[name] = reader.text("an extension's value")
    return found
