"""The planner as a program: takes edges' asks, answers with grants, and tells operators who holds what."""

from __future__ import annotations

import json
import random
import time
from collections import Counter as Counts
from math import ceil
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.twisted import MetricsResource
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.web.resource import Resource
from twisted.web.server import Site

from milletsill.errors import ListenFailed
from milletsill.logs import logger
from milletsill.planner import codec
from milletsill.planner.codec import (
    MalformedPlannerFrame,
    Frames,
    encoded,
    get_ask,
    put_grant,
)
from milletsill.planner.epoch_store import EpochNotStored, next_epoch
from milletsill.planner.errors import QuotaSettingsMismatch, PlannerSuperseded
from milletsill.planner.plan_pb2 import Grants, Refused, Told, Welcome
from milletsill.planner.quota_granting import Planner
from milletsill.planner.quota_terms import SECOND, Span

MOST_UNREAD, LOOK_EVERY = 4 << 20, 1.0  # bytes that an edge has not read; seconds


def monotonic() -> int:
    """Tenths of a millisecond."""
    return time.monotonic_ns() // 100_000


def span_of(lending: Any) -> Span:
    """Terms of lending from their message."""
    return Span(ceil(lending.longest_s * SECOND), lending.drift_permille, lending.floor)


class Link(Protocol):
    """One connection: an edge's after its hello, an operator's otherwise."""

    def __init__(self, service: Service) -> None:
        self.service, self.frames = service, Frames()
        self.name, self.incarnation, self.last = "", 0, 0
        self.asked = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.last = self.service.now()
        if len(self.service.links) >= self.service.file.most_edges + 16:
            return self.refuse("too many connections")
        self.service.links.add(self)

    def connectionLost(self, reason: Any = None) -> None:
        self.service.left(self)

    def dataReceived(self, data: bytes) -> None:
        self.last = self.service.now()
        try:
            for frame in self.frames.feed(data):
                self.heard(frame)
        except MalformedPlannerFrame as error:
            self.service.remark(
                "malformed",
                edge=self.name or str(self.transport.getPeer()),
                **error.log_fields(),
            )
            self.refuse(str(error))

    def heard(self, frame: Any) -> None:
        what = frame.WhichOneof("what")
        if what == "hello":
            self.service.hello(self, frame.hello)
        elif what == "question":
            self.send(told=self.service.told(frame.question))
        elif what == "asks" and self.name:
            self.answer(frame.asks)
        elif what == "refused" and self.name:
            self.service.refused(self, frame.refused)
        else:
            raise MalformedPlannerFrame(f"{what} before a hello")

    def answer(self, asks: Any) -> None:
        """Each ask of a frame, in one frame."""
        service, now, given = self.service, self.service.now(), []
        for each in asks.wish:
            ask = get_ask(self.name, self.incarnation, each)
            grant = service.planner.hear(ask, now)
            service.counts["asks"] += 1
            if grant is None:
                service.counts["senseless"] += 1
            else:
                given.append(put_grant(grant))
        self.asked += len(asks.wish)
        self.send(grants=Grants(given=given))
        service.call()

    def send(self, **what: Any) -> None:
        """A frame, unless the other side has long not read: then the end."""
        if (
            len(self.transport.dataBuffer) > MOST_UNREAD
            if hasattr(self.transport, "dataBuffer")
            else False
        ):
            self.service.remark("unread", edge=self.name)
            return self.transport.abortConnection()
        self.transport.write(encoded(**what))

    def refuse(self, reason: str, epoch: int = 0) -> None:
        """The last word."""
        self.transport.write(encoded(refused=Refused(reason=reason, epoch=epoch)))
        self.transport.loseConnection()


