"""What crossed a socket, with the machine's monotonic time: written by boxes, clients and the registry stand-in.

A file is a line `milletsill record 1 ROLE NAME` and then entries: u64 nanoseconds, u32 connection, u8 direction (0 came
in, 1 went out, 2 a note in JSON), u32 whole length, u32 kept length, the kept bytes. Big-endian. Data past KEPT bytes
of a packet is not kept.
"""

from __future__ import annotations

import json
import time
from struct import Struct
from typing import Any, BinaryIO

ENTRY = Struct(">QIBII")
IN, OUT, NOTE, KEPT = 0, 1, 2, 640


class Recorder:
    """Appends entries; buffered, flushed by `close` or once a second by whoever owns it."""

    def __init__(self, path: str, role: str, name: str) -> None:
        self.sink: BinaryIO = open(path, "wb", buffering=1 << 18)
        self.sink.write(f"milletsill record 1 {role} {name}\n".encode())

    def put(
        self, connection: int, direction: int, data: bytes, keep: int = KEPT
    ) -> None:
        kept = data[:keep]
        self.sink.write(
            ENTRY.pack(time.monotonic_ns(), connection, direction, len(data), len(kept))
            + kept
        )

    def note(self, **values: Any) -> None:
        data = json.dumps(values).encode()
        self.put(0, NOTE, data, len(data))

    def flush(self) -> None:
        self.sink.flush()

    def close(self) -> None:
        self.sink.close()
