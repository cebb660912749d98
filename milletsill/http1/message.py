"""One HTTP/1.1 message while it is read, as the callbacks of httptools fill it."""

from __future__ import annotations

import httptools

Parser = httptools.HttpRequestParser | httptools.HttpResponseParser


class HttpMessage:
    """One request or response.

    Attributes:
        method, target: of a request; empty in a response.
        status: of a response; 0 in a request.
        fields: header fields by lower-case name, the first of each name.
        repeated: names of fields that came more than once.
        body: the whole body, once the reader has returned the message.
        keep_alive: whether the connection may carry another message.
        length: octets of the body as told, or received so far with their framing.
        chunked: whether the body comes in chunks.
        until_close: whether the body ends with its connection.
    """

    __slots__ = (
        "body",
        "chunk_count",
        "chunk_line",
        "chunk_line_complete",
        "chunk_remaining",
        "chunked",
        "complete",
        "field_count",
        "fields",
        "head_complete",
        "keep_alive",
        "length",
        "method",
        "parser",
        "pieces",
        "received",
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
        self.complete = False
        self.field_count = 0
        # State of a chunked body: its pieces and their octets, the line of the next
        # chunk's size and whether it is complete, chunks begun, octets of the current
        # one to come.
        self.pieces: list[bytes] = []
        self.received = 0
        self.chunk_line = b""
        self.chunk_line_complete = False
        self.chunk_count = 0
        self.chunk_remaining = 0

    # Called by httptools.

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field; trailer fields behind a chunked body are dropped.

        A trailer must not change what the head has said, for example the request's id.
        """
        if self.head_complete:
            return
        self.field_count += 1
        name = name.lower()
        if name in self.fields:
            self.repeated.add(name)
        else:
            self.fields[name] = value

    def on_headers_complete(self) -> None:
        """Note the end of the head; llhttp answers `should_keep_alive` only here."""
        self.head_complete = True
        assert self.parser is not None
        self.keep_alive = self.parser.should_keep_alive()

    def on_chunk_header(self) -> None:
        """Note that the line with the size of a chunk is complete."""
        self.chunk_line_complete = True
        self.chunk_count += 1

    def on_body(self, data: bytes) -> None:
        """Add a piece of a chunked body."""
        self.pieces.append(data)
        self.received += len(data)

    def on_message_complete(self) -> None:
        """Put the body together."""
        self.complete = True
        self.body = b"".join(self.pieces)
        self.pieces = []

    # Called by the reader.

    def on_chunk_data_fed(self, data: bytes) -> None:
        """Follow the framing of a chunked body that the parser was given.

        The data is never more than one line or the rest of one chunk.
        """
        if self.chunk_remaining:
            self.chunk_remaining -= len(data)
            return
        self.chunk_line += data
        if self.chunk_line_complete:
            # The parser has accepted the size, so that it is a number.
            size, _, _ = self.chunk_line.partition(b";")
            self.chunk_remaining = int(size, 16)
        if self.chunk_line.endswith(b"\n"):
            self.chunk_line = b""
            self.chunk_line_complete = False
