"""Timers by name on a Twisted reactor, one of each name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A call that a reactor makes later."""

    def active(self) -> bool:
        """Return whether it is still to come."""

    def cancel(self) -> None:
        """Call it off."""


class ReactorTimers(Protocol):
    """The part of a Twisted reactor that makes calls later."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], /, *args: Any
    ) -> DelayedCall:
        """Make a call after so many seconds."""


class NamedTimers:
    """At most one pending call for each name; none after `stop`."""

    def __init__(self, reactor: ReactorTimers) -> None:
        self.stopped = False
        self._reactor = reactor
        self._calls: dict[str, DelayedCall] = {}

    def set(
        self, name: str, seconds: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Make a call after so many seconds, in place of the pending one."""
        pending = self._calls.get(name)
        if pending is not None and pending.active():
            pending.cancel()
        if not self.stopped:
            delay = max(seconds, 0.0)
            self._calls[name] = self._reactor.callLater(delay, call, *args)

    def repeat(self, name: str, seconds: float, call: Callable[[], None]) -> None:
        """Make a call after each interval, until the end."""

        def on_timer() -> None:
            self.set(name, seconds, on_timer)
            call()

        self.set(name, seconds, on_timer)

    def cancel(self, name: str) -> None:
        """Call the pending call of a name off, if there is one."""
        pending = self._calls.pop(name, None)
        if pending is not None and pending.active():
            pending.cancel()

    def stop(self) -> None:
        """Call all off, for good."""
        self.stopped = True
        for pending in self._calls.values():
            if pending.active():
                pending.cancel()
