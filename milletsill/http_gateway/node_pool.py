"""The connections to one storage node; the most recently used one is reused first."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.gateway.reactor_turn import NextReactorTurn
from milletsill.http_gateway.endpoints import NodeEndpoint
from milletsill.http_gateway.input_work import InputWork
from milletsill.http_gateway.node_connection import HttpNodeConnection
from milletsill.http_gateway.node_exchange import HttpExchange
from milletsill.http_gateway.request_parser import ForwardedPayload
from milletsill.http_gateway.resource_limits import BufferBudget
from milletsill.interface import AttemptOutcome, Readiness
from milletsill.named_timers import ReactorTimers

MAX_CONNECTIONS = 128  # to one node
MAX_WAITING = 128  # attempts that wait for a connection to one node


def is_too_late(waited: int, connect_timeout: int, left: int) -> bool:
    """Whether an attempt has waited too long for a connection to begin.

    Limits, slow-start windows and retry windows may have changed since the scheduler
    started the attempt. An attempt that the node would still have served is retried
    later.
    """
    return waited >= connect_timeout or left <= 0


class PoolOwner(Protocol):
    """The owner of all pools, with the descriptors and memory that they share."""

    reactor: ReactorTimers
    buffers: BufferBudget
    input_work: InputWork
    count: Callable[..., None]
    now: Callable[[], int]
    connect_timeout: int
    reuse_delay: int
    open_connections: int
    abort_in_progress: bool

    def connect(
        self,
        address: tuple[str, int],
        connection: HttpNodeConnection,
        failed: Callable[[], None],
        /,
    ) -> None:
        """Open a connection; `failed` is called if that fails."""

    def make_room(self) -> bool:
        """Whether one more connection may be opened."""

    def on_descriptor_freed(self) -> None:
        """Handle the release of a connection's descriptor."""

    def on_connection_aborted(self) -> None:
        """Handle the abort of a connection that carried an attempt."""


