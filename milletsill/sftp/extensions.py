"""Our extensions of SFTP version 3, and the two of OpenSSH that are answered.

command@milletsill, client to gateway: a command with the client's terms. It is
answered as the command would be, under the id of the EXTENDED packet.

    uint32 patience      milliseconds, 0 for the operator's
    uint32 tries         made before this one
    string mark          the same for all tries
    the command          its kind and its fields, but for the id

dispatch@milletsill, gateway to storage node: one attempt.

    string gateway
    uint32 incarnation
    uint64 transfer      the request's number at the gateway
    uint32 number        of the attempt, 0 for the first
    uint32 units         times 1000
    uint64 extent
    uint32 time left     milliseconds
    string ticket
    uint32 volume
    uint32 gateways      of the volume
    string category
    string mark
    the command          its handles being paths

It is answered by EXTENDED_REPLY:

    uint32 status        0 done, 1 full, 2 draining, 3 elsewhere, 4 error
    string text          elsewhere: the cell; error: why
    uint32 n             and n times the load report's
    string name
    uint32 value         times 1000
    uint32 used          plus 1, 0 where it is not told
    uint32 elsewhere     units served through other gateways
    the answer           its kind and fields, where the command ran

cancel@milletsill, gateway to storage node: uint64 transfer, uint32 number. No
answer to the attempt is owed then.
hello@milletsill, gateway to storage node: string gateway, uint32 incarnation.
Answered by STATUS.
beat@milletsill, gateway to storage node: no fields. Answered by STATUS at once,
beside the node's queue; shows a half-open connection.

Channels have two more: channel_extensions.py.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import cast

from milletsill.sftp.packet_codec import decode, encode, packet_id
from milletsill.sftp.packets import (
    Answer,
    Command,
    Extended,
    ExtendedReply,
    Init,
    Version,
)
from milletsill.sftp.wire import (
    U32,
    U64,
    MalformedPacketError,
    PacketReader,
    encode_bytes,
    encode_text,
)

COMMAND = "command@milletsill"
DISPATCH = "dispatch@milletsill"
CANCEL = "cancel@milletsill"
HELLO = "hello@milletsill"
BEAT = "beat@milletsill"
FSYNC = "fsync@openssh.com"
LIMITS = "limits@openssh.com"
MAX_MARK_LENGTH = 128  # characters
MAX_REPORTS = 8  # values of one load report
MAX_U32 = 0xFFFFFFFF
THOUSANDTHS = 1000  # fractions cross the wire as whole thousandths
ID_START = 5  # of an encoded packet: behind its length and kind
ID_END = 9


class NodeReplyStatus(IntEnum):
    """How a storage node answers an attempt."""

    DONE = 0
    FULL = 1
    DRAINING = 2
    ELSEWHERE = 3
    ERROR = 4


@dataclass(frozen=True, slots=True)
class CommandTerms:
    """What a client says of its command.

    Attributes:
        patience: Its time-out in milliseconds, 0 for the operator's.
        tries: How often the client has sent it before.
        mark: What all its tries share, empty for none.
    """

    patience: int = 0
    tries: int = 0
    mark: str = ""


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """One attempt as it crosses to a storage node.

    Attributes:
        gateway: The gateway's name.
        incarnation: The gateway's incarnation.
        transfer: The request's number at this gateway.
        number: Which attempt of it this is, from 0.
        units: What it costs the volume's limit.
        extent: The key's extent.
        left: Time until its deadline, in milliseconds.
        ticket: By which the node knows an effect that it had already.
        volume: The volume's number.
        gateways: How many gateways there are by this one's view.
        category: The request's category.
        mark: What all tries of the client share.
        command: The command, its handles being paths.
    """

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
class NodeReply:
    """How a storage node answers an attempt.

    Attributes:
        verdict: A `NodeReplyStatus`.
        text: The cell to go to, or why there was an error.
        report: The node's load, by name.
        used: Units served for this gateway of its slow-start share, None if not told.
        elsewhere: Units served through other gateways.
        answer: The command's answer, None where it did not run.
    """

    verdict: int
    text: str = ""
    report: Mapping[str, float] = field(default_factory=dict)
    used: int | None = None
    elsewhere: int = 0
    answer: Answer | None = None


def encode_embedded(packet: Command | Answer) -> bytes:
    """Return a packet's kind and fields without its length and id."""
    data = encode(packet)
    return data[ID_START - 1 : ID_START] + data[ID_END:]


def decode_embedded(data: bytes, id: int) -> Command | Answer:
    """Return the packet that `encode_embedded` made, under `id`.

    Raise `MalformedPacketError` for packets that may not stand inside another: INIT,
    VERSION, and EXTENDED but for fsync.
    """
    if not data:
        raise MalformedPacketError("no command behind the terms")
    packet = decode(data[:1] + U32.pack(id) + data[1:])
    is_handshake = isinstance(packet, (Init, Version))
    if is_handshake or (isinstance(packet, Extended) and packet.name != FSYNC):
        raise MalformedPacketError(
            f"{type(packet).__name__} cannot stand inside another packet"
        )
    return packet


def decode_command(packet: Extended) -> tuple[CommandTerms, Command]:
    """Return the terms and the command of a command@milletsill."""
    reader = PacketReader(packet.body)
    terms = CommandTerms(
        reader.u32("a patience"), reader.u32("a count of tries"), reader.text("a mark")
    )
    if len(terms.mark) > MAX_MARK_LENGTH:
        raise MalformedPacketError(
            f"a mark of {len(terms.mark)} characters, {MAX_MARK_LENGTH} at most"
        )
    return terms, cast(Command, decode_embedded(reader.rest(), packet.id))


