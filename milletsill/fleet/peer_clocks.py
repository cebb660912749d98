"""What other gateways' clocks read, as far as their messages show. Pure.

Times are passed in, in whole ticks of a tenth of a millisecond. No clock is set by
another. A gateway that sends what its clock reads has read it before that arrives, so
from then on it reads at the least that much more than what went by here since, less
what the rates of two clocks may differ by.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# A reading that the clocks' rates may have carried off by more ticks is not used.
MAX_UNCERTAINTY = 500
MAX_KNOWN_GATEWAYS = 4096


@dataclass(frozen=True, slots=True)
class ClockReading:
    """What a gateway's clock read.

    Attributes:
        clock_id: Drawn at each start of a process: the clocks of two starts have
            nothing to do with each other.
        reading: What that clock read, in ticks.
        received_at: What this gateway's clock read when that arrived, in ticks.
    """

    clock_id: int
    reading: int
    received_at: int


@dataclass(frozen=True, slots=True)
class RemoteTime:
    """A time on another gateway's clock: which clock, and the least that it reads."""

    clock_id: int
    reading: int


class PeerClocks:
    """The clocks of other gateways.

    Args:
        drift_permille: How much faster or slower a clock may run, in parts of a
            thousand.
    """

    def __init__(self, drift_permille: int) -> None:
        self.drift_permille = drift_permille
        self.readings: OrderedDict[str, ClockReading] = OrderedDict()

    def on_reading(self, gateway: str, clock_id: int, reading: int, now: int) -> None:
        """Keep what a gateway's clock read.

        Of two readings of one clock the one that gives more now is kept.
        """
        held = self.readings.get(gateway)
        is_same_clock = held is not None and held.clock_id == clock_id
        if held is not None and is_same_clock and reading < self._least(held, now):
            return
        self.readings[gateway] = ClockReading(clock_id, reading, now)
        self.readings.move_to_end(gateway)
        while len(self.readings) > MAX_KNOWN_GATEWAYS:
            self.readings.popitem(last=False)

    def to_remote(self, gateway: str, at: int, now: int) -> RemoteTime | None:
        """Return what a gateway's clock reads at the least when this one reads `at`.

        None where too little is known of that clock. Guards against a time that the
        other gateway would take for later than it is. Harm: it is taken for earlier,
        by as long as the reading was on its way and by what the rates may differ by.
        """
        held = self.readings.get(gateway)
        if held is None:
            return None
        uncertainty = (now - held.received_at) * 2 * self.drift_permille // 1000
        if uncertainty > MAX_UNCERTAINTY:
            return None
        return RemoteTime(held.clock_id, self._least(held, at))

    def _least(self, held: ClockReading, at: int) -> int:
        """Return the least that clock reads at a time before or after the reading."""
        slow = 1000 - self.drift_permille
        fast = 1000 + self.drift_permille
        elapsed = at - held.received_at
        if elapsed >= 0:
            return held.reading + elapsed * slow // fast
        return held.reading - (-elapsed * fast // slow) - 1
