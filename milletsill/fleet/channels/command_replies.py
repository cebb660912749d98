"""Construction and delivery of the packets that answer channel commands."""

from __future__ import annotations

from collections.abc import Callable

from milletsill.errors import MilletsillError
from milletsill.fleet.channels.channel_state import ChannelState
from milletsill.fleet.channels.commands import ChannelCommand, Redirect
from milletsill.fleet.channels.effects import ReplyKind
from milletsill.fleet.channels.errors import (
    ContractConflictError,
    ContractNotOfferedError,
    ContractOutdatedError,
)
from milletsill.fleet.channels.limits import DEFAULT_RETRY_DELAY
from milletsill.fleet.channels.number_states import INDETERMINATE_STATES
from milletsill.fleet.channels.tracked_numbers import CompletionOutcome
from milletsill.fleet.leases.errors import NotLeaseHolderError
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets, status_tags

CONTRACT_ERRORS = (
    ContractConflictError,
    ContractOutdatedError,
    ContractNotOfferedError,
)
"""Errors that are answered with `ReplyKind.CONTRADICTION`."""

REPLY_TEXTS = {
    ReplyKind.REJECTED: "declined: nothing was done",
    ReplyKind.FAILED: "aborted: it may have been done",
    ReplyKind.CLAIM_LOST: "a later claim holds this channel",
    ReplyKind.SUPERSEDED: "a newer number is closed",
    ReplyKind.FORGOTTEN: "closed, and its outcome is no longer remembered",
    ReplyKind.SKIPPED: "skipped by the client",
    ReplyKind.STOPPED: "waits for a number with an indeterminate outcome: resolve it",
    ReplyKind.CONTRADICTION: "contradicts",
}
KINDS_WITH_NUMBER = (ReplyKind.REJECTED, ReplyKind.SUPERSEDED, ReplyKind.STOPPED)
COUNTED_CHANNEL_STATUS = "claimed"
COUNTED_NUMBER_STATUS = "look"

_WIRE_STATES: dict[int, int] = {
    CompletionOutcome.SETTLED: wire.NumberStatus.SETTLED,
    CompletionOutcome.STAYED_INDETERMINATE: wire.NumberStatus.INDETERMINATE,
    CompletionOutcome.SKIPPED: wire.NumberStatus.SKIPPED,
}


def retry_delay_of(error: MilletsillError | None) -> int:
    """Return when to retry after an error, in tenths of a millisecond."""
    return getattr(error, "retry_delay", 0) or DEFAULT_RETRY_DELAY


def channel_status_packet(channel: ChannelState) -> packets.ExtendedReply:
    """Return the status of a channel, for the client that opened it."""
    first_remembered = min(
        (
            number
            for number, completed in channel.completed.items()
            if completed.outcome == CompletionOutcome.SETTLED
        ),
        default=channel.lowest_open,
    )
    contract = channel.contract
    return wire.encode_open_reply(
        0,
        wire.ChannelOpenReply(
            b"",
            channel.claim,
            contract.name,
            contract.version,
            contract.order.value,
            channel.lowest_open,
            channel.batch,
            contract.max_waiting,
            first_remembered,
            channel.indeterminate_numbers()[: wire.MAX_INDETERMINATE],
        ),
    )


def number_status_packet(channel: ChannelState, number: int) -> packets.ExtendedReply:
    """Return the status of a number, for the client that queries it."""
    state = _wire_state(channel, number)
    answer = None
    if state == wire.NumberStatus.SETTLED:
        answer = packets.Status(0, channel.completed[number].status_code, "remembered")
    return wire.encode_query_reply(
        0, wire.ChannelQueryReply(state, channel.lowest_open, answer)
    )


def _wire_state(channel: ChannelState, number: int) -> int:
    completed = channel.completed.get(number)
    if completed is not None:
        return _WIRE_STATES.get(completed.outcome, wire.NumberStatus.SKIPPED)
    if channel.is_closed(number):
        return wire.NumberStatus.FORGOTTEN
    open_number = channel.open_numbers.get(number)
    if open_number is None:
        return wire.NumberStatus.OPEN
    if open_number.state in INDETERMINATE_STATES:
        return wire.NumberStatus.INDETERMINATE
    return wire.NumberStatus.IN_PROGRESS


class CommandReplies:
    """Answers channel commands; calls `count` with the name of each answer."""

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count

    def reply(
        self,
        command: ChannelCommand,
        kind: ReplyKind,
        number: int | None = None,
        retry_delay: int = 0,
        text: str = "",
    ) -> None:
        """Answer a command with a tagged status.

        The tag contains `number` only for kinds in `KINDS_WITH_NUMBER`.
        """
        packet = status_tags.tagged_status(
            0,
            kind.value,
            text or REPLY_TEXTS[kind],
            number if kind in KINDS_WITH_NUMBER else None,
            retry_delay,
        )
        self.send(command, packet, kind.value)

    def reject(self, command: ChannelCommand, retry_delay: int) -> None:
        """Answer that nothing was done, and after which delay to retry."""
        self.reply(command, ReplyKind.REJECTED, retry_delay=retry_delay)

    def report_error(self, command: ChannelCommand, error: MilletsillError) -> None:
        """Answer a command with an error, or redirect it to the lease holder."""
        if isinstance(error, NotLeaseHolderError) and error.holder:
            command.on_answer(Redirect(error.holder, error.retry_delay))
            return
        if isinstance(error, CONTRACT_ERRORS):
            self.reply(command, ReplyKind.CONTRADICTION, text=error.what)
            return
        self.reply(
            command,
            ReplyKind.REJECTED,
            retry_delay=retry_delay_of(error),
            text=f"declined: {error.what}",
        )

    def send(
        self, command: ChannelCommand, packet: packets.Answer, counted_as: str
    ) -> None:
        """Answer a command with a packet."""
        self._count(counted_as)
        command.on_answer(packet)
