"""Reads traces: by the footer's index where there is one, by the blocks where not; up to the break and, where a block is damaged
in the middle, past it. Memory is bounded by the largest block.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, BinaryIO, Optional

from milletsill.trace import format
from milletsill.trace.format import MalformedTrace
from milletsill.trace.recording_policy import Stores, Verdict, chosen, judge
from milletsill.trace.records import BLOCK_HEAD, BlockHead, Row

Heard = Optional[
    Callable[[int], None]
]  # told how many bytes were read, for those who show progress
SCAN = 1 << 20  # bytes looked through at a time for the next block after a break


@dataclass
class Break:
    """A stretch of a file that holds no readable block."""

    offset: int
    size: int
    reason: str


@dataclass
class Map:
    """What a file holds: heads of its blocks, what is broken, what it is."""

    path: str
    about: dict[str, Any]
    heads: list[BlockHead]
    breaks: list[Break] = field(default_factory=list)
    verdict: Verdict = Verdict.WHOLE
    read: int = 0  # bytes read so far
    stores: dict[str, list[int]] | None = (
        None  # numbers of the blocks of each store, where the file has that index
    )


class Trace:
    """One file, open for reading; a file still being written is read up to its last whole block."""

    def __init__(self, path: str, heard: Heard = None) -> None:
        self.path, self.source, self.heard = path, open(path, "rb"), heard
        try:
            self.size = os.fstat(self.source.fileno()).st_size
            need = format.header_size(self.source.read(format.HEAD.size))
            self.source.seek(0)
            about, self.start = format.get_header(self.source.read(need))
            self.map = Map(path, about, [], read=need)
            self.find()
        except BaseException:
            self.source.close()
            raise

    def __enter__(self) -> Trace:
        return self

    def __exit__(self, *_: object) -> None:
        self.source.close()

    def take(self, offset: int, size: int) -> bytes:
        self.source.seek(offset)
        data = self.source.read(size)
        self.map.read += len(data)
        if self.heard is not None:
            self.heard(len(data))
        return data

    def find(self) -> None:
        """The blocks, by the index, else by themselves."""
        try:
            self.map.heads = self.indexed()
        except MalformedTrace:
            self.walk()

    def indexed(self) -> list[BlockHead]:
        """The blocks as the footer has them; sizes follow from the next one's offset."""
        tail = self.take(max(self.size - format.TRAILER.size, 0), format.TRAILER.size)
        if len(tail) < format.TRAILER.size:
            raise MalformedTrace("no trailer")
        offset, end = format.TRAILER.unpack(tail)
        last = self.size - format.TRAILER.size
        if (
            end != format.END
            or not self.start <= offset <= last
            or last - offset > format.MOST_FOOTER
        ):
            raise MalformedTrace("no trailer")
        entries, self.map.stores = format.get_footer(self.take(offset, last - offset))
        ends = [each[0] for each in entries[1:]] + [offset]
        if (
            any(a >= b for a, b in zip([each[0] for each in entries], ends))
            or entries
            and entries[0][0] != self.start
        ):
            raise MalformedTrace("the footer's blocks do not follow each other")
        return [
            BlockHead(
                at, end - at - BLOCK_HEAD.size, 0, records, first, last_at, 0, stores
            )
            for (at, records, first, last_at, stores), end in zip(entries, ends)
        ]

    def walk(self) -> None:
        """Block after block; past a break the next head that checks out is looked for."""
        at = self.start
        while at < self.size:
            head, reason = self.head_at(at)
            if head is not None:
                self.map.heads.append(head)
                at = head.end
                continue
            if self.take(at, 4) == format.FOOTER:
                self.map.breaks.append(
                    Break(at, self.size - at, "a footer that is cut or damaged")
                )
                break
            following = self.next_head(at + 1)
            self.map.breaks.append(Break(at, following - at, reason))
            at = following
        end = self.map.heads[-1].end if self.map.heads else self.start
        self.map.verdict = judge(end, self.size, False, bool(self.map.breaks))

    def head_at(self, at: int) -> tuple[BlockHead | None, str]:
        try:
            head = format.get_head(self.take(at, BLOCK_HEAD.size), at)
        except MalformedTrace as error:
            return None, str(error)
        return (
            (head, "")
            if head.end <= self.size
            else (None, "the last block is cut short")
        )

    def next_head(self, at: int) -> int:
        """Where the next block begins that checks out, or the end."""
        while at < self.size:
            found = self.take(at, SCAN).find(format.BLOCK)
            if found < 0:
                at += SCAN - len(format.BLOCK) + 1
            elif self.head_at(at + found)[0] is not None:
                return at + found
            else:
                at += found + 1
        return self.size

    def heads(self, store: str | None) -> list[BlockHead]:
        """The blocks that may tell of a store; all for None."""
        known = self.map
        return (
            known.heads
            if store is None
            else chosen(
                known.heads,
                store,
                known.stores,
                known.about.get("minor", 0),
                format.may_hold,
            )
        )

    def rows(
        self,
        since: int | None = None,
        until: int | None = None,
        store: str | None = None,
        only: frozenset[int] | None = None,
    ) -> Iterator[Row]:
        """Records of blocks that may hold what is asked for, those outside the times or of other kinds than `only` left out;
        a damaged block is noted as a break and passed over. Records of one store are not picked out here: only its blocks.
        """
        for head in self.heads(store):
            if (
                since is not None
                and head.last < since
                or until is not None
                and head.first >= until
            ):
                continue
            for row in self.block(head, only):
                if (since is None or row[0] >= since) and (
                    until is None or row[0] < until
                ):
                    yield row

    def block(self, head: BlockHead, only: frozenset[int] | None = None) -> list[Row]:
        """The records of one block; none, and a break, where it is damaged."""
        try:
            data = self.take(head.offset, BLOCK_HEAD.size + head.size)
            return format.get_rows(
                format.get_head(data, head.offset), data[BLOCK_HEAD.size :], only
            )
        except MalformedTrace as error:
            if all(each.offset != head.offset for each in self.map.breaks):
                self.map.breaks.append(
                    Break(head.offset, BLOCK_HEAD.size + head.size, str(error))
                )
            return []


