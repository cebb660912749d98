"""Bounds how many final answers get a line of the log."""

from __future__ import annotations

SECOND = 10_000  # in tenths of a millisecond


class AnswerLogLimiter:
    """A token bucket: so many lines a second, the rest are counted into the next."""

    def __init__(self, lines_per_second: float) -> None:
        self.rate = lines_per_second
        self.capacity = max(lines_per_second, 1.0)
        self.tokens = self.capacity
        self.refilled_at = 0
        self.suppressed = 0

    def take(self, now: int) -> int | None:
        """Return how many answers were suppressed since the last line.

        None where this one is suppressed too.
        """
        refill = self.rate * (now - self.refilled_at) / SECOND
        self.tokens = min(self.tokens + refill, self.capacity)
        self.refilled_at = now
        if self.tokens < 1 or not self.rate:
            self.suppressed += 1
            return None
        self.tokens -= 1
        suppressed = self.suppressed
        self.suppressed = 0
        return suppressed
