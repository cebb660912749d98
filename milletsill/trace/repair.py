"""Verifies traces in full, and repairs damaged ones."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import BinaryIO

from milletsill.trace.file_format import FILE_HEADER, encode_footer, header_size
from milletsill.trace.reader import (
    FileState,
    ProgressCallback,
    TraceContents,
    TraceReader,
)
from milletsill.trace.records import BLOCK_HEADER
from milletsill.trace.volume_index import VolumeIndexBuilder

COPY_BYTES = 1 << 20


def verify(path: str, progress: ProgressCallback | None = None) -> TraceContents:
    """Read a file in full and return the contents that are undamaged.

    Every block is decoded, and the volume index is rebuilt from the records.

    Raises:
        OSError: if the file cannot be read.
        MalformedTraceError: if it is not a trace.
    """
    with TraceReader(path, progress) as reader:
        contents = reader.contents
        whole_blocks = []
        volume_index = VolumeIndexBuilder()
        for block in contents.blocks:
            records = reader.read_block(block)
            if records:
                whole_blocks.append(block)
                volume_index.add_block(records)
        contents.blocks = whole_blocks
        contents.volume_blocks = volume_index.blocks
        if contents.damage:
            contents.state = FileState.BROKEN
        return contents


def repair(
    path: str, out: str, progress: ProgressCallback | None = None
) -> TraceContents:
    """Write the undamaged blocks of a file to the new file `out`, with a new footer.

    The blocks are copied byte for byte.

    Raises:
        OSError: if a file cannot be read or written, or `out` exists.
        MalformedTraceError: if the source is not a trace.
    """
    contents = verify(path, progress)
    with open(path, "rb") as source, open(out, "xb") as target:
        copy(source, target, 0, header_size(source.read(FILE_HEADER.size)))
        blocks = []
        for block in contents.blocks:
            blocks.append(replace(block, offset=target.tell()))
            copy(source, target, block.offset, BLOCK_HEADER.size + block.body_size)
        target.write(encode_footer(blocks, target.tell(), contents.volume_blocks))
        target.flush()
        os.fsync(target.fileno())
    return contents


def copy(source: BinaryIO, target: BinaryIO, offset: int, size: int) -> None:
    """Copy `size` bytes from an offset of the source; fewer at its end."""
    source.seek(offset)
    while size > 0 and (data := source.read(min(size, COPY_BYTES))):
        target.write(data)
        size -= len(data)
