"""Detection of numbered requests that contradict the state of their channel.

No I/O and no clock.
"""

from __future__ import annotations

from milletsill.fleet.channels.channel_state import ChannelState
from milletsill.fleet.channels.contracts import ChannelOrder
from milletsill.fleet.channels.number_states import NumberState
from milletsill.fleet.channels.tracked_numbers import OpenNumber, PendingRequest


def other_request_text(channel: ChannelState, number: int) -> str:
    """Return the message to a client whose number belongs to another request."""
    return (
        f"number {number} belongs to a different request: "
        f"use numbers from {channel.lowest_open} on"
    )


def find_contradiction(
    channel: ChannelState, request: PendingRequest, open_number: OpenNumber | None
) -> str:
    """Return what a request contradicts, as a message; empty if nothing.

    `open_number` is the tracked state of the request's number, if there is one.
    """
    number = request.number
    contract = channel.contract_for(number)
    if (
        open_number is not None
        and open_number.state is not NumberState.WAITING
        and open_number.digest != request.digest
    ):
        return other_request_text(channel, number)
    pinned = channel.pinned_ranges.get(number)
    if pinned is not None and pinned != request.ranges:
        return (
            f"number {number} was overtaken by a higher number and now touches another "
            "extent: send the original request again"
        )
    in_batches = contract.order is ChannelOrder.BATCHES
    if in_batches != (request.batch > 0):
        wanted = "needed" if request.batch == 0 else "not allowed"
        return (
            f"contract {contract.name} has order {contract.order.name}: "
            f"a batch is {wanted}"
        )
    if in_batches and contract is channel.contract:
        return _find_batch_contradiction(channel, request)
    return ""


def _find_batch_contradiction(channel: ChannelState, request: PendingRequest) -> str:
    """Return why a request would make batches overlap; empty if it does not.

    No order can hold for overlapping batches, so this check has no cost.
    """
    number = request.number
    batch = request.batch
    batch_end = channel.known_batch_end()
    is_current = batch == channel.batch
    if (
        batch < channel.batch
        or (is_current and batch_end and number > batch_end)
        or (not is_current and batch_end and number <= batch_end)
    ):
        return (
            f"the current batch is {channel.batch}, its last number is "
            f"{batch_end or 'unknown'}: number {number} cannot be in batch {batch}"
        )
    if not is_current or not request.ends_batch:
        return ""
    highest = max(
        (
            other
            for other, open_number in channel.open_numbers.items()
            if open_number.batch == channel.batch
        ),
        default=0,
    )
    if number < max(highest, max(channel.closed, default=0)) or (
        batch_end and number != batch_end
    ):
        return (
            f"number {number} cannot be the last number of batch {batch}, which "
            f"contains number {batch_end or highest}"
        )
    return ""
