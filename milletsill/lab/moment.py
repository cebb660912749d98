"""Calls at a moment of the run's own clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

LOOK = 0.5  # seconds: a wall clock that is set back puts a call off by this at most


def at(
    reactor: Any,
    when: float,
    call: Callable[..., None],
    *values: Any,
    now: Callable[[], float] = time.monotonic,
) -> None:
    """Call once the monotonic clock has come to `when` (seconds).

    Guards a day's faults against a wall clock that is set on or back while it runs,
    since the reactor's timers follow that one. Harm: none, it looks twice a second.
    """
    left = when - now()
    if left <= 0:
        call(*values)
    else:
        reactor.callLater(
            min(left, LOOK), lambda: at(reactor, when, call, *values, now=now)
        )
