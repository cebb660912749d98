"""All connections to one storage node.

Every attempt that is handed to `NodeConnectionPool.send_attempt` has exactly one end.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from milletsill.gateway.stream_transport import StreamEndpoint
from milletsill.interface import AttemptOutcome
from milletsill.node_connections.attempt_exchange import (
    ExchangeEnded,
    PooledExchange,
    SendCheck,
    ignore_end,
)
from milletsill.node_connections.connection_state import (
    ConnectionEvent,
    ConnectionState,
    Route,
    choose_route,
    time_event,
)
from milletsill.node_connections.node_connection import NodeConnection
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.sftp.extensions import NodeRequest

# Told of each attempt that ended, and of other packets without an order: order,
# outcome, octets to the node and back, time it took.
Meter = Callable[[NodeRequest | None, str, int, int, int], None]
# How often within the shortest limit the connections of a pool are checked.
CHECKS_PER_LIMIT = 4
MIN_CHECK_INTERVAL = 0.001  # seconds


class NodeConnectionPool:
    """Sends attempts to one node. `log` takes a line for the log."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        config: PoolConfig,
        log: Callable[[str], None],
        endpoint: StreamEndpoint | None = None,
        metered: Meter | None = None,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.config = config
        self.address = config.address
        self.limits = config.limits
        self.log = log
        self.metered = metered
        host, _, port = config.address.rpartition(":")
        self.endpoint: StreamEndpoint = endpoint or TCP4ClientEndpoint(
            reactor, host, int(port), timeout=self.limits.dial / 10_000
        )
        self.connections: list[NodeConnection] = []
        self.waiting: list[PooledExchange] = []
        self.check_call: Any = None
        self.closed = False
        self.unavailable = False

    def set_unavailable(self, unavailable: bool) -> None:
        """Say whether the node drains or is gone: nothing begins here then.

        What waits for a connection ends at once and is placed elsewhere. Otherwise a
        handshake could end, and an attempt begin, long after the list said so (rule 3).
        """
        self.unavailable = unavailable
        if not unavailable:
            return
        waiting = self.waiting
        self.waiting = []
        for exchange in waiting:
            self.meter_end(exchange, AttemptOutcome.WITHDRAWN)
            exchange.end(AttemptOutcome.WITHDRAWN)

    def send_attempt(
        self, order: NodeRequest, ended: ExchangeEnded, gate: SendCheck | None = None
    ) -> PooledExchange:
        """Send an attempt as the limits allow; `ended` hears of its end.

        A `gate` is asked again before the send where the attempt had to wait.
        """
        exchange = PooledExchange(self, order, ended, self.now(), gate)
        loads = [each.load for each in self.connections]
        route, index = choose_route(loads, len(self.waiting), self.limits)
        if self.closed or self.unavailable:
            route = Route.REFUSE
        if route is Route.USE:
            self.connections[index].send_attempt(exchange)
        elif route is Route.REFUSE:
            self._end_unreachable(exchange)
        else:
            self.waiting.append(exchange)
            if route is Route.DIAL:
                self._dial()
        self._check_later()
        return exchange

    def withdraw(
        self,
        exchange: PooledExchange,
        outcome: AttemptOutcome = AttemptOutcome.CANCELLED,
    ) -> None:
        """Stop waiting for an attempt; its end is told to nobody."""
        self.meter_end(exchange, outcome)
        exchange.over = True
        exchange.ended = ignore_end
        if exchange.connection is not None:
            exchange.connection.withdraw(exchange)
        elif exchange in self.waiting:
            self.waiting.remove(exchange)

    def close(self) -> None:
        """Close idle connections now and busy ones once they are idle.

        The node left.
        """
        self.closed = True
        self.set_unavailable(True)
        for connection in list(self.connections):
            if not connection.in_flight:
                connection.on_event(ConnectionEvent.RETIRED)

    def abort(self) -> None:
        """Abort all connections: the process ends."""
        self.closed = True
        if self.check_call is not None:
            self.check_call.cancel()
            self.check_call = None
        for connection in list(self.connections):
            connection.on_event(ConnectionEvent.MALFORMED)

    # Called by the connections.

    def meter(
        self,
        order: NodeRequest | None,
        outcome: str,
        octets_sent: int,
        octets_received: int,
        duration: int,
    ) -> None:
        """Tell flow export, where there is any."""
        if self.metered is None:
            return
        if order is not None or octets_sent or octets_received:
            self.metered(order, outcome, octets_sent, octets_received, duration)

    def meter_end(
        self,
        exchange: PooledExchange,
        outcome: AttemptOutcome,
        octets_received: int = 0,
    ) -> None:
        """Tell flow export how an attempt ended, once."""
        if exchange.over:
            return
        duration = self.now() - exchange.started_at
        self.meter(
            exchange.order,
            outcome.value,
            exchange.octets_sent,
            octets_received,
            duration,
        )

    def serve_waiting(self) -> None:
        """Hand waiting attempts to connections that take more."""
        while self.waiting:
            loads = [each.load for each in self.connections]
            route, index = choose_route(loads, 0, self.limits)
            if route is not Route.USE:
                return
            exchange = self.waiting.pop(0)
            if exchange.over:
                continue
            if exchange.gate is not None and not exchange.gate.may_send():
                self._end_unreachable(exchange)
            else:
                self.connections[index].send_attempt(exchange)

    def on_connection_ended(self, connection: NodeConnection) -> None:
        """Forget a connection.

        With none left to wait for, what waits is unreachable.
        """
        if connection in self.connections:
            self.connections.remove(connection)
        if not self.waiting or any(
            each.load.state is not ConnectionState.CLOSED for each in self.connections
        ):
            return
        waiting = self.waiting
        self.waiting = []
        for exchange in waiting:
            self._end_unreachable(exchange)

    # Dialling and checks.

    def _end_unreachable(self, exchange: PooledExchange) -> None:
        """It was never sent; told later, never from within."""
        self.meter_end(exchange, AttemptOutcome.UNREACHABLE)
        self.reactor.callLater(0, exchange.end, AttemptOutcome.UNREACHABLE)

    def _dial(self) -> None:
        connection = NodeConnection(self)
        self.connections.append(connection)
        factory = Factory.forProtocol(lambda: connection)
        factory.noisy = False
        dialled = self.endpoint.connect(factory)
        dialled.addErrback(lambda failure: self._on_dial_failed(connection))

    def _on_dial_failed(self, connection: NodeConnection) -> None:
        connection.load.state = ConnectionState.CLOSED
        self.on_connection_ended(connection)

    def _check_later(self) -> None:
        """Check all connections in a while, as long as there are any."""
        if self.check_call is not None or not (self.connections or self.waiting):
            return
        limits = self.limits
        shortest = min(limits.silence, limits.dial, limits.idle) / 10_000
        interval = max(shortest / CHECKS_PER_LIMIT, MIN_CHECK_INTERVAL)
        self.check_call = self.reactor.callLater(interval, self._check)

    def _check(self) -> None:
        self.check_call = None
        now = self.now()
        for connection in list(self.connections):
            event = self._event_of(connection, now)
            if event is not None:
                connection.on_event(event)
        limit = self.limits.dial
        late = [each for each in self.waiting if now - each.started_at >= limit]
        for exchange in late:
            self.waiting.remove(exchange)
            self.meter_end(exchange, AttemptOutcome.UNREACHABLE)
            exchange.end(AttemptOutcome.UNREACHABLE)
        self._check_later()

    def _event_of(self, connection: NodeConnection, now: int) -> ConnectionEvent | None:
        if self.closed and not connection.in_flight:
            return ConnectionEvent.RETIRED
        return time_event(
            connection.load.state,
            len(connection.in_flight) + connection.owed_pings,
            now - connection.last_received_at,
            now - connection.created_at,
            self.limits,
        )
