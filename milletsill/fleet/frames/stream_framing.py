"""Frames on a TCP stream: each follows its length in four octets, big-endian."""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct

from milletsill.fleet.frames.codec import check_frame_length

LENGTH_PREFIX = Struct(">I")


def add_length_prefix(data: bytes) -> bytes:
    """Return an encoded frame with its length prefix, as a stream carries it."""
    return LENGTH_PREFIX.pack(len(data)) + data


class FrameDecoder:
    """Splits the octets of a stream into frames.

    The buffer holds at most one incomplete frame and the data received with it.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received data and yield the frames that are now complete.

        Raises:
            FrameTooLongError: A length prefix is over MAX_FRAME.
        """
        self._buffer += data
        position = 0
        while len(self._buffer) - position >= LENGTH_PREFIX.size:
            length = LENGTH_PREFIX.unpack_from(self._buffer, position)[0]
            check_frame_length(length)
            start = position + LENGTH_PREFIX.size
            if len(self._buffer) - start < length:
                break
            yield bytes(self._buffer[start : start + length])
            position = start + length
        del self._buffer[:position]
