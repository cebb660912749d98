"""The body of a block: its records as columns, one for each field of each kind."""

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

# Number of the kind and of the field that the column after it belongs to.
FIELD_HEADER = Struct("<BB")

FieldColumns = dict[int, dict[int, ColumnValues]]


def encode_body(records: Sequence[TraceRecord]) -> bytes:
    """Encode the records, in their order."""
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
        for place, ((_, coding), column) in enumerate(
            zip(fields, columns, strict=False), 1
        ):
            parts.append(FIELD_HEADER.pack(number, place))
            parts.append(encode_column(column, coding))
    return b"".join(parts)


def decode_body(
    raw: bytes, record_count: int, kinds: frozenset[int] | None = None
) -> Iterator[TraceRecord]:
    """Yield the records of known kinds, in their order; only of `kinds` where given.

    Raises:
        MalformedColumnError: where the columns are not those of so many records.
    """
    number_column, at = decode_column(raw, 0)
    time_column, at = decode_column(raw, at)
    numbers = cast(list[int], number_column)
    times = cast(list[int], time_column)
    if len(numbers) != record_count or len(times) != record_count:
        raise MalformedColumnError(
            f"{len(numbers)} kinds and {len(times)} times of {record_count} records"
        )
    columns = decode_field_columns(raw, at, kinds)
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
    raw: bytes, at: int, kinds: frozenset[int] | None
) -> FieldColumns:
    """Return the columns from an offset on, by kind and field."""
    columns: FieldColumns = {}
    while at < len(raw):
        if len(raw) - at < FIELD_HEADER.size:
            raise MalformedColumnError("bytes left over")
        number, place = FIELD_HEADER.unpack_from(raw, at)
        at += FIELD_HEADER.size
        if kinds is not None and number not in kinds:
            at = skip_column(raw, at)
            continue
        column, at = decode_column(raw, at)
        columns.setdefault(number, {})[place] = column
    return columns


def rows_of_kind(
    kind: RecordKind, count: int, columns: dict[int, ColumnValues]
) -> Iterator[tuple[Any, ...]]:
    """Return the fields' values of each record of a kind, in their order."""
    if not kind.fields:
        return iter([()] * count)
    fields = [columns.get(place) for place in range(1, len(kind.fields) + 1)]
    found = [column for column in fields if column is not None]
    if len(found) != len(fields) or any(len(column) != count for column in found):
        raise MalformedColumnError(
            f"fields of {kind.name} are missing or of another length"
        )
    return zip(*found, strict=True)
