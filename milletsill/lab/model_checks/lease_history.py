"""The history of a lease's values in the model, and the checks of each value."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ValueClaim:
    """The value of the lease as one holder knows it.

    Attributes:
        holder: The holder's name.
        value: The value.
        value_since: Earliest time, on the holder's clock, at which the value was
            current; None if unknown.
        rate: Rate error of the holder's clock, in parts per thousand.
        is_read: Whether the value was read by acquiring the lease, not written.
        is_held: Whether the holder holds the lease.
    """

    holder: str
    value: bytes
    value_since: int | None
    rate: int
    is_read: bool
    is_held: bool


class LeaseHistory:
    """All values that holders acted on so far, and the first violation.

    Attributes:
        violation: The first violation, if any.
        idle_after: Time in ticks of true time after which an acceptor may remove the
            record of an unused lease; 0 for never.
        settled_value: The longest settled value.
        settled_at: True time at which it was last settled.
        first_settled_at: True time at which each value was first settled.
        created_at: True time at which each value was created, for holders that send it.
    """

    def __init__(self) -> None:
        self.violation: str | None = None
        self.idle_after = 0
        self.settled_value = b""
        self.settled_at = 0
        self.first_settled_at: dict[bytes, int] = {}
        self.created_at: dict[bytes, int] = {}

    def copy(self) -> LeaseHistory:
        """Return a copy that shares no mutable state."""
        made = LeaseHistory()
        made.violation = self.violation
        made.idle_after = self.idle_after
        made.settled_value = self.settled_value
        made.settled_at = self.settled_at
        made.first_settled_at = dict(self.first_settled_at)
        made.created_at = dict(self.created_at)
        return made

    def report(self, violation: str) -> None:
        """Record a violation, if it is the first."""
        self.violation = self.violation or violation

    def check_value(self, claim: ValueClaim, now: int) -> None:
        """Check that a holder's value contains all settled writes."""
        value = claim.value
        settled = self.settled_value
        is_older = settled.startswith(value) and not (claim.is_read and claim.is_held)
        if not value.startswith(settled) and not is_older:
            if claim.is_read and self._may_be_removed(now):
                self._settle(value, now)
                return
            self.report(
                f"{claim.holder} has value {value!r}, but {settled!r} is settled"
            )
        self._check_age(claim, now)
        if len(value) >= len(self.settled_value):
            self._settle(value, now)

    def _settle(self, value: bytes, now: int) -> None:
        self.settled_value = value
        self.settled_at = now

    def _may_be_removed(self, now: int) -> bool:
        return bool(self.idle_after) and now - self.settled_at >= self.idle_after

    def _check_age(self, claim: ValueClaim, now: int) -> None:
        """Check that a holder does not underestimate the age of a value it read."""
        value = claim.value
        first_at = self.first_settled_at.setdefault(value, now)
        # Acceptors that accepted it before anyone acted on it may have removed it.
        nearly_idle = self.idle_after * 9 // 10
        if self.idle_after and now - first_at >= nearly_idle:
            return
        if not claim.is_read or not value or claim.value_since is None:
            return
        true_time = self.created_at.get(value, first_at)
        if claim.value_since > true_time * (1000 + claim.rate) // 1000:
            self.report(f"{claim.holder} underestimates the age of {value!r}")
