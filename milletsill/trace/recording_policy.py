"""What the writer of traces decides, without I/O and without a clock.

What is shed when the queue to the writer is full, when blocks and files end, what a
failing disk means, and which files are deleted. Times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from milletsill.trace.records import TICKS_PER_SECOND

# --- What the writer does as the disk takes it or not.


class WriterState(Enum):
    """Whether records are written.

    SUSPENDED: the disk refused; it is tried again after a while.
    """

    STOPPED = 1
    WRITING = 2
    SUSPENDED = 3


class WriterEvent(Enum):
    """What changes the state of a writer."""

    START = 1
    STOP = 2
    WRITE_FAILED = 3
    RETRY_DUE = 4


class WriterEffect(Enum):
    """What a change of state asks of the writer."""

    NONE = 0
    OPEN_FILE = 1
    FINISH_FILE = 2
    ABANDON_FILE = 3


WRITER_TRANSITIONS: Mapping[
    tuple[WriterState, WriterEvent], tuple[WriterState, WriterEffect]
] = {
    (WriterState.STOPPED, WriterEvent.START): (
        WriterState.WRITING,
        WriterEffect.OPEN_FILE,
    ),
    (WriterState.WRITING, WriterEvent.STOP): (
        WriterState.STOPPED,
        WriterEffect.FINISH_FILE,
    ),
    (WriterState.SUSPENDED, WriterEvent.STOP): (
        WriterState.STOPPED,
        WriterEffect.NONE,
    ),
    # Guards traffic and log against a full or failing disk, whatever fails: one log
    # event, records shed and counted, a new file when it recovers. Never the same file
    # again: what it holds cannot be vouched for. Harm: a gap in the trace.
    (WriterState.WRITING, WriterEvent.WRITE_FAILED): (
        WriterState.SUSPENDED,
        WriterEffect.ABANDON_FILE,
    ),
    (WriterState.SUSPENDED, WriterEvent.RETRY_DUE): (
        WriterState.WRITING,
        WriterEffect.OPEN_FILE,
    ),
}
FIRST_RETRY_DELAY = TICKS_PER_SECOND
MAX_RETRY_DELAY = 300 * TICKS_PER_SECOND
MAX_DOUBLINGS = 20


def next_state(
    state: WriterState, event: WriterEvent
) -> tuple[WriterState, WriterEffect]:
    """Return the next state and what to do; what is not in the table does nothing."""
    return WRITER_TRANSITIONS.get((state, event), (state, WriterEffect.NONE))


def retry_delay(failures: int) -> int:
    """Return how long a failing disk is left alone after so many earlier failures."""
    doublings = min(failures, MAX_DOUBLINGS)
    return min(FIRST_RETRY_DELAY << doublings, MAX_RETRY_DELAY)


# --- What a full queue sheds.

# The least needed first: what follows from the others, then what explains, then
# what decides. A replay needs all but the first group; a summary needs arrivals,
# outcomes and answers.
SHEDDING_ORDER = (
    ("wake", "settled", "remark", "fetch", "probe"),
    ("woken", "listing", "listed", "watch", "cancelled"),
    ("dispatch", "outcome"),
    ("arrival", "abandoned", "part", "advised"),
    ("declined", "aborted", "satisfied", "command", "plan", "gap"),
)
SHEDDING_RANK = {
    name: rank for rank, names in enumerate(SHEDDING_ORDER) for name in names
}
# Of the queue's bound, past which the group of this rank is no longer taken.
QUEUE_SHARES = (0.5, 0.7, 0.85, 0.95, 1.0)


def queue_limit(kind: str, max_queued: int) -> float:
    """Return the length of the queue below which a record of this kind is taken.

    Groups are shut out one after another as the queue fills, so that the last places of
    its `max_queued` are left for answers.
    """
    return max_queued * QUEUE_SHARES[SHEDDING_RANK.get(kind, 0)]


@dataclass(slots=True)
class ShedRecords:
    """What was shed of one kind since a `gap` was last recorded.

    Attributes:
        count: how many records.
        since: when the first of them was.
    """

    count: int = 0
    since: int = 0

    def add(self, now: int) -> None:
        """Count one more."""
        if not self.count:
            self.since = now
        self.count += 1


# --- When blocks and files end.

MAX_BLOCK_RECORDS = 16_384
MAX_BLOCK_AGE = 5 * TICKS_PER_SECOND
# A block with fewer records waits so many times as long.
SMALL_BLOCK_RECORDS = 1000
SMALL_BLOCK_AGE_FACTOR = 6


def block_is_due(
    records: int, first_time: int, now: int, max_age: int = MAX_BLOCK_AGE
) -> bool:
    """Whether a block is to be written: it is full, or old.

    What a kill loses is bounded by the block's age, or by `SMALL_BLOCK_RECORDS`. Guards
    quiet gateways against blocks of a hundred records, which cost three times the bytes
    and ten times the processor for each. Harm: a kill of a quiet gateway loses more
    time, of which there is less to tell.
    """
    age = now - first_time
    if records >= MAX_BLOCK_RECORDS:
        return True
    if records >= SMALL_BLOCK_RECORDS and age >= max_age:
        return True
    return records > 0 and age >= max_age * SMALL_BLOCK_AGE_FACTOR


def file_is_due(size: int, opened: int, now: int, max_bytes: int, max_age: int) -> bool:
    """Whether a file is to be ended: it is large, or old."""
    return size >= max_bytes or now - opened >= max_age


def files_to_delete(files: Sequence[tuple[str, int]], max_total: int) -> list[str]:
    """Return the names to delete, of (name, size) from oldest to newest.

    As many of the oldest as it takes to get to `max_total` bytes; the newest, which is
    being written, stays.
    """
    total = sum(size for _, size in files)
    names: list[str] = []
    for name, size in files[:-1]:
        if total <= max_total:
            break
        names.append(name)
        total -= size
    return names
