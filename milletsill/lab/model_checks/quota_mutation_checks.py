"""Guards of shared quotas; the model check must fail without any one of them."""

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
    """Count loans that end before the grant."""
    standing = sum(each.lent(now) for each in quota.shares.values())
    return standing - (quota.granted - share.granted(now))


def _ignore_other_grants(
    self: QuotaPlanner, quota: SharedQuota, share: QuotaShare, now: int, lent: int
) -> int:
    """Ignore grants that other gateways hold."""
    return lent


def _count_newest_grant(self: QuotaShare, now: int) -> int:
    """Count the newest grant alone, though an older, larger one may have arrived."""
    return self.grants[-1].share if self.grants and now < self.grants[-1].until else 0


def _grant_from_receipt(self: QuotaLedger, grant: QuotaGrant, now: int) -> GrantOutcome:
    """Count the duration of a grant from its receipt."""
    outcome = _on_grant(self, grant, now)
    if outcome is GrantOutcome.ACCEPTED:
        self.holdings[grant.key].granted_until = now + grant.duration
    return outcome


def _accept_expired(self: QuotaLedger, grant: QuotaGrant, now: int) -> GrantOutcome:
    """Accept an expired grant, and count its duration from its receipt."""
    holding = self.holdings[grant.key]
    outcome = _on_grant(self, grant, now)
    if outcome is GrantOutcome.EXPIRED:
        holding.granted = grant.granted
        holding.granted_until = now + grant.duration
    return outcome


def _count_loans_from_now(
    self: QuotaPlanner, share: QuotaShare, request: QuotaRequest, now: int
) -> None:
    """Count the duration of a loan from the planner's receipt of the request."""
    until = now + self.timings.max_duration
    share.loans = [TimedShare(loan.share, until) for loan in request.loans]


def _replace_loans(self: QuotaHolding, loan: QuotaLoan, now: int) -> None:
    """Reduce a standing loan when the planner asks for a smaller one."""
    self.loans = [loan]


def _lend_twice(
    self: QuotaLedger, holding: QuotaHolding, grant: QuotaGrant, now: int
) -> None:
    """Lend to one epoch a share that is already lent to another."""
    holding.lent_epoch = self.epoch
    share = min(grant.to_lend, holding.even_share - holding.floor)
    ends_at = now + self.timings.max_duration
    holding.add_loan(QuotaLoan(share, ends_at, grant.planner_time), now)


def _use_all_after_restart(self: QuotaLedger, key: QuotaKey, now: int) -> int:
    """Use the whole even share right after a restart."""
    return self.holdings[key].share(now)


_on_grant = QuotaLedger.on_grant
MUTATIONS: dict[str, tuple[type, str, Callable[..., Any]]] = {
    "loans outlast the grants that they back": (
        QuotaPlanner,
        "available",
        _count_all_loans,
    ),
    "grants to other gateways are subtracted": (
        QuotaPlanner,
        "available",
        _ignore_other_grants,
    ),
    "older unexpired grants are counted": (QuotaShare, "granted", _count_newest_grant),
    "grants last from the request": (QuotaLedger, "on_grant", _grant_from_receipt),
    "expired grants are rejected": (QuotaLedger, "on_grant", _accept_expired),
    "loans are counted from the grant that asked for them": (
        QuotaPlanner,
        "count_loans",
        _count_loans_from_now,
    ),
    "loans are not reduced": (QuotaHolding, "add_loan", _replace_loans),
    "loans are to one epoch at a time": (QuotaLedger, "lend", _lend_twice),
    "only the floor is used after a restart": (
        QuotaLedger,
        "share",
        _use_all_after_restart,
    ),
}


@contextmanager
def without(guard: str) -> Iterator[None]:
    """Run with one guard disabled."""
    owner, name, replacement = MUTATIONS[guard]
    with mock.patch.object(owner, name, replacement):
        yield
