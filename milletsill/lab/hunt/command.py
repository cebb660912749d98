"""Command line of the fault searches: `python -m milletsill.lab hunt`."""

from __future__ import annotations

import argparse
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from milletsill.lab.hunt.fault_search import FaultSimulation, search_seeds
from milletsill.lab.hunt.fleet_guards import GuardRemoval

SEEDS_PER_LINE = 50
ALL_GUARDS = "all"
DESCRIPTION = (
    "`python -m milletsill.lab hunt list|fleet` runs seeds and shrinks each failing "
    "run;\n"
    "the exit status is 1 if a seed failed.\n"
    "\n"
    "`again` kills and restarts a whole fleet at once and measures its recovery. "
    "`scale`\n"
    "measures the cost per gateway of a large fleet. `--without` disables one guard\n"
    "(`all`: each in turn); the exit status is then 1 if no seed failed without it.\n"
)


@dataclass(frozen=True, slots=True)
class SearchSubject:
    """The simulation to search, and its guards that can be disabled."""

    simulation: FaultSimulation
    guard_removals: Mapping[str, GuardRemoval]


def load_subject(
    what: str, sizes: Sequence[int], with_clock_jumps: bool
) -> SearchSubject:
    """Import only the modules of the chosen simulation."""
    if what == "list":
        from milletsill.lab.hunt import endpoint_list_guards
        from milletsill.lab.hunt.endpoint_list_faults import EndpointListFaults

        return SearchSubject(EndpointListFaults(), endpoint_list_guards.GUARD_REMOVALS)
    from milletsill.lab.hunt import fleet_guards
    from milletsill.lab.hunt.fleet_fault_search import FleetFaultSearch

    return SearchSubject(
        FleetFaultSearch(sizes, with_clock_jumps), fleet_guards.GUARD_REMOVALS
    )


def search_and_report(
    simulation: FaultSimulation, seeds: Sequence[int], max_failures: int
) -> int:
    """Run seeds and print the failures; return 1 if a seed failed, else 0."""
    began = time.process_time()
    played_count = 0
    failure_count = 0
    for start in range(0, len(seeds), SEEDS_PER_LINE):
        played, failing = search_seeds(
            simulation,
            seeds[start : start + SEEDS_PER_LINE],
            max_failures - failure_count,
        )
        played_count += played
        failure_count += len(failing)
        print(
            f"{played_count} seeds, {failure_count} failed, "
            f"{time.process_time() - began:.0f} s of CPU",
            flush=True,
        )
        for failure in failing:
            print(failure.describe(), flush=True)
        if failure_count >= max_failures:
            break
    return int(failure_count > 0)


def search_without_guards(
    subject: SearchSubject, seeds: Sequence[int], guard_name: str
) -> int:
    """Search with each named guard disabled; return 1 if a search found no failure."""
    found_all = True
    for name, remove_guard in subject.guard_removals.items():
        if guard_name != ALL_GUARDS and guard_name not in name:
            continue
        with remove_guard():
            played, failing = search_seeds(subject.simulation, seeds, 1)
        result = f"NOT FOUND within {played} seeds"
        if failing:
            result = f"found after {played} of {len(seeds)} seeds"
        else:
            found_all = False
        print(f"without {name}: {result}", flush=True)
        for failure in failing:
            print(failure.describe(), flush=True)
    return int(not found_all)


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m milletsill.lab hunt",
        description=DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("what", choices=("list", "fleet", "again", "scale"))
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument(
        "--most", type=int, default=1, help="stop after this many failures"
    )
    parser.add_argument(
        "--gateways", default="5,6,7", help="fleet sizes; seeds use them in turn"
    )
    parser.add_argument(
        "--jumps", action="store_true", help="also jump clocks beyond the allowed drift"
    )
    parser.add_argument(
        "--without",
        default="",
        help="part of the name of the guard to disable, or `all`",
    )
    return parser.parse_args(arguments)


def main(arguments: Sequence[str]) -> int:
    """Run the command and return its exit status."""
    given = parse_arguments(arguments)
    sizes = [int(size) for size in given.gateways.split(",")]
    seeds = range(given.first, given.first + given.seeds)
    if given.what == "again":
        from milletsill.lab.hunt.fleet_restart import report_restarts

        return report_restarts(sizes, seeds)
    if given.what == "scale":
        from milletsill.lab.hunt.fleet_cost import report_costs

        return report_costs(sizes)
    subject = load_subject(given.what, sizes, given.jumps)
    if given.without:
        return search_without_guards(subject, seeds, given.without)
    return search_and_report(subject.simulation, seeds, given.most)
