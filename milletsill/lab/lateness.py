"""When a process of the laboratory was late itself, and what of that was the collector, its own work, a wait for a core, or a
sleep (in a call that blocked, or past its time).
"""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any

SAID_FROM, MOST_KEPT = 0.015, 200  # seconds; moments
LOOK, DEAF_FROM, MOST_DEAF = (
    0.01,
    0.03,
    10_000,
)  # seconds between looks; a span worth noting; spans


def queued() -> float:
    """Seconds that this thread was ready to run and had no core, since its start; 0 where the system does not tell."""
    try:
        with open("/proc/thread-self/schedstat", "rb", buffering=0) as source:
            return int(source.read(100).split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


class Lateness:
    """Looked at every few milliseconds; keeps the late moments, bounded. Spans in seconds."""

    def __init__(self) -> None:
        self.worst = 0.0
        self.moments: list[dict[str, float]] = []
        self.collected = self.began = 0.0
        self.cpu, self.at, self.queued = time.thread_time(), time.monotonic(), queued()
        gc.callbacks.append(self.heard)

    def heard(self, phase: str, info: dict[str, int]) -> None:
        """A collection began or ended."""
        now = time.monotonic()
        if phase == "start":
            self.began = now
        else:
            self.collected += now - self.began

    def look(self, start: float, due: float) -> float:
        """A look that was due then, on a day that started then; the time."""
        waited, cpu, now = queued(), time.thread_time(), time.monotonic()
        day, late = now - start, now - due
        self.worst = max(self.worst, late if day >= 0 else 0.0)
        if day >= 0 and late > SAID_FROM and len(self.moments) < MOST_KEPT:
            span, worked, had = now - self.at, cpu - self.cpu, waited - self.queued
            self.moments.append(
                {
                    "at_s": day,
                    "late_ms": late * 1000,
                    "collector_ms": self.collected * 1000,
                    "work_ms": max(worked - self.collected, 0.0) * 1000,
                    "no_core_ms": had * 1000,
                    "asleep_ms": max(span - worked - had, 0.0) * 1000,
                }
            )
        self.cpu, self.at, self.queued, self.collected = cpu, now, waited, 0.0
        return now

    def told(self) -> list[dict[str, float]]:
        """The late moments, the worst first."""
        return sorted(self.moments, key=lambda each: -each["late_ms"])


class Deaf:
    """Spans in which a process did not come round to its sockets: what it reads right after one may have come at any time of it."""

    def __init__(self, reactor: Any, now: Callable[[], float] = time.monotonic) -> None:
        self.reactor, self.now, self.at = reactor, now, now()
        self.spans: list[tuple[float, float]] = []

    def look(self) -> None:
        since, self.at = self.at, self.now()
        if self.at - since >= DEAF_FROM and len(self.spans) < MOST_DEAF:
            self.spans.append((since, self.at))
        self.reactor.callLater(LOOK, self.look)


def line(moments: list[dict[str, Any]]) -> str:
    """What the worst moment was made of, in one line."""
    if not moments:
        return ""
    worst = moments[0]
    return (
        f"late by over {SAID_FROM * 1000:.0f} ms {len(moments)} times; the worst at {worst['at_s']:.1f} s: collector "
        f"{worst['collector_ms']:.0f}, own work {worst['work_ms']:.0f}, no core {worst['no_core_ms']:.0f}, asleep "
        f"{worst['asleep_ms']:.0f} ms"
    )
