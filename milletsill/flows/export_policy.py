"""What flow export decides: what is metered, what leaves a full cache, what is dropped, where records go, how fast.

No I/O and no clock; times are whole tenths of a millisecond of the gateway's own clock. The tables and tuned values of
`flows/` stand here alone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from itertools import islice
from typing import Any

SECOND = 10_000

# --- How closely is metered: by what export costs.


class Level(IntEnum):
    """COMMANDS: a record for each command besides the flows. FLOWS: flows alone. SAMPLED: one in some."""

    COMMANDS = 0
    FLOWS = 1
    SAMPLED = 2


Pressure = Enum("Pressure", "HIGH LOW FAIR")
LEVEL_TABLE: Mapping[tuple[Level, Pressure], tuple[Level, str]] = {
    (Level.COMMANDS, Pressure.HIGH): (Level.FLOWS, "say"),
    (Level.FLOWS, Pressure.HIGH): (Level.SAMPLED, "say"),
    (Level.SAMPLED, Pressure.HIGH): (Level.SAMPLED, "coarser"),
    (Level.SAMPLED, Pressure.LOW): (Level.SAMPLED, "finer"),
    (Level.FLOWS, Pressure.LOW): (Level.COMMANDS, "say"),
}
RELIEF = 0.5  # a share of the bound under which pressure is low: the gap keeps the level from flapping
HELD_HIGH, HELD_LOW = 2, 8  # looks in a row that it takes to step down, and up again
MOST_INTERVAL = 256


@dataclass(slots=True)
class Metering:
    """The level, the sampling interval (one in so many), and how long pressure has been as it is.

    Guards against a surge that makes export compete with client work, from whatever cause: many commands, many
    flows, slow encoding. Harm: a short burst may be told less closely than could have been borne; `HELD_HIGH` bounds
    that from one side. `finest` is the operator's: no closer than that.
    """

    finest: Level = Level.COMMANDS
    level: Level = Level.COMMANDS
    interval: int = 1
    streak: int = 0
    last: Pressure = Pressure.FAIR
    turn: int = 0

    def look(self, share: float, bound: float) -> str:
        """One look at the share of time that export took; '' or what to say in the stream."""
        pressure = (
            Pressure.HIGH
            if share > bound
            else Pressure.LOW
            if share < bound * RELIEF
            else Pressure.FAIR
        )
        self.streak = self.streak + 1 if pressure is self.last else 1
        self.last = pressure
        if self.streak < (HELD_HIGH if pressure is Pressure.HIGH else HELD_LOW):
            return ""
        self.streak = 0
        level, effect = LEVEL_TABLE.get((self.level, pressure), (self.level, ""))
        if effect == "coarser":
            effect = "say" if self.interval < MOST_INTERVAL else ""
            self.interval = min(self.interval * 2, MOST_INTERVAL)
        elif effect == "finer":
            self.interval //= 2
            level, effect = (
                (Level.SAMPLED, "say") if self.interval > 1 else (Level.FLOWS, "say")
            )
        elif level is Level.SAMPLED:
            self.interval = 2
        level = max(level, self.finest)
        effect = effect if (level, self.interval) != (self.level, 0) else ""
        self.level, self.interval = (
            level,
            self.interval if level is Level.SAMPLED else 1,
        )
        return effect

    def selects(self) -> bool:
        """Whether the next one is metered: systematic count-based sampling (RFC 5475), one in `interval`."""
        self.turn = (self.turn + 1) % self.interval if self.interval > 1 else 0
        return self.turn == 0


# --- What leaves a full cache.

LOOKED_AT = 8  # of those idle for longest


def victim(
    oldest_first: Iterable[tuple[Any, Any]], size_of: Callable[[Any], int]
) -> Any:
    """The key of the flow that leaves: of the few idle for longest the smallest.

    Weighed: the oldest idle alone sends out a large flow that rests for a moment, and it comes back at once; the
    smallest of all lets a flood of new ones push out each other, which is right, but takes a look at all of them; a
    chance by size (as elephant detection has it) needs no order but loses exactness. Nothing is lost either way: what
    leaves is exported, with the reason lack of resources.
    """
    return min(islice(oldest_first, LOOKED_AT), key=lambda each: size_of(each[1]))[0]


def ended(now: int, started: int, last: int, active: int, idle: int) -> int:
    """Why a flow is to be exported now, by IANA's flowEndReason: 1 idle, 2 active time-out, 0 not yet."""
    if now - last >= idle:
        return 1
    return 2 if now - started >= active else 0


# --- What a full queue drops.