def encode_command(terms: CommandTerms, command: Command) -> Extended:
    """Return a command with its terms as a packet."""
    body = (
        U32.pack(terms.patience)
        + U32.pack(terms.tries)
        + encode_text(terms.mark)
        + encode_embedded(command)
    )
    return Extended(packet_id(command), COMMAND, body)


def encode_node_request(id: int, order: NodeRequest) -> Extended:
    """Return an attempt as a packet."""
    body = b"".join(
        (
            encode_text(order.gateway),
            U32.pack(order.incarnation),
            U64.pack(order.transfer),
            U32.pack(order.number),
            U32.pack(min(round(order.units * THOUSANDTHS), MAX_U32)),
            U64.pack(order.extent),
            U32.pack(order.left),
            encode_text(order.ticket),
            U32.pack(order.volume),
            U32.pack(order.gateways),
            encode_text(order.category),
            encode_text(order.mark),
            encode_embedded(order.command),
        )
    )
    return Extended(id, DISPATCH, body)


def decode_node_request(packet: Extended) -> NodeRequest:
    """Return an attempt from its packet."""
    reader = PacketReader(packet.body)
    return NodeRequest(
        reader.text("a gateway"),
        reader.u32("an incarnation"),
        reader.u64("a transfer"),
        reader.u32("a number"),
        reader.u32("units") / THOUSANDTHS,
        reader.u64("an extent"),
        reader.u32("a time left"),
        reader.text("a ticket"),
        reader.u32("a volume"),
        reader.u32("gateways"),
        reader.text("a category"),
        reader.text("a mark"),
        cast(Command, decode_embedded(reader.rest(), packet.id)),
    )


def encode_node_reply(id: int, verdict: NodeReply) -> ExtendedReply:
    """Return a node's reply as a packet.

    A load report has `MAX_REPORTS` values at most.
    """
    report = list(verdict.report.items())[:MAX_REPORTS]
    body = [U32.pack(verdict.verdict), encode_text(verdict.text), U32.pack(len(report))]
    body += [
        encode_text(name) + U32.pack(max(min(round(value * THOUSANDTHS), MAX_U32), 0))
        for name, value in report
    ]
    body += [
        U32.pack(0 if verdict.used is None else verdict.used + 1),
        U32.pack(verdict.elsewhere),
    ]
    return ExtendedReply(
        id,
        b"".join(body)
        + (encode_embedded(verdict.answer) if verdict.answer is not None else b""),
    )


def decode_node_reply(packet: ExtendedReply) -> NodeReply:
    """Return a node's reply from its packet."""
    reader = PacketReader(packet.body)
    verdict = reader.u32("a verdict")
    text = reader.text("a text")
    count = reader.u32("a count of reports")
    if verdict > NodeReplyStatus.ERROR or count > MAX_REPORTS:
        raise MalformedPacketError(f"a verdict {verdict} with {count} reports")
    report = {
        reader.text("a report's name"): reader.u32("a report") / THOUSANDTHS
        for _ in range(count)
    }
    used = reader.u32("a use")
    elsewhere = reader.u32("units elsewhere")
    rest = reader.rest()
    answer = cast(Answer, decode_embedded(rest, packet.id)) if rest else None
    return NodeReply(
        verdict, text, report, used - 1 if used else None, elsewhere, answer
    )


def encode_cancel(id: int, transfer: int, number: int) -> Extended:
    """Return the cancellation of an attempt as a packet."""
    return Extended(id, CANCEL, U64.pack(transfer) + U32.pack(number))


def decode_cancel(packet: Extended) -> tuple[int, int]:
    """Return the request's number and the attempt's from a cancellation."""
    reader = PacketReader(packet.body)
    return reader.u64("a transfer"), reader.u32("a number")


def encode_hello(id: int, gateway: str, incarnation: int) -> Extended:
    """Return what a gateway says first on a connection to a node."""
    return Extended(id, HELLO, encode_text(gateway) + U32.pack(incarnation))


def decode_hello(packet: Extended) -> tuple[str, int]:
    """Return the gateway's name and incarnation."""
    reader = PacketReader(packet.body)
    return reader.text("a gateway"), reader.u32("an incarnation")


def encode_limits(
    id: int, packet: int, read: int, write: int, handles: int
) -> ExtendedReply:
    """Return the answer to limits@openssh.com.

    Most bytes of a packet, a read and a write, most handles.
    """
    return ExtendedReply(
        id, b"".join(U64.pack(each) for each in (packet, read, write, handles))
    )


def decode_limits(packet: ExtendedReply) -> tuple[int, int, int, int]:
    """Return what `encode_limits` was given."""
    reader = PacketReader(packet.body)
    return reader.u64(), reader.u64(), reader.u64(), reader.u64()


def encode_fsync(id: int, handle: bytes) -> Extended:
    """Return an fsync@openssh.com."""
    return Extended(id, FSYNC, encode_bytes(handle))


def decode_fsync(packet: Extended) -> bytes:
    """Return the handle of an fsync@openssh.com."""
    return PacketReader(packet.body).raw("a handle")


def encode_offer(*further: str) -> bytes:
    """Return what a VERSION packet offers, `further` extensions at the end."""
    pairs = [(COMMAND, "1"), (FSYNC, "1"), (LIMITS, "1")] + [
        (each, "1") for each in further
    ]
    return b"".join(encode_text(name) + encode_text(value) for name, value in pairs)


def decode_offer(extensions: bytes) -> dict[str, str]:
    """Return the extensions offered by an INIT or VERSION, versions by name."""
    reader = PacketReader(extensions)
    found: dict[str, str] = {}
    while reader.at < len(extensions):
        name = reader.text("an extension's name")
        found[name] = reader.text("an extension's value")
    return found
