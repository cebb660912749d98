"""What planner and edges decide: who lends, who gets, for how long, and what a message changes. No I/O and no clock.

The safety of it, in short (docs/planner.md has the argument). Each edge owns an even part of each whole: its capital. An edge
may use its capital less what it has lent, plus what it was granted; nothing else. It lends only by its own promise, until a time
on its own clock, and keeps that promise whatever it hears. The planner grants only out of promises made to this very run of it
(the epoch), and no grant ends later than the earliest that a promise behind it can end. So the parts in use never add up to more
than the whole, whatever is lost, late, doubled or out of order, and whoever restarts: a planner that forgets grants nothing until
it is lent again, an edge that forgets starts with the floor, below which no promise goes, until all that it may have promised is
over.

Parts are whole millionths of the whole. Times are whole tenths of a millisecond of the clock of whoever decides.
"""
from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Iterable, Mapping, Sequence

WHOLE, NEVER = 1_000_000, 1 << 60
GUARD = 200  # a grant is over this much before its end: a send that was decided just before it may still be on its way out
SECOND = 10_000
Thing = tuple[str, int]  # what is parted: ("limit", volume), ("reserve", volume), ("cold", node)


@dataclass(frozen=True, slots=True)
class Span:
    """How long things last, the same for planner and edges: the longest promise or grant, how much of a clock's rate may be
    wrong (parts in a thousand), the share of the even part that is never lent."""

    longest: int = 4 * SECOND
    drift: int = 5
    floor: float = 0.2

    def least(self, span: int) -> int:
        """What of a span on another's clock has surely passed on ours."""
        return span * (1000 - self.drift) // 1000

    def most(self, span: int) -> int:
        """What a span on another's clock may take on ours."""
        return -(-span * 1000 // (1000 - self.drift))


def even(gateways: int) -> int:
    """A gateway's capital: rounded down, so that the parts never pass the whole."""
    return WHOLE // max(gateways, 1)


# --- The edge.

@dataclass(slots=True)
class Holding:
    """What one edge has of one thing. `lent` until `lent_ends` to `lender`'s epoch; `granted` on top until `granted_ends`."""

    capital: int
    floor: int
    lent: int = 0
    lent_ends: int = 0
    lent_to: int = 0
    lent_heard: int = 0  # the planner's time that stood in what made the promise
    granted: int = 0
    granted_ends: int = 0
    sequence: int = 0

    def part(self, now: int) -> int:
        """What the edge may use now."""
        lent = self.lent if now < self.lent_ends else 0
        return self.capital - lent + (self.granted if now < self.granted_ends else 0)

    def ends(self, now: int) -> int | None:
        """When `part` next changes by itself; None for never."""
        return min((each for each in (self.lent_ends, self.granted_ends) if each > now), default=None)


@dataclass(frozen=True, slots=True)
class Ask:
    """From an edge: what it wants of a thing, and what it has promised. `sent` is its clock, sent back with the answer;
    `heard` is the planner's own time that stood in the grant that made the promise: it is not older than that."""

    edge: str
    incarnation: int
    epoch: int
    thing: Thing
    want: int
    capital: int
    lent: int
    sent: int
    heard: int


@dataclass(frozen=True, slots=True)
class Grant:
    """From the planner, in answer to one ask: what it grants on top for `lasts` from when it was asked for, what it would have
    lent, and its own time."""

    epoch: int
    incarnation: int
    thing: Thing
    sequence: int
    granted: int
    lasts: int
    lend: int
    asked: int
    told: int


Heard = Enum("Heard", "TAKEN OLD_EPOCH OLD_SEQUENCE TOO_LATE SENSELESS")


class Edge:
    """One edge's side. `born` is its clock at its start: until a whole longest span has passed since, it has the floor alone,
    for its former self may have lent the rest."""

    def __init__(self, name: str, incarnation: int, span: Span, born: int, fresh: bool = False) -> None:
        self.name, self.incarnation, self.span, self.born = name, incarnation, span, born
        self.rests = 0 if fresh else born + span.longest
        self.epoch = 0
        self.holdings: dict[Thing, Holding] = {}

    def know(self, thing: Thing, gateways: int) -> Holding:
        """The holding of a thing that has so many gateways; made once."""
        held = self.holdings.get(thing)
        if held is None:
            capital = even(gateways)
            held = self.holdings[thing] = Holding(capital, int(capital * self.span.floor))
        return held

    def part(self, thing: Thing, now: int) -> int:
        """What may be used of a thing now, in millionths."""
        held = self.holdings[thing]
        if now < self.rests:
            return held.floor + (held.granted if now < held.granted_ends else 0)
        return held.part(now)

    def free(self, held: Holding, now: int) -> int:
        """How much of its capital an edge may newly promise to the present epoch: nothing while it rests, and nothing of what
        another epoch still has."""
        if now < self.rests:
            return 0
        other = held.lent if now < held.lent_ends and held.lent_to != self.epoch else 0
        return max(held.capital - held.floor - other, 0)

    def outlook(self, thing: Thing, now: int) -> tuple[int, int, int]:
        """The part now, until when it surely holds, and the least that any later moment holds without another word: what the
        module is told, so that it stays lawful however late the next word to it comes."""
        held = self.holdings[thing]
        ends = [each for each in (held.lent_ends, held.granted_ends, self.rests) if each > now]
        part = self.part(thing, now)
        if not ends:
            return part, NEVER, part
        return part, min(ends), min(self.part(thing, each) for each in ends)

    def idle(self, thing: Thing, now: int) -> bool:
        """Whether nothing about a thing is lent, granted or rested on, so that its record may go."""
        held = self.holdings[thing]
        return now >= max(held.lent_ends, held.granted_ends, self.rests)

    def ask(self, thing: Thing, want: int, now: int) -> Ask:
        """What to send."""
        held = self.holdings[thing]
        lent = held.lent if now < held.lent_ends and held.lent_to == self.epoch else 0
        return Ask(self.name, self.incarnation, self.epoch, thing, want, held.capital, lent, now,
                   held.lent_heard if lent else 0)

    def meet(self, epoch: int) -> bool:
        """A planner's hello: whether its epoch is taken. One older than the newest heard is refused."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.epoch = epoch
            for held in self.holdings.values():
                held.sequence = 0
        return True

    def take(self, grant: Grant, now: int) -> Heard:
        """A grant: kept if it is of this epoch, newer than the last, and not over already."""
        held = self.holdings.get(grant.thing)
        if held is None or grant.incarnation != self.incarnation or grant.asked > now or not 0 < grant.lasts <= self.span.longest or not (
                0 <= grant.granted <= WHOLE and 0 <= grant.lend <= WHOLE):
            return Heard.SENSELESS
        if grant.epoch != self.epoch:
            return Heard.OLD_EPOCH
        if grant.sequence <= held.sequence:
            return Heard.OLD_SEQUENCE
        if now >= grant.asked + grant.lasts:
            # Guards against a plan that comes later than it lasts, whatever held it up. Its sequence still counts.
            held.sequence = grant.sequence
            return Heard.TOO_LATE
        held.sequence = grant.sequence
        held.granted, held.granted_ends = grant.granted, grant.asked + grant.lasts - GUARD
        self.promise(held, grant, now)
        return Heard.TAKEN

    def promise(self, held: Holding, grant: Grant, now: int) -> None:
        """Lend so much for a longest span from now. A promise is never made smaller before its end; what another epoch has
        is not lent twice."""
        if now < held.lent_ends and held.lent_to != self.epoch and held.lent:
            return  # all of a holding is lent to one epoch at a time
        lend = min(grant.lend, self.free(held, now))
        if now < held.lent_ends and lend < held.lent:
            return  # it runs out by itself, and is not made longer
        held.lent, held.lent_to, held.lent_ends, held.lent_heard = lend, self.epoch, now + self.span.longest, grant.told


# --- The planner.

@dataclass(slots=True)
class Promise:
    """What an edge has lent, as the planner may count on it: so much surely until `ends` on the planner's clock."""

    part: int
    ends: int


@dataclass(slots=True)
class Share:
    """The planner's record of one edge and one thing."""

    capital: int
    want: int = 0
    asked: int = 0  # the edge's clock
    wanted: float = 0.0  # smoothed
    promise: Promise = field(default_factory=lambda: Promise(0, 0))
    lend: int = 0  # what the plan would have lent
    due: int = 0  # what the plan would grant
    grants: list[tuple[int, int]] = field(default_factory=list)  # (part, latest end) of those that may still run
    sequence: int = 0
    reported: int = 0  # planner's clock

    def out(self, now: int) -> int:
        """The most that the edge may hold of grants now."""
        self.grants = [each for each in self.grants if now < each[1]]
        return max((part for part, _ in self.grants), default=0)


@dataclass(slots=True)
class Pot:
    """One thing: its shares by edge."""

    capital: int
    shares: dict[str, Share] = field(default_factory=dict)
    planned: int = -1 << 60


class Planner:
    """One run of the planner under one epoch. `most_edges` and `most_things` bound its memory."""

    def __init__(self, epoch: int, span: Span, most_edges: int = 1000, most_things: int = 100_000) -> None:
        self.epoch, self.span = epoch, span
        self.most_edges, self.most_things = most_edges, most_things
        self.pots: dict[Thing, Pot] = {}
        self.edges: dict[str, int] = {}  # the newest incarnation of each
        self.frozen = False
        self.drained: frozenset[str] = frozenset()  # edges that shall want nothing

    def forget(self, now: int) -> None:
        """Things that nobody has asked about, with nothing out, leave; so do edges of which nothing is left."""
        for thing, pot in list(self.pots.items()):
            if all(now - each.reported > FORGET and not each.out(now) for each in pot.shares.values()):
                del self.pots[thing]
        if len(self.edges) > self.most_edges // 2:
            held = {name for pot in self.pots.values() for name in pot.shares}
            self.edges = {name: run for name, run in self.edges.items() if name in held}

    def hear(self, ask: Ask, now: int) -> Grant | None:
        """An ask: what it says is kept, and answered by a grant; None for one that counts for nothing."""
        if not self.sound(ask, now):
            return None
        known = self.edges.get(ask.edge, 0)
        if ask.incarnation < known:
            return None
        if ask.incarnation > known:
            self.born(ask.edge, ask.incarnation)
        pot = self.pots.setdefault(ask.thing, Pot(ask.capital))
        share = pot.shares.setdefault(ask.edge, Share(ask.capital))
        if ask.sent < share.asked:
            return None  # an older ask that came late
        share.asked, share.reported = ask.sent, now
        share.want = 0 if ask.edge in self.drained else ask.want
        if ask.epoch == self.epoch:
            self.count_on(share, ask)
        return self.grant(ask, pot, share, now)

    def sound(self, ask: Ask, now: int) -> bool:
        """Whether an ask makes sense and there is room for it."""
        known, pot = ask.edge in self.edges or len(self.edges) < self.most_edges, self.pots.get(ask.thing)
        room = len(self.pots) < self.most_things if pot is None else pot.capital == ask.capital
        return (known and room and 0 <= ask.want <= WHOLE and 0 < ask.capital <= WHOLE and 0 <= ask.lent <= ask.capital
                and ask.heard <= now)

    def born(self, edge: str, incarnation: int) -> None:
        """An edge has started again. It keeps its promises by resting; what it was granted is gone, but may have been used
        until just now, so that it stays counted until its end."""
        self.edges[edge] = incarnation
        for pot in self.pots.values():
            share = pot.shares.get(edge)
            if share is not None:
                share.asked = 0

    def count_on(self, share: Share, ask: Ask) -> None:
        """A promise in force is surely kept for a longest span from the planner's own time that the edge had heard before it
        made it. It is counted anew with each ask, never longer than that tells."""
        ends = ask.heard + self.span.least(self.span.longest)
        if ask.lent and ask.heard:
            share.promise = Promise(ask.lent, ends) if ends >= share.promise.ends or ask.lent > share.promise.part else (
                share.promise)

    def lent(self, pot: Pot, now: int) -> list[tuple[int, int]]:
        """What is surely lent, as (part, end)."""
        return [(each.promise.part, each.promise.ends) for each in pot.shares.values() if now < each.promise.ends]

    def room(self, pot: Pot, but: Share, now: int, until: int) -> int:
        """What may be granted to one edge until a time: what is lent until then at least, less what others may hold."""
        lent = sum(part for part, ends in self.lent(pot, now) if ends >= until)
        return lent - sum(each.out(now) for each in pot.shares.values() if each is not but)

    def grant(self, ask: Ask, pot: Pot, share: Share, now: int) -> Grant:
        """The answer to one ask: as much of its due as what is lent bears, for as long as the lent lasts."""
        if now - pot.planned >= PLAN_EVERY and not self.frozen:
            pot.planned = now
            plan(pot, self.span, now)
        granted, lasts = 0, self.span.longest
        for ends in sorted({ends for _, ends in self.lent(pot, now)}, reverse=True):
            span = self.span.least(ends - now)
            if span < LEAST_GRANT:
                break
            room = min(self.room(pot, share, now, ends), share.due)
            if room > granted:
                granted, lasts = room, min(span, self.span.longest)
        share.sequence += 1
        if granted:
            share.grants.append((granted, now + self.span.most(lasts)))
        return Grant(self.epoch, ask.incarnation, ask.thing, share.sequence, granted, lasts, share.lend, ask.sent, now)


# --- The plan.

PLAN_EVERY, LEAST_GRANT = SECOND // 2, SECOND
SMOOTH, STEP, SLACK, QUIET = 0.3, 0.25, 1.2, 0.02  # of a report; of the capital at a time; over what is wanted; hysteresis
FORGET = 30 * SECOND


def fair(wants: Mapping[str, int], whole: int) -> dict[str, int]:
    """Max-min: each gets what it wants, or an even part of what those who want more leave."""
    got: dict[str, int] = {}
    left, asking = whole, sorted(wants, key=lambda each: (wants[each], each))
    for place, each in enumerate(asking):
        got[each] = min(wants[each], left // (len(asking) - place))
        left -= got[each]
    return got


def plan(pot: Pot, span: Span, now: int) -> None:
    """What each edge of a thing would lend, and what be granted. The part of one that is silent is left to it."""
    for name in [name for name, each in pot.shares.items() if now - each.reported > FORGET and not each.out(now)]:
        del pot.shares[name]
    shares = {name: each for name, each in pot.shares.items() if now - each.reported <= span.longest}
    if not shares:
        return
    wants = {}
    for name, each in shares.items():
        # Guards against one report that is a thousand times too high or jumps each second: it moves little at a time. Harm:
        # a true surge waits a few rounds for its parts.
        wanted = min(each.want * SLACK, each.wanted + max(each.capital, each.wanted) * 2)
        each.wanted += (wanted - each.wanted) * SMOOTH if wanted < each.wanted else wanted - each.wanted
        wants[name] = max(int(each.wanted), int(each.capital * span.floor) + 1)
    whole = sum(each.capital for each in shares.values())
    got = fair(wants, whole)
    over = sum(max(got[name] - each.capital, 0) for name, each in shares.items())
    under = sum(max(each.capital - got[name], 0) for name, each in shares.items())
    for name, each in shares.items():
        spare = max(each.capital - got[name], 0)
        lend = spare * min(over, under) // under if under else 0
        most = each.capital - int(each.capital * span.floor) - 1
        lend = min(lend, most, each.lend + int(each.capital * STEP)) if lend > each.lend else lend
        each.lend = each.lend if abs(lend - each.lend) < each.capital * QUIET and lend else lend
        each.due = max(got[name] - each.capital, 0)


# --- What an edge wants.

@dataclass(slots=True)
class Demand:
    """Units asked of one thing at one edge: a rate, smoothed over about a second."""

    rate: float = 0.0
    units: float = 0.0
    since: int = 0
    last: int = 0

    def add(self, units: float, now: int) -> None:
        self.units, self.last = self.units + units, now

    def look(self, now: int) -> float:
        """Units a second, as of now; called with each ask."""
        span = now - self.since
        if span >= SECOND // 10:
            fresh = self.units * SECOND / span
            # Up at once, down by halves: a part that is given back too soon is asked for again with the next burst.
            self.rate = fresh if fresh >= self.rate else self.rate + (fresh - self.rate) * min(span / SECOND, 1.0) / 2
            self.units, self.since = 0.0, now
        return self.rate


def want_of(rate: float, whole: float) -> int:
    """What part of a whole, units a second, carries a rate."""
    return WHOLE if whole <= 0 else min(max(round(rate / whole * WHOLE), 0), WHOLE)


# --- Its link to the planner.

# DOWN: nothing. GREETED: connected, the planner has not answered. PLANNED: grants come.
Link = Enum("Link", "DOWN GREETED PLANNED")
Said = Enum("Said", "UP WELCOME OLD REFUSED LOST SILENT")
LINK_TABLE: Mapping[tuple[Link, Said], tuple[Link, str]] = {
    (Link.DOWN, Said.UP): (Link.GREETED, "hello"),
    (Link.GREETED, Said.WELCOME): (Link.PLANNED, "ask"),
    # Guards against a planner that came back with an old view, or a copy of one: it is told the newest epoch.
    (Link.GREETED, Said.OLD): (Link.DOWN, "refuse"),
    (Link.PLANNED, Said.OLD): (Link.DOWN, "refuse"),
    (Link.GREETED, Said.REFUSED): (Link.DOWN, "cut"),
    (Link.PLANNED, Said.REFUSED): (Link.DOWN, "cut"),
    (Link.GREETED, Said.SILENT): (Link.DOWN, "cut"),
    (Link.PLANNED, Said.SILENT): (Link.DOWN, "cut"),
    (Link.GREETED, Said.LOST): (Link.DOWN, "again"),
    (Link.PLANNED, Said.LOST): (Link.DOWN, "again"),
}
FIRST_WAIT, MOST_WAIT = SECOND // 10, 5 * SECOND


def link_step(link: Link, said: Said) -> tuple[Link, str]:
    """The next state and what to do; what the table does not name changes nothing."""
    return LINK_TABLE.get((link, said), (link, ""))


def dial_after(failures: int, chance: float) -> int:
    """The pause before the next dial; `chance` from 0 to 1 spreads 150 edges after a planner's restart."""
    return int(min(FIRST_WAIT * 2 ** min(failures, 20), MOST_WAIT) * (0.5 + chance / 2))


def totals(edges: Iterable[Edge], thing: Thing, times: Sequence[int]) -> int:
    """What all edges may use of a thing now, each at its own clock; for the model and the auditor."""
    return sum(each.part(thing, now) for each, now in zip(edges, times))
