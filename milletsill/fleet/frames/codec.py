"""Octets to messages and back; fleet.proto has the format.

This is the one place where the words of the wire (run, turn, standing, what) and those
of the program (incarnation, refutation, state, type) both stand. Octets that make no
sense raise an error of a type of its own and lose nothing else.
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
LEAST_READER_VERSION = 1  # readers of this version on can make sense of our frames

# Octets.
MAX_DATAGRAM = 1400
MAX_FRAME = 1 << 20
MAX_BODY = MAX_FRAME - 4096

MAX_UPDATES_PER_FRAME = 2000
MAX_NAME_LENGTH = 64  # characters
MAX_ADDRESS_LENGTH = 80  # characters
MAX_SUSPECTED_BY = 3  # names
# Of incarnations, refutations and ages: one more than it still fits in a frame.
MAX_COUNTER = 1 << 62
MAX_PORT = 65_535

# Octets that an update takes at most beside its strings, with its own head.
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
        fleet: The fleet's name; frames of another are refused.
        version: Another than this program's only where a test plays a later one.
    """

    def __init__(self, fleet: str, version: int = VERSION) -> None:
        self.fleet = fleet
        self.version = version

    def encode(self, message: FleetMessage) -> bytes:
        """Return a frame's octets; the caller checks a datagram's length.

        Raises:
            FrameTooLongError: The frame is over MAX_FRAME.
        """
        frame = fleet_pb2.Frame(
            version=self.version,
            least=LEAST_READER_VERSION,
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
        """Return the message in a frame's octets.

        Raises:
            FrameTooLongError: The frame is over MAX_FRAME.
            MalformedFrameError: The octets are no frame.
            FleetNameMismatchError: The frame is of another fleet.
            FrameVersionTooNewError: Only a later version can read the frame.
        """
        frame = self._parse(data)
        sender = decode_update(frame.sender)
        if sender is None or not sender.address:
            raise MalformedFrameError("a frame without a sender")
        target_valid = is_valid_name(frame.target or "-")
        address_valid = not frame.address or is_valid_address(frame.address)
        if not target_valid or not address_valid:
            raise MalformedFrameError(
                "a frame for a name or address that cannot be one"
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
            raise MalformedFrameError("octets that do not begin as a frame does")
        try:
            frame = fleet_pb2.Frame.FromString(data[len(MAGIC) :])
        except DecodeError as error:
            raise MalformedFrameError("a frame that is no protobuf of ours") from error
        if frame.fleet != self.fleet:
            raise FleetNameMismatchError(
                f"a frame of fleet {frame.fleet[:MAX_NAME_LENGTH]!r}",
                f"fleet {self.fleet!r}",
            )
        if frame.least > self.version:
            raise FrameVersionTooNewError(
                f"a frame of version {frame.version} for {frame.least} and later",
                f"version {self.version}",
            )
        return frame


def check_frame_length(length: int) -> None:
    """Raise FrameTooLongError for more octets than a frame may have."""
    if length > MAX_FRAME:
        raise FrameTooLongError(f"a frame of {length} octets, {MAX_FRAME} at most")


def encode_update(update: MemberUpdate) -> fleet_pb2.Row:
    """Return the protobuf message of an update."""
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
    """Return the update in a row, or None for one that cannot be one.

    None also for a state that only a later version has: the rest of the frame counts.
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
    """Return whether it can be a name.

    Protobuf hands over bytes where a string is not UTF-8.
    """
    return (
        isinstance(text, str)
        and 0 < len(text) <= MAX_NAME_LENGTH
        and text.isprintable()
        and " " not in text
    )


def is_valid_address(text: object) -> bool:
    """Return whether it can be a host:port."""
    if not isinstance(text, str) or len(text) > MAX_ADDRESS_LENGTH:
        return False
    host, _, port = text.rpartition(":")
    return (
        bool(host) and port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT
    )


def max_update_length(update: MemberUpdate) -> int:
    """Return the octets that an update takes at most in a frame."""
    return (
        UPDATE_OVERHEAD
        + len(update.name.encode())
        + len(update.address)
        + sum(
            SUSPECTED_BY_OVERHEAD + len(each.encode()) for each in update.suspected_by
        )
    )


def room_for_updates(fleet: str, sender: MemberUpdate) -> int:
    """Return the octets of a datagram left for updates, beside the longest head."""
    longest_target = MAX_OCTETS_PER_CHARACTER * MAX_NAME_LENGTH + MAX_ADDRESS_LENGTH
    head = FRAME_OVERHEAD + len(fleet.encode()) + max_update_length(sender)
    return MAX_DATAGRAM - (head + longest_target)
