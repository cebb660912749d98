"""Rate limit for the log lines about final answers."""

from __future__ import annotations

TICKS_PER_SECOND = 10_000


class AnswerLogLimiter:
    """A token bucket that allows a number of log lines per second.

    The number of suppressed lines is reported with the next allowed line.
    """

    def __init__(self, lines_per_second: float) -> None:
        self.rate = lines_per_second
        self.capacity = max(lines_per_second, 1.0)
        self.tokens = self.capacity
        self.refilled_at = 0
        self.suppressed = 0

    def take(self, now: int) -> int | None:
        """Return how many answers were suppressed since the last log line.

        Return None if this answer must be suppressed too.
        """
        refill = self.rate * (now - self.refilled_at) / TICKS_PER_SECOND
        self.tokens = min(self.tokens + refill, self.capacity)
        self.refilled_at = now
        if self.tokens < 1 or not self.rate:
            self.suppressed += 1
            return None
        self.tokens -= 1
        suppressed = self.suppressed
        self.suppressed = 0
        return suppressed
