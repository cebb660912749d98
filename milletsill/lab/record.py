"""Records what crossed a socket, with the machine's monotonic time.

Written by stand-in nodes, clients and the registry stand-in. A file is a line
`milletsill record 1 ROLE NAME` and then entries: u64 nanoseconds, u32 connection, u8
direction (0 came in, 1 went out, 2 a note in JSON), u32 whole length, u32 kept
length, the kept bytes. Big-endian. Data past MAX_KEPT bytes of a packet is not kept.
"""

from __future__ import annotations

import json
import time
from io import BufferedWriter, FileIO
from struct import Struct

ENTRY = Struct(">QIBII")
IN = 0
OUT = 1
NOTE = 2
MAX_KEPT = 640
"""Bytes of a packet that are kept."""
BUFFER_BYTES = 1 << 18


class PacketRecorder:
    """Appends entries to a record; buffered, flushed by `close` and by its owner."""

    def __init__(self, path: str, role: str, name: str) -> None:
        self.sink = BufferedWriter(FileIO(path, "wb"), BUFFER_BYTES)
        self.sink.write(f"milletsill record 1 {role} {name}\n".encode())

    def put(
        self, connection: int, direction: int, data: bytes, max_kept: int = MAX_KEPT
    ) -> None:
        """Append a packet as it crosses a socket."""
        kept = data[:max_kept]
        head = ENTRY.pack(
            time.monotonic_ns(), connection, direction, len(data), len(kept)
        )
        self.sink.write(head + kept)

    def note(self, **values: object) -> None:
        """Append a note whose values JSON knows."""
        data = json.dumps(values).encode()
        self.put(0, NOTE, data, len(data))

    def flush(self) -> None:
        """Write out what is buffered."""
        self.sink.flush()

    def close(self) -> None:
        """Write out what is buffered and end the record."""
        self.sink.close()
