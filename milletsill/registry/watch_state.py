"""What the registry watcher does with what the registry says.

A table and pure functions: no I/O, no clock. The scheduler asks, and decides how soon
to ask again. Times are tenths of a millisecond.

    IDLE --REQUESTED--> LISTING --LISTED--> OPENING --OPENED--> WATCHING
      ^                    ^------------- COMPACTED -------------|
      +----------------------- FAILED ---------------------------+
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto


class WatcherState(Enum):
    """The state of a registry watcher."""

    IDLE = auto()
    LISTING = auto()  # the whole list is awaited
    OPENING = auto()  # the watch is being opened
    WATCHING = auto()


class WatcherEvent(Enum):
    """What happens to a registry watcher."""

    REQUESTED = auto()  # the scheduler wants to be kept up to date
    LISTED = auto()
    OPENED = auto()
    FAILED = auto()
    CHANGED = auto()
    COMPACTED = auto()  # changes that the watch would begin with are no longer kept


class WatcherEffect(Enum):
    """What is to be done after an event."""

    NONE = auto()
    LIST = auto()
    REPORT_SNAPSHOT = auto()  # and open the watch
    REPORT_CHANGES = auto()
    REPORT_UNCHANGED = auto()
    REPORT_FAILURE = auto()


Transition = tuple[WatcherState, WatcherEffect]
_WATCH_STATES = (WatcherState.OPENING, WatcherState.WATCHING)

WATCHER_TABLE: Mapping[tuple[WatcherState, WatcherEvent], Transition] = {
    (WatcherState.IDLE, WatcherEvent.REQUESTED): (
        WatcherState.LISTING,
        WatcherEffect.LIST,
    ),
    (WatcherState.LISTING, WatcherEvent.REQUESTED): (
        WatcherState.LISTING,
        WatcherEffect.NONE,
    ),
    (WatcherState.OPENING, WatcherEvent.REQUESTED): (
        WatcherState.OPENING,
        WatcherEffect.NONE,
    ),
    (WatcherState.WATCHING, WatcherEvent.REQUESTED): (
        WatcherState.WATCHING,
        WatcherEffect.REPORT_UNCHANGED,
    ),
    (WatcherState.LISTING, WatcherEvent.LISTED): (
        WatcherState.OPENING,
        WatcherEffect.REPORT_SNAPSHOT,
    ),
    (WatcherState.LISTING, WatcherEvent.FAILED): (
        WatcherState.IDLE,
        WatcherEffect.REPORT_FAILURE,
    ),
    (WatcherState.OPENING, WatcherEvent.OPENED): (
        WatcherState.WATCHING,
        WatcherEffect.NONE,
    ),
    (WatcherState.OPENING, WatcherEvent.CHANGED): (
        WatcherState.WATCHING,
        WatcherEffect.REPORT_CHANGES,
    ),
    (WatcherState.WATCHING, WatcherEvent.CHANGED): (
        WatcherState.WATCHING,
        WatcherEffect.REPORT_CHANGES,
    ),
    # A watch that broke is told to the scheduler at once, which counts the time since
    # the last word (rule 3).
    **{
        (state, WatcherEvent.FAILED): (WatcherState.IDLE, WatcherEffect.REPORT_FAILURE)
        for state in _WATCH_STATES
    },
    # What was compacted away cannot be made up by events: the whole list says what is
    # gone.
    **{
        (state, WatcherEvent.COMPACTED): (WatcherState.LISTING, WatcherEffect.LIST)
        for state in _WATCH_STATES
    },
}

# A watch says nothing while nothing changes, so that a dead one looks like one with
# nothing to say. While it is quiet the registry is asked now and then (drawn between
# these) for its newest change alone; after a call that failed less often.
CHECK_INTERVAL = (15_000, 25_000)
MAX_BACKOFF_DOUBLINGS = 3
# A change may come this much later by the watch than by a call.
WATCH_DELAY = 10_000


def next_state(state: WatcherState, event: WatcherEvent) -> Transition:
    """Return the next state and effect; an event not in the table changes nothing."""
    return WATCHER_TABLE.get((state, event), (state, WatcherEffect.NONE))


@dataclass(frozen=True, slots=True)
class RegistryHead:
    """How far the registry is itself; empty and 0 where it does not say.

    Attributes:
        cluster: the cluster's id, which a restore from a backup changes.
        revision: its newest revision.
    """

    cluster: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class NewestChange:
    """What the registry says of the newest change below the prefix.

    Attributes:
        revision: of that change.
        key_count: how many keys there are.
        head: how far the registry is.
        seen: the newest revision that the watch had brought by then.
    """

    revision: int
    key_count: int
    head: RegistryHead
    seen: int


def was_restored(before: RegistryHead, head: RegistryHead) -> bool:
    """Whether the registry was restored from a backup since it gave a list.

    It is of another cluster then, or behind what it told; what it does not say is no
    difference. Changes up to the old revision would never be told (rule 3). One list
    more is read where a member of the registry is late.
    """
    if 0 < head.revision < before.revision:
        return True
    return bool(head.cluster and before.cluster and head.cluster != before.cluster)


def has_missed_changes(
    newest: NewestChange, cluster: str, seen: int, key_count: int
) -> bool:
    """Whether the watch has missed something: its other end may be gone without a word.

    One list more is read where the watch is only late (rule 3).

    Args:
        newest: what the registry says.
        cluster: the cluster that gave the list.
        seen: the newest revision that the watch has brought.
        key_count: how many keys there are, as far as is known here.
    """
    if newest.revision > seen:
        return True
    if newest.key_count != key_count and seen == newest.seen:
        return True
    return was_restored(RegistryHead(cluster, newest.seen), newest.head)
