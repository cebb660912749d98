"""Measures how late a laboratory process itself runs its timers, and why.

The time is split into garbage collection, own work, waiting for a CPU core, and sleep:
in a blocking call, or beyond the time at which a timer was due.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Protocol

LATE_FROM = 0.015
"""Lateness in seconds from which a moment is recorded."""
MAX_MOMENTS = 200
GAP_CHECK_INTERVAL = 0.01
"""Seconds between two checks for a gap."""
GAP_FROM = 0.03
"""Time between two checks, in seconds, from which it is recorded as a gap."""
MAX_GAPS = 10_000


class MonitorTimer(Protocol):
    """The part of a reactor that schedules calls."""

    def callLater(self, delay: float, callable: Callable[[], None], /) -> object:
        """Schedule a call after a delay in seconds."""


def core_wait() -> float:
    """Return for how many seconds this thread has waited, runnable, for a CPU core.

    The time counts from the thread's start; 0 if the system does not provide it.
    """
    try:
        with open("/proc/thread-self/schedstat", "rb", buffering=0) as source:
            return int(source.read(100).split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


@dataclass(frozen=True, slots=True)
class LateMoment:
    """A late check, and how the time since the previous check was spent.

    The names of the fields are the keys of the stored result.
    """

    at_s: float
    late_ms: float
    collector_ms: float
    work_ms: float
    no_core_ms: float
    asleep_ms: float

    def describe(self, count: int) -> str:
        """Return this moment, the worst of `count`, as one line of a report."""
        return (
            f"late by over {LATE_FROM * 1000:.0f} ms {count} times; the worst at "
            f"{self.at_s:.1f} s: collector {self.collector_ms:.0f}, own work "
            f"{self.work_ms:.0f}, no core {self.no_core_ms:.0f}, asleep "
            f"{self.asleep_ms:.0f} ms"
        )


class LatenessMonitor:
    """Records late moments, up to MAX_MOMENTS, of a process that checks every few ms.

    `worst` is the greatest lateness so far, in seconds.
    """

    def __init__(self) -> None:
        self.worst = 0.0
        self.moments: list[LateMoment] = []
        self.collection_time = 0.0
        self.collection_began_at = 0.0
        self.checked_at = time.monotonic()
        self.cpu_time = time.thread_time()
        self.core_wait = core_wait()
        gc.callbacks.append(self.on_collection)

    def on_collection(self, phase: str, info: dict[str, int]) -> None:
        """Add up the time of garbage collections; called at their start and end."""
        now = time.monotonic()
        if phase == "start":
            self.collection_began_at = now
        else:
            self.collection_time += now - self.collection_began_at

    def check(self, start: float, due: float) -> float:
        """Record how late this check is, and return the current time.

        Args:
            start: When the run started; earlier lateness does not count.
            due: When this check was due.
        """
        waited = core_wait()
        cpu_time = time.thread_time()
        now = time.monotonic()
        since_start = now - start
        late = now - due
        if since_start >= 0:
            self.worst = max(self.worst, late)
            if late > LATE_FROM and len(self.moments) < MAX_MOMENTS:
                span = now - self.checked_at
                worked = cpu_time - self.cpu_time
                had_no_core = waited - self.core_wait
                self.moments.append(
                    LateMoment(
                        at_s=since_start,
                        late_ms=late * 1000,
                        collector_ms=self.collection_time * 1000,
                        work_ms=max(worked - self.collection_time, 0.0) * 1000,
                        no_core_ms=had_no_core * 1000,
                        asleep_ms=max(span - worked - had_no_core, 0.0) * 1000,
                    )
                )
        self.cpu_time = cpu_time
        self.checked_at = now
        self.core_wait = waited
        self.collection_time = 0.0
        return now

    def to_stored(self) -> list[dict[str, float]]:
        """Return the late moments in their stored form, the worst first."""
        moments = sorted(self.moments, key=lambda moment: -moment.late_ms)
        return [asdict(moment) for moment in moments]


class ReadGapMonitor:
    """Records gaps in which a process did not read its sockets.

    Data that is read right after a gap may have arrived at any time during it.
    """

    def __init__(
        self, timer: MonitorTimer, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.timer = timer
        self.clock = clock
        self.checked_at = clock()
        self.gaps: list[tuple[float, float]] = []

    def check(self) -> None:
        """Record a gap if there was one, and schedule the next check."""
        since = self.checked_at
        self.checked_at = self.clock()
        if self.checked_at - since >= GAP_FROM and len(self.gaps) < MAX_GAPS:
            self.gaps.append((since, self.checked_at))
        self.timer.callLater(GAP_CHECK_INTERVAL, self.check)
