"""State of one HTTP/1.1 message while it is read, filled by httptools callbacks."""

from __future__ import annotations

import httptools

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


class HttpMessage:
    """One request or response.

    Attributes:
        method, target: method and target of a request; empty in a response.
        status: status code of a response; 0 in a request.
        fields: header fields by lower-case name; of a repeated field, the first value.
        repeated: names of header fields that occur more than once.
        body: the complete body, set once the reader has returned the message.
        head_size: octets of the head.
        keep_alive: whether the connection may carry another message.
        length: the body length in octets that the head states; for a chunked or
            close-delimited body, the octets received so far, chunk framing included.
        chunked: whether the body uses the chunked transfer coding.
        until_close: whether the close of the connection ends the body.
        parser: the parser, only while it reads the head. The parser refers to its
            message, so a message that kept it would be a reference cycle: refused and
            incomplete messages would hold their octets until a garbage collection.
    """

    __slots__ = (
        "body",
        "chunk_count",
        "chunk_line",
        "chunk_line_complete",
        "chunk_remaining",
        "chunked",
        "chunked_body",
        "complete",
        "fields",
        "head_complete",
        "head_size",
        "keep_alive",
        "length",
        "method",
        "parser",
        "repeated",
        "status",
        "target",
        "until_close",
    )

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.status = 0
        self.fields: dict[bytes, bytes] = {}
        self.repeated: set[bytes] = set()
        self.body = b""
        self.keep_alive = False
        self.length = 0
        self.chunked = False
        self.until_close = False
        self.parser: Parser | None = None
        self.head_complete = False
        self.head_size = 0
        self.complete = False
        # State of a chunked body: the decoded octets, the chunk size line received so
        # far and whether it is complete, the number of chunks begun, and the octets of
        # the current chunk still to come.
        self.chunked_body = bytearray()
        self.chunk_line = b""
        self.chunk_line_complete = False
        self.chunk_count = 0
        self.chunk_remaining = 0

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; drop trailer fields, which follow a chunked body.

        A trailer must not change a value from the head, for example the request's id.
        """
        if self.head_complete:
            return
        name = name.lower()
        if name in self.fields:
            self.repeated.add(name)
        else:
            self.fields[name] = value

    def on_headers_complete(self) -> None:
        """Record the end of the head, where llhttp sets `should_keep_alive`."""
        self.head_complete = True
        assert self.parser is not None
        self.keep_alive = self.parser.should_keep_alive()

    @property
    def received(self) -> int:
        """Octets of a chunked body that were decoded."""
        return len(self.chunked_body)

    def on_chunk_header(self) -> None:
        """Record that a chunk size line is complete."""
        self.chunk_line_complete = True
        self.chunk_count += 1

    def on_body(self, data: bytes) -> None:
        """Append a piece of a chunked body."""
        self.chunked_body += data

    def on_message_complete(self) -> None:
        """Complete the body; one that is not chunked is set by the reader."""
        self.complete = True
        self.body = bytes(self.chunked_body)
        self.chunked_body = bytearray()

    # Called by the reader.

    def on_chunk_data_fed(self, data: bytes) -> None:
        """Track the chunk framing of data that was fed to the parser.

        The data is at most one line or the rest of one chunk.
        """
        if self.chunk_remaining:
            self.chunk_remaining -= len(data)
            return
        self.chunk_line += data
        if self.chunk_line_complete:
            # The parser has accepted the size, so it is a hexadecimal number.
            size, _, _ = self.chunk_line.partition(b";")
            self.chunk_remaining = int(size, 16)
        if self.chunk_line.endswith(b"\n"):
            self.chunk_line = b""
            self.chunk_line_complete = False
