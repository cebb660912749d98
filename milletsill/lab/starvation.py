"""When the machine gave a gateway no core: like a stop of its process, no fault of it.

Read from outside, from what the system says of each process's main thread. On a machine
with enough cores nothing is found. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

CHECK_INTERVAL = 0.05
MIN_WAIT = 0.02  # without a core between two looks, from which it counts


class ProcessHandle(Protocol):
    """A process that was started."""

    @property
    def pid(self) -> int:
        """Its id."""


class MonitoredProcess(Protocol):
    """One process, and the gateways in it."""

    @property
    def process(self) -> ProcessHandle | None:
        """The process; None while there is none."""

    @property
    def names(self) -> Sequence[str]:
        """Names of its gateways."""


def read_total_wait(pid: int) -> float | None:
    """Return for how long a process was ready to run and had no core, since its start.

    None where the system does not tell.
    """
    try:
        with open(f"/proc/{pid}/schedstat", "rb", buffering=0) as source:
            return int(source.read(100).split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return None


class StarvationMonitor:
    """Finds the spans in which gateways had no core.

    Attributes:
        total: All spans together, in seconds.
    """

    def __init__(self) -> None:
        self.total = 0.0
        self._checked_at = 0.0
        self._waits: dict[int, float] = {}

    def find_spans(
        self, now: float, groups: Sequence[MonitoredProcess]
    ) -> list[tuple[str, float, float]]:
        """Return (gateway, from, to) of those that had no core for long.

        The system adds a wait to its sum when it is over: one that ended since the last
        look may have begun as long before that as it lasted.
        """
        if now - self._checked_at < CHECK_INTERVAL:
            return []
        since = self._checked_at
        self._checked_at = now
        found: list[tuple[str, float, float]] = []
        for group in groups:
            pid = group.process.pid if group.process is not None else 0
            total = read_total_wait(pid)
            if total is None:
                continue
            span = total - self._waits.get(pid, total)
            self._waits[pid] = total
            if span >= MIN_WAIT:
                self.total += span
                found += [(name, since - span, now) for name in group.names]
        return found
