"""What the owner of a channel knows of it, and what follows from that alone.

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
from milletsill.fleet.channels.sequences import (
    CompletedSequence,
    OpenSequence,
    PendingNumber,
)


class ChannelState:
    """The state of one channel, of which its record is the stored part.

    Attributes:
        contract: The contract that holds.
        quarantine: For how long an attempt may run after its deadline.
        chosen_by_client: Whether a client chose the contract by name.
        next_contract: A change of contract that is not reached yet.
        claim: The latest claim; 0 before the first.
        claim_token: Token of the command that made it.
        lowest_open: The lowest number that is not closed.
        highest_released: The highest number that was released.
        batch: The present batch.
        batch_end: The last number of it; 0 while that is unknown.
        closed: Closed numbers from `lowest_open` on.
        completed: Outcomes that are remembered, in the order of their completion.
        open_sequences: Open numbers of which something is known.
        key_generations: How often a client said of a number that it was not done.
        pinned_ranges: What overtaken numbers touch; they must come back so.
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
        self.completed: dict[int, CompletedSequence] = {}
        self.open_sequences: dict[int, OpenSequence] = {}
        self.key_generations: dict[int, int] = {}
        self.pinned_ranges: dict[int, AccessRanges] = {}

    def holds_claim(self, claim: int) -> bool:
        """Whether a claim is the latest.

        Guards against two who number one channel. Harm: a client that opened twice must
        use its later handle.
        """
        return claim == self.claim

    def state_of(self, number: int) -> NumberState:
        """Where an open number stands."""
        sequence = self.open_sequences.get(number)
        return sequence.state if sequence is not None else NumberState.ABSENT

    def is_closed(self, number: int) -> bool:
        """Whether a number is over."""
        return number < self.lowest_open or number in self.closed

    def is_too_far(self, number: int) -> bool:
        """Whether a number is too far ahead of the lowest open one."""
        return (
            self.contract.order is not ChannelOrder.NEWEST
            and number >= self.lowest_open + MAX_NUMBERS_AHEAD
        )

    def contract_for(self, number: int) -> OrderingContract:
        """The contract under which a number is released."""
        change = self.next_contract
        if change and number >= change.first_number:
            return change.contract
        return self.contract

    def next_free_number(self) -> int:
        """The lowest number past all that were released or closed in order."""
        return max(self.highest_released + 1, self.lowest_open)

    def known_batch_end(self) -> int:
        """The last number of the present batch; 0 while no request has said so."""
        if self.batch_end:
            return self.batch_end
        for number, sequence in self.open_sequences.items():
            if sequence.ends_batch and sequence.batch == self.batch:
                return number
        return 0

    def quarantine_end(self, now: int) -> int:
        """Until when a number whose outcome is indeterminate now stands in the way.

        Guards against its attempt, which may run until the quarantine is over; of an
        earlier owner, the lease is over, and what it released never outlives a lease.
        Harm: what stands behind waits.
        """
        return now + self.quarantine

    def key_window_end(self, sequence: OpenSequence, request: PendingNumber) -> int:
        """Until when a retry under the same idempotency key may be released.

        Guards against a second effect: a key is remembered no longer than its window
        from the first attempt, and the last one may run as late as the quarantine.
        Harm: the outcome stays indeterminate.
        """
        return sequence.first_released_at + request.key_window - self.quarantine

    def was_tried_before(self, sequence: OpenSequence) -> bool:
        """Whether an earlier attempt of a number may have run.

        Guards against a rejection after one. Harm: none.
        """
        return sequence.quarantined_until > 0

    def indeterminate_numbers(self) -> tuple[int, ...]:
        """Numbers whose outcome nobody knows, in order."""
        return tuple(
            sorted(
                number
                for number, sequence in self.open_sequences.items()
                if sequence.state in INDETERMINATE_STATES
            )
        )

    def released_count(self) -> int:
        """How many numbers have an attempt in flight."""
        return sum(
            1
            for sequence in self.open_sequences.values()
            if sequence.state is NumberState.RELEASED
        )

    def next_wakeup(self, now: int) -> int | None:
        """When time alone changes something next; None for never."""
        times: list[int] = []
        for sequence in self.open_sequences.values():
            if sequence.state in INDETERMINATE_STATES:
                times.append(sequence.quarantined_until)
                times.append(sequence.reserved_until)
            if sequence.pending is not None:
                times.append(sequence.pending.deadline)
                if sequence.gap_since is not None:
                    times.append(sequence.gap_since + self.contract.gap_timeout)
        return min((time for time in times if time > now), default=None)
