"""A model of planner, edges and a network that loses, doubles, delays and reorders, run on the very functions of decide.

    python -m milletsill.lab.model_checks.quota_model [--walks N --steps N --edges N]

`explore` goes through every order of events up to a depth for a small fleet; `walk` goes by seeded chance through a large one.
Both look after each event whether the parts in use add up to more than the whole. `MUTANTS` take out one guard each; the tests
demand that each of them is found.
"""

from __future__ import annotations

import argparse
import copy
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from unittest import mock

from milletsill.planner.quota_granting import Planner
from milletsill.planner.quota_lending import Edge, Heard, Holding
from milletsill.planner.quota_plan import Share
from milletsill.planner.quota_terms import SECOND, WHOLE, Ask, Grant, Lent, Span

THING, SPAN, MOST_FLYING = ("limit", 1), Span(4 * SECOND, 0, 0.2), 6


class World:
    """Planner, edges, and the messages that may still arrive."""

    def __init__(self, edges: int, span: Span = SPAN) -> None:
        self.span, self.now, self.epoch = span, 100 * SECOND, 1
        self.planner = Planner(1, span)
        self.planner.linked = {f"e{each}" for each in range(edges)}
        self.born = 1
        self.edges = [
            Edge(f"e{each}", 1, span, self.now, fresh=True) for each in range(edges)
        ]
        self.offsets = [each * 7 for each in range(edges)]  # each edge's clock differs
        self.rates = [0] * edges
        for each in self.edges:
            each.know(THING, edges)
            each.meet(1)
        self.wants = [WHOLE if each == 0 else 0 for each in range(edges)]
        self.flying: list[tuple[int, Any]] = []  # (edge, message)

    def clock(self, edge: int) -> int:
        return self.now + self.offsets[edge]

    def used(self) -> int:
        return sum(
            each.part(THING, self.clock(place)) for place, each in enumerate(self.edges)
        )

    # Events.

    def ask(self, edge: int) -> None:
        self.fly(edge, self.edges[edge].ask(THING, self.wants[edge], self.clock(edge)))

    def fly(self, edge: int, message: Any) -> None:
        if message is not None and (edge, message) not in self.flying:
            self.flying.append((edge, message))
            del self.flying[: -MOST_FLYING * len(self.edges)]

    def arrive(self, place: int, stays: bool) -> None:
        edge, message = self.flying[place] if stays else self.flying.pop(place)
        if isinstance(message, Ask):
            self.fly(edge, self.planner.hear(message, self.now))
            self.carry()
        else:
            held = self.edges[edge]
            if held.meet(message.epoch):
                held.take(message, self.clock(edge))

    def exchange(self, edge: int) -> None:
        """An ask and its answer without delay."""
        message = self.edges[edge].ask(THING, self.wants[edge], self.clock(edge))
        grant = self.planner.hear(message, self.now)
        if grant is not None and self.edges[edge].meet(grant.epoch):
            self.edges[edge].take(grant, self.clock(edge))
        self.carry()

    def carry(self) -> None:
        """What the planner says unasked is on its way."""
        for name, grant in self.planner.drain_calls():
            self.fly(int(name[1:]), grant)

    def pass_time(self, span: int) -> None:
        self.now += span
        for place, rate in enumerate(self.rates):
            self.offsets[place] += span * rate // 1000

    def restart_edge(self, edge: int) -> None:
        old = self.edges[edge]
        self.edges[edge] = Edge(
            old.name, old.incarnation + 1, self.span, self.clock(edge)
        )
        self.edges[edge].know(THING, len(self.edges))

    def restart_planner(self) -> None:
        self.epoch += 1
        linked, self.planner = self.planner.linked, Planner(self.epoch, self.span)
        self.planner.linked = linked

    def turn(self, edge: int) -> None:
        """Who wants all, and who nothing, changes."""
        self.wants = [WHOLE if each == edge else 0 for each in range(len(self.edges))]

    def events(self) -> list[tuple[str, Callable[[], None]]]:
        """What may happen next."""
        found: list[tuple[str, Callable[[], None]]] = []
        for each in range(len(self.edges)):
            found.append((f"ask {each}", lambda each=each: self.ask(each)))
            found.append((f"restart {each}", lambda each=each: self.restart_edge(each)))
        for place in range(len(self.flying)):
            found.append(
                (f"arrive {place}", lambda place=place: self.arrive(place, False))
            )
            found.append(
                (f"double {place}", lambda place=place: self.arrive(place, True))
            )
        found.append(("time", lambda: self.pass_time(self.span.longest // 2)))
        found.append(("planner", self.restart_planner))
        return found

    def key(self) -> Any:
        """The same for worlds that go on alike."""
        return (
            self.now,
            self.epoch,
            tuple(
                repr(sorted(vars(each).items(), key=lambda pair: pair[0]))
                for each in self.edges
            ),
            repr(sorted(vars(self.planner).items(), key=lambda pair: pair[0])),
            tuple(sorted(map(repr, self.flying))),
        )


def explore(
    edges: int, depth: int, most: int, seed_steps: int = 0
) -> tuple[int, list[str] | None]:
    """Every order of events up to a depth, worlds that are alike looked at once, at most so many. The worlds looked at, and
    the events that led past the whole, if any. `seed_steps` exchanges without loss come first, so that there is something to lose.
    """
    first = World(edges)
    for step in range(seed_steps):
        first.exchange(step % edges)
        first.pass_time(SECOND // 10)
    seen, layer, count = {first.key()}, [(first, list[str]())], 1
    for _ in range(depth):
        following = []
        for world, path in layer:
            for name in [name for name, _ in world.events()]:
                made = copy.deepcopy(world)
                dict(made.events())[name]()
                key = made.key()
                if key in seen:
                    continue
                seen.add(key)
                count += 1
                if made.used() > WHOLE:
                    return count, path + [name]
                if count >= most:
                    return count, None
                following.append((made, path + [name]))
        layer = following
    return count, None


def walk(
    edges: int, steps: int, seed: int, drift: int = 5
) -> tuple[int, str | None, int]:
    """Chance through a large fleet whose clocks drift; the steps made, what went wrong, and the most that one edge had."""
    chance, span = Random(seed), Span(4 * SECOND, drift, 0.2)
    world = World(edges, span)
    world.rates = [chance.randint(-drift // 2, drift // 2) for _ in range(edges)]
    best = 0
    for step in range(steps):
        edge, dice = chance.randrange(edges), chance.random()
        if dice < 0.42:
            world.exchange(edge)
        elif dice < 0.52:
            world.ask(edge)
        elif dice < 0.74 and world.flying:
            world.arrive(chance.randrange(len(world.flying)), chance.random() < 0.2)
        elif dice < 0.94:
            world.pass_time(
                chance.choice(
                    (50, SECOND // 10, SECOND // 2, SECOND // 2, SECOND, 2 * SECOND)
                )
            )
        elif dice < 0.955:
            world.restart_edge(edge)
        elif dice < 0.975:
            world.restart_planner()
        else:
            world.turn(edge)
        used = world.used()
        best = max(
            best,
            *(
                each.part(THING, world.clock(place))
                for place, each in enumerate(world.edges)
            ),
        )
        if used > WHOLE:
            return step, f"seed {seed}, step {step}: {used} of {WHOLE} in use", best
    return steps, None, best


def overtaken() -> int:
    """A large grant is on its way for long while newer, smaller ones are lost and another edge gets the rest; then it comes.
    The most that is in use with it at any moment of that.
    """
    world = World(3)
    for step in range(90):
        world.exchange(step % 3)
        world.pass_time(SECOND // 8)
    large = world.planner.hear(
        world.edges[0].ask(THING, WHOLE, world.clock(0)), world.now
    )
    world.turn(1)
    worst = 0
    for _ in range(32):
        world.planner.hear(world.edges[0].ask(THING, 0, world.clock(0)), world.now)
        for edge in (1, 2):
            world.exchange(edge)
        world.pass_time(SECOND // 8)
        made = copy.deepcopy(world)
        if large is not None:
            made.edges[0].take(large, made.clock(0))
        worst = max(worst, made.used())
    return worst


def wrong(walks: int, steps: int = 1500) -> str | None:
    """What goes wrong first, if anything: the case of the overtaken grant, then chance through small fleets."""
    if (used := overtaken()) > WHOLE:
        return f"an overtaken grant: {used} of {WHOLE} in use"
    return next(
        (found for seed in range(walks) if (found := walk(4, steps, seed)[1])), None
    )


# --- One guard out at a time.


def _all_lent(self: Planner, pot: Any, share: Share, now: int, lent: int) -> int:
    """Promises that end before the grant are counted on."""
    return sum(each.lent(now) for each in pot.shares.values()) - (
        pot.held - share.out(now)
    )


def _none_out(self: Planner, pot: Any, share: Share, now: int, lent: int) -> int:
    """What others hold is forgotten."""
    return lent


def _newest_only(self: Share, now: int) -> int:
    """Only the newest grant is counted, though an older and larger one may be the one that arrived."""
    return self.grants[-1][0] if self.grants and now < self.grants[-1][1] else 0


def _from_receipt(self: Edge, grant: Grant, now: int) -> Any:
    """A grant lasts from when it arrives."""
    held = self.holdings[grant.thing]
    found = _take(self, grant, now)
    if found is Heard.TAKEN:
        held.granted_ends = now + grant.lasts
    return found


def _any_age(self: Edge, grant: Grant, now: int) -> Any:
    """A grant that comes after its end is taken, and lasts from then."""
    held = self.holdings[grant.thing]
    found = _take(self, grant, now)
    if found is Heard.TOO_LATE:
        held.granted, held.granted_ends = grant.granted, now + grant.lasts
    return found


def _counted_from_now(self: Planner, share: Share, ask: Ask, now: int) -> None:
    """A promise is counted from when the planner hears of it."""
    share.promises = [(part, now + self.span.longest) for part, _ in ask.lent]


def _taken_back(self: Holding, made: Lent, now: int) -> None:
    """A promise is made smaller when the planner asks for less."""
    self.promises = [made]


def _lent_twice(self: Edge, held: Holding, grant: Grant, now: int) -> None:
    """What one epoch has is promised to another."""
    held.lent_to = self.epoch
    held.promise(
        Lent(
            min(grant.lend, held.capital - held.floor),
            now + self.span.longest,
            grant.told,
        ),
        now,
    )


def _no_rest(self: Edge, thing: Any, now: int) -> int:
    """An edge that has started again takes its whole capital at once."""
    return self.holdings[thing].part(now)


_take = Edge.take
MUTANTS: dict[str, tuple[type, str, Any]] = {
    "promises that end too soon": (Planner, "room", _all_lent),
    "what others hold": (Planner, "room", _none_out),
    "older grants": (Share, "out", _newest_only),
    "grants from receipt": (Edge, "take", _from_receipt),
    "grants past their end": (Edge, "take", _any_age),
    "promises from hearing": (Planner, "count_on", _counted_from_now),
    "promises taken back": (Holding, "promise", _taken_back),
    "promises lent twice": (Edge, "promise", _lent_twice),
    "rest after a start": (Edge, "part", _no_rest),
}


@contextmanager
def without(guard: str) -> Iterator[None]:
    """The decisions with one guard out."""
    owner, name, made = MUTANTS[guard]
    with mock.patch.object(owner, name, made):
        yield


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--walks", type=int, default=20)
    parser.add_argument("--steps", type=int, default=5000)
    parser.add_argument("--edges", type=int, default=20)
    given = parser.parse_args()
    for edges, depth, first in ((2, 5, 6), (3, 4, 9)):
        count, found = explore(edges, depth, 200_000, first)
        print(
            f"{edges} edges, every order of {depth} events after {first} exchanges: {count} worlds, {found or 'kept'}"
        )
    for seed in range(given.walks):
        steps, found, best = walk(given.edges, given.steps, seed)
        print(
            f"seed {seed}: {steps} steps, most for one {best / WHOLE:.2f}, {found or 'kept'}"
        )
    for guard in MUTANTS:
        with without(guard):
            found = wrong(300)
        print(f"without {guard}: {found or 'NOT FOUND'}")


if __name__ == "__main__":
    main()
