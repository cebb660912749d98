"""Predecessors of a number under each order: the numbers that hold back its release.

No I/O and no clock. `channel_releases` reads these tables; see docs/channels.md.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum, auto

from milletsill.fleet.channels.access_ranges import ranges_overlap
from milletsill.fleet.channels.channel_state import ChannelState
from milletsill.fleet.channels.contracts import ChannelOrder
from milletsill.fleet.channels.limits import MAX_NUMBER, MAX_PINNED
from milletsill.fleet.channels.number_states import STARTED_STATES, NumberState


class ReleaseGate(Enum):
    """Whether a number may be released."""

    OPEN = auto()
    """The number may be released now."""

    BUSY = auto()
    """The predecessor waits or is in flight."""

    GAP = auto()
    """The predecessor is absent."""

    QUARANTINED = auto()
    """The predecessor, or the number itself, is in quarantine."""


GATE_BY_PREDECESSOR: Mapping[NumberState, ReleaseGate] = {
    NumberState.ABSENT: ReleaseGate.GAP,
    NumberState.WAITING: ReleaseGate.BUSY,
    NumberState.RELEASED: ReleaseGate.BUSY,
    NumberState.RETRY_WAITING: ReleaseGate.BUSY,
    NumberState.INDETERMINATE: ReleaseGate.QUARANTINED,
    NumberState.CLOSED: ReleaseGate.OPEN,
}
"""The gate of a number, by the state of its predecessor."""


def predecessor_in_order(channel: ChannelState, number: int) -> int | None:
    """Return the lowest open number, if it is lower.

    Numbers then start in ascending order. A number that never completes would hold back
    all later ones, so waits for gaps and quarantines are limited in time.
    """
    return channel.lowest_open if channel.lowest_open < number else None


def predecessor_of_newest(channel: ChannelState, number: int) -> int | None:
    """Return the number in flight, or else the newest waiting number, if it is newer.

    Prevents an older number from taking effect after a newer one: one number is in
    flight at a time, and the newest waiting number starts first. The cost is that a
    newer number waits for the answer to an older one.
    """
    for other, open_number in channel.open_numbers.items():
        if other != number and open_number.state in STARTED_STATES:
            return other
    change = channel.next_contract
    # Numbers from the change of contract on do not supersede numbers below it yet.
    end = change.first_number if change and number < change.first_number else MAX_NUMBER
    newest = max(
        (
            other
            for other, open_number in channel.open_numbers.items()
            if open_number.state is NumberState.WAITING and other < end
        ),
        default=number,
    )
    return newest if newest > number else None


def predecessor_by_extent(channel: ChannelState, number: int) -> int | None:
    """Return the lowest open number that touches, or may touch, the same extent.

    Keeps the order on each extent. A lower number that is absent may touch any extent,
    unless it was overtaken before; then it is pinned to its access ranges.
    """
    ranges = channel.open_numbers[number].ranges
    for lower in range(channel.lowest_open, number):
        if lower in channel.closed:
            continue
        open_number = channel.open_numbers.get(lower)
        if open_number is None:
            pinned = channel.pinned_ranges.get(lower)
            if pinned is None or ranges_overlap(pinned, ranges):
                return lower
            continue
        if ranges_overlap(open_number.ranges, ranges):
            return lower
        if (
            lower not in channel.pinned_ranges
            and open_number.state is NumberState.WAITING
            and len(channel.pinned_ranges) >= MAX_PINNED
        ):
            return lower  # no pin is left for it, so it must not be overtaken
    return None


def predecessor_of_batch(channel: ChannelState, number: int) -> int | None:
    """Return the lowest open number, if `number` is not of the current batch.

    No number of a batch starts before all numbers of the previous batch are closed.
    """
    if channel.open_numbers[number].batch == channel.batch:
        return None
    return channel.lowest_open


PREDECESSOR_RULES: Mapping[ChannelOrder, Callable[[ChannelState, int], int | None]] = {
    ChannelOrder.EACH_IN_ORDER: predecessor_in_order,
    ChannelOrder.NEWEST: predecessor_of_newest,
    ChannelOrder.BY_EXTENT: predecessor_by_extent,
    ChannelOrder.BATCHES: predecessor_of_batch,
}
"""By order: (channel, number) -> its predecessor, or None if it has none."""
