"""Merges the traces of many gateways into one, in order of wall time.

It holds one block of each open file in memory; at most `MAX_OPEN_FILES` of the
gateways' files are open at once.
"""

from __future__ import annotations

import heapq
import os
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

from milletsill.trace.clock_alignment import ClockCorrection, NodeChange, align_clocks
from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.records import BY_NAME, KINDS, RecordKind, TraceRecord
from milletsill.trace.time_argument import TICKS_PER_MILLISECOND
from milletsill.trace.trace_file import TraceFile

# Header fields that are usually equal in all files; a merged header holds them once.
SHARED_HEADER_FIELDS = ("facts", "volumes", "plans", "terms")
MAX_NODE_CHANGES = 10_000
MAX_OPEN_FILES = 200
LISTING_KINDS = frozenset((BY_NAME["listing"].number,))
# The fields that a merge rewrites, by kind number: their indexes, and whether they hold
# a request id. The others hold a time.
REWRITTEN_FIELDS = {
    kind.number: [
        (field_index, name == "transfer")
        for field_index, (name, _) in enumerate(kind.fields)
        if name in ("transfer", "ends", "at", "since", "began")
    ]
    for kind in KINDS
}


@dataclass(frozen=True, slots=True)
class ClockShift:
    """The clock correction of one file, in tenths of a millisecond.

    Attributes:
        name: the name of the gateway that wrote the file.
        correction: the ticks added to its wall time.
        uncertainty: the uncertainty of the correction; None if the file shares no
            change with the others, so that only its wall clock is used.
    """

    name: str
    correction: int
    uncertainty: int | None


@dataclass(frozen=True, slots=True)
class MergeResult:
    """The result of a merge: records written, and each file's clock correction."""

    records: int
    clocks: list[ClockShift]


@dataclass(frozen=True, slots=True)
class MergeSource:
    """One file of a merge.

    Attributes:
        path: path of the file.
        file_index: index of the file among all merged files.
        file_count: number of merged files.
        shift: ticks added to the file's times.
    """

    path: str
    file_index: int
    file_count: int
    shift: int

    def records(self, reader: TraceReader) -> Iterator[TraceRecord]:
        """Yield the records on the common clock, with ids unique across the files.

        Records keep the order in which they were recorded. A time that steps back is
        raised to the latest one, because the merge needs ascending times.
        """
        latest: int | None = None
        for at, kind, values in reader.records():
            at += self.shift
            latest = at if latest is None else max(latest, at)
            yield latest, kind, self.rewrite(kind, values)

    def rewrite(self, kind: RecordKind, values: tuple[Any, ...]) -> tuple[Any, ...]:
        """Return the field values with the ids and times of the merged trace."""
        fields = REWRITTEN_FIELDS.get(kind.number)
        if fields is None:
            return values
        rewritten = list(values)
        for field_index, is_request in fields:
            if is_request:
                rewritten[field_index] = (
                    values[field_index] * self.file_count + self.file_index
                )
            else:
                rewritten[field_index] = values[field_index] + self.shift
        return tuple(rewritten)


def merge_traces(
    paths: list[str], out: str, progress: ProgressCallback | None = None
) -> MergeResult:
    """Merge the traces of many gateways into the new file `out`.

    Each file's times are placed by the clock origin in its header and corrected by the
    node changes that it shares with the others. Records of equal times follow the order
    of the files, so the result is deterministic. Requests get new ids: an id modulo the
    number of files is the index of the request's file in the header's `merged` list.

    Raises:
        OSError: if a file cannot be read or written, or `out` exists.
        MalformedTraceError: if a file is not a trace.
    """
    headers: list[dict[str, Any]] = []
    changes: list[dict[NodeChange, int]] = []
    for path in paths:
        with TraceReader(path, progress) as reader:
            headers.append(reader.contents.header)
            changes.append(node_changes(reader))
    corrections = align_clocks([clock_origin(each) for each in headers], changes)
    origins = [
        clock_origin(header) + correction
        for header, (correction, _) in zip(headers, corrections, strict=True)
    ]
    base = min(origins)
    sources = [
        MergeSource(path, file_index, len(paths), origin - base)
        for file_index, (path, origin) in enumerate(zip(paths, origins, strict=True))
    ]
    header = merged_header(headers, corrections, base)
    count = merge_in_groups(sources, out, header, progress)
    return MergeResult(count, clock_shifts(headers, corrections))


