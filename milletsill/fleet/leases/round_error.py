"""Converts a proposer's failed round into an error."""

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

# Bounds of the random retry delay after a superseded ballot, in ticks. The delay is
# random so that two gateways do not supersede each other repeatedly.
SUPERSEDED_RETRY_DELAY = (500, 3000)


def round_error(
    proposer: LeaseProposer, timings: LeaseTimings, random: Random
) -> CoordinationError:
    """Return the error of a proposer's last round, with its retry delay."""
    key = proposer.key
    refusal = proposer.refusal
    if refusal is None or refusal.status is ReplyStatus.UNAVAILABLE:
        suggested = 0 if refusal is None else refusal.retry_delay
        retry_delay = max(timings.call_timeout, suggested)
        return QuorumNotReachedError("too few acceptors replied", key, retry_delay)
    if refusal.status is ReplyStatus.LEASE_HELD:
        holder = refusal.holder
        what = f"{holder} holds the lease"
        return NotLeaseHolderError(what, key, refusal.retry_delay, holder)
    retry_delay = random.randint(*SUPERSEDED_RETRY_DELAY)
    return BallotSupersededError("a higher ballot was promised", key, retry_delay)
