"""A model of leases: holders, acceptors and a network that misbehaves.

    python -m milletsill.lab.model_checks.lease_model [--walks N --steps N ...]

It runs the very functions of `milletsill.fleet.leases`. `lease_exploration` goes
through every order of events up to a depth, `lease_walk` by seeded chance through
larger clusters, `lease_cases` through what chance meets seldom. After each event they
look whether two gateways hold the lease at one true moment, and at each acquisition
and each write that counts whether all that counted before is in it, and whether no
value passes for younger than it is. With any one guard out (`lease_mutation_checks`)
it must go wrong.
"""

from __future__ import annotations

import argparse
import time

from milletsill.lab.model_checks.lease_cases import CASES
from milletsill.lab.model_checks.lease_exploration import (
    Opening,
    explore,
    single_events,
    whole_exchanges,
)
from milletsill.lab.model_checks.lease_mutation_checks import MUTATIONS, without_guard
from milletsill.lab.model_checks.lease_walk import walk

_MUTATION_WALKS = 400
_OPTIONS = {
    "walks": 20,
    "steps": 5000,
    "acceptors": 5,
    "holders": 7,
    "clusters": 100_000,
}


def find_violation(walks: int, steps: int = 600, first_seed: int = 0) -> str | None:
    """Return what goes wrong first, if anything.

    First the cases, then chance through small clusters from a seed on.
    """
    violation = find_case_violation()
    if violation is not None:
        return violation
    for seed in range(first_seed, first_seed + walks):
        result = walk(3, 3, steps, seed)
        if result.violation is not None:
            return result.violation
    return None


def find_case_violation() -> str | None:
    """Return what goes wrong first in the cases, if anything."""
    for case in CASES:
        violation = case()
        if violation is not None:
            return f"case {case.__name__}: {violation}"
    return None


def _print_explorations(clusters: int) -> None:
    for moves in (single_events, whole_exchanges):
        for opening in Opening:
            began = time.perf_counter()
            found = explore(opening, 12, clusters, moves)
            seconds = time.perf_counter() - began
            print(
                f"{moves.__name__} from {opening.name.lower()}: every order of "
                f"{found.depth}, {found.clusters} clusters, {seconds:.1f} s, "
                f"{found.violation or 'kept'}"
            )


def _print_walks(options: argparse.Namespace) -> None:
    for seed in range(options.walks):
        result = walk(options.acceptors, options.holders, options.steps, seed)
        print(
            f"seed {seed}: {result.steps} steps, {result.writes} writes, "
            f"{result.violation or 'kept'}"
        )


def _print_mutations() -> None:
    for guard in MUTATIONS:
        with without_guard(guard):
            print(f"without {guard}: {find_violation(_MUTATION_WALKS) or 'NOT FOUND'}")


def main() -> None:
    """Run the model, and again with each guard out."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, default in _OPTIONS.items():
        parser.add_argument(f"--{name}", type=int, default=default)
    options = parser.parse_args()
    _print_explorations(options.clusters)
    _print_walks(options)
    print(f"cases: {find_case_violation() or 'kept'}")
    _print_mutations()


if __name__ == "__main__":
    main()
