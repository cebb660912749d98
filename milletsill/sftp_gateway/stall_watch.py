"""Notices that the process stood still, so that what lay unread is dated right."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from milletsill.gateway.stall_detection import STALL_CHECK_INTERVAL, earliest_arrival

TICKS_PER_SECOND = 10_000


class StallWatch:
    """Looks at the clock at short intervals; a look that comes late was a stall.

    Times are tenths of a millisecond.
    """

    def __init__(self, reactor: Any, now: Callable[[], int]) -> None:
        self.reactor = reactor
        self.now = now
        self.last_check = now()
        self.stalled_since: int | None = None
        self.check_call: Any = None

    def start(self) -> None:
        """Begin to look at the clock."""
        self.last_check = self.now()
        self._schedule_check()

    def stop(self) -> None:
        """Cancel the next look."""
        if self.check_call is not None and self.check_call.active():
            self.check_call.cancel()

    def check(self) -> None:
        """Note a stall since the last look: the sockets are read right after this."""
        now = self.now()
        since = self._stall_before(now)
        if since is not None:
            self.stalled_since = since
            self.after_reads(self._on_sockets_read)
        self.last_check = now
        self._schedule_check()

    def unread_since(self) -> int | None:
        """Return since when what is read now may have lain unread.

        None where it is as new as it looks. Asked at each read: a process that stood
        between a socket's being ready and its being read has had no look yet.
        """
        since = self._stall_before(self.now())
        if since is None or self.stalled_since is None:
            return self.stalled_since if since is None else since
        return min(since, self.stalled_since)

    def after_reads(self, call: Callable[[], None]) -> None:
        """Call once the sockets that are ready have been read.

        A timer for now comes before that, one that it sets comes after.
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
