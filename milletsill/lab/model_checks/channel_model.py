"""A model check of ordered channels, which runs the real owner and sequencer.

    python -m milletsill.lab.model_checks.channel_model
        [--walks N --steps N --worlds N]

It runs every order of events up to a depth, scripts, and random walks in a
`SimulatedCluster`. After each effect at a node it checks the contract: effects are in
order, no number takes effect twice, and no number that was never released is skipped.
At each answer to a client and each new lease, it checks that the numbers reported as
settled are settled. `channel_mutation_checks` disables one guard at a time; the tests
require that the model detects each.
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
    "previous claim": 0.1,
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
    "changes content": 1.0,
    "time 24": 0.8,
    "time 120": 0.5,
    "time 500": 0.15,
    "time 1060": 0.25,
}
"""Relative frequency of events, by the first of these parts that is in their name."""

EVENT_BUDGET = {
    "resolve ": 1,
    "previous claim": 0,
    "killed": 1,
    "lost": 1,
    "unheard": 1,
    " opens": 1,
    "time 24": 0,
    "time 500": 1,
    "time 1060": 1,
    "time 120": 1,
}
"""Largest number of events per exploration, by a part of their name."""

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
    """The result of an exploration.

    Attributes:
        states: Number of distinct states reached.
        depth: Depth to which every order of events was run.
        violation: The first violation, if any.
    """

    states: int
    depth: int
    violation: str | None = None


@dataclass(frozen=True, slots=True)
class Walk:
    """The result of a random walk.

    Attributes:
        violation: The first violation, if any.
        effects: Number of effects at nodes.
    """

    violation: str | None
    effects: int


def weight_of(event: str) -> float:
    """Return the relative frequency of an event."""
    return next(weight for part, weight in EVENT_WEIGHTS.items() if part in event)


def play(case: Case, start: Sequence[str], events: Sequence[str]) -> EventPlayer:
    """Run start events, then events that count against the budget, in a new cluster."""
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
    """Run every order of events after a start; visit equal states once.

    Args:
        case: The contract's order and policy.
        start: Name of one of `STARTS`.
        max_depth: Largest number of events.
        max_states: Number of states at which the exploration stops.
    """
    first = STARTS[start]
    seen = {play(case, first, []).fingerprint()}
    layer: list[list[str]] = [[]]
    for depth in range(max_depth):
        next_layer = []
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
                next_layer.append(longer)
        layer = next_layer
    return ChannelExploration(len(seen), max_depth)


def walk(case: Case, steps: int, seed: int) -> Walk:
    """Make a random walk in a larger cluster whose clocks drift."""
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
    """Run the scripts and return the first violation, if any."""
    for name, script in SCRIPTS.items():
        cluster = SimulatedCluster(ChannelOrder.EACH_IN_ORDER, gateways=2, numbers=2)
        if found := _play_script(cluster, name, script):
            return found
    cluster = SimulatedCluster(ChannelOrder.BY_EXTENT, gateways=2, numbers=4)
    return _play_script(cluster, "an overtaken number", OVERTAKEN)


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
    """Return the first violation in the scripts and then in random walks, if any."""
    if found := play_scripts():
        return found
    for seed in range(walks):
        for case in cases:
            violation = walk(case, steps, seed).violation
            if violation:
                return f"{_case_name(case)} {violation}"
    return None


def _case_name(case: Case) -> str:
    order, policy = case
    return f"{order.name} {policy.name}"


def _report_explorations(max_states: int) -> None:
    for case in CASES:
        for start in STARTS:
            began = time.perf_counter()
            result = explore(case, start, EXPLORED_DEPTH, max_states)
            print(
                f"{_case_name(case)} from {start}: every order of {result.depth} "
                f"events, {result.states} states, {time.perf_counter() - began:.1f} s, "
                f"{result.violation or 'kept'}"
            )


def _report_walks(walks: int, steps: int) -> None:
    for case in CASES:
        began = time.perf_counter()
        results = [walk(case, steps, seed) for seed in range(walks)]
        effects = sum(each.effects for each in results)
        violation = next((each.violation for each in results if each.violation), None)
        print(
            f"{_case_name(case)}: {walks} walks of {steps}, {effects} effects, "
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
    """Run all checks and print their results."""
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
