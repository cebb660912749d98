"""What is done with whole traces: cut, merge, anonymise, summarise, dump. Memory is bounded by a block of each file at hand."""

from __future__ import annotations

import csv
import heapq
import hmac
import os
import tempfile
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from milletsill.trace import format
from milletsill.trace.format import LEVEL, MalformedTrace
from milletsill.trace.reader import Heard, Trace
from milletsill.trace.recording_policy import (
    MOST_AGE,
    MOST_ROWS,
    Stores,
    Wanted,
    align,
    block_ends,
    of_transfers,
)
from milletsill.trace.records import BY_NAME, FLOAT, KINDS, TEXT, BlockHead, Kind, Row

ALIKE = (
    "facts",
    "volumes",
    "plans",
    "terms",
)  # of many headers, mostly the same: they stand once in a merge
MOST_STORES, MOST_NEWS, MOST_OPEN, MOST_GROUP, DIGEST = (
    100_000,
    10_000,
    200,
    100_000,
    12,
)
# Fields that a merge makes anew: (place, whether it is a transfer's number; else a time of the clock).
MOVED = {
    each.number: [
        (place, name == "transfer")
        for place, (name, _) in enumerate(each.fields)
        if name in ("transfer", "ends", "at", "since", "began")
    ]
    for each in KINDS
}


class Sink:
    """A new file, written block by block and indexed at the end; one that is there is never written over."""

    def __init__(self, path: str, about: dict[str, Any]) -> None:
        self.sink = open(path, "xb")
        header = format.put_header(
            {name: value for name, value in about.items() if name != "minor"}
        )
        self.sink.write(header)
        self.size, self.rows, self.heads, self.stores = (
            len(header),
            list[Row](),
            list[BlockHead](),
            Stores(),
        )

    def put(self, row: Row) -> None:
        self.rows.append(row)
        if len(self.rows) >= MOST_ROWS:
            self.flush()

    def flush(self) -> None:
        if self.rows:
            block = format.put_block(self.rows, self.stores.touched(self.rows))
            self.heads.append(format.get_head(block, self.size))
            self.sink.write(block)
            self.size += len(block)
            self.rows = []

    def put_all(self, rows: Iterable[Row]) -> int:
        """All of them, and the end of the file; how many."""
        count = 0
        for row in rows:
            self.put(row)
            count += 1
        self.close()
        return count

    def close(self) -> None:
        self.flush()
        self.sink.write(format.put_footer(self.heads, self.size, self.stores.blocks))
        self.sink.flush()
        os.fsync(self.sink.fileno())
        self.sink.close()


class Tap(Sink):
    """Takes what a writer takes, on a clock that is not the machine's: blocks by size and by age as in service, no thread."""

    def __init__(self, path: str, about: dict[str, Any], age: int = MOST_AGE) -> None:
        super().__init__(path, about)
        self.age = age

    def put(self, name: str, at: int, *values: Any) -> None:  # type: ignore[override]
        rows = self.rows
        if rows and block_ends(len(rows), rows[0][0], at, self.age):
            self.flush()
        self.rows.append((at, BY_NAME[name], values))


def dispatched_to(trace: Trace, wanted: Wanted) -> set[int]:
    """The transfers that were dispatched to the wanted box in the wanted time."""
    only = frozenset((BY_NAME["dispatch"].number,))
    return {
        values[0]
        for _, _, values in trace.rows(wanted.since, wanted.until, wanted.store, only)
        if values[1] == wanted.box
    }


def cut(source: str, out: str, heard: Heard = None, **terms: Any) -> tuple[int, int]:
    """A part of a trace, as `Wanted` has the terms; records written, and bytes read of the source. Transfers that arrived
    before `since` are left out of a cut by store, category or box: their arrivals are not read.
    """
    wanted = Wanted(**terms)
    with Trace(source, heard) as trace:
        sink = Sink(
            out,
            {
                **trace.map.about,
                "cut": {
                    name: value for name, value in terms.items() if value is not None
                },
            },
        )
        at_box = dispatched_to(trace, wanted) if wanted.box is not None else None
        rows = trace.rows(wanted.since, wanted.until, wanted.store)
        count = sink.put_all(rows if wanted.all else of_transfers(rows, wanted, at_box))
        return count, trace.map.read


