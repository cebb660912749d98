"""When a process of the laboratory was late itself, and what that was made of.

The collector, its own work, a wait for a core, or a sleep: in a call that blocked, or
past its time.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Protocol

LATE_FROM = 0.015
"""Seconds of lateness from which a moment is kept."""
MAX_MOMENTS = 200
GAP_CHECK_INTERVAL = 0.01
"""Seconds between two checks for a gap."""
GAP_FROM = 0.03
"""Seconds between two checks from which they are kept as a gap."""
MAX_GAPS = 10_000


class MonitorTimer(Protocol):
    """What calls later: a reactor."""

    def callLater(self, delay: float, callable: Callable[[], None], /) -> object:
        """Call after so many seconds."""


def core_wait() -> float:
    """Return for how many seconds this thread was ready to run and had no core.

    Since its start; 0 where the system does not tell.
    """
    try:
        with open("/proc/thread-self/schedstat", "rb", buffering=0) as source:
            return int(source.read(100).split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


@dataclass(frozen=True, slots=True)
class LateMoment:
    """A check that was late, and what the time since the one before went into.

    The fields' names are those of the stored result.
    """

    at_s: float
    late_ms: float
    collector_ms: float
    work_ms: float
    no_core_ms: float
    asleep_ms: float

    def describe(self, count: int) -> str:
        """Return the worst of `count` late moments as one line of a report."""
        return (
            f"late by over {LATE_FROM * 1000:.0f} ms {count} times; the worst at "
            f"{self.at_s:.1f} s: collector {self.collector_ms:.0f}, own work "
            f"{self.work_ms:.0f}, no core {self.no_core_ms:.0f}, asleep "
            f"{self.asleep_ms:.0f} ms"
        )


class LatenessMonitor:
    """Checked every few milliseconds; keeps the late moments, bounded.

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
        """A collection began or ended."""
        now = time.monotonic()
        if phase == "start":
            self.collection_began_at = now
        else:
            self.collection_time += now - self.collection_began_at

    def check(self, start: float, due: float) -> float:
        """Check that was due then, in a run that started then; return the time."""
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
        """Return the late moments as they are stored, the worst first."""
        moments = sorted(self.moments, key=lambda moment: -moment.late_ms)
        return [asdict(moment) for moment in moments]


class ReadGapMonitor:
    """Notes spans in which a process did not come round to its sockets.

    What it reads right after one may have come at any time of it.
    """

    def __init__(
        self, timer: MonitorTimer, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.timer = timer
        self.clock = clock
        self.checked_at = clock()
        self.gaps: list[tuple[float, float]] = []

    def check(self) -> None:
        """Check for a gap, now and from now on."""
        since = self.checked_at
        self.checked_at = self.clock()
        if self.checked_at - since >= GAP_FROM and len(self.gaps) < MAX_GAPS:
            self.gaps.append((since, self.checked_at))
        self.timer.callLater(GAP_CHECK_INTERVAL, self.check)
