"""The planner's decisions: which loans it counts, and what it grants out of them."""

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
    IDLE_REQUEST_DURATIONS,
    MAX_LOANS,
    REQUESTS_PER_DURATION,
    WHOLE,
    QuotaGrant,
    QuotaKey,
    QuotaRequest,
    QuotaTimings,
)

MIN_GRANT_DIVISOR = 4  # a grant lasts at least the longest duration divided by this
MAX_KNOWN_LOANS = 2 * MAX_LOANS  # counted loans of one share


@dataclass(frozen=True, slots=True)
class UnsolicitedGrant:
    """A grant that a gateway did not request.

    It grants no share and only asks the gateway to lend.
    """

    gateway: str
    grant: QuotaGrant


class QuotaPlanner:
    """One run of the planner, under one epoch.

    Args:
        epoch: The epoch of this run; no two runs have the same.
        timings: Timings of loans and grants; the gateways have the same.
        max_gateways: The most gateways that are tracked, which bounds the memory.
        max_quotas: The most quotas that are tracked, which bounds the memory.

    Attributes:
        frozen: Whether plans stay as they are.
        drained: Gateways whose wanted share counts as 0.
        connected: Gateways that are connected, even if they send no requests.
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
        """Drop quotas without recent requests, and gateways without shares."""
        for key, quota in list(self.quotas.items()):
            shares = quota.shares.values()
            if all(share.is_expired(now, self.timings) for share in shares):
                del self.quotas[key]
        if len(self.incarnations) > self.max_gateways // 2:
            held = {name for quota in self.quotas.values() for name in quota.shares}
            self.incarnations = {
                name: incarnation
                for name, incarnation in self.incarnations.items()
                if name in held
            }

    def on_request(self, request: QuotaRequest, now: int) -> QuotaGrant | None:
        """Record a request and return its grant; None if it is stale or invalid."""
        if not self._is_valid(request, now):
            return None
        newest_incarnation = self.incarnations.get(request.gateway, 0)
        if request.incarnation < newest_incarnation:
            return None
        if request.incarnation > newest_incarnation:
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
            return None  # an older request that was overtaken by a newer one
        share.requested_at = request.sent_at
        share.reported_at = now
        share.wanted = 0 if request.gateway in self.drained else request.wanted
        if request.epoch == self.epoch:
            self.count_loans(share, request, now)
        return self._grant(request, quota, share, now)

    def _is_valid(self, request: QuotaRequest, now: int) -> bool:
        """Return whether a request has valid values and there is room for it."""
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
        """Record a gateway's new incarnation.

        Its loans stand, since it uses no more than the floor after its start. It has
        lost its grants, but may have used them until just now, so that they stay
        counted until their end.
        """
        self.incarnations[gateway] = incarnation
        for quota in self.quotas.values():
            share = quota.shares.get(gateway)
            if share is not None:
                share.requested_at = 0

    def count_loans(self, share: QuotaShare, request: QuotaRequest, now: int) -> None:
        """Count the loans that a request reports.

        A loan is certain to stand for the longest duration, adjusted for drift, from
        the planner time in the grant that asked for it, since the gateway made the loan
        after that. Loans that were counted before remain certain; one is kept unless
        another loan is as large and ends no earlier.
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
        """Return how much of a lent sum may be granted to a gateway.

        Grants that other gateways may hold are subtracted.
        """
        return lent - (quota.granted - share.granted(now))

    def _grant(
        self, request: QuotaRequest, quota: SharedQuota, share: QuotaShare, now: int
    ) -> QuotaGrant:
        """Return the grant for a request: the planned share as far as loans back it."""
        if now - quota.planned_at >= PLAN_INTERVAL:
            quota.planned_at = now
            if not self.frozen:
                plan_quota(quota, self.timings, now, self.connected)
                self._ask_to_lend(request.key, quota, now)
            quota.recompute_totals(now)
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
        """Return the longest time until a gateway requests an idle quota again."""
        if quota.contended:
            return self.timings.max_duration // REQUESTS_PER_DURATION
        return self.timings.max_duration * IDLE_REQUEST_DURATIONS

    def _ask_to_lend(self, key: QuotaKey, quota: SharedQuota, now: int) -> None:
        """Ask gateways to lend that have not requested a contended quota recently.

        This way 150 gateways need not send frequent requests for 400 idle volumes. The
        cost: a volume whose traffic resumes waits one message longer for its share.
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
        """Return and clear the unsolicited grants; the caller sends them."""
        grants = self._unsolicited
        self._unsolicited = []
        return grants

    def _largest_grant(
        self, quota: SharedQuota, share: QuotaShare, now: int
    ) -> tuple[int, int]:
        """Return the share and duration of the largest grant that loans back.

        Among grants of the same share the longest is chosen.
        """
        max_duration = self.timings.max_duration
        granted = 0
        duration = max_duration
        for lent in quota.lent:
            remaining = self.timings.min_local_duration(lent.until - now)
            if remaining < max_duration // MIN_GRANT_DIVISOR:
                break
            available = self.available(quota, share, now, lent.share)
            candidate = min(available, share.to_grant)
            if candidate > granted:
                granted = candidate
                duration = min(remaining, max_duration)
            if granted == share.to_grant:
                break
        return granted, duration
