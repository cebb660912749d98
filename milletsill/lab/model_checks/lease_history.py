"""What the model knows of a lease's values, and what must never be wrong of them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ValueClaim:
    """What one holder takes for the lease's value.

    Attributes:
        holder: Its name.
        value: The value.
        value_since: When the value stood at the earliest, on its clock; None for
            unknown.
        rate: How much its clock is wrong, in parts of a thousand.
        is_read: The lease was just acquired, and the value read.
        is_held: It holds the lease.
    """

    holder: str
    value: bytes
    value_since: int | None
    rate: int
    is_read: bool
    is_held: bool


class LeaseHistory:
    """All values that counted so far, and the first thing that was broken.

    Attributes:
        violation: What was broken first, if anything.
        idle_after: An acceptor may remove the record of a lease that was unused for so
            long, in ticks of true time; 0 for never.
        settled_value: The longest value that counted.
        settled_at: True time of that.
        first_counted_at: True time at which each value counted first.
        created_at: True time at which each value was made, where its holder sends it.
    """

    def __init__(self) -> None:
        self.violation: str | None = None
        self.idle_after = 0
        self.settled_value = b""
        self.settled_at = 0
        self.first_counted_at: dict[bytes, int] = {}
        self.created_at: dict[bytes, int] = {}

    def copy(self) -> LeaseHistory:
        """Return a copy that shares nothing that changes."""
        made = LeaseHistory()
        made.violation = self.violation
        made.idle_after = self.idle_after
        made.settled_value = self.settled_value
        made.settled_at = self.settled_at
        made.first_counted_at = dict(self.first_counted_at)
        made.created_at = dict(self.created_at)
        return made

    def report(self, violation: str) -> None:
        """Keep what was broken, if it is the first."""
        self.violation = self.violation or violation

    def check_value(self, claim: ValueClaim, now: int) -> None:
        """See that a value which counts lacks nothing that counted before."""
        value = claim.value
        settled = self.settled_value
        is_older = settled.startswith(value) and not (claim.is_read and claim.is_held)
        if not value.startswith(settled) and not is_older:
            if claim.is_read and self._may_be_removed(now):
                self._settle(value, now)
                return
            self.report(f"{claim.holder} has {value!r}, {settled!r} counted")
        self._check_age(claim, now)
        if len(value) >= len(self.settled_value):
            self._settle(value, now)

    def _settle(self, value: bytes, now: int) -> None:
        self.settled_value = value
        self.settled_at = now

    def _may_be_removed(self, now: int) -> bool:
        return bool(self.idle_after) and now - self.settled_at >= self.idle_after

    def _check_age(self, claim: ValueClaim, now: int) -> None:
        """See that a value which was read does not pass for younger than it is."""
        value = claim.value
        first_at = self.first_counted_at.setdefault(value, now)
        # Acceptors that had it before anybody acted on it may have removed it.
        nearly_idle = self.idle_after * 9 // 10
        if self.idle_after and now - first_at >= nearly_idle:
            return
        if not claim.is_read or not value or claim.value_since is None:
            return
        true_time = self.created_at.get(value, first_at)
        if claim.value_since > true_time * (1000 + claim.rate) // 1000:
            self.report(f"{claim.holder} takes {value!r} for younger than it is")
