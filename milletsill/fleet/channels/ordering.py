"""What stands before a number, by the order that the channel's contract asks for.

No I/O and no clock. `channel_sequencer` reads these tables; see docs/channels.md.
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
    """It may be released now."""

    BUSY = auto()
    """What is before it is in flight, or may be released itself."""

    GAP = auto()
    """What is before it is absent."""

    QUARANTINED = auto()
    """What is before it has an indeterminate outcome."""


GATE_BY_PREDECESSOR: Mapping[NumberState, ReleaseGate] = {
    NumberState.ABSENT: ReleaseGate.GAP,
    NumberState.WAITING: ReleaseGate.BUSY,
    NumberState.RELEASED: ReleaseGate.BUSY,
    NumberState.RETRY_WAITING: ReleaseGate.BUSY,
    NumberState.INDETERMINATE: ReleaseGate.QUARANTINED,
    NumberState.CLOSED: ReleaseGate.OPEN,
}
"""The gate of a number, by the state of the one that stands before it."""


def predecessor_in_order(channel: ChannelState, number: int) -> int | None:
    """The lowest open number, if it is lower.

    Guards the order. Harm: one that can never end holds all; hence waits for gaps and
    quarantines have ends.
    """
    return channel.lowest_open if channel.lowest_open < number else None


def predecessor_of_newest(channel: ChannelState, number: int) -> int | None:
    """What is in flight, or else the newest that waits, if it is newer.

    Guards against an older number that takes effect after a newer one: one is in
    flight at a time, and the newest that waits goes first. Harm: a newer one waits for
    an older one's answer.
    """
    for other, sequence in channel.open_sequences.items():
        if other != number and sequence.state in STARTED_STATES:
            return other
    change = channel.next_contract
    # What waits for a change of contract is no newer one yet.
    end = change.first_number if change and number < change.first_number else MAX_NUMBER
    newest = max(
        (
            other
            for other, sequence in channel.open_sequences.items()
            if sequence.state is NumberState.WAITING and other < end
        ),
        default=number,
    )
    return newest if newest > number else None


def predecessor_by_extent(channel: ChannelState, number: int) -> int | None:
    """The lowest open number that touches, or may touch, the same extent.

    Guards the order on one extent: a lower number that is absent may be of any extent,
    unless it was here before and was overtaken; then it is pinned to what it touches.
    """
    ranges = channel.open_sequences[number].ranges
    for lower in range(channel.lowest_open, number):
        if lower in channel.closed:
            continue
        sequence = channel.open_sequences.get(lower)
        if sequence is None:
            pinned = channel.pinned_ranges.get(lower)
            if pinned is None or ranges_overlap(pinned, ranges):
                return lower
            continue
        if ranges_overlap(sequence.ranges, ranges):
            return lower
        if (
            lower not in channel.pinned_ranges
            and sequence.state is NumberState.WAITING
            and len(channel.pinned_ranges) >= MAX_PINNED
        ):
            return lower  # it could not be pinned
    return None


def predecessor_of_batch(channel: ChannelState, number: int) -> int | None:
    """The lowest open number, for one of another batch than the present.

    Guards a batch against the one before it: nothing of it until that is whole.
    """
    if channel.open_sequences[number].batch == channel.batch:
        return None
    return channel.lowest_open


PREDECESSOR_RULES: Mapping[ChannelOrder, Callable[[ChannelState, int], int | None]] = {
    ChannelOrder.EACH_IN_ORDER: predecessor_in_order,
    ChannelOrder.NEWEST: predecessor_of_newest,
    ChannelOrder.BY_EXTENT: predecessor_by_extent,
    ChannelOrder.BATCHES: predecessor_of_batch,
}
"""By order: (channel, number) -> the number that stands before it, None for nothing."""
