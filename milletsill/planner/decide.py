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
from typing import Container, Iterable, Mapping, Sequence

WHOLE, NEVER = 1_000_000, 1 << 60
MOST_PROMISES, MOST_ENDS = 3, 64  # of one holding; ends that are tried for a grant
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

@dataclass(frozen=True, slots=True)
class Lent:
    """One promise of an edge: a part, until when on its clock, and the planner's time that stood in what made it."""

    part: int
    ends: int
    heard: int


@dataclass(slots=True)
class Holding:
    """What one edge has of one thing: promises to the epoch `lent_to`, the largest first, each shorter than the next and
    smaller ones longer; `granted` on top until `granted_ends`."""

    capital: int
    floor: int
    promises: list[Lent] = field(default_factory=list)
    lent_to: int = 0
    granted: int = 0
    granted_ends: int = 0
    sequence: int = 0

    def lent(self, now: int) -> int:
        """What is promised now."""
        return next((each.part for each in self.promises if now < each.ends), 0)

    def part(self, now: int) -> int:
        """What the edge may use now."""
        return self.capital - self.lent(now) + (self.granted if now < self.granted_ends else 0)

    def ends(self) -> list[int]:
        """When `part` changes by itself."""
        return [each.ends for each in self.promises] + [self.granted_ends]

    def promise(self, made: Lent, now: int) -> None:
        """One more promise. None that stands is made smaller or shorter: a larger one stays beside a new smaller one, until
        its end. Past MOST_PROMISES the two last become one, as large and as long as either."""
        kept = [each for each in self.promises if now < each.ends and each.part > made.part]
        if len(kept) >= MOST_PROMISES:
            last = kept.pop()
            made = Lent(last.part, made.ends, last.heard)
        self.promises = kept + ([made] if made.part else [])


@dataclass(frozen=True, slots=True)
class Ask:
    """From an edge: what it wants of a thing, and what it has promised, as (part, heard). `sent` is its clock, sent back with
    the answer; `heard` is the planner's own time that stood in the grant that made a promise: it is not older than that."""

    edge: str
    incarnation: int
    epoch: int
    thing: Thing
    want: int
    capital: int
    lent: tuple[tuple[int, int], ...]
    sent: int


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
    again: int  # ask again within this, even if nothing is wanted


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
        other = held.lent(now) if held.lent_to != self.epoch else 0
        return 0 if other else held.capital - held.floor

    def outlook(self, thing: Thing, now: int) -> tuple[int, int, int]:
        """The part now, until when it surely holds, and the least that any later moment holds without another word: what the
        module is told, so that it stays lawful however late the next word to it comes."""
        held = self.holdings[thing]
        ends = [each for each in (*held.ends(), self.rests) if each > now]
        part = self.part(thing, now)
        if not ends:
            return part, NEVER, part
        return part, min(ends), min(self.part(thing, each) for each in ends)

    def idle(self, thing: Thing, now: int) -> bool:
        """Whether nothing about a thing is lent, granted or rested on, so that its record may go."""
        held = self.holdings[thing]
        return now >= max(*held.ends(), self.rests)

    def ask(self, thing: Thing, want: int, now: int) -> Ask:
        """What to send."""
        held = self.holdings[thing]
        lent = tuple((each.part, each.heard) for each in held.promises if now < each.ends and held.lent_to == self.epoch)
        return Ask(self.name, self.incarnation, self.epoch, thing, want, held.capital, lent, now)

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
            # Guards against a plan that comes later than it lasts, whatever held it up. Its sequence still counts, and what it
            # would have lent is lent: that is this edge's own promise, from now.
            held.sequence = grant.sequence
            self.promise(held, grant, now)
            return Heard.TOO_LATE
        held.sequence = grant.sequence
        held.granted, held.granted_ends = grant.granted, grant.asked + grant.lasts - GUARD
        self.promise(held, grant, now)
        return Heard.TAKEN

    def promise(self, held: Holding, grant: Grant, now: int) -> None:
        """Lend so much for a longest span from now. All of a holding is lent to one epoch at a time."""
        if held.lent(now) and held.lent_to != self.epoch:
            return
        if held.lent_to != self.epoch:
            held.promises, held.lent_to = [], self.epoch
        held.promise(Lent(min(grant.lend, self.free(held, now)), now + self.span.longest, grant.told), now)


# --- The planner.

