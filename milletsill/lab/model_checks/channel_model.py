"""A model check of ordered channels, over the program's own owner and sequencer.

    python -m milletsill.lab.model_checks.channel_model
        [--walks N --steps N --worlds N]

It plays every order of events up to a depth, scripts, and random walks through
`SimulatedCluster`. After each effect at a node it checks the contract: the order, none
twice, none left out that was never released; at each answer to a client and each lease
whether what was reported as settled is. `channel_mutation_checks` takes out one guard
at a time; the tests demand that each is found.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from milletsill.fleet.channels.contracts import ChannelOrder, IndeterminatePolicy
from milletsill.lab.model_checks.channel_moves import EventPlayer, moves_of
from milletsill.lab.model_checks.channel_mutation_checks import MUTATIONS, without
from milletsill.lab.model_checks.channel_scripts import OVERTAKEN, SCRIPTS, STARTS
from milletsill.lab.model_checks.channel_simulation import SimulatedCluster

EVENT_WEIGHTS = {
    "resolve ": 0.2,
    " opens": 0.2,
    "claim before": 0.1,
    " to ": 1.5,
    "done": 14.0,
    "lost": 0.15,
    "unheard": 0.15,
    "dispatches": 8.0,
    "timers fire": 5.0,
    "killed": 0.12,
    "node runs": 4.0,
    "answer": 7.0,
    "time-out": 3.0,
    "another": 1.0,
    "time 24": 0.8,
    "time 120": 0.5,
    "time 500": 0.15,
    "time 1060": 0.25,
}
"""How often an event is chosen, by the first of these parts in its name."""

EVENT_BUDGET = {
    "resolve ": 1,
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
"""How often an event may happen in an exploration, by a part of its name."""

EXPLORED_GATEWAYS = 2
EXPLORED_NUMBERS = 2
EXPLORED_DEPTH = 12
WALK_GATEWAYS = 3
WALK_NUMBERS = 6
MUTATION_WALKS = 200

Case = tuple[ChannelOrder, IndeterminatePolicy]

CASES: list[Case] = [
    (order, policy) for order in ChannelOrder for policy in IndeterminatePolicy
]


@dataclass(frozen=True, slots=True)
class ChannelExploration:
    """What an exploration came to.

    Attributes:
        states: Different states that were reached.
        depth: The depth to which all orders of events were played.
        violation: What went wrong, if anything.
    """

    states: int
    depth: int
    violation: str | None = None


@dataclass(frozen=True, slots=True)
class Walk:
    """What a random walk came to.

    Attributes:
        violation: What went wrong, if anything.
        effects: Effects at nodes.
    """

    violation: str | None
    effects: int


def weight_of(event: str) -> float:
    """How often an event is chosen."""
    return next(weight for part, weight in EVENT_WEIGHTS.items() if part in event)


def play(case: Case, start: Sequence[str], events: Sequence[str]) -> EventPlayer:
    """A cluster after a start, and then events that count for the budget."""
    order, policy = case
    cluster = SimulatedCluster(order, policy, EXPLORED_GATEWAYS, EXPLORED_NUMBERS)
    player = EventPlayer(cluster)
    for event in start:
        player.do(event)
    player.budget = dict(EVENT_BUDGET)
    for event in events:
        player.do(event)
    return player


def explore(
    case: Case, start: str, max_depth: int, max_states: int
) -> ChannelExploration:
    """Play every order of events after a start; states that are alike once.

    Args:
        case: The contract's order and policy.
        start: Name of one of `STARTS`.
        max_depth: How many events are played at most.
        max_states: How many states are reached at most.
    """
    first = STARTS[start]
    seen = {play(case, first, []).fingerprint()}
    layer: list[list[str]] = [[]]
    for depth in range(max_depth):
        following = []
        for path in layer:
            for event in play(case, first, path).moves_within_budget():
                longer = [*path, event]
                player = play(case, first, longer)
                violation = player.cluster.violation
                if violation:
                    found = f"{', '.join(longer)}: {violation}"
                    return ChannelExploration(len(seen), depth, found)
                fingerprint = player.fingerprint()
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                if len(seen) >= max_states:
                    return ChannelExploration(len(seen), depth)
                following.append(longer)
        layer = following
    return ChannelExploration(len(seen), max_depth)


def walk(case: Case, steps: int, seed: int) -> Walk:
    """A random walk through a larger cluster whose clocks drift."""
    random = Random(seed)
    order, policy = case
    cluster = SimulatedCluster(order, policy, WALK_GATEWAYS, WALK_NUMBERS, seed)
    EventPlayer(cluster).do("g0 opens")
    for step in range(steps):
        moves = moves_of(cluster)
        names = list(moves)
        cluster.events += 1
        moves[random.choices(names, [weight_of(each) for each in names])[0]]()
        effects = len(cluster.checker.effects)
        if cluster.violation:
            return Walk(f"seed {seed}, step {step}: {cluster.violation}", effects)
        if effects >= WALK_NUMBERS:
            break
    return Walk(None, len(cluster.checker.effects))


def play_scripts() -> str | None:
    """What goes wrong in the scripts, if anything."""
    for name, script in SCRIPTS.items():
        cluster = SimulatedCluster(ChannelOrder.EACH_IN_ORDER, gateways=2, numbers=2)
        if found := _play_script(cluster, name, script):
            return found
    cluster = SimulatedCluster(ChannelOrder.BY_EXTENT, gateways=2, numbers=4)
    return _play_script(cluster, "one that was overtaken", OVERTAKEN)


def _play_script(
    cluster: SimulatedCluster, name: str, script: Sequence[str]
) -> str | None:
    player = EventPlayer(cluster)
    for event in script:
        player.do(event)
    return f"{name}: {cluster.violation}" if cluster.violation else None


def find_violation(
    walks: int, steps: int = 220, cases: Sequence[Case] = tuple(CASES)
) -> str | None:
    """What goes wrong first, if anything: in the scripts, then in random walks."""
    if found := play_scripts():
        return found
    for seed in range(walks):
        for case in cases:
            violation = walk(case, steps, seed).violation
            if violation:
                return f"{_named(case)} {violation}"
    return None


def _named(case: Case) -> str:
    order, policy = case
    return f"{order.name} {policy.name}"


def _report_explorations(max_states: int) -> None:
    for case in CASES:
        for start in STARTS:
            began = time.perf_counter()
            result = explore(case, start, EXPLORED_DEPTH, max_states)
            print(
                f"{_named(case)} from {start}: every order of {result.depth} events, "
                f"{result.states} states, {time.perf_counter() - began:.1f} s, "
                f"{result.violation or 'kept'}"
            )


def _report_walks(walks: int, steps: int) -> None:
    for case in CASES:
        began = time.perf_counter()
        results = [walk(case, steps, seed) for seed in range(walks)]
        effects = sum(each.effects for each in results)
        violation = next((each.violation for each in results if each.violation), None)
        print(
            f"{_named(case)}: {walks} walks of {steps}, {effects} effects, "
            f"{time.perf_counter() - began:.1f} s, {violation or 'kept'}"
        )


def _report_mutations() -> None:
    for guard in MUTATIONS:
        began = time.perf_counter()
        with without(guard):
            found = find_violation(MUTATION_WALKS)
        print(
            f"without {guard}: {found or 'NOT FOUND'} "
            f"({time.perf_counter() - began:.1f} s)"
        )


def main() -> None:
    """Run all checks and print what they come to."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--walks", type=int, default=400)
    parser.add_argument("--steps", type=int, default=300)
    parser.add_argument("--worlds", type=int, default=20_000)
    options = parser.parse_args()
    print(f"scripts: {play_scripts() or 'kept'}")
    _report_explorations(options.worlds)
    _report_walks(options.walks, options.steps)
    _report_mutations()


if __name__ == "__main__":
    main()