@dataclass(frozen=True)
class Merged:
    """What a merge did: records, and for each file its name, the correction of its clock and what that may be off by, in
    tenths of a millisecond (None: nothing shared, the wall clock alone).
    """

    records: int
    clocks: list[tuple[str, int, int | None]]


def merge(sources: list[str], out: str, heard: Heard = None) -> Merged:
    """Traces of many gateways as one, by wall time: each file's clock is set by its header's origin and mended by the list
    news that it shares with the others. Equal times stand in the order of the files, so the result does not depend on chance.
    Transfers are numbered anew; who wrote which is in the header.
    """
    abouts, news = [], []
    for each in sources:
        with Trace(each, heard) as trace:
            abouts.append(trace.map.about)
            news.append(news_of(trace))
    clocks = align([origin(each) for each in abouts], news)
    base = min(origin(about) + shift for about, (shift, _) in zip(abouts, clocks))
    shifts = [origin(about) + shift - base for about, (shift, _) in zip(abouts, clocks)]
    told = [
        (str(about.get("name", "")), shift, off)
        for about, (shift, off) in zip(abouts, clocks)
    ]
    about = {
        **{name: abouts[0][name] for name in ALIKE if name in abouts[0]},
        "merged": [
            {
                **{
                    name: value
                    for name, value in about.items()
                    if name not in ALIKE or value != abouts[0].get(name)
                },
                "correction": shift,
                "uncertain": off,
            }
            for about, (_, shift, off) in zip(abouts, told)
        ],
        "opened": 0,
        "wall_ms": base // 10,
    }
    with tempfile.TemporaryDirectory(
        dir=os.path.dirname(os.path.abspath(out))
    ) as folder:
        groups = [
            range(at, min(at + MOST_OPEN, len(sources)))
            for at in range(0, len(sources), MOST_OPEN)
        ]
        if len(groups) == 1:
            return Merged(merged(sources, groups[0], shifts, out, about, heard), told)
        parts = [f"{folder}/{number}" for number in range(len(groups))]
        for part, group in zip(parts, groups):
            merged(sources, group, shifts, part, {}, heard)
        return Merged(merged(parts, range(len(parts)), None, out, about, None), told)


def merged(
    sources: list[str],
    group: range,
    shifts: list[int] | None,
    out: str,
    about: dict[str, Any],
    heard: Heard,
) -> int:
    """Some of the files as one, each open once; records as they stand where `shifts` is None."""
    traces = [Trace(sources[place], heard) for place in group]
    try:
        streams = [
            trace.rows()
            if shifts is None
            else shifted(trace, place, len(sources), shifts[place])
            for place, trace in zip(group, traces)
        ]
        return Sink(out, about).put_all(heapq.merge(*streams, key=lambda row: row[0]))
    finally:
        for each in traces:
            each.source.close()


def news_of(trace: Trace) -> dict[tuple[int, str, int], int]:
    """When the file's gateway heard of each change of a node: (node, what it became, the how many-eth time) to clock time.
    What the first list says is no change.
    """
    state: dict[int, str] = {}
    times: Counter[tuple[int, str]] = Counter()
    found: dict[tuple[int, str, int], int] = {}
    for at, _, values in trace.rows(only=frozenset((BY_NAME["listing"].number,))):
        node, ready = values[0], values[1]
        if state.get(node, ready) != ready and len(found) < MOST_NEWS:
            times[node, ready] += 1
            found[node, ready, times[node, ready]] = at
        state[node] = ready
    return found


def origin(about: dict[str, Any]) -> int:
    """The wall time of a file's clock zero, in tenths of a millisecond."""
    try:
        return int(about.get("wall_ms", 0)) * 10 - int(about.get("opened", 0))
    except (TypeError, ValueError):
        raise MalformedTrace("a header whose clock origin is no number") from None


