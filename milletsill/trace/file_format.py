r"""Encodes and decodes trace files; docs/trace-format.md specifies every byte.

This module performs no I/O. The parts of a file, in order:

    header   "MTRACE\r\n", u16 major, u16 minor, u32 size, u32 crc32, then JSON
    block    "MBLK", u32 size, u32 raw size, u32 records, i64 first time, i64 last time,
             u32 crc32 of the body, 32 bytes volume filter, u32 crc32 of this block
             header, then the body: zstandard
    footer   "MFTR", u32 size, u32 crc32, then zstandard: for each block u64 offset,
             u32 records, i64 first time, i64 last time, 32 bytes filter
    volumes  "MSTO", u32 size, u32 crc32, then zstandard: for each volume its name and
             the numbers of its blocks (since 1.1)
    trailer  u64 offset of the footer, "MEND"

All integers are little-endian. A body consists of columns: the records' kinds, their
times, then for each kind and field u8 kind, u8 field and a column; a reader skips kinds
and fields that it does not know. The footer only speeds up reading: the blocks alone
hold all records.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from struct import Struct
from typing import Any

import numpy as np
import zstandard

from milletsill.errors import MalformedInputError
from milletsill.trace.block_body import decode_body, encode_body
from milletsill.trace.columns import MalformedColumnError
from milletsill.trace.records import (
    BLOCK_HEADER,
    MAX_TEXT_BYTES,
    BlockHeader,
    TraceRecord,
)
from milletsill.trace.volume_index import (
    MAX_INDEXED_VOLUMES,
    VolumeIndexBuilder,
    build_filter,
)

FILE_MAGIC = b"MTRACE\r\n"
BLOCK_MAGIC = b"MBLK"
FOOTER_MAGIC = b"MFTR"
VOLUMES_MAGIC = b"MSTO"
END_MAGIC = b"MEND"
MAJOR_VERSION = 1
MINOR_VERSION = 2

FILE_HEADER = Struct("<8sHHII")
SECTION_HEADER = Struct("<4sII")
TRAILER = Struct("<Q4s")
FOOTER_ENTRY = Struct("<QIqq32s")
NAME_SIZE = Struct("<H")
BLOCK_NUMBER = Struct("<I")
CRC_BYTES = 4

COMPRESSION_LEVEL = 6
MAX_BODY_BYTES = 1 << 26
MAX_RAW_BYTES = 1 << 27
MAX_RECORDS = 1 << 20
MAX_HEADER_BYTES = 1 << 24
MAX_FOOTER_BYTES = 1 << 28


class MalformedTraceError(MalformedInputError):
    """A file that is not a trace, or a trace that is damaged."""

    remedy = (
        "`milletsill trace verify` shows which parts are damaged, "
        "`trace repair` keeps the blocks that are undamaged"
    )


@dataclass(frozen=True, slots=True)
class FooterEntry:
    """The footer's entry of one block; the fields have the meaning of `BlockHeader`."""

    offset: int
    record_count: int
    first_time: int
    last_time: int
    volume_filter: bytes


def compress(data: bytes) -> bytes:
    """Return the data as one zstandard frame."""
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data)


def decompress(body: bytes, max_bytes: int, part: str) -> bytes:
    """Return the decompressed data of a zstandard frame.

    A frame that claims more than `max_bytes` is rejected before memory is allocated;
    the output of any frame is limited to `max_bytes`. `part` names it in the error.

    Raises:
        MalformedTraceError: if it is too large or not a zstandard frame.
    """
    try:
        if zstandard.frame_content_size(body) > max_bytes:
            raise MalformedTraceError(
                f"{part} decompresses to more than {max_bytes} bytes"
            )
        return zstandard.ZstdDecompressor().decompress(body, max_output_size=max_bytes)
    except zstandard.ZstdError as error:
        raise MalformedTraceError(f"{part} cannot be decompressed: {error}") from None


def encode_header(header: dict[str, Any]) -> bytes:
    """Encode the header of a file from its JSON fields."""
    body = json.dumps(header, sort_keys=True).encode()
    fixed = FILE_HEADER.pack(
        FILE_MAGIC, MAJOR_VERSION, MINOR_VERSION, len(body), zlib.crc32(body)
    )
    return fixed + body


