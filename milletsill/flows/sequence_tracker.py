"""Tracks the sequence numbers of an IPFIX stream."""

from __future__ import annotations

from milletsill.flows.field_encoding import COUNTER_MODULUS


class SequenceTracker:
    """Counts the missing and the duplicated records of one stream.

    A sequence number up to half the number space behind the expected one means late or
    duplicated records; any other difference means loss.
    """

    def __init__(self) -> None:
        self.missing = 0
        self.duplicated = 0
        self._expected: int | None = None

    def observe(self, sequence: int, records: int) -> None:
        """Process one message: its sequence number and its number of records."""
        if self._expected is not None:
            ahead = (sequence - self._expected) % COUNTER_MODULUS
            if ahead >= COUNTER_MODULUS // 2:
                late = min(records, COUNTER_MODULUS - ahead)
                self.missing = max(self.missing - late, 0)
                self.duplicated += late
                return
            self.missing += ahead
        self._expected = (sequence + records) % COUNTER_MODULUS
