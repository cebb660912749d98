"""The sequencer of one channel: turns commands and ends of attempts into effects.

No I/O and no clock: times are passed in. `effects_after_write` has the effects that
must be in the stored record first: the owner writes the record, then performs them.
`immediate_effects` has those that do not depend on the record. The owner empties both.
Times are whole tenths of a millisecond on the owner's own clock.
"""

from __future__ import annotations

from dataclasses import replace

from milletsill.fleet.channels.channel_releases import ChannelReleases
from milletsill.fleet.channels.commands import ChannelCommand
from milletsill.fleet.channels.contracts import (
    ChannelDeclaration,
    ContractChange,
    IndeterminatePolicy,
    changes_contract,
)
from milletsill.fleet.channels.contradictions import find_contradiction
from milletsill.fleet.channels.effects import AnswerChannelOpen, Notify, ReplyKind
from milletsill.fleet.channels.limits import MAX_KEY_GENERATIONS
from milletsill.fleet.channels.number_states import (
    NumberEffect,
    NumberEvent,
    NumberState,
    transition,
)
from milletsill.fleet.channels.tracked_numbers import (
    CompletedNumber,
    CompletionOutcome,
    PendingRequest,
)


class ChannelSequencer(ChannelReleases):
    """Handles the commands and the ends of attempts of one channel."""

    def recover(self, now: int) -> None:
        """Mark all numbers that may be in flight as indeterminate.

        Their clients have not been told, so each number is reserved for at least the
        gap timeout, in which its client can send the request again.
        """
        for open_number in self.open_numbers.values():
            open_number.state = NumberState.INDETERMINATE
            open_number.quarantined_until = self.quarantine_end(now)
            open_number.reserved_until = max(
                open_number.quarantined_until, now + self.contract.gap_timeout
            )

    def open(
        self,
        now: int,
        declaration: ChannelDeclaration,
        token: str,
        recipient: ChannelCommand,
    ) -> None:
        """Make a new claim; requests that wait under the previous claim are answered.

        Raises:
            ContractConflictError: The declaration contradicts an earlier one.
            ContractOutdatedError: The declared version is older than the channel's.
        """
        next_free = self.next_free_number()
        if self.claim and changes_contract(
            self.contract,
            self.chosen_by_client,
            self.next_contract,
            declaration,
            next_free,
        ):
            self.next_contract = ContractChange(
                declaration.first_number or next_free,
                declaration.contract,
                declaration.chosen_by_client,
            )
        if token != self.claim_token or not token:  # the command may arrive twice
            self.claim += 1
            self.claim_token = token
            for number in list(self.open_numbers):
                if self.open_numbers[number].pending is not None:
                    waiting = self._apply(number, NumberEvent.WAIT_ENDED)
                    self._notify_now(waiting, ReplyKind.CLAIM_LOST)
        self.record_changed = True
        self.effects_after_write.append(AnswerChannelOpen(recipient))
        self.release_ready(now)

    def submit(self, now: int, request: PendingRequest) -> None:
        """Handle a numbered request."""
        number = request.number
        if not self.holds_claim(request.claim):
            self._notify_now(request.recipient, ReplyKind.CLAIM_LOST)
            return
        if self.is_closed(number):
            self._repeat_outcome(request)
            return
        open_number = self.open_numbers.get(number)
        contradiction = find_contradiction(self, request, open_number)
        if contradiction:
            self._contradict(request.recipient, number, contradiction)
            return
        if self._exceeds_max_waiting(number) or self.is_too_far_ahead(number):
            self._reject(request.recipient)
            return
        if (
            open_number is not None
            and open_number.state is NumberState.INDETERMINATE
            and now >= self.key_window_end(open_number, request)
        ):
            stops = self.contract.indeterminate_policy is IndeterminatePolicy.STOP
            kind = ReplyKind.STOPPED if stops else ReplyKind.FAILED
            self._notify_now(request.recipient, kind, number)
            return
        self._accept(request, open_number)
        self.release_ready(now)

    def resolve(
        self,
        now: int,
        number: int,
        event: NumberEvent,
        claim: int,
        recipient: ChannelCommand,
    ) -> None:
        """Apply a client's resolution of a number.

        A resolution is rejected until the quarantine of the number ends, so later
        numbers always wait until then.
        """
        open_number = self.open_numbers.get(number)
        state = self.state_of(number)
        if not self.holds_claim(claim):
            self._notify_now(recipient, ReplyKind.CLAIM_LOST)
            return
        if (
            open_number is not None
            and state is NumberState.INDETERMINATE
            and now < open_number.quarantined_until
        ):
            self.immediate_effects.append(
                Notify(
                    recipient,
                    ReplyKind.REJECTED,
                    retry_delay=open_number.quarantined_until - now,
                )
            )
            return
        if (
            event is NumberEvent.RESOLVED_NOT_DONE
            and len(self.key_generations) >= MAX_KEY_GENERATIONS
            and number not in self.key_generations
        ):
            self._reject(recipient)
            return
        if (
            self.is_closed(number)
            or self.is_too_far_ahead(number)
            or transition(state, event) == (state, NumberEffect.NONE)
        ):
            self._contradict(
                recipient,
                number,
                f"number {number} cannot be resolved this way now",
            )
            return
        self._apply(number, event)
        self.effects_after_write.append(Notify(recipient, ReplyKind.OUTCOME, number))
        self.release_ready(now)

    def on_attempt_ended(
        self,
        now: int,
        number: int,
        event: NumberEvent,
        status_code: int = 0,
        retry_delay: int = 0,
    ) -> None:
        """Apply the end of a released attempt.

        Args:
            now: The current time.
            number: The released number.
            event: SETTLED, NEVER_RAN or ANSWER_LOST.
            status_code: Status code of the node's answer, if SETTLED.
            retry_delay: When the client may retry, if NEVER_RAN.
        """
        open_number = self.open_numbers[number]
        recipients = open_number.recipients
        open_number.recipients = []
        if event is NumberEvent.NEVER_RAN and self.was_tried_before(open_number):
            event = NumberEvent.ANSWER_LOST
        _, effect = transition(open_number.state, event)
        if effect is NumberEffect.SETTLE:
            outcome = CompletionOutcome.SETTLED
            self._close(
                number, CompletedNumber(outcome, status_code, open_number.digest)
            )
            self.effects_after_write.extend(
                Notify(each, ReplyKind.OUTCOME, number, status_code=status_code)
                for each in recipients
            )
        elif effect is NumberEffect.REJECT:
            del self.open_numbers[number]
            self.record_changed = True
            self.immediate_effects.extend(
                Notify(each, ReplyKind.REJECTED, self.lowest_open, retry_delay)
                for each in recipients
            )
        elif effect is NumberEffect.FAIL:
            open_number.state = NumberState.INDETERMINATE
            open_number.quarantined_until = self.quarantine_end(now)
            open_number.reserved_until = open_number.quarantined_until
            self.immediate_effects.extend(
                Notify(each, ReplyKind.FAILED, number) for each in recipients
            )
        self.release_ready(now)

    def abandon_waiting(self, retry_delay: int) -> None:
        """Answer all waiting requests, because the lease was lost or is released.

        Attempts in flight continue until they end.
        """
        for number, open_number in list(self.open_numbers.items()):
            if open_number.pending is None:
                continue
            reply = self._unreleased_reply(open_number, open_number.pending.recipient)
            self.immediate_effects.append(
                replace(
                    reply,
                    number=None,
                    retry_delay=retry_delay if reply.retry_delay else 0,
                )
            )
            self._apply(number, NumberEvent.WAIT_ENDED)

    def _exceeds_max_waiting(self, number: int) -> bool:
        """Whether the channel tracks too many open numbers to accept another one."""
        return (
            number not in self.open_numbers
            and number != self.lowest_open
            and len(self.open_numbers) >= self.contract.max_waiting
        )
