"""What the stand-in network does to whom and when: pure functions of faults, time and chance; no socket, no clock.

A gateway is a number; a way goes from one to another. Times are seconds, on whichever clock the caller keeps to.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

# what of a scenario's Trouble -> does it cut the way from a to b, given whether each is in the named set
CUTS = {
    "split": lambda a, b: a != b,  # the set on one side, the rest on the other
    "isolate": lambda a, b: a or b,  # each of the set by itself
    "cut_one_way": lambda a, b: a,  # none hears the set; the set hears all
}
OF_NETWORK = (*CUTS, "lossy", "slow_network", "reset_network")
AGAIN_AFTER = 0.2  # seconds until a stream's lost piece is sent again
SPREAD_OF_DOUBLES = 0.02


@dataclass(frozen=True, slots=True)
class Fault:
    """One trouble of the network, from `since` until `until`. Figures: lossy: size the share lost, extra the share that comes
    twice; slow_network: size milliseconds late, extra milliseconds more by chance, which reorders.
    """

    what: str
    since: float
    until: float
    on: frozenset[int]
    size: float = 0.0
    extra: float = 0.0

    def cuts(self, a: int, b: int) -> bool:
        rule = CUTS.get(self.what)
        return rule is not None and rule(a in self.on, b in self.on)

    def touches(self, a: int, b: int) -> bool:
        """Whether a lossy or slow network lies between them; between all where no set is named."""
        return not self.on or a in self.on or b in self.on


@dataclass(frozen=True, slots=True)
class Way:
    """How it goes from one gateway to another now."""

    cut: bool = False
    lost: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    uneven: float = 0.0

    def packet(self, chance: Random) -> tuple[float, ...]:
        """After how many seconds each copy of a packet comes; none where it is lost."""
        if self.cut or self.lost and chance.random() < self.lost:
            return ()
        first = self.late + (self.uneven and chance.random() * self.uneven)
        if self.twice and chance.random() < self.twice:
            return first, first + chance.random() * SPREAD_OF_DOUBLES
        return (first,)

    def piece(self, chance: Random) -> float:
        """After how many seconds a piece of a stream comes: never lost and in order, sent again while it is lost."""
        after = self.late + (self.uneven and chance.random() * self.uneven)
        while self.lost and chance.random() < min(self.lost, 0.9):
            after += AGAIN_AFTER
        return after


CLEAR = Way()


def fault_of(trouble: Any, start: float, count: int, chance: Random) -> Fault:
    """A scenario's trouble as a fault among `count` gateways; who is not named is drawn."""
    named = [each for each in trouble.on if each < count]
    by_part = trouble.what in CUTS or trouble.HasField("part")
    drawn = (
        chance.sample(range(count), min(max(round(trouble.part * count), 1), count))
        if by_part
        else []
    )
    since = start + trouble.at_s
    return Fault(
        trouble.what,
        since,
        since + trouble.for_s,
        frozenset(named or drawn),
        trouble.size,
        trouble.extra,
    )


def faults_of(scenario: Any, start: float) -> list[Fault]:
    """All that the network does on a scenario's day, drawn in order."""
    chance = Random(scenario.seed + 5)
    return [
        fault_of(each, start, scenario.edges, chance)
        for each in scenario.trouble
        if each.what in OF_NETWORK
    ]


def way(faults: Iterable[Fault], a: int, b: int) -> Way:
    """From a to b under these faults, all of which hold now."""
    cut, kept, twice, late, uneven = False, 1.0, 0.0, 0.0, 0.0
    for each in faults:
        cut = cut or each.cuts(a, b)
        if each.what == "lossy" and each.touches(a, b):
            kept, twice = kept * (1 - each.size), max(twice, each.extra)
        elif each.what == "slow_network" and each.touches(a, b):
            late, uneven = late + each.size / 1000, max(uneven, each.extra / 1000)
    return (
        Way(cut, 1 - kept, twice, late, uneven)
        if cut or kept < 1 or twice or late or uneven
        else CLEAR
    )
