"""The packets of SFTP version 3, each a frozen record, and the table by which they go to and from bytes.

Source: draft-ietf-secsh-filexfer-02; `fsync@openssh.com` and `limits@openssh.com` from OpenSSH's PROTOCOL file.
A packet's bytes here are what stands behind its length: one byte of kind, then the fields.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import ClassVar, Union

from milletsill.sftp.wire import (
    READERS,
    U32,
    WRITERS,
    Attrs,
    MalformedPacket,
    Name,
    Reader,
)

VERSION_SPOKEN = 3
# Open flags, section 6.3.
READ_FLAG, WRITE_FLAG, APPEND_FLAG, CREATE_FLAG, TRUNCATE_FLAG, EXCLUSIVE_FLAG = (
    1,
    2,
    4,
    8,
    16,
    32,
)
# Status codes, section 7.
OK, EOF, NO_SUCH_FILE, PERMISSION_DENIED, FAILURE, BAD_MESSAGE = 0, 1, 2, 3, 4, 5
UNSUPPORTED = 8


@dataclass(frozen=True, slots=True)
class Init:
    kind: ClassVar[int] = 1
    layout: ClassVar[str] = "u32 rest"
    version: int
    extensions: bytes = b""


@dataclass(frozen=True, slots=True)
class Version:
    kind: ClassVar[int] = 2
    layout: ClassVar[str] = "u32 rest"
    version: int
    extensions: bytes = b""


@dataclass(frozen=True, slots=True)
class Open:
    kind: ClassVar[int] = 3
    layout: ClassVar[str] = "u32 text u32 attrs"
    id: int
    path: str
    flags: int
    attrs: Attrs


@dataclass(frozen=True, slots=True)
class Close:
    kind: ClassVar[int] = 4
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Read:
    kind: ClassVar[int] = 5
    layout: ClassVar[str] = "u32 raw u64 u32"
    id: int
    handle: bytes
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Write:
    kind: ClassVar[int] = 6
    layout: ClassVar[str] = "u32 raw u64 raw"
    id: int
    handle: bytes
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Lstat:
    kind: ClassVar[int] = 7
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Fstat:
    kind: ClassVar[int] = 8
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Setstat:
    kind: ClassVar[int] = 9
    layout: ClassVar[str] = "u32 text attrs"
    id: int
    path: str
    attrs: Attrs


@dataclass(frozen=True, slots=True)
class Fsetstat:
    kind: ClassVar[int] = 10
    layout: ClassVar[str] = "u32 raw attrs"
    id: int
    handle: bytes
    attrs: Attrs


@dataclass(frozen=True, slots=True)
class Opendir:
    kind: ClassVar[int] = 11
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Readdir:
    kind: ClassVar[int] = 12
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Remove:
    kind: ClassVar[int] = 13
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Mkdir:
    kind: ClassVar[int] = 14
    layout: ClassVar[str] = "u32 text attrs"
    id: int
    path: str
    attrs: Attrs


@dataclass(frozen=True, slots=True)
class Rmdir:
    kind: ClassVar[int] = 15
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Realpath:
    kind: ClassVar[int] = 16
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Stat:
    kind: ClassVar[int] = 17
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Rename:
    kind: ClassVar[int] = 18
    layout: ClassVar[str] = "u32 text text"
    id: int
    path: str
    target: str


@dataclass(frozen=True, slots=True)
class Readlink:
    kind: ClassVar[int] = 19
    layout: ClassVar[str] = "u32 text"
    id: int
    path: str


@dataclass(frozen=True, slots=True)
class Symlink:
    """The draft's order of fields: the link's own path first."""

    kind: ClassVar[int] = 20
    layout: ClassVar[str] = "u32 text text"
    id: int
    path: str
    target: str


@dataclass(frozen=True, slots=True)
class Status:
    kind: ClassVar[int] = 101
    layout: ClassVar[str] = "u32 u32 text text"
    id: int
    code: int
    message: str = ""
    language: str = ""


@dataclass(frozen=True, slots=True)
class Handle:
    kind: ClassVar[int] = 102
    layout: ClassVar[str] = "u32 raw"
    id: int
    handle: bytes


@dataclass(frozen=True, slots=True)
class Data:
    kind: ClassVar[int] = 103
    layout: ClassVar[str] = "u32 raw"
    id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Names:
    kind: ClassVar[int] = 104
    layout: ClassVar[str] = "u32 names"
    id: int
    names: tuple[Name, ...]


@dataclass(frozen=True, slots=True)
class AttrsAnswer:
    kind: ClassVar[int] = 105
    layout: ClassVar[str] = "u32 attrs"
    id: int
    attrs: Attrs


@dataclass(frozen=True, slots=True)
class Extended:
    kind: ClassVar[int] = 200
    layout: ClassVar[str] = "u32 text rest"
    id: int
    name: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class ExtendedReply:
    kind: ClassVar[int] = 201
    layout: ClassVar[str] = "u32 rest"
    id: int
    body: bytes = b""


COMMANDS = (
    Init,
    Open,
    Close,
    Read,
    Write,
    Lstat,
    Fstat,
    Setstat,
    Fsetstat,
    Opendir,
    Readdir,
    Remove,
    Mkdir,
    Rmdir,
    Realpath,
    Stat,
    Rename,
    Readlink,
    Symlink,
    Extended,
)
ANSWERS = (Version, Status, Handle, Data, Names, AttrsAnswer, ExtendedReply)
Command = Union[
    Init,
    Open,
    Close,
    Read,
    Write,
    Lstat,
    Fstat,
    Setstat,
    Fsetstat,
    Opendir,
    Readdir,
    Remove,
    Mkdir,
    Rmdir,
    Realpath,
    Stat,
    Rename,
    Readlink,
    Symlink,
    Extended,
]
Answer = Union[Version, Status, Handle, Data, Names, AttrsAnswer, ExtendedReply]
Packet = Union[Command, Answer]
BY_KIND = {
    each.kind: (
        each,
        tuple(READERS[kind] for kind in each.layout.split()),
        tuple(field.name for field in fields(each)),
    )
    for each in COMMANDS + ANSWERS
}
PACKERS = {
    each.kind: tuple(
        (field.name, WRITERS[kind])
        for field, kind in zip(fields(each), each.layout.split())
    )
    for each in COMMANDS + ANSWERS
}
REST_OF = {
    each: tuple(field.name for field in fields(each))[1:] for each in COMMANDS + ANSWERS
}


class UnknownPacket(MalformedPacket):
    """A packet of a kind that version 3 does not have; `id` is what stands where an id would."""

    remedy = "nothing: the client is told that it is not offered; one that insists needs another version"

    def __init__(self, kind: int, id: int) -> None:
        super().__init__(f"unknown packet kind {kind}")
        self.id = id


def decode(data: bytes) -> Packet:
    """A packet from its bytes behind the length; `BadPacket` where they are not one."""
    if not data:
        raise MalformedPacket("an empty packet")
    found = BY_KIND.get(data[0])
    if found is None:
        raise UnknownPacket(
            data[0], U32.unpack_from(data, 1)[0] if len(data) >= 5 else 0
        )
    made, readers, names = found
    reader = Reader(data, 1)
    values = [read(reader, name) for read, name in zip(readers, names)]
    reader.end()
    return made(*values)


def encode(packet: Packet) -> bytes:
    """The bytes of a packet with the length before them."""
    body = b"".join(
        [write(getattr(packet, name)) for name, write in PACKERS[packet.kind]]
    )
    return U32.pack(len(body) + 1) + bytes((packet.kind,)) + body


def with_id(packet: Packet, id: int) -> Packet:
    """The same packet under another id."""
    if packet.id == id:  # type: ignore[union-attr]
        return packet
    return type(packet)(id, *[getattr(packet, name) for name in REST_OF[type(packet)]])
