"""Estimate how long new connections have waited in the kernel's accept queue.

A client counts its time-out from its own send, which may precede the acceptance of its
connection by as long as the queue was not empty. The module performs no I/O and reads
no clock. Times are tenths of a millisecond.
"""

from __future__ import annotations

from collections import deque


class AcceptQueueClock:
    """Tracks the earliest time since which a connection in the queue may have waited.

    Attributes:
        waiting_since: that time; None if the queue was empty at the last look.
        accepted: number of connections that were accepted.
        marks: pairs of a count and a time: once so many connections were accepted, all
            others have arrived after that time, since the queue holds `capacity`.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.waiting_since: int | None = None
        self.accepted = 0
        self.marks: deque[tuple[int, int]] = deque()

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest time at which the next connection may have arrived."""
        return now if self.waiting_since is None else min(self.waiting_since, now)

    def on_pause(self, now: int) -> None:
        """Record that no connection is accepted from now on."""
        if self.waiting_since is None:
            self.waiting_since = now

    def on_empty(self, now: int, accepted: int, paused: bool) -> None:
        """Record that none was left after some were accepted."""
        self.accepted += accepted
        self.waiting_since = now if paused else None
        self.marks.clear()

    def on_left(self, now: int, accepted: int, arrived_at: int) -> None:
        """Record that others may be left after some were accepted.

        The first of those that were accepted may have arrived at `arrived_at`.
        """
        self.accepted += accepted
        if self.waiting_since is None:
            self.waiting_since = arrived_at
        self.marks.append((self.accepted + self.capacity, now))
        while self.marks and self.marks[0][0] <= self.accepted:
            _, self.waiting_since = self.marks.popleft()
