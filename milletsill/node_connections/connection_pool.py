"""The pool of all connections to one storage node.

Every attempt that is passed to `NodeConnectionPool.send_attempt` ends exactly once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from milletsill.gateway.stream_transport import StreamEndpoint
from milletsill.interface import AttemptOutcome
from milletsill.node_connections.attempt_exchange import (
    OnExchangeEnded,
    PooledExchange,
    SendCheck,
    ignore_end,
)
from milletsill.node_connections.connection_state import (
    ConnectionEvent,
    ConnectionState,
    Route,
    choose_route,
    timeout_event,
)
from milletsill.node_connections.node_connection import NodeConnection
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.sftp.extensions import NodeRequest

# Called for each attempt that ended, and with None for packets of no attempt. The
# arguments are the request, the outcome, the octets sent and received, the duration.
FlowMeter = Callable[[NodeRequest | None, str, int, int, int], None]
# How often a pool checks its connections within its shortest timeout.
CHECKS_PER_TIMEOUT = 4
MIN_CHECK_INTERVAL = 0.001  # seconds


class NodeConnectionPool:
    """Sends attempts to one node. `log` writes one line to the log."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        config: PoolConfig,
        log: Callable[[str], None],
        endpoint: StreamEndpoint | None = None,
        flow_meter: FlowMeter | None = None,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.config = config
        self.address = config.address
        self.limits = config.limits
        self.log = log
        self.flow_meter = flow_meter
        host, _, port = config.address.rpartition(":")
        self.endpoint: StreamEndpoint = endpoint or TCP4ClientEndpoint(
            reactor, host, int(port), timeout=self.limits.dial_timeout / 10_000
        )
        self.connections: list[NodeConnection] = []
        self.waiting: list[PooledExchange] = []
        self.check_call: Any = None
        self.closed = False
        self.unavailable = False

    def set_unavailable(self, unavailable: bool) -> None:
        """Set whether the node drains or has left; no attempt begins at such a node.

        Attempts that wait for a connection end at once as withdrawn, so that the
        scheduler sends them to another node. Otherwise an attempt could begin when a
        handshake completes, long after the endpoint list ruled the node out (rule 3).
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
        self,
        request: NodeRequest,
        on_ended: OnExchangeEnded,
        send_check: SendCheck | None = None,
    ) -> PooledExchange:
        """Send an attempt within the limits; `on_ended` is called at its end.

        If the attempt had to wait, `send_check` decides again before it is sent.
        """
        exchange = PooledExchange(self, request, on_ended, self.now(), send_check)
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
        self._schedule_check()
        return exchange

    def withdraw(
        self,
        exchange: PooledExchange,
        outcome: AttemptOutcome = AttemptOutcome.CANCELLED,
    ) -> None:
        """Stop waiting for an attempt; its end is not reported."""
        self.meter_end(exchange, outcome)
        exchange.is_over = True
        exchange.on_ended = ignore_end
        if exchange.connection is not None:
            exchange.connection.withdraw(exchange)
        elif exchange in self.waiting:
            self.waiting.remove(exchange)

    def close(self) -> None:
        """Close idle connections now and busy ones once they are idle.

        This is called when the node has left the endpoint list.
        """
        self.closed = True
        self.set_unavailable(True)
        for connection in list(self.connections):
            if not connection.in_flight:
                connection.on_event(ConnectionEvent.RETIRED)

    def abort(self) -> None:
        """Abort all connections, at the end of the process."""
        self.closed = True
        if self.check_call is not None:
            self.check_call.cancel()
            self.check_call = None
        for connection in list(self.connections):
            connection.on_event(ConnectionEvent.MALFORMED)

    # Called by the connections.

    def meter(
        self,
        request: NodeRequest | None,
        outcome: str,
        octets_sent: int,
        octets_received: int,
        duration: int,
    ) -> None:
        """Report an exchange to flow export, if it is enabled."""
        if self.flow_meter is None:
            return
        if request is not None or octets_sent or octets_received:
            self.flow_meter(request, outcome, octets_sent, octets_received, duration)

    def meter_end(
        self,
        exchange: PooledExchange,
        outcome: AttemptOutcome,
        octets_received: int = 0,
    ) -> None:
        """Report the end of an attempt to flow export, once."""
        if exchange.is_over:
            return
        duration = self.now() - exchange.started_at
        self.meter(
            exchange.request,
            outcome.value,
            exchange.octets_sent,
            octets_received,
            duration,
        )

    def serve_waiting(self) -> None:
        """Send waiting attempts on connections that have free capacity."""
        while self.waiting:
            loads = [each.load for each in self.connections]
            route, index = choose_route(loads, 0, self.limits)
            if route is not Route.USE:
                return
            exchange = self.waiting.pop(0)
            if exchange.is_over:
                continue
            if exchange.send_check is not None and not exchange.send_check.may_send():
                self._end_unreachable(exchange)
            else:
                self.connections[index].send_attempt(exchange)

    def on_connection_ended(self, connection: NodeConnection) -> None:
        """Remove a connection that has ended.

        If no other connection is open, all waiting attempts end as unreachable.
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

    # Dialling and timeouts.

    def _end_unreachable(self, exchange: PooledExchange) -> None:
        """End an attempt that was never sent, in a later reactor turn."""
        self.meter_end(exchange, AttemptOutcome.UNREACHABLE)
        self.reactor.callLater(0, exchange.end, AttemptOutcome.UNREACHABLE)

    def _dial(self) -> None:
        connection = NodeConnection(self)
        self.connections.append(connection)
        factory = Factory.forProtocol(lambda: connection)
        factory.noisy = False
        connecting = self.endpoint.connect(factory)
        connecting.addErrback(lambda failure: self._on_dial_failed(connection))

    def _on_dial_failed(self, connection: NodeConnection) -> None:
        connection.load.state = ConnectionState.CLOSED
        self.on_connection_ended(connection)

    def _schedule_check(self) -> None:
        """Schedule the next check, unless no connection or attempt is left."""
        if self.check_call is not None or not (self.connections or self.waiting):
            return
        limits = self.limits
        shortest = (
            min(limits.silence_timeout, limits.dial_timeout, limits.idle_timeout)
            / 10_000
        )
        interval = max(shortest / CHECKS_PER_TIMEOUT, MIN_CHECK_INTERVAL)
        self.check_call = self.reactor.callLater(interval, self._check)

    def _check(self) -> None:
        self.check_call = None
        now = self.now()
        for connection in list(self.connections):
            event = self._timeout_event(connection, now)
            if event is not None:
                connection.on_event(event)
        dial_timeout = self.limits.dial_timeout
        late = [each for each in self.waiting if now - each.started_at >= dial_timeout]
        for exchange in late:
            self.waiting.remove(exchange)
            self.meter_end(exchange, AttemptOutcome.UNREACHABLE)
            exchange.end(AttemptOutcome.UNREACHABLE)
        self._schedule_check()

    def _timeout_event(
        self, connection: NodeConnection, now: int
    ) -> ConnectionEvent | None:
        if self.closed and not connection.in_flight:
            return ConnectionEvent.RETIRED
        return timeout_event(
            connection.load.state,
            len(connection.in_flight) + connection.unanswered_pings,
            now - connection.last_received_at,
            now - connection.created_at,
            self.limits,
        )
