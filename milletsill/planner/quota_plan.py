"""Plan how much each gateway lends of a quota and how much it is granted."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from milletsill.planner.quota_terms import IDLE_REQUEST_DURATIONS, SECOND, QuotaTimings

PLAN_INTERVAL = SECOND // 2
MAX_LOAN_ENDS = 64  # ends of loans that are considered for a grant

SMOOTHING_FACTOR = 0.5  # weight of a new report in the smoothed want
# A report counts at most as the smoothed want plus this factor times the larger of the
# smoothed want and the even share.
MAX_GROWTH_FACTOR = 2
HEADROOM_FACTOR = 1.2  # planned share relative to the wanted share
MAX_LEND_INCREASE = 0.25  # largest increase of a loan in one plan, of the even share
MIN_LEND_CHANGE = 0.02  # of the even share; smaller changes are ignored
# Fraction of the unwanted share that goes to gateways that want more than their even
# share.
SPARE_FRACTION_GRANTED = 0.5
# A share expires after this many longest durations without a request.
EXPIRY_DURATIONS = 3 * IDLE_REQUEST_DURATIONS


class TimedShare(NamedTuple):
    """A share until a time on the planner's clock."""

    share: int
    until: int


@dataclass(slots=True)
class QuotaShare:
    """The planner's record of one gateway's share of one quota.

    Attributes:
        even_share: The share that the gateway owns.
        wanted: The share that it last requested.
        requested_at: When it sent its last request, on its clock.
        smoothed_want: The wanted share, smoothed over reports.
        loans: Its loans, each until its earliest possible end.
        to_lend: The share that the plan asks it to lend.
        to_grant: The share that the plan grants it.
        grants: Grants that may still be in use, each until its latest possible end.
        sequence: Sequence number of the last grant.
        reported_at: When its last request arrived, on the planner's clock.
        notified_at: When it last received an unsolicited grant.
    """

    even_share: int
    wanted: int = 0
    requested_at: int = 0
    smoothed_want: float = 0.0
    loans: list[TimedShare] = field(default_factory=list)
    to_lend: int = 0
    to_grant: int = 0
    grants: list[TimedShare] = field(default_factory=list)
    sequence: int = 0
    reported_at: int = 0
    notified_at: int = 0

    def lent(self, until: int) -> int:
        """Return the share that is certain to be lent until a time."""
        return max(
            (loan.share for loan in self.loans if loan.until >= until), default=0
        )

    def granted(self, now: int) -> int:
        """Return the most that the gateway may hold of grants now."""
        self.grants = [grant for grant in self.grants if now < grant.until]
        return max((grant.share for grant in self.grants), default=0)

    def is_expired(self, now: int, timings: QuotaTimings) -> bool:
        """Return whether the gateway sent no request for long and holds no grant."""
        silent = now - self.reported_at
        return silent > timings.max_duration * EXPIRY_DURATIONS and not self.granted(
            now
        )


