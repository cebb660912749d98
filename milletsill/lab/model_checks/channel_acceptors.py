"""A model of the lease acceptors of a channel, with the guarantees of leases."""

from __future__ import annotations

from milletsill.fleet.leases.errors import (
    BallotSupersededError,
    NotLeaseHolderError,
    QuorumNotReachedError,
)
from milletsill.lab.model_checks.channel_checker import ContractChecker
from milletsill.lab.model_checks.channel_gateway import (
    CHANNEL_KEY,
    DRIFT,
    LEASE_SPAN,
    QUARANTINE,
    RETRY_DELAY,
    PendingAcquire,
    PendingRecordWrite,
    SimulatedLease,
)


class SimulatedAcceptors:
    """Grants the lease to one holder at a time, for any clock drift within the limit.

    Only the latest holder can write the record.

    Attributes:
        record: The record that a majority of acceptors has.
        written_at: True time at which the record was written.
        lease_index: Number of the latest lease.
        holder: Name and incarnation of the gateway that holds the latest lease.
        held_until: True time until which other gateways are refused.
    """

    def __init__(self, checker: ContractChecker) -> None:
        self.checker = checker
        self.record = b""
        self.written_at = 0
        self.lease_index = 0
        self.holder = ("", 0)
        self.held_until = 0

    def settle_acquire(
        self, now: int, candidate: tuple[str, int], pending: PendingAcquire, fate: str
    ) -> None:
        """Grant or refuse a lease; `fate` says what happens to the messages."""
        if fate != "done":
            pending.on_result(
                QuorumNotReachedError("messages lost", CHANNEL_KEY, RETRY_DELAY)
            )
            return
        is_held = self.holder[0] and now < self.held_until
        if is_held and self.holder != candidate:
            pending.on_result(
                NotLeaseHolderError(
                    "lease held", CHANNEL_KEY, RETRY_DELAY, self.holder[0]
                )
            )
            return
        self.holder = candidate
        self.held_until = _refused_until(now)
        self.lease_index += 1
        self.checker.check_record(self.record, QUARANTINE)
        age = (now - self.written_at) * (1000 + 2 * DRIFT) // 1000 + 1
        expires_at = _expires_at(pending.sent_at)
        pending.on_result(
            SimulatedLease(expires_at, self.record, age, self.lease_index)
        )

    def release(self, candidate: tuple[str, int]) -> None:
        """Release the lease if the candidate holds it."""
        if self.holder == candidate:
            self.holder = ("", 0)

    def settle_write(self, now: int, pending: PendingRecordWrite, fate: str) -> None:
        """Accept or refuse a record; `fate` says what happens to the messages."""
        lease = pending.lease
        if fate == "lost" or lease.is_ended or lease.index != self.lease_index:
            lease.is_ended = True
            pending.on_result(
                BallotSupersededError(
                    "write lost or lease ended", CHANNEL_KEY, RETRY_DELAY
                )
            )
            return
        if pending.value != self.record:
            self.record = pending.value
            self.written_at = now
            self.checker.on_record_written(self.record, QUARANTINE)
        self.held_until = max(self.held_until, _refused_until(now))
        if fate == "unheard":
            lease.is_ended = True
            pending.on_result(
                BallotSupersededError("unheard", CHANNEL_KEY, RETRY_DELAY)
            )
            return
        lease.expires_at = max(lease.expires_at, _expires_at(pending.sent_at))
        lease.value = pending.value
        pending.on_result(None)


def _refused_until(granted_at: int) -> int:
    """Return until when acceptors refuse others a lease granted at `granted_at`."""
    return granted_at + LEASE_SPAN * (1000 + DRIFT) // 1000


def _expires_at(sent_at: int) -> int:
    """Return when the holder's lease ends that it requested at `sent_at`."""
    return sent_at + LEASE_SPAN * (1000 - DRIFT) // 1000
