"""Encodes and decodes packets according to the `layout` of each packet class."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from milletsill.sftp.packets import ANSWERS, COMMANDS, Packet
from milletsill.sftp.wire import (
    READERS,
    U32,
    WRITERS,
    FieldReader,
    FieldWriter,
    MalformedPacketError,
    PacketReader,
)

HEADER_LENGTH = 5  # octets of a packet's type and id


def _field_names(packet_type: type[Any]) -> tuple[str, ...]:
    return tuple(field.name for field in fields(packet_type))


def _decoder(packet_type: type[Any]) -> Decoder:
    readers = tuple(READERS[kind] for kind in packet_type.layout.split())
    return packet_type, readers, _field_names(packet_type)


def _encoder(packet_type: type[Any]) -> Encoder:
    writers = (WRITERS[kind] for kind in packet_type.layout.split())
    return tuple(zip(_field_names(packet_type), writers, strict=True))


Decoder = tuple[type[Any], tuple[FieldReader, ...], tuple[str, ...]]
Encoder = tuple[tuple[str, FieldWriter], ...]
DECODERS = {each.kind: _decoder(each) for each in COMMANDS + ANSWERS}
ENCODERS = {each.kind: _encoder(each) for each in COMMANDS + ANSWERS}
FIELDS_AFTER_ID = {each: _field_names(each)[1:] for each in COMMANDS + ANSWERS}


class UnknownPacketError(MalformedPacketError):
    """A packet's type does not exist in SFTP version 3.

    `id` is the number in the place of the packet's id.
    """

    remedy = (
        "nothing: the client is told that the packet type is not supported; a client "
        "that depends on it needs another version"
    )

    def __init__(self, kind: int, id: int) -> None:
        super().__init__(f"packet type {kind} does not exist in SFTP version 3")
        self.id = id


def decode(data: bytes) -> Packet:
    """Return the packet that the bytes after the length field encode.

    Raise `MalformedPacketError` if they encode no valid packet.
    """
    if not data:
        raise MalformedPacketError("the packet is empty")
    found = DECODERS.get(data[0])
    if found is None:
        id = U32.unpack_from(data, 1)[0] if len(data) >= HEADER_LENGTH else 0
        raise UnknownPacketError(data[0], id)
    packet_type, readers, names = found
    reader = PacketReader(data, 1)
    values = [read(reader, name) for read, name in zip(readers, names, strict=True)]
    reader.end()
    packet: Packet = packet_type(*values)
    return packet


def encode(packet: Packet) -> bytes:
    """Return the bytes of a packet, including its length field."""
    body = b"".join(
        [write(getattr(packet, name)) for name, write in ENCODERS[packet.kind]]
    )
    return U32.pack(len(body) + 1) + bytes((packet.kind,)) + body


def with_id(packet: Packet, id: int) -> Packet:
    """Return the packet with another id; INIT and VERSION have no id."""
    if packet_id(packet) == id:
        return packet
    values = [getattr(packet, name) for name in FIELDS_AFTER_ID[type(packet)]]
    changed: Packet = type(packet)(id, *values)
    return changed


def packet_id(packet: Packet) -> int:
    """Return the id of a request or response; INIT and VERSION have no id."""
    number: int = packet.id  # type: ignore[union-attr]
    return number
