"""What other gateways' clocks read, as far as their words tell: pure, times are passed in. Whole tenths of a millisecond.

No clock is set by another. A gateway that tells what its clock reads has read it by the time at which that is heard, so from then
on it reads at the least that much more than what went by here since, less what the rates of two clocks may differ by.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

LOOSE = 500  # a reading that the clocks' rates may have carried off by more is not used any more
MOST_KNOWN = 4096  # gateways


class Reading(NamedTuple):
    """`whose` is drawn at each start of a process: clocks of two starts have nothing to do with each other."""

    whose: int
    read: int
    here: int


class PeerClocks:
    """`drift`: how much faster or slower a clock may run, in parts of a thousand."""

    def __init__(self, drift: int) -> None:
        self.drift = drift
        self.known: OrderedDict[str, Reading] = OrderedDict()

    def heard(self, member: str, whose: int, read: int, now: int) -> None:
        """A member told what its clock read; of two readings of one clock the one that says more now is kept."""
        held = self.known.get(member)
        if held is not None and held.whose == whose and read < self.least(held, now):
            return
        self.known[member] = Reading(whose, read, now)
        self.known.move_to_end(member)
        while len(self.known) > MOST_KNOWN:
            self.known.popitem(last=False)

    def least(self, held: Reading, at: int) -> int:
        """What that clock reads at the least when this one reads `at`, before or after the reading was heard."""
        slow, fast = 1000 - self.drift, 1000 + self.drift
        return held.read + (
            (at - held.here) * slow // fast
            if at >= held.here
            else -(-((at - held.here) * fast) // slow) - 1
        )

    def there(self, member: str, at: int, now: int) -> tuple[int, int] | None:
        """(whose, what it reads at the least) at a time of ours; None where too little is known of that clock. Guards against a time
        that another gateway would take for later than it is. Harm: it is taken for earlier, by as long as the reading was on its way
        and by what the rates may differ by.
        """
        held = self.known.get(member)
        if held is None or (now - held.here) * 2 * self.drift // 1000 > LOOSE:
            return None
        return held.whose, self.least(held, at)
