"""How closely traffic is metered, decided by what export costs.

No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum, auto


class MeteringLevel(IntEnum):
    """How closely traffic is metered, from the closest on; values are exported."""

    COMMANDS = 0
    """A record for each command besides the flows."""

    FLOWS = 1
    """Flows alone."""

    SAMPLED = 2
    """Flows of one event in `MeteringControl.interval`."""


class CostLevel(Enum):
    """The cost of export against its bound."""

    HIGH = auto()
    FAIR = auto()
    LOW = auto()


class MeteringEffect(Enum):
    """What follows from an observed cost."""

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
"""Share of the bound under which cost is low; the gap keeps the level from flapping."""

HIGH_COST_STREAK = 2
"""Observations of high cost in a row before a step to coarser metering."""

CALM_STREAK = 8
"""Observations of fair or low cost in a row before a step to closer metering."""

FIRST_SAMPLING_INTERVAL = 2
MAX_SAMPLING_INTERVAL = 256


def cost_level(share: float, bound: float) -> CostLevel:
    """Compares the share of time that export took with its bound."""
    if share > bound:
        return CostLevel.HIGH
    if share < bound * LOW_COST_SHARE:
        return CostLevel.LOW
    return CostLevel.FAIR


@dataclass(slots=True)
class MeteringControl:
    """The metering level, the sampling interval, and for how long the cost is as it is.

    Guards client work against a surge that makes export costly, from whatever cause:
    many commands, many flows, slow encoding. A short burst may be metered less closely
    than could have been borne; `HIGH_COST_STREAK` bounds that. `closest_level` is the
    operator's setting.
    """

    closest_level: MeteringLevel = MeteringLevel.COMMANDS
    level: MeteringLevel = MeteringLevel.COMMANDS
    interval: int = 1
    _streak: int = 0
    _last_cost: CostLevel = CostLevel.FAIR
    _position: int = 0

    def observe_cost(self, share: float, bound: float) -> bool:
        """Takes one observation; returns whether the level is to be reported."""
        cost = cost_level(share, bound)
        self._streak = self._streak + 1 if cost is self._last_cost else 1
        self._last_cost = cost
        needed = HIGH_COST_STREAK if cost is CostLevel.HIGH else CALM_STREAK
        if self._streak < needed:
            return False
        self._streak = 0
        return self._step(cost)

    def selects(self) -> bool:
        """Returns whether the next event is metered.

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
