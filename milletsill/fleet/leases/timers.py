"""Named timers of the lease service, with delays in ticks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from milletsill.fleet.leases.timings import TICKS_PER_SECOND
from milletsill.named_timers import DelayedCall, ReactorTimers


class LeaseTimers:
    """Named timers, at most one running per name; `stop` ends all of them."""

    def __init__(self, reactor: ReactorTimers) -> None:
        self._reactor = reactor
        self._timers: dict[str, DelayedCall] = {}
        self.is_stopped = False

    def start(self, name: str, delay: int, call: Callable[[], None]) -> None:
        """Call after `delay` ticks.

        The caller makes sure that no timer of this name is running.
        """
        if not self.is_stopped:
            self._timers[name] = self._reactor.callLater(delay / TICKS_PER_SECOND, call)

    def is_running(self, name: str) -> bool:
        """Whether a timer of that name is pending."""
        timer = self._timers.get(name)
        return timer is not None and timer.active()

    def call_soon(self, call: Callable[[Any], None], value: object) -> None:
        """Call with a value in the next reactor turn; `stop` does not cancel it."""
        if not self.is_stopped:
            self._reactor.callLater(0, call, value)

    def stop(self) -> None:
        """Cancel all timers; timers started later have no effect."""
        self.is_stopped = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
