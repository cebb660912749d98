"""Columns of a block, to and from bytes.

Integers take the narrowest width that holds them all, texts a dictionary. A column is
u8 coding, u8 width, u32 count, u32 bytes, then the data, little-endian. A `STEP` column
holds the first value and then differences; a column whose differences pass 64 bits is
written plain. Texts are u32 how many, each u16 length and its bytes, then a plain
column of places in that dictionary. Everything read is checked against the bytes at
hand before memory is taken.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from struct import Struct
from typing import Any, cast

import numpy as np
import numpy.typing as npt

from milletsill.errors import MalformedInputError
from milletsill.trace.records import FLOAT, MAX_TEXT_BYTES, PLAIN, STEP, TEXT

COLUMN_HEADER = Struct("<BBII")
U16 = Struct("<H")
U32 = Struct("<I")
SIGNED_TYPES: dict[int, np.dtype[Any]] = {
    1: np.dtype("<i1"),
    2: np.dtype("<i2"),
    4: np.dtype("<i4"),
    8: np.dtype("<i8"),
}
FLOAT_WIDTH = 8
STEP_START_WIDTH = 8
# The width that stands for unsigned 64-bit integers.
UNSIGNED_WIDTH = 9
MAX_VALUES = 1 << 20
MAX_DICTIONARY = 1 << 20

IntegerArray = npt.NDArray[np.int64]
ColumnValues = list[int] | list[float] | list[str]


class MalformedColumnError(MalformedInputError):
    """Octets of a block that are no column."""

    remedy = "the block is lost, the others stand: `milletsill trace repair` keeps them"


def narrow(values: IntegerArray) -> tuple[int, bytes]:
    """Return the narrowest width that holds the values, and their bytes."""
    low = int(values.min()) if len(values) else 0
    high = int(values.max()) if len(values) else 0
    width = next(
        width
        for width, kind in SIGNED_TYPES.items()
        if np.iinfo(kind).min <= low and high <= np.iinfo(kind).max
    )
    return width, values.astype(SIGNED_TYPES[width]).tobytes()


def encode_integers(values: Sequence[int], coding: int) -> bytes:
    """Encode a column of integers from -2^63 to 2^64 - 1."""
    try:
        array = np.array(values, dtype=np.int64)
    except OverflowError:
        return encode_unsigned(values)
    if coding == STEP and len(array) > 1:
        steps = np.diff(array)
        # Differences may pass 64 bits; then they do not add up to the values again.
        if np.array_equal(add_steps(array[:1], steps), array):
            width, data = narrow(steps)
            data = array[:1].astype("<i8").tobytes() + data
            return COLUMN_HEADER.pack(STEP, width, len(array), len(data)) + data
    width, data = narrow(array)
    return COLUMN_HEADER.pack(PLAIN, width, len(array), len(data)) + data


def add_steps(first: IntegerArray, steps: IntegerArray) -> IntegerArray:
    """Return the values from the first one and the differences that follow."""
    return np.cumsum(np.concatenate((first, steps)))


def encode_unsigned(values: Sequence[int]) -> bytes:
    """Encode a column with integers past the signed range."""
    wrapped = [value % (1 << 64) for value in values]
    data = np.array(wrapped, dtype="<u8").tobytes()
    return COLUMN_HEADER.pack(PLAIN, UNSIGNED_WIDTH, len(values), len(data)) + data


def encode_floats(values: Sequence[float]) -> bytes:
    """Encode a column of 64-bit floats."""
    data = np.array(values, dtype="<f8").tobytes()
    return COLUMN_HEADER.pack(FLOAT, FLOAT_WIDTH, len(values), len(data)) + data


def encode_texts(values: Sequence[str]) -> bytes:
    """Encode a column of texts; one past `MAX_TEXT_BYTES` is cut."""
    places: dict[str, int] = {}
    numbers = [places.setdefault(text, len(places)) for text in values]
    entries = [
        text.encode("utf-8", "surrogateescape")[:MAX_TEXT_BYTES] for text in places
    ]
    body = U32.pack(len(entries)) + b"".join(
        U16.pack(len(entry)) + entry for entry in entries
    )
    body += encode_integers(numbers, PLAIN)
    return COLUMN_HEADER.pack(TEXT, 0, len(values), len(body)) + body


def encode_column(values: Sequence[Any], coding: int) -> bytes:
    """Encode one column of the values that its coding takes."""
    if coding == FLOAT:
        return encode_floats(values)
    if coding == TEXT:
        return encode_texts(values)
    return encode_integers(values, coding)


def decode_column(data: bytes, at: int) -> tuple[ColumnValues, int]:
    """Return the values of the column at an offset, and where it ends.

    Raises:
        MalformedColumnError: where there is no whole column.
    """
    try:
        coding, width, count, size = COLUMN_HEADER.unpack_from(data, at)
    except struct.error:
        raise MalformedColumnError("a column is cut short") from None
    start = at + COLUMN_HEADER.size
    end = start + size
    if end > len(data) or count > MAX_VALUES:
        raise MalformedColumnError(
            f"a column of {count} values in {size} bytes "
            f"where {len(data) - start} are left"
        )
    body = data[start:end]
    if coding == TEXT:
        return decode_texts(body, count), end
    if coding == FLOAT:
        return decode_floats(body, count), end
    return decode_integers(body, coding, width, count), end


def skip_column(data: bytes, at: int) -> int:
    """Return where a column ends, without decoding it."""
    try:
        size: int = COLUMN_HEADER.unpack_from(data, at)[3]
    except struct.error:
        raise MalformedColumnError("a column is cut short") from None
    end = at + COLUMN_HEADER.size + size
    if end > len(data):
        raise MalformedColumnError("a column is cut short")
    return end


def decode_floats(body: bytes, count: int) -> list[float]:
    """Decode the data of a column of floats."""
    if len(body) != FLOAT_WIDTH * count:
        raise MalformedColumnError(f"{count} floats in {len(body)} bytes")
    return cast(list[float], np.frombuffer(body, dtype="<f8").tolist())


def decode_integers(body: bytes, coding: int, width: int, count: int) -> list[int]:
    """Decode the data of a column of integers."""
    if width == UNSIGNED_WIDTH and coding == PLAIN and len(body) == 8 * count:
        return cast(list[int], np.frombuffer(body, dtype="<u8").tolist())
    kind = SIGNED_TYPES.get(width)
    start = STEP_START_WIDTH if coding == STEP else 0
    rows = count - 1 if coding == STEP else count
    if (
        kind is None
        or coding not in (STEP, PLAIN)
        or rows < 0
        or len(body) != start + rows * width
    ):
        raise MalformedColumnError(
            f"{count} numbers of width {width} and coding {coding} in {len(body)} bytes"
        )
    values = np.frombuffer(body, dtype=kind, offset=start).astype(np.int64)
    if coding == STEP:
        first = np.frombuffer(body, dtype="<i8", count=1)
        values = add_steps(first, values)
    return cast(list[int], values.tolist())


def decode_texts(body: bytes, count: int) -> list[str]:
    """Decode the data of a column of texts."""
    texts, at = decode_dictionary(body)
    column, end = decode_column(body, at)
    places = cast(list[int], column)
    if (
        len(places) != count
        or end != len(body)
        or (places and not 0 <= min(places) <= max(places) < len(texts))
    ):
        raise MalformedColumnError("places that are not in the dictionary")
    return [texts[place] for place in places]


def decode_dictionary(body: bytes) -> tuple[list[str], int]:
    """Return the texts of a dictionary, and where it ends."""
    texts: list[str] = []
    try:
        entries: int = U32.unpack_from(body)[0]
        at = U32.size
        if entries > MAX_DICTIONARY or U16.size * entries > len(body):
            raise MalformedColumnError(
                f"a dictionary of {entries} texts in {len(body)} bytes"
            )
        for _ in range(entries):
            size: int = U16.unpack_from(body, at)[0]
            at += U16.size
            if at + size > len(body):
                raise MalformedColumnError("a dictionary is cut short")
            texts.append(body[at : at + size].decode("utf-8", "surrogateescape"))
            at += size
    except struct.error:
        raise MalformedColumnError("a dictionary is cut short") from None
    return texts, at
