"""Cuts a stream of bytes into packets: bytes in, packet bodies out, bounded.

A packet is a uint32 length and that many bytes. A length of 0 or past the bound cannot
be skipped, so it breaks the stream for good: `BrokenPacketStreamError`.
"""

from __future__ import annotations

from milletsill.sftp.wire import U32, MalformedPacketError

LENGTH_SIZE = 4  # octets


class BrokenPacketStreamError(MalformedPacketError):
    """A stream whose next length is 0 or past its bound.

    It cannot be read any further.
    """

    remedy = (
        "see whether the peer speaks this protocol at all, or whether `most_packet` "
        "differs between the two sides"
    )


class PacketSplitter:
    """Holds one packet of `max_packet` bytes at most, and what one read has brought."""

    def __init__(self, max_packet: int) -> None:
        self.max_packet = max_packet
        self._held = bytearray()
        self._at = 0

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        if self._at:
            del self._held[: self._at]
            self._at = 0
        self._held += data

    def next(self) -> bytes | None:
        """Return the next packet's bytes behind its length, None until all have come.

        Raise `BrokenPacketStreamError` for a length out of bounds.
        """
        left = len(self._held) - self._at
        if left < LENGTH_SIZE:
            return None
        size = U32.unpack_from(self._held, self._at)[0]
        if not 1 <= size <= self.max_packet:
            raise BrokenPacketStreamError(
                f"a packet of {size} bytes, 1 to {self.max_packet} are taken"
            )
        if left < LENGTH_SIZE + size:
            return None
        start = self._at + LENGTH_SIZE
        self._at = start + size
        return bytes(self._held[start : self._at])

    def waiting(self) -> int:
        """Return how many bytes are held that are not yet handed out."""
        return len(self._held) - self._at
