"""Follow the platform's endpoint list.

One watch at a time, opened when the scheduler asks.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from milletsill.http_gateway.connector import SingleConnector
from milletsill.http_gateway.discovery_timing import (
    CONNECT_TIMEOUT,
    FIRST_WORD_TIMEOUT,
    SILENCE_BEFORE_NEW_WATCH,
    CallProgress,
    is_mute,
    parallel_call_delay,
    retry_delay,
)
from milletsill.http_gateway.endpoint_watch import SPOKEN, EndpointWatch
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
        zones: the zones of the settings.
        clock: our clock less the wall clock.
        grace: the time to stop sending to a node that drains, where lists are pushed; 0
            where they are asked for.
    """

    address: tuple[str, int]
    zones: Sequence[str]
    clock: int
    grace: int = 0


class EndpointWatcher:
    """Keeps the calls to discovery.

    `watch` is the watch that stands, or the call that is to be it. `old` is the watch
    that it takes the place of, at a new address or because that is silent. `parallel`
    is a second call beside one that is not answered, only while `watch` has not spoken.

    Attributes:
        version: the version of the list that we have.
        mute: whether discovery takes calls and says nothing.
        scheduler_knows: whether the scheduler has heard of a failure since SIGHUP.
        moved_at: when discovery moved, until a watch at the new address has spoken.
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
        self.old: EndpointWatch | None = None
        self.parallel: EndpointWatch | None = None
        self.wanted = False
        self.stopped = False
        self.mute = False
        self.scheduler_knows = False
        self.moved_at: int | None = None

    def set_known(self, update: EndpointUpdate) -> None:
        """Take the list as it was known at the start."""
        self.version = update.version
        self.listener(EndpointUpdateKind.CACHED, update.nodes)

    def request_watch(self) -> None:
        """Open a watch, unless one stands."""
        if not self.wanted and self.watch is None and not self.stopped:
            self.wanted = True
            self.reactor.callLater(0, self._open)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere: the old watch stands until the new one has spoken."""
        if address == self.address or self.stopped:
            return
        self.address = address
        self.moved_at = self.now()
        self.scheduler_knows = False
        self._close_others()
        self.old = self.watch
        self.watch = None
        self.request_watch()

    def check(self) -> None:
        """End watches that are silent for too long, and open another in time.

        The other is opened in the next turn: what came while this process stood still
        is read before.
        """
        for watch in (self.watch, self.parallel, self.old):
            if watch is not None and watch.overdue:
                watch.read_pending()
                if watch.overdue:
                    watch.end("nothing came")
        watch = self.watch
        if (
            watch is not None
            and watch.has_spoken
            and self.old is None
            and watch.quiet() > watch.silence_limit
        ):
            self.old = watch
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
        self.wanted = False
        if self.stopped or self.watch is not None:
            return
        old = self.old
        if (
            old is not None
            and old.host == self._host()
            and old.quiet() <= old.silence_limit
        ):
            self.watch = old  # it speaks again
            self.old = None
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
            SingleConnector(watch, lambda: watch.end("not reached")),
            timeout=CONNECT_TIMEOUT / 10_000,
        )
        self.on_progress(watch)
        return watch

    def on_progress(self, watch: EndpointWatch) -> None:
        """Check a call again when another beside it would be due."""
        bounds = parallel_call_delay(
            watch.progress, self.mute, self.config.grace, self._since_move()
        )
        if bounds is not None:
            delay = self.uniform(*bounds) / 10_000
            self.reactor.callLater(delay, self._call_in_parallel, watch, watch.progress)

    def _since_move(self) -> int | None:
        return None if self.moved_at is None else self.now() - self.moved_at

    def _call_in_parallel(self, watch: EndpointWatch, progress: CallProgress) -> None:
        """Make another call beside one that is no further; the first that speaks wins.

        Of two calls one that is not connected gives way to a third: the service has not
        heard of it. None is made beside an old watch that is silent: until six seconds
        after its last word there is time for one after the other.
        """
        if watch.over or watch.progress is not progress or watch.has_spoken:
            return
        if self.stopped or (self.old and self.moved_at is None):
            return
        newest = self.watch if self.parallel is None else self.parallel
        if watch is not newest:
            return
        if self.parallel is not None and self.watch is not None:
            gone, stays = self.watch, watch
            if progress is CallProgress.CONNECTING:
                gone, stays = watch, self.watch
            if gone.progress is not CallProgress.CONNECTING:
                return
            gone.close()
            self.watch = stays
        self.parallel = self._call()

    # What the watches say.

    def on_value(self, watch: EndpointWatch, value: Any) -> None:
        """Take a heartbeat, or what a list should be."""
        if watch is self.parallel:
            self.parallel = self.watch
            self.watch = watch
        first = watch is self.watch and not watch.has_spoken
        if value is not HEARTBEAT:
            config = self.config
            update = parse_update(value, config.zones, config.clock, self.log)
            self._on_update(update, watch is self.old)
        elif first:
            self.listener(EndpointUpdateKind.DELTA, ())
        if first:
            watch.version = SPOKEN
            self.moved_at = None
            self.mute = False
            self.scheduler_knows = False
            self._close_others()

    def _on_update(self, update: EndpointUpdate, from_old: bool) -> None:
        newer = update.version >= self.version
        if newer or (update.snapshot and not from_old):
            self.version = update.version
            kind = EndpointUpdateKind.DELTA
            if update.snapshot:
                kind = EndpointUpdateKind.SNAPSHOT
            self.listener(kind, update.nodes)

    def _close_others(self) -> None:
        for watch in (self.old, self.parallel):
            if watch is not None:
                watch.close()
        self.old = None
        self.parallel = None

    def on_watch_ended(self, watch: EndpointWatch, reason: str) -> None:
        """Go on without a watch.

        The scheduler hears of it, and says when to ask again.
        """
        if watch is self.old:
            self.old = None
            return
        self.mute = is_mute(self.mute, watch.quiet(), watch.response.status)
        if self.parallel is not None and watch in (self.watch, self.parallel):
            self._on_one_of_two_ended(watch, self.parallel, reason)
        elif watch is self.watch:
            self.watch = None
            self.log(f"the watch at {watch.host} is over: {reason}")
            self._retry()

    def _on_one_of_two_ended(
        self, ended: EndpointWatch, parallel: EndpointWatch, reason: str
    ) -> None:
        if ended is self.watch:
            self.watch = parallel
        self.parallel = None
        self.log(f"one of two calls at {ended.host} is over: {reason}")
        assert self.watch is not None
        if ended.quiet() > FIRST_WORD_TIMEOUT:
            self._call_in_parallel(self.watch, self.watch.progress)
        else:
            self.on_progress(self.watch)

    def _retry(self) -> None:
        """Ask again: when the scheduler says, or in time beside what else is known."""
        if self.old is None and self.moved_at is None:
            self._on_failed()
            return
        quiet = 0 if self.old is None else self.old.quiet()
        soonest, latest, on_our_own = retry_delay(
            quiet, self._since_move(), self.scheduler_knows
        )
        self.scheduler_knows = self.moved_at is not None
        delay = self.uniform(soonest, latest) / 10_000
        retry = self.request_watch if on_our_own else self._on_failed
        self.reactor.callLater(delay, retry)

    def _on_failed(self) -> None:
        if not self.stopped:
            self.listener(EndpointUpdateKind.FAILED, ())
