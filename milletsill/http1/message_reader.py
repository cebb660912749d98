"""Read complete HTTP/1.1 messages from a stream of octets.

httptools (llhttp) parses heads and chunks; this module refuses the ambiguous input that
llhttp accepts. A reader holds at most one message within its limits and the octets that
follow it. The caller limits those octets by checking `buffered`.
"""

from __future__ import annotations

import re
from typing import Any

import httptools

from milletsill.http1.errors import PARSER_ERRORS, MalformedHttpMessageError
from milletsill.http1.message import HttpMessage, Parser
from milletsill.http1.message_limits import (
    AMBIGUOUS,
    HEAD_END,
    MAX_CHUNKS,
    MAX_INTERIM_RESPONSES,
    REQUEST_START,
    RESPONSE_START,
    FramingError,
    MessageLimits,
    body_framing,
    strip_field_whitespace,
)

SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
NOT_MODIFIED = 304


class MessageReader:
    """Reads the messages that arrive on one connection."""

    START: re.Pattern[bytes] = REQUEST_START

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self.buffer = b""
        self.skipped_empty_line = False
        # The message whose head has been read and whose body is incomplete, and the
        # parser of its chunks.
        self.message: HttpMessage | None = None
        self.parser: Parser | None = None
        # Received part of a body that has a length or ends at the close of the
        # connection. It grows in place: a list would take many times the octets of a
        # body that arrives in tiny pieces.
        self.body = bytearray()
        # Octets of a body with a length that are still to come.
        self.missing = 0
        # Octets at the start of the buffer that were searched for the end of a head.
        self.searched = 0
        # Calls of the parser for chunks that are left until the caller allows more;
        # None for no limit.
        self.chunk_calls: int | None = None

    @property
    def buffered(self) -> int:
        """Octets that are unparsed or belong to an incomplete message."""
        received = self.message.received if self.message is not None else 0
        return len(self.buffer) + len(self.body) + received

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has arrived."""
        return self.message is not None or bool(self.buffer)

    @property
    def is_suspended(self) -> bool:
        """Whether chunks that have arrived wait until `chunk_calls` is raised."""
        return self.chunk_calls == 0 and self.message is not None and bool(self.buffer)

    def feed(self, data: bytes) -> None:
        """Add received octets behind all that were received before.

        The octets of a long body bypass the buffer. That keeps their order only while
        the buffer is empty: it may hold octets that were fed since the last call of
        `next_message`.
        """
        if self.buffer:
            self.buffer += data
        elif self.missing > len(data):
            self.body += data
            self.missing -= len(data)
        else:
            self.buffer = data

    def next_message(self) -> HttpMessage | None:
        """Return the next complete message, or None if more octets are needed.

        Raises:
            MalformedHttpMessageError: the stream cannot be parsed any further.
        """
        if self.message is None:
            self.message = self._read_head()
        message = self.message
        if message is None:
            return None
        if message.until_close:
            self._read_until_close(message)
            return None
        if message.chunked:
            if not self._read_chunks(message):
                return None
        elif message.length and not self._read_counted_body(message):
            return None
        self._forget_message()
        return message

    def _forget_message(self) -> None:
        self.message = None
        self.parser = None

    def _take_body(self) -> bytes:
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def _read_until_close(self, message: HttpMessage) -> None:
        """Append the buffer to a body that the close of the connection completes."""
        message.length += len(self.buffer)
        if message.length > self.limits.body:
            raise MalformedHttpMessageError(413, "a body over the bound")
        self.body += self.buffer
        self.buffer = b""

    def _read_counted_body(self, message: HttpMessage) -> bool:
        """Return whether a body with a length is complete, and join it if it is."""
        if self.missing == 0:
            self.missing = message.length
        if len(self.buffer) < self.missing:
            self.body += self.buffer
            self.missing -= len(self.buffer)
            self.buffer = b""
            return False
        self.body += self.buffer[: self.missing]
        message.body = self._take_body()
        self.buffer = self.buffer[self.missing :]
        self.missing = 0
        return True

    def _read_head(self) -> HttpMessage | None:
        """Remove a head from the buffer and parse it; None while it is incomplete.

        One empty line before the head is skipped.
        """
        if self.buffer.startswith(b"\r\n") and not self.skipped_empty_line:
            self.skipped_empty_line = True
            self.buffer = self.buffer[2:]
            self.searched = 0
        # A head may arrive octet by octet, so searched octets are not searched again.
        start = max(self.searched - len(HEAD_END), 0)
        end = self.buffer.find(HEAD_END, start)
        if end < 0 and len(self.buffer) <= self.limits.head:
            self._check_partial_head(start)
            return None
        if not 0 <= end <= self.limits.head - len(HEAD_END):
            raise MalformedHttpMessageError(431, "a head over the bound")
        cut = end + len(HEAD_END)
        head = self.buffer[:cut]
        self.buffer = self.buffer[cut:]
        self.searched = 0
        if AMBIGUOUS.search(head):
            raise MalformedHttpMessageError(400, "a head that can be read in two ways")
        # Two line ends are those of the first line and of the empty one. The check
        # precedes the parser, which would make objects of every line.
        if head.count(b"\r\n") - 2 > self.limits.fields:
            raise MalformedHttpMessageError(431, "too many lines in a head")
        return self._parse_head(head)

    def _check_partial_head(self, start: int) -> None:
        self.searched = len(self.buffer)
        # The line feed after a final carriage return may not have arrived yet.
        checked = len(self.buffer) - self.buffer.endswith(b"\r")
        if AMBIGUOUS.search(self.buffer, start, checked):
            raise MalformedHttpMessageError(400, "a head that can be read in two ways")
        if not self.START.match(self.buffer):
            raise MalformedHttpMessageError(400, "what begins no message")

    def _parse_head(self, head: bytes) -> HttpMessage:
        message = HttpMessage()
        message.head_size = len(head)
        parser = self._make_parser(message)
        message.parser = parser
        try:
            parser.feed_data(strip_field_whitespace(head))
        except PARSER_ERRORS as error:
            reason = f"a head that cannot be read: {error}"[:200]
            raise MalformedHttpMessageError(400, reason) from error
        finally:
            message.parser = None
        self.skipped_empty_line = False
        self._apply_head(message, parser)
        self.parser = parser
        return message

    def _apply_head(self, message: HttpMessage, parser: Any) -> None:
        """Set the attributes of the message that follow from its head."""
        framing = body_framing(message.fields, message.repeated, self.limits)
        if isinstance(framing, FramingError):
            raise MalformedHttpMessageError(framing.status, framing.reason)
        message.length = framing.length
        message.chunked = framing.chunked

    def _make_parser(self, message: HttpMessage) -> Parser:
        raise NotImplementedError

    def _read_chunks(self, message: HttpMessage) -> bool:
        """Feed a chunked body to the parser; return whether it is complete.

        The parser is fed at most one line or the rest of one chunk at a time, so that
        it consumes no octet after the end of the body. Each such call counts against
        `chunk_calls`, because chunks of one octet cost far more time than their size
        suggests.
        """
        buffer = self.buffer
        position = 0
        assert self.parser is not None
        while not message.complete and position < len(buffer):
            if self.chunk_calls is not None:
                if self.chunk_calls <= 0:
                    break
                self.chunk_calls -= 1
            if message.chunk_remaining:
                cut = min(position + message.chunk_remaining, len(buffer))
            else:
                cut = buffer.find(b"\n", position) + 1 or len(buffer)
            data = buffer[position:cut]
            position = cut
            try:
                self.parser.feed_data(data)
            except PARSER_ERRORS as error:
                reason = f"chunks that cannot be read: {error}"[:200]
                raise MalformedHttpMessageError(400, reason) from error
            message.on_chunk_data_fed(data)
            message.length += len(data)
            self._check_chunks(message)
        self.buffer = buffer[position:]
        return message.complete

    def _check_chunks(self, message: HttpMessage) -> None:
        body = message.received + message.chunk_remaining
        framed = 2 * self.limits.body + self.limits.head
        if body > self.limits.body or message.length > framed:
            raise MalformedHttpMessageError(413, "a body over the bound")
        if (
            message.chunk_count > MAX_CHUNKS
            or len(message.chunk_line) > self.limits.head
        ):
            raise MalformedHttpMessageError(413, "a body in too many chunks")


class RequestReader(MessageReader):
    """Reads the requests of a client."""

    def _make_parser(self, message: HttpMessage) -> Parser:
        return httptools.HttpRequestParser(message)

    def _apply_head(self, message: HttpMessage, parser: Any) -> None:
        super()._apply_head(message, parser)
        message.method = parser.get_method()
        message.length = max(message.length, 0)
        version = parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise MalformedHttpMessageError(505, "not HTTP/1.1")
        missing_host = version == "1.1" and b"host" not in message.fields
        if b"host" in message.repeated or missing_host:
            raise MalformedHttpMessageError(400, "not one Host")


class ResponseReader(MessageReader):
    """Reads the responses of a server to any method except HEAD.

    The close of the connection completes a response without a length; see `on_close`.
    """

    START = RESPONSE_START

    def __init__(self, limits: MessageLimits) -> None:
        super().__init__(limits)
        self.interim_count = 0

    def _make_parser(self, message: HttpMessage) -> Parser:
        return httptools.HttpResponseParser(message)

    def _apply_head(self, message: HttpMessage, parser: Any) -> None:
        super()._apply_head(message, parser)
        message.status = parser.get_status_code()
        if 100 <= message.status < 200 or message.status in (NO_CONTENT, NOT_MODIFIED):
            message.length = 0
            message.chunked = False
        message.until_close = message.length < 0
        message.length = max(message.length, 0)

    def expected_body_size(self, short: int) -> int:
        """Return an upper estimate of the octets of the body that is arriving.

        A body without a stated length counts as the limit once more than `short` octets
        have arrived.
        """
        if self.message is None:
            return 0
        unknown = self.message.chunked or self.message.until_close
        if unknown and self.message.length > short:
            return self.limits.body
        return self.message.length

    def on_close(self) -> HttpMessage | None:
        """Return the response that an orderly close of the connection completes."""
        message = self.message
        if message is None or not message.until_close:
            return None
        message.body = self._take_body()
        message.keep_alive = False
        self._forget_message()
        return message

    def next_message(self) -> HttpMessage | None:
        """Return the next complete final response; interim responses are skipped."""
        while (message := super().next_message()) is not None:
            if message.status >= 200:
                self.interim_count = 0
                return message
            self.interim_count += 1
            if (
                self.interim_count > MAX_INTERIM_RESPONSES
                or message.status == SWITCHING_PROTOCOLS
            ):
                raise MalformedHttpMessageError(502, "1xx answers without an end")
        return None
