"""State changes of single numbers of a channel, and the answers that result.

No I/O and no clock. Times are whole tenths of a millisecond on the owner's own clock.
"""

from __future__ import annotations

from milletsill.fleet.channels.channel_state import ChannelState
from milletsill.fleet.channels.commands import ChannelCommand
from milletsill.fleet.channels.contracts import ChannelOrder, OrderingContract
from milletsill.fleet.channels.contradictions import other_request_text
from milletsill.fleet.channels.effects import Effect, Notify, ReplyKind
from milletsill.fleet.channels.limits import (
    DEFAULT_RETRY_DELAY,
    MAX_RECIPIENTS,
    MAX_REMEMBERED,
)
from milletsill.fleet.channels.number_states import (
    NumberEffect,
    NumberEvent,
    NumberState,
    transition,
)
from milletsill.fleet.channels.tracked_numbers import (
    CompletedNumber,
    CompletionOutcome,
    OpenNumber,
    PendingRequest,
)

_OUTCOME_BY_EFFECT = {
    NumberEffect.STAY_INDETERMINATE: CompletionOutcome.STAYED_INDETERMINATE,
    NumberEffect.MARK_DONE: CompletionOutcome.SETTLED,
    NumberEffect.SUPERSEDE: CompletionOutcome.SUPERSEDED,
}
_REPLY_BY_OUTCOME: dict[int, ReplyKind] = {
    CompletionOutcome.STAYED_INDETERMINATE: ReplyKind.FAILED,
    CompletionOutcome.SKIPPED: ReplyKind.SKIPPED,
    CompletionOutcome.SUPERSEDED: ReplyKind.SUPERSEDED,
}


