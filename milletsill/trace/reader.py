"""Reads traces: by the footer's index where there is one, by the blocks where not.

A file is read up to where it breaks and, where a block is damaged in the middle, past
it. Memory is bounded by the largest block.
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

# Called with how many bytes were read, for those who show progress.
ProgressCallback = Callable[[int], None]

# Bytes looked through at a time for the next block after a damaged one.
SCAN_BYTES = 1 << 20


class FileState(Enum):
    """What a file is.

    WHOLE: it has its footer. OPEN: its blocks reach its end without one, since it is
    being written or was cut between blocks. BROKEN: something in it is no block.
    """

    WHOLE = 1
    OPEN = 2
    BROKEN = 3


def classify_file(
    blocks_end: int, size: int, has_footer: bool, is_damaged: bool
) -> FileState:
    """Return what a file of this size is, whose last whole block ends there."""
    if has_footer:
        return FileState.WHOLE
    if blocks_end == size and not is_damaged:
        return FileState.OPEN
    return FileState.BROKEN


@dataclass(frozen=True, slots=True)
class DamagedRange:
    """A stretch of a file that holds no readable block."""

    offset: int
    size: int
    reason: str


@dataclass
class TraceContents:
    """What a file holds.

    Attributes:
        path: the file.
        header: the fields of its header, with its `minor` version.
        blocks: the headers of its blocks.
        damage: what of it cannot be read.
        state: what the file is.
        bytes_read: bytes read so far.
        volume_blocks: numbers of the blocks of each volume, where the file says so.
    """

    path: str
    header: dict[str, Any]
    blocks: list[BlockHeader]
    damage: list[DamagedRange] = field(default_factory=list)
    state: FileState = FileState.WHOLE
    bytes_read: int = 0
    volume_blocks: dict[str, list[int]] | None = None


class TraceReader:
    """One file, open for reading.

    A file that is still being written is read up to its last whole block.

    Raises:
        OSError: where the file cannot be read.
        MalformedTraceError: where its beginning is that of no trace.
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
        """Return so many bytes from an offset on; fewer at the end of the file."""
        self.file.seek(offset)
        data = self.file.read(size)
        self.contents.bytes_read += len(data)
        if self.progress is not None:
            self.progress(len(data))
        return data

    def find_blocks(self) -> None:
        """Find the blocks by the index, else by themselves."""
        try:
            self.contents.blocks = self.read_index()
        except MalformedTraceError:
            self.scan_blocks()

    def read_index(self) -> list[BlockHeader]:
        """Return the blocks as the footer has them.

        Their sizes follow from the offset of the next one.

        Raises:
            MalformedTraceError: where there is no whole footer.
        """
        trailer_start = self.size - TRAILER.size
        trailer = self.read_at(max(trailer_start, 0), TRAILER.size)
        if len(trailer) < TRAILER.size:
            raise MalformedTraceError("no trailer")
        footer_start, magic = TRAILER.unpack(trailer)
        if (
            magic != END_MAGIC
            or not self.blocks_start <= footer_start <= trailer_start
            or trailer_start - footer_start > MAX_FOOTER_BYTES
        ):
            raise MalformedTraceError("no trailer")
        footer = self.read_at(footer_start, trailer_start - footer_start)
        entries, self.contents.volume_blocks = decode_footer(footer)
        bounds = [entry.offset for entry in entries]
        bounds.append(footer_start)
        if any(start >= end for start, end in pairwise(bounds)) or (
            entries and entries[0].offset != self.blocks_start
        ):
            raise MalformedTraceError("the footer's blocks do not follow each other")
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
        """Find block after block; past damage the next header that checks out."""
        contents = self.contents
        at = self.blocks_start
        while at < self.size:
            block, reason = self.block_at(at)
            if block is not None:
                contents.blocks.append(block)
                at = block.end
                continue
            if self.read_at(at, len(FOOTER_MAGIC)) == FOOTER_MAGIC:
                footer = DamagedRange(
                    at, self.size - at, "a footer that is cut or damaged"
                )
                contents.damage.append(footer)
                break
            next_block = self.find_next_block(at + 1)
            contents.damage.append(DamagedRange(at, next_block - at, reason))
            at = next_block
        end = contents.blocks[-1].end if contents.blocks else self.blocks_start
        contents.state = classify_file(
            end, self.size, has_footer=False, is_damaged=bool(contents.damage)
        )

    def block_at(self, at: int) -> tuple[BlockHeader | None, str]:
        """Return the header of the whole block at an offset, or why there is none."""
        try:
            block = decode_block_header(self.read_at(at, BLOCK_HEADER.size), at)
        except MalformedTraceError as error:
            return None, str(error)
        if block.end > self.size:
            return None, "the last block is cut short"
        return block, ""

    def find_next_block(self, at: int) -> int:
        """Return where the next block begins that checks out, or the end."""
        while at < self.size:
            found = self.read_at(at, SCAN_BYTES).find(BLOCK_MAGIC)
            if found < 0:
                at += SCAN_BYTES - len(BLOCK_MAGIC) + 1
            elif self.block_at(at + found)[0] is not None:
                return at + found
            else:
                at += found + 1
        return self.size

    def blocks_of(self, volume: str | None) -> list[BlockHeader]:
        """Return the blocks that may tell of a volume; all of them for None."""
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
        """Yield the records from `since` on and before `until`, only of `kinds`.

        With a volume only the blocks are read that may tell of it; their records of
        other volumes are not left out. A damaged block is noted and passed over.
        """
        for block in self.blocks_of(volume):
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
        """Return the records of one block; none where it is damaged, which is noted."""
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
