"""Searches seeds for a failing run and shrinks its events.

This module is independent of what is simulated. A seed determines the fault events. An
event contains all of its random values, so it acts the same when other events are
left out. A failing run is therefore shrunk by removing events (delta debugging), and
the remaining events reproduce the failure deterministically.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

MAX_SHRINK_PLAYS = 250
TICKS_PER_SECOND = 10_000


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One event that is injected into the simulation.

    Attributes:
        at: time since the start, in ticks of 0.1 ms.
        kind: the simulation's name for the event.
        values: all randomly drawn values of the event.
    """

    at: int
    kind: str
    values: tuple[Any, ...] = ()

    def describe(self) -> str:
        """Return the event as one line of text."""
        values = ", ".join(map(str, self.values))
        return f"{self.at / TICKS_PER_SECOND:8.3f} s  {self.kind}({values})"


class FaultSimulation(Protocol):
    """A simulation that can be run with injected faults."""

    def draw_events(self, seed: int) -> list[FaultEvent]:
        """Return the events of a seed, ordered by time; deterministic."""

    def play(self, seed: int, events: Sequence[FaultEvent]) -> str | None:
        """Return the first failed check, or None if all checks passed."""


@dataclass(frozen=True, slots=True)
class FailingSeed:
    """One failing run after shrinking.

    Attributes:
        seed: seed of the simulation.
        failure: the first failed check of the shrunk run.
        drawn_count: number of events drawn from the seed.
        events: the events left after shrinking.
    """

    seed: int
    failure: str
    drawn_count: int
    events: tuple[FaultEvent, ...]

    def describe(self) -> str:
        """Return the failure and its events, one per line."""
        lines = [
            f"seed {self.seed}: {self.failure}",
            f"{len(self.events)} of the {self.drawn_count} events drawn:",
        ]
        return "\n".join(lines + [f"  {event.describe()}" for event in self.events])


def shrink_events(
    events: Sequence[FaultEvent],
    still_fails: Callable[[Sequence[FaultEvent]], bool],
    max_plays: int = MAX_SHRINK_PLAYS,
) -> tuple[FaultEvent, ...]:
    """Return the smallest failing list of events found within `max_plays` runs.

    Removes chunks of the events, and makes the chunks smaller when none can be removed.
    """
    kept = list(events)
    part_count = 2
    plays = 0
    while kept and plays < max_plays:
        size = max(-(-len(kept) // part_count), 1)
        for start in range(0, len(kept), size):
            rest = kept[:start] + kept[start + size :]
            plays += 1
            if still_fails(rest):
                kept = rest
                part_count = max(part_count - 1, 2)
                break
            if plays >= max_plays:
                break
        else:
            if size == 1:
                break
            part_count = min(part_count * 2, len(kept))
    return tuple(kept)


def search_seed(simulation: FaultSimulation, seed: int) -> FailingSeed | None:
    """Run one seed and shrink its failure; return None if all checks passed.

    Shrinking accepts any failure, and reports that of the shrunk run.
    """
    events = simulation.draw_events(seed)
    failure = simulation.play(seed, events)
    if failure is None:
        return None
    few = shrink_events(events, lambda some: simulation.play(seed, some) is not None)
    return FailingSeed(seed, simulation.play(seed, few) or failure, len(events), few)


def search_seeds(
    simulation: FaultSimulation, seeds: Sequence[int], max_failures: int = 1
) -> tuple[int, list[FailingSeed]]:
    """Run seeds up to `max_failures` failures; return the run count and failures."""
    failing: list[FailingSeed] = []
    for played, seed in enumerate(seeds, 1):
        found = search_seed(simulation, seed)
        if found is None:
            continue
        failing.append(found)
        if len(failing) >= max_failures:
            return played, failing
    return len(seeds), failing
