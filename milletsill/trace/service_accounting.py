"""Service as the users define it: utility in time over the utility that was due.

Utility is counted by reserve, share by weight, and the rest. For each volume and second
of arrival some units are due in full (inside a token bucket that fills at the reserve's
rate and holds a second of it and one largest request); then, of what nine tenths of the
nodes' capacity leave, a part by weight at `share`; then the rest at `spare`. A request
in time takes the best that is still due, a late one the worst. The laboratory's
benchmark computes the share node by node; here it is over all nodes together,
since only the laboratory knows each node's capacity.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

USABLE_CAPACITY = 0.9
NEGLIGIBLE_UNITS = 1e-9


@dataclass(frozen=True, slots=True)
class CompletedOperation:
    """One operation that has its answer.

    Attributes:
        second: its second of arrival.
        volume: place of its volume among the entitlements.
        request_class: name of its class.
        units: its cost.
        utility: utility of a unit in time.
        credit: what of the utility counts: 1 in time, the late weight for a late one, 0
            for none.
        late: whether it was not done in time.
    """

    second: int
    volume: int
    request_class: str
    units: float
    utility: float
    credit: float
    late: bool


@dataclass(frozen=True, slots=True)
class VolumeEntitlement:
    """What a volume is entitled to: units a second reserved, and its weight."""

    reserve: float
    weight: float


@dataclass(slots=True)
class DueTier:
    """Units that are due, and what part of their utility is."""

    units: float
    weight: float


def share_by_weight(
    wanted: Mapping[int, float],
    entitlements: Sequence[VolumeEntitlement],
    spare: float,
) -> dict[int, float]:
    """Return what each volume gets of the spare units by weight.

    None gets more than it wants.
    """
    shares = dict.fromkeys(wanted, 0.0)
    asking = {volume for volume, units in wanted.items() if units > 0}
    while asking and spare > NEGLIGIBLE_UNITS:
        total_weight = sum(entitlements[volume].weight for volume in asking)
        parts = {
            volume: spare * entitlements[volume].weight / total_weight
            for volume in asking
        }
        filled = {
            volume
            for volume in asking
            if wanted[volume] - shares[volume] <= parts[volume]
        }
        if not filled:
            for volume in asking:
                shares[volume] += parts[volume]
            return shares
        for volume in filled:
            spare -= wanted[volume] - shares[volume]
            shares[volume] = wanted[volume]
        asking -= filled
    return shares


class ReserveBuckets:
    """Token buckets of the volumes' reserves."""

    def __init__(
        self, entitlements: Sequence[VolumeEntitlement], largest_units: float
    ) -> None:
        self.entitlements = entitlements
        self.limits = [
            each.reserve + largest_units if each.reserve else 0.0
            for each in entitlements
        ]
        self.levels = dict(enumerate(self.limits))
        self.updated: dict[int, int] = defaultdict(int)

    def take(self, volume: int, second: int, units: float) -> float:
        """Take up to so many units and return how many the reserve had."""
        elapsed = second - self.updated[volume]
        filled = self.levels[volume] + self.entitlements[volume].reserve * elapsed
        level = min(filled, self.limits[volume])
        taken = min(level, units)
        self.levels[volume] = level - taken
        self.updated[volume] = second
        return taken


def total_service(
    operations: Sequence[CompletedOperation],
    entitlements: Sequence[VolumeEntitlement],
    capacity: float,
    largest_units: float,
    share: float,
    spare: float,
) -> dict[str, tuple[float, float]]:
    """Return (utility that counts, utility due) by request class and, under '', in all.

    `capacity` is that of all nodes in units a second, `largest_units` the cost of the
    largest request, `share` and `spare` the utility of units beyond the reserve.
    """
    by_second: dict[int, dict[int, list[CompletedOperation]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for operation in operations:
        by_second[operation.second][operation.volume].append(operation)
    buckets = ReserveBuckets(entitlements, largest_units)
    totals: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for second in sorted(by_second):
        reserved: dict[int, float] = {}
        extra: dict[int, float] = {}
        for volume, arrived in by_second[second].items():
            asked = sum(each.units for each in arrived)
            reserved[volume] = buckets.take(volume, second, asked)
            extra[volume] = asked - reserved[volume]
        left = max(USABLE_CAPACITY * capacity - sum(reserved.values()), 0.0)
        shares = share_by_weight(extra, entitlements, left)
        for volume, arrived in by_second[second].items():
            tiers = [
                DueTier(reserved[volume], 1.0),
                DueTier(shares[volume], share),
                DueTier(extra[volume] - shares[volume], spare),
            ]
            add_utilities(arrived, tiers, totals)
    return {name: (counted, due) for name, (counted, due) in totals.items()}


def add_utilities(
    operations: Sequence[CompletedOperation],
    tiers: list[DueTier],
    totals: dict[str, list[float]],
) -> None:
    """Add the utilities of one volume's operations of one second to the totals."""
    weighted = sum(tier.units * tier.weight for tier in tiers)
    units = sum(tier.units for tier in tiers)
    mean_weight = weighted / max(units, NEGLIGIBLE_UNITS)
    for each in sorted(operations, key=lambda operation: operation.late):
        taken = take_from_tiers(tiers, each.units, each.late) if each.credit else 0.0
        for name in (each.request_class, ""):
            totals[name][0] += taken * each.utility * each.credit
            totals[name][1] += each.units * mean_weight * each.utility


def take_from_tiers(tiers: list[DueTier], units: float, worst_first: bool) -> float:
    """Return units times weight that one operation takes of what is still due."""
    weighted = 0.0
    for tier in reversed(tiers) if worst_first else tiers:
        part = min(tier.units, units)
        tier.units -= part
        units -= part
        weighted += part * tier.weight
    return weighted
