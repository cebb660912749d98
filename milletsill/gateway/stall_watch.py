"""Detects stalls of the process, to date data that waited unread in a socket."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from milletsill.gateway.stall_detection import STALL_CHECK_INTERVAL, earliest_arrival

TICKS_PER_SECOND = 10_000


class StallWatch:
    """Checks the clock at short intervals; a late check indicates a stall.

    Times are in tenths of a millisecond.
    """

    def __init__(self, reactor: Any, now: Callable[[], int]) -> None:
        self.reactor = reactor
        self.now = now
        self.last_check = now()
        self.stalled_since: int | None = None
        self.check_call: Any = None

    def start(self) -> None:
        """Start the periodic checks."""
        self.last_check = self.now()
        self._schedule_check()

    def stop(self) -> None:
        """Cancel the next check."""
        if self.check_call is not None and self.check_call.active():
            self.check_call.cancel()

    def check(self) -> None:
        """Record a stall since the last check, just before the sockets are read."""
        now = self.now()
        since = self._stall_before(now)
        if since is not None:
            self.stalled_since = since
            self.after_reads(self._on_sockets_read)
        self.last_check = now
        self._schedule_check()

    def unread_since(self) -> int | None:
        """Return the earliest arrival time of the data that is read now.

        Return None if the process was not stalled. This is computed at each read,
        because no check has run yet if the process stalled after a socket became
        ready and before it was read.
        """
        since = self._stall_before(self.now())
        if since is None or self.stalled_since is None:
            return self.stalled_since if since is None else since
        return min(since, self.stalled_since)

    def after_reads(self, call: Callable[[], None]) -> None:
        """Make a call once the sockets that are ready have been read.

        A timer with delay 0 runs before these reads, and a timer that it sets runs
        after them.
        """
        self.reactor.callLater(0, self.reactor.callLater, 0, call)

    def _stall_before(self, now: int) -> int | None:
        due = self.last_check + STALL_CHECK_INTERVAL
        return earliest_arrival(now, due, self.last_check)

    def _schedule_check(self) -> None:
        delay = STALL_CHECK_INTERVAL / TICKS_PER_SECOND
        self.check_call = self.reactor.callLater(delay, self.check)

    def _on_sockets_read(self) -> None:
        self.stalled_since = None
