"""A long answer, line by line, as it comes: for watches. No sockets; every line is bounded."""
from __future__ import annotations

import httptools

from milletsill.http1.reader import ERRORS, BadMessage


class AnswerLines:
    """One answer whose body has no end yet. `status` is 0 until the head was read."""

    def __init__(self, most_line: int) -> None:
        self.most_line = most_line
        self.status, self.ended, self.line, self.octets = 0, False, b"", 0
        self.lines: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)

    # Called by the parser.

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        *whole, self.line = (self.line + data).split(b"\n")
        self.lines += whole

    def on_message_complete(self) -> None:
        self.ended = True

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now."""
        try:
            self.parser.feed_data(data)
        except ERRORS as error:
            raise BadMessage(502, f"a watch that cannot be read: {error}"[:200]) from None
        self.octets += 0 if self.status else len(data)
        if max(len(self.line), self.octets) > self.most_line:
            raise BadMessage(502, "a line over the bound")
        lines, self.lines = self.lines, []
        return lines
