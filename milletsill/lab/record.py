"""Records the packets that cross a socket, with the machine's monotonic time.

Stand-in nodes, clients and the registry stand-in write records. A file starts with the
line `milletsill record 1 ROLE NAME`; entries follow, in big-endian order: u64
nanoseconds, u32 connection, u8 direction (0 received, 1 sent, 2 a note in JSON), u32
full length, u32 kept length, the kept bytes. By default at most MAX_KEPT bytes of a
packet are kept.
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
"""Bytes of a packet that are kept by default."""
BUFFER_BYTES = 1 << 18


class PacketRecorder:
    """Appends entries to a record through a buffer.

    `close` flushes the buffer; before that, the owner calls `flush`.
    """

    def __init__(self, path: str, role: str, name: str) -> None:
        self.sink = BufferedWriter(FileIO(path, "wb"), BUFFER_BYTES)
        self.sink.write(f"milletsill record 1 {role} {name}\n".encode())

    def put(
        self, connection: int, direction: int, data: bytes, max_kept: int = MAX_KEPT
    ) -> None:
        """Append a packet that is crossing a socket now."""
        kept = data[:max_kept]
        head = ENTRY.pack(
            time.monotonic_ns(), connection, direction, len(data), len(kept)
        )
        self.sink.write(head + kept)

    def note(self, **values: object) -> None:
        """Append a note; its values must be serializable as JSON."""
        data = json.dumps(values).encode()
        self.put(0, NOTE, data, len(data))

    def flush(self) -> None:
        """Write the buffered entries to the file."""
        self.sink.flush()

    def close(self) -> None:
        """Write the buffered entries to the file and close it."""
        self.sink.close()
