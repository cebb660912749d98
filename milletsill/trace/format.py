"""The file, exact to the byte (docs/trace-format.md): header, blocks, footer. No files are opened here.

    header   "MTRACE\\r\\n", u16 major, u16 minor, u32 size, u32 crc32, then JSON: who wrote, facts, seed, clock origin
    block    "MBLK", u32 size, u32 raw size, u32 records, i64 first time, i64 last time, u32 crc32 of the body,
             32 bytes filter of stores, u32 crc32 of this head, then the body: zstandard
    footer   "MFTR", u32 size, u32 crc32, then zstandard: for each block u64 offset, u32 records, i64, i64, 32 bytes
    stores   "MSTO", u32 size, u32 crc32, then zstandard: for each store its name and the numbers of its blocks (since 1.1)
    trailer  u64 offset of the footer, "MEND"

All little-endian. A body is columns: the records' kinds, their times, then for each kind and field u8 kind, u8 field and a
column; what a reader does not know it skips. The footer is a help: blocks alone say all of it.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Iterator, Sequence
from functools import lru_cache
from struct import Struct
from struct import error as StructError
from typing import Any

import numpy as np
import xxhash
import zstandard

from milletsill.errors import MalformedInput
from milletsill.trace import columns
from milletsill.trace.recording_policy import MOST_INDEXED, Stores
from milletsill.trace.records import (
    BLOCK_HEAD,
    BY_NUMBER,
    PLAIN,
    STEP,
    BlockHead,
    Row,
)

MAGIC, BLOCK, FOOTER, STORES, END = b"MTRACE\r\n", b"MBLK", b"MFTR", b"MSTO", b"MEND"
MAJOR, MINOR = 1, 2
HEAD, FOOTER_HEAD, TRAILER = Struct("<8sHHII"), Struct("<4sII"), Struct("<Q4s")
ENTRY = Struct("<QIqq32s")
FIELD, NAME_SIZE, NUMBER = Struct("<BB"), Struct("<H"), Struct("<I")
LEVEL, FILTER_BITS, FILTER_HASHES = 6, 256, 3
MOST_BODY, MOST_RAW, MOST_RECORDS, MOST_HEADER, MOST_FOOTER = (
    1 << 26,
    1 << 27,
    1 << 20,
    1 << 24,
    1 << 28,
)


class MalformedTrace(MalformedInput):
    """A file that is no trace, or no longer one."""

    remedy = "`milletsill trace verify` says what is broken, `trace repair` keeps the blocks that are whole"


def store_bits(store: str) -> list[int]:
    """The bits that a store sets in a filter."""
    data = store.encode("utf-8", "surrogateescape")
    return [
        xxhash.xxh32_intdigest(data, seed=each) % FILTER_BITS
        for each in range(FILTER_HASHES)
    ]


@lru_cache(maxsize=4096)
def store_mask(store: str) -> int:
    """The bits that a store sets, as a number."""
    return sum({1 << bit for bit in store_bits(store)})


def filter_of(stores: Iterable[str]) -> bytes:
    """A filter of 256 bits, three for each store; all set where a block holds so many that it would say nothing."""
    bits = 0
    for store in set(stores):
        bits |= store_mask(store)
    return bits.to_bytes(32, "little")


def may_hold(stores: bytes, store: str) -> bool:
    """Whether a block with this filter may hold records of the store."""
    bits = int.from_bytes(stores, "little")
    return all(bits >> bit & 1 for bit in store_bits(store))


def put_header(about: dict[str, Any]) -> bytes:
    body = json.dumps(about, sort_keys=True).encode()
    return HEAD.pack(MAGIC, MAJOR, MINOR, len(body), zlib.crc32(body)) + body


def get_header(data: bytes) -> tuple[dict[str, Any], int]:
    """What the header says, and where it ends. `data` holds the file's beginning."""
    if len(data) < HEAD.size:
        raise MalformedTrace("too short for a trace")
    magic, major, minor, size, crc = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise MalformedTrace("not a trace")
    if major != MAJOR:
        raise MalformedTrace(f"format {major}.{minor}, {MAJOR}.x is read")
    body = data[HEAD.size : HEAD.size + size]
    if size > MOST_HEADER or len(body) < size or zlib.crc32(body) != crc:
        raise MalformedTrace("the header is cut or damaged")
    try:
        about = json.loads(body)
    except (ValueError, RecursionError):
        raise MalformedTrace("the header is not JSON") from None
    if not isinstance(about, dict):
        raise MalformedTrace("the header is not a JSON object")
    return {**about, "minor": minor}, HEAD.size + size


