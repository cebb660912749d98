"""Searches seeds for a failing run and shrinks what it finds.

Nothing here knows what is simulated. Faults are drawn by a seed and played; an event
holds everything that chance decided about it, so played without the events around it,
it does the same. A run that fails is therefore shrunk by leaving events out (delta
debugging), and what is left is the same run for everybody.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

MAX_SHRINK_PLAYS = 250
TICKS_PER_SECOND = 10_000


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """One thing that happens to the simulated program.

    Attributes:
        at: when, in ticks of a tenth of a millisecond since the start.
        kind: what happens, as the simulation names it.
        values: everything that chance decided about it.
    """

    at: int
    kind: str
    values: tuple[Any, ...] = ()

    def describe(self) -> str:
        """Return the event as one line for a person."""
        values = ", ".join(map(str, self.values))
        return f"{self.at / TICKS_PER_SECOND:8.3f} s  {self.kind}({values})"


class FaultSimulation(Protocol):
    """Something that is simulated under faults."""

    def draw_events(self, seed: int) -> list[FaultEvent]:
        """Return the events of a seed, in order of time; the same at each call."""

    def play(self, seed: int, events: Sequence[FaultEvent]) -> str | None:
        """Return what broke first, or None where everything held."""


@dataclass(frozen=True, slots=True)
class FailingSeed:
    """One failing run, made small.

    Attributes:
        seed: of the simulation.
        failure: what broke first in the small run.
        drawn_count: how many events the seed drew.
        events: those that are left.
    """

    seed: int
    failure: str
    drawn_count: int
    events: tuple[FaultEvent, ...]

    def describe(self) -> str:
        """Return the failure and its events, one a line."""
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
    """Return the fewest events found that still fail, within so many plays.

    Parts of the events are left out, ever smaller ones.
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
    """Play one seed and shrink its failure; None where everything held.

    Any failure counts while the events are shrunk: the last one is reported.
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
    """Return how many seeds were played and which failed; ends at `max_failures`."""
    failing: list[FailingSeed] = []
    for played, seed in enumerate(seeds, 1):
        found = search_seed(simulation, seed)
        if found is None:
            continue
        failing.append(found)
        if len(failing) >= max_failures:
            return played, failing
    return len(seeds), failing