def decode_header(data: bytes) -> tuple[dict[str, Any], int]:
    """Return the header's fields with the minor version, and the offset of its end.

    `data` holds the beginning of the file.

    Raises:
        MalformedTraceError: if it is not a header or has another major version.
    """
    if len(data) < FILE_HEADER.size:
        raise MalformedTraceError(
            f"too short for a trace: {len(data)} bytes "
            f"of a {FILE_HEADER.size}-byte file header"
        )
    magic, major, minor, size, crc = FILE_HEADER.unpack_from(data)
    if magic != FILE_MAGIC:
        raise MalformedTraceError(f"not a trace: it does not begin with {FILE_MAGIC!r}")
    if major != MAJOR_VERSION:
        raise MalformedTraceError(
            f"format {major}.{minor} is not supported, expected {MAJOR_VERSION}.x"
        )
    body = data[FILE_HEADER.size : FILE_HEADER.size + size]
    if size > MAX_HEADER_BYTES or len(body) < size or zlib.crc32(body) != crc:
        raise MalformedTraceError("the header is truncated, too large or damaged")
    try:
        header = json.loads(body)
    except (ValueError, RecursionError):
        raise MalformedTraceError("the header is not JSON") from None
    if not isinstance(header, dict):
        raise MalformedTraceError("the header is not a JSON object")
    return {**header, "minor": minor}, FILE_HEADER.size + size


def header_size(start: bytes) -> int:
    """Return the header's size in bytes; `start` is its first `FILE_HEADER.size`."""
    if len(start) < FILE_HEADER.size:
        raise MalformedTraceError(
            f"too short for a trace: {len(start)} bytes "
            f"of a {FILE_HEADER.size}-byte file header"
        )
    size: int = FILE_HEADER.unpack_from(start)[3]
    if size > MAX_HEADER_BYTES:
        raise MalformedTraceError(
            f"a header claims {size} bytes, at most {MAX_HEADER_BYTES} are allowed"
        )
    return FILE_HEADER.size + size


def encode_section(magic: bytes, raw: bytes) -> bytes:
    """Encode the footer or the volume index from its uncompressed bytes."""
    body = compress(raw)
    return SECTION_HEADER.pack(magic, len(body), zlib.crc32(body)) + body


def encode_volume_index(blocks: dict[str, list[int]] | None) -> bytes:
    """Encode the volume index; return no bytes if the file has none."""
    if blocks is None:
        return b""
    parts = []
    for volume, numbers in blocks.items():
        name = volume.encode("utf-8", "surrogateescape")[:MAX_TEXT_BYTES]
        parts += [
            NAME_SIZE.pack(len(name)),
            name,
            BLOCK_NUMBER.pack(len(numbers)),
            np.array(numbers, "<u4").tobytes(),
        ]
    return encode_section(VOLUMES_MAGIC, b"".join(parts))


def decode_volume_index(data: bytes) -> dict[str, list[int]] | None:
    """Return the volume index between footer and trailer; None if there is none.

    Raises:
        MalformedTraceError: if the volume index is truncated, damaged or too large.
    """
    if len(data) < SECTION_HEADER.size or not data.startswith(VOLUMES_MAGIC):
        return None
    _, size, crc = SECTION_HEADER.unpack_from(data)
    body = data[SECTION_HEADER.size : SECTION_HEADER.size + size]
    if len(body) != size or zlib.crc32(body) != crc:
        raise MalformedTraceError("the volume index is truncated or damaged")
    raw = decompress(body, MAX_FOOTER_BYTES, "the volume index")
    position = 0
    found: dict[str, list[int]] = {}
    try:
        while position < len(raw):
            name_start = position + NAME_SIZE.size
            name_end = name_start + NAME_SIZE.unpack_from(raw, position)[0]
            count = BLOCK_NUMBER.unpack_from(raw, name_end)[0]
            numbers_start = name_end + BLOCK_NUMBER.size
            end = numbers_start + BLOCK_NUMBER.size * count
            if end > len(raw) or len(found) >= MAX_INDEXED_VOLUMES:
                raise MalformedTraceError(
                    "the volume index is truncated or has more than "
                    f"{MAX_INDEXED_VOLUMES} volumes"
                )
            name = raw[name_start:name_end].decode("utf-8", "surrogateescape")
            found[name] = np.frombuffer(raw, "<u4", count, numbers_start).tolist()
            position = end
    except struct.error:
        raise MalformedTraceError("the volume index is truncated") from None
    return found


