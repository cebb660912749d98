"""Records that wait to be sent to one collector."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from milletsill.flows.delivery_account import FlowRecordCounts
from milletsill.flows.templates import DataRecord


class FlowRecordKind(IntEnum):
    """Kinds of records, the least needed first.

    Commands repeat what flows sum up; flows hold sums that nothing else has; options
    are few and report the drops themselves.
    """

    COMMAND = 0
    FLOW = 1
    OPTION = 2


MOST_NEEDED_FIRST = sorted(FlowRecordKind, reverse=True)


@dataclass(frozen=True, slots=True)
class PendingRecord:
    """A record to be sent, and what it counts."""

    record: DataRecord
    kind: FlowRecordKind
    counts: FlowRecordCounts


def kind_to_drop(queued: Mapping[FlowRecordKind, int]) -> FlowRecordKind:
    """Returns the kind of which a full queue drops the oldest: the least needed."""
    return min(kind for kind, count in queued.items() if count)


class RecordQueue:
    """A queue of at most `max_records`, ordered by kind."""

    def __init__(self, max_records: int) -> None:
        self.max_records = max_records
        self._by_kind = {kind: deque[PendingRecord]() for kind in FlowRecordKind}

    def __len__(self) -> int:
        return sum(map(len, self._by_kind.values()))

    def records(self, kind: FlowRecordKind) -> deque[PendingRecord]:
        """Returns the queued records of a kind, the oldest first."""
        return self._by_kind[kind]

    def append(self, pending: PendingRecord) -> list[PendingRecord]:
        """Queues a record and returns those that a full queue drops for it."""
        self._by_kind[pending.kind].append(pending)
        dropped = []
        while len(self) > self.max_records:
            queued = {kind: len(records) for kind, records in self._by_kind.items()}
            dropped.append(self._by_kind[kind_to_drop(queued)].popleft())
        return dropped

    def pop_most_needed(self) -> PendingRecord:
        """Removes the oldest record of the most needed kind; there must be one."""
        kind = next(kind for kind in MOST_NEEDED_FIRST if self._by_kind[kind])
        return self._by_kind[kind].popleft()

    def drain(self) -> list[PendingRecord]:
        """Removes all records."""
        drained: list[PendingRecord] = []
        for records in self._by_kind.values():
            drained += records
            records.clear()
        return drained

    def take_over(self, other: RecordQueue) -> None:
        """Moves the records of another queue before those of this one."""
        for kind, records in other._by_kind.items():
            while records:
                self._by_kind[kind].appendleft(records.pop())
