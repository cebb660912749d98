"""Calls at a given time of the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

CHECK_INTERVAL = 0.5  # seconds; the most by which a wall clock set back delays a call


def at(
    reactor: Any,
    when: float,
    call: Callable[..., None],
    *values: Any,
    now: Callable[[], float] = time.monotonic,
) -> None:
    """Make a call once the monotonic clock has reached `when` (seconds).

    The reactor's timers follow the wall clock. Checking twice a second keeps the faults
    of a run at their times when the wall clock is set forward or back meanwhile.
    """
    left = when - now()
    if left <= 0:
        call(*values)
    else:
        reactor.callLater(
            min(left, CHECK_INTERVAL), lambda: at(reactor, when, call, *values, now=now)
        )