class Kind(IntEnum):
    """Kinds of records by what they are worth when not all can be kept: the lowest goes first."""

    COMMAND = 0
    FLOW = 1
    OPTION = 2


def shed(counts: Mapping[Kind, int]) -> Kind:
    """The kind of which the oldest goes: the least needed that there is. Flows hold sums that nothing else tells;
    commands repeat what flows sum up; options are few and tell of the drops themselves.
    """
    return min(kind for kind, count in counts.items() if count)


# --- Templates.


FIRST_AGAIN, SLOWER = SECOND, 4


def templates_due(
    over_udp: bool,
    times: int,
    now: int,
    told_at: int,
    messages: int,
    every: int,
    every_messages: int,
) -> bool:
    """Whether templates go before the next record: once on each connection; on UDP again by time and by count.

    `times` they were told on this stream. The first few are soon told again: a datagram lost at the start would leave the
    collector blind for as long as `every`.
    """
    if not times:
        return True
    soon = min(FIRST_AGAIN * SLOWER ** min(times - 1, 20), every)
    return over_udp and (now - told_at >= soon or messages >= every_messages)


# --- Collectors.

# AWAY: waits to be tried. TRYING: being connected. UP: takes records. STUCK: connected, and takes none.
Post = Enum("Post", "AWAY TRYING UP STUCK")
Word = Enum("Word", "DUE CONNECTED FAILED LOST FULL DRAINED OVERDUE")
POST_TABLE: Mapping[tuple[Post, Word], tuple[Post, str]] = {
    (Post.AWAY, Word.DUE): (Post.TRYING, "connect"),
    (Post.TRYING, Word.CONNECTED): (Post.UP, "begin"),
    (Post.TRYING, Word.FAILED): (Post.AWAY, "wait"),
    **{
        (post, Word.LOST): (Post.AWAY, "wait")
        for post in (Post.TRYING, Post.UP, Post.STUCK)
    },
    (Post.UP, Word.FULL): (Post.STUCK, ""),
    (Post.STUCK, Word.DRAINED): (Post.UP, "pump"),
    # Guards against a collector that accepts and never reads: it is left for another, and tried again later.
    (Post.STUCK, Word.OVERDUE): (Post.AWAY, "cut"),
}
FIRST_WAIT, MOST_WAIT, STUCK_FOR = SECOND // 2, 60 * SECOND, 5 * SECOND


def post(state: Post, word: Word) -> tuple[Post, str]:
    """The next state of a collector and what to do; what the table does not name changes nothing."""
    return POST_TABLE.get((state, word), (state, ""))


def back_off(failures: int, chance: Callable[[float, float], float]) -> int:
    """How long to wait before the next try: doubling, spread by chance so that gateways do not come together."""
    return int(min(FIRST_WAIT * 2 ** min(failures, 20), MOST_WAIT) * chance(0.5, 1.0))


PROVEN = (
    30 * SECOND
)  # a collector that was away or stuck is doubted until it has been up for so long


def receivers(
    states: Sequence[Post], doubted: Sequence[bool], copies: bool, chosen: int
) -> list[int]:
    """The places of the collectors that get the next record, in the operator's order.

    Copies: all of them, up or not (their queues hold what fits). Failover: the first that is up and not doubted, else the
    first that is up; while none is, the one chosen last goes on gathering, so that what is kept lies in one queue and
    in order. Doubt guards against one that accepts and never reads: it is up again after each cut, and would eat what
    its socket holds each time.
    """
    if copies:
        return list(range(len(states)))
    up = [place for place, each in enumerate(states) if each is Post.UP]
    sure = [place for place in up if not doubted[place]]
    return [(sure or up or [chosen])[0]] if states else []


@dataclass(slots=True)
class Tally:
    """What became of what was counted, for one collector: numbers of records, commands, dispatches, packets, octets."""

    records: int = 0
    commands: int = 0
    dispatches: int = 0
    packets: int = 0
    octets: int = 0

    def add(self, other: Any) -> None:
        """Another tally, or anything with its counts."""
        self.records += other.records
        self.commands += other.commands
        self.dispatches += other.dispatches
        self.packets += other.packets
        self.octets += other.octets


@dataclass(slots=True)
class Account:
    """The truth about one collector's stream: what was sent, and what was dropped for which cause."""

    sent: Tally = field(default_factory=Tally)
    dropped: dict[str, Tally] = field(default_factory=dict)
    messages: int = 0
    bytes: int = 0

    def drop(self, cause: str, tally: Tally) -> None:
        self.dropped.setdefault(cause, Tally()).add(tally)

    def lost(self) -> Tally:
        """All that was dropped."""
        whole = Tally()
        for each in self.dropped.values():
            whole.add(each)
        return whole
