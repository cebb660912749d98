"""Fields of SFTP version 3 packets, to and from bytes (draft-ietf-secsh-filexfer-02, sections 3 to 5).

Nothing here knows a transport. `Reader` never reads past its packet and raises `BadPacket` with one line
that says what was short or wrong.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct
from struct import error as StructError

from milletsill.errors import MalformedInput

U32, U64 = Struct(">I"), Struct(">Q")
U32_FROM = U32.unpack_from
ATTR_SIZE, ATTR_OWNER, ATTR_MODE, ATTR_TIMES, ATTR_EXTENDED = 1, 2, 4, 8, 0x80000000
MOST_ATTR_PAIRS, MOST_NAMES = 16, 4096


class MalformedPacket(MalformedInput):
    """Octets that are no packet of SFTP version 3 or its extensions here."""

    remedy = "find the client or box that sends them and bring it to a version that goes with this one; it alone is cut or told"


@dataclass(frozen=True, slots=True)
class Attrs:
    """File attributes; None where a field is not given. Times are whole seconds, as on the wire."""

    size: int | None = None
    uid: int | None = None
    gid: int | None = None
    mode: int | None = None
    atime: int | None = None
    mtime: int | None = None


@dataclass(frozen=True, slots=True)
class Name:
    """One line of a directory."""

    filename: str
    longname: str
    attrs: Attrs


def text_of(data: bytes) -> str:
    """A path as text; bytes that are not UTF-8 come back as they were when it is written again."""
    return data.decode("utf-8", "surrogateescape")


def bytes_of(text: str) -> bytes:
    """The inverse of `text_of`."""
    return text.encode("utf-8", "surrogateescape")


class Reader:
    """Takes fields off one packet's bytes."""

    def __init__(self, data: bytes, at: int = 0) -> None:
        self.data, self.at = data, at

    def take(self, size: int, what: str) -> bytes:
        """That many bytes."""
        end = self.at + size
        if end > len(self.data):
            raise MalformedPacket(
                f"{what} needs {size} bytes, {len(self.data) - self.at} are left"
            )
        data, self.at = self.data[self.at : end], end
        return data

    def u8(self, what: str = "a byte") -> int:
        return self.take(1, what)[0]

    def u32(self, what: str = "a number") -> int:
        at = self.at
        self.at = at + 4
        try:
            return U32_FROM(self.data, at)[0]
        except StructError:
            self.at = at
            raise MalformedPacket(
                f"{what} needs 4 bytes, {len(self.data) - at} are left"
            ) from None

    def u64(self, what: str = "a long number") -> int:
        return U64.unpack(self.take(8, what))[0]

    def raw(self, what: str = "a string") -> bytes:
        size = self.u32(what)
        at, data = self.at, self.data
        if size > len(data) - at:
            raise MalformedPacket(
                f"{what} needs {size} bytes, {len(data) - at} are left"
            )
        self.at = at + size
        return data[at : at + size]

    def text(self, what: str = "a text") -> str:
        return text_of(self.raw(what))

    def attrs(self, what: str = "attributes") -> Attrs:
        flags = self.u32(what)
        size = self.u64("a size") if flags & ATTR_SIZE else None
        uid, gid = (
            (self.u32("an owner"), self.u32("a group"))
            if flags & ATTR_OWNER
            else (None, None)
        )
        mode = self.u32("a mode") if flags & ATTR_MODE else None
        atime, mtime = (
            (self.u32("a time"), self.u32("a time"))
            if flags & ATTR_TIMES
            else (None, None)
        )
        if flags & ATTR_EXTENDED:
            count = self.u32("a count of attributes")
            if count > MOST_ATTR_PAIRS:
                raise MalformedPacket(
                    f"{count} extended attributes, {MOST_ATTR_PAIRS} at most"
                )
            for _ in range(2 * count):
                self.raw("an extended attribute")
        return Attrs(size, uid, gid, mode, atime, mtime)

    def names(self, what: str = "names") -> tuple[Name, ...]:
        count = self.u32(what)
        if count > MOST_NAMES:
            raise MalformedPacket(f"{count} names, {MOST_NAMES} at most")
        return tuple(
            Name(self.text("a name"), self.text("a long name"), self.attrs())
            for _ in range(count)
        )

    def rest(self, what: str = "") -> bytes:
        data, self.at = self.data[self.at :], len(self.data)
        return data

    def end(self) -> None:
        """Nothing may be left."""
        if self.at != len(self.data):
            raise MalformedPacket(
                f"{len(self.data) - self.at} bytes left over at the end of a packet"
            )


def put_raw(data: bytes) -> bytes:
    """A counted string."""
    return U32.pack(len(data)) + data


def put_text(text: str) -> bytes:
    return put_raw(bytes_of(text))


def put_attrs(attrs: Attrs) -> bytes:
    flags, body = 0, b""
    if attrs.size is not None:
        flags, body = flags | ATTR_SIZE, body + U64.pack(attrs.size)
    if attrs.uid is not None:
        flags, body = (
            flags | ATTR_OWNER,
            body + U32.pack(attrs.uid) + U32.pack(attrs.gid or 0),
        )
    if attrs.mode is not None:
        flags, body = flags | ATTR_MODE, body + U32.pack(attrs.mode)
    if attrs.mtime is not None:
        flags, body = (
            flags | ATTR_TIMES,
            body + U32.pack(attrs.atime or 0) + U32.pack(attrs.mtime),
        )
    return U32.pack(flags) + body


def put_names(names: tuple[Name, ...]) -> bytes:
    return U32.pack(len(names)) + b"".join(
        put_text(each.filename) + put_text(each.longname) + put_attrs(each.attrs)
        for each in names
    )


READERS = {
    "u32": Reader.u32,
    "u64": Reader.u64,
    "raw": Reader.raw,
    "text": Reader.text,
    "attrs": Reader.attrs,
    "names": Reader.names,
    "rest": Reader.rest,
}
WRITERS = {
    "u32": U32.pack,
    "u64": U64.pack,
    "raw": put_raw,
    "text": put_text,
    "attrs": put_attrs,
    "names": put_names,
    "rest": bytes,
}
