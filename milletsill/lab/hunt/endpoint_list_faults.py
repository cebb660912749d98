"""Fault search for the endpoint list: draws the faults of a seed and runs them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from twisted.internet.defer import maybeDeferred

from milletsill.lab.hunt.endpoint_list_simulation import (
    EndpointListSimulation,
    apply_fault,
)
from milletsill.lab.hunt.fault_search import TICKS_PER_SECOND, FaultEvent
from milletsill.lab.hunt.simulated_registry import KEY_COUNT
from milletsill.registry import (
    endpoint_cache,
    endpoint_cache_writer,
    registry_watcher,
)
from milletsill.registry.registered_node import RegisteredNode

FAULTS_END = 45.0  # seconds
FAULT_FREE_PERIOD = 90.0  # seconds from the last fault to the final check
FOLLOW_CHANCE = 0.4  # probability that an event closely follows the one before
FOLLOW_WITHIN = 400  # ticks of 0.1 ms


@dataclass(frozen=True, slots=True)
class FaultKind:
    """The relative frequency of a kind of event, and how its values are drawn."""

    weight: int
    draw: Callable[[Random], tuple[Any, ...]] = lambda random: ()


def _draw_put(random: Random) -> tuple[int, bool, int]:
    key_index = random.randrange(KEY_COUNT)
    is_draining = random.random() < 0.3
    return key_index, is_draining, key_index + KEY_COUNT * (random.random() < 0.1)


FAULT_KINDS = {
    "put": FaultKind(10, _draw_put),
    "delete": FaultKind(4, lambda random: (random.randrange(KEY_COUNT),)),
    "swap": FaultKind(
        2, lambda random: (random.randrange(KEY_COUNT), random.randrange(KEY_COUNT))
    ),
    "flood": FaultKind(1, lambda random: (random.choice((5, 40, 400)),)),
    "compact": FaultKind(2),
    "backup": FaultKind(2),
    "restore": FaultKind(
        1, lambda random: (random.randrange(3), random.random() < 0.5)
    ),
    "cut": FaultKind(3),
    "silence": FaultKind(2),
    "progress": FaultKind(2),
    "restart": FaultKind(1),
    "gone_for": FaultKind(
        2, lambda random: (random.randrange(2000, 60_000), random.random() < 0.5)
    ),
}


class EndpointListFaults:
    """Draws and runs faults of one gateway's endpoint list; a `FaultSimulation`."""

    def __init__(self) -> None:
        self.last: EndpointListSimulation | None = None

    def draw_events(self, seed: int) -> list[FaultEvent]:
        """Return the events of a seed, ordered by time."""
        random = Random(seed)
        kinds = list(FAULT_KINDS)
        weights = [kind.weight for kind in FAULT_KINDS.values()]
        times = sorted(
            int(random.uniform(0, FAULTS_END) * TICKS_PER_SECOND)
            for _ in range(random.randrange(10, 40))
        )
        events: list[FaultEvent] = []
        for drawn_time in times:
            follows = bool(events) and random.random() < FOLLOW_CHANCE
            kind = random.choices(kinds, weights)[0]
            at = drawn_time
            if follows:
                at = events[-1].at + random.randrange(FOLLOW_WITHIN)
            events.append(FaultEvent(at, kind, FAULT_KINDS[kind].draw(random)))
        return sorted(events, key=lambda event: event.at)

    def play(self, seed: int, events: Sequence[FaultEvent]) -> str | None:
        """Return the first failed check, or None if all checks passed."""
        with cache_in_memory():
            simulation = EndpointListSimulation(seed)
            self.last = simulation
            for event in events:
                simulation.run_until(event.at / TICKS_PER_SECOND)
                apply_fault(simulation, event.kind, event.values)
            simulation.run_until(FAULTS_END + FAULT_FREE_PERIOD)
            return simulation.find_failure()


@contextmanager
def cache_in_memory() -> Iterator[None]:
    """Store the cached list in memory, synchronously instead of in a thread."""
    cached: list[tuple[dict[str, RegisteredNode], int]] = [({}, 0)]
    module = SimpleNamespace(
        read_cache=lambda path: cached[-1],
        write_cache=lambda path, nodes, revision: cached.append(
            (dict(nodes), revision)
        ),
        EndpointCacheNotStoredError=endpoint_cache.EndpointCacheNotStoredError,
    )
    with (
        mock.patch.object(registry_watcher, "endpoint_cache", module),
        mock.patch.object(endpoint_cache_writer, "endpoint_cache", module),
        mock.patch.object(endpoint_cache_writer, "deferToThread", maybeDeferred),
    ):
        yield
