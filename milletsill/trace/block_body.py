"""Encodes and decodes the body of a block: one column for each field of each kind."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from struct import Struct
from typing import Any, cast

from milletsill.trace.columns import (
    ColumnValues,
    MalformedColumnError,
    decode_column,
    encode_column,
    skip_column,
)
from milletsill.trace.records import (
    BY_NUMBER,
    PLAIN,
    STEP,
    RecordKind,
    TraceRecord,
)

# Kind number and field number of the column that follows.
FIELD_HEADER = Struct("<BB")

FieldColumns = dict[int, dict[int, ColumnValues]]


def encode_body(records: Sequence[TraceRecord]) -> bytes:
    """Encode the records of a block in the given order."""
    parts = [
        encode_column([kind.number for _, kind, _ in records], PLAIN),
        encode_column([at for at, _, _ in records], STEP),
    ]
    by_kind: dict[int, list[tuple[Any, ...]]] = {}
    for _, kind, values in records:
        by_kind.setdefault(kind.number, []).append(values)
    for number, rows in sorted(by_kind.items()):
        fields = BY_NUMBER[number].fields
        columns = zip(*rows, strict=False)
        for field_number, ((_, coding), column) in enumerate(
            zip(fields, columns, strict=False), 1
        ):
            parts.append(FIELD_HEADER.pack(number, field_number))
            parts.append(encode_column(column, coding))
    return b"".join(parts)


def decode_body(
    raw: bytes, record_count: int, kinds: frozenset[int] | None = None
) -> Iterator[TraceRecord]:
    """Yield the records of known kinds in stored order.

    `kinds` restricts the result to those kind numbers; None yields all known kinds.

    Raises:
        MalformedColumnError: if the columns do not hold `record_count` records.
    """
    number_column, offset = decode_column(raw, 0)
    time_column, offset = decode_column(raw, offset)
    numbers = cast(list[int], number_column)
    times = cast(list[int], time_column)
    if len(numbers) != record_count or len(times) != record_count:
        raise MalformedColumnError(
            f"a block of {record_count} records has {len(numbers)} kinds "
            f"and {len(times)} times"
        )
    columns = decode_field_columns(raw, offset, kinds)
    rows: dict[int, Iterator[tuple[Any, ...]]] = {}
    counts = {number: numbers.count(number) for number in set(numbers)}
    for number, count in counts.items():
        kind = BY_NUMBER.get(number)
        if kind is not None and (kinds is None or number in kinds):
            rows[number] = rows_of_kind(kind, count, columns.get(kind.number, {}))
    for number, time in zip(numbers, times, strict=True):
        if number in rows:
            yield time, BY_NUMBER[number], next(rows[number])


def decode_field_columns(
    raw: bytes, offset: int, kinds: frozenset[int] | None
) -> FieldColumns:
    """Return the columns from an offset to the end, by kind and field number."""
    columns: FieldColumns = {}
    while offset < len(raw):
        if len(raw) - offset < FIELD_HEADER.size:
            raise MalformedColumnError(
                f"{len(raw) - offset} bytes left over behind the last column"
            )
        number, field_number = FIELD_HEADER.unpack_from(raw, offset)
        offset += FIELD_HEADER.size
        if kinds is not None and number not in kinds:
            offset = skip_column(raw, offset)
            continue
        column, offset = decode_column(raw, offset)
        columns.setdefault(number, {})[field_number] = column
    return columns


def rows_of_kind(
    kind: RecordKind, count: int, columns: dict[int, ColumnValues]
) -> Iterator[tuple[Any, ...]]:
    """Return the field values of each record of a kind, in stored order."""
    if not kind.fields:
        return iter([()] * count)
    fields = [
        columns.get(field_number) for field_number in range(1, len(kind.fields) + 1)
    ]
    present = [column for column in fields if column is not None]
    if len(present) != len(fields) or any(len(column) != count for column in present):
        raise MalformedColumnError(
            f"a field of kind {kind.name} is missing or does not have {count} values"
        )
    return zip(*present, strict=True)
