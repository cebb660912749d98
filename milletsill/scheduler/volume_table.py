"""The volumes in use, and which requests their reserves cover."""

from milletsill.interface import QuotaKind, Request
from milletsill.scheduler.constants import MAX_KEPT_VOLUMES, OPEN_CLIENT_TIMEOUTS
from milletsill.scheduler.quota_shares import QuotaShares
from milletsill.scheduler.records import QueuedRequest, VolumeState
from milletsill.scheduler.state import SchedulerState


class VolumeTable:
    """The volumes by id, the least recently used first.

    Idle volumes are evicted to bound the memory of a gateway that runs for months. The
    cost is that the surplus window of an evicted volume starts again at one.
    """

    def __init__(self, state: SchedulerState, shares: QuotaShares) -> None:
        config = state.config
        self.by_id: dict[int, VolumeState] = {}
        self._state = state
        self._shares = shares
        self._gateway_count = config.gateway_count
        self._share_weight = config.share_weight
        self._largest_request = (
            config.largest_request_units or config.mean_request_units
        )

    def use(self, request: Request, now: int) -> VolumeState:
        """Return the volume of a request that has just arrived.

        If the request does not say how many gateways share its volume, all may share
        it. This assumption keeps the sum of all shares within the volume's limit.
        """
        gateway_count = request.sharing_gateways or self._gateway_count
        volume = self.by_id.pop(request.volume, None)
        if volume is None:
            plan = self._state.service_plans[request.service_plan]
            started_at = self._state.started_at
            volume = VolumeState(request.volume, plan, gateway_count, started_at)
        self.by_id[request.volume] = volume
        volume.used_at = now
        volume.gateway_count = max(volume.gateway_count, gateway_count)
        return volume

    def charge_reserve(self, request: QueuedRequest, now: int) -> None:
        """Decide whether a volume's reserve covers a request, and charge it if so."""
        volume = request.volume
        rate = self._reserve_rate(volume, now)
        level = volume.reserve.fill(now, rate, rate + self._largest_request)
        request.is_reserved = level >= request.units or not self._state.has_reserves
        if request.is_reserved:
            volume.reserve.level -= request.units
        else:
            request.weight *= self._share_weight

    def evict_idle(self, now: int) -> None:
        """Evict the least recently used volume.

        It is kept unless it is idle and a new record of it would allow no more. While
        there are many, one without an open request counts as idle.
        """
        volume = next(iter(self.by_id.values()), None)
        if volume is None:
            return
        idle_timeout = self._state.idle_timeout
        if len(self.by_id) > MAX_KEPT_VOLUMES:
            idle_timeout = OPEN_CLIENT_TIMEOUTS * self._state.longest_client_timeout
        if now - volume.used_at <= idle_timeout:
            return
        del self.by_id[volume.id]
        has_share = self._shares.is_granted(QuotaKind.LIMIT, volume.id)
        if has_share or not volume.is_evictable(now, self._largest_request):
            self.by_id[volume.id] = volume
            volume.used_at = now

    def _reserve_rate(self, volume: VolumeState, now: int) -> float:
        if not self._shares.is_granted(QuotaKind.RESERVE, volume.id):
            return volume.estimated_reserve_rate()
        divisor = self._shares.divisor(
            QuotaKind.RESERVE, volume.id, volume.gateway_count, now, now
        )
        return volume.plan.reserved_rate / divisor
