"""Sets the clocks of several gateways' traces by the events that they share."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from statistics import median

from milletsill.trace.records import TICKS_PER_SECOND

# Between two gateways that hear of the same change: the time that the endpoint list
# takes to reach them, not a difference of their clocks.
TOLERATED_OFFSET = TICKS_PER_SECOND

# A change of a node: its id, what it became, and the how many-eth time.
NodeChange = tuple[int, str, int]
# How much to add to a file's wall time, and what that may be off by; None where the
# file shares nothing with the others.
ClockCorrection = tuple[int, int | None]


def align_clocks(
    origins: Sequence[int], changes: Sequence[Mapping[NodeChange, int]]
) -> list[ClockCorrection]:
    """Return for each file the correction of its clock.

    `origins` are the wall times of the clocks' zeros, `changes` when each file's
    gateway heard of what several may have heard of. The time of a change is the median
    over those who heard it; a file is off by the median of its own distances. What is
    within `TOLERATED_OFFSET` is left alone: news takes its time, and wall clocks are
    mostly right. Guards a merge against a clock that is seconds off, whatever set it
    so; harm: a gateway that was cut off for long hears all of it late and is taken for
    one whose clock is off.
    """
    heard: dict[NodeChange, list[int]] = {}
    for origin, times in zip(origins, changes, strict=False):
        for change, at in times.items():
            heard.setdefault(change, []).append(origin + at)
    agreed = {
        change: median(times) for change, times in heard.items() if len(times) > 1
    }
    corrections: list[ClockCorrection] = []
    for origin, times in zip(origins, changes, strict=False):
        offsets = sorted(
            origin + at - agreed[change]
            for change, at in times.items()
            if change in agreed
        )
        corrections.append(correction_of(offsets))
    return corrections


def correction_of(offsets: Sequence[float]) -> ClockCorrection:
    """Return the correction of a clock from its offsets, in ascending order."""
    if not offsets:
        return 0, None
    middle = median(offsets)
    spread = max(offsets[-1] - middle, middle - offsets[0])
    if abs(middle) > TOLERATED_OFFSET:
        return -round(middle), round(spread)
    return 0, round(max(abs(middle), spread))
