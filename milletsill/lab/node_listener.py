"""The listener of a stand-in node: connections of gateways and their packets."""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from milletsill.errors import MalformedInputError
from milletsill.gateway.stream_transport import StreamTransport
from milletsill.lab.node_stand_in import NodeStandIn
from milletsill.lab.record import IN, OUT
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import NodeReply
from milletsill.sftp.framing import PacketSplitter

MAX_PACKET = 64_000_000
"""Greatest length of a packet, in bytes."""


class GatewayConnection(Protocol):
    """A connection of a gateway to a stand-in node."""

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, node: NodeStandIn) -> None:
        self.node = node
        self.splitter = PacketSplitter(MAX_PACKET)
        self.gateway = ""
        self.incarnation = 0
        self.is_open = False
        node.connection_count += 1
        self.number = node.connection_count

    def connectionMade(self) -> None:
        """Accept the connection, or abort it if the node has too many."""
        self.is_open = True
        if len(self.node.connections) >= self.node.kind.most_connections:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.node.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from the node."""
        self.is_open = False
        self.node.connections.discard(self)

    def abort(self) -> None:
        """Abort the connection now, even in the middle of a packet."""
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Handle complete packets; a malformed one aborts the connection."""
        self.splitter.feed(data)
        try:
            while (body := self.splitter.next()) is not None:
                if self.node.recorder is not None:
                    self.node.recorder.put(self.number, IN, body)
                self.on_packet(packet_codec.decode(body))
        except MalformedInputError:
            self.transport.abortConnection()

    def on_packet(self, packet: Any) -> None:
        """Handle one packet from a gateway."""
        node = self.node
        if node.silent:
            return
        if isinstance(packet, packets.Init):
            version = packets.Version(packets.PROTOCOL_VERSION)
            delay = node.kind.handshake_ms / 1000
            node.reactor.callLater(delay, self.send, version)
        elif packet.name == extensions.DISPATCH:
            request = extensions.decode_node_request(packet)
            node.on_attempt(self, packet.id, request)
        elif packet.name == extensions.CANCEL:
            request_number, number = extensions.decode_cancel(packet)
            node.cancel(self.gateway, self.incarnation, request_number, number)
        else:
            if packet.name == extensions.HELLO:
                self.gateway, self.incarnation = extensions.decode_hello(packet)
            self.send(packets.Status(packet.id, packets.OK))

    def answer(self, packet_id: int, reply: NodeReply) -> None:
        """Answer an attempt and add the node's current load report."""
        if self.node.silent:
            return
        self.node.answer_count += 1
        reply_with_load = NodeReply(
            reply.status,
            reply.text,
            self.node.load_report(),
            reply.used,
            reply.elsewhere,
            reply.answer,
        )
        self.send(extensions.encode_node_reply(packet_id, reply_with_load))

    def send(self, packet: packets.Packet) -> None:
        """Send a packet, unless the connection is closed or the node is silent."""
        if not self.is_open or self.node.silent:
            return
        data = packet_codec.encode(packet)
        if self.node.recorder is not None:
            self.node.recorder.put(self.number, OUT, data[4:])
        self.transport.write(data)


class NodeListener(Factory):
    """Accepts the connections of gateways to a stand-in node."""

    noisy = False

    def __init__(self, node: NodeStandIn) -> None:
        self.node = node

    def buildProtocol(self, addr: IAddress | None) -> GatewayConnection:
        """Create the protocol of a new connection."""
        return GatewayConnection(self.node)
