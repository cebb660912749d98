"""Splits a stream of bytes into packets of bounded size.

A packet is a uint32 length and that many bytes. The reader cannot resynchronise after a
length of 0 or above the limit, so such a length ends the stream with
`BrokenPacketStreamError`.
"""

from __future__ import annotations

from milletsill.sftp.wire import U32, MalformedPacketError

LENGTH_SIZE = 4  # octets


class BrokenPacketStreamError(MalformedPacketError):
    """The next packet length of a stream is 0 or above the limit.

    The stream cannot be read any further.
    """

    remedy = (
        "check that the peer speaks this protocol, and that `most_packet` is the same "
        "on both sides"
    )


class PacketSplitter:
    """Buffers received bytes and returns the packets in them.

    The buffer holds at most one incomplete packet of up to `max_packet` bytes and the
    bytes of one read.
    """

    def __init__(self, max_packet: int) -> None:
        self.max_packet = max_packet
        self._buffer = bytearray()
        self._position = 0

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def next(self) -> bytes | None:
        """Return the next packet without its length field, None if it is incomplete.

        Raise `BrokenPacketStreamError` for a length of 0 or above `max_packet`.
        """
        buffered = len(self._buffer) - self._position
        if buffered < LENGTH_SIZE:
            return None
        size = U32.unpack_from(self._buffer, self._position)[0]
        if not 1 <= size <= self.max_packet:
            raise BrokenPacketStreamError(
                f"a packet length of {size} bytes is not from 1 to {self.max_packet}"
            )
        if buffered < LENGTH_SIZE + size:
            return None
        start = self._position + LENGTH_SIZE
        self._position = start + size
        return bytes(self._buffer[start : self._position])

    def buffered_bytes(self) -> int:
        """Return how many received bytes have not been returned in a packet."""
        return len(self._buffer) - self._position
