"""Follows the sequence numbers of an IPFIX stream."""

from __future__ import annotations

from milletsill.flows.field_encoding import COUNTER_MODULUS


class SequenceTracker:
    """Counts the records of one stream that are missing or came twice.

    A record that comes late or twice is told from loss within half the number space.
    """

    def __init__(self) -> None:
        self.missing = 0
        self.duplicated = 0
        self._expected: int | None = None

    def observe(self, sequence: int, records: int) -> None:
        """Takes one message: records sent before it, and records in it."""
        if self._expected is not None:
            ahead = (sequence - self._expected) % COUNTER_MODULUS
            if ahead >= COUNTER_MODULUS // 2:
                late = min(records, COUNTER_MODULUS - ahead)
                self.missing = max(self.missing - late, 0)
                self.duplicated += late
                return
            self.missing += ahead
        self._expected = (sequence + records) % COUNTER_MODULUS
