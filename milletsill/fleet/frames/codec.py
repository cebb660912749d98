"""Encodes messages as frames and decodes them; fleet.proto defines the format.

This is the only module that maps the field names on the wire (run, turn, standing,
what) to the names in the program (incarnation, refutation, state, type). Malformed
input raises a specific error and affects no other frame.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from milletsill.fleet.errors import (
    FleetNameMismatchError,
    FrameTooLongError,
    FrameVersionTooNewError,
    MalformedFrameError,
)
from milletsill.fleet.frames import fleet_pb2
from milletsill.fleet.frames.messages import (
    VERSION,
    FleetMessage,
    FrameType,
    MemberUpdate,
)
from milletsill.fleet.transport import MemberState, MessageKind

MAGIC = b"mslf"
MIN_READER_VERSION = 1  # the oldest version that can decode the frames encoded here

# Maximum lengths in octets.
MAX_DATAGRAM = 1400
MAX_FRAME = 1 << 20
MAX_BODY = MAX_FRAME - 4096

MAX_UPDATES_PER_FRAME = 2000
MAX_NAME_LENGTH = 64  # characters
MAX_ADDRESS_LENGTH = 80  # characters
MAX_SUSPECTED_BY = 3  # names
# Exclusive upper bound of incarnations, refutations and ages: a gateway may answer a
# counter with the counter plus one, which must still fit in a frame.
MAX_COUNTER = 1 << 62
MAX_PORT = 65_535

# Maximum octets of an encoded update without its strings, including its own header.
UPDATE_OVERHEAD = 42
SUSPECTED_BY_OVERHEAD = 2
FRAME_OVERHEAD = 64
MAX_OCTETS_PER_CHARACTER = 4

_FRAME_TYPES = {each.value: each for each in FrameType}
_MESSAGE_KINDS = {each.value: each for each in MessageKind}
_MEMBER_STATES = {each.value: each for each in MemberState}


class FrameCodec:
    """Encodes and decodes the frames of one fleet.

    Args:
        fleet: The fleet's name; frames of another fleet are refused.
        version: The protocol version; only tests pass one that differs from VERSION.
    """

    def __init__(self, fleet: str, version: int = VERSION) -> None:
        self.fleet = fleet
        self.version = version

    def encode(self, message: FleetMessage) -> bytes:
        """Return the encoded frame; the caller checks the length of a datagram.

        Raises:
            FrameTooLongError: The frame is longer than MAX_FRAME.
        """
        frame = fleet_pb2.Frame(
            version=self.version,
            least=MIN_READER_VERSION,
            fleet=self.fleet,
            sender=encode_update(message.sender),
        )
        if message.type is not None:
            frame.what = message.type.value
        if message.probe_number:
            frame.number = message.probe_number
        if message.target:
            frame.target = message.target
        if message.target_address:
            frame.address = message.target_address
        if message.digest:
            frame.digest = message.digest
        if message.kind is not None:
            frame.kind = message.kind.value
            frame.body = message.body
        if message.reply_wanted:
            frame.answer = True
        frame.row.extend(map(encode_update, message.updates))
        data = MAGIC + frame.SerializeToString()
        check_frame_length(len(data))
        return data

    def decode(self, data: bytes) -> FleetMessage:
        """Return the message that a frame encodes.

        Raises:
            FrameTooLongError: The frame is longer than MAX_FRAME.
            MalformedFrameError: The data is not a valid frame.
            FleetNameMismatchError: The frame belongs to another fleet.
            FrameVersionTooNewError: Only a later version can decode the frame.
        """
        frame = self._parse(data)
        sender = decode_update(frame.sender)
        if sender is None or not sender.address:
            raise MalformedFrameError(
                "expected a frame with a valid sender and its address, found none"
            )
        target_valid = is_valid_name(frame.target or "-")
        address_valid = not frame.address or is_valid_address(frame.address)
        if not target_valid or not address_valid:
            raise MalformedFrameError(
                "expected a valid target name and target address in the frame, found "
                f"{frame.target[:MAX_NAME_LENGTH]!r} and "
                f"{frame.address[:MAX_ADDRESS_LENGTH]!r}"
            )
        updates = (decode_update(row) for row in frame.row[:MAX_UPDATES_PER_FRAME])
        return FleetMessage(
            type=_FRAME_TYPES.get(frame.what),
            sender=sender,
            updates=tuple(each for each in updates if each is not None),
            probe_number=frame.number,
            target=frame.target,
            target_address=frame.address,
            digest=frame.digest,
            kind=_MESSAGE_KINDS.get(frame.kind),
            body=frame.body,
            reply_wanted=frame.answer,
            version=frame.version,
        )

    def _parse(self, data: bytes) -> fleet_pb2.Frame:
        check_frame_length(len(data))
        if data[: len(MAGIC)] != MAGIC:
            raise MalformedFrameError(
                f"expected a frame that begins with {MAGIC!r}, found "
                f"{data[: len(MAGIC)]!r}"
            )
        try:
            frame = fleet_pb2.Frame.FromString(data[len(MAGIC) :])
        except DecodeError as error:
            raise MalformedFrameError(
                "expected a protobuf Frame message after the magic octets, found "
                f"{len(data) - len(MAGIC)} octets that do not decode as one"
            ) from error
        if frame.fleet != self.fleet:
            raise FleetNameMismatchError(
                f"received a frame of fleet {frame.fleet[:MAX_NAME_LENGTH]!r}",
                f"fleet {self.fleet!r}",
            )
        if frame.least > self.version:
            raise FrameVersionTooNewError(
                f"received a frame of version {frame.version}, which only version "
                f"{frame.least} and later can decode",
                f"version {self.version}",
            )
        return frame


def check_frame_length(length: int) -> None:
    """Raise FrameTooLongError if a length in octets is over MAX_FRAME."""
    if length > MAX_FRAME:
        raise FrameTooLongError(
            f"a frame has {length} octets; the maximum is {MAX_FRAME}"
        )


def encode_update(update: MemberUpdate) -> fleet_pb2.Row:
    """Return an update as a protobuf message."""
    row = fleet_pb2.Row(
        name=update.name,
        run=update.incarnation,
        nonce=update.nonce,
        standing=update.state.value,
        by=update.suspected_by,
    )
    if update.refutation:
        row.turn = update.refutation
    if update.address:
        row.address = update.address
    if update.age:
        row.age = update.age
    return row


def decode_update(row: fleet_pb2.Row) -> MemberUpdate | None:
    """Return the update that a row encodes, or None for an invalid row.

    A state that only a later version defines also gives None, so that the rest of the
    frame can still be used.
    """
    state = _MEMBER_STATES.get(row.standing)
    if max(row.run, row.turn, row.age) >= MAX_COUNTER:
        return None
    if state is None or not is_valid_name(row.name):
        return None
    if row.address and not is_valid_address(row.address):
        return None
    return MemberUpdate(
        name=row.name,
        incarnation=row.run,
        nonce=row.nonce,
        refutation=row.turn,
        state=state,
        address=row.address,
        age=row.age,
        suspected_by=tuple(
            each for each in row.by[:MAX_SUSPECTED_BY] if is_valid_name(each)
        ),
    )


def is_valid_name(text: object) -> bool:
    """Return whether a value is a valid name.

    Protobuf returns bytes for a string field that is not valid UTF-8.
    """
    return (
        isinstance(text, str)
        and 0 < len(text) <= MAX_NAME_LENGTH
        and text.isprintable()
        and " " not in text
    )


def is_valid_address(text: object) -> bool:
    """Return whether a value is a valid host:port address."""
    if not isinstance(text, str) or len(text) > MAX_ADDRESS_LENGTH:
        return False
    host, _, port = text.rpartition(":")
    return (
        bool(host) and port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT
    )


def max_update_length(update: MemberUpdate) -> int:
    """Return the maximum number of octets that an update takes in a frame."""
    return (
        UPDATE_OVERHEAD
        + len(update.name.encode())
        + len(update.address)
        + sum(
            SUSPECTED_BY_OVERHEAD + len(each.encode()) for each in update.suspected_by
        )
    )


def octets_for_updates(fleet: str, sender: MemberUpdate) -> int:
    """Return the octets left for updates in a datagram with the longest header."""
    max_target_length = MAX_OCTETS_PER_CHARACTER * MAX_NAME_LENGTH + MAX_ADDRESS_LENGTH
    header_length = FRAME_OVERHEAD + len(fleet.encode()) + max_update_length(sender)
    return MAX_DATAGRAM - (header_length + max_target_length)
