"""Timer interfaces that channels need of the reactor, and their time units."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

UNITS_PER_SECOND = 10_000
UNITS_PER_MILLISECOND = 10


class Timer(Protocol):
    """A scheduled call."""

    def active(self) -> bool:
        """Whether the call has neither been made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call, which must be active."""


class TimerScheduler(Protocol):
    """Schedules calls; implemented by Twisted's reactor."""

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callable: Callable[..., object], /, *args: Any
    ) -> Timer:
        """Schedule a call in `delay` seconds."""
