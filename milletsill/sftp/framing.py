"""Cuts a stream of bytes into packets: bytes in, packet bodies out, bounded.

A packet is a uint32 length and that many bytes. A length of 0 or past the bound cannot be skipped, so it breaks the
stream for good: `BrokenStream`.
"""

from __future__ import annotations

from milletsill.sftp.wire import U32, MalformedPacket


class BrokenPacketStream(MalformedPacket):
    """A stream whose next length is 0 or past its bound: it cannot be read any further."""

    remedy = "see whether the peer speaks this protocol at all, or whether `most_packet` differs between the two sides"


class Deframer:
    """Holds at most one packet of `most` bytes and what one read of the transport brought."""

    def __init__(self, most: int) -> None:
        self.most, self.held, self.at = most, bytearray(), 0

    def feed(self, data: bytes) -> None:
        """More bytes of the stream."""
        if self.at:
            del self.held[: self.at]
            self.at = 0
        self.held += data

    def next(self) -> bytes | None:
        """The next packet's bytes behind its length, or None until more has come."""
        left = len(self.held) - self.at
        if left < 4:
            return None
        size = U32.unpack_from(self.held, self.at)[0]
        if not 1 <= size <= self.most:
            raise BrokenPacketStream(
                f"a packet of {size} bytes, 1 to {self.most} are taken"
            )
        if left < 4 + size:
            return None
        start = self.at + 4
        self.at = start + size
        return bytes(self.held[start : self.at])

    def waiting(self) -> int:
        """Bytes held that are not yet handed out."""
        return len(self.held) - self.at
