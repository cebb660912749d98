"""Release of a channel's numbers, and the expiry of waiting requests.

No I/O and no clock. Times are whole tenths of a millisecond on the owner's own clock.
"""

from __future__ import annotations

from milletsill.fleet.channels.channel_numbers import ChannelNumbers
from milletsill.fleet.channels.contracts import ChannelOrder, IndeterminatePolicy
from milletsill.fleet.channels.effects import Release, ReplyKind
from milletsill.fleet.channels.number_states import (
    NumberEvent,
    NumberState,
    transition,
)
from milletsill.fleet.channels.ordering import (
    GATE_BY_PREDECESSOR,
    PREDECESSOR_RULES,
    ReleaseGate,
)
from milletsill.fleet.channels.tracked_numbers import OpenNumber, PendingRequest


class ChannelReleases(ChannelNumbers):
    """Releases the numbers of a channel as its contract's order allows."""

    def release_ready(self, now: int) -> None:
        """Release the numbers that may start; abandon waiting requests that expired."""
        self._expire_waiting(now)
        moved = True
        while moved:
            moved = False
            self._advance_batch_and_contract()
            for number in sorted(self.open_numbers):
                open_number = self.open_numbers.get(number)
                if open_number is None or open_number.pending is None:
                    continue
                gate, predecessor = self._gate(now, number, open_number)
                if gate is ReleaseGate.OPEN:
                    self._release(now, number, open_number, open_number.pending)
                    moved = True
                elif gate is ReleaseGate.QUARANTINED and predecessor != number:
                    assert predecessor is not None
                    moved |= self._pass_indeterminate(now, number, predecessor)
                if gate is not ReleaseGate.GAP:
                    open_number.gap_since = None
                elif open_number.gap_since is None:
                    open_number.gap_since = now

    def _gate(
        self, now: int, number: int, open_number: OpenNumber
    ) -> tuple[ReleaseGate, int | None]:
        """Return whether a number may be released, and its predecessor if any."""
        if open_number.state is NumberState.RETRY_WAITING:
            if now >= open_number.quarantined_until:
                return ReleaseGate.OPEN, None
            return ReleaseGate.QUARANTINED, number
        predecessor = PREDECESSOR_RULES[self.contract.order](self, number)
        change = self.next_contract
        if predecessor is None and change and number >= change.first_number:
            predecessor = self.lowest_open  # numbers below the change come first
        if predecessor is None:
            return ReleaseGate.OPEN, None
        return GATE_BY_PREDECESSOR[self.state_of(predecessor)], predecessor

    def _pass_indeterminate(self, now: int, number: int, predecessor: int) -> bool:
        """Stop a number that waits for an indeterminate one, or close the latter.

        Returns False while the indeterminate number is reserved for its client.
        """
        if now < self.open_numbers[predecessor].reserved_until:
            return False
        if self.contract.indeterminate_policy is IndeterminatePolicy.STOP:
            recipient = self._apply(number, NumberEvent.WAIT_ENDED)
            self._notify_now(recipient, ReplyKind.STOPPED, predecessor)
            return True
        self._apply(predecessor, NumberEvent.QUARANTINE_ENDED)
        return True

    def _release(
        self, now: int, number: int, open_number: OpenNumber, request: PendingRequest
    ) -> None:
        is_retry = open_number.state is NumberState.RETRY_WAITING
        open_number.state, _ = transition(open_number.state, NumberEvent.RELEASED)
        open_number.recipients = [request.recipient]
        open_number.pending = None
        deadline = request.deadline
        if is_retry:
            deadline = min(deadline, self.key_window_end(open_number, request))
        else:
            open_number.first_released_at = now
        self.highest_released = max(self.highest_released, number)
        if self.contract.order is ChannelOrder.BATCHES and open_number.ends_batch:
            self.batch_end = number
        if self.contract.order is ChannelOrder.BY_EXTENT:
            self.pin_overtaken(number)
        self.record_changed = True
        generation = self.key_generations.get(number, 0)
        self.effects_after_write.append(
            Release(number, request, generation, is_retry, deadline)
        )

    def pin_overtaken(self, number: int) -> None:
        """Pin waiting numbers below `number`, which is released, to their ranges.

        Prevents a number that was overtaken on one extent from being sent again with
        another extent. The cost is that its client must send it again unchanged.
        """
        for lower, open_number in self.open_numbers.items():
            if lower < number and open_number.state is NumberState.WAITING:
                self.pinned_ranges[lower] = open_number.ranges

    def _expire_waiting(self, now: int) -> None:
        """Answer and drop waiting requests whose deadline or gap timeout has passed."""
        for number, open_number in list(self.open_numbers.items()):
            request = open_number.pending
            if request is None:
                continue
            gap_since = open_number.gap_since
            if now >= request.deadline or (
                gap_since is not None and now >= gap_since + self.contract.gap_timeout
            ):
                self.immediate_effects.append(
                    self._unreleased_reply(open_number, request.recipient)
                )
                self._apply(number, NumberEvent.WAIT_ENDED)

    def _advance_batch_and_contract(self) -> None:
        """Start the next batch or contract once all numbers before it are closed."""
        if (
            self.contract.order is ChannelOrder.BATCHES
            and self.batch_end
            and self.lowest_open > self.batch_end
        ):
            self.batch += 1
            self.batch_end = 0
            self.record_changed = True
        change = self.next_contract
        if change is None:
            return
        if (
            self.contract.order is ChannelOrder.NEWEST
            and change.first_number > self.lowest_open
            and any(each >= change.first_number for each in self.open_numbers)
            and not any(each < change.first_number for each in self.open_numbers)
        ):
            # NEWEST allows gaps: absent numbers below the change are superseded by it.
            self.lowest_open = change.first_number
        if self.lowest_open >= change.first_number:
            self.contract = change.contract
            self.chosen_by_client = change.chosen_by_client
            self.next_contract = None
            self.record_changed = True
            self.batch = 1
            self.batch_end = 0