def encode_block(
    records: Sequence[TraceRecord], volumes: Iterable[str] | None = None
) -> bytes:
    """Encode a block of records in the given order.

    `volumes` are the volumes that the records concern, as a `VolumeIndexBuilder` of the
    file found them; None finds them from these records alone.
    """
    if volumes is None:
        volumes = VolumeIndexBuilder().add_block(records)
    raw = encode_body(records)
    body = compress(raw)
    times = [at for at, _, _ in records]
    header = BLOCK_HEADER.pack(
        BLOCK_MAGIC,
        len(body),
        len(raw),
        len(records),
        min(times),
        max(times),
        zlib.crc32(body),
        build_filter(volumes),
        0,
    )
    checked = header[:-CRC_BYTES]
    return checked + zlib.crc32(checked).to_bytes(CRC_BYTES, "little") + body


def decode_block_header(data: bytes, offset: int) -> BlockHeader:
    """Return the header of a block; `data` begins at `offset` of the file.

    Raises:
        MalformedTraceError: if it is not a block header or exceeds a block's limits.
    """
    if len(data) < BLOCK_HEADER.size:
        raise MalformedTraceError("a block header is cut short")
    magic, size, raw, records, first, last, crc, volumes, own_crc = (
        BLOCK_HEADER.unpack_from(data)
    )
    checked = data[: BLOCK_HEADER.size - CRC_BYTES]
    if magic != BLOCK_MAGIC or zlib.crc32(checked) != own_crc:
        raise MalformedTraceError(
            "expected a block header, found none or a damaged one"
        )
    if size > MAX_BODY_BYTES or raw > MAX_RAW_BYTES or not 0 < records <= MAX_RECORDS:
        raise MalformedTraceError(
            f"a block header claims {size} bytes, {raw} decompressed, "
            f"and {records} records, beyond the limits of a block"
        )
    return BlockHeader(offset, size, raw, records, first, last, crc, volumes)


def decode_block(
    header: BlockHeader, body: bytes, kinds: frozenset[int] | None = None
) -> list[TraceRecord]:
    """Return the records of a block.

    Records of unknown kinds are omitted; `kinds` restricts the result further to those
    kind numbers.

    Raises:
        MalformedTraceError: if the body does not match the header.
    """
    if len(body) != header.body_size or zlib.crc32(body) != header.body_crc:
        raise MalformedTraceError("a block is truncated or damaged")
    raw = decompress(body, header.raw_size, "a block")
    if len(raw) != header.raw_size:
        raise MalformedTraceError(
            f"a block decompresses to {len(raw)} bytes, its header "
            f"says {header.raw_size}"
        )
    try:
        return list(decode_body(raw, header.record_count, kinds))
    except MalformedColumnError as error:
        raise MalformedTraceError(f"a block has a malformed body: {error}") from None


def encode_footer(
    blocks: Sequence[BlockHeader],
    offset: int,
    volume_blocks: dict[str, list[int]] | None = None,
) -> bytes:
    """Encode the footer, the volume index and the trailer.

    `offset` is the footer's position in the file.
    """
    raw = b"".join(
        FOOTER_ENTRY.pack(
            block.offset,
            block.record_count,
            block.first_time,
            block.last_time,
            block.volume_filter,
        )
        for block in blocks
    )
    return (
        encode_section(FOOTER_MAGIC, raw)
        + encode_volume_index(volume_blocks)
        + TRAILER.pack(offset, END_MAGIC)
    )


def decode_footer(
    data: bytes,
) -> tuple[list[FooterEntry], dict[str, list[int]] | None]:
    """Return the footer's entries, and the volume index or None.

    `data` begins with the footer and ends before the trailer.

    Raises:
        MalformedTraceError: if either section is truncated or damaged.
    """
    if len(data) < SECTION_HEADER.size:
        raise MalformedTraceError("the footer is cut short")
    magic, size, crc = SECTION_HEADER.unpack_from(data)
    body = data[SECTION_HEADER.size : SECTION_HEADER.size + size]
    if magic != FOOTER_MAGIC or len(body) != size or zlib.crc32(body) != crc:
        raise MalformedTraceError("the footer is truncated or damaged")
    raw = decompress(body, MAX_FOOTER_BYTES, "the footer")
    if len(raw) % FOOTER_ENTRY.size:
        raise MalformedTraceError(
            f"the footer's {len(raw)} bytes are not a whole number of "
            f"{FOOTER_ENTRY.size}-byte entries"
        )
    entries = [FooterEntry(*fields) for fields in FOOTER_ENTRY.iter_unpack(raw)]
    volume_blocks = decode_volume_index(data[SECTION_HEADER.size + size :])
    if volume_blocks is not None and any(
        numbers and not 0 <= numbers[-1] < len(entries)
        for numbers in volume_blocks.values()
    ):
        raise MalformedTraceError(
            f"the volume index refers to blocks beyond the footer's {len(entries)}"
        )
    return entries, volume_blocks
