"""How long leases and calls last, and what clock drift does to that.

All times are whole ticks of a tenth of a millisecond on the clock of whoever
decides. Clocks are never compared; they are only trusted to run at the right rate
within the drift. A holder counts its lease from when it sent the request that a
majority granted, less the drift; an acceptor refuses others from when it received
that request, plus the drift.
"""

from __future__ import annotations

from dataclasses import dataclass

TICKS_PER_SECOND = 10_000
# A holder stops this much before its lease ends: what it decided to send just before
# may still be on its way out.
SEND_MARGIN = 200


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Durations that must be the same at all gateways.

    Attributes:
        lease_duration: How long a lease lasts, in ticks.
        call_timeout: How long a reply to a request may count, in ticks.
        drift_permille: How much a clock's rate may be wrong, in parts of a thousand.
    """

    lease_duration: int = 2 * TICKS_PER_SECOND
    call_timeout: int = 3_000
    drift_permille: int = 5

    def holder_duration(self) -> int:
        """Return for how long a holder counts on its lease, from the send."""
        shortened = self.lease_duration * (1000 - self.drift_permille) // 1000
        return shortened - SEND_MARGIN

    def acceptor_duration(self) -> int:
        """Return for how long an acceptor refuses others, from the receipt."""
        return -(-self.lease_duration * (1000 + self.drift_permille) // 1000)

    def on_other_clock(self, duration: int) -> int:
        """Return the most that a duration on one clock can read on another."""
        fast = 1000 + self.drift_permille
        slow = 1000 - self.drift_permille
        return -(-duration * fast // slow)

    def recovery_wait(self) -> int:
        """Return after how long all is over that a former incarnation promised.

        This covers each lease that it may have granted and each request that it may
        have answered.
        """
        return self.on_other_clock(max(self.lease_duration, self.call_timeout))
