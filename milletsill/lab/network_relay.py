"""The stand-in for the network between gateways, over UDP and TCP.

One process through which all pairs speak. Gateway n has 127.0.1.(n+1):PORT as its own
address and says that it is reached at 127.0.2.(n+1):PORT, where the relay listens. Who
speaks is told by the source's IP address, whom to by the socket it came in on. What is
passed on leaves from the speaker's own relay address, so that an answer to it comes
back through here. What the network does and when is known at the start from the
scenario; a control line on loopback takes more (tests). `network_faults` decides, this
acts.

A link that is cut holds streams as a real one does: nothing is reset, what was sent
comes after the healing. A stream is reset by `reset_network`. Unlike on a real network
a new connection is taken at once even when the link is cut.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from milletsill.lab.moment import at
from milletsill.lab.network_faults import (
    CLEAR,
    LinkCondition,
    NetworkFault,
    link_condition,
    network_faults,
)
from milletsill.lab.record import PacketRecorder
from milletsill.lab.relay_addresses import (
    gateway_with_address,
    own_address,
    relay_address,
)
from milletsill.lab.relayed_stream import RelayedStream, StreamEnd, StreamFactory
from milletsill.settings.milletsill_pb2 import Scenario

MAX_DELAYED_PACKETS = 50_000
"""Packets of all links that are on their way."""
MAX_STREAMS = 4096
MAX_DATAGRAM = 65_535
STREAM_BACKLOG = 256
MAX_LIFETIME = 3600.0
"""Seconds after which the relay ends by itself."""
REPORT_INTERVAL = 1.0
"""Seconds between two notes of what passed."""


class NetworkRelay:
    """The network among a scenario's gateways, whose fleet addresses share a port.

    `sent` counts by the gateway that sent, `counts` over all.
    """

    def __init__(
        self, reactor: Any, scenario: Scenario, port: int, recorder: PacketRecorder
    ) -> None:
        self.reactor = reactor
        self.scenario = scenario
        self.gateway_count = scenario.edges
        self.port = port
        self.recorder = recorder
        self.random = Random(scenario.seed + 4)
        self.faults: list[NetworkFault] = []
        self.links: dict[tuple[int, int], LinkCondition] = {}
        self.streams: set[RelayedStream] = set()
        self.delayed_packets = 0
        self.sent = {
            name: [0] * self.gateway_count
            for name in ("packets", "octets", "stream_octets")
        }
        self.counts = dict.fromkeys(
            ("lost", "twice", "late", "overfull", "strangers", "streams", "reset"), 0
        )
        self.addresses = [
            RelayedAddress(self, number) for number in range(self.gateway_count)
        ]
        for number, address in enumerate(self.addresses):
            host = relay_address(number)
            reactor.listenUDP(port, address, interface=host, maxPacketSize=MAX_DATAGRAM)
            factory = StreamFactory(partial(self.accept, receiver=number))
            reactor.listenTCP(port, factory, interface=host, backlog=STREAM_BACKLOG)
        self.resume_streams()
        self.note_passed()

    # Faults.

    def plan(self, start: float) -> None:
        """Set the faults of a run that starts then, on the monotonic clock."""
        for fault in network_faults(self.scenario, start):
            at(self.reactor, fault.since, self.begin, fault)

    def begin(self, fault: NetworkFault) -> None:
        """Let a fault hold from now on until its end."""
        self.note_fault(fault, "begin")
        if fault.kind == "reset_network":
            self.reset(fault)
            return
        self.faults.append(fault)
        self.links.clear()
        at(self.reactor, fault.until, self.end, fault)

    def end(self, fault: NetworkFault) -> None:
        """Let a fault hold no more, where it still does."""
        if fault in self.faults:
            self.faults.remove(fault)
            self.links.clear()
            self.note_fault(fault, "end")

    def heal(self) -> None:
        """End all faults."""
        for fault in list(self.faults):
            self.end(fault)

    def reset(self, fault: NetworkFault) -> None:
        """Reset every stream that touches the fault's set."""
        for stream in list(self.streams):
            if fault.touches(stream.sender, stream.receiver):
                self.counts["reset"] += 1
                stream.abort()

    def note_fault(self, fault: NetworkFault, event: str) -> None:
        """Record a fault's begin or end."""
        self.recorder.note(
            what=event,
            fault=fault.kind,
            on=sorted(fault.gateways),
            size=fault.size,
            extra=fault.extra,
            planned=fault.since,
            until=fault.until,
        )
        self.recorder.flush()

    def link(self, sender: int, receiver: int) -> LinkCondition:
        """Return how a link fares now."""
        if not self.faults:
            return CLEAR
        found = self.links.get((sender, receiver))
        if found is None:
            found = link_condition(self.faults, sender, receiver)
            self.links[sender, receiver] = found
        return found

    def note_passed(self) -> None:
        """Record what passed, now and from now on."""
        self.recorder.note(what="passed", **self.sent, **self.counts)
        self.recorder.flush()
        self.reactor.callLater(REPORT_INTERVAL, self.note_passed)

    # Streams.

    def resume_streams(self) -> None:
        """Let streams that a cut held go on, now and from now on."""
        for stream in list(self.streams):
            stream.resume()
        self.reactor.callLater(StreamEnd.RESUME_INTERVAL, self.resume_streams)

    def accept(self, peer: Any, receiver: int) -> StreamEnd | None:
        """Take a connection to a gateway's address; None refuses a stranger's."""
        sender = self.sender_of(peer.host, receiver)
        if sender is None or len(self.streams) >= MAX_STREAMS:
            self.counts["strangers"] += 1
            return None
        near = StreamEnd()
        RelayedStream(self, sender, receiver, near)
        return near

    # Packets.

    def sender_of(self, host: str, receiver: int) -> int | None:
        """Return which gateway speaks to another; None for a stranger or itself."""
        sender = gateway_with_address(host)
        if sender is None or sender >= self.gateway_count or sender == receiver:
            return None
        return sender

    def on_packet(self, sender: int, receiver: int, data: bytes) -> None:
        """Pass a packet on as the link has it."""
        self.sent["packets"][sender] += 1
        self.sent["octets"][sender] += len(data)
        copies = self.link(sender, receiver).draw_copies(self.random)
        self.counts["lost"] += not copies
        self.counts["twice"] += len(copies) > 1
        for delay in copies:
            if not delay:
                self.addresses[sender].send(receiver, data)
            elif self.delayed_packets >= MAX_DELAYED_PACKETS:
                self.counts["overfull"] += 1
            else:
                self.delayed_packets += 1
                self.counts["late"] += 1
                self.reactor.callLater(delay, self.send_delayed, sender, receiver, data)

    def send_delayed(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a packet whose delay is over."""
        self.delayed_packets -= 1
        self.addresses[sender].send(receiver, data)


class RelayedAddress(DatagramProtocol):
    """A gateway's address outside.

    It hears what others say to the gateway, and says what the gateway says to others.
    """

    transport: Any  # set by Twisted; its type there lacks what UDP has

    def __init__(self, relay: NetworkRelay, number: int) -> None:
        self.relay = relay
        self.number = number

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a packet to this gateway."""
        sender = self.relay.sender_of(addr[0], self.number)
        if sender is None:
            self.relay.counts["strangers"] += 1
            return
        self.relay.on_packet(sender, self.number, data)

    def send(self, receiver: int, data: bytes) -> None:
        """Send a packet of this gateway to another."""
        try:
            self.transport.write(data, (own_address(receiver), self.relay.port))
        except OSError:
            self.relay.counts["lost"] += 1
