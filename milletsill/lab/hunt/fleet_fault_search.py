"""Fault search for a whole fleet: draws the faults of a seed and runs them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from milletsill.lab.hunt.fault_search import FaultEvent
from milletsill.lab.hunt.fleet_faults import FleetFaults
from milletsill.lab.hunt.fleet_gateway import FleetShape
from milletsill.lab.hunt.fleet_simulation import (
    FAULT_FREE_PERIOD,
    FAULTS_END,
    FleetSimulation,
    run_until_failure,
)
from milletsill.lab.hunt.simulated_disk import simulated_leases
from milletsill.lab.simulated_clock import SECOND

# Times are ticks of 0.1 ms.
DEFAULT_SIZES = (5, 6, 7)
MAX_EVENTS = 12
NODE_COUNT = 10
EVALUATORS = 3
ACCEPTORS = 3
REPORTS_SETTLE = 5 * SECOND
EARLIEST_FAULT = 5 * SECOND
MIN_SPAN = SECOND // 2
USUAL_SPAN = 12 * SECOND
LONG_SPAN = 20 * SECOND
MAX_SHORT_STALL = 12_000  # shorter stalls must not cause a GONE state
MAX_STALL = 60_000
MILD_ONLY_CHANCE = 0.25  # probability that a run has mild faults only
FOLLOW_CHANCE = 0.4  # probability that an event closely follows the one before
FOLLOW_WITHIN = 5000
MAX_LABELS = 16  # labels of a partition, assigned to the gateways in turn
HEALTH_FAULTS = ("make_ill", "lie", "trouble")
CUT_PAIR_FAULTS = ["doubles", "slow", "full", "cut_off"]
MAX_HARMLESS_CUTS = 2  # cut pairs that indirect probes can bypass

# These are drawn, so that the random draws of recorded seeds stay the same, but are
# never run.
UNPLAYED_FAULTS = frozenset(("all_down",))

# These faults alone must not cause any member to be declared gone.
MILD_FAULTS = frozenset(
    (
        "stall_",
        "stutter",
        "stutter_most",
        "slow",
        "full",
        "make_ill",
        "lie",
        "trouble",
        "doubles",
    )
)


class FaultDraw:
    """Draws the values of the events of one run."""

    def __init__(self, random: Random, size: int) -> None:
        self.random = random
        self.size = size
        self.is_mild_only = random.random() < MILD_ONLY_CHANCE

    def kinds(self) -> dict[str, Callable[[], tuple[Any, ...]]]:
        """Return the function that draws each kind's values, in a fixed order."""
        return {
            "down": self._kill,
            "away": lambda: (self._gateway_index(), self._span()),
            "stall_": self._stall,
            "stutter": lambda: (self._gateway_index(), self._span(), self._seed()),
            "stutter_most": lambda: (self._span(LONG_SPAN), self._seed()),
            "cut_off": self._cut_off,
            "split": lambda: (self._partition_labels(), self._span(LONG_SPAN)),
            "losing": lambda: (self._share(0.02, 0.3), self._span()),
            "doubles": lambda: (self._share(0.05, 0.5), self._span()),
            "slow": self._slow_disk,
            "full": lambda: (self._acceptor(), self._span()),
            "make_ill": self._impairment,
            "lie": lambda: (self._gateway_index(), self._seed(), self._span()),
            "trouble": lambda: (self._gateway_index(), self._span()),
            "all_down": lambda: (self.random.randrange(2000, 5 * SECOND),),
        }

    def clock_jump(self) -> tuple[int, int]:
        """Draw a gateway and the size of its clock jump in ticks."""
        index = self._gateway_index()
        direction = self.random.choice((-1, 1))
        return index, direction * self.random.randrange(SECOND, 10 * SECOND)

    def long_partition(self) -> FaultEvent:
        """Draw a partition into three parts that lasts until the faults end."""
        at = self.random.randrange(SECOND, 5 * SECOND)
        labels = tuple(
            self.random.randrange(3) for _ in range(min(self.size, MAX_LABELS))
        )
        return FaultEvent(at, "split", (labels, LONG_SPAN))

    def _gateway_index(self) -> int:
        return self.random.randrange(self.size)

    def _acceptor(self) -> int:
        return self.random.randrange(min(self.size, ACCEPTORS))

    def _span(self, longest: int = USUAL_SPAN) -> int:
        return self.random.randrange(MIN_SPAN, longest)

    def _seed(self) -> int:
        return self.random.getrandbits(16)

    def _share(self, least: float, most: float) -> float:
        return round(self.random.uniform(least, most), 2)

    def _kill(self) -> tuple[int, int, str]:
        state = ("kept", "kept", "older", "lost")
        return self._gateway_index(), self._span(), self.random.choice(state)

    def _stall(self) -> tuple[int, int]:
        longest = MAX_SHORT_STALL if self.is_mild_only else MAX_STALL
        return self._gateway_index(), self.random.randrange(5000, longest)

    def _cut_off(self) -> tuple[int, int, bool, int]:
        return (
            self._gateway_index(),
            self._gateway_index(),
            self.random.random() < 0.5,
            self._span(),
        )

    def _partition_labels(self) -> tuple[int, ...]:
        return tuple(
            self.random.randrange(self.random.choice((2, 3)))
            for _ in range(min(self.size, MAX_LABELS))
        )

    def _slow_disk(self) -> tuple[int, int, int]:
        return self._acceptor(), self.random.randrange(500, 20_000), self._span()

    def _impairment(self) -> tuple[int, float, float, int]:
        return (
            self.random.randrange(NODE_COUNT),
            self.random.choice((0.0, 0.33, 1.0)),
            self.random.choice((0.0, 1.0, 2.5)),
            self._span(),
        )


