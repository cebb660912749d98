"""The queue of records to be sent to one collector."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from milletsill.flows.delivery_account import FlowRecordCounts
from milletsill.flows.templates import DataRecord


class FlowRecordKind(IntEnum):
    """Kinds of records, in ascending priority.

    The counts of commands are also in flows, the counts of flows are in no other
    record, and options are few and report the drops.
    """

    COMMAND = 0
    FLOW = 1
    OPTION = 2


KINDS_BY_PRIORITY = sorted(FlowRecordKind, reverse=True)


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record to be sent, and the counts that it represents."""

    record: DataRecord
    kind: FlowRecordKind
    counts: FlowRecordCounts


def kind_to_drop(queued: Mapping[FlowRecordKind, int]) -> FlowRecordKind:
    """Return the kind of which a full queue drops the oldest: the lowest priority."""
    return min(kind for kind, count in queued.items() if count)


class RecordQueue:
    """A queue of at most `max_records` records, ordered by kind."""

    def __init__(self, max_records: int) -> None:
        self.max_records = max_records
        self._by_kind = {kind: deque[PendingRecord]() for kind in FlowRecordKind}

    def __len__(self) -> int:
        return sum(map(len, self._by_kind.values()))

    def records(self, kind: FlowRecordKind) -> deque[PendingRecord]:
        """Return the queued records of a kind, the oldest first."""
        return self._by_kind[kind]

    def append(self, pending: PendingRecord) -> list[PendingRecord]:
        """Queue a record and return the records that a full queue drops."""
        self._by_kind[pending.kind].append(pending)
        dropped = []
        while len(self) > self.max_records:
            queued = {kind: len(records) for kind, records in self._by_kind.items()}
            dropped.append(self._by_kind[kind_to_drop(queued)].popleft())
        return dropped

    def pop_highest_priority(self) -> PendingRecord:
        """Remove the oldest record of the highest priority from a non-empty queue."""
        kind = next(kind for kind in KINDS_BY_PRIORITY if self._by_kind[kind])
        return self._by_kind[kind].popleft()

    def drain(self) -> list[PendingRecord]:
        """Remove and return all records."""
        drained: list[PendingRecord] = []
        for records in self._by_kind.values():
            drained += records
            records.clear()
        return drained

    def take_over(self, other: RecordQueue) -> None:
        """Move the records of another queue to the front of this one."""
        for kind, records in other._by_kind.items():
            while records:
                self._by_kind[kind].appendleft(records.pop())
