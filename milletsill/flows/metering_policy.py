"""Chooses the level of metering by the cost of export.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum, auto


class MeteringLevel(IntEnum):
    """The level of metering, from fine to coarse; the values are exported."""

    COMMANDS = 0
    """A record for each command, in addition to flows."""

    FLOWS = 1
    """Only flows."""

    SAMPLED = 2
    """Flows from one of every `MeteringControl.interval` events."""


class CostLevel(Enum):
    """The cost of export in relation to its limit."""

    HIGH = auto()
    MODERATE = auto()
    LOW = auto()


class MeteringEffect(Enum):
    """The effect of an observed cost."""

    NONE = auto()
    REPORT = auto()
    SAMPLE_LESS = auto()
    SAMPLE_MORE = auto()


METERING_TRANSITIONS: Mapping[
    tuple[MeteringLevel, CostLevel], tuple[MeteringLevel, MeteringEffect]
] = {
    (MeteringLevel.COMMANDS, CostLevel.HIGH): (
        MeteringLevel.FLOWS,
        MeteringEffect.REPORT,
    ),
    (MeteringLevel.FLOWS, CostLevel.HIGH): (
        MeteringLevel.SAMPLED,
        MeteringEffect.REPORT,
    ),
    (MeteringLevel.SAMPLED, CostLevel.HIGH): (
        MeteringLevel.SAMPLED,
        MeteringEffect.SAMPLE_LESS,
    ),
    (MeteringLevel.SAMPLED, CostLevel.LOW): (
        MeteringLevel.SAMPLED,
        MeteringEffect.SAMPLE_MORE,
    ),
    (MeteringLevel.FLOWS, CostLevel.LOW): (
        MeteringLevel.COMMANDS,
        MeteringEffect.REPORT,
    ),
}
LOW_COST_SHARE = 0.5
"""Share of the limit below which cost is low; the gap prevents flapping."""

HIGH_COST_STREAK = 2
"""Consecutive observations of high cost before a step to coarser metering."""

LOW_COST_STREAK = 8
"""Consecutive observations of low cost before a step to finer metering.

Moderate cost changes nothing.
"""

FIRST_SAMPLING_INTERVAL = 2
MAX_SAMPLING_INTERVAL = 256


def cost_level(share: float, bound: float) -> CostLevel:
    """Compare the share of time that export takes with its limit."""
    if share > bound:
        return CostLevel.HIGH
    if share < bound * LOW_COST_SHARE:
        return CostLevel.LOW
    return CostLevel.MODERATE


@dataclass(slots=True)
class MeteringControl:
    """The metering level, the sampling interval, and the streak of equal cost levels.

    It protects requests from expensive export, whatever the cause: many commands, many
    flows, slow encoding. A short burst may be metered more coarsely than necessary;
    `HIGH_COST_STREAK` limits that. `closest_level` is the finest level that the
    settings allow.
    """

    closest_level: MeteringLevel = MeteringLevel.COMMANDS
    level: MeteringLevel = MeteringLevel.COMMANDS
    interval: int = 1
    _streak: int = 0
    _last_cost: CostLevel = CostLevel.MODERATE
    _position: int = 0

    def observe_cost(self, share: float, bound: float) -> bool:
        """Process one observation; return whether the level must be reported."""
        cost = cost_level(share, bound)
        self._streak = self._streak + 1 if cost is self._last_cost else 1
        self._last_cost = cost
        needed = HIGH_COST_STREAK if cost is CostLevel.HIGH else LOW_COST_STREAK
        if self._streak < needed:
            return False
        self._streak = 0
        return self._step(cost)

    def selects(self) -> bool:
        """Return whether the next event is metered.

        Systematic count-based sampling (RFC 5475): one in `interval`.
        """
        if self.interval <= 1:
            self._position = 0
        else:
            self._position = (self._position + 1) % self.interval
        return self._position == 0

    def _step(self, cost: CostLevel) -> bool:
        unchanged = self.level, MeteringEffect.NONE
        level, effect = METERING_TRANSITIONS.get((self.level, cost), unchanged)
        report = effect is not MeteringEffect.NONE
        if effect is MeteringEffect.SAMPLE_LESS:
            report = self.interval < MAX_SAMPLING_INTERVAL
            self.interval = min(self.interval * 2, MAX_SAMPLING_INTERVAL)
        elif effect is MeteringEffect.SAMPLE_MORE:
            self.interval //= 2
            if self.interval <= 1:
                level = MeteringLevel.FLOWS
        elif level is MeteringLevel.SAMPLED:
            self.interval = FIRST_SAMPLING_INTERVAL
        level = max(level, self.closest_level)
        if level is self.level and self.interval == 0:
            report = False
        self.level = level
        if level is not MeteringLevel.SAMPLED:
            self.interval = 1
        return report
