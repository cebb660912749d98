"""Follows the platform's list: one watch at a time, opened when the module asks, told as `listed`."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from milletsill.errors import describe_error
from milletsill.http1.errors import MalformedHttpMessage
from milletsill.http1.response_line_reader import ResponseLineReader
from milletsill.http1.writer import encode_request
from milletsill.http_gateway.endpoints import EndpointUpdate, InvalidEndpoint, news_of
from milletsill.http_gateway.gateway_limits import (
    DIAL,
    FIRST_WORD,
    MOST_LINE,
    MOST_OPEN,
    OVERDUE,
    QUIET,
    Call,
    beside_within,
    depth_of,
    is_mute,
    retry_within,
)
from milletsill.interface import EndpointUpdateKind

PATH = b"/registry/instances?watch=1&from=%d"
BEAT = object()  # an empty line: nothing changed


class Words:
    """The lines of a watch as values. A list may come indented, over several lines."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.depth = self.octets = 0

    def feed(self, line: bytes) -> list[Any]:
        """The value that is whole with this line, if one is; ValueError where none can be."""
        if not self.parts:
            try:
                return [json.loads(line) if line else BEAT]
            except json.JSONDecodeError as error:
                if error.pos < len(error.doc):
                    raise
            self.depth = self.octets = (
                0  # it ends too early and is otherwise right: the first of several
            )
        self.parts.append(line)
        self.depth += depth_of(line)
        self.octets += len(line)
        if self.octets > MOST_LINE:
            raise ValueError("a list over the bound")
        if self.depth > 0:
            return []
        text, self.parts = b"".join(self.parts), []
        return [json.loads(text)]

    def rest(self, line: bytes) -> list[Any]:
        """The value that is whole with what came without a line's end, if one is: a list whose last line end is left out, or
        comes with the next beat.
        """
        depth, octets = (self.depth, self.octets) if self.parts else (0, 0)
        if (
            not line.endswith(b"}")
            or octets + len(line) > MOST_OPEN
            or depth + depth_of(line)
        ):
            return []
        with suppress(ValueError):  # a part of a line only
            value = json.loads(b"".join(self.parts) + line)
            self.parts = []
            return [value]
        return []


