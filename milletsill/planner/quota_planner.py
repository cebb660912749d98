"""What the planner counts on, and what it grants out of that."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.planner.quota_plan import (
    PLAN_INTERVAL,
    QuotaShare,
    SharedQuota,
    TimedShare,
    plan_quota,
)
from milletsill.planner.quota_terms import (
    IDLE_DURATIONS,
    MAX_LOANS,
    REQUESTS_PER_DURATION,
    WHOLE,
    QuotaGrant,
    QuotaKey,
    QuotaRequest,
    QuotaTimings,
)

SHORTEST_GRANT = 4  # a grant lasts a fourth of the longest duration at least
MAX_KNOWN_LOANS = 2 * MAX_LOANS  # of one share


@dataclass(frozen=True, slots=True)
class UnsolicitedGrant:
    """A grant for a gateway that did not ask: of nothing, but for what to lend."""

    gateway: str
    grant: QuotaGrant


class QuotaPlanner:
    """One run of the planner, under one epoch.

    Args:
        epoch: Differs from that of each other run.
        timings: The same as the gateways'.
        max_gateways: Bounds the memory.
        max_quotas: Bounds the memory.

    Attributes:
        frozen: Plans stay as they are.
        drained: Gateways that shall want nothing.
        connected: Gateways that are there, though they may have nothing to ask.
    """

    def __init__(
        self,
        epoch: int,
        timings: QuotaTimings,
        max_gateways: int = 1000,
        max_quotas: int = 100_000,
    ) -> None:
        self.epoch = epoch
        self.timings = timings
        self.max_gateways = max_gateways
        self.max_quotas = max_quotas
        self.quotas: dict[QuotaKey, SharedQuota] = {}
        self.incarnations: dict[str, int] = {}  # the newest of each gateway
        self.frozen = False
        self.drained: frozenset[str] = frozenset()
        self.connected: set[str] = set()
        self._unsolicited: list[UnsolicitedGrant] = []

    def forget_idle(self, now: int) -> None:
        """Drop quotas long not asked for, and gateways of which nothing is left."""
        for key, quota in list(self.quotas.items()):
            shares = quota.shares.values()
            if all(share.is_forgotten(now, self.timings) for share in shares):
                del self.quotas[key]
        if len(self.incarnations) > self.max_gateways // 2:
            held = {name for quota in self.quotas.values() for name in quota.shares}
            self.incarnations = {
                name: incarnation
                for name, incarnation in self.incarnations.items()
                if name in held
            }

    def on_request(self, request: QuotaRequest, now: int) -> QuotaGrant | None:
        """Keep what a request says, and answer it; None for one that does not count."""
        if not self._is_valid(request, now):
            return None
        known = self.incarnations.get(request.gateway, 0)
        if request.incarnation < known:
            return None
        if request.incarnation > known:
            self._on_restart(request.gateway, request.incarnation)
        quota = self.quotas.get(request.key)
        if quota is None:
            quota = SharedQuota(request.even_share)
            self.quotas[request.key] = quota
        share = quota.shares.get(request.gateway)
        if share is None:
            share = QuotaShare(request.even_share)
            quota.shares[request.gateway] = share
        if request.sent_at < share.requested_at:
            return None  # an older request that came late
        share.requested_at = request.sent_at
        share.reported_at = now
        share.wanted = 0 if request.gateway in self.drained else request.wanted
        if request.epoch == self.epoch:
            self.count_loans(share, request, now)
        return self._grant(request, quota, share, now)

    def _is_valid(self, request: QuotaRequest, now: int) -> bool:
        """Return whether a request makes sense and there is room for it."""
        return (
            self._has_room_for(request)
            and 0 <= request.wanted <= WHOLE
            and 0 < request.even_share <= WHOLE
            and len(request.loans) <= MAX_LOANS + 1
            and all(
                0 <= loan.share <= request.even_share and loan.planner_time <= now
                for loan in request.loans
            )
        )

    def _has_room_for(self, request: QuotaRequest) -> bool:
        if (
            request.gateway not in self.incarnations
            and len(self.incarnations) >= self.max_gateways
        ):
            return False
        quota = self.quotas.get(request.key)
        if quota is None:
            return len(self.quotas) < self.max_quotas
        return quota.even_share == request.even_share

    def _on_restart(self, gateway: str, incarnation: int) -> None:
        """Take a gateway's new incarnation.

        It keeps its loans by staying at the floor. What it was granted is gone, but may
        have been used until just now, so that it stays counted until its end.
        """
        self.incarnations[gateway] = incarnation
        for quota in self.quotas.values():
            share = quota.shares.get(gateway)
            if share is not None:
                share.requested_at = 0

    def count_loans(self, share: QuotaShare, request: QuotaRequest, now: int) -> None:
        """Count on the loans that a request reports.

        A loan surely stands for the longest duration from the planner's own time that
        the gateway had heard before it made it. What was counted before stays true, and
        is kept as long as it says anything new.
        """
        duration = self.timings.min_local_duration(self.timings.max_duration)
        reported = [
            TimedShare(loan.share, loan.planner_time + duration)
            for loan in request.loans
        ]
        standing = {loan for loan in share.loans + reported if loan.until > now}
        share.loans = []
        largest = 0
        for loan in sorted(standing, key=lambda each: (-each.until, -each.share)):
            if loan.share > largest and len(share.loans) < MAX_KNOWN_LOANS:
                share.loans.append(loan)
                largest = loan.share

    def available(
        self, quota: SharedQuota, share: QuotaShare, now: int, lent: int
    ) -> int:
        """Return what may be granted out of so much lent, beside what others hold."""
        return lent - (quota.granted - share.granted(now))

    def _grant(
        self, request: QuotaRequest, quota: SharedQuota, share: QuotaShare, now: int
    ) -> QuotaGrant:
        """Answer a request with as much as is planned and lent, while it is lent."""
        if now - quota.planned_at >= PLAN_INTERVAL:
            quota.planned_at = now
            if not self.frozen:
                plan_quota(quota, self.timings, now, self.connected)
                self._ask_to_lend(request.key, quota, now)
            quota.recount(now)
        granted = 0
        duration = self.timings.max_duration
        if share.to_grant:
            granted, duration = self._largest_grant(quota, share, now)
        share.sequence += 1
        if granted:
            before = share.granted(now)
            until = now + self.timings.max_local_duration(duration)
            share.grants.append(TimedShare(granted, until))
            quota.granted += max(granted - before, 0)
        return QuotaGrant(
            self.epoch,
            request.incarnation,
            request.key,
            share.sequence,
            granted,
            duration,
            share.to_lend,
            request.sent_at,
            now,
            self._request_interval(quota),
        )

    def _request_interval(self, quota: SharedQuota) -> int:
        """Return within which time a gateway is to ask again for an idle quota."""
        if quota.contended:
            return self.timings.max_duration // REQUESTS_PER_DURATION
        return self.timings.max_duration * IDLE_DURATIONS

    def _ask_to_lend(self, key: QuotaKey, quota: SharedQuota, now: int) -> None:
        """Tell gateways that are quiet about a quota which others want what to lend.

        So 150 gateways need not ask often about 400 idle volumes. The price: a volume
        that wakes up waits one message longer for its share.
        """
        interval = self.timings.max_duration // REQUESTS_PER_DURATION
        for name, share in quota.shares.items():
            quiet = now - max(share.reported_at, share.notified_at) > interval
            has_room = len(self._unsolicited) < self.max_gateways
            if not (share.to_lend and quiet and has_room):
                continue
            share.notified_at = now
            share.sequence += 1
            grant = QuotaGrant(
                self.epoch,
                self.incarnations.get(name, 0),
                key,
                share.sequence,
                0,
                self.timings.max_duration,
                share.to_lend,
                share.requested_at,
                now,
                0,
            )
            self._unsolicited.append(UnsolicitedGrant(name, grant))

    def take_unsolicited(self) -> list[UnsolicitedGrant]:
        """Return the grants that nobody asked for, once; the caller sends them."""
        grants = self._unsolicited
        self._unsolicited = []
        return grants

    def _largest_grant(
        self, quota: SharedQuota, share: QuotaShare, now: int
    ) -> tuple[int, int]:
        """Return the largest grant that is safe, and its duration.

        Of several that are as large it is the longest.
        """
        max_duration = self.timings.max_duration
        granted = 0
        duration = max_duration
        for lent in quota.lent:
            remaining = self.timings.min_local_duration(lent.until - now)
            if remaining < max_duration // SHORTEST_GRANT:
                break
            available = self.available(quota, share, now, lent.share)
            candidate = min(available, share.to_grant)
            if candidate > granted:
                granted = candidate
                duration = min(remaining, max_duration)
            if granted == share.to_grant:
                break
        return granted, duration
