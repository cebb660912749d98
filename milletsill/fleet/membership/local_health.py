"""Lifeguard's local health: how reliable a gateway's own probes are. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

MAX_SCORE = 4  # of the local health score, at which timeouts are twice as long
ISOLATION_WINDOW_PROBES = 8  # number of recent probes that decide about isolation
ISOLATION_MISS_FRACTION = 0.67  # this gateway is isolated if more of them failed
MIN_MISSED_TARGETS = 4  # number of different members among the failed probes
ISOLATION_MULTIPLIER = 3  # of timeouts while this gateway considers itself isolated


class ProbeOutcome(NamedTuple):
    """The outcome of one probe: its target and whether an ack arrived."""

    target: str
    acked: bool


class LocalHealth:
    """The local health score of this gateway, from 0 (healthy) to MAX_SCORE.

    The score rises with each stall and each suspicion of this gateway, and falls with
    each acked probe.
    """

    def __init__(self) -> None:
        self.score = 0
        self.outcomes: deque[ProbeOutcome] = deque(maxlen=ISOLATION_WINDOW_PROBES)

    def on_stall(self) -> None:
        """Raise the score because this gateway stalled."""
        self._add(1)

    def on_suspected(self) -> None:
        """Raise the score because other members suspected this gateway."""
        self._add(1)

    def on_ack(self, target: str) -> None:
        """Lower the score because a probe was acked."""
        self.outcomes.append(ProbeOutcome(target, acked=True))
        self._add(-1)

    def on_miss(self, target: str) -> None:
        """Record that a probe failed both directly and through other members."""
        self.outcomes.append(ProbeOutcome(target, acked=False))

    @property
    def is_isolated(self) -> bool:
        """Whether this gateway considers itself isolated from the fleet."""
        return is_isolated(self.outcomes)

    @property
    def multiplier(self) -> float:
        """The local health multiplier, by which this gateway extends its timeouts."""
        by_score = 1 + self.score / MAX_SCORE
        return max(by_score, ISOLATION_MULTIPLIER if self.is_isolated else 1)

    def _add(self, change: int) -> None:
        self.score = min(max(self.score + change, 0), MAX_SCORE)


def is_isolated(outcomes: Sequence[ProbeOutcome]) -> bool:
    """Return whether most of the recent probes, to several members, failed.

    A gateway that has lost the network or is short of CPU time causes such failures
    itself; the longer timeouts keep it from declaring healthy members gone. Trade-off:
    a gateway detects later that most of the fleet is really gone.
    """
    missed = [each.target for each in outcomes if not each.acked]
    if len(set(missed)) < MIN_MISSED_TARGETS:
        return False
    return len(missed) > ISOLATION_MISS_FRACTION * len(outcomes)