@dataclass(slots=True)
class SharedQuota:
    """One quota and its shares.

    Attributes:
        even_share: The share that each gateway owns.
        shares: The shares by gateway.
        planned_at: When the quota was last planned.
        contended: Whether any gateway wants more than its even share.
        granted: Upper bound of the sum of all grants that may be in use.
        lent: For each end of a loan, latest first, the sum of the shares that are
            certain to be lent until then.
    """

    even_share: int
    shares: dict[str, QuotaShare] = field(default_factory=dict)
    planned_at: int = -1 << 60
    contended: bool = False
    granted: int = 0
    lent: list[TimedShare] = field(default_factory=list)

    def recompute_totals(self, now: int) -> None:
        """Recompute the sums of grants and loans.

        Between two calls `granted` only grows and new loans are not added. Both are
        safe: a counted loan stands until its end, and an expired grant that is still
        counted only reduces what can be granted.
        """
        self.granted = sum(share.granted(now) for share in self.shares.values())
        loans = sorted(
            (
                (loan.until, loan.share, name)
                for name, share in self.shares.items()
                for loan in share.loans
            ),
            reverse=True,
        )
        largest: dict[str, int] = {}
        self.lent = []
        total = 0
        for until, lent, name in loans:
            total += max(lent - largest.get(name, 0), 0)
            largest[name] = max(lent, largest.get(name, 0))
            self.lent.append(TimedShare(total, until))
        if len(self.lent) > MAX_LOAN_ENDS:
            self.lent = self.lent[:: len(self.lent) // MAX_LOAN_ENDS + 1]


def max_min_fair(wants: Mapping[str, int], whole: int) -> dict[str, int]:
    """Divide a whole by max-min fairness.

    Each name gets what it wants, or an even part of what is left.
    """
    fair: dict[str, int] = {}
    left = whole
    smallest_first = sorted(wants, key=lambda name: (wants[name], name))
    for place, name in enumerate(smallest_first):
        fair[name] = min(wants[name], left // (len(smallest_first) - place))
        left -= fair[name]
    return fair


def plan_quota(
    quota: SharedQuota,
    timings: QuotaTimings,
    now: int,
    connected: Container[str] = (),
) -> None:
    """Set how much each gateway is asked to lend of a quota and how much it is granted.

    The share of a gateway that is silent and not connected is not replanned.
    """
    _drop_expired_shares(quota, timings, now)
    shares = {
        name: share
        for name, share in quota.shares.items()
        if name in connected or now - share.reported_at <= timings.max_duration
    }
    quota.contended = any(share.wanted > share.even_share for share in shares.values())
    if not shares:
        return
    wants = {
        name: _update_smoothed_want(share, timings) for name, share in shares.items()
    }
    planned = _divide_quota(shares, wants)
    total_gain = sum(
        max(planned[name] - share.even_share, 0) for name, share in shares.items()
    )
    total_spare = sum(
        max(share.even_share - planned[name], 0) for name, share in shares.items()
    )
    for name, share in shares.items():
        spare = max(share.even_share - planned[name], 0)
        to_lend = (
            spare * min(total_gain, total_spare) // total_spare if total_spare else 0
        )
        share.to_lend = _limit_lending(share, to_lend, timings)
        share.to_grant = max(planned[name] - share.even_share, 0)


def _drop_expired_shares(quota: SharedQuota, timings: QuotaTimings, now: int) -> None:
    expired = [
        name for name, share in quota.shares.items() if share.is_expired(now, timings)
    ]
    for name in expired:
        del quota.shares[name]


def _update_smoothed_want(share: QuotaShare, timings: QuotaTimings) -> int:
    """Update the smoothed want from the last report, and return it.

    A single report that is a thousand times too high, or reports that jump each second,
    change it little at a time. The cost: a real surge waits a few rounds for its share.
    """
    growth = max(share.even_share, share.smoothed_want) * MAX_GROWTH_FACTOR
    want = min(share.wanted * HEADROOM_FACTOR, share.smoothed_want + growth)
    share.smoothed_want += (want - share.smoothed_want) * SMOOTHING_FACTOR
    floor = int(share.even_share * timings.floor_share)
    return max(int(share.smoothed_want), floor + 1)


def _divide_quota(
    shares: Mapping[str, QuotaShare], wants: Mapping[str, int]
) -> dict[str, int]:
    """Divide the quota among the gateways.

    SPARE_FRACTION_GRANTED of the share that no gateway wants goes to those that want
    more than their even share, for bursts between two plans. The cost: a gateway whose
    traffic resumes has less of its own share for as long as a loan lasts.
    """
    whole = sum(share.even_share for share in shares.values())
    planned = max_min_fair(wants, whole)
    wanting_more = {
        name: wants[name]
        for name, share in shares.items()
        if wants[name] > share.even_share
    }
    if wanting_more:
        extra = int((whole - sum(planned.values())) * SPARE_FRACTION_GRANTED)
        total_want = sum(wanting_more.values())
        for name, want in wanting_more.items():
            planned[name] += extra * want // total_want
    return planned


def _limit_lending(share: QuotaShare, to_lend: int, timings: QuotaTimings) -> int:
    """Return how much a gateway is asked to lend.

    Increases are limited to a step and never reach the floor; changes below
    MIN_LEND_CHANGE are ignored.
    """
    if to_lend > share.to_lend:
        floor = int(share.even_share * timings.floor_share)
        step = share.to_lend + int(share.even_share * MAX_LEND_INCREASE)
        to_lend = min(to_lend, share.even_share - floor - 1, step)
    change = abs(to_lend - share.to_lend)
    if to_lend and change < share.even_share * MIN_LEND_CHANGE:
        return share.to_lend
    return to_lend
