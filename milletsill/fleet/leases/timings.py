"""Durations of leases and requests, corrected for clock drift.

All times are whole ticks of a tenth of a millisecond on the clock of the gateway that
decides. Clocks are never compared; each is only trusted to run at the right rate
within the drift. A holder counts its lease from the time it sent the request that a
majority granted, shortened by the drift. An acceptor refuses other gateways from the
time it received that request, for the duration lengthened by the drift.
"""

from __future__ import annotations

from dataclasses import dataclass

TICKS_PER_SECOND = 10_000
# In ticks. A holder stops this long before its lease ends, because messages that it
# decided to send just before may not have left yet.
SEND_MARGIN = 200


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Durations that must be the same at all gateways.

    Attributes:
        lease_duration: Duration of a lease, in ticks.
        call_timeout: How long after a request its replies still count, in ticks.
        drift_permille: Largest error of a clock's rate, in parts per thousand.
    """

    lease_duration: int = 2 * TICKS_PER_SECOND
    call_timeout: int = 3_000
    drift_permille: int = 5

    def holder_duration(self) -> int:
        """Return how long a holder may use its lease, from the send of the request."""
        shortened = self.lease_duration * (1000 - self.drift_permille) // 1000
        return shortened - SEND_MARGIN

    def acceptor_duration(self) -> int:
        """Return how long an acceptor refuses others, from receipt of the request."""
        return -(-self.lease_duration * (1000 + self.drift_permille) // 1000)

    def on_other_clock(self, duration: int) -> int:
        """Return the longest that a duration on one clock can be on another clock."""
        fast = 1000 + self.drift_permille
        slow = 1000 - self.drift_permille
        return -(-duration * fast // slow)

    def recovery_wait(self) -> int:
        """Return how long the promises of a former incarnation can stay in force.

        This covers each lease that it may have granted and each request to which it
        may have replied.
        """
        return self.on_other_clock(max(self.lease_duration, self.call_timeout))
