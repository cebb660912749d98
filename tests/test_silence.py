"""A watch that has fallen silent, played against a stand-in of discovery on a clock of the test's own: the list that it missed is
in the module within the platform's six seconds, counted from when the silence began, whatever becomes of the first new call."""
import json
import unittest
from itertools import product

from milletsill.platform.discovery import Follower
from milletsill.platform.gateway import Gateway
from tests import platform_rig as shared

TOLD, MOVED = 6.0, 4.0  # seconds: the platform counts what a silent watch missed, and what came after SIGHUP, as told by then
BEAT, STEP, MANY = 2.0, 0.05, 100
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
WAYS = ("good", "refused", "not up", "503", "no word")  # what becomes of the first new call


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


def said(version, state):
    line = {"version": version, "full": True, "servers": [shared.NODE | {"state": state}]}
    return chunk(json.dumps(line).encode() + b"\n")


class Connector:
    """What a dial that failed gives its factory."""

    transport = None


class Service:
    """Discovery as the platform's page has it: a watch's first line when something changed, a beat every two seconds. With
    `takes`, calls are handled in turn, each in so many seconds, and one that waits for over a second gets a 503."""

    def __init__(self, reactor, ways=(), takes=0.0):
        self.reactor, self.ways, self.takes, self.seen, self.calls = reactor, list(ways), takes, len(reactor.tcpClients), []
        self.watches, self.version, self.state, self.free = [], 4, "active", 0.0

    def look(self):
        now = self.reactor.seconds()
        for _, port, factory, timeout, _ in self.reactor.tcpClients[self.seen:]:
            if port in (8500, 8501):
                self.calls.append(now)
                wait = max(self.free - now, 0.0)
                way = "503" if wait > 1 else self.ways.pop(0) if self.ways else "good"
                self.free = now + wait + self.takes * (wait <= 1)
                self.reactor.callLater(min(wait, 1), self.call, way, factory, timeout)
        self.seen = len(self.reactor.tcpClients)
        for beat, protocol, wire in self.watches:
            if now >= beat[0] and not wire.aborted:
                beat[0] += BEAT
                protocol.dataReceived(chunk(b"\n"))

    def call(self, way, factory, timeout):
        if way in ("refused", "not up"):
            after = timeout if way == "not up" else 0
            return self.reactor.callLater(after, factory.clientConnectionFailed, Connector(), None)
        protocol, wire = factory.buildProtocol(None), shared.Wire()
        protocol.makeConnection(wire)
        if way == "503":
            protocol.dataReceived(BUSY)
        elif way == "good" and wire.value():
            asked = int(wire.value().split(b"from=")[1].split()[0])
            protocol.dataReceived(HEAD + (said(self.version, self.state) if asked < self.version else b""))
            self.watches.append(([self.reactor.seconds() + BEAT], protocol, wire))

    def change(self):
        """The node drains, and no watch that stands hears of it."""
        self.version, self.state = self.version + 1, "leaving"
        self.watches.clear()


class Silence(shared.Served):

    def start(self, draw=None, **service):
        """A gateway that chance serves worst, or best, and discovery."""
        self.setUp()
        if draw is not None:
            self.gateway.follower.uniform = lambda least, most: (least, most)[draw]
        return Service(self.reactor, **service)

    def play(self, service, most, until=lambda: False):
        """Seconds until it holds."""
        began = self.reactor.seconds()
        while not until() and self.reactor.seconds() < began + most:
            self.reactor.advance(STEP)
            service.look()
        return self.reactor.seconds() - began

    def drains(self, gateway=None):
        return any(node.health.name == "BARRED" for node in (gateway or self.gateway).host.module.nodes.values())

    def test_what_a_silent_watch_misses_is_in_before_it_counts_as_told(self):
        for way, draw, phase in product(WAYS, (0, 1), range(0, 20, 3)):
            service = self.start(draw)
            self.play(service, 8 + phase * 0.1)
            service.ways, service.calls = [way], []
            service.change()
            self.assertLess(self.play(service, 20, self.drains), TOLD - 0.2, (way, draw, phase))
            self.assertLessEqual(len(service.calls), 2, (way, draw, phase))

    def test_a_beat_that_is_late_costs_a_call_and_not_the_list_and_a_pause_of_our_own_costs_nothing(self):
        service = self.start(1)
        self.play(service, 6)
        (beat, protocol, wire), = service.watches
        beat[0] += 1.5
        service.ways, service.calls = ["503"], []
        self.play(service, 8)
        self.assertEqual((len(service.calls), wire.aborted, len(service.watches)), (1, False, 1))
        self.reactor.rightNow += 4  # the process stood still; what had come meanwhile is read after the timers
        self.gateway.follower.look()
        protocol.dataReceived(chunk(b"\n"))
        self.play(service, 1)
        self.assertEqual(len(service.calls), 1)

    def test_after_sighup_the_list_is_in_before_it_counts_as_told(self):
        for way, draw in product(WAYS, (0, 1)):
            service = self.start(draw)
            self.play(service, 8)
            service.ways = [way]
            service.change()
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.assertLess(self.play(service, 20, self.drains), MOVED - 0.2, (way, draw))

    def test_a_new_process_asks_at_once_whether_lists_are_pushed_or_asked_for(self):
        for mode, (way, within) in product(("pushed", "on_request"), {"good": 0.2, "refused": 1.5, "503": 1.5, "not up": 2.5}.items()):
            service = Service(self.reactor, [way])
            service.change()
            self.gateway = Gateway(self.deployment(settings=shared.SETTINGS | {"membership_mode": mode}), self.reactor, self.now, 0,
                                   self.gateway.log)
            self.gateway.start()
            self.assertLess(self.play(service, 20, self.drains), within, (mode, way))

    def test_many_whose_watches_fall_silent_at_once(self):
        service = self.start(takes=0.008)
        fleet = [Gateway(self.deployment(seed=f"{seed:016x}"), self.reactor, self.now, 0, self.gateway.log) for seed in range(MANY)]
        for gateway in fleet:
            gateway.start()
        self.play(service, 8)
        service.ways, service.calls = ["503", "good"] * (MANY // 4), []
        service.change()
        self.assertLess(self.play(service, 20, lambda: all(map(self.drains, fleet))), TOLD)
        self.assertLess(len(service.calls), 1.4 * MANY)


if __name__ == "__main__":
    unittest.main()
