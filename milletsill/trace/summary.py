"""Summarises a trace as counts, or lists its records one by one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.records import VOLUME_FIELD_INDEX, RecordKind

MAX_COUNTED_VOLUMES = 100_000
MAX_SHOWN_VOLUMES = 20
FINAL_KINDS = ("satisfied", "declined", "aborted", "abandoned")


@dataclass(slots=True)
class TraceRecordCounts:
    """Counts over the records of a trace."""

    kinds: Counter[str] = field(default_factory=Counter)
    finals: Counter[str] = field(default_factory=Counter)
    volumes: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    shed: Counter[str] = field(default_factory=Counter)

    def add(self, kind: RecordKind, values: tuple[Any, ...]) -> None:
        """Count one record."""
        name = kind.name
        self.kinds[name] += 1
        if name == "arrival":
            self.count_volume(values[VOLUME_FIELD_INDEX[kind.number]])
        elif name in FINAL_KINDS:
            self.finals[name] += 1
        elif name == "outcome":
            self.outcomes[values[3]] += 1
            self.finals["satisfied"] += bool(values[4])
        elif name == "gap":
            self.shed[str(values[0])] += values[1]

    def count_volume(self, volume: str) -> None:
        """Count an arrival by volume; at most `MAX_COUNTED_VOLUMES` are counted."""
        if len(self.volumes) < MAX_COUNTED_VOLUMES or volume in self.volumes:
            self.volumes[volume] += 1


def summarise_trace(
    source: str, progress: ProgressCallback | None = None
) -> dict[str, Any]:
    """Return the counts of a trace under the names that the command line prints.

    Raises:
        OSError: if the file cannot be read.
        MalformedTraceError: if it is not a trace.
    """
    counts = TraceRecordCounts()
    with TraceReader(source, progress) as reader:
        for _, kind, values in reader.records():
            counts.add(kind, values)
        contents = reader.contents
        blocks = contents.blocks
        return {
            "file": source,
            "state": contents.state.name.lower(),
            "bytes": reader.size,
            "blocks": len(blocks),
            "records": sum(counts.kinds.values()),
            "first": min((each.first_time for each in blocks), default=None),
            "last": max((each.last_time for each in blocks), default=None),
            "kinds": dict(counts.kinds),
            "finals": dict(counts.finals),
            "outcomes": dict(counts.outcomes),
            "stores": dict(counts.volumes.most_common(MAX_SHOWN_VOLUMES)),
            "shed": dict(counts.shed),
            "breaks": [
                {"offset": each.offset, "bytes": each.size, "reason": each.reason}
                for each in contents.damage
            ],
        }


def dump_records(
    source: str,
    since: int | None,
    until: int | None,
    write: Callable[[dict[str, Any]], None],
) -> None:
    """Pass each record to `write`, as its time, kind and fields by name."""
    with TraceReader(source) as reader:
        for at, kind, values in reader.records(since, until):
            names = (name for name, _ in kind.fields)
            fields = dict(zip(names, values, strict=False))
            write({"at": at, "kind": kind.name, **fields})
