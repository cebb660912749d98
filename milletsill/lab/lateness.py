"""When a process of the laboratory was late itself, and what of that was the collector, its own work, or no core to run on."""
from __future__ import annotations

import gc
import time
from typing import Any

SAID_FROM, MOST_KEPT = 0.015, 200  # seconds; moments


class Lateness:
    """Looked at every few milliseconds; keeps the late moments, bounded. Spans in seconds."""

    def __init__(self) -> None:
        self.worst = 0.0
        self.moments: list[dict[str, float]] = []
        self.collected = self.began = 0.0
        self.cpu, self.at = time.thread_time(), time.monotonic()
        gc.callbacks.append(self.heard)

    def heard(self, phase: str, info: dict[str, int]) -> None:
        """A collection began or ended."""
        now = time.monotonic()
        if phase == "start":
            self.began = now
        else:
            self.collected += now - self.began

    def look(self, day: float, late: float) -> None:
        """At `day` seconds of the day the process is so late since its last look."""
        cpu, now = time.thread_time(), time.monotonic()
        self.worst = max(self.worst, late)
        if late > SAID_FROM and len(self.moments) < MOST_KEPT:
            worked = cpu - self.cpu
            self.moments.append({"at_s": day, "late_ms": late * 1000, "collector_ms": self.collected * 1000,
                                 "work_ms": max(worked - self.collected, 0.0) * 1000,
                                 "off_core_ms": max(now - self.at - worked, 0.0) * 1000})
        self.cpu, self.at, self.collected = cpu, now, 0.0

    def told(self) -> list[dict[str, float]]:
        """The late moments, the worst first."""
        return sorted(self.moments, key=lambda each: -each["late_ms"])


def line(moments: list[dict[str, Any]]) -> str:
    """What the worst moment was made of, in one line."""
    if not moments:
        return ""
    worst = moments[0]
    return (f"late by over {SAID_FROM * 1000:.0f} ms {len(moments)} times; the worst at {worst['at_s']:.1f} s: collector "
            f"{worst['collector_ms']:.0f}, own work {worst['work_ms']:.0f}, off its core {worst['off_core_ms']:.0f} ms")
