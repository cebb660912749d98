"""Fields of SFTP version 3 packets: draft-ietf-secsh-filexfer-02, sections 3 to 5.

The module does not depend on a transport. `PacketReader` never reads past the end of
its packet; it raises `MalformedPacketError` with a message of one line that names the
field that is too short or invalid.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from milletsill.errors import MalformedInputError

U32 = struct.Struct(">I")
U64 = struct.Struct(">Q")
UNPACK_U32_FROM = U32.unpack_from
# Flags of file attributes, section 5.
ATTR_SIZE = 1
ATTR_OWNER = 2
ATTR_MODE = 4
ATTR_TIMES = 8
ATTR_EXTENDED = 0x80000000
MAX_EXTENDED_ATTRIBUTES = 16
MAX_DIRECTORY_ENTRIES = 4096  # in one packet


class MalformedPacketError(MalformedInputError):
    """Octets do not form a packet of SFTP version 3 or of the project's extensions."""

    remedy = (
        "find the client or node that sends them and bring it to a version that is "
        "compatible with this one; only this peer is disconnected or gets an error"
    )


@dataclass(frozen=True, slots=True)
class FileAttributes:
    """File attributes; a field that is not given is None.

    Times are in whole seconds, as on the wire.
    """

    size: int | None = None
    uid: int | None = None
    gid: int | None = None
    mode: int | None = None
    atime: int | None = None
    mtime: int | None = None


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One entry of a directory listing."""

    filename: str
    longname: str
    attrs: FileAttributes


def bytes_to_text(data: bytes) -> str:
    """Decode UTF-8; `text_to_bytes` restores bytes that are not valid UTF-8."""
    return data.decode("utf-8", "surrogateescape")


def text_to_bytes(text: str) -> bytes:
    """Encode as UTF-8, the inverse of `bytes_to_text`."""
    return text.encode("utf-8", "surrogateescape")


class PacketReader:
    """Reads the fields of one packet in order.

    The `what` of each method names the field in error messages. The methods raise
    `MalformedPacketError` for a field that is longer than the rest of the packet.
    """

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data = data
        self.at = at

    def take(self, size: int, what: str) -> bytes:
        """Read `size` bytes."""
        end = self.at + size
        if end > len(self.data):
            raise MalformedPacketError(
                f"{what} needs {size} bytes, but {len(self.data) - self.at} are left "
                "in the packet"
            )
        data, self.at = self.data[self.at : end], end
        return data

    def u8(self, what: str = "a byte") -> int:
        """Read one byte."""
        return self.take(1, what)[0]

    def u32(self, what: str = "a uint32") -> int:
        """Read a uint32."""
        at = self.at
        self.at = at + 4
        try:
            number: int = UNPACK_U32_FROM(self.data, at)[0]
        except struct.error:
            self.at = at
            raise MalformedPacketError(
                f"{what} needs 4 bytes, but {len(self.data) - at} are left "
                "in the packet"
            ) from None
        return number

    def u64(self, what: str = "a uint64") -> int:
        """Read a uint64."""
        number: int = U64.unpack(self.take(8, what))[0]
        return number

    def raw(self, what: str = "a string") -> bytes:
        """Read a length-prefixed string of bytes."""
        size = self.u32(what)
        at, data = self.at, self.data
        if size > len(data) - at:
            raise MalformedPacketError(
                f"{what} needs {size} bytes, but {len(data) - at} are left "
                "in the packet"
            )
        self.at = at + size
        return data[at : at + size]

    def text(self, what: str = "a text") -> str:
        """Read a length-prefixed string as text."""
        return bytes_to_text(self.raw(what))

    def attrs(self, what: str = "attributes") -> FileAttributes:
        """Read file attributes; extended attributes are skipped."""
        flags = self.u32(what)
        size = uid = gid = mode = atime = mtime = None
        if flags & ATTR_SIZE:
            size = self.u64("a size")
        if flags & ATTR_OWNER:
            uid = self.u32("an owner")
            gid = self.u32("a group")
        if flags & ATTR_MODE:
            mode = self.u32("a mode")
        if flags & ATTR_TIMES:
            atime = self.u32("an access time")
            mtime = self.u32("a modification time")
        if flags & ATTR_EXTENDED:
            count = self.u32("a count of extended attributes")
            if count > MAX_EXTENDED_ATTRIBUTES:
                raise MalformedPacketError(
                    f"{count} extended attributes are more than "
                    f"{MAX_EXTENDED_ATTRIBUTES}"
                )
            for _ in range(2 * count):
                self.raw("an extended attribute")
        return FileAttributes(size, uid, gid, mode, atime, mtime)

    def names(self, what: str = "names") -> tuple[DirectoryEntry, ...]:
        """Read the entries of a directory."""
        count = self.u32(what)
        if count > MAX_DIRECTORY_ENTRIES:
            raise MalformedPacketError(
                f"{count} directory entries are more than {MAX_DIRECTORY_ENTRIES}"
            )
        return tuple(
            DirectoryEntry(
                self.text("a file name"), self.text("a long name"), self.attrs()
            )
            for _ in range(count)
        )

    def rest(self, what: str = "") -> bytes:
        """Read the rest of the packet."""
        data, self.at = self.data[self.at :], len(self.data)
        return data

    def end(self) -> None:
        """Raise `MalformedPacketError` if the packet has unread bytes."""
        if self.at != len(self.data):
            raise MalformedPacketError(
                f"{len(self.data) - self.at} bytes follow the last field of a packet"
            )


def encode_bytes(data: bytes) -> bytes:
    """Encode a string of bytes with its length before it."""
    return U32.pack(len(data)) + data


def encode_text(text: str) -> bytes:
    """Encode a text with the length of its bytes before it."""
    return encode_bytes(text_to_bytes(text))


def encode_attributes(attrs: FileAttributes) -> bytes:
    """Encode the file attributes that are not None."""
    flags = 0
    body = b""
    if attrs.size is not None:
        flags |= ATTR_SIZE
        body += U64.pack(attrs.size)
    if attrs.uid is not None:
        flags |= ATTR_OWNER
        body += U32.pack(attrs.uid) + U32.pack(attrs.gid or 0)
    if attrs.mode is not None:
        flags |= ATTR_MODE
        body += U32.pack(attrs.mode)
    if attrs.mtime is not None:
        flags |= ATTR_TIMES
        body += U32.pack(attrs.atime or 0) + U32.pack(attrs.mtime)
    return U32.pack(flags) + body


def encode_entries(names: tuple[DirectoryEntry, ...]) -> bytes:
    """Encode the entries of a directory."""
    return U32.pack(len(names)) + b"".join(
        encode_text(each.filename)
        + encode_text(each.longname)
        + encode_attributes(each.attrs)
        for each in names
    )


FieldReader = Callable[[PacketReader, str], Any]
FieldWriter = Callable[[Any], bytes]
READERS: dict[str, FieldReader] = {
    "u32": PacketReader.u32,
    "u64": PacketReader.u64,
    "raw": PacketReader.raw,
    "text": PacketReader.text,
    "attrs": PacketReader.attrs,
    "names": PacketReader.names,
    "rest": PacketReader.rest,
}
WRITERS: dict[str, FieldWriter] = {
    "u32": U32.pack,
    "u64": U64.pack,
    "raw": encode_bytes,
    "text": encode_text,
    "attrs": encode_attributes,
    "names": encode_entries,
    "rest": bytes,
}