class ChannelNumbers(ChannelState):
    """Applies events to the numbers of a channel.

    Attributes:
        effects_after_write: Effects to perform once the record is written.
        immediate_effects: Effects that do not depend on the record.
        record_changed: Whether the record must be written.
    """

    def __init__(
        self,
        contract: OrderingContract,
        quarantine: int,
        chosen_by_client: bool = False,
    ) -> None:
        super().__init__(contract, quarantine, chosen_by_client)
        self.effects_after_write: list[Effect] = []
        self.immediate_effects: list[Effect] = []
        self.record_changed = False

    def _accept(self, request: PendingRequest, open_number: OpenNumber | None) -> None:
        """Queue a request, or let it wait for the outcome of the attempt in flight."""
        number = request.number
        state, effect = transition(self.state_of(number), NumberEvent.REQUEST_RECEIVED)
        if effect is NumberEffect.JOIN and open_number is not None:
            open_number.recipients.append(request.recipient)
            if len(open_number.recipients) > MAX_RECIPIENTS:
                oldest = open_number.recipients.pop(0)
                self._notify_now(oldest, ReplyKind.FAILED, number)
            return
        if open_number is None:
            open_number = OpenNumber(state, request.digest, request.ranges)
            self.open_numbers[number] = open_number
        elif effect is NumberEffect.REPLACE and open_number.pending is not None:
            self.immediate_effects.append(
                self._unreleased_reply(open_number, open_number.pending.recipient)
            )
        open_number.state = state
        open_number.pending = request
        open_number.digest = request.digest
        open_number.ranges = request.ranges
        open_number.batch = request.batch
        open_number.ends_batch = request.ends_batch
        open_number.gap_since = None

    def _apply(self, number: int, event: NumberEvent) -> ChannelCommand | None:
        """Apply an event to a number that is not in flight.

        Returns the command that waited for the number, if any.
        """
        open_number = self.open_numbers.get(number)
        state = self.state_of(number)
        next_state, effect = transition(state, event)
        request = open_number.pending if open_number is not None else None
        if next_state is NumberState.CLOSED:
            outcome = _OUTCOME_BY_EFFECT.get(effect, CompletionOutcome.SKIPPED)
            digest = open_number.digest if open_number is not None else 0
            self._close(number, CompletedNumber(outcome, 0, digest))
        elif effect is NumberEffect.FREE_FOR_RETRY:
            del self.open_numbers[number]
            self.key_generations[number] = self.key_generations.get(number, 0) + 1
            self.record_changed = True
        elif effect is NumberEffect.DROP and next_state is NumberState.ABSENT:
            del self.open_numbers[number]
        elif open_number is not None:
            open_number.state = next_state
            open_number.pending = None
            open_number.gap_since = None
        return request.recipient if request is not None else None

    def _close(self, number: int, completed: CompletedNumber) -> None:
        """Close a number; under NEWEST, supersede all older ones."""
        self.open_numbers.pop(number, None)
        self.key_generations.pop(number, None)
        self.pinned_ranges.pop(number, None)
        self.completed[number] = completed
        while len(self.completed) > MAX_REMEMBERED:
            del self.completed[next(iter(self.completed))]
        self.record_changed = True
        if self.contract.order is ChannelOrder.NEWEST:
            for older in sorted(each for each in self.open_numbers if each < number):
                recipient = self._apply(older, NumberEvent.SUPERSEDED)
                self.effects_after_write.append(
                    Notify(recipient, ReplyKind.SUPERSEDED, number)
                )
            self.lowest_open = max(self.lowest_open, number + 1)
            return
        self.closed.add(number)
        while self.lowest_open in self.closed:
            self.closed.remove(self.lowest_open)
            self.lowest_open += 1
        self.pinned_ranges = {
            pinned: ranges
            for pinned, ranges in self.pinned_ranges.items()
            if pinned >= self.lowest_open
        }

    def _repeat_outcome(self, request: PendingRequest) -> None:
        """Answer with the remembered outcome, without a second effect.

        The answer waits for the next write of the record, because the stored record may
        not contain the outcome yet.
        """
        number = request.number
        recipient = request.recipient
        known = self.completed.get(number)
        if known is None:
            superseded = self.contract.order is ChannelOrder.NEWEST
            kind = ReplyKind.SUPERSEDED if superseded else ReplyKind.FORGOTTEN
        elif (
            known.outcome
            in (CompletionOutcome.SETTLED, CompletionOutcome.STAYED_INDETERMINATE)
            and known.digest != request.digest
        ):
            self._contradict(recipient, number, other_request_text(self, number))
            return
        elif known.outcome == CompletionOutcome.SETTLED:
            self.effects_after_write.append(
                Notify(
                    recipient, ReplyKind.OUTCOME, number, status_code=known.status_code
                )
            )
            return
        else:
            kind = _REPLY_BY_OUTCOME[known.outcome]
        newer = self.lowest_open - 1 if kind is ReplyKind.SUPERSEDED else None
        self.effects_after_write.append(Notify(recipient, kind, newer))

    def _unreleased_reply(
        self, open_number: OpenNumber, recipient: ChannelCommand
    ) -> Notify:
        """Return the answer to a request that is abandoned before its release.

        A rejection promises that no request with this number had an effect, so a
        request that waited for a retry is answered with a failure instead.
        """
        if open_number.state is NumberState.WAITING:
            return Notify(
                recipient, ReplyKind.REJECTED, self.lowest_open, DEFAULT_RETRY_DELAY
            )
        return Notify(recipient, ReplyKind.FAILED)

    def _reject(self, recipient: ChannelCommand) -> None:
        """Answer that nothing was done, and name the lowest open number."""
        self.immediate_effects.append(
            Notify(recipient, ReplyKind.REJECTED, self.lowest_open, DEFAULT_RETRY_DELAY)
        )

    def _contradict(self, recipient: ChannelCommand, number: int, text: str) -> None:
        self.immediate_effects.append(
            Notify(recipient, ReplyKind.CONTRADICTION, number, text=text)
        )

    def _notify_now(
        self,
        recipient: ChannelCommand | None,
        kind: ReplyKind,
        number: int | None = None,
    ) -> None:
        self.immediate_effects.append(Notify(recipient, kind, number))
