"""Octets to words and back. What makes no sense is an error of a type of its own and loses nothing else."""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Any

from google.protobuf.message import DecodeError

from milletsill.errors import MilletsillError
from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.messages import (
    VERSION,
    FleetMessage,
    MemberUpdate,
    FrameType,
)
from milletsill.fleet.transport import MessageKind, MemberState

MAGIC = b"mslf"
LENGTH = Struct(">I")
MOST_DATAGRAM, MOST_FRAME = 1400, 1 << 20  # octets
MOST_BODY, ROWS_A_FRAME = MOST_FRAME - 4096, 2000
MOST_NAME, MOST_ADDRESS, MOST_BY = 64, 80, 3
MOST_NUMBER = 1 << 62  # of runs, turns and ages: one more of it still goes into a frame
KNOWN_WHATS = {each.value: each for each in FrameType}
KNOWN_KINDS = {each.value: each for each in MessageKind}
KNOWN_STANDINGS = {each.value: each for each in MemberState}


class MalformedFrame(MilletsillError):
    """Octets that are no frame of a gateway."""

    remedy = "see what else sends to the fleet's address; a gateway sends nothing of the kind"


class FrameTooLong(MalformedFrame):
    """A frame over its bound."""

    remedy = "shorten names, or see what else sends to the fleet's address"


class FleetNameMismatch(MilletsillError):
    """A frame of a fleet with another name."""

    remedy = "if both are one fleet, give `fleet.name` the same value in all files; else take the address out of `fleet.join`"


class FrameVersionTooNew(MilletsillError):
    """A frame that a later version says this one cannot make sense of."""

    remedy = "bring this gateway to the version of the others; until then it does not hear those"


class Codec:
    """Frames of one fleet. `version` is another only where a test plays a later one."""

    def __init__(self, fleet: str, version: int = VERSION) -> None:
        self.fleet, self.version = fleet, version

    def encode(self, message: FleetMessage) -> bytes:
        """Raises TooLong past a MiB; whoever sends datagrams looks at the length."""
        frame = fleet_pb2.Frame(
            version=self.version,
            least=1,
            fleet=self.fleet,
            sender=put_row(message.sender),
        )
        if message.type is not None:
            frame.what = message.type.value
        if message.number:
            frame.number = message.number
        if message.target:
            frame.target = message.target
        if message.address:
            frame.address = message.address
        if message.digest:
            frame.digest = message.digest
        if message.kind is not None:
            frame.kind, frame.body = message.kind.value, message.body
        if message.answer:
            frame.answer = True
        frame.row.extend(map(put_row, message.updates))
        data = MAGIC + frame.SerializeToString()
        if len(data) > MOST_FRAME:
            raise FrameTooLong(f"a frame of {len(data)} octets, {MOST_FRAME} at most")
        return data

    def decode(self, data: bytes) -> FleetMessage:
        """Raises Unreadable, OtherFleet or TooNew."""
        if len(data) > MOST_FRAME:
            raise FrameTooLong(f"a frame of {len(data)} octets, {MOST_FRAME} at most")
        if data[:4] != MAGIC:
            raise MalformedFrame("octets that do not begin as a frame does")
        try:
            frame = fleet_pb2.Frame.FromString(data[4:])
        except DecodeError:
            raise MalformedFrame("a frame that is no protobuf of ours") from None
        if frame.fleet != self.fleet:
            raise FleetNameMismatch(
                f"a frame of fleet {frame.fleet[:MOST_NAME]!r}", f"fleet {self.fleet!r}"
            )
        if frame.least > self.version:
            raise FrameVersionTooNew(
                f"a frame of version {frame.version} for {frame.least} and later",
                f"version {self.version}",
            )
        sender = get_row(frame.sender)
        if sender is None or not sender.address:
            raise MalformedFrame("a frame without a sender")
        if not named(frame.target or "-") or (
            frame.address and not addressed(frame.address)
        ):
            raise MalformedFrame("a frame for a name or address that cannot be one")
        rows = tuple(
            row
            for each in frame.row[:ROWS_A_FRAME]
            if (row := get_row(each)) is not None
        )
        return FleetMessage(
            KNOWN_WHATS.get(frame.what),
            sender,
            rows,
            frame.number,
            frame.target,
            frame.address,
            frame.digest,
            KNOWN_KINDS.get(frame.kind),
            frame.body,
            frame.answer,
            frame.version,
        )


def put_row(row: MemberUpdate) -> Any:
    made = fleet_pb2.Row(
        name=row.name,
        run=row.incarnation,
        nonce=row.nonce,
        standing=row.state.value,
        by=row.suspected_by,
    )
    if row.refutation:
        made.turn = row.refutation
    if row.address:
        made.address = row.address
    if row.age:
        made.age = row.age
    return made


def get_row(row: Any) -> MemberUpdate | None:
    """None for a row that cannot be one, or with a standing that only a later version has: the rest of the frame stands."""
    standing = KNOWN_STANDINGS.get(row.standing)
    if max(row.run, row.turn, row.age) >= MOST_NUMBER:
        return None
    if (
        standing is None
        or not named(row.name)
        or (row.address and not addressed(row.address))
    ):
        return None
    return MemberUpdate(
        row.name,
        row.run,
        row.nonce,
        row.turn,
        standing,
        row.address,
        row.age,
        tuple(each for each in row.by[:MOST_BY] if named(each)),
    )


def named(text: str) -> bool:
    """Whether it can be a name; protobuf hands over bytes where a string is not UTF-8."""
    return (
        isinstance(text, str)
        and 0 < len(text) <= MOST_NAME
        and text.isprintable()
        and " " not in text
    )


def addressed(text: str) -> bool:
    if not isinstance(text, str):
        return False
    host, _, port = text.rpartition(":")
    return (
        bool(host)
        and len(text) <= MOST_ADDRESS
        and port.isascii()
        and port.isdecimal()
        and 0 < int(port) < 65_536
    )


def row_room(row: MemberUpdate) -> int:
    """Octets that a row takes at most, its head in the frame with it."""
    return (
        42
        + len(row.name.encode())
        + len(row.address)
        + sum(2 + len(each.encode()) for each in row.suspected_by)
    )


def head_room(fleet: str, sender: MemberUpdate) -> int:
    """Octets of a datagram that are left for rows, with the longest target and address in it."""
    return MOST_DATAGRAM - (
        64 + len(fleet.encode()) + row_room(sender) + 4 * MOST_NAME + MOST_ADDRESS
    )


class Frames:
    """Octets of a connection as frames; never holds more than one frame and what came with it."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The frames that are whole now; raises TooLong."""
        self.held += data
        at = 0
        while len(self.held) - at >= LENGTH.size:
            size = LENGTH.unpack_from(self.held, at)[0]
            if size > MOST_FRAME:
                raise FrameTooLong(f"a frame of {size} octets, {MOST_FRAME} at most")
            if len(self.held) - at - LENGTH.size < size:
                break
            at += LENGTH.size
            yield bytes(self.held[at : at + size])
            at += size
        del self.held[:at]


def framed(data: bytes) -> bytes:
    """As it goes over TCP."""
    return LENGTH.pack(len(data)) + data
