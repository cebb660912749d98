"""Follows the platform's list: one watch at a time, opened when the module asks, told as `listed`."""
from __future__ import annotations

import json
from typing import Any, Callable, Sequence

from twisted.internet.protocol import ClientFactory, Protocol

from milletsill.http1.lines import AnswerLines
from milletsill.http1.reader import Malformed
from milletsill.http1.writer import request
from milletsill.interface import News as Kind
from milletsill.platform.decide import DIAL, MOST_LINE, QUIET
from milletsill.platform.nodes import BadEntry, News, news_of

PATH = b"/registry/instances?watch=1&from=%d"


class Watch(Protocol):
    """One open watch."""

    def __init__(self, follower: Follower, host: str, version: int) -> None:
        self.follower, self.host, self.version = follower, host, version
        self.answer = AnswerLines(MOST_LINE)
        self.heard, self.over = follower.now(), False

    def connectionMade(self) -> None:
        if self.over:
            return self.transport.abortConnection()
        self.transport.write(request(b"GET", PATH % self.version, self.host.encode(), [], b""))

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.follower.now()
        try:
            lines = self.answer.feed(data)
            if self.answer.status not in (0, 200):
                return self.end(f"answered {self.answer.status}")
            for line in lines:
                if not self.over:
                    self.follower.line(self, line.strip())
        except (Malformed, BadEntry, ValueError, RecursionError) as error:
            return self.end(" ".join(str(error).split())[:200])
        if self.answer.ended:
            self.end("the watch ended")

    def connectionLost(self, reason: Any = None) -> None:
        self.end("the connection ended")

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
    """Keeps at most two watches: the one that stands, and the one that takes its place at a new address."""

    def __init__(self, reactor: Any, now: Callable[[], int], address: tuple[str, int], zones: Sequence[str], clock: int,
                 told: Callable[[Kind, Sequence[Any]], None], remark: Callable[[str], None]) -> None:
        self.reactor, self.now, self.address, self.zones, self.clock = reactor, now, address, zones, clock
        self.told, self.remark = told, remark
        self.version = 0
        self.watch: Watch | None = None
        self.old: Watch | None = None
        self.asked = self.stopped = False

    def known(self, news: News) -> None:
        """The list as it was known at the start."""
        self.version = news.version
        self.told(Kind.CACHED, news.places)

    def ask(self) -> None:
        """A watch is wanted; one that stands is enough."""
        if not self.asked and self.watch is None and not self.stopped:
            self.asked = True
            self.reactor.callLater(0, self.open)

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere: the old watch stands until the new one has spoken."""
        if address != self.address and not self.stopped:
            self.address = address
            self.drop()
            self.old, self.watch = self.watch, None
            self.ask()

    def open(self) -> None:
        self.asked = False
        if self.stopped or self.watch is not None:
            return
        host, port = self.address
        watch = self.watch = Watch(self, f"{host}:{port}", self.version)
        self.reactor.connectTCP(host, port, Dial(watch, lambda: watch.end("not reached")), timeout=DIAL / 10_000)

    def line(self, watch: Watch, line: bytes) -> None:
        """One line of the watch; an empty one says that nothing changed."""
        first = watch is self.watch and watch.version >= 0
        if line:
            self.news(news_of(json.loads(line), self.zones, self.clock, self.remark))
        elif first:
            self.told(Kind.CHANGES, ())
        if first:
            watch.version = -1  # has spoken
            self.drop()

    def news(self, news: News) -> None:
        if news.whole or news.version >= self.version:
            self.version = news.version
            self.told(Kind.WHOLE if news.whole else Kind.CHANGES, news.places)

    def drop(self) -> None:
        if self.old is not None:
            self.old.close()
            self.old = None

    def ended(self, watch: Watch, reason: str) -> None:
        """A watch is over: the module hears of it at once, and says when to ask again."""
        if watch is self.old:
            self.old = None
        elif watch is self.watch:
            self.watch = None
            self.remark(f"the watch at {watch.host} is over: {reason}")
            if not self.stopped:
                self.told(Kind.FAILED, ())

    def look(self) -> None:
        """Whether a watch has gone quiet."""
        for watch in (self.watch, self.old):
            if watch is not None and self.now() - watch.heard > QUIET:
                watch.end("nothing came")

    def stop(self) -> None:
        self.stopped = True
        self.drop()
        if self.watch is not None:
            self.watch.close()
