"""Checks the effects, answers and records of a simulated channel."""

from __future__ import annotations

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.contracts import ChannelOrder, IndeterminatePolicy
from milletsill.fleet.channels.tracked_numbers import CompletionOutcome


def batch_of(number: int) -> int:
    """Return the batch of a number in a contract with batches of two numbers."""
    return (number + 1) // 2


class ContractChecker:
    """Records effects and client answers, and checks them against the contract.

    Attributes:
        effects: Number and extent of each effect, in order of execution.
        extents: The extent that each number accesses now.
        changed: Numbers that a client sent again with other content.
        ever_released: Numbers that were released in some written record.
        reported_settled: Numbers that were reported to a client as settled.
        resolved: Numbers whose outcome a client resolved.
        violation: The first violation of the contract.
    """

    def __init__(
        self, order: ChannelOrder, policy: IndeterminatePolicy, numbers: int
    ) -> None:
        self.order = order
        self.policy = policy
        self.effects: list[tuple[int, int]] = []
        self.extents = {number: number % 2 for number in range(1, numbers + 1)}
        self.changed: set[int] = set()
        self.ever_released: set[int] = set()
        self.reported_settled: set[int] = set()
        self.resolved: set[int] = set()
        self.violation: str | None = None

    def fail(self, text: str) -> None:
        """Record a violation, if it is the first."""
        self.violation = self.violation or text

    def has_effect(self, number: int) -> bool:
        """Whether a number had an effect."""
        return any(each == number for each, _ in self.effects)

    def on_reported_settled(self, number: int) -> None:
        """Check a number that is reported to a client as settled."""
        self.reported_settled.add(number)
        if number not in self.resolved and not self.has_effect(number):
            self.fail(f"{number} was reported as settled but has no effect")

    def on_record_written(self, record: bytes, quarantine: int) -> None:
        """Keep the released numbers of a record that a majority of acceptors has."""
        channel = codec.decode_record(record, quarantine, 0, 0)
        self.ever_released |= set(channel.open_numbers)

    def check_record(self, record: bytes, quarantine: int) -> None:
        """Check that a new owner's record has all numbers reported as settled."""
        if not record or not self.reported_settled:
            return
        channel = codec.decode_record(record, quarantine, 0, 0)
        for number in self.reported_settled:
            completed = channel.completed.get(number)
            if not channel.is_closed(number) or (
                completed is not None and completed.outcome != CompletionOutcome.SETTLED
            ):
                self.fail(f"{number} was reported as settled but not in the record")

    def on_effect(self, number: int, extent: int) -> None:
        """Check the contract when a number takes effect.

        Resolved numbers are exempt, since a client may resolve an executed number as
        not done.
        """
        if self.has_effect(number) and number not in self.resolved:
            self.fail(f"{number} took effect twice")
        late = self._later_effects(number, extent)
        if late and number not in self.resolved:
            self.fail(f"{number} took effect after {late}")
        self.effects.append((number, extent))
        if self.order is ChannelOrder.NEWEST:
            return
        missing = self._missing_before(number, extent)
        if missing:
            self.fail(f"{number} took effect before {missing}")

    def _later_effects(self, number: int, extent: int) -> list[int]:
        """Return executed numbers that the contract orders after this one."""
        in_batches = self.order is ChannelOrder.BATCHES
        return [
            each
            for each, on in self.effects
            if each not in self.resolved
            and (self.order is not ChannelOrder.BY_EXTENT or on == extent)
            and (batch_of(each) > batch_of(number) if in_batches else each > number)
        ]

    def _missing_before(self, number: int, extent: int) -> list[int]:
        """Return unexecuted numbers that the contract orders before this one."""
        in_batches = self.order is ChannelOrder.BATCHES
        first = batch_of(number) * 2 - 1 if in_batches else number
        return [
            each
            for each in range(1, first)
            if (
                self.order is not ChannelOrder.BY_EXTENT
                or (self.extents[each] == extent and each not in self.changed)
            )
            and not self.has_effect(each)
            and each not in self.resolved
            and (
                each not in self.ever_released
                or self.policy is IndeterminatePolicy.STOP
            )
        ]
