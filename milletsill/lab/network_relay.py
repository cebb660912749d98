"""The stand-in for the network between gateways: one process through which all pairs speak, over UDP and TCP.

Gateway n has 127.0.1.(n+1):PORT as its own address and says that it is reached at 127.0.2.(n+1):PORT, where the relay
listens. Who speaks is told by the source's IP address, whom to by the socket it came in on. What is passed on leaves from
the speaker's own relay address, so that an answer to it comes back through here. What the network does and when is known
at the start from the scenario; a control line on loopback takes more (tests). network_faults.py decides, this acts.

A way that is cut holds streams as a real one does: nothing is reset, what was sent comes after the healing. A stream is
reset by `reset_network`. Unlike a real network a new connection is taken at once even when the way is cut.
"""

from __future__ import annotations

import json
import time
from collections import deque
from random import Random
from types import SimpleNamespace
from typing import Any

from twisted.internet.protocol import DatagramProtocol, Factory, Protocol
from twisted.protocols.basic import LineOnlyReceiver

from milletsill.lab.moment import at
from milletsill.lab.record import PacketRecorder
from milletsill.lab.network_faults import (
    CLEAR,
    NETWORK_FAULTS,
    LinkCondition,
    NetworkFault,
    link_condition,
    network_fault,
    network_faults,
)

MOST_LATE_PACKETS, MOST_LATE_BYTES = (
    50_000,
    1 << 20,
)  # packets of all ways; bytes of one stream
MOST_STREAMS, DIAL = 4096, 3.0  # at a time; seconds
LOOK, LONGEST_SELF = (
    0.02,
    3600.0,
)  # seconds between looks at held streams; the relay ends by itself after that
MOST_MEMBERS = 250
INSIDE, OUTSIDE = "127.0.1.", "127.0.2."


def inside(number: int) -> str:
    """The IP address of a gateway itself."""
    return f"{INSIDE}{number + 1}"


def outside(number: int) -> str:
    """The IP address at which others reach it, the relay's."""
    return f"{OUTSIDE}{number + 1}"


def speaker(host: str) -> int | None:
    """Which gateway has this address; None for none."""
    prefix, _, last = host.rpartition(".")
    return int(last) - 1 if prefix + "." == INSIDE else None


