"""A token bucket whose rate and depth are given at each look."""

from milletsill.scheduler.constants import TICKS_PER_SECOND


class TokenBucket:
    """Units that fill up at a rate, as far as a depth."""

    __slots__ = ("level", "filled_at")

    def __init__(self, level: float, now: int) -> None:
        self.level = level
        self.filled_at = now

    def fill(self, now: int, rate: float, depth: float) -> float:
        """Add what has come since the last look, at units a second; the new level."""
        filled = self.level + rate * (now - self.filled_at) / TICKS_PER_SECOND
        self.level = min(filled, depth)
        self.filled_at = now
        return self.level