class Watch(Protocol):
    """One open watch. `heard` is when its last word came: a whole line, before the first the answer's head, before that the
    call. Octets alone are no word. Guards against an answer that drips. Harm: a list that takes longer on its way is asked for
    again.
    """

    def __init__(
        self, follower: Follower, host: str, version: int, overdue: int
    ) -> None:
        self.follower, self.host, self.version = (
            follower,
            host,
            version,
        )  # the version is -1 once it has spoken
        self.overdue = overdue
        self.answer, self.words = ResponseLineReader(MOST_LINE), Words()
        self.heard, self.over, self.stage = follower.now(), False, Call.DIALLED
        self.connector: Any = None

    def connectionMade(self) -> None:
        if self.over:
            return self.transport.abortConnection()
        self.transport.write(
            encode_request(b"GET", PATH % self.version, self.host.encode(), [], b"")
        )
        self.reach(Call.TAKEN)

    def reach(self, stage: Call) -> None:
        """The call is so far; from here on another one beside it may be due at another time."""
        self.stage = stage
        self.follower.soon(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            headless = not self.answer.status
            lines = self.answer.feed(data)
            if self.answer.status not in (0, 200):
                return self.end(f"answered {self.answer.status}")
            if headless and self.answer.status:
                self.heard = self.follower.now()
            for line in lines:
                self.take(() if self.over else self.words.feed(line.strip()))
            whole = () if self.over else self.words.rest(self.answer.line.strip())
            if whole:
                self.answer.line = b""
                self.take(whole)
            if (
                self.stage is Call.TAKEN
                and self.version >= 0
                and (self.answer.line or self.words.parts)
            ):
                self.reach(Call.BEGUN)
        except (
            MalformedHttpMessage,
            InvalidEndpoint,
            ValueError,
            RecursionError,
        ) as error:
            return self.end(describe_error(error))
        if self.answer.ended:
            self.end("the watch ended")

    def take(self, values: Sequence[Any]) -> None:
        for value in values:
            self.heard = self.follower.now()
            self.follower.word(self, value)

    def connectionLost(self, reason: Any = None) -> None:
        self.end("the connection ended")

    def quiet(self) -> int:
        """How long no word has come."""
        return self.follower.now() - self.heard

    @property
    def overlong(self) -> bool:
        """Whether it has been silent for longer than any watch is."""
        return not self.over and self.quiet() > (
            QUIET if self.version < 0 else FIRST_WORD
        )

    def catch_up(self) -> None:
        """Guards the list against a process that stood still: timers go before what has come, and words that lie here unread
        would go with the watch that is ended for their want. Harm: one more read on a watch that is about to end.
        """
        if self.transport is not None:
            self.transport.doRead()  # an end is told again in the next turn

    def end(self, reason: str) -> None:
        """Over, for whatever reason; told once."""
        if not self.over:
            self.close()
            self.follower.ended(self, reason)

    def close(self) -> None:
        """Over without a word."""
        self.over = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()


class Dial(ClientFactory):
    """Brings one protocol up."""

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[], None]) -> None:
        self.made: Protocol | None = protocol
        self.failed = failed

    def buildProtocol(self, address: Any) -> Protocol | None:
        return self.made

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.failed()
        self.clientConnectionLost(connector, reason)

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Cuts the circle of connector, transport, protocol and this: each is freed with its connection."""
        connector.transport = self.made = None
        self.failed = lambda: None


class Follower:
    """Keeps the watch that stands or the call that is to be it, the old one that it takes the place of, at a new address or
    because that is silent, and a second call beside one that is not answered. `uniform` draws within two bounds; `grace` is the
    time to stop sending where lists are pushed, else 0.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        address: tuple[str, int],
        zones: Sequence[str],
        clock: int,
        told: Callable[[EndpointUpdateKind, Sequence[Any]], None],
        remark: Callable[[str], None],
        uniform: Callable[[float, float], float],
        grace: int = 0,
    ) -> None:
        self.reactor, self.now, self.address, self.zones, self.clock = (
            reactor,
            now,
            address,
            zones,
            clock,
        )
        self.told, self.remark, self.uniform, self.grace = told, remark, uniform, grace
        self.version = 0
        self.watch: Watch | None = None
        self.old: Watch | None = None
        self.beside: Watch | None = None  # only while `watch` has not spoken
        self.asked = self.stopped = self.mute = False
        self.hurried = False  # the module has heard of a failure since SIGHUP
        self.moved: int | None = (
            None  # when discovery's address did, until a watch at the new one has spoken
        )

    def known(self, news: EndpointUpdate) -> None:
        """The list as it was known at the start."""
        self.version = news.version
        self.told(EndpointUpdateKind.CACHED, news.places)

    def ask(self) -> None:
        """A watch is wanted; one that stands is enough."""
        if not self.asked and self.watch is None and not self.stopped:
            self.asked = True
            self.reactor.callLater(0, self.open)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere: the old watch stands until the new one has spoken."""
        if address != self.address and not self.stopped:
            self.address, self.moved, self.hurried = address, self.now(), False
            self.drop()
            self.old, self.watch = self.watch, None
            self.ask()

    def open(self) -> None:
        self.asked = False
        if self.stopped or self.watch is not None:
            return
        host, port = self.address
        old = self.old
        if (
            old is not None
            and old.host == f"{host}:{port}"
            and old.quiet() <= old.overdue
        ):
            self.watch, self.old = old, None  # it speaks again
            return
        self.watch = self.call()

    def call(self) -> Watch:
        host, port = self.address
        watch = Watch(self, f"{host}:{port}", self.version, int(self.uniform(*OVERDUE)))
        watch.connector = self.reactor.connectTCP(
            host,
            port,
            Dial(watch, lambda: watch.end("not reached")),
            timeout=DIAL / 10_000,
        )
        self.soon(watch)
        return watch

    def soon(self, watch: Watch) -> None:
        """Looks again at a call when another beside it would be due, if it is still no further then."""
        moved = None if self.moved is None else self.now() - self.moved
        span = beside_within(watch.stage, self.mute, self.grace, moved)
        if span is not None:
            self.reactor.callLater(
                self.uniform(*span) / 10_000, self.double, watch, watch.stage
            )

    def double(self, watch: Watch, stage: Call) -> None:
        """Another call beside one that is no further; the first that speaks wins. Of two one that is not up gives way to a third:
        the service has not heard of it. None beside an old watch that is silent: until six seconds after its last word there is
        time for one after the other.
        """
        if (
            watch.over
            or watch.stage is not stage
            or watch.version < 0
            or self.stopped
            or self.old
            and self.moved is None
        ):
            return
        if watch is not (self.watch if self.beside is None else self.beside):
            return
        if self.beside is not None and self.watch is not None:
            gone, stays = (
                (watch, self.watch) if stage is Call.DIALLED else (self.watch, watch)
            )
            if gone.stage is not Call.DIALLED:
                return
            gone.close()
            self.watch = stays
        self.beside = self.call()

    def word(self, watch: Watch, value: Any) -> None:
        """One word of the watch: a beat, or what a list should be."""
        if watch is self.beside:
            self.watch, self.beside = watch, self.watch
        first = watch is self.watch and watch.version >= 0
        if value is not BEAT:
            self.news(
                news_of(value, self.zones, self.clock, self.remark), watch is self.old
            )
        elif first:
            self.told(EndpointUpdateKind.DELTA, ())
        if first:
            watch.version, self.moved, self.mute, self.hurried = (
                -1,
                None,
                False,
                False,
            )  # has spoken
            self.drop()

    def news(self, news: EndpointUpdate, old: bool) -> None:
        if news.whole and not old or news.version >= self.version:
            self.version = news.version
            self.told(
                EndpointUpdateKind.SNAPSHOT if news.whole else EndpointUpdateKind.DELTA,
                news.places,
            )

    def drop(self) -> None:
        for each in (self.old, self.beside):
            if each is not None:
                each.close()
        self.old = self.beside = None

    def ended(self, watch: Watch, reason: str) -> None:
        """A watch is over: the module hears of it, and says when to ask again."""
        if watch is self.old:
            self.old = None
            return None
        self.mute = is_mute(self.mute, watch.quiet(), watch.answer.status)
        if self.beside is not None and watch in (self.watch, self.beside):
            self.watch, self.beside = (
                (self.beside if watch is self.watch else self.watch),
                None,
            )
            self.remark(f"one of two calls at {watch.host} is over: {reason}")
            if watch.quiet() > FIRST_WORD:
                self.double(self.watch, self.watch.stage)
            else:
                self.soon(self.watch)
        elif watch is self.watch:
            self.watch = None
            self.remark(f"the watch at {watch.host} is over: {reason}")
            if self.old is None and self.moved is None:
                return self.failed()
            moved = None if self.moved is None else self.now() - self.moved
            *span, alone = retry_within(
                0 if self.old is None else self.old.quiet(), moved, self.hurried
            )
            self.hurried = self.moved is not None
            self.reactor.callLater(
                self.uniform(*span) / 10_000, self.ask if alone else self.failed
            )

    def failed(self) -> None:
        if not self.stopped:
            self.told(EndpointUpdateKind.FAILED, ())

    def look(self) -> None:
        """Whether a watch has gone quiet: another is opened in time to be in its place, and at last it is over."""
        for watch in (self.watch, self.beside, self.old):
            if watch is not None and watch.overlong:
                watch.catch_up()
                if watch.overlong:
                    watch.end("nothing came")
        watch = self.watch
        if (
            watch is not None
            and watch.version < 0
            and self.old is None
            and watch.quiet() > watch.overdue
        ):
            self.old, self.watch = watch, None
            self.ask()  # in the next turn: what came while this process stood still is read before

    def stop(self) -> None:
        self.stopped = True
        self.drop()
        if self.watch is not None:
            self.watch.close()
