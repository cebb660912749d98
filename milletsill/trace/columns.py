"""Columns of a block, to and from bytes: the narrowest integers that hold them, dictionaries for texts.

A column is: u8 coding, u8 width, u32 count, u32 bytes, then the data, little-endian. `step` columns hold the first value and
then differences; a column whose differences pass 64 bits is written plain. Texts: u32 how many, each u16 long and its bytes,
then a plain column of their places. Everything read is checked against the bytes at hand before memory is taken.
"""

from __future__ import annotations

from collections.abc import Sequence
from struct import Struct
from struct import error as StructError

import numpy as np

from milletsill.errors import MalformedInput
from milletsill.trace.records import FLOAT, MOST_TEXT, PLAIN, STEP, TEXT

HEAD, U16, U32 = Struct("<BBII"), Struct("<H"), Struct("<I")
WIDTHS = ((1, np.int8), (2, np.int16), (4, np.int32), (8, np.int64))
TYPES = {1: np.dtype("<i1"), 2: np.dtype("<i2"), 4: np.dtype("<i4"), 8: np.dtype("<i8")}
UNSIGNED = 9  # width of columns with values past the signed range
MOST_COUNT, MOST_TEXTS = 1 << 20, 1 << 16


class MalformedColumn(MalformedInput):
    """Octets of a block that are no column."""

    remedy = "the block is lost, the others stand: `milletsill trace repair` keeps them"


def narrow(values: np.ndarray) -> tuple[int, bytes]:
    """The narrowest width that holds them all, and the bytes."""
    low, high = (int(values.min()), int(values.max())) if len(values) else (0, 0)
    width = next(
        width
        for width, kind in WIDTHS
        if np.iinfo(kind).min <= low and high <= np.iinfo(kind).max
    )
    return width, values.astype(TYPES[width]).tobytes()


def put_numbers(values: Sequence[int], coding: int) -> bytes:
    """A column of whole numbers from -2^63 to 2^64 - 1."""
    try:
        held = np.array(values, dtype=np.int64)
    except OverflowError:
        data = np.array([each % (1 << 64) for each in values], dtype="<u8").tobytes()
        return HEAD.pack(PLAIN, UNSIGNED, len(values), len(data)) + data
    if coding == STEP and len(held) > 1:
        steps = np.diff(held)
        if np.array_equal(np.cumsum(np.concatenate((held[:1], steps))), held):
            width, data = narrow(steps)
            data = held[:1].astype("<i8").tobytes() + data
            return HEAD.pack(STEP, width, len(held), len(data)) + data
    width, data = narrow(held)
    return HEAD.pack(PLAIN, width, len(held), len(data)) + data


def put_floats(values: Sequence[float]) -> bytes:
    data = np.array(values, dtype="<f8").tobytes()
    return HEAD.pack(FLOAT, 8, len(values), len(data)) + data


def put_texts(values: Sequence[str]) -> bytes:
    """A dictionary and places in it; a text past MOST_TEXT bytes is cut."""
    places: dict[str, int] = {}
    numbers = [places.setdefault(each, len(places)) for each in values]
    entries = [each.encode("utf-8", "surrogateescape")[:MOST_TEXT] for each in places]
    body = U32.pack(len(entries)) + b"".join(
        U16.pack(len(each)) + each for each in entries
    )
    body += put_numbers(numbers, PLAIN)
    return HEAD.pack(TEXT, 0, len(values), len(body)) + body


def put(values: Sequence[object], coding: int) -> bytes:
    """One column."""
    if coding == FLOAT:
        return put_floats(values)  # type: ignore[arg-type]
    return put_texts(values) if coding == TEXT else put_numbers(values, coding)  # type: ignore[arg-type]


def get(data: bytes, at: int) -> tuple[list[object], int]:
    """A column's values and where it ends."""
    try:
        coding, width, count, size = HEAD.unpack_from(data, at)
    except StructError:
        raise MalformedColumn("a column is cut short") from None
    start = at + HEAD.size
    end = start + size
    if end > len(data) or count > MOST_COUNT:
        raise MalformedColumn(
            f"a column of {count} values in {size} bytes where {len(data) - start} are left"
        )
    body = data[start:end]
    if coding == TEXT:
        return list(get_texts(body, count)), end
    if coding == FLOAT:
        if size != 8 * count:
            raise MalformedColumn(f"{count} floats in {size} bytes")
        return np.frombuffer(body, dtype="<f8").tolist(), end
    return get_numbers(body, coding, width, count), end


def skip(data: bytes, at: int) -> int:
    """Where a column ends, unread."""
    try:
        end = at + HEAD.size + HEAD.unpack_from(data, at)[3]
    except StructError:
        raise MalformedColumn("a column is cut short") from None
    if end > len(data):
        raise MalformedColumn("a column is cut short")
    return end


def get_numbers(body: bytes, coding: int, width: int, count: int) -> list[object]:
    if width == UNSIGNED and coding == PLAIN and len(body) == 8 * count:
        return np.frombuffer(body, dtype="<u8").tolist()
    kind, first = TYPES.get(width), 8 if coding == STEP else 0
    rows = count - 1 if coding == STEP else count
    if (
        kind is None
        or coding not in (STEP, PLAIN)
        or rows < 0
        or len(body) != first + rows * width
    ):
        raise MalformedColumn(
            f"{count} numbers of width {width} and coding {coding} in {len(body)} bytes"
        )
    held = np.frombuffer(body, dtype=kind, offset=first).astype(np.int64)
    if coding == STEP:
        held = np.cumsum(
            np.concatenate((np.frombuffer(body, dtype="<i8", count=1), held))
        )
    return held.tolist()


def get_texts(body: bytes, count: int) -> list[str]:
    try:
        entries, at = U32.unpack_from(body)[0], 4
        if entries > MOST_TEXTS * 16 or 2 * entries > len(body):
            raise MalformedColumn(
                f"a dictionary of {entries} texts in {len(body)} bytes"
            )
        texts = []
        for _ in range(entries):
            size = U16.unpack_from(body, at)[0]
            at += 2
            if at + size > len(body):
                raise MalformedColumn("a dictionary is cut short")
            texts.append(body[at : at + size].decode("utf-8", "surrogateescape"))
            at += size
    except StructError:
        raise MalformedColumn("a dictionary is cut short") from None
    places, end = get(body, at)
    if (
        len(places) != count
        or end != len(body)
        or places
        and not 0 <= min(places) <= max(places) < entries
    ):  # type: ignore[type-var]
        raise MalformedColumn("places that are not in the dictionary")
    return [texts[each] for each in places]  # type: ignore[index]
