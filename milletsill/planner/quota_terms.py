"""What planner and gateways say to each other, and the timings that both reckon by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from milletsill.interface import QuotaKind

SECOND = 10_000
NEVER = 1 << 60
WHOLE = 1_000_000  # a whole quota; shares are millionths of it
MAX_LOANS = 3  # of one holding
# A grant is over this much before its end: a send that was decided just before may
# still be on its way out.
GRANT_GUARD = 200
# How often an idle quota is asked for: so many times in the longest duration while
# others want it, and once in so many longest durations while nobody does.
REQUESTS_PER_DURATION = 3
IDLE_DURATIONS = 8


class QuotaKey(NamedTuple):
    """Names a quota; a tuple, since it is looked up for each request.

    Attributes:
        kind: What is shared.
        id: Number of the volume or node.
    """

    kind: QuotaKind
    id: int


@dataclass(frozen=True, slots=True)
class QuotaTimings:
    """How long things last, the same for planner and gateways.

    Attributes:
        max_duration: Of a loan or grant, in tenths of a millisecond.
        drift_permille: How much of a clock's rate may be wrong.
        floor_share: Share of the even share that is never lent.
    """

    max_duration: int = 4 * SECOND
    drift_permille: int = 5
    floor_share: float = 0.2

    def min_local_duration(self, duration: int) -> int:
        """Return what surely has passed here when that passed on another's clock."""
        return duration * (1000 - self.drift_permille) // 1000

    def max_local_duration(self, duration: int) -> int:
        """Return what may pass here until that has passed on another's clock."""
        return -(-duration * 1000 // (1000 - self.drift_permille))


def even_share(gateways: int) -> int:
    """Return one gateway's own share; rounded down, so that all fit into the whole."""
    return WHOLE // max(gateways, 1)


@dataclass(frozen=True, slots=True)
class QuotaLoan:
    """One loan of a gateway to the planner.

    Attributes:
        share: What is lent.
        ends_at: Until when, on the gateway's clock.
        planner_time: The planner's time in the grant that asked for the loan.
    """

    share: int
    ends_at: int
    planner_time: int


class ReportedLoan(NamedTuple):
    """A loan as the planner hears of it: made after it had said `planner_time`."""

    share: int
    planner_time: int


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """A gateway's request for a share of one quota.

    Attributes:
        gateway: Its name.
        incarnation: Its start.
        epoch: The planner's run that it has accepted.
        key: The quota.
        wanted: The share that it wants.
        even_share: The share that it owns.
        loans: What it has lent to this epoch.
        sent_at: Its clock, which comes back with the answer.
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
        incarnation: The gateway's start.
        key: The quota.
        sequence: Grows with each grant of the quota to the gateway.
        granted: Share on top of what the gateway holds itself.
        duration: How long it is granted, from when it was asked for.
        to_lend: Share that the gateway is asked to lend.
        requested_at: `sent_at` of the request.
        planner_time: The planner's clock.
        ask_again_within: When the gateway is to ask again, even if it wants nothing.
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
