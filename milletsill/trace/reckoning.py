"""Service as the users define it: utility in time over utility due, counted by reserve, share by weight and the rest.

For each volume and second of arrival some units are due in full (inside a store that fills at the reserve's rate and
holds a second of it and one largest transfer), then, of what nine tenths of the boxes' power leave, a part by weight at
`share`, then the rest at `spare`. A transfer in time takes the best that is still due, a late one the worst. The
bench reckons the share box by box; here it is reckoned over all boxes together, since only the lab knows their power.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

USABLE = 0.9


@dataclass(frozen=True, slots=True)
class Done:
    """One operation: its second of arrival, volume, units, utility of a unit, and what of it counts (1 in time, the
    late utility for a late one, 0 for none).
    """

    second: int
    volume: int
    category: str
    units: float
    utility: float
    counts: float
    late: bool


@dataclass(frozen=True, slots=True)
class Claim:
    """A volume's claim: units a second reserved, and its weight."""

    reserve: float
    weight: float


def parted(
    extra: Mapping[int, float], claims: Sequence[Claim], spare: float
) -> dict[int, float]:
    """What each volume gets of the spare units by weight, none more than it asks."""
    got = dict.fromkeys(extra, 0.0)
    asking = {volume for volume, units in extra.items() if units > 0}
    while asking and spare > 1e-9:
        whole = sum(claims[each].weight for each in asking)
        part = {each: spare * claims[each].weight / whole for each in asking}
        filled = {each for each in asking if extra[each] - got[each] <= part[each]}
        if not filled:
            for each in asking:
                got[each] += part[each]
            return got
        for each in filled:
            spare -= extra[each] - got[each]
            got[each] = extra[each]
        asking -= filled
    return got


def reckon(
    done: Sequence[Done],
    claims: Sequence[Claim],
    power: float,
    largest: float,
    share: float,
    spare: float,
) -> dict[str, tuple[float, float]]:
    """(utility that counts, utility due) by category and, under '', in all; `power` in units a second."""
    by_second: dict[int, dict[int, list[Done]]] = defaultdict(lambda: defaultdict(list))
    for each in done:
        by_second[each.second][each.volume].append(each)
    most = [claim.reserve + largest if claim.reserve else 0.0 for claim in claims]
    levels = dict(enumerate(most))
    at: dict[int, int] = defaultdict(int)
    totals: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for second in sorted(by_second):
        inside, extra = {}, {}
        for volume, rows in by_second[second].items():
            claim, asked = claims[volume], sum(each.units for each in rows)
            level = min(
                levels[volume] + claim.reserve * (second - at[volume]), most[volume]
            )
            inside[volume] = min(level, asked)
            levels[volume], at[volume] = level - inside[volume], second
            extra[volume] = asked - inside[volume]
        part = parted(extra, claims, max(USABLE * power - sum(inside.values()), 0.0))
        for volume, rows in by_second[second].items():
            tiers = [
                [inside[volume], 1.0],
                [part[volume], share],
                [extra[volume] - part[volume], spare],
            ]
            mean = sum(units * weight for units, weight in tiers) / max(
                sum(units for units, _ in tiers), 1e-9
            )
            for each in sorted(rows, key=lambda each: each.late):
                held = taken(tiers, each.units, each.late) if each.counts else 0.0
                for name in (each.category, ""):
                    totals[name][0] += held * each.utility * each.counts
                    totals[name][1] += each.units * mean * each.utility
    return {name: (counted, due) for name, (counted, due) in totals.items()}


def taken(tiers: list[list[float]], units: float, worst: bool) -> float:
    """Units times weight that one transfer takes of what is still due, the best first or the worst first."""
    held = 0.0
    for tier in reversed(tiers) if worst else tiers:
        part = min(tier[0], units)
        tier[0], units, held = tier[0] - part, units - part, held + part * tier[1]
    return held
