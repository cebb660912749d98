"""What is wrong with a numbered request, against what its channel knows.

No I/O and no clock.
"""

from __future__ import annotations

from milletsill.fleet.channels.channel_state import ChannelState
from milletsill.fleet.channels.contracts import ChannelOrder
from milletsill.fleet.channels.number_states import NumberState
from milletsill.fleet.channels.sequences import OpenSequence, PendingNumber


def other_request_text(channel: ChannelState, number: int) -> str:
    """What a client hears whose number belongs to another request."""
    return (
        f"number {number} was another transfer: number anew from {channel.lowest_open}"
    )


def find_contradiction(
    channel: ChannelState, request: PendingNumber, sequence: OpenSequence | None
) -> str:
    """What a request contradicts, as text for its client; empty for nothing.

    `sequence` is what is known of its number, if anything.
    """
    number = request.number
    contract = channel.contract_for(number)
    if (
        sequence is not None
        and sequence.state is not NumberState.WAITING
        and sequence.digest != request.digest
    ):
        return other_request_text(channel, number)
    pinned = channel.pinned_ranges.get(number)
    if pinned is not None and pinned != request.ranges:
        return (
            f"number {number} was overtaken while it touched another extent: "
            "send it as it was"
        )
    in_batches = contract.order is ChannelOrder.BATCHES
    if in_batches != (request.batch > 0):
        wanted = "needed" if request.batch == 0 else "not known"
        return f"contract {contract.name} is {contract.order.name}: a batch is {wanted}"
    if in_batches and contract is channel.contract:
        return _find_batch_contradiction(channel, request)
    return ""


def _find_batch_contradiction(channel: ChannelState, request: PendingNumber) -> str:
    """Guards against batches that overlap. Harm: none, no order could hold for them."""
    number = request.number
    batch = request.batch
    batch_end = channel.known_batch_end()
    is_present = batch == channel.batch
    if (
        batch < channel.batch
        or (is_present and batch_end and number > batch_end)
        or (not is_present and batch_end and number <= batch_end)
    ):
        return (
            f"batch {channel.batch} ends with number {batch_end or 'an unknown one'}: "
            f"number {number} cannot be of batch {batch}"
        )
    if not is_present or not request.ends_batch:
        return ""
    highest = max(
        (
            other
            for other, sequence in channel.open_sequences.items()
            if sequence.batch == channel.batch
        ),
        default=0,
    )
    if number < max(highest, max(channel.closed, default=0)) or (
        batch_end and number != batch_end
    ):
        return (
            f"number {number} cannot be the last of batch {batch}: "
            f"{batch_end or highest} is of it"
        )
    return ""
