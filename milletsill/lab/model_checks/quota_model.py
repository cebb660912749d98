"""A model check of shared quotas, which runs the real planner and ledgers.

    python -m milletsill.lab.model_checks.quota_model [--walks N --steps N --gateways N]

The network loses, duplicates, delays and reorders messages. `explore` runs every order
of events up to a depth in a small fleet; `random_walk` makes seeded random walks in a
large fleet. Both check after each event that the shares in use do not add up to more
than the whole quota. `quota_mutation_checks` disables one guard at a time; the tests
require that the model detects each.
"""

from __future__ import annotations

import argparse
import copy
from dataclasses import dataclass
from random import Random

from milletsill.lab.model_checks.quota_cluster import SimulatedQuotaFleet
from milletsill.lab.model_checks.quota_mutation_checks import MUTATIONS, without
from milletsill.planner.quota_terms import SECOND, WHOLE, QuotaTimings


@dataclass(frozen=True, slots=True)
class QuotaExploration:
    """Number of states checked, and the events that led to a violation, if any."""

    states: int
    violation: list[str] | None = None


def explore(
    gateways: int, depth: int, max_states: int, first_exchanges: int = 0
) -> QuotaExploration:
    """Check every order of events up to a depth; visit equal states once.

    Args:
        gateways: Size of the fleet.
        depth: Number of events.
        max_states: Number of states at which the exploration stops.
        first_exchanges: Number of exchanges without loss before the exploration, so
            that grants and loans exist.
    """
    first = SimulatedQuotaFleet(gateways)
    for step in range(first_exchanges):
        first.exchange(step % gateways)
        first.pass_time(SECOND // 10)
    seen = {first.key()}
    layer: list[tuple[SimulatedQuotaFleet, list[str]]] = [(first, [])]
    states = 1
    for _ in range(depth):
        next_layer = []
        for fleet, path in layer:
            for name, _ in fleet.events():
                successor = copy.deepcopy(fleet)
                dict(successor.events())[name]()
                key = successor.key()
                if key in seen:
                    continue
                seen.add(key)
                states += 1
                if successor.total_share() > WHOLE:
                    return QuotaExploration(states, [*path, name])
                if states >= max_states:
                    return QuotaExploration(states)
                next_layer.append((successor, [*path, name]))
        layer = next_layer
    return QuotaExploration(states)


@dataclass(frozen=True, slots=True)
class RandomWalk:
    """Number of steps, the first violation, and the largest share of one gateway."""

    steps: int
    violation: str | None
    largest_share: int


PAUSES = (50, SECOND // 10, SECOND // 2, SECOND // 2, SECOND, 2 * SECOND)


def random_walk(
    gateways: int, steps: int, seed: int, drift_permille: int = 5
) -> RandomWalk:
    """Make a random walk in a large fleet whose clocks drift."""
    random = Random(seed)
    fleet = SimulatedQuotaFleet(gateways, QuotaTimings(4 * SECOND, drift_permille, 0.2))
    slowest, fastest = -drift_permille // 2, drift_permille // 2
    fleet.clock_rates = [random.randint(slowest, fastest) for _ in range(gateways)]
    largest = 0
    for step in range(steps):
        _random_event(fleet, random)
        total = fleet.total_share()
        largest = max(largest, *(fleet.share(each) for each in range(gateways)))
        if total > WHOLE:
            violation = f"seed {seed}, step {step}: {total} of {WHOLE} in use"
            return RandomWalk(step, violation, largest)
    return RandomWalk(steps, None, largest)


def _random_event(fleet: SimulatedQuotaFleet, random: Random) -> None:
    gateway = random.randrange(len(fleet.ledgers))
    chance = random.random()
    if chance < 0.42:
        fleet.exchange(gateway)
    elif chance < 0.52:
        fleet.send_request(gateway)
    elif chance < 0.74 and fleet.in_flight:
        index = random.randrange(len(fleet.in_flight))
        fleet.deliver(index, random.random() < 0.2)
    elif chance < 0.94:
        fleet.pass_time(random.choice(PAUSES))
    elif chance < 0.955:
        fleet.restart_gateway(gateway)
    elif chance < 0.975:
        fleet.restart_planner()
    else:
        fleet.change_demand(gateway)


def overtaken_grant() -> int:
    """Return the largest sum in use after the arrival of a delayed large grant.

    Newer and smaller grants to the gateway are lost while it is in flight, and another
    gateway is granted the rest.
    """
    fleet = SimulatedQuotaFleet(3)
    for step in range(90):
        fleet.exchange(step % 3)
        fleet.pass_time(SECOND // 8)
    large = fleet.planner.on_request(fleet.make_request(0, WHOLE), fleet.now)
    fleet.change_demand(1)
    worst = 0
    for _ in range(32):
        fleet.planner.on_request(fleet.make_request(0, 0), fleet.now)
        fleet.exchange(1)
        fleet.exchange(2)
        fleet.pass_time(SECOND // 8)
        arrived = copy.deepcopy(fleet)
        if large is not None:
            arrived.ledgers[0].on_grant(large, arrived.clock(0))
        worst = max(worst, arrived.total_share())
    return worst


def find_violation(walks: int, steps: int = 1500) -> str | None:
    """Return the first violation by an overtaken grant or in random walks, if any."""
    total = overtaken_grant()
    if total > WHOLE:
        return f"an overtaken grant: {total} of {WHOLE} in use"
    for seed in range(walks):
        violation = random_walk(4, steps, seed).violation
        if violation is not None:
            return violation
    return None


def main() -> None:
    """Run the model with the command-line options, and print the results."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--walks", type=int, default=20)
    parser.add_argument("--steps", type=int, default=5000)
    parser.add_argument("--gateways", "--edges", type=int, default=20)
    options = parser.parse_args()
    for gateways, depth, first in ((2, 5, 6), (3, 4, 9)):
        found = explore(gateways, depth, 200_000, first)
        print(
            f"{gateways} gateways, every order of {depth} events after {first} "
            f"exchanges: {found.states} states, {found.violation or 'kept'}"
        )
    for seed in range(options.walks):
        walk = random_walk(options.gateways, options.steps, seed)
        largest = walk.largest_share / WHOLE
        print(
            f"seed {seed}: {walk.steps} steps, largest share {largest:.2f}, "
            f"{walk.violation or 'kept'}"
        )
    for guard in MUTATIONS:
        with without(guard):
            violation = find_violation(300)
        print(f"without {guard}: {violation or 'NOT FOUND'}")


if __name__ == "__main__":
    main()
