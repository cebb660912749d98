"""Rows of words on boxes, one row a gateway: only its origin writes it, copies become equal whatever is lost, late or doubled.

Each word carries the row's sequence at which its origin wrote it; of two words on one box the later of (run, sequence) stands.
A copy knows up to which sequence it has all (`upto`); a difference that leaves a gap gives its words and no more, and the gap
is closed by an exchange. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from milletsill.errors import MalformedInput


class MalformedHealthReport(MalformedInput):
    """A difference that cannot be a row of ours."""

    remedy = "look for a gateway of another version, or another program, under the address; its word is left out"


@dataclass(slots=True)
class Word:
    """Of one box; `at` is when it was true on the holder's clock. Sums fade with time, shares are of `seen`, `pace` is the mean
    log2 of pace over the usual one, of `paced` answers.
    """

    sequence: int
    at: int
    seen: float
    lost: float
    waste: float
    paced: float
    pace: float

    def told(self) -> tuple[float, ...]:
        return (self.sequence, self.seen, self.lost, self.waste, self.paced, self.pace)


@dataclass(slots=True)
class Row:
    """One gateway's words as this one has them."""

    origin: int
    run: int
    upto: int = 0
    sequence: int = 0
    words: dict[int, Word] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Difference:
    """Words of a row written after `base`, up to `sequence`, by box."""

    origin: int
    run: int
    base: int
    sequence: int
    words: dict[int, Word]


class Rows:
    """All rows that one gateway has, its own among them."""

    def __init__(self, own: int, run: int, most_rows: int, most_boxes: int) -> None:
        self.rows = {own: Row(own, run)}
        self.own, self.most_rows, self.most_boxes = (
            self.rows[own],
            most_rows,
            most_boxes,
        )

    def restart(self, run: int) -> None:
        """Another run of this gateway: its row begins anew, so that what others have of an older one gives way."""
        if run > self.own.run:
            self.own = self.rows[self.own.origin] = Row(self.own.origin, run)

    def write(self, words: dict[int, Word]) -> Difference:
        """New words of this gateway; those of a box that it never told of and that find no room are left out."""
        row = self.own
        base, row.sequence = row.sequence, row.sequence + 1
        row.upto = row.sequence
        kept = {
            box: word
            for box, word in words.items()
            if box in row.words or len(row.words) < self.most_boxes
        }
        for box, word in kept.items():
            word.sequence = row.sequence
            row.words[box] = word
        return Difference(row.origin, row.run, base, row.sequence, kept)

    def merge(self, news: Difference) -> bool:
        """Take what is newer; whether anything was. RowRefused where it claims more boxes than are kept."""
        row = self.rows.get(news.origin)
        if row is self.own:
            return False
        if row is None or news.run > row.run:
            if row is None and len(self.rows) >= self.most_rows:
                return False
            row = self.rows[news.origin] = Row(news.origin, news.run)
        elif news.run < row.run:
            return False
        if len(row.words.keys() | news.words.keys()) > self.most_boxes:
            raise MalformedHealthReport(
                f"a row of over {self.most_boxes} boxes", f"origin {news.origin:016x}"
            )
        newer = False
        for box, word in news.words.items():
            held = row.words.get(box)
            if held is None or word.sequence > held.sequence:
                row.words[box], newer = word, True
        row.sequence = max(row.sequence, news.sequence)
        if news.base <= row.upto < news.sequence:
            row.upto, newer = news.sequence, True
        return newer

    def has(self, origin: int, run: int, sequence: int) -> bool:
        """Whether all of a row up to a sequence is here."""
        row = self.rows.get(origin)
        return row is not None and (row.run, row.upto) >= (run, sequence)

    def after(self, origin: int, run: int, base: int) -> Difference | None:
        """What this gateway has of a row beyond what another knows; None for nothing."""
        row = self.rows.get(origin)
        if row is None or (row.run, row.upto) <= (run, base):
            return None
        base = base if row.run == run else 0
        return Difference(
            origin,
            row.run,
            base,
            row.upto,
            {
                box: word
                for box, word in row.words.items()
                if base < word.sequence <= row.upto
            },
        )

    def known(self) -> Iterator[tuple[int, int, int]]:
        """Origin, run and up to where all of it is here."""
        return ((row.origin, row.run, row.upto) for row in self.rows.values())

    def keep(self, origins: Iterable[int], since: int) -> None:
        """Rows of those who left go, and words older than `since`. Guards memory, and verdicts on the words of the gone; harm:
        one that is back tells its words anew.
        """
        present = set(origins)
        for origin in [
            each
            for each in self.rows
            if each not in present and each != self.own.origin
        ]:
            del self.rows[origin]
        for row in self.rows.values():
            for box in [box for box, word in row.words.items() if word.at < since]:
                del row.words[box]

    def told(self) -> dict[int, tuple[object, ...]]:
        """What two gateways compare: all but when it arrived."""
        return {
            row.origin: (
                row.run,
                row.upto,
                {box: word.told() for box, word in row.words.items()},
            )
            for row in self.rows.values()
        }