def header_size(start: bytes) -> int:
    """How many bytes of a file its header takes, from the first HEAD.size of them."""
    if len(start) < HEAD.size:
        raise MalformedTrace("too short for a trace")
    size = HEAD.unpack_from(start)[3]
    if size > MOST_HEADER:
        raise MalformedTrace(f"a header of {size} bytes")
    return HEAD.size + size


def put_stores(blocks: dict[str, list[int]] | None) -> bytes:
    """The index of stores, to stand between footer and trailer; nothing where it was given up."""
    if blocks is None:
        return b""
    parts = []
    for store, numbers in blocks.items():
        name = store.encode("utf-8", "surrogateescape")[: columns.MOST_TEXT]
        parts += [
            NAME_SIZE.pack(len(name)),
            name,
            NUMBER.pack(len(numbers)),
            np.array(numbers, "<u4").tobytes(),
        ]
    body = zstandard.ZstdCompressor(level=LEVEL).compress(b"".join(parts))
    return FOOTER_HEAD.pack(STORES, len(body), zlib.crc32(body)) + body


def get_stores(data: bytes) -> dict[str, list[int]] | None:
    """The index of stores from what stands between footer and trailer; None where there is none."""
    if len(data) < FOOTER_HEAD.size or not data.startswith(STORES):
        return None
    _, size, crc = FOOTER_HEAD.unpack_from(data)
    body = data[FOOTER_HEAD.size : FOOTER_HEAD.size + size]
    if len(body) != size or zlib.crc32(body) != crc:
        raise MalformedTrace("the index of stores is cut or damaged")
    raw, at, found = (
        unpack(body, MOST_FOOTER, "the index of stores"),
        0,
        dict[str, list[int]](),
    )
    try:
        while at < len(raw):
            name_ends = at + NAME_SIZE.size + NAME_SIZE.unpack_from(raw, at)[0]
            count = NUMBER.unpack_from(raw, name_ends)[0]
            ends = name_ends + NUMBER.size + 4 * count
            if ends > len(raw) or len(found) >= MOST_INDEXED:
                raise MalformedTrace("the index of stores is cut short or too large")
            name = raw[at + NAME_SIZE.size : name_ends].decode(
                "utf-8", "surrogateescape"
            )
            found[name] = np.frombuffer(
                raw, "<u4", count, name_ends + NUMBER.size
            ).tolist()
            at = ends
    except StructError:
        raise MalformedTrace("the index of stores is cut short") from None
    return found


def put_block(rows: Sequence[Row], stores: Iterable[str] | None = None) -> bytes:
    """A block of these records, in their order; `stores` are those that it tells of, where `Stores` has found them."""
    if stores is None:
        stores = Stores().touched(rows)
    parts = [
        columns.put([kind.number for _, kind, _ in rows], PLAIN),
        columns.put([at for at, _, _ in rows], STEP),
    ]
    by_kind: dict[int, list[tuple[Any, ...]]] = {}
    for _, kind, values in rows:
        by_kind.setdefault(kind.number, []).append(values)
    for number, held in sorted(by_kind.items()):
        kind = BY_NUMBER[number]
        for place, ((_, coding), column) in enumerate(zip(kind.fields, zip(*held)), 1):
            parts.append(FIELD.pack(number, place) + columns.put(column, coding))
    raw = b"".join(parts)
    body = zstandard.ZstdCompressor(level=LEVEL).compress(raw)
    times = [at for at, _, _ in rows]
    head = BLOCK_HEAD.pack(
        BLOCK,
        len(body),
        len(raw),
        len(rows),
        min(times),
        max(times),
        zlib.crc32(body),
        filter_of(stores),
        0,
    )
    return head[:-4] + zlib.crc32(head[:-4]).to_bytes(4, "little") + body


def get_head(data: bytes, offset: int) -> BlockHead:
    """The head of the block whose bytes begin `data`."""
    if len(data) < BLOCK_HEAD.size:
        raise MalformedTrace("a block's head is cut short")
    magic, size, raw, records, first, last, crc, stores, own = BLOCK_HEAD.unpack_from(
        data
    )
    if magic != BLOCK or zlib.crc32(data[: BLOCK_HEAD.size - 4]) != own:
        raise MalformedTrace("no block here, or its head is damaged")
    if size > MOST_BODY or raw > MOST_RAW or not 0 < records <= MOST_RECORDS:
        raise MalformedTrace(f"a block of {size} bytes and {records} records")
    return BlockHead(offset, size, raw, records, first, last, crc, stores)


