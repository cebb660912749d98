"""Sends for a volume stay within this gateway's share of its rate limit.

This is rule 7 in docs/design.md.
"""

from milletsill.interface import QuotaKind
from milletsill.scheduler.constants import TICKS_PER_SECOND
from milletsill.scheduler.quota_shares import QuotaShares
from milletsill.scheduler.records import QueuedRequest, VolumeState


class RateLimiter:
    """Charges the first attempt of each request to its volume's limit."""

    def __init__(self, shares: QuotaShares) -> None:
        self._shares = shares

    def wait_time(self, request: QueuedRequest, now: int) -> int:
        """Return 0 if the limit admits the request now, else how long to wait."""
        volume = request.volume
        limit_rate = volume.plan.limit_rate
        if not limit_rate or request.attempts:
            return 0
        divisor = self._divisor(volume, now)
        missing = request.units - volume.fill_limit(divisor, now)
        if missing <= 0:
            return 0
        return int(missing * TICKS_PER_SECOND / (limit_rate / divisor)) + 1

    def charge(self, request: QueuedRequest) -> None:
        """Charge a first attempt to its volume's limit."""
        volume = request.volume
        if volume.plan.limit_rate:
            volume.limit.level -= request.units

    def settle(self, volume: VolumeState, now: int) -> None:
        """Refill a limit at the share in force until now, before the share changes."""
        if volume.plan.limit_rate:
            volume.fill_limit(self._divisor(volume, now), now)

    def _divisor(self, volume: VolumeState, now: int) -> float:
        return self._shares.divisor(
            QuotaKind.LIMIT,
            volume.id,
            volume.gateway_count,
            volume.limit.filled_at,
            now,
        )
