"""A stand-in of discovery on a clock of the test's own, and gateways that call it.

What the tests of discovery's clock share.
"""

import json
from random import Random

from milletsill.http_gateway.discovery_timing import notification_span
from milletsill.http_gateway.endpoint_watcher import EndpointWatcher, WatcherConfig
from milletsill.http_gateway.gateway import HttpGateway
from milletsill.interface import Readiness
from milletsill.scheduler.transitions import TimerToken
from tests.support import http_gateway_rig as shared
from tests.support.scheduler_builders import make_scheduler

TOLD, MOVED = (
    6.0,
    4.0,
)  # seconds: the platform counts what a silent watch missed, and what came after SIGHUP, as told by then
# after that, to the last dispatch to a draining node; where lists are pushed, what the
# agent has counts at once
GRACE = 1.0
BEAT, STEP, MANY = 2.0, 0.05, 100
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
WAYS = (
    "good",
    "refused",
    "not up",
    "503",
    "no word",
)  # what becomes of the first new call
QUICK = ("refused", "503", "torn")  # the calls that end by themselves
FAILING = QUICK + ("late 503", "not up", "no word", "head", "half", "drip")
DRIP = 0.4  # between two octets


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


def said(version, state, indent=None, end=b"\n"):
    line = {
        "version": version,
        "full": True,
        "servers": [shared.NODE | {"state": state}],
    }
    return chunk(json.dumps(line, indent=indent).encode() + end)


class Connector:
    """What a dial that failed gives its factory."""

    transport = None


class Service:
    """Discovery as the platform's page has it.

    A watch's first line when something changed, a beat every two seconds. With `takes`,
    calls are handled in turn, each in so many seconds, and one that would wait for over
    `bears` seconds gets a 503, at once or after so long. Up to `back`, calls end as
    `bad` says.
    """

    def __init__(self, reactor, ways=(), takes=0.0, bears=1.0, patient=True):
        self.reactor, self.ways, self.takes, self.seen, self.calls = (
            reactor,
            list(ways),
            takes,
            len(reactor.tcpClients),
            [],
        )
        self.watches, self.drips, self.version, self.state, self.free = (
            [],
            [],
            4,
            "active",
            0.0,
        )
        self.bears, self.patient, self.bad, self.back, self.indent = (
            bears,
            patient,
            "good",
            0.0,
            None,
        )
        self.wires, self.end = [], b"\n"

    def look(self):
        now = self.reactor.seconds()
        for _, port, factory, timeout, _ in self.reactor.tcpClients[self.seen :]:
            if port in (8500, 8501):
                self.calls.append(now)
                wait = max(self.free - now, 0.0)
                way = self.way(now, wait)
                self.free = (
                    now + wait + self.takes * (wait <= self.bears and way != "refused")
                )
                wait = wait if wait <= self.bears else self.bears * self.patient
                self.taken(way, 2 if way == "late 503" else wait, factory, timeout)
        self.seen = len(self.reactor.tcpClients)
        for beat, protocol, wire in self.watches:
            if now >= beat[0] and not wire.aborted:
                beat[0] += BEAT
                protocol.dataReceived(chunk(b"\n"))
        for drip, protocol, wire in self.drips:
            if now >= drip[0] and not wire.aborted:
                drip[0] += DRIP
                protocol.dataReceived(chunk(b" "))

    def way(self, now, wait):
        if now < self.back:
            return self.bad
        return "503" if wait > self.bears else self.ways.pop(0) if self.ways else "good"

    def taken(self, way, wait, factory, timeout):
        """A connection is up at once, or never.

        The call on it waits for its turn, also if it was given up by then.
        """
        if way in ("refused", "not up"):
            after = timeout if way == "not up" else 0
            return self.reactor.callLater(
                after, factory.clientConnectionFailed, Connector(), None
            )
        protocol, wire = factory.buildProtocol(None), shared.Wire()
        protocol.makeConnection(wire)
        self.wires.append(wire)
        self.reactor.callLater(wait, self.answer, way, protocol, wire)

    def answer(self, way, protocol, wire):
        if wire.aborted:
            return
        text = said(self.version, self.state, self.indent, self.end)
        if way in ("503", "late 503"):
            protocol.dataReceived(BUSY)
        elif way in ("head", "half", "torn", "drip"):
            protocol.dataReceived(
                HEAD + (text[:30] if way in ("half", "torn") else b"")
            )
        elif way == "good" and wire.value():
            asked = int(wire.value().split(b"from=")[1].split()[0])
            protocol.dataReceived(HEAD + (text if asked < self.version else b""))
            self.watches.append(([self.reactor.seconds() + BEAT], protocol, wire))
        if way == "torn":
            self.reactor.callLater(0.3, protocol.connectionLost)
        if way == "drip":
            self.drips.append(([self.reactor.seconds() + DRIP], protocol, wire))

    def open(self):
        """The connections that stand."""
        self.wires = [each for each in self.wires if not each.aborted]
        return self.wires

    def change(self):
        """The node drains, and no watch that stands hears of it; gives these."""
        self.version, self.state = self.version + 1, "leaving"
        gone, self.watches = self.watches, []
        return gone


