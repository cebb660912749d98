"""Frames of the planner's protocol, to and from requests and grants.

A frame is a u32 length, big-endian, and one protobuf `Frame`.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Any

from google.protobuf.message import DecodeError

from milletsill.errors import MalformedInputError
from milletsill.interface import QuotaKind
from milletsill.planner.plan_pb2 import Frame, Given, Piece, Wish
from milletsill.planner.quota_terms import (
    QuotaGrant,
    QuotaKey,
    QuotaRequest,
    ReportedLoan,
)

PROTOCOL_VERSION = 1
LENGTH = Struct(">I")
MAX_FRAME_BYTES = 1 << 20
MAX_RATE_FIELD = (1 << 32) - 1
KIND_BY_NAME = {kind.value: kind for kind in QuotaKind}


class MalformedPlannerFrameError(MalformedInputError):
    """Octets between a gateway and its planner that are no frame."""

    remedy = (
        "see that planner.address leads to a planner, "
        "and that both run versions that go together"
    )


class FrameParser:
    """Octets of a connection as frames; holds no more than one incomplete frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete now.

        Raises:
            MalformedPlannerFrameError: A frame is too long, or none of this protocol.
        """
        self._buffer += data
        position = 0
        while len(self._buffer) - position >= LENGTH.size:
            size = LENGTH.unpack_from(self._buffer, position)[0]
            if size > MAX_FRAME_BYTES:
                raise MalformedPlannerFrameError(
                    f"a frame of {size} bytes, {MAX_FRAME_BYTES} at most"
                )
            if len(self._buffer) - position - LENGTH.size < size:
                break
            position += LENGTH.size
            yield decode_frame(bytes(self._buffer[position : position + size]))
            position += size
        del self._buffer[:position]


def decode_frame(data: bytes) -> Frame:
    """Parse a frame without its length.

    Raises:
        MalformedPlannerFrameError: It is no frame, or holds nothing that is known.
    """
    try:
        frame = Frame.FromString(data)
    except DecodeError as error:
        raise MalformedPlannerFrameError(
            "a frame that is no protobuf of ours"
        ) from error
    if frame.WhichOneof("what") is None or not frame.IsInitialized():
        raise MalformedPlannerFrameError("a frame with nothing in it that we know")
    return frame


def encode_frame(**what: Any) -> bytes:
    """Return one frame: `encode_frame(welcome=Welcome(...))`."""
    data = Frame(**what).SerializeToString()
    return LENGTH.pack(len(data)) + data


def encode_request(request: QuotaRequest, rate: float = 0.0) -> Wish:
    """Return the message for a request; `rate`, in units a second, is for people."""
    return Wish(
        epoch=request.epoch,
        what=request.key.kind.value,
        id=request.key.id,
        want=request.wanted,
        capital=request.even_share,
        lent=[
            Piece(part=loan.share, heard=loan.planner_time) for loan in request.loans
        ],
        sent=request.sent_at,
        asked=min(int(rate * 1000), MAX_RATE_FIELD),
    )


def decode_request(gateway: str, incarnation: int, message: Wish) -> QuotaRequest:
    """Return the request of a message on a gateway's connection.

    Raises:
        MalformedPlannerFrameError: It asks for something that is no quota.
    """
    kind = KIND_BY_NAME.get(message.what)
    if kind is None:
        raise MalformedPlannerFrameError(
            f"an ask for {message.what[:20]!r}, not one of {', '.join(KIND_BY_NAME)}"
        )
    return QuotaRequest(
        gateway,
        incarnation,
        message.epoch,
        QuotaKey(kind, message.id),
        message.want,
        message.capital,
        tuple(ReportedLoan(piece.part, piece.heard) for piece in message.lent),
        message.sent,
    )


def encode_grant(grant: QuotaGrant) -> Given:
    """Return the message for a grant."""
    return Given(
        epoch=grant.epoch,
        incarnation=grant.incarnation,
        what=grant.key.kind.value,
        id=grant.key.id,
        sequence=grant.sequence,
        granted=grant.granted,
        lasts=grant.duration,
        lend=grant.to_lend,
        asked=grant.requested_at,
        told=grant.planner_time,
        again=grant.ask_again_within,
    )


def decode_grant(message: Given) -> QuotaGrant:
    """Return the grant of a message.

    Raises:
        MalformedPlannerFrameError: It grants something that is no quota.
    """
    kind = KIND_BY_NAME.get(message.what)
    if kind is None:
        raise MalformedPlannerFrameError(
            f"a grant of {message.what[:20]!r}, not one of {', '.join(KIND_BY_NAME)}"
        )
    return QuotaGrant(
        message.epoch,
        message.incarnation,
        QuotaKey(kind, message.id),
        message.sequence,
        message.granted,
        message.lasts,
        message.lend,
        message.asked,
        message.told,
        message.again,
    )
