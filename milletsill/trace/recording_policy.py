"""What tracing decides: what is shed when the hand-over is full, when blocks and files end, what a failing disk means,
which files go, and how much of a broken file counts. No I/O and no clock; times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from statistics import median
from typing import Any

from milletsill.errors import InvalidValue
from milletsill.trace.records import (
    BY_TRANSFER,
    CATEGORY_PLACE,
    STORE_PLACE,
    BlockHead,
    Kind,
    Row,
)

SECOND = 10_000

# --- What the writer does as the disk takes it or not.

# OFF: nothing is written. ON: it is. AILING: the disk refused; tried again after a while.
Tracing = Enum("Tracing", "OFF ON AILING")
Word = Enum("Word", "START STOP FAILED RETRY WROTE")
TRACING_TABLE: Mapping[tuple[Tracing, Word], tuple[Tracing, str]] = {
    (Tracing.OFF, Word.START): (Tracing.ON, "open"),
    (Tracing.ON, Word.STOP): (Tracing.OFF, "finish"),
    (Tracing.AILING, Word.STOP): (Tracing.OFF, ""),
    # Guards traffic and log against a full or failing disk, whatever fails: one line, records shed and counted, a new
    # file when it recovers. Never the same file again: what it holds cannot be vouched for. Harm: a hole in the trace.
    (Tracing.ON, Word.FAILED): (Tracing.AILING, "give_up"),
    (Tracing.AILING, Word.RETRY): (Tracing.ON, "open"),
}
FIRST_RETRY, MOST_RETRY = SECOND, 300 * SECOND


def step(tracing: Tracing, word: Word) -> tuple[Tracing, str]:
    """The next state and what to do; what the table does not name changes nothing."""
    return TRACING_TABLE.get((tracing, word), (tracing, ""))


def retry_after(failures: int) -> int:
    """How long an ailing disk is left alone."""
    return min(FIRST_RETRY * 2 ** min(failures, 20), MOST_RETRY)


# --- What a full hand-over sheds.

# The least needed first: what can be told from the others, then what explains, then what decides. A replay needs all but the
# first group; a summary needs arrivals, outcomes and answers.
SHED_ORDER = (
    ("wake", "settled", "remark", "fetch", "probe"),
    ("woken", "listing", "listed", "watch", "cancelled"),
    ("dispatch", "outcome"),
    ("arrival", "abandoned", "part", "advised"),
    ("declined", "aborted", "satisfied", "command", "plan", "gap"),
)
RANK = {name: rank for rank, names in enumerate(SHED_ORDER) for name in names}
SHARES = (
    0.5,
    0.7,
    0.85,
    0.95,
    1.0,
)  # of the hand-over's bound, past which a group is no longer taken


def room(name: str, most: int) -> float:
    """While fewer than this wait for the writer a record of this kind is taken, of at most `most`. Groups are shut out one
    after another as it fills, so that the last places are left for answers.
    """
    return most * SHARES[RANK.get(name, 0)]


@dataclass(slots=True)
class Shed:
    """What was shed of one kind since it was last told."""

    count: int = 0
    since: int = 0

    def add(self, now: int) -> None:
        if not self.count:
            self.since = now
        self.count += 1


# --- When blocks and files end.

MOST_ROWS, MOST_AGE = 16_384, 5 * SECOND
FEW_ROWS, LONGER = 1000, 6  # a block of so few waits so many times as long


def block_ends(rows: int, first: int, now: int, most_age: int = MOST_AGE) -> bool:
    """A block is written when it is full, or old: what a kill loses is bounded by its age, or by FEW_ROWS. Guards quiet gateways
    against blocks of a hundred records, which cost three times the bytes and ten times the processor each. Harm: a kill of a
    quiet gateway loses more time, of which there is less to tell.
    """
    age = now - first
    return (
        rows >= MOST_ROWS
        or rows >= FEW_ROWS
        and age >= most_age
        or rows > 0
        and age >= most_age * LONGER
    )


def file_ends(size: int, opened: int, now: int, most_bytes: int, most_age: int) -> bool:
    return size >= most_bytes or now - opened >= most_age


def to_delete(files: Sequence[tuple[str, int]], most_total: int) -> list[str]:
    """The names that go, of (name, size) from oldest to newest: as many of the oldest as it takes; the newest, which is
    being written, stays.
    """
    total, gone = sum(size for _, size in files), []
    for name, size in files[:-1]:
        if total <= most_total:
            break
        gone.append(name)
        total -= size
    return gone


# --- How much of a broken file counts.

Verdict = Enum("Verdict", "WHOLE OPEN BROKEN")


def judge(blocks_end: int, size: int, footer: bool, bad_after: bool) -> Verdict:
    """What a file is: WHOLE with its footer; OPEN where its blocks reach its end without one (being written, or cut between
    blocks); BROKEN where something follows that is no block.
    """
    if footer:
        return Verdict.WHOLE
    return Verdict.OPEN if blocks_end == size and not bad_after else Verdict.BROKEN


# --- Whose clock says what.

TOLERATED = SECOND  # between two gateways that hear the same news: the list's own way, not their clocks


def align(
    origins: Sequence[int], news: Sequence[Mapping[Any, int]]
) -> list[tuple[int, int | None]]:
    """For each of several files how much to add to its wall time, and what that may be off by (None where it shares nothing).

    `origins` are the wall times of their clocks' zeros, `news` when each heard of what several may have heard of. An event's
    time is the median over those who heard it; a file is off by the median of its own distances. What is within TOLERATED is
    left alone: news takes its time, and wall clocks are mostly right. Guards a merge against a clock that is seconds off,
    whatever set it so; harm: a gateway that was cut off for long hears all of it late and is taken for one whose clock is.
    """
    heard: dict[Any, list[int]] = {}
    for origin, events in zip(origins, news):
        for event, at in events.items():
            heard.setdefault(event, []).append(origin + at)
    middles = {event: median(times) for event, times in heard.items() if len(times) > 1}
    made: list[tuple[int, int | None]] = []
    for origin, events in zip(origins, news):
        off = sorted(
            origin + at - middles[event]
            for event, at in events.items()
            if event in middles
        )
        if not off:
            made.append((0, None))
            continue
        middle = median(off)
        spread = max(off[-1] - middle, middle - off[0])
        made.append(
            (-round(middle), round(spread))
            if abs(middle) > TOLERATED
            else (0, round(max(abs(middle), spread)))
        )
    return made


# --- What a time on the command line means.


class InvalidTime(InvalidValue):
    """A text on the command line that is no time."""

    remedy = (
        "give tenths of a millisecond, +90s, +5m or +1h after the opening, or ISO 8601"
    )


SPANS = {"s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}


def moment(text: str, opened: int, wall_ms: int) -> int:
    """A time on a writer's clock: its own tenths of a millisecond, `+90s` after its opening, or ISO 8601 wall time (UTC where
    it names no zone).
    """
    if text.lstrip("-").isdecimal():
        return int(text)
    if text.startswith("+"):
        unit = SPANS.get(text[-1:])
        number = text[1:-1] if unit else text[1:]
        try:
            return opened + int(float(number) * (unit or SECOND))
        except (ValueError, OverflowError):
            raise InvalidTime(f"{text!r} is no span such as +90s, +5m, +1h") from None
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        raise InvalidTime(
            f"{text!r} is no time: tenths of a millisecond, +90s or ISO 8601"
        ) from None
    at = at if at.tzinfo else at.replace(tzinfo=UTC)
    return opened + round(at.timestamp() * SECOND) - wall_ms * 10


# --- Which blocks and records tell of a store, a category, a box.

MOST_INDEXED, MOST_FOLLOWED = (
    1 << 16,
    1 << 16,
)  # stores of a file's index; transfers whose store is remembered


class Stores:
    """Which stores a file's blocks tell of, one block after another: later records of a transfer name no store, so that of
    its arrival is remembered, for the latest transfers. `blocks` becomes the file's index; None once it is past its bound.
    """

    def __init__(self) -> None:
        self.of: dict[int, str] = {}
        self.blocks: dict[str, list[int]] | None = {}
        self.count = 0

    def touched(self, rows: Sequence[Row]) -> set[str]:
        """The stores of the next block."""
        found, of = set(), self.of
        for _, kind, values in rows:
            if kind.number in STORE_PLACE:
                store = values[STORE_PLACE[kind.number]]
                found.add(store)
                if kind.number in BY_TRANSFER:
                    of[values[0]] = store
            elif (
                kind.number in BY_TRANSFER and (store := of.get(values[0])) is not None
            ):
                found.add(store)
        while len(of) > MOST_FOLLOWED:
            del of[next(iter(of))]
        self.index(found)
        return found

    def next_file(self) -> Stores:
        """The same transfers, for the file that follows."""
        made = Stores()
        made.of = self.of
        return made

    def index(self, found: set[str]) -> None:
        if self.blocks is not None:
            for each in found:
                self.blocks.setdefault(each, []).append(self.count)
            if len(self.blocks) > MOST_INDEXED:
                self.blocks = None
        self.count += 1


def chosen(
    heads: Sequence[BlockHead],
    store: str,
    index: Mapping[str, Sequence[int]] | None,
    minor: int,
    may_hold: Callable[[bytes, str], bool],
) -> list[BlockHead]:
    """The blocks that may tell of a store: by the file's index, else by their filters. A filter of 1.0 tells of arrivals
    alone, and later records of their transfers may stand in any block after the first.
    """
    if index is not None:
        return [heads[each] for each in index.get(store, ())]
    found = [place for place, each in enumerate(heads) if may_hold(each.stores, store)]
    if minor < 1:
        return list(heads[found[0] :]) if found else []
    return [heads[each] for each in found]


@dataclass(frozen=True)
class Wanted:
    """What a cut keeps: times, and transfers by store, category (place in the facts) or box; None for all."""

    since: int | None = None
    until: int | None = None
    store: str | None = None
    category: int | None = None
    box: int | None = None

    @property
    def all(self) -> bool:
        return self.store is None and self.category is None and self.box is None


def fits(wanted: Wanted, kind: Kind, values: tuple[Any, ...]) -> bool:
    """Whether a record that names store and category is wanted."""
    return (
        wanted.store is None or values[STORE_PLACE[kind.number]] == wanted.store
    ) and (
        wanted.category is None
        or values[CATEGORY_PLACE[kind.number]] == wanted.category
    )


def of_transfers(
    rows: Iterable[Row], wanted: Wanted, at_box: set[int] | None
) -> Iterator[Row]:
    """What concerns the wanted transfers: their arrivals, and all later records of them. `at_box` holds those that were
    dispatched to the wanted box.
    """
    transfers: dict[int, None] = {}
    for row in rows:
        _, kind, values = row
        if kind.number in CATEGORY_PLACE:
            arrived = kind.number in BY_TRANSFER
            if fits(wanted, kind, values) and (
                at_box is None or arrived and values[0] in at_box
            ):
                if arrived:
                    transfers[values[0]] = None
                    while len(transfers) > MOST_FOLLOWED:
                        del transfers[next(iter(transfers))]
                yield row
        elif kind.number in BY_TRANSFER and values[0] in transfers:
            yield row
