"""Encodes and decodes the columns of a block.

Integers are stored in the narrowest width that holds all values of the column, texts by
a dictionary. A column is u8 coding, u8 width, u32 count, u32 data size in bytes, then
the data, little-endian. A `STEP` column is delta-encoded: the first value, then the
differences. A column whose differences overflow 64 bits is stored as `PLAIN`. A text
column is a u32 entry count, then for each entry a u16 length and its bytes, then a
plain column of indexes into that dictionary. The decoder checks every size against the
available bytes before it allocates memory.
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
# This width code marks unsigned 64-bit integers, which take 8 bytes each.
UNSIGNED_WIDTH = 9
MAX_VALUES = 1 << 20
MAX_DICTIONARY = 1 << 20

IntegerArray = npt.NDArray[np.int64]
ColumnValues = list[int] | list[float] | list[str]


class MalformedColumnError(MalformedInputError):
    """Bytes of a block that do not form a valid column."""

    remedy = (
        "the block is lost and the other blocks remain readable: "
        "`milletsill trace repair` keeps them"
    )


def to_narrowest_type(values: IntegerArray) -> tuple[int, bytes]:
    """Return the narrowest integer width that holds all values, and their bytes."""
    low = int(values.min()) if len(values) else 0
    high = int(values.max()) if len(values) else 0
    width = next(
        width
        for width, dtype in SIGNED_TYPES.items()
        if np.iinfo(dtype).min <= low and high <= np.iinfo(dtype).max
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
        # Differences may overflow 64 bits; their sums then differ from the values.
        if np.array_equal(add_steps(array[:1], steps), array):
            width, data = to_narrowest_type(steps)
            data = array[:1].astype("<i8").tobytes() + data
            return COLUMN_HEADER.pack(STEP, width, len(array), len(data)) + data
    width, data = to_narrowest_type(array)
    return COLUMN_HEADER.pack(PLAIN, width, len(array), len(data)) + data


def add_steps(first: IntegerArray, steps: IntegerArray) -> IntegerArray:
    """Return the values that a first value and the following differences encode."""
    return np.cumsum(np.concatenate((first, steps)))


def encode_unsigned(values: Sequence[int]) -> bytes:
    """Encode a column with integers beyond the signed 64-bit range."""
    wrapped = [value % (1 << 64) for value in values]
    data = np.array(wrapped, dtype="<u8").tobytes()
    return COLUMN_HEADER.pack(PLAIN, UNSIGNED_WIDTH, len(values), len(data)) + data


def encode_floats(values: Sequence[float]) -> bytes:
    """Encode a column of 64-bit floats."""
    data = np.array(values, dtype="<f8").tobytes()
    return COLUMN_HEADER.pack(FLOAT, FLOAT_WIDTH, len(values), len(data)) + data


def encode_texts(values: Sequence[str]) -> bytes:
    """Encode a column of texts; each text is truncated to `MAX_TEXT_BYTES`."""
    index_by_text: dict[str, int] = {}
    indexes = [index_by_text.setdefault(text, len(index_by_text)) for text in values]
    entries = [
        text.encode("utf-8", "surrogateescape")[:MAX_TEXT_BYTES]
        for text in index_by_text
    ]
    body = U32.pack(len(entries)) + b"".join(
        U16.pack(len(entry)) + entry for entry in entries
    )
    body += encode_integers(indexes, PLAIN)
    return COLUMN_HEADER.pack(TEXT, 0, len(values), len(body)) + body


def encode_column(values: Sequence[Any], coding: int) -> bytes:
    """Encode one column; the coding determines the type of its values."""
    if coding == FLOAT:
        return encode_floats(values)
    if coding == TEXT:
        return encode_texts(values)
    return encode_integers(values, coding)


def decode_column(data: bytes, offset: int) -> tuple[ColumnValues, int]:
    """Return the values of the column at an offset, and the offset of its end.

    Raises:
        MalformedColumnError: if there is no complete, valid column.
    """
    try:
        coding, width, count, size = COLUMN_HEADER.unpack_from(data, offset)
    except struct.error:
        raise MalformedColumnError("a column is cut short") from None
    start = offset + COLUMN_HEADER.size
    end = start + size
    if end > len(data) or count > MAX_VALUES:
        raise MalformedColumnError(
            f"a column claims {count} values in {size} bytes; "
            f"{len(data) - start} bytes are left, {MAX_VALUES} values are allowed"
        )
    body = data[start:end]
    if coding == TEXT:
        return decode_texts(body, count), end
    if coding == FLOAT:
        return decode_floats(body, count), end
    return decode_integers(body, coding, width, count), end


def skip_column(data: bytes, offset: int) -> int:
    """Return the offset of a column's end without decoding the column."""
    try:
        size: int = COLUMN_HEADER.unpack_from(data, offset)[3]
    except struct.error:
        raise MalformedColumnError("a column is cut short") from None
    end = offset + COLUMN_HEADER.size + size
    if end > len(data):
        raise MalformedColumnError("a column is cut short")
    return end


