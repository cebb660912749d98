"""Merges the traces of many gateways into one, by wall time.

Memory is bounded by a block of each file that is open.
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

# Fields of headers that are mostly the same in all; they stand once in a merge.
SHARED_HEADER_FIELDS = ("facts", "volumes", "plans", "terms")
MAX_NODE_CHANGES = 10_000
MAX_OPEN_FILES = 200
LISTINGS = frozenset((BY_NAME["listing"].number,))
# Fields that a merge makes anew, by kind: their places, and whether they hold the id of
# a request; else they hold a time.
REWRITTEN_FIELDS = {
    kind.number: [
        (place, name == "transfer")
        for place, (name, _) in enumerate(kind.fields)
        if name in ("transfer", "ends", "at", "since", "began")
    ]
    for kind in KINDS
}


@dataclass(frozen=True, slots=True)
class ClockShift:
    """How the clock of one file was set, in tenths of a millisecond.

    Attributes:
        name: who wrote the file.
        correction: what was added to its wall time.
        uncertainty: what that may be off by; None where the file shares no change with
            the others and its wall clock alone counts.
    """

    name: str
    correction: int
    uncertainty: int | None


@dataclass(frozen=True, slots=True)
class MergeResult:
    """What a merge did: records written, and how each file's clock was set."""

    records: int
    clocks: list[ClockShift]


@dataclass(frozen=True, slots=True)
class MergeSource:
    """One file of a merge.

    Attributes:
        path: the file.
        place: its place among all files.
        of: how many files there are.
        shift: what is added to its times.
    """

    path: str
    place: int
    of: int
    shift: int

    def records(self, reader: TraceReader) -> Iterator[TraceRecord]:
        """Yield the records on the common clock, request ids apart from other files'.

        Records stand in the order in which they were made; a time that steps back
        would undo the merge.
        """
        latest: int | None = None
        for at, kind, values in reader.records():
            at += self.shift
            latest = at if latest is None else max(latest, at)
            yield latest, kind, self.rewrite(kind, values)

    def rewrite(self, kind: RecordKind, values: tuple[Any, ...]) -> tuple[Any, ...]:
        """Return the values with ids and times of the merged trace."""
        fields = REWRITTEN_FIELDS.get(kind.number)
        if fields is None:
            return values
        rewritten = list(values)
        for place, is_request in fields:
            if is_request:
                rewritten[place] = values[place] * self.of + self.place
            else:
                rewritten[place] = values[place] + self.shift
        return tuple(rewritten)


def merge_traces(
    paths: list[str], out: str, progress: ProgressCallback | None = None
) -> MergeResult:
    """Write traces of many gateways as one to the new file `out`.

    Each file's clock is set by its header's origin and corrected by the changes of
    nodes that it shares with the others. Equal times stand in the order of the files,
    so the result does not depend on chance. Requests are numbered anew; who wrote which
    is in the header.

    Raises:
        OSError: where a file cannot be read or written, or `out` is there already.
        MalformedTraceError: where a file is no trace.
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
        MergeSource(path, place, len(paths), origin - base)
        for place, (path, origin) in enumerate(zip(paths, origins, strict=True))
    ]
    header = merged_header(headers, corrections, base)
    count = merge_in_groups(sources, out, header, progress)
    return MergeResult(count, clock_shifts(headers, corrections))


def clock_shifts(
    headers: list[dict[str, Any]], corrections: list[ClockCorrection]
) -> list[ClockShift]:
    """Return how each file's clock was set."""
    return [
        ClockShift(str(header.get("name", "")), correction, uncertainty)
        for header, (correction, uncertainty) in zip(headers, corrections, strict=True)
    ]


def merged_header(
    headers: list[dict[str, Any]], corrections: list[ClockCorrection], base: int
) -> dict[str, Any]:
    """Return the header of a merge whose clock's zero is the wall time `base`."""
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
    """Merge the files, by way of files for groups where they are too many to open."""
    groups = [
        sources[at : at + MAX_OPEN_FILES]
        for at in range(0, len(sources), MAX_OPEN_FILES)
    ]
    if len(groups) == 1:
        return merge_sources(groups[0], out, header, progress)
    beside_out = os.path.dirname(os.path.abspath(out))
    with tempfile.TemporaryDirectory(dir=beside_out) as folder:
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
    """Merge files of gateways and return the number of records."""
    with ExitStack() as readers:
        streams = [
            source.records(readers.enter_context(TraceReader(source.path, progress)))
            for source in sources
        ]
        return TraceFile(out, header).write_all(heapq.merge(*streams, key=time_of))


def merge_parts(paths: list[str], out: str, header: dict[str, Any]) -> int:
    """Merge files that are on the common clock already."""
    with ExitStack() as readers:
        streams = [readers.enter_context(TraceReader(path)).records() for path in paths]
        return TraceFile(out, header).write_all(heapq.merge(*streams, key=time_of))


def time_of(record: TraceRecord) -> int:
    """Return the time of a record."""
    return record[0]


def node_changes(reader: TraceReader) -> dict[NodeChange, int]:
    """Return when the file's gateway heard of each change of a node.

    What the first list says is no change.
    """
    readiness: dict[int, str] = {}
    times: Counter[tuple[int, str]] = Counter()
    found: dict[NodeChange, int] = {}
    for at, _, values in reader.records(kinds=LISTINGS):
        node, ready = values[0], values[1]
        if readiness.get(node, ready) != ready and len(found) < MAX_NODE_CHANGES:
            times[node, ready] += 1
            found[node, ready, times[node, ready]] = at
        readiness[node] = ready
    return found


def clock_origin(header: dict[str, Any]) -> int:
    """Return the wall time of a file's clock zero, in tenths of a millisecond."""
    try:
        wall = int(header.get("wall_ms", 0)) * TICKS_PER_MILLISECOND
        return wall - int(header.get("opened", 0))
    except (TypeError, ValueError):
        raise MalformedTraceError("a header whose clock origin is no number") from None
