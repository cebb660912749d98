"""Run a call after the data waiting in the sockets has been read."""

from __future__ import annotations

from collections.abc import Callable

from milletsill.gateway.stall_detection import must_read_sockets_first
from milletsill.named_timers import ReactorTimers


class NextReactorTurn:
    """Runs a call once in the next reactor turn, however often it is scheduled.

    If the process has stalled since, the call is deferred by one more turn, so that the
    data that arrived during the stall (most importantly a client's close) is read
    first.
    """

    __slots__ = ("call", "deferred", "due", "now", "reactor", "scheduled")

    def __init__(
        self,
        reactor: ReactorTimers,
        now: Callable[[], int],
        call: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.call = call
        self.due = 0
        self.scheduled = False
        self.deferred = False

    def schedule(self) -> None:
        """Schedule the call for the next turn, unless it is scheduled already."""
        if self.scheduled:
            return
        self.scheduled = True
        self.due = self.now()
        self.reactor.callLater(0, self.run)

    def run(self) -> None:
        """Run the call, or defer it by one turn after a stall."""
        if must_read_sockets_first(self.now() - self.due, self.deferred):
            self.deferred = True
            self.reactor.callLater(0, self.run)
            return
        self.scheduled = False
        self.deferred = False
        self.call()
