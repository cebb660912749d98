"""Whole messages out of bytes. The heads and chunks are read by httptools (llhttp); what it is lax about is looked at here.

A reader holds at most one message of its bounds and what came behind it; who feeds it bounds the rest by `pending`.
"""

from __future__ import annotations

from typing import Any

import httptools

from milletsill.errors import MalformedInput
from milletsill.http1.message_limits import (
    AMBIGUOUS,
    ANSWER_BEGINS,
    END,
    MOST_CHUNKS,
    MOST_INTERIM,
    REQUEST_BEGINS,
    Bounds,
    bare,
    length_of,
)

ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class MalformedHttpMessage(MalformedInput):
    """Octets that are no message of HTTP/1.1 within the bounds; `status` is what a server answers."""

    remedy = (
        "see which client, node or discovery sends them; its connection alone is closed"
    )

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Message:
    """One request or answer. `fields` by lower-case name, the first of each; `doubled` names came again."""

    __slots__ = (
        "method",
        "target",
        "status",
        "fields",
        "doubled",
        "body",
        "keep",
        "length",
        "chunked",
        "open_ended",
        "parser",
        "ended",
        "count",
        "most",
        "pieces",
        "size",
        "line",
        "told",
        "chunks",
        "rest",
        "headed",
    )

    def __init__(self, most: int) -> None:
        self.method, self.target, self.status, self.body = b"", b"", 0, b""
        self.fields, self.doubled = dict[bytes, bytes](), set[bytes]()
        self.keep = self.chunked = self.open_ended = self.ended = self.headed = (
            False  # open-ended: up to the connection's close
        )
        self.length = self.count = 0
        self.most = most
        # Of a body in chunks: what came of it and how much, the line of the next chunk's size, whether that is whole, how many
        # chunks, and octets of the present one still to come.
        self.pieces, self.size, self.line, self.told, self.chunks, self.rest = (
            list[bytes](),
            0,
            b"",
            False,
            0,
            0,
        )
        self.parser: Any = None

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Guards what the head says against lines behind a body in chunks: an id, or that a dispatch never ran. Harm: they are lost.
        if self.headed:
            return
        self.count += 1
        name = name.lower()
        if name in self.fields:
            self.doubled.add(name)
        else:
            self.fields[name] = value

    def on_headers_complete(self) -> None:
        self.headed = True
        self.keep = (
            self.parser.should_keep_alive()
        )  # asked later, of a message without a body, it says no

    def on_chunk_header(self) -> None:
        self.told, self.chunks = True, self.chunks + 1

    def on_body(self, data: bytes) -> None:
        self.pieces.append(data)
        self.size += len(data)

    def on_message_complete(self) -> None:
        self.ended = True
        self.body, self.pieces = b"".join(self.pieces), []

    # Called by the reader.

    def fed(self, data: bytes) -> None:
        """The parser was given this much of a body in chunks, never more than a line or the rest of a chunk."""
        if self.rest:
            self.rest -= len(data)
            return
        self.line += data
        if self.told:
            self.rest = int(
                self.line.partition(b";")[0], 16
            )  # the parser has found it to be one
        if self.line.endswith(b"\n"):
            self.line, self.told = b"", False


