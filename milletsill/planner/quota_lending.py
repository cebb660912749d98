"""The edge: what it may use, what it lends, which grants it takes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from milletsill.planner.quota_terms import (
    GUARD,
    MOST_PROMISES,
    NEVER,
    WHOLE,
    Ask,
    Grant,
    Lent,
    Span,
    Thing,
    even,
)


@dataclass(slots=True)
class Holding:
    """What one edge has of one thing: promises to the epoch `lent_to`, the largest first, each shorter than the next and
    smaller ones longer; `granted` on top until `granted_ends`.
    """

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
        return (
            self.capital
            - self.lent(now)
            + (self.granted if now < self.granted_ends else 0)
        )

    def ends(self) -> list[int]:
        """When `part` changes by itself."""
        return [each.ends for each in self.promises] + [self.granted_ends]

    def promise(self, made: Lent, now: int) -> None:
        """One more promise. None that stands is made smaller or shorter: a larger one stays beside a new smaller one, until
        its end. Past MOST_PROMISES the two last become one, as large and as long as either.
        """
        kept = [
            each for each in self.promises if now < each.ends and each.part > made.part
        ]
        if len(kept) >= MOST_PROMISES:
            last = kept.pop()
            made = Lent(last.part, made.ends, last.heard)
        self.promises = kept + ([made] if made.part else [])


Heard = Enum("Heard", "TAKEN OLD_EPOCH OLD_SEQUENCE TOO_LATE SENSELESS")


class Edge:
    """One edge's side. `born` is its clock at its start: until a whole longest span has passed since, it has the floor alone,
    for its former self may have lent the rest.
    """

    def __init__(
        self, name: str, incarnation: int, span: Span, born: int, fresh: bool = False
    ) -> None:
        self.name, self.incarnation, self.span, self.born = (
            name,
            incarnation,
            span,
            born,
        )
        self.rests = 0 if fresh else born + span.longest
        self.epoch = 0
        self.holdings: dict[Thing, Holding] = {}

    def know(self, thing: Thing, gateways: int) -> Holding:
        """The holding of a thing that has so many gateways; made once."""
        held = self.holdings.get(thing)
        if held is None:
            capital = even(gateways)
            held = self.holdings[thing] = Holding(
                capital, int(capital * self.span.floor)
            )
        return held

    def part(self, thing: Thing, now: int) -> int:
        """What may be used of a thing now, in millionths."""
        held = self.holdings[thing]
        if now < self.rests:
            return held.floor + (held.granted if now < held.granted_ends else 0)
        return held.part(now)

    def free(self, held: Holding, now: int) -> int:
        """How much of its capital an edge may newly promise to the present epoch: nothing while it rests, and nothing of what
        another epoch still has.
        """
        if now < self.rests:
            return 0
        other = held.lent(now) if held.lent_to != self.epoch else 0
        return 0 if other else held.capital - held.floor

    def outlook(self, thing: Thing, now: int) -> tuple[int, int, int]:
        """The part now, until when it surely holds, and the least that any later moment holds without another word: what the
        module is told, so that it stays lawful however late the next word to it comes.
        """
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
        lent = tuple(
            (each.part, each.heard)
            for each in held.promises
            if now < each.ends and held.lent_to == self.epoch
        )
        return Ask(
            self.name,
            self.incarnation,
            self.epoch,
            thing,
            want,
            held.capital,
            lent,
            now,
        )

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
        if (
            held is None
            or grant.incarnation != self.incarnation
            or grant.asked > now
            or not 0 < grant.lasts <= self.span.longest
            or not (0 <= grant.granted <= WHOLE and 0 <= grant.lend <= WHOLE)
        ):
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
        held.granted, held.granted_ends = (
            grant.granted,
            grant.asked + grant.lasts - GUARD,
        )
        self.promise(held, grant, now)
        return Heard.TAKEN

    def promise(self, held: Holding, grant: Grant, now: int) -> None:
        """Lend so much for a longest span from now. All of a holding is lent to one epoch at a time."""
        if held.lent(now) and held.lent_to != self.epoch:
            return
        if held.lent_to != self.epoch:
            held.promises, held.lent_to = [], self.epoch
        held.promise(
            Lent(
                min(grant.lend, self.free(held, now)),
                now + self.span.longest,
                grant.told,
            ),
            now,
        )


def totals(edges: Iterable[Edge], thing: Thing, times: Sequence[int]) -> int:
    """What all edges may use of a thing now, each at its own clock; for the model and the auditor."""
    return sum(each.part(thing, now) for each, now in zip(edges, times))
