"""Encodes and decodes the packets of `packets` by the layout that each class states."""

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

HEADER_LENGTH = 5  # octets of a packet's kind and id


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
FIELDS_BEHIND_ID = {each: _field_names(each)[1:] for each in COMMANDS + ANSWERS}


class UnknownPacketError(MalformedPacketError):
    """A packet of a kind that version 3 does not have.

    `id` is what stands where an id would.
    """

    remedy = (
        "nothing: the client is told that it is not offered; one that insists needs "
        "another version"
    )

    def __init__(self, kind: int, id: int) -> None:
        super().__init__(f"unknown packet kind {kind}")
        self.id = id


def decode(data: bytes) -> Packet:
    """Return a packet from its bytes behind the length.

    Raise `MalformedPacketError` where they are none.
    """
    if not data:
        raise MalformedPacketError("an empty packet")
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
    """Return the bytes of a packet with the length before them."""
    body = b"".join(
        [write(getattr(packet, name)) for name, write in ENCODERS[packet.kind]]
    )
    return U32.pack(len(body) + 1) + bytes((packet.kind,)) + body


def with_id(packet: Packet, id: int) -> Packet:
    """Return the same packet under another id; INIT and VERSION have none."""
    if packet_id(packet) == id:
        return packet
    values = [getattr(packet, name) for name in FIELDS_BEHIND_ID[type(packet)]]
    changed: Packet = type(packet)(id, *values)
    return changed


def packet_id(packet: Packet) -> int:
    """Return the id of a request or response; INIT and VERSION have none."""
    number: int = packet.id  # type: ignore[union-attr]
    return number
