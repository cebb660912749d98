"""Checks and counts for the dispatches of one released number to nodes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.interface import AttemptOutcome

OUTCOMES_WITHOUT_EFFECT = (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE)

OnAttemptEnded = Callable[[AttemptOutcome, Any], None]
"""Called with the outcome of a dispatch and the details of the node's answer."""


class LeaseChecker(Protocol):
    """Provides the time and whether a lease is held."""

    @property
    def now(self) -> Callable[[], int]:
        """Function that reads this gateway's clock, in tenths of a millisecond."""

    def holds(self, term: LeaseTerm) -> bool:
        """Whether no other gateway can hold the lease now."""


class ReleasedAttempt:
    """Whether a released number may still be sent, and whether it may have run.

    Attributes:
        leases: Provides the time and whether the lease is still held.
        lease: The lease under which the number was released.
        idempotency_key: The key by which nodes recognize a repeated request.
        deadline: When the attempt must have ended, on this gateway's clock.
        is_retry: Whether an earlier attempt may have run.
        sent: Number of dispatches to nodes.
        without_effect: Number of dispatches that ended without having run.
    """

    __slots__ = (
        "leases",
        "lease",
        "idempotency_key",
        "deadline",
        "is_retry",
        "sent",
        "without_effect",
    )

    def __init__(
        self,
        leases: LeaseChecker,
        lease: LeaseTerm,
        idempotency_key: str,
        deadline: int,
        is_retry: bool,
    ) -> None:
        self.leases = leases
        self.lease = lease
        self.idempotency_key = idempotency_key
        self.deadline = deadline
        self.is_retry = is_retry
        self.sent = 0
        self.without_effect = 0

    def event_without_answer(self) -> NumberEvent:
        """Return the event for an attempt that ended without an answer.

        A request that may have run must not be rejected. The cost is a quarantine that
        may be unnecessary.
        """
        if self.sent == self.without_effect:
            return NumberEvent.NEVER_RAN
        return NumberEvent.ANSWER_LOST

    def may_send(self) -> bool:
        """Whether the request may be sent now; checked right before the socket write.

        If the process was suspended between release and send, another gateway may own
        the channel by now, or nodes may have forgotten the idempotency key. The cost is
        that a permitted dispatch may be delayed.
        """
        return bool(self.leases.holds(self.lease)) and self.leases.now() < self.deadline

    def count_attempt(self, on_ended: OnAttemptEnded) -> OnAttemptEnded:
        """Count a dispatch; return the callback to call when it ends."""
        self.sent += 1

        def count_end(outcome: AttemptOutcome, details: Any) -> None:
            if outcome in OUTCOMES_WITHOUT_EFFECT:
                self.without_effect += 1
            on_ended(outcome, details)

        return count_end
