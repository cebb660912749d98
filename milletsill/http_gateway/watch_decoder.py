"""Decode the lines of a watch into JSON values.

A list may be indented and span several lines.
"""

from __future__ import annotations

import json
import re
from contextlib import suppress
from typing import Any, Final

MAX_LIST = 4 << 20  # octets of one list
# Octets up to which a list is decoded before its line end arrives. Decoding is tried on
# each piece that arrives, and a long list may arrive in many pieces.
MAX_UNTERMINATED = 1 << 16
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class Heartbeat:
    """An empty line of a watch, which means that nothing has changed."""


HEARTBEAT: Final = Heartbeat()


def bracket_depth(line: bytes) -> int:
    """Return the number of brackets that a JSON line opens minus those it closes."""
    bare = STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class WatchDecoder:
    """Turns lines into values; a value is a JSON value or `HEARTBEAT`."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.depth = 0
        self.size = 0

    @property
    def has_partial_value(self) -> bool:
        """Whether lines of an incomplete value have arrived."""
        return bool(self.parts)

    def feed_line(self, line: bytes) -> list[Any]:
        """Return the value that this line completes, if any, as a list.

        Raises:
            ValueError: the lines are not valid JSON, or exceed the size limit.
        """
        if not self.parts:
            try:
                return [json.loads(line) if line else HEARTBEAT]
            except json.JSONDecodeError as error:
                if error.pos < len(error.doc):
                    raise
            # The line is incomplete but otherwise valid: the first of several lines.
            self.depth = 0
            self.size = 0
        self.parts.append(line)
        self.depth += bracket_depth(line)
        self.size += len(line)
        if self.size > MAX_LIST:
            raise ValueError("endpoint list longer than 4 MiB")
        if self.depth > 0:
            return []
        text = b"".join(self.parts)
        self.parts = []
        return [json.loads(text)]

    def try_unterminated(self, line: bytes) -> list[Any]:
        """Return the value that an unterminated line completes, if any, as a list.

        The line end after a list may be missing, or arrive with the next heartbeat.
        """
        depth = self.depth if self.parts else 0
        size = self.size if self.parts else 0
        if not line.endswith(b"}") or size + len(line) > MAX_UNTERMINATED:
            return []
        if depth + bracket_depth(line):
            return []
        with suppress(ValueError):  # the line is incomplete
            value = json.loads(b"".join(self.parts) + line)
            self.parts = []
            return [value]
        return []