def verify(path: str, heard: Heard = None) -> Map:
    """A file looked through in full: every block unpacked, the index of stores made anew from what they hold."""
    with Trace(path, heard) as trace:
        good, stores = [], Stores()
        for head in trace.map.heads:
            rows = trace.block(head)
            if rows:
                good.append(head)
                stores.touched(rows)
        trace.map.heads, trace.map.stores = good, stores.blocks
        if trace.map.breaks:
            trace.map.verdict = Verdict.BROKEN
        return trace.map


def repair(path: str, out: str, heard: Heard = None) -> Map:
    """The whole blocks of a file as they stand, byte for byte, with a new index, under another name."""
    found = verify(path, heard)
    with open(path, "rb") as source, open(out, "xb") as sink:
        copy(source, sink, 0, format.header_size(source.read(format.HEAD.size)))
        heads = []
        for head in found.heads:
            offset = sink.tell()
            copy(source, sink, head.offset, BLOCK_HEAD.size + head.size)
            heads.append(
                BlockHead(
                    offset,
                    head.size,
                    head.raw,
                    head.records,
                    head.first,
                    head.last,
                    head.crc,
                    head.stores,
                )
            )
        sink.write(format.put_footer(heads, sink.tell(), found.stores))
        sink.flush()
        os.fsync(sink.fileno())
    return found


def copy(source: BinaryIO, sink: BinaryIO, offset: int, size: int) -> None:
    source.seek(offset)
    while size > 0 and (data := source.read(min(size, SCAN))):
        sink.write(data)
        size -= len(data)
