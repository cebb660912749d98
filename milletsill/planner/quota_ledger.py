"""A gateway's quota ledger: usable shares, loans and accepted grants."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from milletsill.planner.quota_terms import (
    GRANT_GUARD,
    MAX_LOANS,
    NEVER,
    WHOLE,
    QuotaGrant,
    QuotaKey,
    QuotaLoan,
    QuotaRequest,
    QuotaTimings,
    ReportedLoan,
    even_share,
)


@dataclass(slots=True)
class QuotaHolding:
    """One gateway's holding of one quota.

    Attributes:
        even_share: The share that the gateway owns.
        floor: The part of the even share that the gateway never lends.
        loans: Ordered by decreasing share and increasing end.
        lent_epoch: The planner's run that the loans are made to.
        granted: Share granted in addition, until `granted_until`.
        granted_until: When the grant ends.
        sequence: Sequence number of the last grant.
    """

    even_share: int
    floor: int
    loans: list[QuotaLoan] = field(default_factory=list)
    lent_epoch: int = 0
    granted: int = 0
    granted_until: int = 0
    sequence: int = 0

    def lent(self, now: int) -> int:
        """Return the share that is lent now, which is the largest standing loan."""
        return next((loan.share for loan in self.loans if now < loan.ends_at), 0)

    def granted_share(self, now: int) -> int:
        """Return the share that is granted now."""
        return self.granted if now < self.granted_until else 0

    def share(self, now: int) -> int:
        """Return the share that the gateway may use now."""
        return self.even_share - self.lent(now) + self.granted_share(now)

    def change_times(self) -> list[int]:
        """Return the times at which `share` changes without a new grant or loan."""
        return [loan.ends_at for loan in self.loans] + [self.granted_until]

    def add_loan(self, loan: QuotaLoan, now: int) -> None:
        """Add a loan.

        No loan is reduced or shortened: a larger one stands beside a new smaller one
        until it ends. Beyond MAX_LOANS the last two are merged into one with the larger
        share, the later end and the earlier planner time.
        """
        kept = [
            each
            for each in self.loans
            if now < each.ends_at and each.share > loan.share
        ]
        if len(kept) >= MAX_LOANS:
            last = kept.pop()
            loan = QuotaLoan(last.share, loan.ends_at, last.planner_time)
        self.loans = kept + ([loan] if loan.share else [])


class GrantOutcome(Enum):
    """The outcome of a received grant; the values are metric labels."""

    ACCEPTED = "taken"
    STALE_EPOCH = "old_epoch"
    STALE_SEQUENCE = "old_sequence"
    EXPIRED = "too_late"
    INVALID = "senseless"


@dataclass(frozen=True, slots=True)
class QuotaForecast:
    """The share that a gateway may use if it receives no further grant.

    Attributes:
        share: The share that it may use now.
        until: Until when that share is guaranteed.
        least_after: The least share that it may use at any time from `until` on.
    """

    share: int
    until: int
    least_after: int


class QuotaLedger:
    """One gateway's holdings of all quotas.

    Args:
        name: The gateway's name.
        incarnation: The gateway's incarnation.
        timings: Timings of loans and grants; the planner has the same.
        started_at: The gateway's clock at its start. Until the longest duration has
            passed since then, the gateway uses no more than the floor and its grants,
            since its previous incarnation may have lent the rest.
        fresh: Whether there was no previous incarnation.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        timings: QuotaTimings,
        started_at: int,
        fresh: bool = False,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.timings = timings
        self.restricted_until = 0 if fresh else started_at + timings.max_duration
        self.epoch = 0
        self.holdings: dict[QuotaKey, QuotaHolding] = {}

    def track(self, key: QuotaKey, gateways: int) -> QuotaHolding:
        """Return the holding of a quota, created on first use.

        Args:
            key: The quota.
            gateways: Number of gateways that share it.
        """
        holding = self.holdings.get(key)
        if holding is None:
            share = even_share(gateways)
            holding = QuotaHolding(share, int(share * self.timings.floor_share))
            self.holdings[key] = holding
        return holding

    def share(self, key: QuotaKey, now: int) -> int:
        """Return the share of a quota that may be used now, in millionths."""
        holding = self.holdings[key]
        if now < self.restricted_until:
            return holding.floor + holding.granted_share(now)
        return holding.share(now)

    def _lendable(self, holding: QuotaHolding, now: int) -> int:
        """Return how much may be lent to the present epoch.

        Nothing may be lent while the gateway is restricted after a restart, or while a
        loan to another epoch stands.
        """
        if now < self.restricted_until:
            return 0
        if holding.lent_epoch != self.epoch and holding.lent(now):
            return 0
        return holding.even_share - holding.floor

    def forecast(self, key: QuotaKey, now: int) -> QuotaForecast:
        """Return the shares that the scheduler may use until the next forecast.

        The forecast holds however late the next one comes.
        """
        holding = self.holdings[key]
        times = (*holding.change_times(), self.restricted_until)
        later = [time for time in times if time > now]
        share = self.share(key, now)
        if not later:
            return QuotaForecast(share, NEVER, share)
        least_after = min(self.share(key, time) for time in later)
        return QuotaForecast(share, min(later), least_after)

    def is_idle(self, key: QuotaKey, now: int) -> bool:
        """Return whether no loan, grant or restart restriction is left.

        The holding of an idle quota may be dropped.
        """
        times = (*self.holdings[key].change_times(), self.restricted_until)
        return now >= max(times)

    def make_request(self, key: QuotaKey, wanted: int, now: int) -> QuotaRequest:
        """Return the request for a share of a quota."""
        holding = self.holdings[key]
        loans = tuple(
            ReportedLoan(loan.share, loan.planner_time)
            for loan in holding.loans
            if now < loan.ends_at and holding.lent_epoch == self.epoch
        )
        return QuotaRequest(
            self.name,
            self.incarnation,
            self.epoch,
            key,
            wanted,
            holding.even_share,
            loans,
            now,
        )

    def accept_epoch(self, epoch: int) -> bool:
        """Accept a planner's epoch unless it is older than the newest accepted."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.epoch = epoch
            for holding in self.holdings.values():
                holding.sequence = 0
        return True

    def on_grant(self, grant: QuotaGrant, now: int) -> GrantOutcome:
        """Accept a grant of this epoch if it is newer than the last and not expired."""
        holding = self.holdings.get(grant.key)
        if holding is None or not self._is_valid(grant, now):
            return GrantOutcome.INVALID
        if grant.epoch != self.epoch:
            return GrantOutcome.STALE_EPOCH
        if grant.sequence <= holding.sequence:
            return GrantOutcome.STALE_SEQUENCE
        holding.sequence = grant.sequence
        expires_at = grant.requested_at + grant.duration
        if now >= expires_at:
            # An expired grant is not used, whatever delayed it. The loan that it asks
            # for is still made, since a loan starts now.
            self.lend(holding, grant, now)
            return GrantOutcome.EXPIRED
        holding.granted = grant.granted
        holding.granted_until = expires_at - GRANT_GUARD
        self.lend(holding, grant, now)
        return GrantOutcome.ACCEPTED

    def _is_valid(self, grant: QuotaGrant, now: int) -> bool:
        return (
            grant.incarnation == self.incarnation
            and grant.requested_at <= now
            and 0 < grant.duration <= self.timings.max_duration
            and 0 <= grant.granted <= WHOLE
            and 0 <= grant.to_lend <= WHOLE
        )

    def lend(self, holding: QuotaHolding, grant: QuotaGrant, now: int) -> None:
        """Lend the share that a grant asks for, for the longest duration from now.

        All loans of a holding are to one epoch at a time.
        """
        if holding.lent(now) and holding.lent_epoch != self.epoch:
            return
        if holding.lent_epoch != self.epoch:
            holding.loans = []
            holding.lent_epoch = self.epoch
        share = min(grant.to_lend, self._lendable(holding, now))
        ends_at = now + self.timings.max_duration
        holding.add_loan(QuotaLoan(share, ends_at, grant.planner_time), now)
