"""Named timers on a Twisted reactor, with one pending call per name."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call of a Twisted reactor (`IDelayedCall`)."""

    def active(self) -> bool:
        """Return whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call."""


class ReactorTimers(Protocol):
    """The part of a Twisted reactor that schedules calls (`IReactorTime`)."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], /, *args: Any
    ) -> DelayedCall:
        """Schedule a call after a delay in seconds."""


class NamedTimers:
    """Schedules at most one pending call per name, and none after `stop`."""

    def __init__(self, reactor: ReactorTimers) -> None:
        self.stopped = False
        self._reactor = reactor
        self._calls: dict[str, DelayedCall] = {}

    def set(
        self, name: str, seconds: float, call: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a call after a delay; it replaces the pending call of that name."""
        pending = self._calls.get(name)
        if pending is not None and pending.active():
            pending.cancel()
        if not self.stopped:
            delay = max(seconds, 0.0)
            self._calls[name] = self._reactor.callLater(delay, call, *args)

    def repeat(self, name: str, seconds: float, call: Callable[[], None]) -> None:
        """Call repeatedly at an interval in seconds, until `cancel` or `stop`."""

        def on_timer() -> None:
            self.set(name, seconds, on_timer)
            call()

        self.set(name, seconds, on_timer)

    def cancel(self, name: str) -> None:
        """Cancel the pending call of a name, if there is one."""
        pending = self._calls.pop(name, None)
        if pending is not None and pending.active():
            pending.cancel()

    def stop(self) -> None:
        """Cancel all pending calls and accept no new ones."""
        self.stopped = True
        for pending in self._calls.values():
            if pending.active():
                pending.cancel()
