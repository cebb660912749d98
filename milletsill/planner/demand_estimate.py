"""Estimate a gateway's demand for a quota, and decide when to request a share."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.planner.quota_terms import (
    REQUESTS_PER_DURATION,
    SECOND,
    WHOLE,
    QuotaGrant,
    QuotaTimings,
)

# Time constants of the estimate for a rising and a falling rate. Falling too fast gives
# back a share that the next burst needs again; rising too fast lets a single large
# request take a share that other gateways need.
RISE_TIME = 2 * SECOND
FALL_TIME = 3 * SECOND
MIN_SAMPLE_TIME = SECOND // 10


@dataclass(slots=True)
class DemandEstimate:
    """The units that one gateway's requests need of one quota.

    Attributes:
        rate: Smoothed rate in units per second.
        units: Units that arrived since `sampled_at`.
        sampled_at: When the rate was last updated.
        used_at: When units last arrived.
        request_due_at: When the next request for an idle quota is due.
    """

    rate: float = 0.0
    units: float = 0.0
    sampled_at: int = 0
    used_at: int = 0
    request_due_at: int = 0

    def should_request(self, now: int, rate: float, timings: QuotaTimings) -> bool:
        """Return whether to request a share now, and schedule the next request.

        A quota in use is requested in each round, an idle one often enough that no
        loan expires between two requests.
        """
        idle = rate <= 0 and now - self.used_at > timings.max_duration
        if idle and now < self.request_due_at:
            return False
        self.request_due_at = now + timings.max_duration // REQUESTS_PER_DURATION
        return True

    def on_grant(self, grant: QuotaGrant, now: int) -> None:
        """Schedule the next request for an idle quota.

        If the grant asks for a loan and sets no interval, the next request is due at
        once and reports the loan, so that the planner can grant out of it.
        """
        if grant.to_lend and grant.ask_again_within <= 0:
            self.request_due_at = now
        else:
            self.request_due_at = now + max(grant.ask_again_within, 0)

    def add(self, units: float, now: int) -> None:
        """Count the units of a request that arrived."""
        self.units += units
        self.used_at = now

    def update_rate(self, now: int) -> float:
        """Update the rate and return it; called in each round of requests."""
        elapsed = now - self.sampled_at
        if elapsed >= MIN_SAMPLE_TIME:
            latest = self.units * SECOND / elapsed
            smoothing = RISE_TIME if latest >= self.rate else FALL_TIME
            self.rate += (latest - self.rate) * min(elapsed / smoothing, 1.0)
            self.units = 0.0
            self.sampled_at = now
        return self.rate


def wanted_rate(rate: float, waiting: float) -> float:
    """Return the rate that serves arrivals and drains waiting units within a second.

    Clients may send nothing more until they are answered, so that the arrival rate
    alone never exceeds what the present share lets through. The cost: requests that
    wait for another reason (a slow node) claim shares that they cannot use while they
    wait.
    """
    return rate + waiting


def share_for_rate(rate: float, quota_rate: float) -> int:
    """Return the share of the quota that serves a rate.

    Args:
        rate: The rate to serve, in units per second.
        quota_rate: The rate of the whole quota, in units per second.
    """
    if quota_rate <= 0:
        return WHOLE
    return min(max(round(rate / quota_rate * WHOLE), 0), WHOLE)
