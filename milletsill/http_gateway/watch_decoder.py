"""Decode the lines of a watch into JSON values.

A list may come indented, over several lines.
"""

from __future__ import annotations

import json
import re
from contextlib import suppress
from typing import Any, Final

MAX_LIST = 4 << 20  # octets of one list
# Up to here a list counts without its line's end: each piece that arrives is looked at,
# and a long list may come in many.
MAX_UNTERMINATED = 1 << 16
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class Heartbeat:
    """An empty line of a watch: nothing has changed."""


HEARTBEAT: Final = Heartbeat()


def bracket_depth(line: bytes) -> int:
    """Return the brackets that a line of JSON opens, less those that it closes."""
    bare = STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


class WatchDecoder:
    """Turns lines into values; a value is a JSON object or `HEARTBEAT`."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.depth = 0
        self.size = 0

    @property
    def has_partial_value(self) -> bool:
        """Whether lines of a value that is not complete are here."""
        return bool(self.parts)

    def feed_line(self, line: bytes) -> list[Any]:
        """Return the value that is complete with this line, if one is.

        Raises:
            ValueError: the lines cannot become a value, or are over the bound.
        """
        if not self.parts:
            try:
                return [json.loads(line) if line else HEARTBEAT]
            except json.JSONDecodeError as error:
                if error.pos < len(error.doc):
                    raise
            # It ends too early and is otherwise right: the first of several lines.
            self.depth = 0
            self.size = 0
        self.parts.append(line)
        self.depth += bracket_depth(line)
        self.size += len(line)
        if self.size > MAX_LIST:
            raise ValueError("a list over the bound")
        if self.depth > 0:
            return []
        text = b"".join(self.parts)
        self.parts = []
        return [json.loads(text)]

    def try_unterminated(self, line: bytes) -> list[Any]:
        """Return the value that is complete with a line that has no end yet, if one is.

        A list's last line end may be left out, or come with the next heartbeat.
        """
        depth = self.depth if self.parts else 0
        size = self.size if self.parts else 0
        if not line.endswith(b"}") or size + len(line) > MAX_UNTERMINATED:
            return []
        if depth + bracket_depth(line):
            return []
        with suppress(ValueError):  # only a part of a line
            value = json.loads(b"".join(self.parts) + line)
            self.parts = []
            return [value]
        return []
