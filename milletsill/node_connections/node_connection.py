"""One connection to a storage node, as a Twisted protocol."""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol as TypingProtocol

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from milletsill.errors import MalformedInputError
from milletsill.gateway.stream_transport import StreamTransport
from milletsill.interface import AttemptOutcome
from milletsill.node_connections.attempt_exchange import PooledExchange
from milletsill.node_connections.connection_state import (
    ConnectionEffect,
    ConnectionEvent,
    ConnectionLoad,
    ConnectionState,
    next_state,
)
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import NodeReply, NodeReplyStatus, NodeRequest
from milletsill.sftp.framing import PacketSplitter
from milletsill.sftp.wire import MalformedPacketError

OUTCOMES: dict[int, AttemptOutcome] = {
    NodeReplyStatus.DONE: AttemptOutcome.SUCCEEDED,
    NodeReplyStatus.ELSEWHERE: AttemptOutcome.SUCCEEDED,
    NodeReplyStatus.FULL: AttemptOutcome.REJECTED,
    NodeReplyStatus.DRAINING: AttemptOutcome.REJECTED,
    NodeReplyStatus.ERROR: AttemptOutcome.ERROR,
}


class ConnectionOwner(TypingProtocol):
    """The pool of a connection, as the connection uses it."""

    config: PoolConfig

    def now(self) -> int:
        """Return the time in tenths of a millisecond."""

    def log(self, text: str, /) -> None:
        """Write one line to the log."""

    def serve_waiting(self) -> None:
        """Send waiting attempts on connections that have free capacity."""

    def on_connection_ended(self, connection: NodeConnection, /) -> None:
        """Remove a connection that has ended."""

    def meter(
        self,
        request: NodeRequest | None,
        outcome: str,
        octets_sent: int,
        octets_received: int,
        duration: int,
        /,
    ) -> None:
        """Report an exchange to flow export."""

    def meter_end(
        self, exchange: PooledExchange, outcome: AttemptOutcome, octets: int = 0, /
    ) -> None:
        """Report the end of an attempt to flow export, once."""


