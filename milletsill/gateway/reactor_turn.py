"""Run a call once all that lies in the sockets was read."""

from __future__ import annotations

from collections.abc import Callable

from milletsill.gateway.stall_detection import must_read_sockets_first
from milletsill.named_timers import ReactorTimers


class NextReactorTurn:
    """One call in the next turn of the reactor, however often it is asked for.

    If the process stood still since, what came meanwhile (a client's close above all)
    is read before the call: one more turn, once.
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
        """Ask for the call in the next turn."""
        if self.scheduled:
            return
        self.scheduled = True
        self.due = self.now()
        self.reactor.callLater(0, self.run)

    def run(self) -> None:
        """Make the call, or defer it by one turn after a stall."""
        if must_read_sockets_first(self.now() - self.due, self.deferred):
            self.deferred = True
            self.reactor.callLater(0, self.run)
            return
        self.scheduled = False
        self.deferred = False
        self.call()
