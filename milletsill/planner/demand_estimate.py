"""What a gateway wants of a quota, and when it asks for it."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.planner.quota_terms import (
    REQUESTS_PER_DURATION,
    SECOND,
    WHOLE,
    QuotaGrant,
    QuotaTimings,
)

# The estimate follows a higher rate within the first, a lower one within the second: a
# share that is given back too soon is asked for again with the next burst, and one that
# a single large request asks for is missed elsewhere.
RISE_TIME = 2 * SECOND
FALL_TIME = 3 * SECOND
MIN_SAMPLE_TIME = SECOND // 10


@dataclass(slots=True)
class DemandEstimate:
    """Units asked of one quota at one gateway.

    Attributes:
        rate: Units a second, smoothed.
        units: Units that came since `sampled_at`.
        sampled_at: When the rate was last updated.
        used_at: When units last came.
        request_due_at: When the quota is next asked for.
    """

    rate: float = 0.0
    units: float = 0.0
    sampled_at: int = 0
    used_at: int = 0
    request_due_at: int = 0

    def should_request(self, now: int, rate: float, timings: QuotaTimings) -> bool:
        """Return whether to ask now, and note when to ask again.

        A quota in use is asked for each time, an idle one so often that no loan runs
        out in between.
        """
        idle = rate <= 0 and now - self.used_at > timings.max_duration
        if idle and now < self.request_due_at:
            return False
        self.request_due_at = now + timings.max_duration // REQUESTS_PER_DURATION
        return True

    def on_grant(self, grant: QuotaGrant, now: int) -> None:
        """Note when to ask again while nothing is wanted.

        That is at once if something was lent, so that the planner may count on it.
        """
        if grant.to_lend and grant.ask_again_within <= 0:
            self.request_due_at = now
        else:
            self.request_due_at = now + max(grant.ask_again_within, 0)

    def add(self, units: float, now: int) -> None:
        """Count units that were asked for."""
        self.units += units
        self.used_at = now

    def update_rate(self, now: int) -> float:
        """Return the units a second as of now; called with each request."""
        elapsed = now - self.sampled_at
        if elapsed >= MIN_SAMPLE_TIME:
            latest = self.units * SECOND / elapsed
            smoothing = RISE_TIME if latest >= self.rate else FALL_TIME
            self.rate += (latest - self.rate) * min(elapsed / smoothing, 1.0)
            self.units = 0.0
            self.sampled_at = now
        return self.rate


def wanted_rate(rate: float, waiting: float) -> float:
    """Return the units a second that carry what arrives, and what waits in a second.

    Clients may ask for no more until they are answered: what arrives is then no more
    than what the present share lets through. The price: what waits for another reason
    (a slow node) asks for shares that it cannot use, for as long as it waits.
    """
    return rate + waiting


def share_for_rate(rate: float, whole_rate: float) -> int:
    """Return the share that carries a rate, both in units a second."""
    if whole_rate <= 0:
        return WHOLE
    return min(max(round(rate / whole_rate * WHOLE), 0), WHOLE)
