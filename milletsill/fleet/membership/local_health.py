"""Lifeguard's local health: how far a gateway may trust its own probes. Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

MAX_SCORE = 4  # of the local health score; there all timeouts are twice as long
PROBES_LOOKED_AT = 8  # the last outcomes by which isolation is judged
ISOLATION_SHARE = 0.67  # of them that must have failed
ISOLATION_TARGETS = 4  # different members among those
ISOLATION_MULTIPLIER = 3  # of timeouts, while this gateway takes itself for isolated


class ProbeOutcome(NamedTuple):
    """Whether one probe of a member was answered."""

    target: str
    acked: bool


class LocalHealth:
    """The score of this gateway's own health, 0 (good) to MAX_SCORE.

    It grows with each stall and each suspicion of this gateway, and falls with each
    probe that is answered.
    """

    def __init__(self) -> None:
        self.score = 0
        self.outcomes: deque[ProbeOutcome] = deque(maxlen=PROBES_LOOKED_AT)

    def on_stall(self) -> None:
        """This gateway stalled."""
        self._add(1)

    def on_suspected(self) -> None:
        """Other members suspected this gateway."""
        self._add(1)

    def on_ack(self, target: str) -> None:
        """A probe was answered."""
        self.outcomes.append(ProbeOutcome(target, acked=True))
        self._add(-1)

    def on_miss(self, target: str) -> None:
        """A probe failed, directly and through others."""
        self.outcomes.append(ProbeOutcome(target, acked=False))

    @property
    def is_isolated(self) -> bool:
        """Whether this gateway takes itself for cut off."""
        return is_isolated(self.outcomes)

    @property
    def multiplier(self) -> float:
        """The local health multiplier: how much longer this gateway's timeouts are."""
        by_score = 1 + self.score / MAX_SCORE
        return max(by_score, ISOLATION_MULTIPLIER if self.is_isolated else 1)

    def _add(self, change: int) -> None:
        self.score = min(max(self.score + change, 0), MAX_SCORE)


def is_isolated(outcomes: Sequence[ProbeOutcome]) -> bool:
    """Return whether most of the last probes, to several members, failed.

    Guards the fleet against a gateway that is cut off or starved: the fault is then its
    own. Cost: it is later to see that most of a fleet are gone.
    """
    missed = [each.target for each in outcomes if not each.acked]
    if len(set(missed)) < ISOLATION_TARGETS:
        return False
    return len(missed) > ISOLATION_SHARE * len(outcomes)
