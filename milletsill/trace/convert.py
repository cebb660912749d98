"""Converts a trace to the current format version, or to tables for other tools."""

from __future__ import annotations

import csv
import os
from collections.abc import Iterable, Sequence
from typing import Any, Protocol, TextIO

from milletsill.trace.file_format import COMPRESSION_LEVEL
from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.records import FLOAT, TEXT, RecordKind, TraceRecord
from milletsill.trace.trace_file import TraceFile

MAX_ROW_GROUP = 100_000

Row = tuple[Any, ...]


def convert_trace(
    source: str, out: str, target: str, progress: ProgressCallback | None = None
) -> int:
    """Write a trace in another format and return the number of records.

    `target` is `mtrace` for a file of the current version in full blocks, or `parquet`
    or `csv` for a folder with one table for each kind.

    Raises:
        OSError: if a file cannot be read or written, or the file `out` exists.
        MalformedTraceError: if the source is not a trace.
    """
    with TraceReader(source, progress) as reader:
        if target == "mtrace":
            return TraceFile(out, reader.contents.header).write_all(reader.records())
        os.makedirs(out, exist_ok=True)
        return TableFolder(out, target).write_all(reader.records())


class TableWriter(Protocol):
    """Writes the table of one record kind."""

    def write(self, rows: Sequence[Row]) -> None:
        """Append rows; each holds a record's time and the values of its fields."""

    def close(self) -> None:
        """Finish the table and close its file."""


class TableFolder:
    """A folder with one table for each record kind; rows are written in groups."""

    def __init__(self, folder: str, target: str) -> None:
        self.folder = folder
        self.target = target
        self.rows: dict[RecordKind, list[Row]] = {}
        self.writers: dict[RecordKind, TableWriter] = {}

    def write_all(self, records: Iterable[TraceRecord]) -> int:
        """Write all records, close the tables, and return the number of records."""
        count = 0
        for at, kind, values in records:
            rows = self.rows.setdefault(kind, [])
            rows.append((at, *values))
            count += 1
            if len(rows) >= MAX_ROW_GROUP:
                self.flush(kind)
        for kind in list(self.rows):
            self.flush(kind)
        for writer in self.writers.values():
            writer.close()
        return count

    def flush(self, kind: RecordKind) -> None:
        """Write the buffered rows of one kind."""
        rows = self.rows[kind]
        self.rows[kind] = []
        if not rows:
            return
        writer = self.writers.get(kind)
        if writer is None:
            path = f"{self.folder}/{kind.name}.{self.target}"
            writer = (
                CsvTable(path, kind)
                if self.target == "csv"
                else ParquetTable(path, kind)
            )
            self.writers[kind] = writer
        writer.write(rows)


def column_names(kind: RecordKind) -> list[str]:
    """Return the names of a table's columns."""
    return ["at"] + [name for name, _ in kind.fields]


class CsvTable:
    """A table as comma-separated values; the first line holds the column names."""

    def __init__(self, path: str, kind: RecordKind) -> None:
        self.file: TextIO = open(  # noqa: SIM115 - closed by close()
            path, "w", newline="", encoding="utf-8", errors="surrogateescape"
        )
        self.writer = csv.writer(self.file)
        self.writer.writerow(column_names(kind))

    def write(self, rows: Sequence[Row]) -> None:
        """Append rows."""
        self.writer.writerows(rows)

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class ParquetTable:
    """A Parquet table; pyarrow is imported only when such a table is written."""

    def __init__(self, path: str, kind: RecordKind) -> None:
        import pyarrow
        import pyarrow.parquet

        types = [pyarrow.int64()]
        for _, coding in kind.fields:
            if coding == TEXT:
                types.append(pyarrow.string())
            elif coding == FLOAT:
                types.append(pyarrow.float64())
            else:
                types.append(pyarrow.int64())
        if kind.name == "arrival":
            # Keys are unsigned 64-bit integers.
            types[2] = pyarrow.uint64()
        self.pyarrow = pyarrow
        self.schema = pyarrow.schema(list(zip(column_names(kind), types, strict=True)))
        self.writer = pyarrow.parquet.ParquetWriter(
            path,
            self.schema,
            compression="zstd",
            compression_level=COMPRESSION_LEVEL,
        )

    def write(self, rows: Sequence[Row]) -> None:
        """Append rows as one row group."""
        columns = [
            [to_utf8(value) if isinstance(value, str) else value for value in column]
            for column in zip(*rows, strict=False)
        ]
        arrays = [
            self.pyarrow.array(column, field.type)
            for column, field in zip(columns, self.schema, strict=True)
        ]
        self.writer.write_table(
            self.pyarrow.Table.from_arrays(arrays, schema=self.schema)
        )

    def close(self) -> None:
        """Write the Parquet footer and close the file."""
        self.writer.close()


def to_utf8(text: str) -> str:
    """Return valid UTF-8 text; bytes that are not UTF-8 become escapes."""
    return text.encode("utf-8", "surrogateescape").decode("utf-8", "backslashreplace")
