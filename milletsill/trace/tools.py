"""What is done with whole traces: cut, merge, anonymise, summarise, dump. Memory is bounded by a block of each file at hand."""
from __future__ import annotations

import heapq
import hmac
import os
from collections import Counter
from hashlib import blake2b
from typing import Any, Callable, Iterable, Iterator

from milletsill.trace import format
from milletsill.trace.decide import MOST_ROWS
from milletsill.trace.format import BlockHead, Row
from milletsill.trace.reader import Trace
from milletsill.trace.records import Kind

MOST_STORES, DIGEST = 100_000, 12


class Sink:
    """A new file, written block by block and indexed at the end; one that is there is never written over."""

    def __init__(self, path: str, about: dict[str, Any]) -> None:
        self.sink = open(path, "xb")
        header = format.put_header({name: value for name, value in about.items() if name != "minor"})
        self.sink.write(header)
        self.size, self.rows, self.heads, self.stores = len(header), list[Row](), list[BlockHead](), format.Stores()

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

    def close(self) -> None:
        self.flush()
        self.sink.write(format.put_footer(self.heads, self.size, self.stores.blocks))
        self.sink.flush()
        os.fsync(self.sink.fileno())
        self.sink.close()


def of_store(rows: Iterable[Row], store: str) -> Iterator[Row]:
    """What concerns one store: its arrivals, and all later records of their transfers."""
    transfers: set[int] = set()
    for row in rows:
        _, kind, values = row
        first = kind.fields[0][0] if kind.fields else ""
        if kind.name == "arrival":
            if values[3] == store:
                transfers.add(values[0])
                yield row
        elif first == "transfer" and values[0] in transfers:
            yield row
            if kind.name in ("satisfied", "declined", "aborted", "abandoned") and len(transfers) > MOST_STORES:
                transfers.discard(values[0])


def cut(source: str, out: str, since: int | None, until: int | None, store: str | None) -> tuple[int, int]:
    """A part of a trace by time and store; records written, and bytes read of the source. Blocks are picked by the filter of
    stores only for arrivals, since later records name no store: all blocks of the times are read then."""
    with Trace(source) as trace:
        sink, count = Sink(out, {**trace.map.about, "cut": {"since": since, "until": until, "store": store}}), 0
        rows = trace.rows(since, until)
        if store is not None and not any(format.may_hold(each.stores, store) for each in trace.map.heads):
            rows = iter(())
        for row in of_store(rows, store) if store is not None else rows:
            sink.put(row)
            count += 1
        sink.close()
        return count, trace.map.read


def merge(sources: list[str], out: str) -> int:
    """Traces of many gateways as one, by wall time: each file's clock is set by its header's origin. Equal times stand in the
    order of the files, so the result does not depend on chance. Transfers are numbered anew; who wrote which is in the header."""
    traces = [Trace(each) for each in sources]
    try:
        base = min(origin(each.map.about) for each in traces)
        about = {"merged": [each.map.about for each in traces], "opened": 0, "wall_ms": base // 10}
        sink, count = Sink(out, about), 0
        streams = [shifted(trace, place, len(traces), origin(trace.map.about) - base) for place, trace in enumerate(traces)]
        for row in heapq.merge(*streams, key=lambda row: row[0]):
            sink.put(row)
            count += 1
        sink.close()
        return count
    finally:
        for each in traces:
            each.source.close()


def origin(about: dict[str, Any]) -> int:
    """The wall time of a file's clock zero, in tenths of a millisecond."""
    return int(about.get("wall_ms", 0)) * 10 - int(about.get("opened", 0))


def shifted(trace: Trace, place: int, of: int, shift: int) -> Iterator[Row]:
    """A file's records on the common clock, in order, its transfers numbered apart from other files'."""
    last = 0
    for at, kind, values in trace.rows():
        last = max(last, at + shift)  # records stand in the order of their making; a step back would undo the merge
        yield last, kind, numbered(kind, values, place, of, shift)


def numbered(kind: Kind, values: tuple[Any, ...], place: int, of: int, shift: int) -> tuple[Any, ...]:
    made = list(values)
    for number, (name, _) in enumerate(kind.fields):
        if name == "transfer":
            made[number] = values[number] * of + place
        elif name in ("ends", "at", "since") and isinstance(values[number], int):
            made[number] = values[number] + shift
    return tuple(made)


def anonymise(source: str, out: str, key: bytes) -> int:
    """The same trace with stores and paths replaced: equal names stay equal under one key, and cannot be told without it.
    A path keeps its depth, each part replaced by itself; remarks and plans are left out."""
    made: dict[str, str] = {}

    def hidden(text: str) -> str:
        found = made.get(text)
        if found is None:
            digest = hmac.new(key, text.encode("utf-8", "surrogateescape"), lambda data=b"": blake2b(data, digest_size=32))
            found = digest.hexdigest()[:DIGEST]
            if len(made) < MOST_STORES:
                made[text] = found
        return found

    with Trace(source) as trace:
        about = {name: trace.map.about[name] for name in ("seed", "facts", "opened", "wall_ms") if name in trace.map.about}
        sink, count = Sink(out, {**about, "anonymised": True}), 0
        for at, kind, values in trace.rows():
            if kind.name in ("remark", "plan"):
                continue
            if kind.name == "arrival":
                path = "/".join(hidden(part) if part else "" for part in values[12].split("/"))
                values = values[:3] + (hidden(values[3]),) + values[4:12] + (path,)
            sink.put((at, kind, values))
            count += 1
        sink.close()
        return count


def summary(source: str) -> dict[str, Any]:
    """What a trace holds, in figures."""
    kinds: Counter[str] = Counter()
    finals: Counter[str] = Counter()
    stores: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    with Trace(source) as trace:
        for _, kind, values in trace.rows():
            kinds[kind.name] += 1
            if kind.name == "arrival" and (len(stores) < MOST_STORES or values[3] in stores):
                stores[values[3]] += 1
            elif kind.name in ("satisfied", "declined", "aborted", "abandoned"):
                finals[kind.name] += 1
            elif kind.name == "outcome":
                outcomes[values[3]] += 1
            elif kind.name == "gap":
                lost[str(values[0])] += values[1]
        heads, known = trace.map.heads, trace.map
        return {"file": source, "state": known.verdict.name.lower(), "bytes": trace.size, "blocks": len(heads),
                "records": sum(kinds.values()), "first": min((each.first for each in heads), default=None),
                "last": max((each.last for each in heads), default=None), "kinds": dict(kinds), "finals": dict(finals),
                "outcomes": dict(outcomes), "stores": dict(stores.most_common(20)), "shed": dict(lost),
                "breaks": [{"offset": each.offset, "bytes": each.size, "reason": each.reason} for each in known.breaks]}


def lines(source: str, since: int | None, until: int | None, write: Callable[[dict[str, Any]], None]) -> None:
    """Each record as a map."""
    with Trace(source) as trace:
        for at, kind, values in trace.rows(since, until):
            write({"at": at, "kind": kind.name, **{name: value for (name, _), value in zip(kind.fields, values)}})


