"""Follow the endpoint list of the discovery service.

One watch is open at a time; it is opened when the scheduler requests it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from milletsill.http_gateway.connector import SingleConnector
from milletsill.http_gateway.discovery_timing import (
    CONNECT_TIMEOUT,
    FIRST_VALUE_TIMEOUT,
    SILENCE_BEFORE_NEW_WATCH,
    CallProgress,
    is_unresponsive,
    parallel_call_delay,
    retry_delay,
)
from milletsill.http_gateway.endpoint_watch import VALUE_RECEIVED, EndpointWatch
from milletsill.http_gateway.endpoints import (
    EndpointUpdate,
    NodeEndpoint,
    parse_update,
)
from milletsill.http_gateway.watch_decoder import HEARTBEAT
from milletsill.interface import EndpointUpdateKind

UpdateListener = Callable[[EndpointUpdateKind, Sequence[NodeEndpoint]], None]


@dataclass(frozen=True, slots=True)
class WatcherConfig:
    """Settings of an endpoint watcher. Times are tenths of a millisecond.

    Attributes:
        address: host and port of discovery.
        zones: the zones that the settings name.
        clock_offset: the gateway's clock minus the wall clock.
        drain_grace: if lists are pushed, the time within which sending to a draining
            node must stop; 0 if lists are requested.
    """

    address: tuple[str, int]
    zones: Sequence[str]
    clock_offset: int
    drain_grace: int = 0


class EndpointWatcher:
    """Manages the calls to discovery.

    `watch` is the current watch, or the call that is to become it. `previous` is the
    watch that it replaces, because discovery moved or because that watch is silent.
    `parallel` is a second call, made while `watch` has not delivered a value.

    Attributes:
        version: the version of the endpoint list that was received last.
        open_scheduled: whether a watch is to be opened in the next reactor turn.
        unresponsive: whether discovery accepts calls but delivers nothing.
        scheduler_notified: whether the scheduler was notified of a failure since
            SIGHUP.
        moved_at: when SIGHUP moved discovery; None once a watch at the new address has
            delivered a value.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        config: WatcherConfig,
        listener: UpdateListener,
        log: Callable[[str], None],
        uniform: Callable[[float, float], float],
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.address = config.address
        self.config = config
        self.listener = listener
        self.log = log
        self.uniform = uniform
        self.version = 0
        self.watch: EndpointWatch | None = None
        self.previous: EndpointWatch | None = None
        self.parallel: EndpointWatch | None = None
        self.open_scheduled = False
        self.stopped = False
        self.unresponsive = False
        self.scheduler_notified = False
        self.moved_at: int | None = None

    def load_cached_list(self, update: EndpointUpdate) -> None:
        """Use the cached endpoint list of the configuration."""
        self.version = update.version
        self.listener(EndpointUpdateKind.CACHED, update.nodes)

    def request_watch(self) -> None:
        """Open a watch in the next reactor turn, unless one is open."""
        if not self.open_scheduled and self.watch is None and not self.stopped:
            self.open_scheduled = True
            self.reactor.callLater(0, self._open)

    def move(self, address: tuple[str, int]) -> None:
        """Move to a new address; the old watch stays open until a value arrives."""
        if address == self.address or self.stopped:
            return
        self.address = address
        self.moved_at = self.now()
        self.scheduler_notified = False
        self._close_others()
        self.previous = self.watch
        self.watch = None
        self.request_watch()

    def check(self) -> None:
        """End watches that have timed out, and open another before that happens.

        The other watch is opened in the next turn, so that octets that arrived during a
        stall of this process are read first.
        """
        for watch in (self.watch, self.parallel, self.previous):
            if watch is not None and watch.timed_out:
                watch.read_pending()
                if watch.timed_out:
                    watch.end("timed out")
        watch = self.watch
        if (
            watch is not None
            and watch.has_received_value
            and self.previous is None
            and watch.silence() > watch.silence_limit
        ):
            self.previous = watch
            self.watch = None
            self.request_watch()

    def stop(self) -> None:
        """Close all calls."""
        self.stopped = True
        self._close_others()
        if self.watch is not None:
            self.watch.close()

    # Calls.

    def _open(self) -> None:
        self.open_scheduled = False
        if self.stopped or self.watch is not None:
            return
        previous = self.previous
        if (
            previous is not None
            and previous.host == self._host()
            and previous.silence() <= previous.silence_limit
        ):
            self.watch = previous  # it has delivered a value again
            self.previous = None
            return
        self.watch = self._call()

    def _host(self) -> str:
        host, port = self.address
        return f"{host}:{port}"

    def _call(self) -> EndpointWatch:
        silence_limit = int(self.uniform(*SILENCE_BEFORE_NEW_WATCH))
        watch = EndpointWatch(self, self._host(), self.version, silence_limit)
        host, port = self.address
        watch.connector = self.reactor.connectTCP(
            host,
            port,
            SingleConnector(watch, lambda: watch.end("the connection failed")),
            timeout=CONNECT_TIMEOUT / 10_000,
        )
        self.on_progress(watch)
        return watch

    def on_progress(self, watch: EndpointWatch) -> None:
        """Schedule a parallel call in case the call makes no further progress."""
        bounds = parallel_call_delay(
            watch.progress,
            self.unresponsive,
            self.config.drain_grace,
            self._since_move(),
        )
        if bounds is not None:
            delay = self.uniform(*bounds) / 10_000
            self.reactor.callLater(delay, self._call_in_parallel, watch, watch.progress)

    def _since_move(self) -> int | None:
        return None if self.moved_at is None else self.now() - self.moved_at

    def _call_in_parallel(self, watch: EndpointWatch, progress: CallProgress) -> None:
        """Make a parallel call if a call has made no progress.

        The first call that delivers a value becomes the watch. If two calls are open, a
        third replaces one that is not connected, since the service has not received it.
        No call is made while a silent previous watch is open, unless discovery moved:
        until 6 s after that watch's last value there is time for consecutive calls.
        """
        if watch.over or watch.progress is not progress or watch.has_received_value:
            return
        if self.stopped or (self.previous and self.moved_at is None):
            return
        newest = self.watch if self.parallel is None else self.parallel
        if watch is not newest:
            return
        if self.parallel is not None and self.watch is not None:
            closed, kept = self.watch, watch
            if progress is CallProgress.CONNECTING:
                closed, kept = watch, self.watch
            if closed.progress is not CallProgress.CONNECTING:
                return
            closed.close()
            self.watch = kept
        self.parallel = self._call()

    # Called by watches.

    def on_value(self, watch: EndpointWatch, value: Any) -> None:
        """Handle a heartbeat, or a JSON value that should be an endpoint list."""
        if watch is self.parallel:
            self.parallel = self.watch
            self.watch = watch
        first = watch is self.watch and not watch.has_received_value
        if value is not HEARTBEAT:
            config = self.config
            update = parse_update(value, config.zones, config.clock_offset, self.log)
            self._on_update(update, watch is self.previous)
        elif first:
            self.listener(EndpointUpdateKind.DELTA, ())
        if first:
            watch.version = VALUE_RECEIVED
            self.moved_at = None
            self.unresponsive = False
            self.scheduler_notified = False
            self._close_others()

    def _on_update(self, update: EndpointUpdate, from_previous: bool) -> None:
        newer = update.version >= self.version
        if newer or (update.snapshot and not from_previous):
            self.version = update.version
            kind = EndpointUpdateKind.DELTA
            if update.snapshot:
                kind = EndpointUpdateKind.SNAPSHOT
            self.listener(kind, update.nodes)

    def _close_others(self) -> None:
        for watch in (self.previous, self.parallel):
            if watch is not None:
                watch.close()
        self.previous = None
        self.parallel = None

    def on_watch_ended(self, watch: EndpointWatch, reason: str) -> None:
        """Handle the end of a watch.

        The scheduler is notified, and decides when to open the next watch.
        """
        if watch is self.previous:
            self.previous = None
            return
        self.unresponsive = is_unresponsive(
            self.unresponsive, watch.silence(), watch.response.status
        )
        if self.parallel is not None and watch in (self.watch, self.parallel):
            self._on_parallel_call_ended(watch, self.parallel, reason)
        elif watch is self.watch:
            self.watch = None
            self.log(f"watch of discovery at {watch.host} ended: {reason}")
            self._retry()

    def _on_parallel_call_ended(
        self, ended: EndpointWatch, parallel: EndpointWatch, reason: str
    ) -> None:
        if ended is self.watch:
            self.watch = parallel
        self.parallel = None
        self.log(f"one of two calls to discovery at {ended.host} ended: {reason}")
        assert self.watch is not None
        if ended.silence() > FIRST_VALUE_TIMEOUT:
            self._call_in_parallel(self.watch, self.watch.progress)
        else:
            self.on_progress(self.watch)

    def _retry(self) -> None:
        """Open another watch when the scheduler decides, or before time runs out."""
        if self.previous is None and self.moved_at is None:
            self._on_failed()
            return
        silence = 0 if self.previous is None else self.previous.silence()
        soonest, latest, bypasses_scheduler = retry_delay(
            silence, self._since_move(), self.scheduler_notified
        )
        self.scheduler_notified = self.moved_at is not None
        delay = self.uniform(soonest, latest) / 10_000
        retry = self.request_watch if bypasses_scheduler else self._on_failed
        self.reactor.callLater(delay, retry)

    def _on_failed(self) -> None:
        if not self.stopped:
            self.listener(EndpointUpdateKind.FAILED, ())
