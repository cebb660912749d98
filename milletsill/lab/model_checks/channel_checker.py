"""Checks the contracts of a simulated channel: each effect, answer and record."""

from __future__ import annotations

from milletsill.fleet.channels import codec
from milletsill.fleet.channels.contracts import ChannelOrder, IndeterminatePolicy
from milletsill.fleet.channels.tracked_numbers import CompletionOutcome


def batch_of(number: int) -> int:
    """The batch of a number where the contract has batches: two numbers each."""
    return (number + 1) // 2


class ContractChecker:
    """What had an effect, what clients heard, and what contradicts the contract.

    Attributes:
        effects: Number and extent of each effect, in the order in which they happened.
        extents: The extent that each number touches now.
        changed: Numbers that a client sent again with another content.
        ever_released: Numbers that a record once had as released.
        reported_settled: Numbers that a client heard to be settled.
        resolved: Numbers of which a client said what became of them.
        violation: What was broken first.
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
        """Note what is broken; the first counts."""
        self.violation = self.violation or text

    def has_effect(self, number: int) -> bool:
        """Whether a number had an effect."""
        return any(each == number for each, _ in self.effects)

    def on_reported_settled(self, number: int) -> None:
        """A client hears that a number is settled."""
        self.reported_settled.add(number)
        if number not in self.resolved and not self.has_effect(number):
            self.fail(f"{number} was reported as settled and has no effect")

    def on_record_written(self, record: bytes, quarantine: int) -> None:
        """A record is at a majority."""
        channel = codec.decode_record(record, quarantine, 0, 0)
        self.ever_released |= set(channel.open_numbers)

    def check_record(self, record: bytes, quarantine: int) -> None:
        """A new owner must find settled what a client heard to be."""
        if not record or not self.reported_settled:
            return
        channel = codec.decode_record(record, quarantine, 0, 0)
        for number in self.reported_settled:
            completed = channel.completed.get(number)
            if not channel.is_closed(number) or (
                completed is not None and completed.outcome != CompletionOutcome.SETTLED
            ):
                self.fail(
                    f"{number} was reported as settled, and the record does not know it"
                )

    def on_effect(self, number: int, extent: int) -> None:
        """A number has an effect: all contracts are checked here.

        A client may say of what was done that it was not: then the fault is its own.
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
            self.fail(f"{number} took effect, {missing} left out")

    def _later_effects(self, number: int, extent: int) -> list[int]:
        """Numbers that had an effect, and are ordered after this one."""
        in_batches = self.order is ChannelOrder.BATCHES
        return [
            each
            for each, on in self.effects
            if each not in self.resolved
            and (self.order is not ChannelOrder.BY_EXTENT or on == extent)
            and (batch_of(each) > batch_of(number) if in_batches else each > number)
        ]

    def _missing_before(self, number: int, extent: int) -> list[int]:
        """Numbers that are ordered before this one, and were left out."""
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
