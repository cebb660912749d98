"""A simulated clock: runs scheduled calls in the order of their times, without waiting.

Times are ticks of a tenth of a millisecond. Calls for the same time run in the order in
which they were scheduled.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MILLISECOND = 10
SECOND = 10_000
CHECK_INTERVAL = 1000  # ticks


class SimulatedClock:
    """Runs scheduled calls in simulated time.

    Attributes:
        now: The present time, in ticks.
        scheduled_count: How many calls were scheduled so far.
    """

    def __init__(self) -> None:
        self.now = 0
        self.scheduled_count = 0
        self._calls: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []

    def call_at(self, when: int, call: Callable[..., object], *values: Any) -> None:
        """Schedule a call at a simulated time."""
        self.scheduled_count += 1
        heapq.heappush(self._calls, (when, self.scheduled_count, call, values))

    def run(
        self,
        until: int,
        should_stop: Callable[[], bool] | None = None,
        check_interval: int = CHECK_INTERVAL,
    ) -> bool:
        """Run up to a time, or until `should_stop` returns True.

        Args:
            until: The time up to which calls are run, in ticks.
            should_stop: Called every `check_interval`, and at the end.
            check_interval: Ticks between two calls of `should_stop`.

        Returns:
            The last result of `should_stop`; False if there is none.
        """
        next_check = self.now + check_interval
        while self._calls and self._calls[0][0] <= until:
            scheduled = heapq.heappop(self._calls)
            when, _, call, values = scheduled
            while should_stop is not None and when >= next_check:
                self.now = next_check
                next_check += check_interval
                if should_stop():
                    heapq.heappush(self._calls, scheduled)
                    return True
            self.now = when
            call(*values)
        self.now = until
        return should_stop is not None and should_stop()
