"""When the machine gave an edge no core: like a stop of its process, it is none of the edge's doing.

Read from outside, from what the system says of each process's main thread. On a machine with enough cores nothing is found.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

LOOK, FROM = (
    0.05,
    0.02,
)  # seconds: between looks; without a core between two looks, from which it counts


def waited(pid: int) -> float | None:
    """Seconds for which a process was ready to run and had no core, since its start; None where the system does not tell."""
    try:
        with open(f"/proc/{pid}/schedstat", "rb", buffering=0) as source:
            return int(source.read(100).split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return None


class Starved:
    """Spans without a core, by edge."""

    def __init__(self) -> None:
        self.held: dict[int, float] = {}
        self.at = 0.0
        self.total = 0.0

    def look(self, now: float, groups: Sequence[Any]) -> list[tuple[str, float, float]]:
        """(edge, from, to) of those that had no core for long. The system adds a wait to its sum when it is over: one that ended since
        the last look may have begun as long before that as it lasted.
        """
        if now - self.at < LOOK:
            return []
        since, self.at = self.at, now
        found = []
        for group in groups:
            pid = group.process.pid if group.process is not None else 0
            total = waited(pid)
            if total is None:
                continue
            span = total - self.held.get(pid, total)
            self.held[pid] = total
            if span >= FROM:
                self.total += span
                found += [(name, since - span, now) for name in group.names]
        return found
