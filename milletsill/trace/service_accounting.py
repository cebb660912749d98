"""Computes the service figure: the utility delivered over the utility that was due.

The units that each volume asks for in a second of arrival fall into three tiers. The
first tier, due in full, is inside a token bucket that fills at the reserve rate and
holds one second of the reserve plus one largest request. The second tier, due at the
utility `share`, is the volume's part by weight of the capacity that the reserves leave,
where nine tenths of the nodes' capacity count. The third tier, due at the utility
`spare`, is the rest. A request in time takes units of the best tier that is left, a
late one of the worst. The laboratory's benchmark computes the second tier node by node;
this module computes it over all nodes together, because only the laboratory knows the
capacity of each node.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

USABLE_CAPACITY_SHARE = 0.9
NEGLIGIBLE_UNITS = 1e-9


@dataclass(frozen=True, slots=True)
class CompletedOperation:
    """One operation that was answered.

    Attributes:
        second: its second of arrival.
        volume: index of its volume among the entitlements.
        request_class: name of its request class.
        units: its cost in units.
        utility: utility of a unit that is done in time.
        credit: factor of the utility that counts: 1 if done in time, the late weight if
            done late, 0 if not done.
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
    """A volume's entitlement: reserved units per second, and its weight."""

    reserve: float
    weight: float


@dataclass(slots=True)
class DueTier:
    """Units that are due, and the part of their utility that is due."""

    units: float
    weight: float


def share_by_weight(
    wanted: Mapping[int, float],
    entitlements: Sequence[VolumeEntitlement],
    spare: float,
) -> dict[int, float]:
    """Return the spare units of each volume, divided by weight.

    No volume gets more than it wants; the others divide what it leaves.
    """
    shares = dict.fromkeys(wanted, 0.0)
    unsatisfied = {volume for volume, units in wanted.items() if units > 0}
    while unsatisfied and spare > NEGLIGIBLE_UNITS:
        total_weight = sum(entitlements[volume].weight for volume in unsatisfied)
        parts = {
            volume: spare * entitlements[volume].weight / total_weight
            for volume in unsatisfied
        }
        filled = {
            volume
            for volume in unsatisfied
            if wanted[volume] - shares[volume] <= parts[volume]
        }
        if not filled:
            for volume in unsatisfied:
                shares[volume] += parts[volume]
            return shares
        for volume in filled:
            spare -= wanted[volume] - shares[volume]
            shares[volume] = wanted[volume]
        unsatisfied -= filled
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
        """Take up to `units` tokens at a second and return how many were available."""
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
    """Return (utility delivered, utility due) by request class, and in total under ''.

    `capacity` is the units per second of all nodes, `largest_units` the cost of the
    largest request. `share` and `spare` are the utilities of a unit in the second and
    third tier.
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
            asked_units = sum(each.units for each in arrived)
            reserved[volume] = buckets.take(volume, second, asked_units)
            extra[volume] = asked_units - reserved[volume]
        remaining_capacity = max(
            USABLE_CAPACITY_SHARE * capacity - sum(reserved.values()), 0.0
        )
        shares = share_by_weight(extra, entitlements, remaining_capacity)
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
    """Add the utilities of one volume's operations in one second to the totals."""
    weighted = sum(tier.units * tier.weight for tier in tiers)
    units = sum(tier.units for tier in tiers)
    mean_weight = weighted / max(units, NEGLIGIBLE_UNITS)
    for each in sorted(operations, key=lambda operation: operation.late):
        taken = take_from_tiers(tiers, each.units, each.late) if each.credit else 0.0
        for name in (each.request_class, ""):
            totals[name][0] += taken * each.utility * each.credit
            totals[name][1] += each.units * mean_weight * each.utility


def take_from_tiers(tiers: list[DueTier], units: float, worst_first: bool) -> float:
    """Take an operation's units from the tiers and return units times weight."""
    weighted = 0.0
    for tier in reversed(tiers) if worst_first else tiers:
        part = min(tier.units, units)
        tier.units -= part
        units -= part
        weighted += part * tier.weight
    return weighted
