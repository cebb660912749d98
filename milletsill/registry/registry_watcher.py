"""Follow the registry: list the nodes once, then watch for changes.

Each request of the scheduler is answered by one update.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from milletsill.interface import Endpoint, EndpointUpdateKind
from milletsill.registry import endpoint_cache
from milletsill.registry.endpoint_cache_writer import EndpointCacheWriter
from milletsill.registry.endpoint_view import EndpointView
from milletsill.registry.etcd_client import EtcdClient
from milletsill.registry.etcd_json import (
    MalformedRegistryAnswerError,
    list_request,
    newest_key_request,
    parse_list,
    parse_newest_key,
    parse_watch_message,
    watch_request,
)
from milletsill.registry.registered_node import RegisteredNode
from milletsill.registry.watch_state import (
    CHECK_INTERVAL,
    MAX_BACKOFF_DOUBLINGS,
    MAX_WATCH_LAG,
    NewestChange,
    RegistryHead,
    WatcherEffect,
    WatcherEvent,
    WatcherState,
    has_missed_changes,
    next_state,
    was_restored,
)

RANGE_PATH = "/v3/kv/range"
WATCH_PATH = "/v3/watch"
MAX_LOGGED_ENTRIES = 256
UPDATE_KINDS = {
    WatcherEffect.REPORT_CHANGES: EndpointUpdateKind.DELTA,
    WatcherEffect.REPORT_UNCHANGED: EndpointUpdateKind.DELTA,
    WatcherEffect.REPORT_FAILURE: EndpointUpdateKind.FAILED,
}


@dataclass(frozen=True, slots=True)
class RegistryConfig:
    """Settings of a registry watcher.

    Attributes:
        address: The registry's host:port.
        prefix: Prefix of the keys that describe nodes.
        gateway: This gateway's name.
        call_timeout: Seconds until a call without an answer fails.
        connect_timeout: Seconds until an attempt to connect fails.
        max_line: Largest size of an answer or of a watch message, in bytes.
        max_nodes: The most nodes that the view holds.
        warm_after: Time from a node's start until it is warm, in tenths of a
            millisecond.
        cache_path: File of the last list.
    """

    address: str
    prefix: str
    gateway: str
    call_timeout: float
    connect_timeout: float
    max_line: int
    max_nodes: int
    warm_after: int
    cache_path: str


@dataclass(frozen=True, slots=True)
class RegistryCallbacks:
    """The functions that a watcher calls.

    Attributes:
        on_endpoints: Passes an update to the scheduler.
        on_nodes: Receives all nodes before each update, to adjust the connections.
        log: Logs a warning.
    """

    on_endpoints: Callable[[EndpointUpdateKind, Sequence[Endpoint]], None]
    on_nodes: Callable[[list[RegisteredNode]], None]
    log: Callable[[str], None]


class RegistryWatcher:
    """Keeps the view of the nodes up to date, reports its changes and caches it.

    Attributes:
        call_number: Number of the latest call; answers to earlier calls are ignored.
        seen: The newest revision that the watch has delivered.
        cluster: The id of the cluster that returned the list.
        backoff: Doublings of the interval between checks of a quiet watch.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        config: RegistryConfig,
        callbacks: RegistryCallbacks,
        uniform: Callable[[float, float], float],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.config = config
        self.callbacks = callbacks
        self.log = callbacks.log
        self.uniform = uniform
        self.wall = wall
        self.view = EndpointView(config.max_nodes, config.warm_after)
        self.client = EtcdClient(
            reactor,
            config.address,
            config.gateway,
            config.connect_timeout,
            config.max_line,
            callbacks.log,
        )
        self.cache = EndpointCacheWriter(
            reactor, config.cache_path, self.view, callbacks.log
        )
        self.state = WatcherState.IDLE
        self.call_number = 0
        self.seen = 0
        self.cluster = ""
        self.backoff = 0
        self.logged_entries: dict[str, None] = {}
        self.stopped = False
        self.timeout_call: Any = None
        self.check_call: Any = None

    def start(self) -> None:
        """Report the cached list, or an empty one."""
        nodes: dict[str, RegisteredNode] = {}
        try:
            nodes, _ = endpoint_cache.read_cache(self.config.cache_path)
        except endpoint_cache.EndpointCacheNotStoredError as error:
            self.log(f"the cached endpoint list is not used: {error.describe()}")
        self.view.replace(nodes, 0)
        self._report(EndpointUpdateKind.CACHED, self.view.nodes())

    def request_watch(self) -> None:
        """Handle the scheduler's request for endpoint updates."""
        self._on_event(WatcherEvent.REQUESTED)

    def stop(self) -> None:
        """Cancel all calls and write the cache."""
        self.stopped = True
        self.cache.stop()
        self._close_stream()
        self.client.stop()

    def _report(
        self, kind: EndpointUpdateKind, nodes: Sequence[RegisteredNode]
    ) -> None:
        self.callbacks.on_nodes(self.view.nodes())
        wall_ms = int(self.wall() * 1000)
        endpoints = self.view.endpoints(nodes, self.now(), wall_ms)
        self.callbacks.on_endpoints(kind, endpoints)

    def _on_event(
        self, event: WatcherEvent, changed: Sequence[RegisteredNode] = ()
    ) -> None:
        """Apply an event to the state machine and perform the resulting effect."""
        if self.stopped:
            return
        self.state, effect = next_state(self.state, event)
        if effect is WatcherEffect.LIST:
            self._list()
        elif effect is WatcherEffect.REPORT_SNAPSHOT:
            self._report(EndpointUpdateKind.SNAPSHOT, self.view.nodes())
            self.cache.save()
            self._watch()
        elif effect is not WatcherEffect.NONE:
            if effect is WatcherEffect.REPORT_FAILURE:
                self._close_stream()
            self._report(UPDATE_KINDS[effect], changed)
            if changed:
                self.cache.save()

    # Listing and watching.

    def _begin_call(self) -> int:
        """Start the timeout of a new call and return the call's number."""
        self.call_number += 1
        number = self.call_number
        timeout = self.config.call_timeout
        self.timeout_call = self.reactor.callLater(timeout, self._on_timeout, number)
        return number

    def _list(self) -> None:
        """Request the complete list."""
        number = self._begin_call()

        def on_done(data: bytes | None) -> None:
            if number == self.call_number and self.state is WatcherState.LISTING:
                self._stop_timeout()
                self._on_list(data)

        body = list_request(self.config.prefix)
        self.client.call(RANGE_PATH, body, None, on_done)

    def _on_list(self, data: bytes | None) -> None:
        try:
            if data is None:
                raise MalformedRegistryAnswerError("the call for the list failed")
            listed = parse_list(data, self._log_invalid)
        except MalformedRegistryAnswerError as error:
            self.log(f"registry: {error.describe()}")
            self._on_event(WatcherEvent.FAILED)
            return
        revision = listed.head.revision
        self.cluster = listed.head.cluster
        self.view.replace(listed.nodes, revision, listed.keys)
        self.seen = revision
        self.backoff = 0
        self._on_event(WatcherEvent.LISTED)

    def _watch(self) -> None:
        """Open the watch at the revision after the list's."""
        number = self._begin_call()

        def on_line(line: bytes) -> None:
            if number == self.call_number and not self.stopped:
                self._on_watch_message(line)

        def on_done(data: bytes | None) -> None:
            if number == self.call_number:
                self._stop_timeout()
                self._on_event(WatcherEvent.FAILED)

        body = watch_request(self.config.prefix, self.view.revision + 1)
        self.client.call(WATCH_PATH, body, on_line, on_done)

    def _on_watch_message(self, line: bytes) -> None:
        try:
            message = parse_watch_message(line, self._log_invalid)
        except MalformedRegistryAnswerError as error:
            self.log(f"registry: {error.describe()}")
            self._on_event(WatcherEvent.FAILED)
            return
        self._stop_timeout()
        if message.compacted:
            self._close_stream()
            self._on_event(WatcherEvent.COMPACTED)
            return
        if message.opened is not None and not self._on_opened(message.opened):
            return
        if self.check_call is None:
            self._check_later()
        self.seen = max(self.seen, message.revision)
        changed = self.view.apply(message.changes) if message.changes else []
        if changed:
            self._on_event(WatcherEvent.CHANGED, changed)

    def _on_opened(self, head: RegistryHead) -> bool:
        """Return whether to keep a watch that has opened, according to its head."""
        if was_restored(RegistryHead(self.cluster, self.view.revision), head):
            self.log(
                "registry: restored from a backup since the last list; listing anew"
            )
            self._on_event(WatcherEvent.FAILED)
            return False
        self._on_event(WatcherEvent.OPENED)
        return True

    def _close_stream(self) -> None:
        """Close the watch and ignore what it still delivers."""
        self.call_number += 1
        self._stop_timeout()
        self._stop_check()
        self.client.close_stream()

    def _on_timeout(self, number: int) -> None:
        self.timeout_call = None
        waiting = self.state in (WatcherState.LISTING, WatcherState.OPENING)
        if number == self.call_number and waiting:
            self.call_number += 1
            self.client.cancel()
            self._on_event(WatcherEvent.FAILED)

    def _stop_timeout(self) -> None:
        if self.timeout_call is not None:
            self.timeout_call.cancel()
            self.timeout_call = None

    # Checks of a quiet watch.

    def _check_later(self) -> None:
        """Schedule a check whether the watch has missed changes."""
        self._stop_check()
        delay = self.uniform(*CHECK_INTERVAL) * 2**self.backoff / 10_000
        self.check_call = self.reactor.callLater(delay, self._check)

    def _check(self) -> None:
        """Request the newest change, to compare it with what the watch delivered.

        If the call fails, the watch stays open and the next check comes later.
        """
        number = self.call_number
        done = False

        def on_done(data: bytes | None) -> None:
            nonlocal done
            if done or number != self.call_number or self.stopped:
                return
            done = True
            self._on_check_answer(data)

        def on_timeout() -> None:
            self.client.cancel()
            on_done(None)

        timeout = self.config.call_timeout
        self.check_call = self.reactor.callLater(timeout, on_timeout)
        body = newest_key_request(self.config.prefix)
        self.client.call(RANGE_PATH, body, None, on_done)

    def _on_check_answer(self, data: bytes | None) -> None:
        self._stop_check()
        try:
            if data is None:
                raise MalformedRegistryAnswerError("no answer")
            answer = parse_newest_key(data)
        except MalformedRegistryAnswerError:
            self.backoff = min(self.backoff + 1, MAX_BACKOFF_DOUBLINGS)
            self._check_later()
            return
        self.backoff = 0
        newest = NewestChange(answer.revision, answer.key_count, answer.head, self.seen)
        if not self._has_missed_changes(newest):
            self._check_later()
            return
        self.check_call = self.reactor.callLater(
            MAX_WATCH_LAG / 10_000, self._on_watch_lag_elapsed, newest
        )

    def _on_watch_lag_elapsed(self, newest: NewestChange) -> None:
        """Fail the watch if it has still not delivered the changes."""
        if not self._has_missed_changes(newest):
            self._check_later()
            return
        self.log("registry: the watch missed a change; listing anew")
        self._on_event(WatcherEvent.FAILED)

    def _has_missed_changes(self, newest: NewestChange) -> bool:
        return has_missed_changes(
            newest, self.cluster, self.seen, self.view.key_count()
        )

    def _stop_check(self) -> None:
        if self.check_call is not None and self.check_call.active():
            self.check_call.cancel()
        self.check_call = None

    def _log_invalid(self, text: str) -> None:
        """Log an invalid entry, once for each text."""
        if text not in self.logged_entries:
            self.logged_entries[text] = None
            self.log(f"registry: ignored invalid entry {text}")
        while len(self.logged_entries) > MAX_LOGGED_ENTRIES:
            self.logged_entries.pop(next(iter(self.logged_entries)))
