"""A model of planner, gateways and network, run on the very code that decides.

    python -m milletsill.lab.model_checks.quota_model [--walks N --steps N --gateways N]

The network loses, doubles, delays and reorders. `explore` goes through every order of
events up to a depth for a small fleet; `random_walk` goes by seeded chance through a
large one. Both check after each event whether the shares in use add up to more than the
whole. `quota_mutation_checks` takes out one guard at a time; the tests demand that
each is found missing.
"""

from __future__ import annotations

import argparse
import copy
from dataclasses import dataclass
from random import Random

from milletsill.lab.model_checks.quota_cluster import SimulatedQuotaFleet
from milletsill.lab.model_checks.quota_mutation_checks import MUTANTS, without
from milletsill.planner.quota_terms import SECOND, WHOLE, QuotaTimings


@dataclass(frozen=True, slots=True)
class QuotaExploration:
    """How many states were checked, and the events that led past the whole, if any."""

    states: int
    violation: list[str] | None = None


def explore(
    gateways: int, depth: int, max_states: int, first_exchanges: int = 0
) -> QuotaExploration:
    """Check every order of events up to a depth, equal states once.

    Args:
        gateways: Size of the fleet.
        depth: Number of events.
        max_states: When to stop.
        first_exchanges: Without loss, so that there is something to lose.
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
    """The steps made, what went wrong, and the most that one gateway had."""

    steps: int
    violation: str | None
    largest_share: int


PAUSES = (50, SECOND // 10, SECOND // 2, SECOND // 2, SECOND, 2 * SECOND)


def random_walk(
    gateways: int, steps: int, seed: int, drift_permille: int = 5
) -> RandomWalk:
    """Go by chance through a large fleet whose clocks drift."""
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
        place = random.randrange(len(fleet.in_flight))
        fleet.deliver(place, random.random() < 0.2)
    elif chance < 0.94:
        fleet.pass_time(random.choice(PAUSES))
    elif chance < 0.955:
        fleet.restart_gateway(gateway)
    elif chance < 0.975:
        fleet.restart_planner()
    else:
        fleet.change_demand(gateway)


def overtaken_grant() -> int:
    """Return the most in use at any moment that a delayed large grant may arrive.

    It is on its way for long, while newer and smaller ones are lost and another gateway
    gets the rest.
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
    """Return what goes wrong first: an overtaken grant, else by chance; or None."""
    total = overtaken_grant()
    if total > WHOLE:
        return f"an overtaken grant: {total} of {WHOLE} in use"
    for seed in range(walks):
        violation = random_walk(4, steps, seed).violation
        if violation is not None:
            return violation
    return None


def main() -> None:
    """Run the model as the command line says, and print what it finds."""
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
            f"seed {seed}: {walk.steps} steps, most for one {largest:.2f}, "
            f"{walk.violation or 'kept'}"
        )
    for guard in MUTANTS:
        with without(guard):
            violation = find_violation(300)
        print(f"without {guard}: {violation or 'NOT FOUND'}")


if __name__ == "__main__":
    main()
