"""A model check of leases with holders, acceptors and a faulty network.

    python -m milletsill.lab.model_checks.lease_model [--walks N --steps N ...]

It runs the real functions of `milletsill.fleet.leases`. `lease_exploration` runs every
order of events up to a depth, `lease_walk` makes seeded random walks in larger
clusters, and `lease_cases` runs scripted cases that random walks rarely reach. After
each event they check that no two gateways hold the lease at the same true time. At each
acquisition and each settled write they check that the value contains all settled
writes, and that no holder underestimates the age of a value. Without any one of the
guards in `lease_mutation_checks`, a check must fail.
"""

from __future__ import annotations

import argparse
import time

from milletsill.lab.model_checks.lease_cases import CASES
from milletsill.lab.model_checks.lease_exploration import (
    StartingPoint,
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
    """Return the first violation, if any.

    Runs the scripted cases, then random walks in small clusters.
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
    """Return the first violation in the scripted cases, if any."""
    for case in CASES:
        violation = case()
        if violation is not None:
            return f"case {case.__name__}: {violation}"
    return None


def _print_explorations(clusters: int) -> None:
    for moves in (single_events, whole_exchanges):
        for start in StartingPoint:
            began = time.perf_counter()
            found = explore(start, 12, clusters, moves)
            seconds = time.perf_counter() - began
            print(
                f"{moves.__name__} from {start.name.lower()}: every order of "
                f"{found.depth} events, {found.clusters} clusters, {seconds:.1f} s, "
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
    """Run the model, and again with each guard disabled."""
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
