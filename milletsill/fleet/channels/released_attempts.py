"""A released number, as the way to the nodes sees it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.interface import AttemptOutcome

OUTCOMES_WITHOUT_EFFECT = (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE)

OnAttemptEnded = Callable[[AttemptOutcome, Any], None]
"""Takes how an attempt ended, and what the node answered."""


class LeaseChecker(Protocol):
    """Whether a lease is held, and the time."""

    @property
    def now(self) -> Callable[[], int]:
        """Reads this gateway's clock, in tenths of a millisecond."""

    def holds(self, term: LeaseTerm) -> bool:
        """Whether nobody else can hold the lease now."""


class ReleasedAttempt:
    """Whether a released number may still be sent, and whether it may have run.

    Attributes:
        leases: Tells whether the lease is still held.
        lease: The lease under which the number was released.
        idempotency_key: By which nodes know the request again.
        deadline: When it must be over, on this gateway's clock.
        is_retry: Whether an earlier attempt may have run.
        sent: Dispatches to nodes.
        without_effect: Of these, the ones that came back without having run.
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
        """What an end without an answer means.

        Guards against a rejection of what may have run. Harm: a quarantine for nothing.
        """
        if self.sent == self.without_effect:
            return NumberEvent.NEVER_RAN
        return NumberEvent.ANSWER_LOST

    def may_send(self) -> bool:
        """Whether it may be sent now; asked at the last place before the socket.

        Guards against a process that stood still between the release and the send:
        another gateway may own the channel by now, or its idempotency key be forgotten.
        Harm: a lawful dispatch is put off.
        """
        return bool(self.leases.holds(self.lease)) and self.leases.now() < self.deadline

    def count_attempt(self, on_ended: OnAttemptEnded) -> OnAttemptEnded:
        """Count a dispatch; what is returned is to be called with its end."""
        self.sent += 1

        def count_end(outcome: AttemptOutcome, details: Any) -> None:
            if outcome in OUTCOMES_WITHOUT_EFFECT:
                self.without_effect += 1
            on_ended(outcome, details)

        return count_end
