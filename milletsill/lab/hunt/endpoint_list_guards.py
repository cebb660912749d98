"""Guards of the endpoint list; a search must fail when any one is disabled."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest import mock

from milletsill.registry import registry_watcher, watch_state
from milletsill.registry.endpoint_view import EndpointView
from milletsill.registry.watch_state import (
    WATCHER_TABLE,
    WatcherEffect,
    WatcherEvent,
    WatcherState,
)

KEEP_WATCHING = (WatcherState.WATCHING, WatcherEffect.NONE)


class EqualToAnything:
    """Compares equal to every value, so that a key count never differs."""

    def __eq__(self, other: object) -> bool:
        """Return True."""
        return True

    __hash__ = None  # type: ignore[assignment]


@contextmanager
def without_restore_detection() -> Iterator[None]:
    """Disable the detection of a registry that was restored from a backup."""
    with (
        mock.patch.object(registry_watcher, "was_restored", lambda *_: False),
        mock.patch.object(watch_state, "was_restored", lambda *_: False),
    ):
        yield


GUARD_REMOVALS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "a compacted revision requests the whole list": lambda: mock.patch.dict(
        WATCHER_TABLE,
        {
            (WatcherState.WATCHING, WatcherEvent.COMPACTED): KEEP_WATCHING,
            (WatcherState.OPENING, WatcherEvent.COMPACTED): KEEP_WATCHING,
        },
    ),
    "a broken watch is told": lambda: mock.patch.dict(
        WATCHER_TABLE, {(WatcherState.WATCHING, WatcherEvent.FAILED): KEEP_WATCHING}
    ),
    "a silent watch is found": lambda: mock.patch.object(
        registry_watcher,
        "has_missed_changes",
        lambda newest, cluster, seen, keys: False,
    ),
    "keys that went are counted": lambda: mock.patch.object(
        EndpointView, "key_count", lambda self: EqualToAnything()
    ),
    "a restored registry is detected": without_restore_detection,
    "a node whose key takes another id is removed": lambda: mock.patch.object(
        EndpointView, "_gone", lambda self, old: {}
    ),
}