class Service(Factory):
    """One run of the planner."""

    noisy = False

    def __init__(
        self, file: Any, reactor: Any, log: Any = None, now: Any = monotonic
    ) -> None:
        self.file, self.reactor, self.now = file, reactor, now
        self.log = log or logger(
            file.logging.level, file.logging.json, planner=file.name
        )
        self.span = span_of(file.lending)
        self.chance = random.Random(random.SystemRandom().getrandbits(63))
        self.planner = Planner(
            next_epoch(file.state_dir, self.chance),
            self.span,
            file.most_edges,
            file.most_things,
        )
        self.links: set[Link] = set()
        self.by_name: dict[str, Link] = {}
        self.drained: set[str] = set()
        self.counts: Counts[str] = Counts()
        self.ports: list[Any] = []
        self.look_call: Any = None
        self.failed, self.superseded = False, 0
        self.figures()

    def figures(self) -> None:
        self.registry = registry = CollectorRegistry()
        self.edges_gauge = Gauge(
            "milletsill_planner_edges", "Edges connected", registry=registry
        )
        self.things_gauge = Gauge(
            "milletsill_planner_things",
            "Things that parts are asked for",
            registry=registry,
        )
        self.asks_count = Counter(
            "milletsill_planner_asks", "Asks heard", ("fate",), registry=registry
        )
        self.out_gauge = Gauge(
            "milletsill_planner_granted",
            "Parts granted now, in wholes",
            registry=registry,
        )
        self.lag = Histogram(
            "milletsill_planner_loop_lag_seconds",
            "How late the event loop was",
            registry=registry,
        )
        self.epoch_gauge = Gauge(
            "milletsill_planner_epoch", "The epoch of this run", registry=registry
        )

    def start(self) -> None:
        host, _, port = self.file.listen.rpartition(":")
        self.listen(host, int(port), self, "listening")
        if self.file.HasField("metrics"):
            root = Resource()
            root.putChild(b"metrics", MetricsResource(registry=self.registry))
            site = Site(root)
            site.noisy = False
            host, _, port = self.file.metrics.rpartition(":")
            self.listen(host, int(port), site, "metrics_listening")
        self.epoch_gauge.set(self.planner.epoch)
        self.look_call = self.reactor.callLater(LOOK_EVERY, self.look, self.now())

    def listen(self, host: str, port: int, factory: Any, word: str) -> None:
        def up(got: Any) -> None:
            self.ports.append(got)
            self.log.info(
                word, address=f"{host}:{got.getHost().port}", epoch=self.planner.epoch
            )

        def not_up(failure: Any) -> None:
            self.log.error(
                "cannot_listen",
                **ListenFailed(
                    failure.getErrorMessage(), f"{host}:{port}"
                ).log_fields(),
            )
            self.failed = True
            self.stop()

        TCP4ServerEndpoint(self.reactor, port, interface=host).listen(
            factory
        ).addCallbacks(up, not_up)

    def buildProtocol(self, addr: Any) -> Link:
        return Link(self)

    def remark(self, event: str, **values: Any) -> None:
        self.log.warning(event, **values)

    def look(self, since: int) -> None:
        """Once a second: silent edges, gauges."""
        now = self.now()
        self.lag.observe(max(now - since - LOOK_EVERY * SECOND, 0) / SECOND)
        silent = ceil(self.file.silent_s * SECOND)
        for each in list(self.links):
            if now - each.last > silent:
                each.transport.abortConnection()
        self.edges_gauge.set(len(self.by_name))
        self.things_gauge.set(len(self.planner.pots))
        self.out_gauge.set(
            sum(
                share.out(now)
                for pot in self.planner.pots.values()
                for share in pot.shares.values()
            )
            / 1e6
        )
        for fate in ("asks", "senseless"):
            self.asks_count.labels(fate).inc(self.counts[fate])
            self.counts[fate] = 0
        self.planner.forget(now)
        self.look_call = self.reactor.callLater(LOOK_EVERY, self.look, now)

    # Edges.

    def hello(self, link: Link, hello: Any) -> None:
        """An edge comes: its terms must be ours, and no newer planner known to it."""
        if hello.version != codec.VERSION:
            return link.refuse(f"version {hello.version}, {codec.VERSION} is spoken")
        if (hello.longest, hello.drift, hello.floor) != (
            self.span.longest,
            self.span.drift,
            int(self.span.floor * 1e6),
        ):
            self.remark(
                "other_terms",
                **QuotaSettingsMismatch(
                    "its terms of lending are others", hello.name[:64]
                ).log_fields(),
            )
            return link.refuse("other terms of lending")
        if (
            not 0 < len(hello.name) <= 64
            or hello.name not in self.by_name
            and len(self.by_name) >= self.file.most_edges
        ):
            return link.refuse("no such name, or too many edges")
        if hello.epoch > self.planner.epoch:
            return self.newer(link, hello.epoch)
        old = self.by_name.get(hello.name)
        if old is not None and old is not link:
            if hello.incarnation < old.incarnation:
                return link.refuse("an older run of this edge")
            old.transport.abortConnection()
        link.name, link.incarnation = hello.name, hello.incarnation
        self.by_name[hello.name] = link
        self.planner.linked.add(hello.name)
        link.send(welcome=Welcome(version=codec.VERSION, epoch=self.planner.epoch))

    def call(self) -> None:
        """What is said unasked."""
        by_link: dict[Link, list[Any]] = {}
        for name, grant in self.planner.drain_calls():
            link = self.by_name.get(name)
            if link is not None and link.incarnation == grant.incarnation:
                by_link.setdefault(link, []).append(put_grant(grant))
        for link, given in by_link.items():
            link.send(grants=Grants(given=given))

    def refused(self, link: Link, refused: Any) -> None:
        if refused.epoch > self.planner.epoch:
            self.newer(link, refused.epoch)

    def newer(self, link: Link, epoch: int) -> None:
        """Some edge has a newer planner: this run grants nothing more, whichever of the two is right. What it granted ends by
        itself.
        """
        link.refuse("an edge knows a newer planner", epoch)
        if not self.superseded:
            self.log.error(
                "superseded",
                **PlannerSuperseded(
                    "a newer planner was heard", link.name or "a hello"
                ).log_fields(),
                epoch=self.planner.epoch,
                newer=epoch,
            )
        self.superseded = max(self.superseded, epoch)
        self.failed = True
        self.reactor.callLater(0, self.stop)

    def left(self, link: Link) -> None:
        self.links.discard(link)
        if self.by_name.get(link.name) is link:
            del self.by_name[link.name]
            self.planner.linked.discard(link.name)

    # Operators.

    def told(self, question: Any) -> Any:
        """The answer to an operator's question, as lines of JSON."""
        calls = {
            "shares": self.told_shares,
            "edges": self.told_edges,
            "freeze": self.freeze,
            "thaw": self.freeze,
            "drain": self.drain,
            "undrain": self.drain,
        }
        call = calls.get(question.what)
        if call is None:
            return Told(
                fault=f"no question {question.what[:20]!r}; there are {', '.join(calls)}"
            )
        lines = call(question)
        return Told(line=[json.dumps(each) for each in lines[: max(question.most, 1)]])

    def told_shares(self, question: Any) -> list[dict[str, Any]]:
        """Who holds what, until when, and what it would have."""
        now, found = self.now(), []
        for (what, id), pot in sorted(self.planner.pots.items()):
            for name, share in sorted(pot.shares.items()):
                if question.edge in ("", name):
                    found.append(
                        {
                            "what": what,
                            "id": id,
                            "edge": name,
                            "even": share.capital,
                            "want": share.want,
                            "lent": share.lent(now),
                            "lent_for_ms": max(
                                [ends for _, ends in share.promises] + [now]
                            )
                            // 10
                            - now // 10,
                            "granted": share.out(now),
                            "granted_for_ms": max(
                                (end for _, end in share.grants), default=now
                            )
                            // 10
                            - now // 10,
                            "reported_ms_ago": (now - share.reported) // 10,
                        }
                    )
        return found

    def told_edges(self, question: Any) -> list[dict[str, Any]]:
        now = self.now()
        return [
            {
                "edge": name,
                "incarnation": link.incarnation,
                "epoch": self.planner.epoch,
                "asks": link.asked,
                "heard_ms_ago": (now - link.last) // 10,
                "drained": name in self.drained,
                "frozen": self.planner.frozen,
            }
            for name, link in sorted(self.by_name.items())
        ]

    def freeze(self, question: Any) -> list[dict[str, Any]]:
        """Plans stay as they are, or are made again."""
        self.planner.frozen = question.what == "freeze"
        self.log.info("planning", frozen=self.planner.frozen)
        return [{"frozen": self.planner.frozen}]

    def drain(self, question: Any) -> list[dict[str, Any]]:
        """An edge that shall want nothing, or may again."""
        if question.what == "drain" and len(self.drained) < self.file.most_edges:
            self.drained.add(question.edge)
        else:
            self.drained.discard(question.edge)
        self.planner.drained = frozenset(self.drained)
        return [{"edge": question.edge, "drained": question.edge in self.drained}]

    def stop(self) -> None:
        """Cut everything; what was granted ends by itself."""
        for port in self.ports:
            port.stopListening()
        self.ports = []
        if self.look_call is not None and self.look_call.active():
            self.look_call.cancel()
        for each in list(self.links):
            each.transport.loseConnection()
        self.log.info("stopped", epoch=self.planner.epoch)
        if self.reactor.running and getattr(self, "alone", False):
            self.reactor.callLater(0.1, self.reactor.stop)


def run(file: Any) -> int:
    """Until SIGTERM; 0, or 1 where it could not start or another planner took over."""
    import signal

    from twisted.internet import reactor

    try:
        service = Service(file, reactor)
    except EpochNotStored as error:
        logger(file.logging.level, file.logging.json, planner=file.name).error(
            "epoch_not_kept", **error.log_fields()
        )
        return 1
    service.alone = True
    reactor.callWhenRunning(service.start)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(service.stop))
    reactor.run(installSignalHandlers=False)
    return 1 if service.failed else 0
