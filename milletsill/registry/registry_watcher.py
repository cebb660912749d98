"""Follow the registry.

List once, then watch; each request is answered by one update.
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
    WATCH_DELAY,
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
        address: host and port of the registry.
        prefix: of the keys that describe nodes.
        gateway: this gateway's name.
        call_timeout, connect_timeout: seconds.
        max_line: octets of one answer, or of one message of a watch.
        max_nodes: nodes that are kept.
        warm_after: time after its start until a node is warm, tenths of a millisecond.
        cache_path: where the last list is kept.
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
    """Who hears of the registry.

    Attributes:
        on_endpoints: takes an update for the scheduler.
        on_nodes: takes all nodes before each update; connections follow them.
        log: takes a line that someone should look at.
    """

    on_endpoints: Callable[[EndpointUpdateKind, Sequence[Endpoint]], None]
    on_nodes: Callable[[list[RegisteredNode]], None]
    log: Callable[[str], None]


class RegistryWatcher:
    """Keeps the view of the nodes, reports it and writes the cache.

    Attributes:
        call_number: counts calls; answers to former ones are dropped.
        seen: the newest revision that the watch has brought.
        cluster: the id of the cluster that gave the list.
        backoff: doublings of the interval between checks of a quiet watch.
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
            self.log(f"the last list is not used: {error.describe()}")
        self.view.replace(nodes, 0)
        self._report(EndpointUpdateKind.CACHED, self.view.nodes())

    def request_watch(self) -> None:
        """Keep the scheduler up to date from now on."""
        self._on_event(WatcherEvent.REQUESTED)

    def stop(self) -> None:
        """End all calls and write the cache."""
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
        """Read the table and act."""
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
        """Return the number of a new call that has to be answered in time."""
        self.call_number += 1
        number = self.call_number
        timeout = self.config.call_timeout
        self.timeout_call = self.reactor.callLater(timeout, self._on_timeout, number)
        return number

    def _list(self) -> None:
        """Ask for the whole list."""
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
                raise MalformedRegistryAnswerError("the list did not come")
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
        """Open the watch from the revision after the list's."""
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
        """Whether the watch may stand that has opened."""
        if was_restored(RegistryHead(self.cluster, self.view.revision), head):
            self.log(
                "registry: it was restored since its list; the whole list is asked for"
            )
            self._on_event(WatcherEvent.FAILED)
            return False
        self._on_event(WatcherEvent.OPENED)
        return True

    def _close_stream(self) -> None:
        """Hear nothing more of the watch that stood."""
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
        """Ask, a while from now, whether the watch has missed anything."""
        self._stop_check()
        delay = self.uniform(*CHECK_INTERVAL) * 2**self.backoff / 10_000
        self.check_call = self.reactor.callLater(delay, self._check)

    def _check(self) -> None:
        """Make one small call.

        Where it fails the watch stands, and the next comes later.
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
        if not self._has_missed(newest):
            self._check_later()
            return
        self.check_call = self.reactor.callLater(
            WATCH_DELAY / 10_000, self._on_watch_delay_over, newest
        )

    def _on_watch_delay_over(self, newest: NewestChange) -> None:
        """What was missing has come by now, or does not come by this watch."""
        if not self._has_missed(newest):
            self._check_later()
            return
        self.log("registry: the watch is silent, and the list has changed")
        self._on_event(WatcherEvent.FAILED)

    def _has_missed(self, newest: NewestChange) -> bool:
        return has_missed_changes(
            newest, self.cluster, self.seen, self.view.key_count()
        )

    def _stop_check(self) -> None:
        if self.check_call is not None and self.check_call.active():
            self.check_call.cancel()
        self.check_call = None

    def _log_invalid(self, text: str) -> None:
        """Log an entry that makes no sense, once."""
        if text not in self.logged_entries:
            self.logged_entries[text] = None
            self.log(f"registry: left out {text}")
        while len(self.logged_entries) > MAX_LOGGED_ENTRIES:
            self.logged_entries.pop(next(iter(self.logged_entries)))