class Played(shared.Served):
    def start(self, draw=None, **service):
        """A gateway that chance serves worst, or best, and discovery."""
        self.setUp()
        if draw is not None:
            self.gateway.watcher.uniform = lambda least, most: (least, most)[draw]
        return Service(self.reactor, **service)

    def play(self, service, most, until=lambda: False, step=STEP):
        """Seconds until it holds."""
        began = self.reactor.seconds()
        while not until() and self.reactor.seconds() < began + most:
            self.reactor.advance(step)
            service.look()
        return self.reactor.seconds() - began

    def drains(self, gateway=None):
        return any(
            node.health.name == "UNAVAILABLE"
            for node in (gateway or self.gateway).host.scheduler.state.nodes.values()
        )


class Called(Played):
    """Calls fail in one way up to a moment, from which on discovery has the change and can be reached."""

    def begin(self, draw, mode="on_request", patience=5):
        """A process that starts, served worst or best by chance.

        Of lists that are pushed the settings say no time to ask in.
        """
        self.setUp()
        self.gateway.stop()
        rules = {
            name: value
            for name, value in shared.SETTINGS["rules"].items()
            if mode != "pushed" or name != "ask_within_ns"
        }
        classes = [
            each | {"hard_limit_ns": patience * 10**9}
            for each in shared.SETTINGS["classes"]
        ]
        service = Service(self.reactor)
        settings = shared.SETTINGS | {
            "membership_mode": mode,
            "rules": rules,
            "classes": classes,
        }
        self.gateway = HttpGateway(
            self.deployment(settings=settings),
            self.reactor,
            self.now,
            0,
            self.gateway.log,
        )
        self.gateway.watcher.uniform = (
            self.gateway.host.scheduler.state.random.uniform
        ) = lambda least, most: (least, most)[draw]
        return service

    def spoil(self, service, way, length):
        service.bad, service.back, service.calls = (
            way,
            self.reactor.seconds() + length,
            [],
        )
        return service.change()

    def owed(self, service):
        """Seconds from when discovery could be reached to the module's knowing, and the calls before that."""
        self.play(service, service.back - self.reactor.seconds())
        calls = len(service.calls)
        waited = self.play(service, 20, self.drains)
        self.gateway.stop()
        return waited, calls

    def started(self, way, draw, length, mode="on_request", ways=()):
        service = self.begin(draw, mode)
        self.spoil(service, way, length)
        service.ways = list(ways)
        self.gateway.start()
        return self.owed(service)

    def outage(self, way, draw, length, mode="on_request", ways=()):
        service = self.begin(draw, mode)
        self.gateway.start()
        self.play(service, 6)
        for _, protocol, _ in self.spoil(service, way, length):
            protocol.connectionLost()
        service.ways = list(ways)
        return self.owed(service)

    def sighup(self, way, draw, length, beats):
        """At the new address.

        The old watch goes on to say that nothing changed, or says nothing.
        """
        service = self.begin(draw)
        self.gateway.start()
        self.play(service, 6)
        gone = self.spoil(service, way, length)
        service.watches = gone if beats else []
        self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
        return self.owed(service)


class Member:
    """One of a fleet: a follower and the module's pauses."""

    def __init__(self, reactor, now, seed, within, grace):
        self.reactor, self.now, self.has = reactor, now, False
        self.follower = EndpointWatcher(
            reactor,
            now,
            WatcherConfig(("127.0.0.1", 8500), ["z"], 0, grace),
            self.hear,
            lambda text: None,
            Random(seed).uniform,
        )
        self.module, _ = make_scheduler(rewatch_within=within)
        self.module.state.effects = self
        self.module.state.random.uniform = Random(-seed - 1).uniform
        self.follower.request_watch()

    def hear(self, kind, places):
        self.has |= any(
            each.endpoint.readiness is Readiness.DRAINING for each in places
        )
        self.module.on_endpoints(self.now(), kind, [each.endpoint for each in places])

    def set_timer(self, at, what):
        if what is TimerToken.RENEW_WATCH:
            self.reactor.callLater(
                max(at - self.now(), 0) / 10_000,
                lambda: self.module.on_timer(self.now(), what),
            )

    def watch_endpoints(self):
        self.follower.request_watch()


class Fleet(Played):
    """Two hundred at a service that handles calls in turn and turns away what would wait for over two seconds."""

    FLEET, SPAN = 200, 8

    def fleet(self, pushed=False, **service):
        """A service that nothing was asked of for some seconds, and those that watch it."""
        self.setUp()
        self.gateway.stop()
        grace = 9_999 * pushed
        within = notification_span(pushed, 0, grace)
        made = Service(self.reactor, bears=2.0, **service)
        members = [
            Member(self.reactor, self.now, seed, within, grace)
            for seed in range(self.FLEET)
        ]
        self.looked(made, members, self.SPAN, lambda: False)
        return made, members

    def looked(self, service, members, most, until):
        began, looks = self.reactor.seconds(), 0
        while not until() and self.reactor.seconds() < began + most:
            self.reactor.advance(0.02)
            service.look()
            looks += 1
            for each in members if not looks % 5 else ():
                each.follower.check()
        return self.reactor.seconds() - began

    def back(self, service, members, takes):
        """Seconds until all have the list, calls each."""
        service.takes, service.free, service.calls = takes, 0.0, []
        waited = self.looked(
            service, members, 25, lambda: all(each.has for each in members)
        )
        return waited, len(service.calls) / self.FLEET