def shifted(trace: Trace, place: int, of: int, shift: int) -> Iterator[Row]:
    """A file's records on the common clock, in order, its transfers numbered apart from other files'."""
    last = None
    for at, kind, values in trace.rows():
        at += shift  # records stand in the order of their making; a step back would undo the merge
        last = at if last is None else max(last, at)
        yield last, kind, numbered(kind, values, place, of, shift)


def numbered(
    kind: Kind, values: tuple[Any, ...], place: int, of: int, shift: int
) -> tuple[Any, ...]:
    plan = MOVED.get(kind.number)
    if plan is None:
        return values
    made = list(values)
    for number, transfer in plan:
        made[number] = (
            values[number] * of + place if transfer else values[number] + shift
        )
    return tuple(made)


def hide(about: dict[str, Any], hidden: Callable[[str], str]) -> dict[str, Any]:
    """A header without names: figures of the facts stay, names in them are replaced."""
    made = {
        name: about[name]
        for name in ("seed", "opened", "wall_ms", "made")
        if name in about
    }
    facts = about.get("facts")
    if isinstance(facts, dict):
        made["facts"] = {
            name: [
                {**each, "name": hidden(str(each["name"]))}
                if isinstance(each, dict) and "name" in each
                else each
                for each in value
            ]
            if isinstance(value, list)
            else value
            for name, value in facts.items()
        }
    return made


def anonymise(source: str, out: str, key: bytes, heard: Heard = None) -> int:
    """The same trace with stores and paths replaced: equal names stay equal under one key, and cannot be told without it.
    A path keeps its depth and the size of each part up to DIGEST letters; remarks, plans and reasons are left out.
    """
    made: dict[str, str] = {}

    def hidden(text: str) -> str:
        found = made.get(text)
        if found is None:
            digest = hmac.new(
                key,
                text.encode("utf-8", "surrogateescape"),
                lambda data=b"": blake2b(data, digest_size=32),
            )
            found = digest.hexdigest()[:DIGEST]
            if len(made) < MOST_STORES:
                made[text] = found
        return found

    def rows(trace: Trace) -> Iterator[Row]:
        for at, kind, values in trace.rows():
            if kind.name in ("remark", "plan"):
                continue
            if kind.name == "arrival":
                path = "/".join(
                    hidden(part) if part else "" for part in values[12].split("/")
                )
                values = values[:3] + (hidden(values[3]),) + values[4:12] + (path,)
            elif kind.name == "command":
                values = values[:2] + (hidden(values[2]),) + values[3:10] + ("",)
            yield at, kind, values

    with Trace(source, heard) as trace:
        return Sink(out, {**hide(trace.map.about, hidden), "anonymised": True}).put_all(
            rows(trace)
        )


def convert(source: str, out: str, to: str, heard: Heard = None) -> int:
    """A trace in another form: `mtrace` in the present version and full blocks, or a folder with one table for each kind as
    `parquet` or `csv`; records written.
    """
    with Trace(source, heard) as trace:
        if to == "mtrace":
            return Sink(out, trace.map.about).put_all(trace.rows())
        os.makedirs(out, exist_ok=True)
        return Tables(out, to).put_all(trace.rows())


