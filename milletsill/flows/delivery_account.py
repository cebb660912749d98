"""Counts of sent and dropped records of one collector."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class FlowRecordCounts:
    """Counts that a record, or a sum of records, represents."""

    records: int = 0
    commands: int = 0
    attempts: int = 0
    packets: int = 0
    octets: int = 0

    def add(self, other: FlowRecordCounts) -> None:
        """Add other counts to these."""
        self.records += other.records
        self.commands += other.commands
        self.attempts += other.attempts
        self.packets += other.packets
        self.octets += other.octets


@dataclass(slots=True)
class DeliveryAccount:
    """Counts of what was sent to one collector, and of what was dropped, by cause."""

    sent: FlowRecordCounts = field(default_factory=FlowRecordCounts)
    dropped_by_cause: dict[str, FlowRecordCounts] = field(default_factory=dict)
    messages: int = 0
    octets: int = 0

    def drop(self, cause: str, counts: FlowRecordCounts) -> None:
        """Count a dropped record."""
        self.dropped_by_cause.setdefault(cause, FlowRecordCounts()).add(counts)

    def dropped(self) -> FlowRecordCounts:
        """Return the sum of the dropped counts over all causes."""
        total = FlowRecordCounts()
        for counts in self.dropped_by_cause.values():
            total.add(counts)
        return total
