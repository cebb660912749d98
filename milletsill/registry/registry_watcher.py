"""Twisted around registry/decide.py: one range, then a watch; each asking of the module gets one `listed` back."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.threads import deferToThread
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from milletsill.interface import Endpoint, EndpointUpdateKind
from milletsill.registry import endpoint_cache, etcd_json
from milletsill.registry.endpoint_view import (
    LOOK,
    MOST_PUT_OFF,
    NEWS,
    SETTLED,
    Box,
    Cue,
    Newest,
    Stage,
    View,
    missed,
    other_past,
    step,
)

SAVE_WITHIN = 0.5  # seconds
Hear = Callable[[EndpointUpdateKind, "list[Endpoint]"], None]


@implementer(IBodyProducer)
class Body:
    """A short request body."""

    def __init__(self, data: bytes) -> None:
        self.data, self.length = data, len(data)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self.data)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None: ...

    def resumeProducing(self) -> None: ...

    def stopProducing(self) -> None: ...


class Gather(Protocol):
    """Reads a whole body, bounded, then calls `done`; or each line as it comes."""

    def __init__(
        self,
        most: int,
        line: Callable[[bytes], None] | None,
        done: Callable[[bytes | None], None],
    ) -> None:
        self.most, self.line, self.done = most, line, done
        self.lines, self.held, self.size, self.over = (
            etcd_json.Lines(most),
            list[bytes](),
            0,
            False,
        )

    def dataReceived(self, data: bytes) -> None:
        if self.over:
            return None
        if self.line is None:
            self.size += len(data)
            if self.size > self.most:
                return self.stop()
            self.held.append(data)
            return None
        try:
            for each in self.lines.feed(data):
                if not self.over:
                    self.line(each)
        except etcd_json.MalformedRegistryAnswer:
            self.stop()

    def stop(self) -> None:
        """End it from this side: nothing more is heard."""
        if not self.over:
            self.over = True
            self.transport.loseConnection()
            self.done(None)

    def connectionLost(self, reason: Any = None) -> None:
        if not self.over:
            self.over = True
            self.done(b"".join(self.held) if self.line is None else None)


class Follower:
    """Keeps the view of the boxes, tells the module, writes the cache.

    `hear` gets what the module is told; `moved` the boxes whose links change; `remark` one line for the log; `uniform` draws.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        link: Any,
        warm_after: int,
        cache_path: str,
        hear: Hear,
        moved: Callable[[list[Box]], None],
        remark: Callable[[str], None],
        gateway: str,
        uniform: Callable[[float, float], float],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.reactor, self.now, self.wall, self.link = reactor, now, wall, link
        self.view, self.cache_path = View(link.most_boxes, warm_after), cache_path
        self.hear, self.moved, self.remark = hear, moved, remark
        self.stage, self.number, self.late = Stage.IDLE, 0, None
        self.headers = Headers(
            {
                b"Content-Type": [b"application/json"],
                b"User-Agent": [f"milletsill/{gateway}".encode()],
            }
        )
        self.agent = Agent(
            reactor,
            connectTimeout=link.connect_ms / 1000,
            pool=HTTPConnectionPool(reactor, False),
        )
        self.stream: Gather | None = None
        self.body: Gather | None = None
        self.complaints: dict[str, None] = {}
        self.cache_failing = self.stopped = False
        self.save_call: Any = None
        self.uniform, self.brought, self.put_off, self.cluster = uniform, 0, 0, ""
        self.look_call: Any = None

    def start(self) -> None:
        """Tell the module the last list, or an empty one."""
        boxes: dict[str, Box] = {}
        try:
            boxes, _ = endpoint_cache.get(self.cache_path)
        except endpoint_cache.EndpointCacheNotStored as error:
            self.remark(f"the last list is not used: {error.describe()}")
        self.view.replace(boxes, 0)
        self.tell(EndpointUpdateKind.CACHED, self.view.whole())

    def ask(self) -> None:
        """The module wants to be kept up to date."""
        self.cue(Cue.ASK)

    def tell(self, news: EndpointUpdateKind, boxes: list[Box]) -> None:
        self.moved(self.view.whole())
        self.hear(news, self.view.entries(boxes, self.now(), int(self.wall() * 1000)))

    def cue(self, cue: Cue, changes: list[Box] | None = None) -> None:
        """Read the table and act."""
        if self.stopped:
            return
        self.stage, effect = step(self.stage, cue)
        if effect == "range":
            self.range()
        elif effect == "whole":
            self.tell(EndpointUpdateKind.SNAPSHOT, self.view.whole())
            self.save()
            self.watch()
        elif effect:
            if effect == "failed":
                self.close_stream()
            self.tell(NEWS[effect], changes or [])
            if changes:
                self.save()

    def call(
        self,
        path: str,
        body: bytes,
        line: Callable[[bytes], None] | None,
        done: Callable[[bytes | None], None],
    ) -> None:
        """One call; `done` gets the body, or None where it failed, once. A stream ends with None."""
        url = f"http://{self.link.address}{path}".encode()
        answered = self.agent.request(b"POST", url, self.headers, Body(body))
        over = [False]

        def once(data: bytes | None) -> None:
            if not over[0]:
                over[0] = True
                done(data)

        def response(got: Any) -> None:
            if got.code != 200:
                self.remark(f"{path} answered {got.code}")
                once(None)
            gather = Gather(
                self.link.most_line, line if got.code == 200 else None, once
            )
            if line is not None:
                self.stream = gather
            else:
                self.body = gather
            got.deliverBody(gather)

        answered.addCallback(response)
        answered.addErrback(lambda failure: once(None))
        self.pending = answered

    def range(self) -> None:
        """Ask for the whole list."""
        number = self.number = self.number + 1
        self.late = self.reactor.callLater(
            self.link.call_ms / 1000, self.overdue, number
        )

        def done(data: bytes | None) -> None:
            if number != self.number or self.stage is not Stage.RANGING:
                return None
            self.no_longer_late()
            try:
                if data is None:
                    raise etcd_json.MalformedRegistryAnswer("the list did not come")
                boxes, revision = etcd_json.read_range(data, self.complain)
                keys, self.cluster = etcd_json.read_keys(data)
            except etcd_json.MalformedRegistryAnswer as error:
                self.remark(f"registry: {error.describe()}")
                return self.cue(Cue.FAIL)
            self.view.replace(boxes, revision, keys)
            self.brought, self.put_off = revision, 0
            self.cue(Cue.RANGE_OK)

        self.call("/v3/kv/range", etcd_json.range_body(self.link.prefix), None, done)

    def watch(self) -> None:
        """Open the watch from the revision after the list's."""
        number = self.number = self.number + 1
        self.late = self.reactor.callLater(
            self.link.call_ms / 1000, self.overdue, number
        )

        def line(data: bytes) -> None:
            if number == self.number and not self.stopped:
                self.watched(data)

        def done(data: bytes | None) -> None:
            if number == self.number:
                self.no_longer_late()
                self.cue(Cue.FAIL)

        self.call(
            "/v3/watch",
            etcd_json.watch_body(self.link.prefix, self.view.revision + 1),
            line,
            done,
        )

    def watched(self, data: bytes) -> None:
        """One message of the watch."""
        try:
            changes, newest, opened, compacted = etcd_json.read_watch(
                data, self.complain
            )
        except etcd_json.MalformedRegistryAnswer as error:
            self.remark(f"registry: {error.describe()}")
            return self.cue(Cue.FAIL)
        self.no_longer_late()
        if compacted:
            self.close_stream()
            return self.cue(Cue.COMPACTED)
        if opened is not None:
            if other_past((self.cluster, self.view.revision), opened):
                self.remark(
                    "registry: it was restored since its list; the whole list is asked for"
                )
                return self.cue(Cue.FAIL)
            self.cue(Cue.JOIN_OK)
        if self.look_call is None:
            self.look_later()
        self.brought = max(self.brought, newest)
        if changes and (boxes := self.view.apply(changes)):
            self.cue(Cue.EVENTS, boxes)

    def look_later(self) -> None:
        """Ask, a while from now, whether the watch has missed anything."""
        self.no_look()
        self.look_call = self.reactor.callLater(
            self.uniform(*LOOK) * 2**self.put_off / 10_000, self.look
        )

    def look(self) -> None:
        """One small call; where it fails the watch stands, and the next comes later."""
        number, over = self.number, [False]

        def done(data: bytes | None) -> None:
            if over[0] or number != self.number or self.stopped:
                return None
            over[0] = True
            self.no_look()
            try:
                if data is None:
                    raise etcd_json.MalformedRegistryAnswer("no answer")
                there = Newest(*etcd_json.read_newest(data), self.brought)
            except etcd_json.MalformedRegistryAnswer:
                self.put_off = min(self.put_off + 1, MOST_PUT_OFF)
                return self.look_later()
            self.put_off = 0
            if not missed(there, self.cluster, self.brought, self.view.keys()):
                return self.look_later()
            self.look_call = self.reactor.callLater(
                SETTLED / 10_000, self.settled, there
            )

        def late() -> None:
            self.give_up()
            done(None)

        self.look_call = self.reactor.callLater(self.link.call_ms / 1000, late)
        self.call("/v3/kv/range", etcd_json.newest_body(self.link.prefix), None, done)

    def settled(self, there: Newest) -> None:
        """What a look found missing has come by now, or does not come by this watch."""
        if not missed(there, self.cluster, self.brought, self.view.keys()):
            return self.look_later()
        self.remark("registry: the watch is silent, and the list has changed")
        self.cue(Cue.FAIL)

    def no_look(self) -> None:
        if self.look_call is not None and self.look_call.active():
            self.look_call.cancel()
        self.look_call = None

    def overdue(self, number: int) -> None:
        self.late = None
        if number == self.number and self.stage in (Stage.RANGING, Stage.JOINING):
            self.number += 1
            self.give_up()
            self.cue(Cue.FAIL)

    def give_up(self) -> None:
        """The call under way is no longer waited for, whether or not its answer has begun."""
        self.pending.cancel()
        if self.body is not None:
            self.body.stop()

    def no_longer_late(self) -> None:
        if self.late is not None:
            self.late.cancel()
            self.late = None

    def close_stream(self) -> None:
        """The watch that stood is not heard any more."""
        self.number += 1
        self.no_longer_late()
        self.no_look()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.stop()

    def complain(self, text: str) -> None:
        """A box that makes no sense is said once."""
        if text not in self.complaints:
            self.complaints[text] = None
            self.remark(f"registry: left out {text}")
        while len(self.complaints) > 256:
            self.complaints.pop(next(iter(self.complaints)))

    def save(self) -> None:
        """Keep the list for a restart, soon: a flood of changes is written once, and never by the reactor's thread."""
        if self.save_call is None:
            self.save_call = self.reactor.callLater(SAVE_WITHIN, self.save_now)

    def save_now(self) -> None:
        self.save_call = None
        writing = deferToThread(
            endpoint_cache.put,
            self.cache_path,
            dict(self.view.by_key),
            self.view.revision,
        )
        writing.addCallbacks(
            lambda _: self.saved(""),
            lambda failure: self.saved(failure.getErrorMessage()),
        )

    def saved(self, complaint: str) -> None:
        """A disk that refuses is said once until it takes a list again."""
        if complaint and not self.cache_failing:
            self.remark(f"the list cannot be kept: {complaint}")
        self.cache_failing = bool(complaint)

    def stop(self) -> None:
        self.stopped = True
        if self.save_call is not None:
            self.save_call.cancel()
            self.save_call = None
            try:
                endpoint_cache.put(
                    self.cache_path, self.view.by_key, self.view.revision
                )
            except endpoint_cache.EndpointCacheNotStored as error:
                self.saved(error.describe())
        self.close_stream()
        if getattr(self, "pending", None) is not None:
            self.pending.cancel()
