"""A relay process that stands in for the network between gateways, over UDP and TCP.

All gateways communicate through this one process. Gateway n binds 127.0.1.(n+1):PORT
and advertises 127.0.2.(n+1):PORT, where the relay listens. The source IP address of a
packet or connection identifies the sender, and the receiving socket identifies the
receiver. The relay forwards from the sender's advertised address, so that replies also
pass through the relay. The scenario defines the faults and their times at the start;
tests start more faults over a control connection on loopback. `network_faults`
determines the effect of the faults, and this module applies it.

Streams on a cut link are held as on a real network: nothing is reset, and sent data
arrives after the cut ends. Only `reset_network` resets streams. Unlike on a real
network, the relay accepts a new connection at once even if the link is cut.
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
"""Greatest number of delayed packets that are in transit, over all links."""
MAX_STREAMS = 4096
MAX_DATAGRAM = 65_535
STREAM_BACKLOG = 256
MAX_LIFETIME = 3600.0
"""Seconds after which the relay process exits by itself."""
REPORT_INTERVAL = 1.0
"""Seconds between two records of the traffic counts."""


class NetworkRelay:
    """Relays between a scenario's gateways, whose fleet addresses share one port.

    `sent` counts traffic for each sending gateway, `counts` events over all gateways.
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
        self.record_traffic()

    # Faults.

    def plan(self, start: float) -> None:
        """Schedule the faults of a run; `start` is on the monotonic clock."""
        for fault in network_faults(self.scenario, start):
            at(self.reactor, fault.since, self.begin, fault)

    def begin(self, fault: NetworkFault) -> None:
        """Start a fault now and schedule its end; a reset has none."""
        self.record_fault(fault, "begin")
        if fault.kind == "reset_network":
            self.reset(fault)
            return
        self.faults.append(fault)
        self.links.clear()
        at(self.reactor, fault.until, self.end, fault)

    def end(self, fault: NetworkFault) -> None:
        """End a fault if it is still active."""
        if fault in self.faults:
            self.faults.remove(fault)
            self.links.clear()
            self.record_fault(fault, "end")

    def heal(self) -> None:
        """End all faults."""
        for fault in list(self.faults):
            self.end(fault)

    def reset(self, fault: NetworkFault) -> None:
        """Reset every stream from or to a gateway of the fault's set."""
        for stream in list(self.streams):
            if fault.touches(stream.sender, stream.receiver):
                self.counts["reset"] += 1
                stream.abort()

    def record_fault(self, fault: NetworkFault, event: str) -> None:
        """Record the start or the end of a fault."""
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
        """Return the present condition of a link."""
        if not self.faults:
            return CLEAR
        found = self.links.get((sender, receiver))
        if found is None:
            found = link_condition(self.faults, sender, receiver)
            self.links[sender, receiver] = found
        return found

    def record_traffic(self) -> None:
        """Record the traffic counts now, and schedule the next time."""
        self.recorder.note(what="passed", **self.sent, **self.counts)
        self.recorder.flush()
        self.reactor.callLater(REPORT_INTERVAL, self.record_traffic)

    # Streams.

    def resume_streams(self) -> None:
        """Resume streams held by a cut that has ended; repeat periodically."""
        for stream in list(self.streams):
            stream.resume()
        self.reactor.callLater(StreamEnd.RESUME_INTERVAL, self.resume_streams)

    def accept(self, peer: Any, receiver: int) -> StreamEnd | None:
        """Accept a connection to a gateway's address.

        None refuses it: it is from no gateway, or MAX_STREAMS is reached.
        """
        sender = self.sender_of(peer.host, receiver)
        if sender is None or len(self.streams) >= MAX_STREAMS:
            self.counts["strangers"] += 1
            return None
        near = StreamEnd()
        RelayedStream(self, sender, receiver, near)
        return near

    # Packets.

    def sender_of(self, host: str, receiver: int) -> int | None:
        """Return which gateway an address belongs to; None for none or the receiver."""
        sender = gateway_with_address(host)
        if sender is None or sender >= self.gateway_count or sender == receiver:
            return None
        return sender

    def on_packet(self, sender: int, receiver: int, data: bytes) -> None:
        """Forward a packet, subject to the loss, duplication and delay of the link."""
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
        """Forward a packet after its delay."""
        self.delayed_packets -= 1
        self.addresses[sender].send(receiver, data)


class RelayedAddress(DatagramProtocol):
    """The UDP socket at the address that a gateway advertises.

    It receives packets for the gateway and forwards packets that the gateway sends.
    """

    transport: Any  # set by Twisted, whose declared type lacks UDP's methods

    def __init__(self, relay: NetworkRelay, number: int) -> None:
        self.relay = relay
        self.number = number

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a packet for this gateway."""
        sender = self.relay.sender_of(addr[0], self.number)
        if sender is None:
            self.relay.counts["strangers"] += 1
            return
        self.relay.on_packet(sender, self.number, data)

    def send(self, receiver: int, data: bytes) -> None:
        """Forward a packet of this gateway to another."""
        try:
            self.transport.write(data, (own_address(receiver), self.relay.port))
        except OSError:
            self.relay.counts["lost"] += 1
