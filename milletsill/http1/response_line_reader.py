"""Read the body of a long response, such as that of a watch, line by line.

The module performs no I/O. It limits the size of the head and of each line.
"""

from __future__ import annotations

import re

import httptools

from milletsill.http1.errors import PARSER_ERRORS, MalformedHttpMessageError
from milletsill.http1.message_limits import (
    HEAD_END,
    MAX_INTERIM_RESPONSES,
    MessageLimits,
    strip_field_whitespace,
)

LIMITS = MessageLimits()
RESPONSE_PREFIX = b"HTTP/1."
INTERIM_HEAD = re.compile(rb"HTTP/1\.\d 1")


class ResponseLines:
    """The state of a response while it is read, filled by httptools callbacks.

    Attributes:
        status, ended, line: as in `ResponseLineReader`.
        complete: the complete lines that the reader has not returned yet.
        parser: the parser, only while it is fed, to avoid a reference cycle.
    """

    __slots__ = ("complete", "ended", "line", "parser", "status")

    def __init__(self) -> None:
        self.status = 0
        self.ended = False
        self.line = b""
        self.complete: list[bytes] = []
        self.parser: httptools.HttpResponseParser | None = None

    def on_headers_complete(self) -> None:
        """Record the status, unless the response is interim."""
        assert self.parser is not None
        status = self.parser.get_status_code()
        self.status = 0 if status < 200 else status

    def on_body(self, data: bytes) -> None:
        """Split a piece of the body into lines."""
        *complete, self.line = (self.line + data).split(b"\n")
        self.complete += complete

    def on_message_complete(self) -> None:
        """Record the end of the final response."""
        self.ended = self.status > 0


class ResponseLineReader:
    """Reads one response whose body is still being sent."""

    def __init__(self, max_line: int) -> None:
        self.max_line = max_line
        self.head = b""
        self.interim_count = 0
        self.response = ResponseLines()
        self.parser = httptools.HttpResponseParser(self.response)

    @property
    def status(self) -> int:
        """The status of the final response; 0 until its head has been read."""
        return self.response.status

    @property
    def ended(self) -> bool:
        """Whether the response is complete."""
        return self.response.ended

    @property
    def line(self) -> bytes:
        """The received part of the last, unterminated line."""
        return self.response.line

    def discard_line(self) -> None:
        """Discard the unterminated line, which the caller has used."""
        self.response.line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received octets and return the lines that they complete.

        Raises:
            MalformedHttpMessageError: the octets are not an HTTP/1.1 response, or the
                response exceeds the limits.
        """
        if not self.status:
            data = self._take_heads(data)
        self.response.parser = self.parser
        try:
            self.parser.feed_data(data)
        except PARSER_ERRORS as error:
            reason = f"malformed response: {error}"[:200]
            raise MalformedHttpMessageError(502, reason) from error
        finally:
            self.response.parser = None
        if len(self.line) > self.max_line or len(self.head) > LIMITS.head:
            raise MalformedHttpMessageError(502, "head or line too long")
        lines = self.response.complete
        self.response.complete = []
        return lines

    def _take_heads(self, data: bytes) -> bytes:
        """Return the octets to feed to the parser while the final head is incomplete.

        These are none, or complete heads and the octets that follow the final head.
        """
        self.head = (self.head + data).lstrip(b"\r\n")
        if not self.head.startswith(RESPONSE_PREFIX[: len(self.head)]):
            raise MalformedHttpMessageError(502, "not an HTTP/1.1 response")
        taken = b""
        while (end := self.head.find(HEAD_END)) >= 0:
            cut = end + len(HEAD_END)
            head = self.head[:cut]
            self.head = self.head[cut:]
            taken += strip_field_whitespace(head)
            self.interim_count += 1
            if not INTERIM_HEAD.match(head):
                taken += self.head
                self.head = b""
            elif self.interim_count > MAX_INTERIM_RESPONSES:
                raise MalformedHttpMessageError(502, "too many 1xx responses")
        return taken
