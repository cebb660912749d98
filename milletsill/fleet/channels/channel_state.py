"""The state of a channel at its owner, and values that are derived from it.

No I/O and no clock. Times are whole tenths of a millisecond on the owner's own clock.
"""

from __future__ import annotations

from milletsill.fleet.channels.access_ranges import AccessRanges
from milletsill.fleet.channels.contracts import (
    ChannelOrder,
    ContractChange,
    OrderingContract,
)
from milletsill.fleet.channels.limits import MAX_NUMBERS_AHEAD
from milletsill.fleet.channels.number_states import INDETERMINATE_STATES, NumberState
from milletsill.fleet.channels.tracked_numbers import (
    CompletedNumber,
    OpenNumber,
    PendingRequest,
)


class ChannelState:
    """The state of one channel; its record stores a part of it.

    Attributes:
        contract: The contract in force.
        quarantine: How long an attempt may run after its deadline.
        chosen_by_client: Whether a client chose the contract by name.
        next_contract: A change of contract whose first number is not reached yet.
        claim: The latest claim; 0 before the first.
        claim_token: Token of the command that made the latest claim.
        lowest_open: The lowest number that is not closed.
        highest_released: The highest number that was released.
        batch: The current batch.
        batch_end: The last number of the current batch; 0 while it is unknown.
        closed: Closed numbers above `lowest_open`.
        completed: Remembered outcomes by number, in the order of completion.
        open_numbers: Open numbers with a request or an attempt, by number.
        key_generations: How often the client resolved a number as not done.
        pinned_ranges: Access ranges of overtaken numbers; a later request with the
            number must have the same ranges.
    """

    def __init__(
        self,
        contract: OrderingContract,
        quarantine: int,
        chosen_by_client: bool = False,
    ) -> None:
        self.contract = contract
        self.quarantine = quarantine
        self.chosen_by_client = chosen_by_client
        self.next_contract: ContractChange | None = None
        self.claim = 0
        self.claim_token = ""
        self.lowest_open = 1
        self.highest_released = 0
        self.batch = 1
        self.batch_end = 0
        self.closed: set[int] = set()
        self.completed: dict[int, CompletedNumber] = {}
        self.open_numbers: dict[int, OpenNumber] = {}
        self.key_generations: dict[int, int] = {}
        self.pinned_ranges: dict[int, AccessRanges] = {}

    def holds_claim(self, claim: int) -> bool:
        """Whether a claim is the latest.

        Prevents two clients from assigning numbers in one channel. The cost is that a
        client that opened the channel twice must use the later handle.
        """
        return claim == self.claim

    def state_of(self, number: int) -> NumberState:
        """Return the state of an open number."""
        open_number = self.open_numbers.get(number)
        return open_number.state if open_number is not None else NumberState.ABSENT

    def is_closed(self, number: int) -> bool:
        """Whether a number is closed."""
        return number < self.lowest_open or number in self.closed

    def is_too_far_ahead(self, number: int) -> bool:
        """Whether a number is too far ahead of the lowest open one."""
        return (
            self.contract.order is not ChannelOrder.NEWEST
            and number >= self.lowest_open + MAX_NUMBERS_AHEAD
        )

    def contract_for(self, number: int) -> OrderingContract:
        """Return the contract under which a number is released."""
        change = self.next_contract
        if change and number >= change.first_number:
            return change.contract
        return self.contract

    def next_free_number(self) -> int:
        """Return the lowest number above all released ones, at least `lowest_open`."""
        return max(self.highest_released + 1, self.lowest_open)

    def known_batch_end(self) -> int:
        """Return the last number of the current batch; 0 until a request marks it."""
        if self.batch_end:
            return self.batch_end
        for number, open_number in self.open_numbers.items():
            if open_number.ends_batch and open_number.batch == self.batch:
                return number
        return 0

    def quarantine_end(self, now: int) -> int:
        """Return when the quarantine of a number ends that is indeterminate from now.

        Its attempt may still run until then. This also covers attempts of an earlier
        owner: that owner's lease has ended, and no attempt's deadline is later than
        the lease. The cost is that later numbers wait.
        """
        return now + self.quarantine

    def key_window_end(self, open_number: OpenNumber, request: PendingRequest) -> int:
        """Return until when a retry under the same idempotency key may be released.

        Prevents a second effect: nodes remember a key only for its window after the
        first attempt, and an attempt may run until a quarantine after its deadline.
        The cost is that the outcome stays indeterminate once this time has passed.
        """
        return open_number.first_released_at + request.key_window - self.quarantine

    def was_tried_before(self, open_number: OpenNumber) -> bool:
        """Whether an earlier attempt of a number may have run.

        Prevents a rejection, which promises that nothing was done, after such an
        attempt. It has no cost.
        """
        return open_number.quarantined_until > 0

    def indeterminate_numbers(self) -> tuple[int, ...]:
        """Return the numbers with an indeterminate outcome, in ascending order."""
        return tuple(
            sorted(
                number
                for number, open_number in self.open_numbers.items()
                if open_number.state in INDETERMINATE_STATES
            )
        )

    def released_count(self) -> int:
        """Return how many numbers have an attempt in flight."""
        return sum(
            1
            for open_number in self.open_numbers.values()
            if open_number.state is NumberState.RELEASED
        )

    def next_wakeup(self, now: int) -> int | None:
        """Return the next time after `now` at which a wait ends; None if none does."""
        times: list[int] = []
        for open_number in self.open_numbers.values():
            if open_number.state in INDETERMINATE_STATES:
                times.append(open_number.quarantined_until)
                times.append(open_number.reserved_until)
            if open_number.pending is not None:
                times.append(open_number.pending.deadline)
                if open_number.gap_since is not None:
                    times.append(open_number.gap_since + self.contract.gap_timeout)
        return min((time for time in times if time > now), default=None)
