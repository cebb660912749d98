"""The acceptors of a simulated channel, as the leases' own model shows them."""

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
    """One holder at a time, whatever clocks do within their drift.

    Only the latest holder writes the record.

    Attributes:
        record: The record that a majority has.
        written_at: When it was written, by true time.
        lease_index: Number of the latest lease.
        holder: Name and incarnation of the gateway that has it.
        held_until: Until when others are refused, by true time.
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
        """Grant or refuse a lease; `fate` is that of the candidate's messages."""
        if fate != "done":
            pending.then(QuorumNotReachedError("lost", CHANNEL_KEY, RETRY_DELAY))
            return
        is_held = self.holder[0] and now < self.held_until
        if is_held and self.holder != candidate:
            pending.then(
                NotLeaseHolderError("held", CHANNEL_KEY, RETRY_DELAY, self.holder[0])
            )
            return
        self.holder = candidate
        self.held_until = _refused_until(now)
        self.lease_index += 1
        self.checker.check_record(self.record, QUARANTINE)
        age = (now - self.written_at) * (1000 + 2 * DRIFT) // 1000 + 1
        expires_at = _expires_at(pending.sent_at)
        pending.then(SimulatedLease(expires_at, self.record, age, self.lease_index))

    def release(self, candidate: tuple[str, int]) -> None:
        """A gateway gives up its lease, if it is the holder."""
        if self.holder == candidate:
            self.holder = ("", 0)

    def settle_write(self, now: int, pending: PendingRecordWrite, fate: str) -> None:
        """Accept or refuse a record; `fate` is that of the holder's messages."""
        lease = pending.lease
        if fate == "lost" or lease.is_ended or lease.index != self.lease_index:
            lease.is_ended = True
            pending.then(
                BallotSupersededError("lost or late", CHANNEL_KEY, RETRY_DELAY)
            )
            return
        if pending.value != self.record:
            self.record = pending.value
            self.written_at = now
            self.checker.on_record_written(self.record, QUARANTINE)
        self.held_until = max(self.held_until, _refused_until(now))
        if fate == "unheard":
            lease.is_ended = True
            pending.then(BallotSupersededError("unheard", CHANNEL_KEY, RETRY_DELAY))
            return
        lease.expires_at = max(lease.expires_at, _expires_at(pending.sent_at))
        lease.value = pending.value
        pending.then(None)


def _refused_until(granted_at: int) -> int:
    """Until when others are refused a lease that was granted at `granted_at`."""
    return granted_at + LEASE_SPAN * (1000 + DRIFT) // 1000


def _expires_at(sent_at: int) -> int:
    """Until when a holder counts on a lease that it asked for at `sent_at`."""
    return sent_at + LEASE_SPAN * (1000 - DRIFT) // 1000