class FleetFaultSearch:
    """Draws and runs faults of a fleet; a `FaultSimulation`.

    Args:
        sizes: Fleet sizes, which the seeds use in turn.
        with_clock_jumps: Whether clocks also jump by more than the allowed drift.

    Attributes:
        last: The fleet of the last run.
    """

    def __init__(
        self, sizes: Sequence[int] = DEFAULT_SIZES, with_clock_jumps: bool = False
    ) -> None:
        self.sizes = tuple(sizes)
        self.with_clock_jumps = with_clock_jumps
        self.last: FleetSimulation | None = None

    def size_of(self, seed: int) -> int:
        """Return the number of gateways in a seed's fleet."""
        return self.sizes[seed % len(self.sizes)]

    def draw_events(self, seed: int) -> list[FaultEvent]:
        """Return the events of a seed, ordered by time."""
        random = Random(seed)
        draw = FaultDraw(random, self.size_of(seed))
        kinds = draw.kinds()
        if self.with_clock_jumps:
            kinds["jump"] = draw.clock_jump
        if not has_health(seed):
            for kind in HEALTH_FAULTS:
                del kinds[kind]
        names = [kind for kind in kinds if not draw.is_mild_only or kind in MILD_FAULTS]
        # Fewer kinds per run explore the interactions between them more deeply.
        fewest = min(2, len(names))
        names = random.sample(names, random.randrange(fewest, len(names) + 1))
        cuts_left = MAX_EVENTS
        if seed % 10 == 8:
            return [draw.long_partition()]
        if seed % 10 == 9:
            names = CUT_PAIR_FAULTS
            cuts_left = MAX_HARMLESS_CUTS
        events: list[FaultEvent] = []
        for _ in range(random.randrange(2, MAX_EVENTS + 1)):
            if events and random.random() < FOLLOW_CHANCE:
                at = events[-1].at + random.randrange(FOLLOW_WITHIN)
            else:
                at = random.randrange(EARLIEST_FAULT, FAULTS_END)
            kind = random.choice(names)
            cuts_left -= kind == "cut_off"
            if cuts_left < 0:
                continue
            events.append(FaultEvent(min(at, FAULTS_END - 1), kind, kinds[kind]()))
        return sorted(events, key=lambda event: event.at)

    def play(self, seed: int, events: Sequence[FaultEvent]) -> str | None:
        """Return the first failed check, or None if all checks passed."""
        shape = FleetShape(
            gateways=self.size_of(seed),
            acceptors=ACCEPTORS,
            evaluators=EVALUATORS if has_health(seed) else 0,
            nodes=NODE_COUNT,
        )
        with simulated_leases(seed + 1):
            simulation = FleetSimulation(seed, shape)
            self.last = simulation
            simulation.expects_no_deaths = are_mild(events)
            faults = FleetFaults(simulation)
            for event in events:
                if event.kind in UNPLAYED_FAULTS:
                    continue
                faults.schedule(event.at, event.kind, event.values)
            if not run_until_failure(simulation, FAULTS_END + FAULT_FREE_PERIOD):
                simulation.check_convergence()
                simulation.is_quiet = True
                end = FAULTS_END + FAULT_FREE_PERIOD + REPORTS_SETTLE
                if not run_until_failure(simulation, end):
                    simulation.check_reports()
            return simulation.failure


def has_health(seed: int) -> bool:
    """Return whether a seed's fleet has shared health, the slowest part to run."""
    return seed % 4 == 0


def are_mild(events: Sequence[FaultEvent]) -> bool:
    """Return whether these events must not cause any member to be declared gone.

    This holds for short stalls and other mild faults, and for up to two cut pairs,
    which indirect probes bypass.
    """
    cuts = sum(event.kind == "cut_off" for event in events)
    has_stalls = any(event.kind.startswith("st") for event in events)
    if cuts > (0 if has_stalls else MAX_HARMLESS_CUTS):
        return False
    return all(event.kind == "cut_off" or _is_mild(event) for event in events)


def _is_mild(event: FaultEvent) -> bool:
    if event.kind == "stall_" and event.values[1] > MAX_SHORT_STALL:
        return False
    return event.kind in MILD_FAULTS