class NetworkRelay:
    """The network among `count` gateways whose fleet addresses share one port."""

    def __init__(
        self, reactor: Any, scenario: Any, port: int, recorder: PacketRecorder
    ) -> None:
        self.reactor, self.scenario, self.count, self.port = (
            reactor,
            scenario,
            scenario.edges,
            port,
        )
        self.recorder, self.chance = recorder, Random(scenario.seed + 4)
        self.faults: list[NetworkFault] = []
        self.links: dict[tuple[int, int], LinkCondition] = {}
        self.streams: set[RelayedStream] = set()
        self.waiting = 0
        self.figures = {
            name: [0] * self.count for name in ("packets", "octets", "stream_octets")
        }
        self.counts = dict.fromkeys(
            ("lost", "twice", "late", "overfull", "strangers", "streams", "reset"), 0
        )
        self.addresses = [RelayedAddress(self, number) for number in range(self.count)]
        for number, address in enumerate(self.addresses):
            reactor.listenUDP(
                port, address, interface=outside(number), maxPacketSize=65_535
            )
            reactor.listenTCP(
                port,
                RelayListener(self, number),
                interface=outside(number),
                backlog=256,
            )
        self.look()
        self.tell()

    # Faults.

    def plan(self, start: float) -> None:
        """The day starts then, on the monotonic clock; its faults are known."""
        for fault in network_faults(self.scenario, start):
            at(self.reactor, fault.since, self.begin, fault)

    def begin(self, fault: NetworkFault) -> None:
        """It holds from now on until its end."""
        self.note(fault, "begin")
        if fault.kind == "reset_network":
            return self.reset(fault)
        self.faults.append(fault)
        self.links.clear()
        at(self.reactor, fault.until, self.end, fault)

    def end(self, fault: NetworkFault) -> None:
        if fault in self.faults:
            self.faults.remove(fault)
            self.links.clear()
            self.note(fault, "end")

    def heal(self) -> None:
        for each in list(self.faults):
            self.end(each)

    def reset(self, fault: NetworkFault) -> None:
        """Every stream that touches the set ends with a reset."""
        for each in list(self.streams):
            if fault.touches(each.a, each.b):
                self.counts["reset"] += 1
                each.abort()

    def note(self, fault: NetworkFault, edge: str) -> None:
        self.recorder.note(
            what=edge,
            fault=fault.kind,
            on=sorted(fault.gateways),
            size=fault.size,
            extra=fault.extra,
            planned=fault.since,
            until=fault.until,
        )
        self.recorder.flush()

    def link(self, a: int, b: int) -> LinkCondition:
        if not self.faults:
            return CLEAR
        found = self.links.get((a, b))
        if found is None:
            found = self.links[a, b] = link_condition(self.faults, a, b)
        return found

    def look(self) -> None:
        """Streams that a cut held may go on."""
        for each in list(self.streams):
            each.go_on()
        self.reactor.callLater(LOOK, self.look)

    def tell(self) -> None:
        """StreamDialer a second what passed, by speaker."""
        self.recorder.note(what="passed", **self.figures, **self.counts)
        self.recorder.flush()
        self.reactor.callLater(1.0, self.tell)

    # Packets.

    def packet(self, a: int, b: int, data: bytes) -> None:
        self.figures["packets"][a] += 1
        self.figures["octets"][a] += len(data)
        copies = self.link(a, b).draw_copies(self.chance)
        self.counts["lost"] += not copies
        self.counts["twice"] += len(copies) > 1
        for after in copies:
            if not after:
                self.addresses[a].say(b, data)
            elif self.waiting >= MOST_LATE_PACKETS:
                self.counts["overfull"] += 1
            else:
                self.waiting += 1
                self.counts["late"] += 1
                self.reactor.callLater(after, self.late, a, b, data)

    def late(self, a: int, b: int, data: bytes) -> None:
        self.waiting -= 1
        self.addresses[a].say(b, data)


class RelayedAddress(DatagramProtocol):
    """A gateway's address outside: hears what others say to it, and says what it says."""

    def __init__(self, relay: NetworkRelay, number: int) -> None:
        self.relay, self.number = relay, number

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        who = speaker(addr[0])
        if who is None or who >= self.relay.count or who == self.number:
            self.relay.counts["strangers"] += 1
            return
        self.relay.packet(who, self.number, data)

    def say(self, to: int, data: bytes) -> None:
        try:
            self.transport.write(data, (inside(to), self.relay.port))
        except OSError:
            self.relay.counts["lost"] += 1


class RelayedStream:
    """One connection from gateway a to gateway b: two halves and what lies between them."""

    def __init__(self, relay: NetworkRelay, a: int, b: int, near: StreamEnd) -> None:
        self.relay, self.a, self.b = relay, a, b
        self.near, self.far = near, StreamEnd()
        near.begin(self, self.far, a, b)
        relay.streams.add(self)
        relay.counts["streams"] += 1
        factory = Factory.forProtocol(lambda: self.far)
        factory.noisy = False
        self.far.begin(self, near, b, a)
        endpoint = relay.reactor.connectTCP(
            inside(b),
            relay.port,
            StreamDialer(self.far, self.abort),
            timeout=DIAL,
            bindAddress=(outside(a), 0),
        )
        self.connector = endpoint

    def go_on(self) -> None:
        self.near.go_on()
        self.far.go_on()

    def abort(self) -> None:
        """Both ends reset."""
        self.relay.streams.discard(self)
        self.connector.disconnect()
        for half in (self.near, self.far):
            if half.transport is not None:
                half.transport.abortConnection()


