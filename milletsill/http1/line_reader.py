"""A long answer, line by line, as it comes: for watches. No sockets; every line is bounded."""

from __future__ import annotations

import re

import httptools

from milletsill.http1.message_limits import END, MOST_INTERIM, Bounds, bare
from milletsill.http1.reader import ERRORS, MalformedHttpMessage

BOUNDS = Bounds()
ANSWER = b"HTTP/1."
INTERIM = re.compile(rb"HTTP/1\.\d 1")


class AnswerLines:
    """One answer whose body has no end yet. `status` is 0 until the head was read."""

    def __init__(self, most_line: int) -> None:
        self.most_line = most_line
        self.status, self.ended, self.line, self.head, self.interim = (
            0,
            False,
            b"",
            b"",
            0,
        )
        self.lines: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)

    # Called by the parser.

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        self.status = 0 if status < 200 else status  # an interim one is passed over

    def on_body(self, data: bytes) -> None:
        *whole, self.line = (self.line + data).split(b"\n")
        self.lines += whole

    def on_message_complete(self) -> None:
        self.ended = self.status > 0

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now."""
        try:
            self.parser.feed_data(data if self.status else self.heads(data))
        except ERRORS as error:
            raise MalformedHttpMessage(
                502, f"a watch that cannot be read: {error}"[:200]
            ) from None
        if len(self.line) > self.most_line or len(self.head) > BOUNDS.head:
            raise MalformedHttpMessage(502, "a line over the bound")
        lines, self.lines = self.lines, []
        return lines

    def heads(self, data: bytes) -> bytes:
        """What the parser gets while the answer's head is not whole: nothing, or whole heads and what stands behind."""
        self.head = (self.head + data).lstrip(b"\r\n")
        if not self.head.startswith(ANSWER[: len(self.head)]):
            raise MalformedHttpMessage(502, "no answer of HTTP/1.1")
        taken = b""
        while (end := self.head.find(END)) >= 0:
            head, self.head = self.head[: end + len(END)], self.head[end + len(END) :]
            taken += bare(head)
            self.interim += 1
            if not INTERIM.match(head):
                taken, self.head = taken + self.head, b""
            elif self.interim > MOST_INTERIM:
                raise MalformedHttpMessage(502, "1xx answers without an end")
        return taken
