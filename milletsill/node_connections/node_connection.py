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
    """The pool of a connection."""

    config: PoolConfig

    def now(self) -> int:
        """Return the time in tenths of a millisecond."""

    def log(self, text: str, /) -> None:
        """Take a line for the log."""

    def serve_waiting(self) -> None:
        """Hand waiting attempts to connections that take more."""

    def on_connection_ended(self, connection: NodeConnection, /) -> None:
        """Forget a connection."""

    def meter(
        self,
        order: NodeRequest | None,
        outcome: str,
        octets_sent: int,
        octets_received: int,
        duration: int,
        /,
    ) -> None:
        """Tell flow export of packets."""

    def meter_end(
        self, exchange: PooledExchange, outcome: AttemptOutcome, octets: int = 0, /
    ) -> None:
        """Tell flow export how an attempt ended, once."""


class NodeConnection(Protocol):
    """Carries many attempts at once, each under the id of its packet.

    Attributes:
        load: its state, and what is in flight, as the pool sees it.
        in_flight: exchanges without an end, by packet id.
        owed_pings: pings and greetings that the node has not answered.
        created_at: when it was dialled.
        last_received_at: when octets last came, or the node began to owe an answer.
    """

    transport: StreamTransport  # type: ignore[assignment]

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.load = ConnectionLoad(ConnectionState.DIALING)
        self.deframer = PacketSplitter(pool.config.max_packet)
        self.in_flight: dict[int, PooledExchange] = {}
        self.last_packet_id = 0
        self.owed_pings = 0
        self.created_at = pool.now()
        self.last_received_at = self.created_at

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Begin the handshake."""
        if self.load.state is ConnectionState.CLOSED:  # given up while it was dialled
            self.transport.abortConnection()
            return
        self.transport.registerProducer(self, True)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.on_event(ConnectionEvent.CONNECTED)

    def dataReceived(self, data: bytes) -> None:
        """Read packets; malformed octets end the connection."""
        self.last_received_at = self.pool.now()
        self.deframer.feed(data)
        try:
            while (body := self.deframer.next()) is not None:
                self._on_packet(packet_codec.decode(body), len(body) + 4)
        except MalformedInputError as error:
            self.pool.log(f"broken bytes from the box: {error.describe()}")
            self.on_event(ConnectionEvent.MALFORMED)
            return
        self.on_event(ConnectionEvent.RECEIVED)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End what was in flight: it may have run."""
        self.on_event(ConnectionEvent.LOST)
        self._reset_in_flight()

    def pauseProducing(self) -> None:
        """Take no more attempts: the node does not take octets."""
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
        """Read the table and act."""
        self.load.state, effect = next_state(self.load.state, event)
        if effect is ConnectionEffect.SEND_INIT:
            self._send_control(packets.Init(packets.VERSION_SPOKEN))
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
        if not self.in_flight and not self.owed_pings:
            self.last_received_at = now
        exchange.connection = self
        exchange.packet_id = packet_id
        self.in_flight[packet_id] = exchange
        self.load.in_flight = len(self.in_flight)
        # The time left to the client was set when the attempt was decided on.
        waited = (now - exchange.started_at) // 10
        order = replace(exchange.order, left=max(exchange.order.left - waited, 1))
        exchange.octets_sent = self._send(
            extensions.encode_node_request(packet_id, order)
        )

    def withdraw(self, exchange: PooledExchange) -> None:
        """Tell the node that nobody waits any more; a later answer is dropped."""
        if self.in_flight.pop(exchange.packet_id, None) is None:
            return
        self.load.in_flight = len(self.in_flight)
        order = exchange.order
        packet_id = self._next_packet_id()
        self._send_control(
            extensions.encode_cancel(packet_id, order.transfer, order.number)
        )

    # Packets.

    def _next_packet_id(self) -> int:
        self.last_packet_id += 1
        return self.last_packet_id

    def _send_hello(self) -> None:
        packet_id = self._next_packet_id()
        self.owed_pings += 1
        config = self.pool.config
        self._send_control(
            extensions.encode_hello(packet_id, config.gateway, config.incarnation)
        )

    def _send_ping(self) -> None:
        packet_id = self._next_packet_id()
        self.owed_pings += 1
        self.last_received_at = self.pool.now()
        self._send_control(packets.Extended(packet_id, extensions.BEAT))

    def _on_packet(self, packet: packets.Packet, octets: int) -> None:
        exchange = None
        if isinstance(packet, packets.ExtendedReply):
            exchange = self.in_flight.get(packet.id)
        if exchange is None:  # a greeting, a ping, or the answer to a withdrawn attempt
            self.pool.meter(None, "", 0, octets, 0)
        if isinstance(packet, packets.Version):
            self.on_event(ConnectionEvent.VERSION)
            return
        if isinstance(packet, packets.Status):
            self.owed_pings = max(self.owed_pings - 1, 0)
            return
        if not isinstance(packet, packets.ExtendedReply):
            name = type(packet).__name__
            raise MalformedPacketError(f"{name} where a verdict was due")
        verdict = extensions.decode_node_reply(packet)
        served = OUTCOMES[verdict.verdict] is AttemptOutcome.SUCCEEDED
        if served and verdict.answer is None:
            raise MalformedPacketError("a verdict without the answer it speaks of")
        if exchange is not None:
            self._on_verdict(exchange, verdict, octets)

    def _on_verdict(
        self, exchange: PooledExchange, verdict: NodeReply, octets: int
    ) -> None:
        del self.in_flight[exchange.packet_id]
        self.load.in_flight = len(self.in_flight)
        outcome = OUTCOMES[verdict.verdict]
        self.pool.meter_end(exchange, outcome, octets)
        exchange.end(outcome, verdict)

    def _reset_in_flight(self) -> None:
        """What is in flight on a connection that ended may have run."""
        exchanges = list(self.in_flight.values())
        self.in_flight = {}
        self.load.in_flight = 0
        self.pool.on_connection_ended(self)
        for exchange in exchanges:
            self.pool.meter_end(exchange, AttemptOutcome.RESET)
            exchange.end(AttemptOutcome.RESET)

    def _send(self, packet: packets.Packet) -> int:
        """Send a packet and return its octets."""
        if self.transport is None:
            return 0
        data = packet_codec.encode(packet)
        self.transport.write(data)
        return len(data)

    def _send_control(self, packet: packets.Packet) -> None:
        """Send a packet that is no attempt."""
        self.pool.meter(None, "", self._send(packet), 0, 0)
