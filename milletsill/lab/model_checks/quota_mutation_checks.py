"""The planner's guards, each of which can be taken out for a check of the model."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from milletsill.planner.quota_ledger import GrantOutcome, QuotaHolding, QuotaLedger
from milletsill.planner.quota_plan import QuotaShare, SharedQuota, TimedShare
from milletsill.planner.quota_planner import QuotaPlanner
from milletsill.planner.quota_terms import (
    QuotaGrant,
    QuotaKey,
    QuotaLoan,
    QuotaRequest,
)


def _count_all_loans(
    self: QuotaPlanner, quota: SharedQuota, share: QuotaShare, now: int, lent: int
) -> int:
    """Count on loans that end before the grant."""
    standing = sum(each.lent(now) for each in quota.shares.values())
    return standing - (quota.granted - share.granted(now))


def _ignore_other_grants(
    self: QuotaPlanner, quota: SharedQuota, share: QuotaShare, now: int, lent: int
) -> int:
    """Forget what others hold."""
    return lent


def _count_newest_grant(self: QuotaShare, now: int) -> int:
    """Count the newest grant alone, though an older, larger one may have arrived."""
    return self.grants[-1].share if self.grants and now < self.grants[-1].until else 0


def _grant_from_receipt(self: QuotaLedger, grant: QuotaGrant, now: int) -> GrantOutcome:
    """Let a grant last from when it arrives."""
    outcome = _on_grant(self, grant, now)
    if outcome is GrantOutcome.ACCEPTED:
        self.holdings[grant.key].granted_until = now + grant.duration
    return outcome


def _accept_expired(self: QuotaLedger, grant: QuotaGrant, now: int) -> GrantOutcome:
    """Take a grant that comes after its end, and let it last from then."""
    holding = self.holdings[grant.key]
    outcome = _on_grant(self, grant, now)
    if outcome is GrantOutcome.EXPIRED:
        holding.granted = grant.granted
        holding.granted_until = now + grant.duration
    return outcome


def _count_loans_from_now(
    self: QuotaPlanner, share: QuotaShare, request: QuotaRequest, now: int
) -> None:
    """Count a loan from when the planner hears of it."""
    until = now + self.timings.max_duration
    share.loans = [TimedShare(loan.share, until) for loan in request.loans]


def _replace_loans(self: QuotaHolding, loan: QuotaLoan, now: int) -> None:
    """Make a loan smaller when the planner asks for less."""
    self.loans = [loan]


def _lend_twice(
    self: QuotaLedger, holding: QuotaHolding, grant: QuotaGrant, now: int
) -> None:
    """Lend to one epoch what another has."""
    holding.lent_epoch = self.epoch
    share = min(grant.to_lend, holding.even_share - holding.floor)
    ends_at = now + self.timings.max_duration
    holding.add_loan(QuotaLoan(share, ends_at, grant.planner_time), now)


def _use_all_after_restart(self: QuotaLedger, key: QuotaKey, now: int) -> int:
    """Take the whole even share at once after a start."""
    return self.holdings[key].share(now)


_on_grant = QuotaLedger.on_grant
MUTANTS: dict[str, tuple[type, str, Callable[..., Any]]] = {
    "loans that end too soon": (QuotaPlanner, "available", _count_all_loans),
    "grants to others": (QuotaPlanner, "available", _ignore_other_grants),
    "older grants": (QuotaShare, "granted", _count_newest_grant),
    "grants from receipt": (QuotaLedger, "on_grant", _grant_from_receipt),
    "grants past their end": (QuotaLedger, "on_grant", _accept_expired),
    "loans counted from hearing": (QuotaPlanner, "count_loans", _count_loans_from_now),
    "loans made smaller": (QuotaHolding, "add_loan", _replace_loans),
    "loans to two epochs": (QuotaLedger, "lend", _lend_twice),
    "floor after a start": (QuotaLedger, "share", _use_all_after_restart),
}


@contextmanager
def without(guard: str) -> Iterator[None]:
    """Run with one guard out."""
    owner, name, mutant = MUTANTS[guard]
    with mock.patch.object(owner, name, mutant):
        yield
