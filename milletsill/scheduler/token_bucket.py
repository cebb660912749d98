"""A token bucket whose rate and depth are passed with each refill."""

from milletsill.scheduler.constants import TICKS_PER_SECOND


class TokenBucket:
    """A level of units that refills at a rate, up to a depth."""

    __slots__ = ("level", "filled_at")

    def __init__(self, level: float, now: int) -> None:
        self.level = level
        self.filled_at = now

    def fill(self, now: int, rate: float, depth: float) -> float:
        """Refill at `rate` units per second since the last call; return the level."""
        filled = self.level + rate * (now - self.filled_at) / TICKS_PER_SECOND
        self.level = min(filled, depth)
        self.filled_at = now
        return self.level
