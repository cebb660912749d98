"""A model of keepers, registers and a network that misbehaves, run on the very functions of registers/decide.py and standing.py.

    python -m milletsill.lab.model_checks.lease_model [--walks N --steps N --registers N --keepers N]

`explore` goes through every order of events up to a depth for three registers, two keepers and one channel; `walk` goes by seeded
chance through larger ones. After each event they look whether two gateways hold the office at one true moment, and at each seat
and each write that counts whether all that counted before is in it, and whether no value passes for younger than it is. With any one
guard out (mutants.py) it must go wrong.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable
from random import Random
from typing import Any

from milletsill.fleet.leases import acceptor, acceptor_recovery
from milletsill.fleet.leases.acceptor_recovery import SnapshotPage
from milletsill.fleet.leases.lease_proposer import Seated
from milletsill.lab.model_checks.lease_cluster import SPAN, Heard, Hello, Tell, World
from milletsill.lab.model_checks.lease_mutation_checks import MUTANTS, without

# --- Every order of events.


def spend(world: World, what: str) -> None:
    world.budget[what] -= 1


def events(world: World) -> dict[str, Callable[[World], None]]:
    """What may happen next, message by message."""
    found: dict[str, Callable[[World], None]] = {}
    for name, each in world.keepers.items():
        if each.seat.state in (Seated.OUT, Seated.SEATED):
            found[f"{name} takes"] = lambda w, n=name: w.take(n)
        if each.seat.state is Seated.SEATED:
            found[f"{name} writes"] = lambda w, n=name: w.write(n)
            found[f"{name} gives up"] = lambda w, n=name: w.give_up(n)
        if world.budget["keeper"]:
            found[f"{name} starts anew"] = lambda w, n=name: (
                spend(w, "keeper"),
                w.start_keeper(n),
            )
    for place, message in enumerate(world.flying):
        found[f"{message.sender}>{message.to} {place}"] = lambda w, p=place: w.arrive(
            p, False
        )
        if world.budget["double"]:
            found[f"{message.sender}>{message.to} {place} twice"] = lambda w, p=place: (
                spend(w, "double"),
                w.arrive(p, True),
            )
    for name in world.registers:
        for how in ("restart", "older", "lost"):
            if world.budget[how]:
                found[f"{name} {how}"] = lambda w, n=name, h=how: (
                    spend(w, h),
                    w.start_register(n, h),
                )
    found["time"] = lambda w: w.pass_time(w.span.office // 2)
    return found


def rounds(world: World) -> dict[str, Callable[[World], None]]:
    """What may happen next, a whole exchange with some registers at a time and the rest lost: deeper, but less fine."""
    found: dict[str, Callable[[World], None]] = {}
    names = tuple(world.registers)
    for name, each in world.keepers.items():
        for reach in (
            (names[0], names[1]),
            (names[1], names[2]),
            (names[2],),
            (names[0],),
        ):
            where = "+".join(reach)
            found[f"{name} takes at {where}"] = lambda w, n=name, r=reach: (
                w.take(n),
                alone(w, n, r),
            )
            if each.seat.state is Seated.SEATED:
                found[f"{name} writes at {where}"] = lambda w, n=name, r=reach: (
                    w.write(n),
                    alone(w, n, r),
                )
                found[f"{name} gives up at {where}"] = lambda w, n=name, r=reach: (
                    w.give_up(n),
                    alone(w, n, r),
                )
    for name in names:
        if world.budget["restart"]:
            found[f"{name} restart"] = lambda w, n=name: (
                spend(w, "restart"),
                w.start_register(n, "restart"),
                settle(w),
            )
    found["call over"] = lambda w: w.pass_time(w.span.call * 51 // 50)
    found["time"] = lambda w: w.pass_time(w.span.office * 99 // 100)
    return found


def alone(world: World, name: str, reach: tuple[str, ...]) -> None:
    """One exchange, and nothing of it later."""
    world.exchange(name, reach)
    world.flying = []


def settle(world: World) -> None:
    """All that registers say among themselves arrives."""
    for _ in range(40):
        place = next(
            (
                at
                for at, each in enumerate(world.flying)
                if isinstance(each.body, (Hello, Heard, Tell, SnapshotPage))
            ),
            None,
        )
        if place is None:
            return
        world.arrive(place, False)


def opened(how: str) -> World:
    """Where an exploration begins: nothing; one keeper that wrote at two of three registers; one whose write reached one."""
    world = World(3, 2)
    if how != "nothing":
        world.take("k0")
        world.exchange("k0", ("r0", "r1"))
        world.write("k0")
        world.exchange("k0", ("r0", "r1") if how == "written" else ("r0",))
        for name in world.registers:
            world.beat(name)
        settle(world)
        world.flying = []
    if how == "unsure":
        world.pass_time(world.span.call * 51 // 50)
        world.flying = []
    return world


def explore(
    how: str, depth: int, most: int, moves: Callable[[World], dict[str, Any]] = events
) -> tuple[int, int, str | None]:
    """Every order of events up to a depth, worlds that are alike looked at once, at most so many: worlds looked at, the depth that
    is whole, and the events that led to what is wrong.
    """
    first = opened(how)
    seen, layer, count = {first.key()}, [(first, ())], 1
    for level in range(depth):
        following: list[tuple[World, tuple[str, ...]]] = []
        for world, path in layer:
            for name, event in moves(world).items():
                made = world.copy()
                event(made)
                if made.wrong:
                    return count, level, f"{', '.join((*path, name))}: {made.wrong}"
                key = made.key()
                if key in seen:
                    continue
                seen.add(key)
                count += 1
                if count >= most:
                    return count, level, None
                following.append((made, (*path, name)))
        layer = following
    return count, depth, None


# --- Chance.


def near(world: World, chance: Random, name: str) -> None:
    """What one keeper has under way reaches some registers at once, and most of what they say comes back."""
    reach = tuple(each for each in world.registers if chance.random() < 0.75)
    world.exchange(name, reach, chance.random() < 0.85)


def catch_up(world: World, name: str) -> None:
    """A register asks on, as the service does again and again."""
    joining = world.registers[name].joining
    if joining is None:
        return
    if joining.state is acceptor_recovery.Standing.GATHERING:
        for other in joining.others:
            world.fly(other, name, Tell())
    else:
        world.hello(name)
    settle(world)


def lose(world: World, chance: Random, name: str) -> None:
    """A register loses something, and with chance is back at once. One at a time: that is what is promised of three."""
    if not all(each.whole() for each in world.registers.values()):
        return
    world.start_register(name, chance.choice(("older", "lost", "lost")))
    if chance.random() < 0.7:
        catch_up(world, name)
        world.pass_time(world.span.rest() * 1000 // (1000 + world.rates[name]) + 1)
        catch_up(world, name)


def lapse(world: World, chance: Random, keeper: str, register: str) -> None:
    """To the very moment at which a register lets others in, and somebody is there."""
    world.pass_time(world.office_over(register) + chance.choice((0, 1)))
    world.take(keeper)
    near(world, chance, keeper)


def silence(world: World, chance: Random) -> None:
    """Nothing for so long that registers forget; some do. No message is on its way for that long."""
    world.flying = []
    world.pass_time(world.silent * 1100 // 1000)
    for name in world.registers:
        if chance.random() < 0.8:
            world.forget(name)


def slow(world: World, chance: Random, keeper: str) -> None:
    """A keeper's call whose answers take nearly all of its span."""
    reach = tuple(each for each in world.registers if chance.random() < 0.75)
    world.take(keeper)
    world.exchange(keeper, reach, False)
    world.pass_time(SPAN.call * 9 // 10)
    world.exchange(keeper, reach)


def anew(world: World, chance: Random, keeper: str, other: str) -> None:
    """A register starts again right after it let a keeper in, with its state kept or older, and another keeper comes."""
    places = tuple(world.registers)
    [world.beat(each) for each in places]
    settle(world)
    reach = chance.sample(places, acceptor.majority(len(places)))
    for _ in range(2):
        world.take(keeper)
        world.exchange(keeper, tuple(reach))
    world.write(keeper)
    world.exchange(keeper, tuple(reach))
    if all(each.whole() for each in world.registers.values()):
        [world.beat(each) for each in places]
        settle(world)
        world.start_register(reach[0], chance.choice(("restart", "older")))
        settle(world)
    world.take(other)
    near(world, chance, other)


def usurp(world: World, chance: Random, old: str, new: str) -> None:
    """One keeper is followed by another that reaches two registers, some of whom lose it or forget; the old one writes on."""
    places = tuple(world.registers)
    for _ in range(2):
        world.take(old)
        world.exchange(old, places)
    world.write(old)
    world.exchange(old, places)
    world.pass_time(SPAN.office * 12 // 10)
    if chance.random() < 0.5:
        world.start_keeper(new)
    [world.beat(each) for each in places]
    settle(world)
    if world.silent and chance.random() < 0.4:
        silence(world, chance)
    reach = chance.sample(places, acceptor.majority(len(places)))
    world.take(new)
    world.exchange(new, tuple(reach), chance.random() < 0.5)
    if chance.random() < 0.4:
        world.write(old)
        world.exchange(old, tuple(each for each in places if each not in reach))
    if chance.random() < 0.6:
        [world.beat(each) for each in places]
        settle(world)
        lose(world, chance, reach[0])
    for each in (old, new) if chance.random() < 0.7 else (new, old):
        world.write(each)
        near(world, chance, each)


def walk(
    registers: int, keepers: int, steps: int, seed: int
) -> tuple[int, str | None, int]:
    """Chance through a world whose clocks drift: the steps made, what went wrong, and the writes that were begun."""
    chance = Random(seed)
    drift = SPAN.drift
    world = World(
        registers,
        keepers,
        SPAN,
        tuple(chance.choice((-drift, drift)) for _ in range(registers + keepers)),
    )
    world.silent = chance.choice((0, 6 * SPAN.office))
    names, places = tuple(world.keepers), tuple(world.registers)
    if chance.random() < 0.3:  # two gateways have one name
        world.keepers[names[1]].seat.name = world.keepers[names[0]].seat.name
    spans = (20, 200, 1_000, 1_000, 2_400, 2_600, 5_000, 9_500)
    for step in range(steps):
        keeper, register = chance.choice(names), chance.choice(places)
        turns: list[tuple[float, Callable[[], None]]] = [
            (0.08, lambda: world.take(keeper)),
            (0.08, lambda: (world.take(keeper), near(world, chance, keeper))),
            (
                0.06,
                lambda: (
                    world.write(keeper)
                    if world.keepers[keeper].seat.state is Seated.SEATED
                    else None
                ),
            ),
            (
                0.14,
                lambda: (
                    (world.write(keeper), near(world, chance, keeper))
                    if world.keepers[keeper].seat.state
                    in (Seated.SEATED, Seated.WRITING)
                    else None
                ),
            ),
            (
                0.30,
                lambda: (
                    world.arrive(
                        chance.randrange(len(world.flying)), chance.random() < 0.25
                    )
                    if world.flying
                    else None
                ),
            ),
            (0.03, lambda: world.again(keeper)),
            (0.03, lambda: (world.give_up(keeper), near(world, chance, keeper))),
            (0.12, lambda: world.pass_time(chance.choice(spans))),
            (0.04, lambda: lapse(world, chance, keeper, register)),
            (0.03, lambda: ([world.beat(each) for each in places], settle(world))),
            (0.02, lambda: world.start_keeper(keeper)),
            (0.02, lambda: world.let_go(keeper)),
            (0.02, lambda: (world.start_register(register, "restart"), settle(world))),
            (0.02, lambda: lose(world, chance, register)),
            (0.02, lambda: catch_up(world, register)),
            (0.02, lambda: slow(world, chance, keeper)),
            (0.015, lambda: anew(world, chance, *chance.sample(names, 2))),
            (0.015, lambda: usurp(world, chance, *chance.sample(names, 2))),
            (0.01, lambda: silence(world, chance) if world.silent else None),
        ]
        chance.choices([each for _, each in turns], [part for part, _ in turns])[0]()
        if world.wrong:
            return step, f"seed {seed}, step {step}: {world.wrong}", world.written
    return steps, None, world.written


# --- Cases that chance meets seldom.


def at(
    world: World, keeper: str, reach: tuple[str, ...], event: Callable[[str], None]
) -> None:
    """One thing that a keeper does, with some registers and no others."""
    event(keeper)
    for _ in range(3):
        world.exchange(keeper, reach)
    world.flying = []


def copied() -> str | None:
    """A write that only one register took is told to another that catches up, which had let a later ballot in: it looks as if two
    had taken it.
    """
    world = World(3, 3)
    at(world, "k0", ("r0", "r1", "r2"), world.take)
    at(world, "k0", ("r0", "r1", "r2"), world.write)
    world.pass_time(SPAN.office * 12 // 10)
    at(world, "k1", ("r1", "r2"), world.take)
    for each in world.registers:
        world.beat(each)
    settle(world)
    at(world, "k0", ("r0",), world.write)
    world.start_register("r1", "lost")
    catch_up(world, "r1")
    world.pass_time(SPAN.rest() * 12 // 10)
    catch_up(world, "r1")
    world.pass_time(SPAN.office * 12 // 10)
    at(world, "k2", ("r0", "r1"), world.take)
    at(world, "k1", ("r2",), world.write)
    world.pass_time(SPAN.office * 12 // 10)
    at(world, "k0", ("r0", "r2"), world.take)
    return world.wrong


def twice() -> str | None:
    """A gateway forgets a seat whose write one register took, and takes the office anew."""
    world = World(3, 2)
    at(world, "k0", ("r0", "r1", "r2"), world.take)
    at(world, "k0", ("r0",), world.write)
    world.pass_time(SPAN.office * 12 // 10)
    world.let_go("k0")
    at(world, "k0", ("r1", "r2"), world.take)
    at(world, "k0", ("r1", "r2"), world.write)
    world.pass_time(SPAN.office * 12 // 10)
    at(world, "k1", ("r0", "r1"), world.take)
    return world.wrong


def fenced() -> str | None:
    """One register forgets a silent channel; another that knew what it knew is lost, and is told by a third that lags."""
    world = World(3, 2)
    world.silent = 6 * SPAN.office
    at(world, "k0", ("r0", "r1", "r2"), world.take)
    at(world, "k0", ("r0", "r1", "r2"), world.write)
    world.pass_time(SPAN.office * 12 // 10)
    at(world, "k1", ("r1", "r2"), world.take)
    at(world, "k1", ("r1", "r2"), world.write)
    for each in world.registers:
        world.beat(each)
    settle(world)
    world.pass_time(world.silent * 12 // 10)
    world.forget("r2")
    world.start_register("r1", "lost")
    catch_up(world, "r1")
    world.pass_time(SPAN.rest() * 12 // 10)
    catch_up(world, "r1")
    at(world, "k0", ("r0", "r1"), world.write)
    return world.wrong


def wrong(walks: int, steps: int = 600, first: int = 0) -> str | None:
    """What goes wrong first, if anything: the cases, then chance through small worlds from a seed on."""
    for case in (copied, twice, fenced):
        if found := case():
            return f"case {case.__name__}: {found}"
    return next(
        (
            found
            for seed in range(first, first + walks)
            if (found := walk(3, 3, steps, seed)[1])
        ),
        None,
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, default in (
        ("walks", 20),
        ("steps", 5000),
        ("registers", 5),
        ("keepers", 7),
        ("worlds", 100_000),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    given = parser.parse_args()
    for moves in (events, rounds):
        for how in ("nothing", "written", "unsure"):
            began = time.perf_counter()
            count, depth, found = explore(how, 12, given.worlds, moves)
            print(
                f"{moves.__name__} from {how}: every order of {depth}, {count} worlds, {time.perf_counter() - began:.1f} s, "
                f"{found or 'kept'}"
            )
    for seed in range(given.walks):
        steps, found, written = walk(given.registers, given.keepers, given.steps, seed)
        print(f"seed {seed}: {steps} steps, {written} writes, {found or 'kept'}")
    print(f"cases: {copied() or twice() or fenced() or 'kept'}")
    for guard in MUTANTS:
        with without(guard):
            print(f"without {guard}: {wrong(400) or 'NOT FOUND'}")


if __name__ == "__main__":
    main()
