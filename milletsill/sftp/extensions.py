"""The project's extensions of SFTP version 3, and the two extensions of OpenSSH.

command@milletsill, client to gateway: a command with the client's terms. The gateway
answers it as it answers the command itself, under the id of the EXTENDED packet.

    uint32 client timeout    milliseconds, 0 for the gateway's setting
    uint32 retry count       how often the client sent the command before
    string idempotency key   the same for all retries of the command
    the command              its packet type and its fields without the id

dispatch@milletsill, gateway to storage node: one attempt.

    string gateway
    uint32 incarnation
    uint64 request id        the request's number at the gateway
    uint32 attempt number    0 for the first attempt of the request
    uint32 units             in thousandths
    uint64 extent
    uint32 time left         milliseconds
    string idempotency key
    uint32 volume
    uint32 gateway count     how many gateways share the volume
    string request class
    string client attempt    the client's idempotency key and retry count
    the command              with paths in place of handles

The node answers with EXTENDED_REPLY:

    uint32 status            0 done, 1 full, 2 draining, 3 elsewhere, 4 error
    string text              elsewhere: the shard to go to; error: the reason
    uint32 n                 count of load values, each of them
    string name
    uint32 value             in thousandths
    uint32 used              plus 1, 0 where the node does not report it
    uint32 elsewhere         units served through other gateways
    the answer               its packet type and fields, if the command ran

cancel@milletsill, gateway to storage node: uint64 request id, uint32 attempt number.
The node need not answer a cancelled attempt.
hello@milletsill, gateway to storage node: string gateway, uint32 incarnation.
The node answers with STATUS.
beat@milletsill, gateway to storage node: a ping without fields. The node answers with
STATUS at once, outside of its queue. A missing answer reveals a half-open connection.

channel_extensions.py defines two more extensions, for channels.
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
MAX_IDEMPOTENCY_KEY_LENGTH = 128  # characters
MAX_LOAD_VALUES = 8  # in one load report
MAX_U32 = 0xFFFFFFFF
THOUSANDTHS = 1000  # fractions are sent as whole thousandths
# Offsets in an encoded packet, after its length and packet type.
ID_START = 5
ID_END = 9


class NodeReplyStatus(IntEnum):
    """The result of an attempt, as a storage node reports it."""

    DONE = 0
    FULL = 1
    DRAINING = 2
    ELSEWHERE = 3
    ERROR = 4


@dataclass(frozen=True, slots=True)
class CommandTerms:
    """The terms that a client attaches to its command.

    Attributes:
        client_timeout_ms: How long the client waits, in milliseconds; 0 for the
            gateway's setting.
        retry_count: How often the client sent the command before.
        idempotency_key: The key that all retries of the command share, empty for none.
    """

    client_timeout_ms: int = 0
    retry_count: int = 0
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """One attempt as a gateway sends it to a storage node.

    The order of the fields is that of the packet.

    Attributes:
        gateway: The gateway's name.
        incarnation: The gateway's incarnation.
        request_id: The request's number at this gateway.
        attempt_number: The attempt's number within its request, from 0.
        units: The units that the attempt consumes of the volume's limit.
        extent: The extent that holds the request's key.
        time_left_ms: The time until the client's deadline, in milliseconds.
        idempotency_key: The key by which the node recognises a command that it has
            already run.
        volume: The volume's number.
        gateway_count: How many gateways share the volume, in this gateway's view.
        request_class: The name of the request's class.
        client_attempt: The client's idempotency key and its retry count, joined by
            "~"; empty without a key.
        command: The command, with paths in place of handles.
    """

    gateway: str
    incarnation: int
    request_id: int
    attempt_number: int
    units: float
    extent: int
    time_left_ms: int
    idempotency_key: str
    volume: int
    gateway_count: int
    request_class: str
    client_attempt: str
    command: Command


@dataclass(frozen=True, slots=True)
class NodeReply:
    """A storage node's answer to an attempt.

    Attributes:
        status: A `NodeReplyStatus`.
        text: The shard to go to (ELSEWHERE), or the reason of an error (ERROR).
        report: The node's load values, by name.
        used: The units of this gateway's slow-start share that the node served for
            it; None if the node does not report them.
        elsewhere: The units that the node served through other gateways.
        answer: The command's answer, None if the command did not run.
    """

    status: int
    text: str = ""
    report: Mapping[str, float] = field(default_factory=dict)
    used: int | None = None
    elsewhere: int = 0
    answer: Answer | None = None


def encode_embedded(packet: Command | Answer) -> bytes:
    """Return a packet's type and fields, without its length and id."""
    data = encode(packet)
    return data[ID_START - 1 : ID_START] + data[ID_END:]


