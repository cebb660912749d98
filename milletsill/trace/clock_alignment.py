"""Aligns the clocks of several gateways' traces by the node changes they share."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from statistics import median

from milletsill.trace.records import TICKS_PER_SECOND

# Two gateways may receive the same change this far apart because the endpoint list
# takes time to reach them; such a distance is not treated as a clock difference.
TOLERATED_OFFSET = TICKS_PER_SECOND

# A change of a node: its id, its new readiness, and how often the node had changed to
# that readiness, this change included.
NodeChange = tuple[int, str, int]
# The ticks to add to a file's wall time, and the uncertainty of that correction; None
# if the file shares no change with the others.
ClockCorrection = tuple[int, int | None]


def align_clocks(
    origins: Sequence[int], changes: Sequence[Mapping[NodeChange, int]]
) -> list[ClockCorrection]:
    """Return the clock correction of each file.

    `origins` are the wall times at which the files' clocks read zero. `changes` holds,
    for each file, when its gateway received each node change. The reference time of a
    change is the median over the gateways that received it; the offset of a file is the
    median of its distances to the reference times. An offset within `TOLERATED_OFFSET`
    is not corrected, because updates take time to arrive and wall clocks are mostly
    right. The correction protects a merge from a clock that is seconds off, whatever
    the cause. Its drawback: a gateway that was disconnected for long receives every
    change late and is treated as if its clock were off.
    """
    times_by_change: dict[NodeChange, list[int]] = {}
    for origin, times in zip(origins, changes, strict=False):
        for change, at in times.items():
            times_by_change.setdefault(change, []).append(origin + at)
    reference_times = {
        change: median(times)
        for change, times in times_by_change.items()
        if len(times) > 1
    }
    corrections: list[ClockCorrection] = []
    for origin, times in zip(origins, changes, strict=False):
        offsets = sorted(
            origin + at - reference_times[change]
            for change, at in times.items()
            if change in reference_times
        )
        corrections.append(clock_correction(offsets))
    return corrections


def clock_correction(offsets: Sequence[float]) -> ClockCorrection:
    """Return the correction of a clock; `offsets` are in ascending order."""
    if not offsets:
        return 0, None
    median_offset = median(offsets)
    spread = max(offsets[-1] - median_offset, median_offset - offsets[0])
    if abs(median_offset) > TOLERATED_OFFSET:
        return -round(median_offset), round(spread)
    return 0, round(max(abs(median_offset), spread))