def clock_shifts(
    headers: list[dict[str, Any]], corrections: list[ClockCorrection]
) -> list[ClockShift]:
    """Return the clock shift of each file."""
    return [
        ClockShift(str(header.get("name", "")), correction, uncertainty)
        for header, (correction, uncertainty) in zip(headers, corrections, strict=True)
    ]


def merged_header(
    headers: list[dict[str, Any]], corrections: list[ClockCorrection], base: int
) -> dict[str, Any]:
    """Return the header of a merge; its clock reads zero at the wall time `base`."""
    first = headers[0]
    merged = []
    for header, (correction, uncertainty) in zip(headers, corrections, strict=True):
        own = {
            name: value
            for name, value in header.items()
            if name not in SHARED_HEADER_FIELDS or value != first.get(name)
        }
        merged.append({**own, "correction": correction, "uncertain": uncertainty})
    shared = {name: first[name] for name in SHARED_HEADER_FIELDS if name in first}
    return {
        **shared,
        "merged": merged,
        "opened": 0,
        "wall_ms": base // TICKS_PER_MILLISECOND,
    }


def merge_in_groups(
    sources: list[MergeSource],
    out: str,
    header: dict[str, Any],
    progress: ProgressCallback | None,
) -> int:
    """Merge the files; merge groups first if there are too many to open at once."""
    groups = [
        sources[at : at + MAX_OPEN_FILES]
        for at in range(0, len(sources), MAX_OPEN_FILES)
    ]
    if len(groups) == 1:
        return merge_sources(groups[0], out, header, progress)
    out_folder = os.path.dirname(os.path.abspath(out))
    with tempfile.TemporaryDirectory(dir=out_folder) as folder:
        parts = [f"{folder}/{number}" for number in range(len(groups))]
        for part, group in zip(parts, groups, strict=True):
            merge_sources(group, part, {}, progress)
        return merge_parts(parts, out, header)


def merge_sources(
    sources: list[MergeSource],
    out: str,
    header: dict[str, Any],
    progress: ProgressCallback | None,
) -> int:
    """Merge gateways' files into `out` and return the number of records."""
    with ExitStack() as readers:
        streams = [
            source.records(readers.enter_context(TraceReader(source.path, progress)))
            for source in sources
        ]
        return TraceFile(out, header).write_all(heapq.merge(*streams, key=record_time))


def merge_parts(paths: list[str], out: str, header: dict[str, Any]) -> int:
    """Merge files whose times are on the common clock already."""
    with ExitStack() as readers:
        streams = [readers.enter_context(TraceReader(path)).records() for path in paths]
        return TraceFile(out, header).write_all(heapq.merge(*streams, key=record_time))


def record_time(record: TraceRecord) -> int:
    """Return the time of a record."""
    return record[0]


def node_changes(reader: TraceReader) -> dict[NodeChange, int]:
    """Return the time at which the file's gateway received each change of a node.

    The first listing of a node is not a change.
    """
    readiness: dict[int, str] = {}
    times: Counter[tuple[int, str]] = Counter()
    found: dict[NodeChange, int] = {}
    for at, _, values in reader.records(kinds=LISTING_KINDS):
        node, ready = values[0], values[1]
        if readiness.get(node, ready) != ready and len(found) < MAX_NODE_CHANGES:
            times[node, ready] += 1
            found[node, ready, times[node, ready]] = at
        readiness[node] = ready
    return found


def clock_origin(header: dict[str, Any]) -> int:
    """Return the wall time at which a file's clock reads zero, in ticks."""
    try:
        wall = int(header.get("wall_ms", 0)) * TICKS_PER_MILLISECOND
        return wall - int(header.get("opened", 0))
    except (TypeError, ValueError):
        raise MalformedTraceError(
            "the header's wall_ms or opened is not a number"
        ) from None
