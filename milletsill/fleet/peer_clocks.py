"""Lower bounds on the readings of other gateways' clocks. No I/O, no clock.

The caller passes times in, in whole ticks of a tenth of a millisecond. No clock is
adjusted to another. A gateway reads its clock before the message with the reading
arrives here. From the arrival on, the remote clock therefore reads at least the sent
reading plus the local time since then, less the possible difference in clock rates.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Ticks. A reading is unused once clock drift may have made it wrong by more than this.
MAX_UNCERTAINTY = 500
MAX_KNOWN_GATEWAYS = 4096


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of another gateway's clock.

    Attributes:
        clock_id: Random, new at each start of a process, since readings of clocks
            from two starts cannot be compared.
        reading: The reading of that clock, in ticks.
        received_at: The local time at which the reading arrived, in ticks.
    """

    clock_id: int
    reading: int
    received_at: int


@dataclass(frozen=True, slots=True)
class RemoteTime:
    """A lower bound on the reading of another gateway's clock, and that clock's id."""

    clock_id: int
    reading: int


class PeerClocks:
    """The latest readings of other gateways' clocks.

    Args:
        drift_permille: Largest deviation of a clock's rate, up or down, in parts per
            thousand.
    """

    def __init__(self, drift_permille: int) -> None:
        self.drift_permille = drift_permille
        self.readings: OrderedDict[str, ClockReading] = OrderedDict()

    def on_reading(self, gateway: str, clock_id: int, reading: int, now: int) -> None:
        """Store a reading of a gateway's clock.

        Of two readings of one clock, the one with the larger lower bound for `now` is
        kept.
        """
        known = self.readings.get(gateway)
        is_same_clock = known is not None and known.clock_id == clock_id
        if (
            known is not None
            and is_same_clock
            and reading < self._min_reading(known, now)
        ):
            return
        self.readings[gateway] = ClockReading(clock_id, reading, now)
        self.readings.move_to_end(gateway)
        while len(self.readings) > MAX_KNOWN_GATEWAYS:
            self.readings.popitem(last=False)

    def to_remote(self, gateway: str, at: int, now: int) -> RemoteTime | None:
        """Return a lower bound on a gateway's clock when the local clock reads `at`.

        Returns None if there is no reading of that clock or it is too old. A lower
        bound ensures that the other gateway never takes the time for later than it is.
        The cost: the other gateway may take it for earlier, by the transit time of the
        reading and by the possible clock drift.
        """
        known = self.readings.get(gateway)
        if known is None:
            return None
        uncertainty = (now - known.received_at) * 2 * self.drift_permille // 1000
        if uncertainty > MAX_UNCERTAINTY:
            return None
        return RemoteTime(known.clock_id, self._min_reading(known, at))

    def _min_reading(self, known: ClockReading, at: int) -> int:
        """Return a lower bound on the clock at a local time; it may be in the past."""
        slow = 1000 - self.drift_permille
        fast = 1000 + self.drift_permille
        elapsed = at - known.received_at
        if elapsed >= 0:
            return known.reading + elapsed * slow // fast
        return known.reading - (-elapsed * fast // slow) - 1
