"""State machine of the registry watcher, and its checks for missed changes.

The functions are pure: no I/O and no clock. The scheduler requests a watch and decides
how soon to request one again. Times are tenths of a millisecond.

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
    LISTING = auto()  # waiting for the complete list
    OPENING = auto()  # the watch is being opened
    WATCHING = auto()


class WatcherEvent(Enum):
    """An event of the registry watcher."""

    REQUESTED = auto()  # the scheduler requests endpoint updates
    LISTED = auto()
    OPENED = auto()
    FAILED = auto()
    CHANGED = auto()
    COMPACTED = auto()  # the registry has compacted the watch's start revision


class WatcherEffect(Enum):
    """What the watcher does after an event."""

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
    # A failed watch is reported at once, since the scheduler counts the time until it
    # requests the next watch from this update, and a node that drains or is gone must
    # not receive traffic for long.
    **{
        (state, WatcherEvent.FAILED): (WatcherState.IDLE, WatcherEffect.REPORT_FAILURE)
        for state in _WATCH_STATES
    },
    # Events cannot replace compacted changes; only the complete list shows which nodes
    # are gone.
    **{
        (state, WatcherEvent.COMPACTED): (WatcherState.LISTING, WatcherEffect.LIST)
        for state in _WATCH_STATES
    },
}

# A watch delivers nothing while nothing changes, so that a dead watch looks like a
# quiet one. The watcher therefore requests the newest change of the registry at random
# intervals in this range. Each failed check doubles the interval, at most
# MAX_BACKOFF_DOUBLINGS times.
CHECK_INTERVAL = (15_000, 25_000)
MAX_BACKOFF_DOUBLINGS = 3
# The watch may deliver a change this much later than a call returns it.
MAX_WATCH_LAG = 10_000


def next_state(state: WatcherState, event: WatcherEvent) -> Transition:
    """Return the next state and effect; an event not in the table changes nothing."""
    return WATCHER_TABLE.get((state, event), (state, WatcherEffect.NONE))


@dataclass(frozen=True, slots=True)
class RegistryHead:
    """The registry's cluster and newest revision; empty and 0 if not reported.

    Attributes:
        cluster: The cluster's id, which a restore from a backup changes.
        revision: The newest revision.
    """

    cluster: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class NewestChange:
    """The registry's answer about the newest change of a key with the prefix.

    Attributes:
        revision: Revision of that change.
        key_count: Number of existing keys.
        head: The registry's cluster and newest revision.
        seen: The newest revision that the watch had delivered at that time.
    """

    revision: int
    key_count: int
    head: RegistryHead
    seen: int


def was_restored(before: RegistryHead, head: RegistryHead) -> bool:
    """Return whether the registry was restored from a backup since its last list.

    A restored registry has another cluster id or an older revision than it reported
    before; a value that it does not report counts as unchanged. A watch on a restored
    registry would not deliver changes up to the old revision, so that traffic would
    continue to nodes that are gone. If a member of the registry only lags, the cost is
    one more list.
    """
    if 0 < head.revision < before.revision:
        return True
    return bool(head.cluster and before.cluster and head.cluster != before.cluster)


def has_missed_changes(
    newest: NewestChange, cluster: str, seen: int, key_count: int
) -> bool:
    """Return whether the watch has missed changes, e.g. on a half-open connection.

    A missed change would leave traffic on a node that drains or is gone. If the watch
    is only late, the cost is one more list.

    Args:
        newest: The registry's answer about its newest change.
        cluster: The cluster that returned the list.
        seen: The newest revision that the watch has delivered.
        key_count: Number of keys according to the view.
    """
    if newest.revision > seen:
        return True
    if newest.key_count != key_count and seen == newest.seen:
        return True
    return was_restored(RegistryHead(cluster, newest.seen), newest.head)
