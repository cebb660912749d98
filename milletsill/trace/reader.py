"""Reads traces, by the footer's index if the file has one, else block after block.

A truncated file is read up to its last whole block, and damaged blocks in the middle
are skipped. The records of one block at a time are held in memory.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise
from typing import Any, Self

from milletsill.trace.file_format import (
    BLOCK_MAGIC,
    END_MAGIC,
    FILE_HEADER,
    FOOTER_MAGIC,
    MAX_FOOTER_BYTES,
    TRAILER,
    MalformedTraceError,
    decode_block,
    decode_block_header,
    decode_footer,
    decode_header,
    header_size,
)
from milletsill.trace.records import BLOCK_HEADER, BlockHeader, TraceRecord
from milletsill.trace.volume_index import select_blocks

# Called with the number of bytes of each read, to show progress.
ProgressCallback = Callable[[int], None]

# Bytes that are searched at a time for the next block after a damaged one.
SCAN_BYTES = 1 << 20


class FileState(Enum):
    """The completeness of a trace file.

    WHOLE: the file has its footer. OPEN: its blocks reach the end of the file without a
    footer, because it is being written or was truncated between blocks. BROKEN: a part
    of the file is not a readable block.
    """

    WHOLE = 1
    OPEN = 2
    BROKEN = 3


def classify_file(
    blocks_end: int, size: int, has_footer: bool, is_damaged: bool
) -> FileState:
    """Return the state of a file; `blocks_end` is the end of its last whole block."""
    if has_footer:
        return FileState.WHOLE
    if blocks_end == size and not is_damaged:
        return FileState.OPEN
    return FileState.BROKEN


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """A byte range of a file that holds no readable block."""

    offset: int
    size: int
    reason: str


@dataclass
class TraceContents:
    """The contents of a trace file.

    Attributes:
        path: path of the file.
        header: the fields of its header, with its `minor` version.
        blocks: the headers of its blocks.
        damage: the byte ranges that cannot be read.
        state: the completeness of the file.
        bytes_read: bytes read so far.
        volume_blocks: block numbers by volume; None if the file has no volume index.
    """

    path: str
    header: dict[str, Any]
    blocks: list[BlockHeader]
    damage: list[DamagedRange] = field(default_factory=list)
    state: FileState = FileState.WHOLE
    bytes_read: int = 0
    volume_blocks: dict[str, list[int]] | None = None


class TraceReader:
    """One trace file, open for reading.

    A file that is still being written is read up to its last whole block.

    Raises:
        OSError: if the file cannot be read.
        MalformedTraceError: if it does not begin with a trace's header.
    """

    def __init__(self, path: str, progress: ProgressCallback | None = None) -> None:
        self.path = path
        self.progress = progress
        self.file = open(path, "rb")  # noqa: SIM115 - closed by __exit__
        try:
            self.size = os.fstat(self.file.fileno()).st_size
            header_bytes = header_size(self.file.read(FILE_HEADER.size))
            self.file.seek(0)
            header, self.blocks_start = decode_header(self.file.read(header_bytes))
            self.contents = TraceContents(path, header, [], bytes_read=header_bytes)
            self.find_blocks()
        except BaseException:
            self.file.close()
            raise

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    def read_at(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes at an offset; fewer at the end of the file."""
        self.file.seek(offset)
        data = self.file.read(size)
        self.contents.bytes_read += len(data)
        if self.progress is not None:
            self.progress(len(data))
        return data

    def find_blocks(self) -> None:
        """Find the blocks by the footer; without a readable footer, scan for them."""
        try:
            self.contents.blocks = self.read_index()
        except MalformedTraceError:
            self.scan_blocks()

    def read_index(self) -> list[BlockHeader]:
        """Return the blocks that the footer lists.

        A block's size follows from the offset of the next block.

        Raises:
            MalformedTraceError: if there is no complete, valid footer.
        """
        trailer_start = self.size - TRAILER.size
        trailer = self.read_at(max(trailer_start, 0), TRAILER.size)
        if len(trailer) < TRAILER.size:
            raise MalformedTraceError("the file is too short for a trailer")
        footer_start, magic = TRAILER.unpack(trailer)
        if (
            magic != END_MAGIC
            or not self.blocks_start <= footer_start <= trailer_start
            or trailer_start - footer_start > MAX_FOOTER_BYTES
        ):
            raise MalformedTraceError("the file does not end with a valid trailer")
        footer = self.read_at(footer_start, trailer_start - footer_start)
        entries, self.contents.volume_blocks = decode_footer(footer)
        bounds = [entry.offset for entry in entries]
        bounds.append(footer_start)
        if any(start >= end for start, end in pairwise(bounds)) or (
            entries and entries[0].offset != self.blocks_start
        ):
            raise MalformedTraceError(
                "the footer's blocks are not in order from the header on"
            )
        return [
            BlockHeader(
                offset=entry.offset,
                body_size=end - entry.offset - BLOCK_HEADER.size,
                raw_size=0,
                record_count=entry.record_count,
                first_time=entry.first_time,
                last_time=entry.last_time,
                body_crc=0,
                volume_filter=entry.volume_filter,
            )
            for entry, end in zip(entries, bounds[1:], strict=True)
        ]

    def scan_blocks(self) -> None:
        """Find the blocks in order; after damage, search for the next valid header."""
        contents = self.contents
        offset = self.blocks_start
        while offset < self.size:
            block, reason = self.block_at(offset)
            if block is not None:
                contents.blocks.append(block)
                offset = block.end
                continue
            if self.read_at(offset, len(FOOTER_MAGIC)) == FOOTER_MAGIC:
                footer = DamagedRange(
                    offset, self.size - offset, "the footer is truncated or damaged"
                )
                contents.damage.append(footer)
                break
            next_block = self.find_next_block(offset + 1)
            contents.damage.append(DamagedRange(offset, next_block - offset, reason))
            offset = next_block
        end = contents.blocks[-1].end if contents.blocks else self.blocks_start
        contents.state = classify_file(
            end, self.size, has_footer=False, is_damaged=bool(contents.damage)
        )

    def block_at(self, offset: int) -> tuple[BlockHeader | None, str]:
        """Return the header of the whole block at an offset, or None and the reason."""
        try:
            block = decode_block_header(self.read_at(offset, BLOCK_HEADER.size), offset)
        except MalformedTraceError as error:
            return None, str(error)
        if block.end > self.size:
            return None, "the last block is cut short"
        return block, ""

    def find_next_block(self, offset: int) -> int:
        """Return the offset of the next valid block, or the file's size."""
        while offset < self.size:
            found = self.read_at(offset, SCAN_BYTES).find(BLOCK_MAGIC)
            if found < 0:
                offset += SCAN_BYTES - len(BLOCK_MAGIC) + 1
            elif self.block_at(offset + found)[0] is not None:
                return offset + found
            else:
                offset += found + 1
        return self.size

    def blocks_for_volume(self, volume: str | None) -> list[BlockHeader]:
        """Return the blocks that may hold records of a volume; all blocks for None."""
        contents = self.contents
        if volume is None:
            return contents.blocks
        return select_blocks(
            contents.blocks,
            volume,
            contents.volume_blocks,
            contents.header.get("minor", 0),
        )

    def records(
        self,
        since: int | None = None,
        until: int | None = None,
        volume: str | None = None,
        kinds: frozenset[int] | None = None,
    ) -> Iterator[TraceRecord]:
        """Yield the records from `since` to before `until`; None sets no bound.

        `kinds` restricts the result to those kind numbers. `volume` restricts reading
        to blocks that may hold the volume's records; records of other volumes in these
        blocks are included. A damaged block is added to the damage and skipped.
        """
        for block in self.blocks_for_volume(volume):
            if since is not None and block.last_time < since:
                continue
            if until is not None and block.first_time >= until:
                continue
            for record in self.read_block(block, kinds):
                if (since is None or record[0] >= since) and (
                    until is None or record[0] < until
                ):
                    yield record

    def read_block(
        self, block: BlockHeader, kinds: frozenset[int] | None = None
    ) -> list[TraceRecord]:
        """Return the records of a block; add a damaged block to the damage instead."""
        size = BLOCK_HEADER.size + block.body_size
        try:
            data = self.read_at(block.offset, size)
            header = decode_block_header(data, block.offset)
            return decode_block(header, data[BLOCK_HEADER.size :], kinds)
        except MalformedTraceError as error:
            damage = self.contents.damage
            if all(each.offset != block.offset for each in damage):
                damage.append(DamagedRange(block.offset, size, str(error)))
            return []
