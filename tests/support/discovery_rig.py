"""Shared fixtures of the tests of discovery timing.

A simulated discovery service on a simulated clock, and gateways that watch it.
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

# The platform counts a gateway as notified of a change so long after its watch fell
# silent, or after a SIGHUP that moved discovery.
NOTIFIED_S, MOVE_NOTIFIED_S = 6.0, 4.0
# From notification to the last attempt at a draining node. Where lists are pushed, the
# gateway counts as notified as soon as discovery has the change.
DRAIN_GRACE_S = 1.0
HEARTBEAT_S, STEP_S, GATEWAY_COUNT = 2.0, 0.05, 100
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
# Outcomes of the first new call. "not up": the connect times out; "no word": the call is
# never answered.
OUTCOMES = ("good", "refused", "not up", "503", "no word")
ENDING_FAILURES = ("refused", "503", "torn")  # discovery ends the call itself
FAILURES = ENDING_FAILURES + ("late 503", "not up", "no word", "head", "half", "drip")
DRIP_INTERVAL_S = 0.4  # between two octets of a list that never completes


def encode_chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


def encode_list(version, state, indent=None, end=b"\n"):
    line = {
        "version": version,
        "full": True,
        "servers": [shared.NODE | {"state": state}],
    }
    return encode_chunk(json.dumps(line, indent=indent).encode() + end)


class Connector:
    """The connector that a failed connect passes to its factory."""

    transport = None


class DiscoveryServer:
    """Discovery as the platform specifies it.

    A watch gets a first line if the list has changed, and a heartbeat every two seconds.
    Calls are handled one after another, each in `call_duration` seconds. A call that
    would wait longer than `max_wait` seconds gets a 503, after that wait if
    `rejects_late`, else at once. Until `outage_end`, each call has `outage_outcome`.
    """

    def __init__(
        self, reactor, outcomes=(), call_duration=0.0, max_wait=1.0, rejects_late=True
    ):
        self.reactor, self.outcomes, self.call_duration, self.seen, self.calls = (
            reactor,
            list(outcomes),
            call_duration,
            len(reactor.tcpClients),
            [],
        )
        self.watches, self.drips, self.version, self.state, self.free_at = (
            [],
            [],
            4,
            "active",
            0.0,
        )
        (
            self.max_wait,
            self.rejects_late,
            self.outage_outcome,
            self.outage_end,
            self.indent,
        ) = (
            max_wait,
            rejects_late,
            "good",
            0.0,
            None,
        )
        self.transports, self.line_end = [], b"\n"

    def poll(self):
        now = self.reactor.seconds()
        for _, port, factory, timeout, _ in self.reactor.tcpClients[self.seen :]:
            if port in (8500, 8501):
                self.calls.append(now)
                wait = max(self.free_at - now, 0.0)
                outcome = self.next_outcome(now, wait)
                self.free_at = (
                    now
                    + wait
                    + self.call_duration
                    * (wait <= self.max_wait and outcome != "refused")
                )
                wait = (
                    wait if wait <= self.max_wait else self.max_wait * self.rejects_late
                )
                self.accept_call(
                    outcome, 2 if outcome == "late 503" else wait, factory, timeout
                )
        self.seen = len(self.reactor.tcpClients)
        for beat, protocol, wire in self.watches:
            if now >= beat[0] and not wire.aborted:
                beat[0] += HEARTBEAT_S
                protocol.dataReceived(encode_chunk(b"\n"))
        for drip, protocol, wire in self.drips:
            if now >= drip[0] and not wire.aborted:
                drip[0] += DRIP_INTERVAL_S
                protocol.dataReceived(encode_chunk(b" "))

    def next_outcome(self, now, wait):
        if now < self.outage_end:
            return self.outage_outcome
        return (
            "503"
            if wait > self.max_wait
            else self.outcomes.pop(0)
            if self.outcomes
            else "good"
        )

    def accept_call(self, outcome, wait, factory, timeout):
        """Establish a call's connection at once, or never.

        The call waits for its turn even if the gateway closes it in the meantime.
        """
        if outcome in ("refused", "not up"):
            after = timeout if outcome == "not up" else 0
            return self.reactor.callLater(
                after, factory.clientConnectionFailed, Connector(), None
            )
        protocol, wire = factory.buildProtocol(None), shared.MemoryTransport()
        protocol.makeConnection(wire)
        self.transports.append(wire)
        self.reactor.callLater(wait, self.answer, outcome, protocol, wire)

    def answer(self, outcome, protocol, wire):
        if wire.aborted:
            return
        text = encode_list(self.version, self.state, self.indent, self.line_end)
        if outcome in ("503", "late 503"):
            protocol.dataReceived(BUSY)
        elif outcome in ("head", "half", "torn", "drip"):
            protocol.dataReceived(
                HEAD + (text[:30] if outcome in ("half", "torn") else b"")
            )
        elif outcome == "good" and wire.value():
            asked = int(wire.value().split(b"from=")[1].split()[0])
            protocol.dataReceived(HEAD + (text if asked < self.version else b""))
            self.watches.append(
                ([self.reactor.seconds() + HEARTBEAT_S], protocol, wire)
            )
        if outcome == "torn":
            self.reactor.callLater(0.3, protocol.connectionLost)
        if outcome == "drip":
            self.drips.append(
                ([self.reactor.seconds() + DRIP_INTERVAL_S], protocol, wire)
            )

    def open_connections(self):
        """Return the connections that the gateway has not aborted."""
        self.transports = [each for each in self.transports if not each.aborted]
        return self.transports

    def drain_node(self):
        """Set the node to draining without telling the open watches; return those."""
        self.version, self.state = self.version + 1, "leaving"
        silent, self.watches = self.watches, []
        return silent


class DiscoveryTest(shared.MemoryTest):
    def start_gateway(self, draw=None, **options):
        """Start the gateway; return its discovery.

        `draw` fixes random spans to their minimum (0) or maximum (1).
        """
        self.setUp()
        if draw is not None:
            self.gateway.watcher.uniform = lambda least, most: (least, most)[draw]
        return DiscoveryServer(self.reactor, **options)

    def run_until(self, service, most, until=lambda: False, step=STEP_S):
        """Advance the clock until `until()` holds; return the seconds passed."""
        began = self.reactor.seconds()
        while not until() and self.reactor.seconds() < began + most:
            self.reactor.advance(step)
            service.poll()
        return self.reactor.seconds() - began

    def knows_draining(self, gateway=None):
        return any(
            node.health.name == "UNAVAILABLE"
            for node in (gateway or self.gateway).host.scheduler.state.nodes.values()
        )


class OutageTest(DiscoveryTest):
    """Base of tests where every call fails until discovery recovers with a change."""

    def create_gateway(self, draw, mode="on_request", patience=5):
        """Create a gateway whose random spans are all minimal (0) or maximal (1).

        The settings of pushed lists have no `ask_within_ns`.
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
        service = DiscoveryServer(self.reactor)
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

    def begin_outage(self, service, outcome, length):
        service.outage_outcome, service.outage_end, service.calls = (
            outcome,
            self.reactor.seconds() + length,
            [],
        )
        return service.drain_node()

    def measure_notification(self, service):
        """Return the seconds from recovery to the notification, and the calls before."""
        self.run_until(service, service.outage_end - self.reactor.seconds())
        calls = len(service.calls)
        waited = self.run_until(service, 20, self.knows_draining)
        self.gateway.stop()
        return waited, calls

    def start_in_outage(self, outcome, draw, length, mode="on_request", outcomes=()):
        service = self.create_gateway(draw, mode)
        self.begin_outage(service, outcome, length)
        service.outcomes = list(outcomes)
        self.gateway.start()
        return self.measure_notification(service)

    def lose_watch(self, outcome, draw, length, mode="on_request", outcomes=()):
        service = self.create_gateway(draw, mode)
        self.gateway.start()
        self.run_until(service, 6)
        for _, protocol, _ in self.begin_outage(service, outcome, length):
            protocol.connectionLost()
        service.outcomes = list(outcomes)
        return self.measure_notification(service)

    def reload_in_outage(self, outcome, draw, length, beats):
        """Move discovery by SIGHUP to an address where calls fail.

        The old watch still gets heartbeats if `beats`, else it is silent.
        """
        service = self.create_gateway(draw)
        self.gateway.start()
        self.run_until(service, 6)
        old_watches = self.begin_outage(service, outcome, length)
        service.watches = old_watches if beats else []
        self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
        return self.measure_notification(service)


