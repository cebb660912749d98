"""Decisions of the trace writer as pure functions, without I/O and without a clock.

They determine which records are shed when the writer's queue is full, when blocks and
files end, how the writer reacts to a failing disk, and which files are deleted. Times
are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from milletsill.trace.records import TICKS_PER_SECOND

# --- States of the writer, and its reaction to disk errors.


class WriterState(Enum):
    """The state of a trace writer.

    SUSPENDED: a disk operation failed; the writer retries after a delay.
    """

    STOPPED = 1
    WRITING = 2
    SUSPENDED = 3


class WriterEvent(Enum):
    """An event that may change the state of a writer."""

    START = 1
    STOP = 2
    WRITE_FAILED = 3
    RETRY_DUE = 4


class WriterEffect(Enum):
    """The action that a state transition requires of the writer."""

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
    # This transition protects traffic and the log from a full or failing disk: the
    # writer logs one event, sheds and counts records, and opens a new file when the
    # disk recovers. It never continues the old file, whose contents are uncertain after
    # a failed write. Its drawback is a gap in the trace.
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
    """Return the next state and the effect; pairs not in the table change nothing."""
    return WRITER_TRANSITIONS.get((state, event), (state, WriterEffect.NONE))


def retry_delay(failures: int) -> int:
    """Return the delay before the next try.

    It doubles with each earlier failure, up to `MAX_RETRY_DELAY`.
    """
    doublings = min(failures, MAX_DOUBLINGS)
    return min(FIRST_RETRY_DELAY << doublings, MAX_RETRY_DELAY)


# --- Shedding of records when the queue fills up.

# Kinds in the order in which they are shed, least needed first: kinds that follow from
# the others, then kinds that explain decisions, then kinds that determine them. A
# replay needs all groups but the first; a summary needs arrivals, outcomes and answers.
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
# Share of the queue's capacity at which each group, by rank, is no longer accepted.
QUEUE_SHARES = (0.5, 0.7, 0.85, 0.95, 1.0)


def queue_limit(kind: str, max_queued: int) -> float:
    """Return the queue length below which a record of this kind is accepted.

    The groups are rejected one after another as the queue fills, so that the last of
    its `max_queued` entries remain for answers.
    """
    return max_queued * QUEUE_SHARES[SHEDDING_RANK.get(kind, 0)]


@dataclass(slots=True)
class ShedRecords:
    """The records of one kind that were shed since its last `gap` record.

    Attributes:
        count: number of shed records.
        since: time of the first of them.
    """

    count: int = 0
    since: int = 0

    def add(self, now: int) -> None:
        """Count one more shed record."""
        if not self.count:
            self.since = now
        self.count += 1


# --- Ends of blocks and files.

MAX_BLOCK_RECORDS = 16_384
MAX_BLOCK_AGE = 5 * TICKS_PER_SECOND
# A block with fewer records than this may grow older, by the factor below.
SMALL_BLOCK_RECORDS = 1000
SMALL_BLOCK_AGE_FACTOR = 6


def block_is_due(
    records: int, first_time: int, now: int, max_age: int = MAX_BLOCK_AGE
) -> bool:
    """Whether a block is due to be written because it is full or old.

    A kill of the process loses at most `max_age` of records, or a longer time with
    fewer than `SMALL_BLOCK_RECORDS`. The longer wait for small blocks keeps quiet
    gateways from writing blocks of a hundred records, which cost three times the bytes
    and ten times the CPU time per record. Its drawback: a kill of a quiet gateway loses
    a longer time, though few records.
    """
    age = now - first_time
    if records >= MAX_BLOCK_RECORDS:
        return True
    if records >= SMALL_BLOCK_RECORDS and age >= max_age:
        return True
    return records > 0 and age >= max_age * SMALL_BLOCK_AGE_FACTOR


def file_is_due(size: int, opened: int, now: int, max_bytes: int, max_age: int) -> bool:
    """Whether a file is due to be finished because it is large or old."""
    return size >= max_bytes or now - opened >= max_age


def files_to_delete(files: Sequence[tuple[str, int]], max_total: int) -> list[str]:
    """Return the names of the files to delete.

    `files` holds (name, size) from oldest to newest. The oldest files are deleted until
    `max_total` bytes remain; the newest file, which is being written, is kept.
    """
    total = sum(size for _, size in files)
    names: list[str] = []
    for name, size in files[:-1]:
        if total <= max_total:
            break
        names.append(name)
        total -= size
    return names
