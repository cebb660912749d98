"""Encode and decode the frames of the planner's protocol.

A frame is a big-endian u32 length followed by one protobuf `Frame`.
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
    """Bytes on a connection between a gateway and its planner are not a valid frame."""

    remedy = (
        "check that planner.address is the address of a planner, "
        "and that gateway and planner run compatible versions"
    )


class FrameParser:
    """Splits a byte stream into frames; buffers at most one incomplete frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete so far.

        Raises:
            MalformedPlannerFrameError: A frame is too long or cannot be decoded.
        """
        self._buffer += data
        position = 0
        while len(self._buffer) - position >= LENGTH.size:
            size = LENGTH.unpack_from(self._buffer, position)[0]
            if size > MAX_FRAME_BYTES:
                raise MalformedPlannerFrameError(
                    f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}"
                )
            if len(self._buffer) - position - LENGTH.size < size:
                break
            position += LENGTH.size
            yield decode_frame(bytes(self._buffer[position : position + size]))
            position += size
        del self._buffer[:position]


def decode_frame(data: bytes) -> Frame:
    """Parse a frame without its length prefix.

    Raises:
        MalformedPlannerFrameError: The data is not a `Frame`, or has no known content.
    """
    try:
        frame = Frame.FromString(data)
    except DecodeError as error:
        raise MalformedPlannerFrameError(
            "frame is not a protobuf message of type Frame"
        ) from error
    if frame.WhichOneof("what") is None or not frame.IsInitialized():
        raise MalformedPlannerFrameError(
            "frame has no known content or lacks required fields"
        )
    return frame


def encode_frame(**what: Any) -> bytes:
    """Return one frame with its length, e.g. `encode_frame(welcome=Welcome(...))`."""
    data = Frame(**what).SerializeToString()
    return LENGTH.pack(len(data)) + data


def encode_request(request: QuotaRequest, rate: float = 0.0) -> Wish:
    """Return the message for a request.

    Args:
        request: The request to encode.
        rate: The wanted rate in units per second; informational, the planner does not
            use it.
    """
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
    """Return the request in a message from a gateway's connection.

    Raises:
        MalformedPlannerFrameError: The message names an unknown kind of quota.
    """
    kind = KIND_BY_NAME.get(message.what)
    if kind is None:
        raise MalformedPlannerFrameError(
            f"request for quota kind {message.what[:20]!r}, "
            f"expected one of {', '.join(KIND_BY_NAME)}"
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
    """Return the grant in a message.

    Raises:
        MalformedPlannerFrameError: The message names an unknown kind of quota.
    """
    kind = KIND_BY_NAME.get(message.what)
    if kind is None:
        raise MalformedPlannerFrameError(
            f"grant of quota kind {message.what[:20]!r}, "
            f"expected one of {', '.join(KIND_BY_NAME)}"
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
