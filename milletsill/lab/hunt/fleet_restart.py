"""Measures how long a fleet takes to recover when all gateways are killed at once.

    python -m milletsill.lab hunt again --gateways 12,50,200 --seeds 20

Times are measured on the simulated clock. With lost disks, one gateway in three
restarts without its stored incarnation. At most one acceptor restarts without its
store, because leases tolerate the loss of only one.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Sequence
from random import Random

import numpy

from milletsill.lab.hunt.fleet_faults import STATE_KEPT, STATE_LOST, FleetFaults
from milletsill.lab.hunt.fleet_gateway import CHANNEL_NAMES, FleetGateway, FleetShape
from milletsill.lab.hunt.fleet_simulation import FleetSimulation
from milletsill.lab.hunt.simulated_disk import simulated_leases
from milletsill.lab.simulated_clock import SECOND

# Times are ticks of 0.1 ms.
KILLED_AT = 20 * SECOND
MAX_RECOVERY = 90 * SECOND
FAULT_FREE_PERIOD = 20 * SECOND
LOST_SHARE = 1 / 3
VIEW_SHARES = {"90% of views": 0.9, "all views": 1.0}


class FleetRestart(FleetSimulation):
    """A fleet that is restarted, and the recovery times of its views and channels.

    Attributes:
        started_at: time by which the first gateways are up again, the start of the
            recovery times.
        first_writes: ticks from then to the first acknowledged write, by channel.
        found: measured recovery times in seconds, by name.
    """

    def __init__(self, seed: int, gateways: int) -> None:
        shape = FleetShape(gateways=gateways, channel_users=gateways, evaluators=0)
        super().__init__(seed, shape)
        self.started_at: int | None = None
        self.first_writes: dict[str, int] = {}
        self.found: dict[str, float] = {}

    def on_write_acknowledged(
        self, gateway: FleetGateway, channel: str, write: int
    ) -> None:
        """Check the write, and record the time of each channel's first one."""
        super().on_write_acknowledged(gateway, channel, write)
        if self.started_at is not None:
            self.first_writes.setdefault(channel, self.now - self.started_at)

    def measure(self, loses_disks: bool) -> dict[str, float]:
        """Return the recovery times in seconds, by name.

        Raises:
            AssertionError: a check failed, or the fleet did not recover.
        """
        self.run(KILLED_AT)
        if self.share_of_true_views() != 1.0:
            raise AssertionError("the views were not complete before the restart")
        self._kill_all(loses_disks)
        self.started_at = self.now + SECOND
        self.run(self.started_at + MAX_RECOVERY, self._has_recovered)
        first_writes = self.first_writes.values()
        for name, pick in (("first channel", min), ("all channels", max)):
            self.found[name] = pick(first_writes, default=MAX_RECOVERY) / SECOND
        self.run(self.now + FAULT_FREE_PERIOD)
        if self.failure:
            raise AssertionError(self.failure)
        if len(self.first_writes) < len(CHANNEL_NAMES) or "all views" not in self.found:
            raise AssertionError(
                f"not recovered within {MAX_RECOVERY / SECOND:.0f} s: {self.found}"
            )
        return self.found

    def _kill_all(self, loses_disks: bool) -> None:
        faults = FleetFaults(self, ends_at=None)
        random = Random(self.random.getrandbits(32))
        for index in range(len(self.names)):
            is_lost = (
                loses_disks
                and random.random() < LOST_SHARE
                and index >= len(self.acceptor_names)
            )
            down_for = SECOND + random.randrange(SECOND)
            faults.kill(index, down_for, STATE_LOST if is_lost else STATE_KEPT)
        if loses_disks:
            self.disks[self.acceptor_names[0]].database = None

    def _has_recovered(self) -> bool:
        assert self.started_at is not None
        are_all_up = len(self.live_members()) == len(self.names)
        if self.now > self.started_at + SECOND and are_all_up:
            true_share = self.share_of_true_views()
            for name, share in VIEW_SHARES.items():
                if true_share >= share:
                    self.found.setdefault(name, (self.now - self.started_at) / SECOND)
        return "all views" in self.found and len(self.first_writes) == len(
            CHANNEL_NAMES
        )


def measure_restart(seed: int, gateways: int, loses_disks: bool) -> dict[str, float]:
    """Run one restart and return its recovery times in seconds, by name."""
    with simulated_leases(seed + 1):
        return FleetRestart(seed, gateways).measure(loses_disks)


def describe_sample(values: Sequence[float]) -> str:
    """Return the mean, its 95% interval (2,000 bootstrap samples) and the maximum."""
    draws = numpy.random.default_rng(1).choice(values, (2000, len(values))).mean(axis=1)
    low, high = numpy.quantile(draws, (0.025, 0.975))
    mean = numpy.mean(values)
    return f"{mean:.2f} ({low:.2f} to {high:.2f}), maximum {max(values):.2f}"


def report_restarts(sizes: Sequence[int], seeds: Sequence[int]) -> int:
    """Print the recovery times; return 1 if a run failed, else 0."""
    for size in sizes:
        for loses_disks in (False, True):
            if not _report_size(size, loses_disks, seeds):
                return 1
    return 0


def _report_size(size: int, loses_disks: bool, seeds: Sequence[int]) -> bool:
    began = time.process_time()
    measured: list[dict[str, float]] = []
    failures: list[str] = []
    for seed in seeds:
        try:
            measured.append(measure_restart(seed, size, loses_disks))
        except AssertionError as error:
            failures.append(f"seed {seed}: {error}")
    disks = "a third of the disks lost" if loses_disks else "disks kept"
    cpu = (time.process_time() - began) / len(seeds)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(
        f"{size} gateways, {disks}: {len(measured)} of {len(seeds)} seeds passed, "
        f"{cpu:.1f} s of CPU each, {memory:.0f} MiB peak memory",
        flush=True,
    )
    for name in measured[0] if measured else ():
        print(f"  {name}: {describe_sample([each[name] for each in measured])} s")
    for failure in failures:
        print(f"  {failure}")
    return not failures