class Reader:
    """One direction of one connection."""

    BEGINS = REQUEST_BEGINS

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.buffer, self.blank = b"", False  # an empty line was passed over
        self.message: Message | None = None  # whose head was read
        self.pieces: list[
            bytes
        ] = []  # of its body, where that is told by its length or ends with the connection
        self.gathered = 0  # octets in them
        self.wanted = 0  # octets of it still to come
        self.looked = 0  # octets of the buffer that are known to end no head

    @property
    def pending(self) -> int:
        """Octets that wait to be read, or for the rest of their message."""
        return (
            len(self.buffer)
            + self.gathered
            + (self.message.size if self.message is not None else 0)
        )

    @property
    def begun(self) -> bool:
        """Whether a part of a message is here."""
        return self.message is not None or bool(self.buffer)

    def feed(self, data: bytes) -> None:
        if self.wanted > len(data):  # long bodies are put together once
            self.gather(data)
            self.wanted -= len(data)
        else:
            self.buffer = self.buffer + data if self.buffer else data

    def gather(self, data: bytes) -> None:
        self.pieces.append(data)
        self.gathered += len(data)

    def gathered_up(self) -> bytes:
        """All of a body that was put aside piece by piece."""
        body = b"".join(self.pieces)
        self.pieces, self.gathered = [], 0
        return body

    def next(self) -> Message | None:
        """The next whole message; None where more bytes are wanted; `BadMessage` once and for all."""
        if self.message is None:
            self.message = self.head()
        message = self.message
        if message is None:
            return None
        if message.open_ended:
            return self.more(message)
        if message.chunked:
            if not self.chunks(message):
                return None
        elif message.length and not self.counted(message):
            return None
        self.message, message.parser = None, None
        return message

    def more(self, message: Message) -> None:
        """Another piece of a body that ends with its connection: not whole before."""
        message.length += len(self.buffer)
        if message.length > self.bounds.body:
            raise MalformedHttpMessage(413, "a body over the bound")
        self.gather(self.buffer)
        self.buffer = b""

    def counted(self, message: Message) -> bool:
        """Whether a body told by its length is whole: put it together."""
        if self.wanted == 0:
            self.wanted = message.length
        if len(self.buffer) < self.wanted:
            if self.buffer:
                self.gather(self.buffer)
                self.wanted, self.buffer = self.wanted - len(self.buffer), b""
            return False
        self.gather(self.buffer[: self.wanted])
        message.body, self.buffer = self.gathered_up(), self.buffer[self.wanted :]
        self.wanted = 0
        return True

    def head(self) -> Message | None:
        """Cut a head off and read it. What was looked at before is not again: a head may come octet by octet. One empty line
        ahead of it is passed over.
        """
        if self.buffer.startswith(b"\r\n") and not self.blank:
            self.blank, self.buffer, self.looked = True, self.buffer[2:], 0
        looked = max(self.looked - len(END), 0)
        end = self.buffer.find(END, looked)
        if end < 0 and len(self.buffer) <= self.bounds.head:
            self.looked = len(self.buffer)
            if AMBIGUOUS.search(
                self.buffer, looked, len(self.buffer) - self.buffer.endswith(b"\r")
            ):
                raise MalformedHttpMessage(400, "a head that can be read in two ways")
            if not self.BEGINS.match(self.buffer):
                raise MalformedHttpMessage(400, "what begins no message")
            return None
        if not 0 <= end <= self.bounds.head - len(END):
            raise MalformedHttpMessage(431, "a head over the bound")
        head, self.buffer, self.looked = (
            self.buffer[: end + len(END)],
            self.buffer[end + len(END) :],
            0,
        )
        if AMBIGUOUS.search(head):
            raise MalformedHttpMessage(400, "a head that can be read in two ways")
        message = Message(self.bounds.body)
        message.parser = self.parser(message)
        try:
            message.parser.feed_data(bare(head))
        except ERRORS as error:
            raise MalformedHttpMessage(
                400, f"a head that cannot be read: {error}"[:200]
            ) from None
        self.blank = False
        if message.count > self.bounds.fields:
            raise MalformedHttpMessage(431, "too many lines in a head")
        self.read(message)
        return message

    def read(self, message: Message) -> None:
        """What the head says of the whole."""
        message.length, message.chunked, status, reason = length_of(
            message.fields, message.doubled, self.bounds
        )
        if status:
            raise MalformedHttpMessage(status, reason)

    def parser(self, message: Message) -> Any:
        raise NotImplementedError

    def chunks(self, message: Message) -> bool:
        """Feed a chunked body by lines and whole chunks, so that not an octet behind its end is taken."""
        buffer, at = self.buffer, 0
        while not message.ended and at < len(buffer):
            cut = (
                min(at + message.rest, len(buffer))
                if message.rest
                else buffer.find(b"\n", at) + 1 or len(buffer)
            )
            data, at = buffer[at:cut], cut
            try:
                message.parser.feed_data(data)
            except ERRORS as error:
                raise MalformedHttpMessage(
                    400, f"chunks that cannot be read: {error}"[:200]
                ) from None
            message.fed(data)
            message.length += len(data)  # with its framing
            if (
                message.size + message.rest > self.bounds.body
                or message.length > 2 * self.bounds.body + self.bounds.head
            ):
                raise MalformedHttpMessage(413, "a body over the bound")
            if message.chunks > MOST_CHUNKS or len(message.line) > self.bounds.head:
                raise MalformedHttpMessage(413, "a body in too many chunks")
        self.buffer = buffer[at:]
        return message.ended


class RequestReader(Reader):
    """What a client sends."""

    def parser(self, message: Message) -> Any:
        return httptools.HttpRequestParser(message)

    def read(self, message: Message) -> None:
        super().read(message)
        message.method = message.parser.get_method()
        message.length = max(message.length, 0)
        version = message.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise MalformedHttpMessage(505, "not HTTP/1.1")
        if (
            b"host" in message.doubled
            or version == "1.1"
            and b"host" not in message.fields
        ):
            raise MalformedHttpMessage(400, "not one Host")


class AnswerReader(Reader):
    """What a server answers to anything but HEAD. One without a length is whole when its connection was closed (`closed`)."""

    BEGINS = ANSWER_BEGINS

    def __init__(self, bounds: Bounds) -> None:
        super().__init__(bounds)
        self.interim = 0

    def parser(self, message: Message) -> Any:
        return httptools.HttpResponseParser(message)

    def read(self, message: Message) -> None:
        super().read(message)
        message.status = message.parser.get_status_code()
        if 100 <= message.status < 200 or message.status in (204, 304):
            message.length, message.chunked = 0, False
        message.open_ended = message.length < 0
        message.length = max(message.length, 0)

    def expected(self, short: int) -> int:
        """How many octets the body on its way may come to; one whose length is not told counts in full once it is not short."""
        if self.message is None:
            return 0
        untold = self.message.chunked or self.message.open_ended
        return (
            self.bounds.body
            if untold and self.message.length > short
            else self.message.length
        )

    def closed(self) -> Message | None:
        """The connection was closed in order: the answer that ends with it, if one was on its way."""
        message = self.message
        if message is None or not message.open_ended:
            return None
        message.body = self.gathered_up()
        self.message, message.parser, message.keep = None, None, False
        return message

    def next(self) -> Message | None:
        """The next whole answer, 1xx ahead of it passed over."""
        while (message := super().next()) is not None:
            if message.status >= 200:
                self.interim = 0
                return message
            self.interim += 1
            if self.interim > MOST_INTERIM or message.status == 101:
                raise MalformedHttpMessage(502, "1xx answers without an end")
        return None
