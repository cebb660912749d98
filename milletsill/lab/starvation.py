"""Finds the times in which a gateway was ready to run but had no processor core.

The audit treats these times like a stop of the process, not as a fault of the gateway.
The data comes from Linux's scheduler statistics (/proc/PID/schedstat) of each process's
main thread. On a machine with enough cores nothing is found. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

CHECK_INTERVAL = 0.05
MIN_WAIT = 0.02  # shortest time without a core between two checks that counts


class ProcessHandle(Protocol):
    """A started process."""

    @property
    def pid(self) -> int:
        """The process id."""


class MonitoredProcess(Protocol):
    """One process and the gateways that it runs."""

    @property
    def process(self) -> ProcessHandle | None:
        """The process; None if it was not started yet."""

    @property
    def names(self) -> Sequence[str]:
        """The names of the gateways in the process."""


def read_total_wait(pid: int) -> float | None:
    """Return how long a process has waited for a core since its start, in seconds.

    Returns None if the system does not provide the value.
    """
    try:
        with open(f"/proc/{pid}/schedstat", "rb", buffering=0) as source:
            return int(source.read(100).split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return None


class StarvationMonitor:
    """Finds the time spans in which gateways had no core.

    Attributes:
        total: The sum of all spans, in seconds.
    """

    def __init__(self) -> None:
        self.total = 0.0
        self._checked_at = 0.0
        self._waits: dict[int, float] = {}

    def find_spans(
        self, now: float, processes: Sequence[MonitoredProcess]
    ) -> list[tuple[str, float, float]]:
        """Return (gateway, from, to) for waits of MIN_WAIT or longer.

        The system adds a wait to its total when the wait ends. A wait that ended since
        the last check may have begun before that check, by at most its own length.
        """
        if now - self._checked_at < CHECK_INTERVAL:
            return []
        since = self._checked_at
        self._checked_at = now
        found: list[tuple[str, float, float]] = []
        for monitored in processes:
            pid = monitored.process.pid if monitored.process is not None else 0
            total = read_total_wait(pid)
            if total is None:
                continue
            span = total - self._waits.get(pid, total)
            self._waits[pid] = total
            if span >= MIN_WAIT:
                self.total += span
                found += [(name, since - span, now) for name in monitored.names]
        return found
