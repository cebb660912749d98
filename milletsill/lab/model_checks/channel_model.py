"""A model of contracts: the very Keeper and Line under every order of events up to a depth, and under chance (sea.py).

    python -m milletsill.lab.model_checks.channel_model [--walks N --steps N --worlds N]

After each effect at a box it looks at the contract: the order, none twice, none left out that was never let go; at each word to a
client and each taking of the office whether what was told as settled is. `MUTANTS` take out one guard each; the tests demand that
each is found.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from unittest import mock

from milletsill.fleet.channels import ordering
from milletsill.fleet.channels.channel_owner import Keeper
from milletsill.fleet.channels.channel_sequencer import Line
from milletsill.fleet.channels.ordering import Input, Order, Phase, Unsure
from milletsill.fleet.channels.released_attempts import Gone
from milletsill.lab.model_checks.channel_simulation import Sea

# How often each kind of event is chosen, by a word of its name; the first that is in it counts.
WEIGHTS = {
    "say ": 0.2,
    " opens": 0.2,
    "claim before": 0.1,
    " to ": 1.5,
    "done": 14.0,
    "lost": 0.15,
    "unheard": 0.15,
    "dispatches": 8.0,
    "rings": 5.0,
    "killed": 0.12,
    "box runs": 4.0,
    "answer": 7.0,
    "time-out": 3.0,
    "another": 1.0,
    "time 24": 0.8,
    "time 120": 0.5,
    "time 500": 0.15,
    "time 1060": 0.25,
}


def weight(name: str) -> float:
    return next(each for part, each in WEIGHTS.items() if part in name)


# How a channel stands when an exploration begins. OUT: number 1 is at a box. OVER: its keeper is gone and the office is over.
OPENED = ["k0 opens", "k0 registers done", "k0 registers done"]
OUT = OPENED + ["1 to k0", "k0 registers done", "k0 dispatches"]
OVER = OUT + [
    "k0 killed",
    "time 500",
    "time 500",
    "time 24",
    "k1 opens",
    "k1 registers done",
    "k1 registers done",
]
STARTS = {"opened": OPENED, "out": OUT, "over": OVER}
BUDGET = {
    "say ": 1,
    "claim before": 0,
    "killed": 1,
    "lost": 1,
    "unheard": 1,
    " opens": 1,
    "time 24": 0,
    "time 500": 1,
    "time 1060": 1,
    "time 120": 1,
}


def played(
    order: Order, unsure: Unsure, start: list[str], path: list[str], numbers: int
) -> Sea:
    sea = Sea(order, unsure, 2, numbers)
    for name in start:
        sea.do(name)
    sea.budget = dict(BUDGET)
    for name in path:
        sea.do(name)
    return sea


def explore(
    order: Order, unsure: Unsure, start: str, depth: int, most: int, numbers: int = 2
) -> tuple[int, int, str | None]:
    """Every order of events up to a depth after a start, worlds that are alike looked at once, at most so many: worlds, the depth that
    is whole, and what went wrong.
    """
    first = STARTS[start]
    seen, layer, count = (
        {played(order, unsure, first, [], numbers).key()},
        [list[str]()],
        1,
    )
    for level in range(depth):
        following = []
        for path in layer:
            for name in played(order, unsure, first, path, numbers).bounded():
                sea = played(order, unsure, first, path + [name], numbers)
                if sea.wrong:
                    return count, level, f"{', '.join(path + [name])}: {sea.wrong}"
                key = sea.key()
                if key in seen:
                    continue
                seen.add(key)
                count += 1
                if count >= most:
                    return count, level, None
                following.append(path + [name])
        layer = following
    return count, depth, None


def walk(
    order: Order,
    unsure: Unsure,
    steps: int,
    seed: int,
    keepers: int = 3,
    numbers: int = 6,
) -> tuple[int, str | None, int]:
    """Chance through a larger world whose clocks drift: steps made, what went wrong, effects seen."""
    chance = Random(seed)
    sea = Sea(order, unsure, keepers, numbers, seed)
    sea.do("k0 opens")
    for step in range(steps):
        moves = sea.moves()
        names = list(moves)
        sea.events += 1
        moves[chance.choices(names, [weight(each) for each in names])[0]]()
        if sea.wrong:
            return step, f"seed {seed}, step {step}: {sea.wrong}", len(sea.effects)
        if len(sea.effects) >= numbers:
            break
    return steps, None, len(sea.effects)


CASES = [(order, unsure) for order in Order for unsure in Unsure]


# Cases that chance finds late, each for a guard; what cannot happen (the guard stands) is left out.
AGAIN_LATE = [
    "time 1060",
    "time 1060",
    "1 to k0",
    *3 * ["k0 registers done"],
    "k0 dispatches",
    "box runs 0",
    "box runs 1",
]
BEHIND = ["2 to k1", "k1 registers done", "k1 dispatches", "box runs 1", "box runs 0"]
SCRIPTS: dict[str, list[str]] = {
    "a late run behind a new keeper": OVER
    + BEHIND[:1]
    + ["time 24", "k1 rings"]
    + BEHIND[1:],
    "a long patience behind a new keeper": OVER
    + BEHIND[:1]
    + ["time 120", "k1 rings"]
    + BEHIND[1:],
    "a keeper that stood before the send": OUT[:-1]
    + OVER[len(OUT) + 1 :]
    + [
        "2 to k1",
        "time 120",
        "k1 rings",
        "k1 registers done",
        "k1 dispatches",
        "box runs 0",
        "k0 dispatches",
        "box runs 1",
    ],
    "a ticket that is forgotten": OUT
    + ["box runs 0", "time 500", "time 500", "time-out 0", "time 1060"]
    + AGAIN_LATE,
    "a decline that was none": OUT
    + ["time 500", "time 500", "time-out 0", "box runs 0", "time 1060"]
    + AGAIN_LATE,
    "a second try that never left": OUT
    + [
        "box runs 0",
        "time 500",
        "time 500",
        "time-out 0",
        "time 120",
        "1 to k0",
        "k0 registers done",
        "k0 registers done",
        "time 1060",
        "k0 dispatches",
        "k0 registers done",
    ]
    + AGAIN_LATE,
    "a keeper that comes back": OUT
    + [
        "box runs 0",
        "answer 0",
        "k0 registers done",
        "time 1060",
        "k1 opens",
        "k1 registers done",
        "k1 registers done",
        "2 to k1",
        "k1 registers done",
        "k1 dispatches",
        "box runs 0",
        "box runs 1",
        "answer 0",
        "answer 1",
        "k1 registers done",
        "time 1060",
        "k0 opens",
        "k0 registers done",
        "k0 registers done",
        "time 1060",
        "k1 opens",
        "k1 registers done",
    ],
}


# Number 3 stands behind 1 on one extent, 4 goes past it on the other; 3 is declined, and comes back on the extent of 4.
OVERTAKEN = OUT + [
    "2 to k0",
    "k0 registers done",
    "k0 dispatches",
    "box runs 1",
    "answer 1",
    "k0 registers done",
    "3 to k0",
    "4 to k0",
    "k0 registers done",
    "k0 dispatches",
    "box runs 2",
    "answer 2",
    "k0 registers done",
    "time 1060",
    "time 1060",
    "time-out 0",
    "3 becomes another",
    "time 120",
    "3 to k0",
    "k0 registers done",
    "k0 registers done",
    "k0 registers done",
    "k0 dispatches",
    "box runs 0",
    "box runs 1",
]


# An office is lost by a write that came to nothing and taken again at once: what was let go under it may still run.
SCRIPTS["an office lost and taken again"] = OUT + [
    "k0 opens",
    "k0 registers lost",
    "k0 opens",
    "k0 registers done",
    "k0 registers done",
    "2 to k0",
    "time 120",
    "k0 rings",
    "k0 registers done",
    "k0 dispatches",
    "box runs 1",
    "box runs 0",
]


def scripted() -> str | None:
    """What goes wrong in the scripts, if anything."""
    for name, script in [*SCRIPTS.items(), ("one that was overtaken", OVERTAKEN)]:
        sea = Sea(
            Order.BY_EXTENT if script is OVERTAKEN else Order.EACH_IN_ORDER,
            Unsure.REST,
            2,
            4 if script is OVERTAKEN else 2,
        )
        for each in script:
            sea.do(each)
        if sea.wrong:
            return f"{name}: {sea.wrong}"
    return None


def wrong(walks: int, steps: int = 220, cases: Any = CASES) -> str | None:
    """What goes wrong first, if anything: in the scripts, then by chance."""
    if found := scripted():
        return found
    for seed in range(walks):
        for order, unsure in cases:
            found = walk(order, unsure, steps, seed)[1]
            if found:
                return f"{order.name} {unsure.name} {found}"
    return None


# --- One guard out at a time.


def _never(self: Any, *values: Any) -> None:
    return None


def _zero(self: Any, *values: Any) -> int:
    return 0


def _yes(self: Any, *values: Any) -> bool:
    return True


def _no(self: Any, *values: Any) -> bool:
    return False


def _nothing(self: Any, *values: Any) -> str:
    return ""


def _none_before(line: Line, number: int) -> None:
    return None


def _known_only(line: Line, number: int) -> int | None:
    """A number that is not here is taken to be of another extent."""
    reaches = line.entries[number].reaches
    return next(
        (
            each
            for each, entry in sorted(line.entries.items())
            if each < number and ordering.meet(entry.reaches, reaches)
        ),
        None,
    )


def _go_first(self: Keeper, held: Any) -> None:
    """What is let go leaves before the record is written."""
    line = held.line
    if line.dirty and not held.writing and not held.lost:
        after, line.after = line.after, []
        self.do(held, after)
    _pump(self, held)


def _no_rest(self: Line, now: int, rest: int) -> int:
    return now


def _for_ever(self: Line, entry: Any, coming: Any) -> int:
    return 1 << 60


def _own_end(self: Keeper, gone: Any, term: Any) -> int:
    return int(gone.ends)


def _harmless(self: Gone) -> Input:
    return Input.NEVER_RAN


_pump = Keeper.pump
FREE_AGAIN = {
    **ordering.PHASE_TABLE,
    (Phase.OUT, Input.LOST): (Phase.AWAITED, "decline"),
}


def without_order(order: Order, made: Callable[..., Any] = _none_before) -> Any:
    return lambda: mock.patch.dict(ordering.ORDER_TABLE, {order: made})


def without_method(owner: Any, name: str, made: Any) -> Any:
    return lambda: mock.patch.object(owner, name, made)


MUTANTS: dict[str, Callable[[], Any]] = {
    "each in order": without_order(Order.EACH_IN_ORDER),
    "the newest first": without_order(Order.NEWEST),
    "order on one extent": without_order(Order.BY_EXTENT),
    "a number not here may be of any extent": without_order(
        Order.BY_EXTENT, _known_only
    ),
    "one that was overtaken is pinned": without_method(Line, "pin", _never),
    "a batch after the one before": without_order(Order.BATCHES),
    "the record before the send": without_method(Keeper, "pump", _go_first),
    "the rest after an unsure end": without_method(Line, "rested", _no_rest),
    "a ticket's window": without_method(Line, "window_end", _for_ever),
    "the office at the last place": without_method(Gone, "leaves", _yes),
    "nothing outlives its office": without_method(Keeper, "ends_of", _own_end),
    "an office that was lost runs on": without_method(Keeper, "over", _zero),
    "what another kept meanwhile": without_method(Keeper, "same", _yes),
    "a decline only of what cannot have run": without_method(Gone, "input", _harmless),
    "nor of what was tried before": without_method(Line, "tried_before", _no),
    "an unsure number is not free": lambda: mock.patch.dict(
        ordering.PHASE_TABLE, FREE_AGAIN
    ),
    "one holds the claim": without_method(Line, "holds", _yes),
}


@contextmanager
def without(guard: str) -> Iterator[None]:
    """The decisions with one guard out."""
    with MUTANTS[guard]():
        yield


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--walks", type=int, default=400)
    parser.add_argument("--steps", type=int, default=300)
    parser.add_argument("--worlds", type=int, default=20_000)
    given = parser.parse_args()
    print(f"scripts: {scripted() or 'kept'}")
    for order, unsure in CASES:
        for start in STARTS:
            began = time.perf_counter()
            count, depth, found = explore(order, unsure, start, 12, given.worlds)
            print(
                f"{order.name} {unsure.name} from {start}: every order of {depth} events, {count} worlds, "
                f"{time.perf_counter() - began:.1f} s, {found or 'kept'}"
            )
    for order, unsure in CASES:
        began, effects, broken = time.perf_counter(), 0, ""
        for seed in range(given.walks):
            _, found, seen = walk(order, unsure, given.steps, seed)
            effects, broken = effects + seen, broken or found or ""
        print(
            f"{order.name} {unsure.name}: {given.walks} walks of {given.steps}, {effects} effects, "
            f"{time.perf_counter() - began:.1f} s, {broken or 'kept'}"
        )
    for guard in MUTANTS:
        began = time.perf_counter()
        with without(guard):
            found = wrong(200)
        print(
            f"without {guard}: {found or 'NOT FOUND'} ({time.perf_counter() - began:.1f} s)"
        )


if __name__ == "__main__":
    main()