def decode_floats(body: bytes, count: int) -> list[float]:
    """Decode the data of a column of floats."""
    if len(body) != FLOAT_WIDTH * count:
        raise MalformedColumnError(
            f"a column of {count} floats takes {FLOAT_WIDTH * count} bytes, "
            f"not {len(body)}"
        )
    return cast(list[float], np.frombuffer(body, dtype="<f8").tolist())


def decode_integers(body: bytes, coding: int, width: int, count: int) -> list[int]:
    """Decode the data of a column of integers."""
    if width == UNSIGNED_WIDTH and coding == PLAIN and len(body) == 8 * count:
        return cast(list[int], np.frombuffer(body, dtype="<u8").tolist())
    dtype = SIGNED_TYPES.get(width)
    start = STEP_START_WIDTH if coding == STEP else 0
    stored_count = count - 1 if coding == STEP else count
    if (
        dtype is None
        or coding not in (STEP, PLAIN)
        or stored_count < 0
        or len(body) != start + stored_count * width
    ):
        raise MalformedColumnError(
            f"{len(body)} bytes are no column of {count} integers of width {width} "
            f"and coding {coding}"
        )
    values = np.frombuffer(body, dtype=dtype, offset=start).astype(np.int64)
    if coding == STEP:
        first = np.frombuffer(body, dtype="<i8", count=1)
        values = add_steps(first, values)
    return cast(list[int], values.tolist())


def decode_texts(body: bytes, count: int) -> list[str]:
    """Decode the data of a column of texts."""
    texts, offset = decode_dictionary(body)
    column, end = decode_column(body, offset)
    indexes = cast(list[int], column)
    if (
        len(indexes) != count
        or end != len(body)
        or (indexes and not 0 <= min(indexes) <= max(indexes) < len(texts))
    ):
        raise MalformedColumnError(
            f"{len(indexes)} indexes into a dictionary of {len(texts)} texts: "
            f"{count} are expected, each in range, with no bytes behind them"
        )
    return [texts[index] for index in indexes]


def decode_dictionary(body: bytes) -> tuple[list[str], int]:
    """Return the texts of a dictionary, and the offset of its end."""
    texts: list[str] = []
    try:
        entries: int = U32.unpack_from(body)[0]
        offset = U32.size
        if entries > MAX_DICTIONARY or U16.size * entries > len(body):
            raise MalformedColumnError(
                f"a dictionary claims {entries} texts in {len(body)} bytes"
            )
        for _ in range(entries):
            size: int = U16.unpack_from(body, offset)[0]
            offset += U16.size
            if offset + size > len(body):
                raise MalformedColumnError("a dictionary is cut short")
            texts.append(
                body[offset : offset + size].decode("utf-8", "surrogateescape")
            )
            offset += size
    except struct.error:
        raise MalformedColumnError("a dictionary is cut short") from None
    return texts, offset
