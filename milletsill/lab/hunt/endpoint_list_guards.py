"""Guards of the list of nodes, each of which a search must find missing."""

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

STAY = (WatcherState.WATCHING, WatcherEffect.NONE)


class AnyNumber:
    """Equal to any number."""

    def __eq__(self, other: object) -> bool:
        """Return True."""
        return True

    __hash__ = None  # type: ignore[assignment]


@contextmanager
def without_restore_detection() -> Iterator[None]:
    """Let a restored registry pass for the one that was."""
    with (
        mock.patch.object(registry_watcher, "was_restored", lambda *_: False),
        mock.patch.object(watch_state, "was_restored", lambda *_: False),
    ):
        yield


GUARD_REMOVALS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "what is compacted asks for the whole list": lambda: mock.patch.dict(
        WATCHER_TABLE,
        {
            (WatcherState.WATCHING, WatcherEvent.COMPACTED): STAY,
            (WatcherState.OPENING, WatcherEvent.COMPACTED): STAY,
        },
    ),
    "a broken watch is told": lambda: mock.patch.dict(
        WATCHER_TABLE, {(WatcherState.WATCHING, WatcherEvent.FAILED): STAY}
    ),
    "a silent watch is found": lambda: mock.patch.object(
        registry_watcher,
        "has_missed_changes",
        lambda newest, cluster, seen, keys: False,
    ),
    "keys that went are counted": lambda: mock.patch.object(
        EndpointView, "key_count", lambda self: AnyNumber()
    ),
    "a restored registry is found": without_restore_detection,
    "a box whose key took another id goes": lambda: mock.patch.object(
        EndpointView, "_gone", lambda self, old: {}
    ),
}
