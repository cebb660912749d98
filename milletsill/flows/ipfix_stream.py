"""Splits a sequence of IPFIX messages: a TCP connection, or a file (RFC 5655)."""

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
        """Yield the complete messages.

        Raises:
            MalformedFlowMessageError: A message header is malformed; the rest of the
                stream cannot be decoded.
        """
        self.buffer += octets
        while len(self.buffer) >= SET_HEADER.size:
            version, length = SET_HEADER.unpack_from(self.buffer)
            if version != VERSION or length < MESSAGE_HEADER.size:
                raise MalformedFlowMessageError(
                    f"message header with version {version}, length {length}: expected "
                    f"version {VERSION} and at least {MESSAGE_HEADER.size}"
                )
            if len(self.buffer) < length:
                return
            message = bytes(self.buffer[:length])
            del self.buffer[:length]
            yield message
