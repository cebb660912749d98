"""Writes trace files in the caller's thread, for tools and simulations."""

from __future__ import annotations

import os
from collections.abc import Iterable
from typing import Any

from milletsill.trace.file_format import (
    decode_block_header,
    encode_block,
    encode_footer,
    encode_header,
)
from milletsill.trace.recording_policy import (
    MAX_BLOCK_AGE,
    MAX_BLOCK_RECORDS,
    block_is_due,
)
from milletsill.trace.records import BY_NAME, BlockHeader, TraceRecord
from milletsill.trace.volume_index import VolumeIndexBuilder


class TraceFile:
    """A new trace file, written block by block, with its footer written at the end.

    An existing file is never overwritten.

    Raises:
        OSError: if the file exists or cannot be written.
    """

    def __init__(self, path: str, header: dict[str, Any]) -> None:
        self.file = open(path, "xb")  # noqa: SIM115 - closed by close()
        fields = {name: value for name, value in header.items() if name != "minor"}
        data = encode_header(fields)
        self.file.write(data)
        self.size = len(data)
        self.records: list[TraceRecord] = []
        self.blocks: list[BlockHeader] = []
        self.volume_index = VolumeIndexBuilder()

    def append(self, record: TraceRecord) -> None:
        """Add a record; write the block once it is full."""
        self.records.append(record)
        if len(self.records) >= MAX_BLOCK_RECORDS:
            self.flush()

    def flush(self) -> None:
        """Write the buffered records as a block."""
        if not self.records:
            return
        volumes = self.volume_index.add_block(self.records)
        data = encode_block(self.records, volumes)
        self.blocks.append(decode_block_header(data, self.size))
        self.file.write(data)
        self.size += len(data)
        self.records = []

    def write_all(self, records: Iterable[TraceRecord]) -> int:
        """Add all records, close the file, and return the number of records."""
        count = 0
        for record in records:
            self.append(record)
            count += 1
        self.close()
        return count

    def close(self) -> None:
        """Write the last block and the footer, sync the file and close it."""
        self.flush()
        footer = encode_footer(self.blocks, self.size, self.volume_index.blocks)
        self.file.write(footer)
        self.file.flush()
        os.fsync(self.file.fileno())
        self.file.close()


class SimulationTrace:
    """A `RecordSink` for simulations: like a `TraceWriter`, but without a thread.

    Blocks end by size and by age as in a `TraceWriter`; the age follows the times of
    the records, which are on the simulated clock.
    """

    def __init__(
        self, path: str, header: dict[str, Any], max_block_age: int = MAX_BLOCK_AGE
    ) -> None:
        self.trace_file = TraceFile(path, header)
        self.max_block_age = max_block_age

    def put(self, name: str, at: int, *values: Any) -> None:
        """Add one record."""
        records = self.trace_file.records
        if records and block_is_due(
            len(records), records[0][0], at, self.max_block_age
        ):
            self.flush()
            records = self.trace_file.records
        records.append((at, BY_NAME[name], values))

    def flush(self) -> None:
        """Write the buffered records as a block."""
        self.trace_file.flush()

    def close(self) -> None:
        """Close the file."""
        self.trace_file.close()
