"""What channels need of the reactor: timers. Times are tenths of a millisecond."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

UNITS_PER_SECOND = 10_000
UNITS_PER_MILLISECOND = 10


class Timer(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Whether it has neither been made nor cancelled."""

    def cancel(self) -> None:
        """Do not make it; only while it is active."""


class TimerScheduler(Protocol):
    """Makes calls later; Twisted's reactor is one."""

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, callable: Callable[..., object], /, *args: Any
    ) -> Timer:
        """Call after `delay` seconds."""
