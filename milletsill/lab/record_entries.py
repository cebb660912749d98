"""Decodes records and the fields of the packets in them.

`milletsill.lab.record` documents the format. This module decodes records and packets
independently of the gateway's codec: an audit that used the codec would share its
faults.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

INIT = 1
VERSION = 2
STATUS = 101
EXTENDED = 200
EXTENDED_REPLY = 201
IN = 0
OUT = 1
NOTE = 2
ENTRY_HEAD = struct.Struct(">QIBII")


class FieldCursor:
    """Reads the fields of one packet in order; fields past its end are 0 or empty."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def number(self, size: int) -> int:
        """Read a big-endian unsigned integer of `size` bytes."""
        self.at += size
        return int.from_bytes(self.data[self.at - size : self.at], "big")

    def raw(self) -> bytes:
        """Read a byte string that follows its u32 length."""
        size = self.number(4)
        self.at += size
        return self.data[self.at - size : self.at]

    def text(self) -> str:
        """Read UTF-8 text that follows its u32 length."""
        return self.raw().decode("utf-8", "replace")


@dataclass(frozen=True, slots=True)
class RecordEntry:
    """One entry of a record.

    Attributes:
        at: Monotonic time in seconds.
        data: The kept bytes; may be shorter than the packet that crossed the socket.
    """

    at: float
    connection: int
    direction: int
    data: bytes

    def note(self) -> dict[str, Any]:
        """Return the values of a note; an empty dict if the entry is a packet."""
        values: dict[str, Any] = json.loads(self.data) if self.direction == NOTE else {}
        return values


def read_entries(path: str) -> Iterator[RecordEntry]:
    """Yield the complete entries of a record; a truncated last entry is skipped.

    Raises:
        ValueError: The file does not start with the header line of a record.
    """
    with open(path, "rb") as source:
        if not source.readline().startswith(b"milletsill record 1 "):
            raise ValueError(f"{path}: no 'milletsill record 1' header line")
        while len(head := source.read(ENTRY_HEAD.size)) == ENTRY_HEAD.size:
            nanoseconds, connection, direction, _, kept = ENTRY_HEAD.unpack(head)
            data = source.read(kept)
            if len(data) < kept:
                return
            yield RecordEntry(nanoseconds / 1e9, connection, direction, data)
