"""`python -m milletsill.lab hunt list|fleet`: seeds are played, failures come out small; exit status 1 where there was one.

`again`: a whole fleet killed and started at once, with figures. `scale`: what a gateway
of a large fleet costs. With `--without` one guard is out (`all`: each in turn),
and status 1 means that a guard's loss was not found.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Sequence
from typing import Any

from milletsill.lab.hunt.decide import Game, hunt

TOLD = 50  # seeds between lines


def games(given: Any) -> tuple[Game, dict[str, Callable[[], Any]]]:
    """What is hunted, and the guards of it."""
    if given.what == "list":
        from milletsill.lab.hunt.list_world import MUTANTS, ListGame

        return ListGame(), MUTANTS
    from milletsill.lab.hunt.fleet_world import FleetGame
    from milletsill.lab.hunt.guards import MUTANTS as GUARDS

    return FleetGame(
        [int(each) for each in given.gateways.split(",")], jumps=given.jumps
    ), GUARDS


def main(values: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m milletsill.lab hunt",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("what", choices=("list", "fleet", "again", "scale"))
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--most", type=int, default=1, help="failures to look for")
    parser.add_argument(
        "--gateways", default="5,6,7", help="sizes of the fleet, by seed in turn"
    )
    parser.add_argument(
        "--jumps", action="store_true", help="clocks also jump past what drift allows"
    )
    parser.add_argument(
        "--without", default="", help="a guard, by a part of its name, or `all`"
    )
    given = parser.parse_args(values)
    if given.what == "again":
        from milletsill.lab.hunt.again import report

        return report(
            [int(each) for each in given.gateways.split(",")], given.first, given.seeds
        )
    if given.what == "scale":
        from milletsill.lab.hunt.scale import report as scale

        return scale([int(each) for each in given.gateways.split(",")])
    game, guards = games(given)
    seeds, began = range(given.first, given.first + given.seeds), time.process_time()
    if not given.without:
        played, failed = 0, 0
        for at in range(0, len(seeds), TOLD):
            count, found = hunt(game, seeds[at : at + TOLD], given.most - failed)
            played, failed = played + count, failed + len(found)
            print(
                f"{played} seeds, {failed} failed, {time.process_time() - began:.0f} s of CPU",
                flush=True,
            )
            for each in found:
                print(each.page(), flush=True)
            if failed >= given.most:
                break
        return int(failed > 0)
    unfound = 0
    for name, out in guards.items():
        if given.without != "all" and given.without not in name:
            continue
        with out():
            played, found = hunt(game, seeds, 1)
        unfound += not found
        print(
            f"without {name}: "
            + (
                f"found by seed {played} of them"
                if found
                else f"NOT FOUND within {played}"
            ),
            flush=True,
        )
        for each in found:
            print(each.page(), flush=True)
    return int(unfound > 0)