def unpack(body: bytes, most: int, what: str) -> bytes:
    """Unpacked bytes, at most so many: a body that claims or yields more is refused before memory is taken."""
    try:
        if zstandard.frame_content_size(body) > most:
            raise MalformedTrace(f"{what} unpacks to more than {most} bytes")
        return zstandard.ZstdDecompressor().decompress(body, max_output_size=most)
    except zstandard.ZstdError as error:
        raise MalformedTrace(f"{what} cannot be unpacked: {error}") from None


def get_rows(
    head: BlockHead, body: bytes, only: frozenset[int] | None = None
) -> list[Row]:
    """The records of a block, those of unknown kinds left out, or all but the kinds of `only`; `BadTrace` where the body is
    not what the head says.
    """
    if len(body) != head.size or zlib.crc32(body) != head.crc:
        raise MalformedTrace("a block is cut or damaged")
    raw = unpack(body, head.raw, "a block")
    if len(raw) != head.raw:
        raise MalformedTrace("a block unpacks to another size")
    try:
        return list(rows_of(raw, head.records, only))
    except columns.MalformedColumn as error:
        raise MalformedTrace(f"in a block: {error}") from None


def rows_of(
    raw: bytes, records: int, only: frozenset[int] | None = None
) -> Iterator[Row]:
    kinds, at = columns.get(raw, 0)
    times, at = columns.get(raw, at)
    if len(kinds) != records or len(times) != records:
        raise columns.MalformedColumn(
            f"{len(kinds)} kinds and {len(times)} times of {records} records"
        )
    held: dict[int, dict[int, list[object]]] = {}
    while at < len(raw):
        if len(raw) - at < FIELD.size:
            raise columns.MalformedColumn("bytes left over")
        number, place = FIELD.unpack_from(raw, at)
        if only is not None and number not in only:
            at = columns.skip(raw, at + FIELD.size)
            continue
        held.setdefault(number, {})[place], at = columns.get(raw, at + FIELD.size)
    counts = {number: kinds.count(number) for number in set(kinds)}
    walks: dict[object, Iterator[tuple[Any, ...]]] = {}
    for number, count in counts.items():
        kind = BY_NUMBER.get(number)  # type: ignore[call-overload]
        if kind is None or only is not None and number not in only:
            continue
        fields = [
            held.get(kind.number, {}).get(place)
            for place in range(1, len(kind.fields) + 1)
        ]
        if any(each is None or len(each) != count for each in fields):
            raise columns.MalformedColumn(
                f"fields of {kind.name} are missing or of another length"
            )
        walks[number] = zip(*fields) if fields else iter([()] * count)  # type: ignore[arg-type]
    for number, time in zip(kinds, times):
        if number in walks:
            yield time, BY_NUMBER[number], next(walks[number])  # type: ignore[misc,index]


def put_footer(
    heads: Sequence[BlockHead], offset: int, blocks: dict[str, list[int]] | None = None
) -> bytes:
    """The indexes by time and store and the trailer, to stand at `offset`."""
    raw = b"".join(
        ENTRY.pack(each.offset, each.records, each.first, each.last, each.stores)
        for each in heads
    )
    body = zstandard.ZstdCompressor(level=LEVEL).compress(raw)
    return (
        FOOTER_HEAD.pack(FOOTER, len(body), zlib.crc32(body))
        + body
        + put_stores(blocks)
        + TRAILER.pack(offset, END)
    )


def get_footer(
    data: bytes,
) -> tuple[list[tuple[int, int, int, int, bytes]], dict[str, list[int]] | None]:
    """The indexes from a footer's bytes, the trailer left out: offset, records, first, last, filter; blocks of stores."""
    if len(data) < FOOTER_HEAD.size:
        raise MalformedTrace("the footer is cut short")
    magic, size, crc = FOOTER_HEAD.unpack_from(data)
    body = data[FOOTER_HEAD.size : FOOTER_HEAD.size + size]
    if magic != FOOTER or len(body) != size or zlib.crc32(body) != crc:
        raise MalformedTrace("the footer is cut or damaged")
    raw = unpack(body, MOST_FOOTER, "the footer")
    if len(raw) % ENTRY.size:
        raise MalformedTrace("the footer is no list of blocks")
    entries = list(ENTRY.iter_unpack(raw))
    stores = get_stores(data[FOOTER_HEAD.size + size :])
    if stores is not None and any(
        each and not 0 <= each[-1] < len(entries) for each in stores.values()
    ):
        raise MalformedTrace("the index of stores names blocks that are not there")
    return entries, stores