class StreamEnd(Protocol):
    """One end of a stream: what `me` said waits here until it may reach `other`."""

    stream: RelayedStream | None = None
    open = over = False

    def begin(self, stream: RelayedStream, other: StreamEnd, me: int, to: int) -> None:
        self.stream, self.other, self.me, self.to = stream, other, me, to
        self.held: deque[tuple[float, bytes]] = deque()
        self.size, self.last, self.ended = 0, 0.0, False

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)
        if self.stream is not None:
            self.stream.go_on()

    def dataReceived(self, data: bytes) -> None:
        relay = self.stream.relay
        relay.figures["stream_octets"][self.me] += len(data)
        now = time.monotonic()
        due = now + relay.link(self.me, self.to).draw_piece(relay.chance)
        self.last = max(self.last, due)
        self.held.append((self.last, data))
        self.size += len(data)
        if self.size > MOST_LATE_BYTES:
            self.transport.pauseProducing()
        self.go_on()

    def go_on(self) -> None:
        """Hand over what is due, where the way is open and the other end is there."""
        now, relay = time.monotonic(), self.stream.relay
        if not self.other.open or relay.link(self.me, self.to).cut:
            return
        while self.held and self.held[0][0] <= now:
            data = self.held.popleft()[1]
            self.size -= len(data)
            self.other.transport.write(data)
        if self.ended and not self.held:
            self.other.transport.loseConnection()
        elif self.open and self.size <= MOST_LATE_BYTES // 2:
            self.transport.resumeProducing()
        if self.held and self.held[0][0] - now < LOOK:
            relay.reactor.callLater(self.held[0][0] - now, self.go_on)

    def connectionLost(self, reason: Any = None) -> None:
        """The end of what this side says; the other hears of it after all that was said."""
        self.over, self.ended = True, True
        if self.open:
            self.open = False
            self.go_on()
        if self.other.over:
            self.stream.relay.streams.discard(self.stream)


class StreamDialer(Factory):
    """Gives out one protocol; where the dial fails the stream ends."""

    noisy = False

    def __init__(self, half: StreamEnd, failed: Any) -> None:
        self.half, self.failed = half, failed

    def startedConnecting(self, connector: Any) -> None:
        pass

    def buildProtocol(self, addr: Any) -> StreamEnd:
        return self.half

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.failed()

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        pass


class RelayListener(Factory):
    """Takes connections to a gateway's address outside."""

    noisy = False

    def __init__(self, relay: NetworkRelay, number: int) -> None:
        self.relay, self.number = relay, number

    def buildProtocol(self, addr: Any) -> StreamEnd | None:
        who = speaker(addr.host)
        if (
            who is None
            or who >= self.relay.count
            or who == self.number
            or len(self.relay.streams) >= MOST_STREAMS
        ):
            self.relay.counts["strangers"] += 1
            return None
        half = StreamEnd()
        RelayedStream(self.relay, who, self.number, half)
        return half


class ControlConnection(LineOnlyReceiver):
    """One order a line, as JSON with a Trouble's fields, or `{"what": "heal"}`, `{"what": "counts"}`; answered by a line."""

    delimiter = b"\n"
    MAX_LENGTH = 4096

    def __init__(self, relay: NetworkRelay) -> None:
        self.relay = relay

    def lineReceived(self, line: bytes) -> None:
        try:
            answer = self.order(json.loads(line))
        except (ValueError, TypeError, KeyError) as error:
            answer = {"error": " ".join(str(error).split())[:200]}
        self.sendLine(json.dumps(answer).encode())

    def order(self, told: dict[str, Any]) -> dict[str, Any]:
        what = told["what"]
        if what == "heal":
            self.relay.heal()
        elif what in NETWORK_FAULTS:
            given = {
                "part": 0.2,
                "for_s": 5.0,
                "size": 0.0,
                "extra": 0.0,
                "on": (),
                **told,
                "at_s": 0.0,
            }
            trouble = SimpleNamespace(**given, HasField=lambda field: field in told)
            self.relay.begin(
                network_fault(
                    trouble, time.monotonic(), self.relay.count, self.relay.chance
                )
            )
        elif what != "counts":
            raise ValueError(
                f"{what!r} is not heal, counts, {', '.join(NETWORK_FAULTS)}"
            )
        return {
            "faults": [each.kind for each in self.relay.faults],
            **self.relay.counts,
        }


def control_listener(relay: NetworkRelay) -> Factory:
    """Takes control lines."""
    made = Factory.forProtocol(lambda: ControlConnection(relay))
    made.noisy = False
    return made
