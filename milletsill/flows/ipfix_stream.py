"""IPFIX messages one behind the other: in a TCP connection, or in a file (RFC 5655)."""

from __future__ import annotations

from collections.abc import Iterator

from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.field_encoding import SET_HEADER
from milletsill.flows.ipfix_encoder import MESSAGE_HEADER, VERSION


class IpfixMessageSplitter:
    """Splits a stream of octets into messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, octets: bytes) -> Iterator[bytes]:
        """Yields the messages that are complete.

        Raises:
            MalformedFlowMessageError: The octets begin no message; the stream cannot be
                read any further.
        """
        self.buffer += octets
        while len(self.buffer) >= SET_HEADER.size:
            version, length = SET_HEADER.unpack_from(self.buffer)
            if version != VERSION or length < MESSAGE_HEADER.size:
                raise MalformedFlowMessageError(
                    f"version {version} and a length of {length} begin no message"
                )
            if len(self.buffer) < length:
                return
            message = bytes(self.buffer[:length])
            del self.buffer[:length]
            yield message
