"""Timers by name in ticks, as the lease service sets them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from milletsill.fleet.leases.timings import TICKS_PER_SECOND
from milletsill.named_timers import DelayedCall, ReactorTimers


class LeaseTimers:
    """At most one running timer for each name, until `stop`."""

    def __init__(self, reactor: ReactorTimers) -> None:
        self._reactor = reactor
        self._timers: dict[str, DelayedCall] = {}
        self.is_stopped = False

    def start(self, name: str, delay: int, call: Callable[[], None]) -> None:
        """Call after `delay` ticks; the caller sees that none of that name runs."""
        if not self.is_stopped:
            self._timers[name] = self._reactor.callLater(delay / TICKS_PER_SECOND, call)

    def is_running(self, name: str) -> bool:
        """Whether a timer of that name is still to come."""
        timer = self._timers.get(name)
        return timer is not None and timer.active()

    def call_soon(self, call: Callable[[Any], None], value: object) -> None:
        """Call with a value in the next turn of the reactor; not called off."""
        if not self.is_stopped:
            self._reactor.callLater(0, call, value)

    def stop(self) -> None:
        """Cancel all, and start none any more."""
        self.is_stopped = True
        for timer in self._timers.values():
            if timer.active():
                timer.cancel()