def decode_embedded(data: bytes, id: int) -> Command | Answer:
    """Return the packet that `encode_embedded` encoded, with the given id.

    Raise `MalformedPacketError` for packets that must not be embedded in another: INIT,
    VERSION, and any EXTENDED other than fsync.
    """
    if not data:
        raise MalformedPacketError("the embedded packet is missing")
    packet = decode(data[:1] + U32.pack(id) + data[1:])
    is_handshake = isinstance(packet, (Init, Version))
    if is_handshake or (isinstance(packet, Extended) and packet.name != FSYNC):
        raise MalformedPacketError(
            f"{type(packet).__name__} must not be embedded in another packet"
        )
    return packet


def decode_command(packet: Extended) -> tuple[CommandTerms, Command]:
    """Return the terms and the command of a command@milletsill packet."""
    reader = PacketReader(packet.body)
    terms = CommandTerms(
        reader.u32("a client timeout"),
        reader.u32("a retry count"),
        reader.text("an idempotency key"),
    )
    if len(terms.idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise MalformedPacketError(
            f"an idempotency key of {len(terms.idempotency_key)} characters is longer "
            f"than {MAX_IDEMPOTENCY_KEY_LENGTH}"
        )
    return terms, cast(Command, decode_embedded(reader.rest(), packet.id))


def encode_command(terms: CommandTerms, command: Command) -> Extended:
    """Return a command and its terms as a command@milletsill packet."""
    body = (
        U32.pack(terms.client_timeout_ms)
        + U32.pack(terms.retry_count)
        + encode_text(terms.idempotency_key)
        + encode_embedded(command)
    )
    return Extended(packet_id(command), COMMAND, body)


def encode_node_request(id: int, request: NodeRequest) -> Extended:
    """Return an attempt as a dispatch@milletsill packet."""
    body = b"".join(
        (
            encode_text(request.gateway),
            U32.pack(request.incarnation),
            U64.pack(request.request_id),
            U32.pack(request.attempt_number),
            U32.pack(min(round(request.units * THOUSANDTHS), MAX_U32)),
            U64.pack(request.extent),
            U32.pack(request.time_left_ms),
            encode_text(request.idempotency_key),
            U32.pack(request.volume),
            U32.pack(request.gateway_count),
            encode_text(request.request_class),
            encode_text(request.client_attempt),
            encode_embedded(request.command),
        )
    )
    return Extended(id, DISPATCH, body)


def decode_node_request(packet: Extended) -> NodeRequest:
    """Return the attempt of a dispatch@milletsill packet."""
    reader = PacketReader(packet.body)
    return NodeRequest(
        reader.text("a gateway"),
        reader.u32("an incarnation"),
        reader.u64("a request id"),
        reader.u32("an attempt number"),
        reader.u32("units") / THOUSANDTHS,
        reader.u64("an extent"),
        reader.u32("a time left"),
        reader.text("an idempotency key"),
        reader.u32("a volume"),
        reader.u32("a gateway count"),
        reader.text("a request class"),
        reader.text("a client attempt"),
        cast(Command, decode_embedded(reader.rest(), packet.id)),
    )


def encode_node_reply(id: int, reply: NodeReply) -> ExtendedReply:
    """Return a node's reply as a packet.

    Load values beyond the first `MAX_LOAD_VALUES` are left out.
    """
    report = list(reply.report.items())[:MAX_LOAD_VALUES]
    body = [U32.pack(reply.status), encode_text(reply.text), U32.pack(len(report))]
    body += [
        encode_text(name) + U32.pack(max(min(round(value * THOUSANDTHS), MAX_U32), 0))
        for name, value in report
    ]
    body += [
        U32.pack(0 if reply.used is None else reply.used + 1),
        U32.pack(reply.elsewhere),
    ]
    return ExtendedReply(
        id,
        b"".join(body)
        + (encode_embedded(reply.answer) if reply.answer is not None else b""),
    )


def decode_node_reply(packet: ExtendedReply) -> NodeReply:
    """Return a node's reply from its packet."""
    reader = PacketReader(packet.body)
    status = reader.u32("a status")
    text = reader.text("a text")
    count = reader.u32("a count of load values")
    if status > NodeReplyStatus.ERROR or count > MAX_LOAD_VALUES:
        raise MalformedPacketError(
            f"a node reply has status {status} and {count} load values; at most "
            f"status {NodeReplyStatus.ERROR} and {MAX_LOAD_VALUES} values are valid"
        )
    report = {
        reader.text("a load value's name"): reader.u32("a load value") / THOUSANDTHS
        for _ in range(count)
    }
    used = reader.u32("used units")
    elsewhere = reader.u32("units elsewhere")
    rest = reader.rest()
    answer = cast(Answer, decode_embedded(rest, packet.id)) if rest else None
    return NodeReply(
        status, text, report, used - 1 if used else None, elsewhere, answer
    )


def encode_cancel(id: int, request_id: int, attempt_number: int) -> Extended:
    """Return the cancellation of an attempt as a packet."""
    return Extended(id, CANCEL, U64.pack(request_id) + U32.pack(attempt_number))


def decode_cancel(packet: Extended) -> tuple[int, int]:
    """Return the request id and the attempt number of a cancellation."""
    reader = PacketReader(packet.body)
    return reader.u64("a request id"), reader.u32("an attempt number")


def encode_hello(id: int, gateway: str, incarnation: int) -> Extended:
    """Return the packet by which a gateway introduces itself to a node."""
    return Extended(id, HELLO, encode_text(gateway) + U32.pack(incarnation))


def decode_hello(packet: Extended) -> tuple[str, int]:
    """Return the gateway's name and incarnation of a hello@milletsill packet."""
    reader = PacketReader(packet.body)
    return reader.text("a gateway"), reader.u32("an incarnation")


def encode_limits(
    id: int, packet: int, read: int, write: int, handles: int
) -> ExtendedReply:
    """Return the answer to limits@openssh.com.

    The arguments are the maximum sizes of a packet, a read and a write in bytes, and
    the maximum count of open handles.
    """
    return ExtendedReply(
        id, b"".join(U64.pack(each) for each in (packet, read, write, handles))
    )


def decode_limits(packet: ExtendedReply) -> tuple[int, int, int, int]:
    """Return the maximum sizes of a packet, a read and a write, and of handles."""
    reader = PacketReader(packet.body)
    return reader.u64(), reader.u64(), reader.u64(), reader.u64()


def encode_fsync(id: int, handle: bytes) -> Extended:
    """Return an fsync@openssh.com packet."""
    return Extended(id, FSYNC, encode_bytes(handle))


def decode_fsync(packet: Extended) -> bytes:
    """Return the handle of an fsync@openssh.com packet."""
    return PacketReader(packet.body).raw("a handle")


def encode_offer(*additional: str) -> bytes:
    """Return the extensions that a VERSION packet offers, `additional` ones last."""
    pairs = [(COMMAND, "1"), (FSYNC, "1"), (LIMITS, "1")] + [
        (each, "1") for each in additional
    ]
    return b"".join(encode_text(name) + encode_text(value) for name, value in pairs)


def decode_offer(extensions: bytes) -> dict[str, str]:
    """Return the extensions that an INIT or VERSION offers: versions by name."""
    reader = PacketReader(extensions)
    found: dict[str, str] = {}
    while reader.at < len(extensions):
        name = reader.text("an extension's name")
        found[name] = reader.text("an extension's value")
    return found