class Member:
    """One gateway of a fleet: an EndpointWatcher and the scheduler's watch timer."""

    def __init__(self, reactor, now, seed, within, grace):
        self.reactor, self.now, self.has_list = reactor, now, False
        self.watcher = EndpointWatcher(
            reactor,
            now,
            WatcherConfig(("127.0.0.1", 8500), ["z"], 0, grace),
            self.on_endpoints,
            lambda text: None,
            Random(seed).uniform,
        )
        self.scheduler, _ = make_scheduler(rewatch_within=within)
        self.scheduler.state.effects = self
        self.scheduler.state.random.uniform = Random(-seed - 1).uniform
        self.watcher.request_watch()

    def on_endpoints(self, kind, entries):
        self.has_list |= any(
            each.endpoint.readiness is Readiness.DRAINING for each in entries
        )
        self.scheduler.on_endpoints(
            self.now(), kind, [each.endpoint for each in entries]
        )

    def set_timer(self, at, what):
        if what is TimerToken.RENEW_WATCH:
            self.reactor.callLater(
                max(at - self.now(), 0) / 10_000,
                lambda: self.scheduler.on_timer(self.now(), what),
            )

    def watch_endpoints(self):
        self.watcher.request_watch()


class FleetTest(DiscoveryTest):
    """Base of tests of 200 gateways at one discovery.

    Discovery handles calls one after another and rejects those that would wait longer
    than two seconds.
    """

    FLEET, SPAN = 200, 8  # gateways; seconds

    def start_fleet(self, pushed=False, **options):
        """Return a discovery that gets no new calls, and the members that watch it."""
        self.setUp()
        self.gateway.stop()
        grace = 9_999 * pushed
        within = notification_span(pushed, 0, grace)
        service = DiscoveryServer(self.reactor, max_wait=2.0, **options)
        members = [
            Member(self.reactor, self.now, seed, within, grace)
            for seed in range(self.FLEET)
        ]
        self.run_fleet(service, members, self.SPAN, lambda: False)
        return service, members

    def run_fleet(self, service, members, most, until):
        began, steps = self.reactor.seconds(), 0
        while not until() and self.reactor.seconds() < began + most:
            self.reactor.advance(0.02)
            service.poll()
            steps += 1
            for each in members if not steps % 5 else ():
                each.watcher.check()
        return self.reactor.seconds() - began

    def measure_recovery(self, service, members, takes):
        """Return the seconds until all members have the list, and the calls per member."""
        service.call_duration, service.free_at, service.calls = takes, 0.0, []
        waited = self.run_fleet(
            service, members, 25, lambda: all(each.has_list for each in members)
        )
        return waited, len(service.calls) / self.FLEET
