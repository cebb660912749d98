"""Many timers on one delayed call of the reactor, in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from milletsill.gateway.stall_detection import must_read_sockets_first
from milletsill.named_timers import ReactorTimers

# Seconds; a timer that is due later has its delayed call set again then.
LONGEST_SLEEP = 60.0


class TimerQueue:
    """Calls at given times, which are tenths of a millisecond on the clock `now`.

    Timers of one time run in the order in which they were set. `on_run` is called once
    after all that were due have run.
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
        """Call at that time or just after, never from within."""
        self.count += 1
        heapq.heappush(self.timers, (at, self.count, call, values))
        self._set_delayed_call()

    def run_due(self) -> None:
        """Run all timers that are due, then `on_run` once."""
        now = self.now()
        if self.timers and must_read_sockets_first(
            now - self.timers[0][0], self.deferred
        ):
            self.deferred = True
            self.delayed_until = now
            self.delayed_call = self.reactor.callLater(0, self.run_due)
            return
        self.deferred = False
        called = False
        while self.timers and self.timers[0][0] <= now:
            _, _, call, values = heapq.heappop(self.timers)
            call(*values)
            called = True
        if called:
            self.on_run()
        self._set_delayed_call()

    def stop(self) -> None:
        """Run no timer any more."""
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
        delay = min(max((at - self.now()) / 10_000, 0.0), LONGEST_SLEEP)
        self.delayed_call = self.reactor.callLater(delay, self.run_due)
