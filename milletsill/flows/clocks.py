"""The clocks of flow export."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

TICKS_PER_SECOND = 10_000
"""A tick of the gateway's monotonic clock is 0.1 ms."""

TICKS_PER_MILLISECOND = 10
MICROSECONDS_PER_TICK = 100


def seconds_to_ticks(seconds: float) -> int:
    """Convert seconds to whole ticks."""
    return int(seconds * TICKS_PER_SECOND)


@dataclass(frozen=True, slots=True)
class ExportClocks:
    """The gateway's clock in ticks, and a wall clock and a cost timer in seconds."""

    now: Callable[[], int]
    wall: Callable[[], float] = time.time
    cost_timer: Callable[[], float] = time.perf_counter

    def wall_milliseconds(self, at: int) -> int:
        """Convert ticks to milliseconds since 1970, by the current wall clock."""
        elapsed = (self.now() - at) // TICKS_PER_MILLISECOND
        return int(self.wall() * 1000) - elapsed
