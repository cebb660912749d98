"""The planner: what it counts on, and what it grants out of that."""

from __future__ import annotations

from milletsill.planner.quota_plan import LEAST_PART, PLAN_EVERY, Pot, Share, plan
from milletsill.planner.quota_terms import (
    MOST_PROMISES,
    SELDOM,
    SOON,
    WHOLE,
    Ask,
    Grant,
    Span,
    Thing,
)


class Planner:
    """One run of the planner under one epoch. `most_edges` and `most_things` bound its memory."""

    def __init__(
        self, epoch: int, span: Span, most_edges: int = 1000, most_things: int = 100_000
    ) -> None:
        self.epoch, self.span = epoch, span
        self.most_edges, self.most_things = most_edges, most_things
        self.pots: dict[Thing, Pot] = {}
        self.edges: dict[str, int] = {}  # the newest incarnation of each
        self.frozen = False
        self.drained: frozenset[str] = frozenset()  # edges that shall want nothing
        self.linked: set[str] = (
            set()
        )  # edges that are there, though they may have nothing to ask
        self.calls: list[
            tuple[str, Grant]
        ] = []  # grants that nobody asked for; whoever carries messages takes them

    def forget(self, now: int) -> None:
        """Things that nobody has asked about, with nothing out, leave; so do edges of which nothing is left."""
        for thing, pot in list(self.pots.items()):
            if all(
                now - each.reported > self.span.longest * SELDOM * 3
                and not each.out(now)
                for each in pot.shares.values()
            ):
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
        known, pot = (
            ask.edge in self.edges or len(self.edges) < self.most_edges,
            self.pots.get(ask.thing),
        )
        room = (
            len(self.pots) < self.most_things
            if pot is None
            else pot.capital == ask.capital
        )
        return (
            known
            and room
            and 0 <= ask.want <= WHOLE
            and 0 < ask.capital <= WHOLE
            and len(ask.lent) <= MOST_PROMISES + 1
            and all(
                0 <= part <= ask.capital and heard <= now for part, heard in ask.lent
            )
        )

    def born(self, edge: str, incarnation: int) -> None:
        """An edge has started again. It keeps its promises by resting; what it was granted is gone, but may have been used
        until just now, so that it stays counted until its end.
        """
        self.edges[edge] = incarnation
        for pot in self.pots.values():
            share = pot.shares.get(edge)
            if share is not None:
                share.asked = 0

    def count_on(self, share: Share, ask: Ask, now: int) -> None:
        """A promise is surely kept for a longest span from the planner's own time that the edge had heard before it made it.
        What was counted before stays true, and is kept as long as it says anything new.
        """
        told = [
            (part, heard + self.span.least(self.span.longest))
            for part, heard in ask.lent
        ]
        known = sorted(
            {each for each in share.promises + told if each[1] > now},
            key=lambda each: (-each[1], -each[0]),
        )
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
        return Grant(
            self.epoch,
            ask.incarnation,
            ask.thing,
            share.sequence,
            granted,
            lasts,
            share.lend,
            ask.sent,
            now,
            again,
        )

    def call(self, thing: Thing, pot: Pot, now: int) -> None:
        """Edges that are quiet about a thing which others now want are told what to lend. Guards the planner against 150 edges
        that ask about 400 idle stores each second; harm: a store that wakes up waits one message longer for its parts.
        """
        every = self.span.longest // SOON
        for name, share in pot.shares.items():
            if (
                share.lend
                and now - max(share.reported, share.called) > every
                and len(self.calls) < self.most_edges
            ):
                share.called, share.sequence = now, share.sequence + 1
                self.calls.append(
                    (
                        name,
                        Grant(
                            self.epoch,
                            self.edges.get(name, 0),
                            thing,
                            share.sequence,
                            0,
                            self.span.longest,
                            share.lend,
                            share.asked,
                            now,
                            0,
                        ),
                    )
                )

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
