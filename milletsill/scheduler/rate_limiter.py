"""Rule 7: what is sent of a volume stays under this gateway's part of its limit."""

from milletsill.interface import QuotaKind
from milletsill.scheduler.constants import TICKS_PER_SECOND
from milletsill.scheduler.quota_shares import QuotaShares
from milletsill.scheduler.records import QueuedRequest, VolumeState


class RateLimiter:
    """Charges the first attempt of each request to its volume's limit."""

    def __init__(self, shares: QuotaShares) -> None:
        self._shares = shares

    def wait_time(self, request: QueuedRequest, now: int) -> int:
        """0 if the limit lets the request go now, else how long to wait."""
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
        """Count a first attempt."""
        volume = request.volume
        if volume.plan.limit_rate:
            volume.limit.level -= request.units

    def settle(self, volume: VolumeState, now: int) -> None:
        """Fill a limit at the part that held until now, before another holds."""
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