class HttpNodePool:
    """Sends attempts to one node.

    Attributes:
        number, name: the node's number and name.
        address: the node's current address in the endpoint list.
        retired: whether the node drains or is gone, so that no attempt begins.
        idle: idle connections, the most recently used last. They rest for
            `reuse_delay` before they carry another attempt.
        waiting: attempts that wait for a connection, in order.
        dials: number of connections that are being opened.
    """

    def __init__(self, owner: PoolOwner, number: int) -> None:
        self.owner = owner
        self.buffers = owner.buffers
        self.input_work = owner.input_work
        self.count = owner.count
        self.now = owner.now
        self.number = number
        self.address = ("", 0)
        self.host_field = b""
        self.name = ""
        self.retired = False
        self.turn = NextReactorTurn(owner.reactor, owner.now, self.serve_waiting)
        self.connections: set[HttpNodeConnection] = set()
        self.idle: list[HttpNodeConnection] = []
        self.waiting: deque[HttpExchange] = deque()
        self.dials = 0
        self.rest_call_scheduled = False

    def update(self, node: NodeEndpoint) -> None:
        """Apply the node's entry in the endpoint list."""
        self.name = node.name
        address = (node.host, node.port)
        if node.host and address != self.address:
            self.address = address
            self.host_field = f"{node.host}:{node.port}".encode()
            self.close_idle()
        self.retired = node.endpoint.readiness is not Readiness.READY
        if self.retired:
            self.retire()

    def retire(self) -> None:
        """Begin no more attempts: the node drains or is gone."""
        self.retired = True
        self.close_idle()
        waiting = self.waiting
        self.waiting = deque()
        for exchange in waiting:
            exchange.end(AttemptOutcome.WITHDRAWN)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.close()

    def send_attempt(
        self, payload: ForwardedPayload, deadline: int, ended: AttemptEnded
    ) -> HttpExchange | None:
        """Send an attempt on an idle connection, or queue it until there is one.

        Returns None if the node is retired or too many attempts wait.
        """
        if self.retired or len(self.waiting) >= MAX_WAITING:
            return None
        exchange = HttpExchange(self, payload, deadline, ended, self.now())
        if not self.waiting and not self.owner.abort_in_progress:
            connection = self._take_idle(self.now())
            if connection is not None:
                connection.start(exchange)
                return exchange
        self.waiting.append(exchange)
        self.dial()
        if self.idle:
            self.serve_soon()
        return exchange

    # Called by connections and exchanges.

    def resubmit(self, exchange: HttpExchange) -> None:
        """Queue an attempt that never ran first; it begins unless it is too late."""
        self.waiting.appendleft(exchange)
        self.serve_soon()

    def withdraw_waiting(self, exchange: HttpExchange) -> None:
        """Remove an exchange that waits for a connection."""
        if exchange in self.waiting:
            self.waiting.remove(exchange)

    def on_connection_aborted(self) -> None:
        """Handle the abort of a connection that carried an attempt."""
        self.owner.on_connection_aborted()

    def on_connected(self, connection: HttpNodeConnection) -> None:
        """Add an established connection."""
        self.dials -= 1
        self.connections.add(connection)
        self.on_idle(connection)

    def on_idle(self, connection: HttpNodeConnection) -> None:
        """Keep an idle connection, unless it leads to a previous address."""
        if self.retired or connection.address != self.address:
            connection.close()
        else:
            connection.idle_since = self.now()
            self.idle.append(connection)
        self.serve_soon()

    def on_lost(self, connection: HttpNodeConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.owner.open_connections -= 1
        self.owner.on_descriptor_freed()

    # Dialling and waiting.

    def dial(self) -> None:
        """Open connections for waiting attempts, as far as descriptors allow."""
        while (
            self.dials + len(self.idle) < len(self.waiting)
            and self.dials + len(self.connections) < MAX_CONNECTIONS
            and self.owner.make_room()
        ):
            self.dials += 1
            self.owner.open_connections += 1
            self.count("dial", "")
            failed = partial(self._on_dial_failed, self.address)
            self.owner.connect(self.address, HttpNodeConnection(self), failed)

    def _on_dial_failed(self, address: tuple[str, int]) -> None:
        """End the longest waiting attempt, unless the node's address has changed."""
        self.dials -= 1
        self.owner.open_connections -= 1
        self.count("dial failed", "")
        if self.waiting and address == self.address:
            self.waiting.popleft().end(AttemptOutcome.UNREACHABLE)
        self.serve_soon()
        self.owner.on_descriptor_freed()

    def serve_soon(self) -> None:
        """Serve waiting attempts in the next turn, after all sockets were read.

        Otherwise an attempt could begin although its client or its node closed the
        connection in the same turn.
        """
        if self.waiting:
            self.turn.schedule()

    def serve_waiting(self) -> None:
        """Begin waiting attempts; this is the only place that does so."""
        now = self.now()
        while self.waiting:
            if self._too_late(self.waiting[0], now):
                self.count("kept from", "")
                self.waiting.popleft().end(AttemptOutcome.UNREACHABLE)
                continue
            connection = self._take_idle(now)
            if connection is None:
                break
            connection.start(self.waiting.popleft())
        self.dial()
        self._serve_after_rest(now)

    def _take_idle(self, now: int) -> HttpNodeConnection | None:
        """Remove the connection that was used last among those that have rested."""
        for index in range(len(self.idle) - 1, -1, -1):
            if self._rest_of(self.idle[index], now) <= 0:
                return self.idle.pop(index)
        return None

    def _rest_of(self, connection: HttpNodeConnection, now: int) -> int:
        """Return how long a connection still has to rest."""
        if not connection.uses:
            return 0
        return connection.idle_since + self.owner.reuse_delay - now

    def _serve_after_rest(self, now: int) -> None:
        """Serve the waiting attempts once the next connection has rested."""
        if not (self.waiting and self.idle) or self.rest_call_scheduled:
            return
        self.rest_call_scheduled = True
        rest = min(self._rest_of(each, now) for each in self.idle)
        self.owner.reactor.callLater(max(rest, 0) / 10_000, self._on_rested)

    def _on_rested(self) -> None:
        self.rest_call_scheduled = False
        self.serve_soon()

    def _too_late(self, exchange: HttpExchange, now: int) -> bool:
        waited = now - exchange.started_at
        left = exchange.deadline - now
        return is_too_late(waited, self.owner.connect_timeout, left)

    def check(self, now: int, idle_timeout: int) -> None:
        """End attempts that waited too long, and close long-idle connections."""
        while self.waiting and self._too_late(self.waiting[0], now):
            self.waiting.popleft().end(AttemptOutcome.UNREACHABLE)
        while self.idle and now - self.idle[0].idle_since >= idle_timeout:
            self.idle[0].close()

    @property
    def finished(self) -> bool:
        """Whether the node is retired and the pool is empty."""
        return self.retired and not (self.connections or self.waiting or self.dials)
