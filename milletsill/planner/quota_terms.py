"""Types that planner and gateways exchange, and the timings that both use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from milletsill.interface import QuotaKind

SECOND = 10_000  # in tenths of a millisecond
NEVER = 1 << 60  # a time later than any other
WHOLE = 1_000_000  # a whole quota; shares are millionths of it
MAX_LOANS = 3  # of one holding
# A gateway stops using a grant this long before its end, in tenths of a millisecond,
# since a send that was decided just before may not have left yet.
GRANT_GUARD = 200
# An idle quota is requested REQUESTS_PER_DURATION times in the longest duration while
# it is contended, and once in IDLE_REQUEST_DURATIONS longest durations otherwise.
REQUESTS_PER_DURATION = 3
IDLE_REQUEST_DURATIONS = 8


class QuotaKey(NamedTuple):
    """Identifies a quota; a tuple, so that the lookup for each request is fast.

    Attributes:
        kind: The kind of quota.
        id: Number of the volume or node.
    """

    kind: QuotaKind
    id: int


@dataclass(frozen=True, slots=True)
class QuotaTimings:
    """Timings of loans and grants, the same for planner and gateways.

    Attributes:
        max_duration: Longest loan or grant, in tenths of a millisecond.
        drift_permille: Largest error of a clock's rate, in parts per thousand.
        floor_share: Fraction of the even share that is never lent.
    """

    max_duration: int = 4 * SECOND
    drift_permille: int = 5
    floor_share: float = 0.2

    def min_local_duration(self, duration: int) -> int:
        """Return the least local time while another clock measures this duration."""
        return duration * (1000 - self.drift_permille) // 1000

    def max_local_duration(self, duration: int) -> int:
        """Return the most local time while another clock measures this duration."""
        return -(-duration * 1000 // (1000 - self.drift_permille))


def even_share(gateways: int) -> int:
    """Return one gateway's even share, rounded down so that the sum fits the whole."""
    return WHOLE // max(gateways, 1)


@dataclass(frozen=True, slots=True)
class QuotaLoan:
    """One loan of a gateway to the planner.

    Attributes:
        share: The share that is lent.
        ends_at: When the loan ends, on the gateway's clock.
        planner_time: The planner's time in the grant that asked for the loan.
    """

    share: int
    ends_at: int
    planner_time: int


class ReportedLoan(NamedTuple):
    """A loan in a request; made after the planner's clock showed `planner_time`."""

    share: int
    planner_time: int


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A gateway's request for a share of one quota.

    Attributes:
        gateway: The gateway's name.
        incarnation: The gateway's incarnation.
        epoch: The planner's run that the gateway has accepted.
        key: The quota.
        wanted: The share that the gateway wants.
        even_share: The share that the gateway owns.
        loans: The gateway's loans to this epoch.
        sent_at: The gateway's clock, which the grant returns in `requested_at`.
    """

    gateway: str
    incarnation: int
    epoch: int
    key: QuotaKey
    wanted: int
    even_share: int
    loans: tuple[ReportedLoan, ...]
    sent_at: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """The planner's answer to one request.

    Attributes:
        epoch: The planner's run.
        incarnation: The gateway's incarnation.
        key: The quota.
        sequence: Increases with each grant of the quota to the gateway.
        granted: Share in addition to the gateway's own.
        duration: How long the grant lasts, counted from `requested_at`.
        to_lend: Share that the gateway is asked to lend.
        requested_at: `sent_at` of the request.
        planner_time: The planner's clock when it made the grant.
        ask_again_within: Longest time until the gateway sends its next request, even
            if it wants nothing.
    """

    epoch: int
    incarnation: int
    key: QuotaKey
    sequence: int
    granted: int
    duration: int
    to_lend: int
    requested_at: int
    planner_time: int
    ask_again_within: int