@dataclass(slots=True)
class Share:
    """The planner's record of one edge and one thing."""

    capital: int
    want: int = 0
    asked: int = 0  # the edge's clock
    wanted: float = 0.0  # smoothed
    promises: list[tuple[int, int]] = field(default_factory=list)  # (part, surely kept until), on the planner's clock
    lend: int = 0  # what the plan would have lent
    due: int = 0  # what the plan would grant
    grants: list[tuple[int, int]] = field(default_factory=list)  # (part, latest end) of those that may still run
    sequence: int = 0
    reported: int = 0  # planner's clock
    called: int = 0  # when it was last told of lending without having asked

    def lent(self, until: int) -> int:
        """What the edge surely lends until a time."""
        return max((part for part, ends in self.promises if ends >= until), default=0)

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
    loud: bool = False  # whether anybody wants more than its even part
    held: int = 0  # no less than what all may hold of grants
    lent: list[tuple[int, int]] = field(default_factory=list)  # (until, what is surely lent until then at least), latest first

    def recount(self, now: int) -> None:
        """Both sums anew. Between two counts `held` only grows and what is lent is not counted higher: what was true of
        promises stays true, and what runs out is counted on, which is safe."""
        self.held = sum(each.out(now) for each in self.shares.values())
        ends = sorted(((ends, part, name) for name, each in self.shares.items() for part, ends in each.promises), reverse=True)
        best: dict[str, int] = {}
        self.lent, whole = [], 0
        for until, part, name in ends:
            whole += max(part - best.get(name, 0), 0)
            best[name] = max(part, best.get(name, 0))
            self.lent.append((until, whole))
        if len(self.lent) > MOST_ENDS:
            self.lent = self.lent[::len(self.lent) // MOST_ENDS + 1]


class Planner:
    """One run of the planner under one epoch. `most_edges` and `most_things` bound its memory."""

    def __init__(self, epoch: int, span: Span, most_edges: int = 1000, most_things: int = 100_000) -> None:
        self.epoch, self.span = epoch, span
        self.most_edges, self.most_things = most_edges, most_things
        self.pots: dict[Thing, Pot] = {}
        self.edges: dict[str, int] = {}  # the newest incarnation of each
        self.frozen = False
        self.drained: frozenset[str] = frozenset()  # edges that shall want nothing
        self.linked: set[str] = set()  # edges that are there, though they may have nothing to ask
        self.calls: list[tuple[str, Grant]] = []  # grants that nobody asked for; whoever carries messages takes them

    def forget(self, now: int) -> None:
        """Things that nobody has asked about, with nothing out, leave; so do edges of which nothing is left."""
        for thing, pot in list(self.pots.items()):
            if all(now - each.reported > self.span.longest * SELDOM * 3 and not each.out(now) for each in pot.shares.values()):
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
            self.count_on(share, ask, now)
        return self.grant(ask, pot, share, now)

    def sound(self, ask: Ask, now: int) -> bool:
        """Whether an ask makes sense and there is room for it."""
        known, pot = ask.edge in self.edges or len(self.edges) < self.most_edges, self.pots.get(ask.thing)
        room = len(self.pots) < self.most_things if pot is None else pot.capital == ask.capital
        return (known and room and 0 <= ask.want <= WHOLE and 0 < ask.capital <= WHOLE and len(ask.lent) <= MOST_PROMISES + 1
                and all(0 <= part <= ask.capital and heard <= now for part, heard in ask.lent))

    def born(self, edge: str, incarnation: int) -> None:
        """An edge has started again. It keeps its promises by resting; what it was granted is gone, but may have been used
        until just now, so that it stays counted until its end."""
        self.edges[edge] = incarnation
        for pot in self.pots.values():
            share = pot.shares.get(edge)
            if share is not None:
                share.asked = 0

    def count_on(self, share: Share, ask: Ask, now: int) -> None:
        """A promise is surely kept for a longest span from the planner's own time that the edge had heard before it made it.
        What was counted before stays true, and is kept as long as it says anything new."""
        told = [(part, heard + self.span.least(self.span.longest)) for part, heard in ask.lent]
        known = sorted({each for each in share.promises + told if each[1] > now}, key=lambda each: (-each[1], -each[0]))
        share.promises, most = [], 0
        for part, ends in known:
            if part > most and len(share.promises) < 2 * MOST_PROMISES:
                share.promises.append((part, ends))
                most = part

    def room(self, pot: Pot, share: Share, now: int, lent: int) -> int:
        """What may be granted to one edge out of so much lent, less what others may hold."""
        return lent - (pot.held - share.out(now))

    def grant(self, ask: Ask, pot: Pot, share: Share, now: int) -> Grant:
        """The answer to one ask: as much of its due as what is lent bears, for as long as the lent lasts."""
        if now - pot.planned >= PLAN_EVERY:
            pot.planned = now
            if not self.frozen:
                plan(pot, self.span, now, self.linked)
                self.call(ask.thing, pot, now)
            pot.recount(now)
        granted, lasts = 0, self.span.longest
        if share.due:
            granted, lasts = self.best(pot, share, now)
        share.sequence += 1
        if granted:
            before = share.out(now)
            share.grants.append((granted, now + self.span.most(lasts)))
            pot.held += max(granted - before, 0)
        again = self.span.longest // SOON if pot.loud else self.span.longest * SELDOM
        return Grant(self.epoch, ask.incarnation, ask.thing, share.sequence, granted, lasts, share.lend, ask.sent, now, again)

    def call(self, thing: Thing, pot: Pot, now: int) -> None:
        """Edges that are quiet about a thing which others now want are told what to lend. Guards the planner against 150 edges
        that ask about 400 idle stores each second; harm: a store that wakes up waits one message longer for its parts."""
        every = self.span.longest // SOON
        for name, share in pot.shares.items():
            if share.lend and now - max(share.reported, share.called) > every and len(self.calls) < self.most_edges:
                share.called, share.sequence = now, share.sequence + 1
                self.calls.append((name, Grant(self.epoch, self.edges.get(name, 0), thing, share.sequence, 0, self.span.longest,
                                               share.lend, share.asked, now, 0)))

    def drain_calls(self) -> list[tuple[str, Grant]]:
        """Those, once."""
        calls, self.calls = self.calls, []
        return calls

    def best(self, pot: Pot, share: Share, now: int) -> tuple[int, int]:
        """The largest grant that is lawful, and how long it lasts; the longest of several that are as large."""
        granted, lasts = 0, self.span.longest
        for until, lent in pot.lent:
            span = self.span.least(until - now)
            if span < self.span.longest // LEAST_PART:
                break
            room = min(self.room(pot, share, now, lent), share.due)
            if room > granted:
                granted, lasts = room, min(span, self.span.longest)
            if granted == share.due:
                break
        return granted, lasts


# --- The plan.

PLAN_EVERY, LEAST_PART = SECOND // 2, 4  # a grant lasts a fourth of the longest span at least
# Of a report; of the capital at a time; over what is wanted; hysteresis; of what nobody wants.
SMOOTH, STEP, SLACK, QUIET, SPARE = 0.5, 0.25, 1.2, 0.02, 0.5
SOON, SELDOM = 3, 8  # asks of what is idle: so many in a longest span where it is wanted, every so many spans where not


def fair(wants: Mapping[str, int], whole: int) -> dict[str, int]:
    """Max-min: each gets what it wants, or an even part of what those who want more leave."""
    got: dict[str, int] = {}
    left, asking = whole, sorted(wants, key=lambda each: (wants[each], each))
    for place, each in enumerate(asking):
        got[each] = min(wants[each], left // (len(asking) - place))
        left -= got[each]
    return got


def plan(pot: Pot, span: Span, now: int, linked: Container[str] = ()) -> None:
    """What each edge of a thing would lend, and what be granted. The part of one that is silent and not linked is left to it."""
    for name in [name for name, each in pot.shares.items() if now - each.reported > span.longest * SELDOM * 3
                 and not each.out(now)]:
        del pot.shares[name]
    shares = {name: each for name, each in pot.shares.items() if name in linked or now - each.reported <= span.longest}
    pot.loud = any(each.want > each.capital for each in shares.values())
    if not shares:
        return
    wants = {}
    for name, each in shares.items():
        # Guards against one report that is a thousand times too high or jumps each second: it moves little at a time. Harm:
        # a true surge waits a few rounds for its parts.
        wanted = min(each.want * SLACK, each.wanted + max(each.capital, each.wanted) * 2)
        each.wanted += (wanted - each.wanted) * SMOOTH
        wants[name] = max(int(each.wanted), int(each.capital * span.floor) + 1)
    whole = sum(each.capital for each in shares.values())
    got = fair(wants, whole)
    # Half of what nobody wants goes to those who want more than they have, for bursts between two looks. Harm: one that wakes
    # up finds less of its own for as long as a promise lasts.
    loud = {name: wants[name] for name, each in shares.items() if wants[name] > each.capital}
    extra = int((whole - sum(got.values())) * SPARE) if loud else 0
    for name, want in loud.items():
        got[name] += extra * want // sum(loud.values())
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

UP, DOWN = 2 * SECOND, 3 * SECOND


@dataclass(slots=True)
class Demand:
    """Units asked of one thing at one edge: a rate, smoothed over about a second. `due` is when it is next asked for."""

    rate: float = 0.0
    units: float = 0.0
    since: int = 0
    last: int = 0
    due: int = 0

    def asks(self, now: int, rate: float, span: Span) -> bool:
        """Whether to ask now: each time while it is in use, else so often that a promise does not run out between."""
        if rate <= 0 and now - self.last > span.longest and now < self.due:
            return False
        self.due = now + span.longest // SOON
        return True

    def told(self, grant: Grant, now: int) -> None:
        """When to ask again while nothing is wanted; at once where something was lent, so that the planner may count on it."""
        self.due = now if grant.lend and grant.again <= 0 else now + max(grant.again, 0)

    def add(self, units: float, now: int) -> None:
        self.units, self.last = self.units + units, now

    def look(self, now: int) -> float:
        """Units a second, as of now; called with each ask."""
        span = now - self.since
        if span >= SECOND // 10:
            fresh = self.units * SECOND / span
            # Up within UP, down within DOWN: a part that is given back too soon is asked for again with the next burst, and one
            # that a single large transfer asks for is missed elsewhere.
            self.rate += (fresh - self.rate) * min(span / (UP if fresh >= self.rate else DOWN), 1.0)
            self.units, self.since = 0.0, now
        return self.rate


def wanted(rate: float, waiting: float) -> float:
    """Units a second that would carry what arrives and send what waits within a second. Guards against clients that ask for no
    more until they are answered: what arrives is then no more than what the present part lets through. Harm: what waits for
    another reason (a slow box) asks for parts that it cannot use, for as long as it waits."""
    return rate + waiting


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
