"""The plan: what each gateway would lend of a quota, and be granted."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from milletsill.planner.quota_terms import IDLE_DURATIONS, SECOND, QuotaTimings

PLAN_INTERVAL = SECOND // 2
MAX_LENT_STEPS = 64  # ends of loans that are tried for a grant

SMOOTHING = 0.5  # share of a new report in the smoothed one
MAX_GROWTH = 2  # of the smoothed want by one report, in what it or the even share is
HEADROOM = 1.2  # planned over what is wanted
MAX_LEND_STEP = 0.25  # of the even share, lent more at a time
MIN_LEND_CHANGE = 0.02  # of the even share; smaller changes are left
SPARE_GIVEN = 0.5  # of what nobody wants, given to those who want more than they have
FORGET_DURATIONS = 3 * IDLE_DURATIONS  # longest durations without a request


class TimedShare(NamedTuple):
    """A share until a time on the planner's clock."""

    share: int
    until: int


@dataclass(slots=True)
class QuotaShare:
    """The planner's record of one gateway's share of one quota.

    Attributes:
        even_share: What the gateway owns.
        wanted: What it wants.
        requested_at: When it sent its last request, on its clock.
        smoothed_want: What it wants, smoothed.
        loans: What it has lent, each until when that surely stands.
        to_lend: What the plan would have it lend.
        to_grant: What the plan would grant it.
        grants: Those that may still run, each until its latest end.
        sequence: Of the last grant.
        reported_at: When its last request came, on the planner's clock.
        notified_at: When it was last asked to lend without having asked itself.
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
        """Return what the gateway surely lends until a time."""
        return max(
            (loan.share for loan in self.loans if loan.until >= until), default=0
        )

    def granted(self, now: int) -> int:
        """Return the most that the gateway may hold of grants now."""
        self.grants = [grant for grant in self.grants if now < grant.until]
        return max((grant.share for grant in self.grants), default=0)

    def is_forgotten(self, now: int, timings: QuotaTimings) -> bool:
        """Return whether it was long not asked for, and nothing of it is granted."""
        silent = now - self.reported_at
        return silent > timings.max_duration * FORGET_DURATIONS and not self.granted(
            now
        )


@dataclass(slots=True)
class SharedQuota:
    """One quota and its shares.

    Attributes:
        even_share: What each gateway owns.
        shares: By gateway.
        planned_at: When it was last planned.
        contended: Whether any gateway wants more than its even share.
        granted: No less than what all gateways may hold of grants.
        lent: What all surely lend until each end of a loan, the latest end first.
    """

    even_share: int
    shares: dict[str, QuotaShare] = field(default_factory=dict)
    planned_at: int = -1 << 60
    contended: bool = False
    granted: int = 0
    lent: list[TimedShare] = field(default_factory=list)

    def recount(self, now: int) -> None:
        """Sum up grants and loans anew.

        Between two counts `granted` only grows, and what is lent is not counted higher:
        what was true of loans stays true, and counting on grants that ran out is safe.
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
        if len(self.lent) > MAX_LENT_STEPS:
            self.lent = self.lent[:: len(self.lent) // MAX_LENT_STEPS + 1]


def max_min_fair(wants: Mapping[str, int], whole: int) -> dict[str, int]:
    """Divide a whole: each gets its want, or an even part of what is left."""
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
    """Set what each gateway would lend of a quota, and be granted.

    What a gateway has that is silent and not connected is left to it.
    """
    _forget_shares(quota, timings, now)
    shares = {
        name: share
        for name, share in quota.shares.items()
        if name in connected or now - share.reported_at <= timings.max_duration
    }
    quota.contended = any(share.wanted > share.even_share for share in shares.values())
    if not shares:
        return
    wants = {name: _smooth_want(share, timings) for name, share in shares.items()}
    planned = _divide(shares, wants)
    over = sum(
        max(planned[name] - share.even_share, 0) for name, share in shares.items()
    )
    under = sum(
        max(share.even_share - planned[name], 0) for name, share in shares.items()
    )
    for name, share in shares.items():
        spare = max(share.even_share - planned[name], 0)
        to_lend = spare * min(over, under) // under if under else 0
        share.to_lend = _limit_lending(share, to_lend, timings)
        share.to_grant = max(planned[name] - share.even_share, 0)


def _forget_shares(quota: SharedQuota, timings: QuotaTimings, now: int) -> None:
    forgotten = [
        name for name, share in quota.shares.items() if share.is_forgotten(now, timings)
    ]
    for name in forgotten:
        del quota.shares[name]


def _smooth_want(share: QuotaShare, timings: QuotaTimings) -> int:
    """Take the reported want into the smoothed one, and return that.

    One report that is a thousand times too high, or jumps each second, moves little at
    a time. The price: a true surge waits a few rounds for its share.
    """
    growth = max(share.even_share, share.smoothed_want) * MAX_GROWTH
    want = min(share.wanted * HEADROOM, share.smoothed_want + growth)
    share.smoothed_want += (want - share.smoothed_want) * SMOOTHING
    floor = int(share.even_share * timings.floor_share)
    return max(int(share.smoothed_want), floor + 1)


def _divide(
    shares: Mapping[str, QuotaShare], wants: Mapping[str, int]
) -> dict[str, int]:
    """Divide the quota among the shares.

    Half of what nobody wants goes to those who want more than they have, for bursts
    between two plans. The price: a gateway that wakes up finds less of its own for as
    long as a loan lasts.
    """
    whole = sum(share.even_share for share in shares.values())
    planned = max_min_fair(wants, whole)
    wanting_more = {
        name: wants[name]
        for name, share in shares.items()
        if wants[name] > share.even_share
    }
    if wanting_more:
        extra = int((whole - sum(planned.values())) * SPARE_GIVEN)
        total_want = sum(wanting_more.values())
        for name, want in wanting_more.items():
            planned[name] += extra * want // total_want
    return planned


def _limit_lending(share: QuotaShare, to_lend: int, timings: QuotaTimings) -> int:
    """Return what a gateway would lend: by steps, not below the floor, and steady."""
    if to_lend > share.to_lend:
        floor = int(share.even_share * timings.floor_share)
        step = share.to_lend + int(share.even_share * MAX_LEND_STEP)
        to_lend = min(to_lend, share.even_share - floor - 1, step)
    change = abs(to_lend - share.to_lend)
    if to_lend and change < share.even_share * MIN_LEND_CHANGE:
        return share.to_lend
    return to_lend
