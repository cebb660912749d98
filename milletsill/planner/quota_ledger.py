"""A gateway's quota ledger: what it may use, what it lends, which grants it accepts."""

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
    """What one gateway has of one quota.

    Attributes:
        even_share: What it owns.
        floor: What of that it never lends.
        loans: The largest first, each shorter than the next, which are smaller.
        lent_epoch: The planner's run that they are lent to.
        granted: On top, until `granted_until`.
        granted_until: When the grant ends.
        sequence: Of the last grant.
    """

    even_share: int
    floor: int
    loans: list[QuotaLoan] = field(default_factory=list)
    lent_epoch: int = 0
    granted: int = 0
    granted_until: int = 0
    sequence: int = 0

    def lent(self, now: int) -> int:
        """Return what is lent now."""
        return next((loan.share for loan in self.loans if now < loan.ends_at), 0)

    def granted_share(self, now: int) -> int:
        """Return what is granted now."""
        return self.granted if now < self.granted_until else 0

    def share(self, now: int) -> int:
        """Return what the gateway may use now."""
        return self.even_share - self.lent(now) + self.granted_share(now)

    def change_times(self) -> list[int]:
        """Return when `share` changes by itself."""
        return [loan.ends_at for loan in self.loans] + [self.granted_until]

    def add_loan(self, loan: QuotaLoan, now: int) -> None:
        """Lend once more.

        No loan is made smaller or shorter: a larger one stays beside a new smaller one
        until its end. Beyond MAX_LOANS the two last become one, as large and as long as
        either.
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
    """What becomes of a grant; the values are metric labels."""

    ACCEPTED = "taken"
    STALE_EPOCH = "old_epoch"
    STALE_SEQUENCE = "old_sequence"
    EXPIRED = "too_late"
    INVALID = "senseless"


@dataclass(frozen=True, slots=True)
class QuotaForecast:
    """What a gateway may use of a quota if it hears nothing more.

    Attributes:
        share: What it may use now.
        until: Until when that surely holds.
        least_after: The least that it may use at any later moment.
    """

    share: int
    until: int
    least_after: int


class QuotaLedger:
    """What one gateway holds of all quotas.

    Args:
        name: The gateway's name.
        incarnation: Its start.
        timings: The same as the planner's.
        started_at: Its clock at its start. Until the longest duration has passed since,
            it has the floor alone, for its former incarnation may have lent the rest.
        fresh: Whether there was no former incarnation.
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
        """Return the holding of a quota that so many gateways share; made once."""
        holding = self.holdings.get(key)
        if holding is None:
            share = even_share(gateways)
            holding = QuotaHolding(share, int(share * self.timings.floor_share))
            self.holdings[key] = holding
        return holding

    def share(self, key: QuotaKey, now: int) -> int:
        """Return what may be used of a quota now, in millionths."""
        holding = self.holdings[key]
        if now < self.restricted_until:
            return holding.floor + holding.granted_share(now)
        return holding.share(now)

    def _lendable(self, holding: QuotaHolding, now: int) -> int:
        """Return how much may be lent to the present epoch.

        Nothing after a start, and nothing of what is lent to another epoch.
        """
        if now < self.restricted_until:
            return 0
        if holding.lent_epoch != self.epoch and holding.lent(now):
            return 0
        return holding.even_share - holding.floor

    def forecast(self, key: QuotaKey, now: int) -> QuotaForecast:
        """Return what the scheduler may rely on, however late it hears the next."""
        holding = self.holdings[key]
        times = (*holding.change_times(), self.restricted_until)
        later = [time for time in times if time > now]
        share = self.share(key, now)
        if not later:
            return QuotaForecast(share, NEVER, share)
        least_after = min(self.share(key, time) for time in later)
        return QuotaForecast(share, min(later), least_after)

    def is_idle(self, key: QuotaKey, now: int) -> bool:
        """Return whether nothing is lent, granted or restricted, so it may go."""
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
        """Take a planner's epoch, unless it is older than the newest heard."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.epoch = epoch
            for holding in self.holdings.values():
                holding.sequence = 0
        return True

    def on_grant(self, grant: QuotaGrant, now: int) -> GrantOutcome:
        """Take a grant if it is of this epoch, newer than the last, and not over."""
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
            # A grant that comes later than it lasts is not used, whatever held it up.
            # What it asks to lend is lent: that is a promise from now.
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
        """Lend what a grant asks for, for the longest duration from now.

        A holding is lent to one epoch at a time.
        """
        if holding.lent(now) and holding.lent_epoch != self.epoch:
            return
        if holding.lent_epoch != self.epoch:
            holding.loans = []
            holding.lent_epoch = self.epoch
        share = min(grant.to_lend, self._lendable(holding, now))
        ends_at = now + self.timings.max_duration
        holding.add_loan(QuotaLoan(share, ends_at, grant.planner_time), now)
