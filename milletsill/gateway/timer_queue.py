"""A queue of timers that needs only one delayed call of the reactor."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from milletsill.gateway.stall_detection import must_read_sockets_first
from milletsill.named_timers import ReactorTimers

# The delayed call is set again at least this often until a timer is due.
MAX_DELAY_SECONDS = 60.0


class TimerQueue:
    """Makes calls at given times, in ticks (0.1 ms) of the clock `now`.

    Timers with the same time run in the order in which they were set. `on_run` is
    called once after all due timers have run.
    """

    def __init__(
        self,
        reactor: ReactorTimers,
        now: Callable[[], int],
        on_run: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.on_run = on_run
        self.timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0
        self.delayed_call: Any = None
        self.delayed_until = 0
        self.deferred = False
        self.stopped = False

    def call_at(self, at: int, call: Callable[..., None], *values: Any) -> None:
        """Schedule a call; it never runs before this method returns."""
        self.count += 1
        heapq.heappush(self.timers, (at, self.count, call, values))
        self._set_delayed_call()

    def run_due(self) -> None:
        """Run all due timers, then `on_run` once; defer both once after a stall."""
        now = self.now()
        if self.timers and must_read_sockets_first(
            now - self.timers[0][0], self.deferred
        ):
            self.deferred = True
            self.delayed_until = now
            self.delayed_call = self.reactor.callLater(0, self.run_due)
            return
        self.deferred = False
        any_due = False
        while self.timers and self.timers[0][0] <= now:
            _, _, call, values = heapq.heappop(self.timers)
            call(*values)
            any_due = True
        if any_due:
            self.on_run()
        self._set_delayed_call()

    def stop(self) -> None:
        """Cancel all timers and accept no new ones."""
        self.stopped = True
        if self.delayed_call is not None and self.delayed_call.active():
            self.delayed_call.cancel()
        self.timers.clear()

    def _set_delayed_call(self) -> None:
        if self.stopped or not self.timers:
            return
        at = self.timers[0][0]
        if self.delayed_call is not None and self.delayed_call.active():
            if self.delayed_until <= at:
                return
            self.delayed_call.cancel()
        self.delayed_until = at
        delay = min(max((at - self.now()) / 10_000, 0.0), MAX_DELAY_SECONDS)
        self.delayed_call = self.reactor.callLater(delay, self.run_due)
