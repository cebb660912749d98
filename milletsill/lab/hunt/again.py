"""A whole fleet killed and started again at once, on the simulated clock: how long until views are whole and channels go on.

    python -m milletsill.lab hunt again --gateways 12,50,200 --seeds 20

One gateway in three comes back without its run's number; of the registers at most one without its file, as is promised.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Sequence
from random import Random
from typing import Any
from unittest import mock

import numpy

from milletsill.fleet.leases import acceptor_service, lease_manager
from milletsill.lab.fleet_clock import SECOND
from milletsill.lab.hunt.fleet_world import FleetWorld
from milletsill.lab.hunt.gate import CHANNELS, Kept

DOWN, WITHIN, CALM = 20 * SECOND, 90 * SECOND, 20 * SECOND


class Again(FleetWorld):
    """Times of the first whole views and the first writes since the start."""

    def __init__(self, seed: int, gateways: int) -> None:
        super().__init__(seed, gateways, registers=3, users=gateways, judges=0)
        self.first: dict[str, int] = {}
        self.back = 0

    def counted(self, gate: Any, channel: str, value: int) -> None:
        super().counted(gate, channel, value)
        if self.back:
            self.first.setdefault(channel, self.now - self.back)

    def found(self, part: float) -> None: ...

    def after(self, span: int, call: Any, *values: Any) -> None:
        self.at(self.now + span, call, *values)

    def played(self, lost: bool) -> dict[str, float]:
        """Seconds since all were started."""
        self.run(DOWN)
        assert self.right() == 1.0, "the fleet was not whole before"
        chance = Random(self.chance.getrandbits(32))
        for place in range(len(self.names)):
            how = (
                "lost"
                if lost and chance.random() < 1 / 3 and place >= len(self.registers)
                else "kept"
            )
            self.down(place, SECOND + chance.randrange(SECOND), how)
        if lost:
            self.disks[self.registers[0]].base = None
        self.back, found = self.now + SECOND, dict[str, float]()

        def stop() -> bool:
            if self.now > self.back + SECOND and len(self.live()) == len(self.names):
                right = self.right()
                for part, name in ((0.9, "views of nine in ten"), (1.0, "all views")):
                    if right >= part:
                        found.setdefault(name, (self.now - self.back) / SECOND)
            return "all views" in found and len(self.first) == len(CHANNELS)

        self.run(self.back + WITHIN, stop)
        found["first channel"], found["all channels"] = (
            pick(self.first.values(), default=WITHIN) / SECOND for pick in (min, max)
        )
        self.run(self.now + CALM)
        if self.wrong or len(self.first) < len(CHANNELS) or "all views" not in found:
            raise AssertionError(
                self.wrong or f"not whole again within {WITHIN / SECOND:.0f} s: {found}"
            )
        return found


def played(seed: int, gateways: int, lost: bool) -> dict[str, float]:
    secrets = Random(seed + 1)
    with (
        mock.patch.object(lease_manager, "SystemRandom", lambda: secrets),
        mock.patch.object(acceptor_service, "AcceptorStore", Kept),
    ):
        return Again(seed, gateways).played(lost)


def interval(values: Sequence[float]) -> str:
    """The mean with its interval of 95 in a hundred (by 2,000 draws of the sample), and the most."""
    draws = numpy.random.default_rng(1).choice(values, (2000, len(values))).mean(axis=1)
    low, high = numpy.quantile(draws, (0.025, 0.975))
    return (
        f"{numpy.mean(values):.2f} ({low:.2f} to {high:.2f}), at most {max(values):.2f}"
    )


def report(sizes: Sequence[int], first: int, seeds: int) -> int:
    """Prints a table; 1 where something that was promised was not kept."""
    for size in sizes:
        for lost in (False, True):
            began, found, wrong = (
                time.process_time(),
                list[dict[str, float]](),
                list[str](),
            )
            for seed in range(first, first + seeds):
                try:
                    found.append(played(seed, size, lost))
                except AssertionError as error:
                    wrong.append(f"seed {seed}: {error}")
            print(
                f"{size} gateways, {'a third without their disk' if lost else 'disks kept'}: {len(found)} of {seeds} seeds kept, "
                f"{(time.process_time() - began) / seeds:.1f} s of CPU each, "
                f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB at most",
                flush=True,
            )
            for name in found[0] if found else ():
                print(f"  {name}: {interval([each[name] for each in found])} s")
            for each in wrong:
                print(f"  {each}")
            if wrong:
                return 1
    return 0