class NodeConnection(Protocol):
    """Carries many attempts at once, each under its own packet id.

    Attributes:
        load: the connection's state and load, which the pool reads.
        in_flight: exchanges that have not ended, by packet id.
        unanswered_pings: count of pings and hellos that the node has not answered.
        created_at: time at which dialling began.
        last_received_at: time at which octets last arrived or an answer became
            outstanding, whichever is later.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.load = ConnectionLoad(ConnectionState.DIALING)
        self.splitter = PacketSplitter(pool.config.max_packet)
        self.in_flight: dict[int, PooledExchange] = {}
        self.last_packet_id = 0
        self.unanswered_pings = 0
        self.created_at = pool.now()
        self.last_received_at = self.created_at

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Begin the handshake."""
        if self.load.state is ConnectionState.CLOSED:  # closed while dialling
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.on_event(ConnectionEvent.CONNECTED)

    def dataReceived(self, data: bytes) -> None:
        """Read packets; a malformed packet ends the connection."""
        self.last_received_at = self.pool.now()
        self.splitter.feed(data)
        try:
            while (body := self.splitter.next()) is not None:
                self._on_packet(packet_codec.decode(body), len(body) + 4)
        except MalformedInputError as error:
            self.pool.log(f"malformed packet from the node: {error.describe()}")
            self.on_event(ConnectionEvent.MALFORMED)
            return
        self.on_event(ConnectionEvent.RECEIVED)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End the attempts in flight as reset, since they may have run."""
        self.on_event(ConnectionEvent.LOST)
        self._reset_in_flight()

    def pauseProducing(self) -> None:
        """Take no more attempts, since the transport's send buffer is full."""
        self.load.blocked = True

    def resumeProducing(self) -> None:
        """Take attempts again."""
        self.load.blocked = False
        self.pool.serve_waiting()

    def stopProducing(self) -> None:
        """Take no more attempts."""
        self.load.blocked = True

    # Called by the pool.

    def on_event(self, event: ConnectionEvent) -> None:
        """Apply the transition of an event and its effect."""
        self.load.state, effect = next_state(self.load.state, event)
        if effect is ConnectionEffect.SEND_INIT:
            self._send_control(packets.Init(packets.PROTOCOL_VERSION))
        elif effect is ConnectionEffect.SERVE_WAITING:
            if event is ConnectionEvent.VERSION:
                self._send_hello()
            self.pool.serve_waiting()
        elif effect is ConnectionEffect.SEND_PING:
            self._send_ping()
        elif effect is ConnectionEffect.CLOSE:
            self.transport.loseConnection()
        elif effect is ConnectionEffect.ABORT:
            if self.transport is not None:
                self.transport.abortConnection()
            self._reset_in_flight()

    def send_attempt(self, exchange: PooledExchange) -> None:
        """Send one attempt on this connection."""
        now = self.pool.now()
        packet_id = self._next_packet_id()
        if not self.in_flight and not self.unanswered_pings:
            self.last_received_at = now
        exchange.connection = self
        exchange.packet_id = packet_id
        self.in_flight[packet_id] = exchange
        self.load.in_flight = len(self.in_flight)
        # The time left was computed before the attempt waited for this connection.
        waited_ms = (now - exchange.started_at) // 10
        request = replace(
            exchange.request,
            time_left_ms=max(exchange.request.time_left_ms - waited_ms, 1),
        )
        exchange.octets_sent = self._send(
            extensions.encode_node_request(packet_id, request)
        )

    def withdraw(self, exchange: PooledExchange) -> None:
        """Cancel an attempt at the node; a later reply is ignored."""
        if self.in_flight.pop(exchange.packet_id, None) is None:
            return
        self.load.in_flight = len(self.in_flight)
        request = exchange.request
        packet_id = self._next_packet_id()
        self._send_control(
            extensions.encode_cancel(
                packet_id, request.request_id, request.attempt_number
            )
        )

    # Packets.

    def _next_packet_id(self) -> int:
        self.last_packet_id += 1
        return self.last_packet_id

    def _send_hello(self) -> None:
        packet_id = self._next_packet_id()
        self.unanswered_pings += 1
        config = self.pool.config
        self._send_control(
            extensions.encode_hello(packet_id, config.gateway, config.incarnation)
        )

    def _send_ping(self) -> None:
        packet_id = self._next_packet_id()
        self.unanswered_pings += 1
        self.last_received_at = self.pool.now()
        self._send_control(packets.Extended(packet_id, extensions.BEAT))

    def _on_packet(self, packet: packets.Packet, octets: int) -> None:
        exchange = None
        if isinstance(packet, packets.ExtendedReply):
            exchange = self.in_flight.get(packet.id)
        if exchange is None:  # answers a hello, a ping or a withdrawn attempt
            self.pool.meter(None, "", 0, octets, 0)
        if isinstance(packet, packets.Version):
            self.on_event(ConnectionEvent.VERSION)
            return
        if isinstance(packet, packets.Status):
            self.unanswered_pings = max(self.unanswered_pings - 1, 0)
            return
        if not isinstance(packet, packets.ExtendedReply):
            name = type(packet).__name__
            raise MalformedPacketError(f"expected a node reply, received {name}")
        reply = extensions.decode_node_reply(packet)
        succeeded = OUTCOMES[reply.status] is AttemptOutcome.SUCCEEDED
        if succeeded and reply.answer is None:
            raise MalformedPacketError("a node reply of success has no answer")
        if exchange is not None:
            self._on_reply(exchange, reply, octets)

    def _on_reply(
        self, exchange: PooledExchange, reply: NodeReply, octets: int
    ) -> None:
        del self.in_flight[exchange.packet_id]
        self.load.in_flight = len(self.in_flight)
        outcome = OUTCOMES[reply.status]
        self.pool.meter_end(exchange, outcome, octets)
        exchange.end(outcome, reply)

    def _reset_in_flight(self) -> None:
        """End all attempts in flight as reset, since they may have run."""
        exchanges = list(self.in_flight.values())
        self.in_flight = {}
        self.load.in_flight = 0
        self.pool.on_connection_ended(self)
        for exchange in exchanges:
            self.pool.meter_end(exchange, AttemptOutcome.RESET)
            exchange.end(AttemptOutcome.RESET)

    def _send(self, packet: packets.Packet) -> int:
        """Send a packet and return its count of octets."""
        if self.transport is None:
            return 0
        data = packet_codec.encode(packet)
        self.transport.write(data)
        return len(data)

    def _send_control(self, packet: packets.Packet) -> None:
        """Send a packet that does not belong to an attempt."""
        self.pool.meter(None, "", self._send(packet), 0, 0)
