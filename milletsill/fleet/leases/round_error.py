"""The error of a proposer's round that failed."""

from __future__ import annotations

from random import Random

from milletsill.fleet.leases.errors import (
    BallotSupersededError,
    CoordinationError,
    NotLeaseHolderError,
    QuorumNotReachedError,
)
from milletsill.fleet.leases.lease_proposer import LeaseProposer
from milletsill.fleet.leases.messages import ReplyStatus
from milletsill.fleet.leases.timings import LeaseTimings

# When to come back after a superseded ballot, in ticks: by chance in between, so that
# two gateways do not meet again and again.
SUPERSEDED_RETRY_DELAY = (500, 3000)


def round_error(
    proposer: LeaseProposer, timings: LeaseTimings, random: Random
) -> CoordinationError:
    """Return why a proposer's last round failed, and when to come back."""
    key = proposer.key
    refusal = proposer.refusal
    if refusal is None or refusal.status is ReplyStatus.UNAVAILABLE:
        suggested = 0 if refusal is None else refusal.retry_delay
        retry_delay = max(timings.call_timeout, suggested)
        return QuorumNotReachedError("too few registers answered", key, retry_delay)
    if refusal.status is ReplyStatus.LEASE_HELD:
        holder = refusal.holder
        what = f"{holder} has the office"
        return NotLeaseHolderError(what, key, refusal.retry_delay, holder)
    retry_delay = random.randint(*SUPERSEDED_RETRY_DELAY)
    return BallotSupersededError("a later ballot was promised", key, retry_delay)