class Tables:
    """One table a kind in a folder; rows are written in groups."""

    def __init__(self, folder: str, to: str) -> None:
        self.folder, self.to = folder, to
        self.held: dict[Kind, list[tuple[Any, ...]]] = {}
        self.sinks: dict[Kind, Any] = {}

    def put_all(self, rows: Iterable[Row]) -> int:
        count = 0
        for at, kind, values in rows:
            held = self.held.setdefault(kind, [])
            held.append((at, *values))
            count += 1
            if len(held) >= MOST_GROUP:
                self.flush(kind)
        for kind in list(self.held):
            self.flush(kind)
        for sink in self.sinks.values():
            sink.close()
        return count

    def flush(self, kind: Kind) -> None:
        rows, self.held[kind] = self.held[kind], []
        names = ["at"] + [name for name, _ in kind.fields]
        if not rows:
            return None
        if self.to == "csv":
            if kind not in self.sinks:
                self.sinks[kind] = open(
                    f"{self.folder}/{kind.name}.csv",
                    "w",
                    newline="",
                    encoding="utf-8",
                    errors="surrogateescape",
                )
                csv.writer(self.sinks[kind]).writerow(names)
            return csv.writer(self.sinks[kind]).writerows(rows)
        import pyarrow
        import pyarrow.parquet

        columns = [
            [printable(each) if isinstance(each, str) else each for each in column]
            for column in zip(*rows)
        ]
        types = [pyarrow.int64()] + [
            pyarrow.string()
            if coding == TEXT
            else pyarrow.float64()
            if coding == FLOAT
            else pyarrow.int64()
            for _, coding in kind.fields
        ]
        if kind.name == "arrival":
            types[2] = pyarrow.uint64()
        table = pyarrow.table(
            [pyarrow.array(column, kept) for column, kept in zip(columns, types)],
            names=names,
        )
        if kind not in self.sinks:
            self.sinks[kind] = pyarrow.parquet.ParquetWriter(
                f"{self.folder}/{kind.name}.parquet",
                table.schema,
                compression="zstd",
                compression_level=LEVEL,
            )
        self.sinks[kind].write_table(table)


def printable(text: str) -> str:
    """Text that is UTF-8; other bytes as escapes."""
    return text.encode("utf-8", "surrogateescape").decode("utf-8", "backslashreplace")


def summary(source: str, heard: Heard = None) -> dict[str, Any]:
    """What a trace holds, in figures."""
    kinds: Counter[str] = Counter()
    finals: Counter[str] = Counter()
    stores: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    with Trace(source, heard) as trace:
        for _, kind, values in trace.rows():
            kinds[kind.name] += 1
            if kind.name == "arrival" and (
                len(stores) < MOST_STORES or values[3] in stores
            ):
                stores[values[3]] += 1
            elif kind.name in ("satisfied", "declined", "aborted", "abandoned"):
                finals[kind.name] += 1
            elif kind.name == "outcome":
                outcomes[values[3]] += 1
                finals["satisfied"] += bool(values[4])
            elif kind.name == "gap":
                lost[str(values[0])] += values[1]
        heads, known = trace.map.heads, trace.map
        return {
            "file": source,
            "state": known.verdict.name.lower(),
            "bytes": trace.size,
            "blocks": len(heads),
            "records": sum(kinds.values()),
            "first": min((each.first for each in heads), default=None),
            "last": max((each.last for each in heads), default=None),
            "kinds": dict(kinds),
            "finals": dict(finals),
            "outcomes": dict(outcomes),
            "stores": dict(stores.most_common(20)),
            "shed": dict(lost),
            "breaks": [
                {"offset": each.offset, "bytes": each.size, "reason": each.reason}
                for each in known.breaks
            ],
        }


def lines(
    source: str,
    since: int | None,
    until: int | None,
    write: Callable[[dict[str, Any]], None],
) -> None:
    """Each record as a map."""
    with Trace(source) as trace:
        for at, kind, values in trace.rows(since, until):
            write(
                {
                    "at": at,
                    "kind": kind.name,
                    **{name: value for (name, _), value in zip(kind.fields, values)},
                }
            )


def place_of(source: str, category: str) -> int:
    """A category's place by its name in the header's facts, or the place itself."""
    with Trace(source) as trace:
        facts = trace.map.about.get("facts")
        known = facts.get("categories", ()) if isinstance(facts, dict) else ()
        names = [str(each.get("name")) for each in known if isinstance(each, dict)]
    if category in names:
        return names.index(category)
    if category.isdecimal():
        return int(category)
    raise MalformedTrace(
        f"no category {category!r}; there are {', '.join(names) or 'none named'}"
    )
