"""What became of the records for one collector."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class FlowRecordCounts:
    """Counts that a record, or a sum of records, stands for."""

    records: int = 0
    commands: int = 0
    dispatches: int = 0
    packets: int = 0
    octets: int = 0

    def add(self, other: FlowRecordCounts) -> None:
        """Adds the counts of another."""
        self.records += other.records
        self.commands += other.commands
        self.dispatches += other.dispatches
        self.packets += other.packets
        self.octets += other.octets


@dataclass(slots=True)
class DeliveryAccount:
    """What was sent to one collector, and what was dropped for which cause."""

    sent: FlowRecordCounts = field(default_factory=FlowRecordCounts)
    dropped_by_cause: dict[str, FlowRecordCounts] = field(default_factory=dict)
    messages: int = 0
    octets: int = 0

    def drop(self, cause: str, counts: FlowRecordCounts) -> None:
        """Counts what was dropped."""
        self.dropped_by_cause.setdefault(cause, FlowRecordCounts()).add(counts)

    def dropped(self) -> FlowRecordCounts:
        """Returns all that was dropped."""
        total = FlowRecordCounts()
        for counts in self.dropped_by_cause.values():
            total.add(counts)
        return total
