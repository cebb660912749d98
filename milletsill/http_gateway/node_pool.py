"""The connections to one storage node; the one used last is used first."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.gateway.reactor_turn import NextReactorTurn
from milletsill.http_gateway.endpoints import NodeEndpoint
from milletsill.http_gateway.node_connection import HttpNodeConnection
from milletsill.http_gateway.node_exchange import HttpExchange
from milletsill.http_gateway.request_parser import ForwardedPayload
from milletsill.http_gateway.resource_limits import BufferBudget
from milletsill.interface import AttemptOutcome, Readiness
from milletsill.named_timers import ReactorTimers

MAX_CONNECTIONS = 128  # to one node
MAX_WAITING = 128  # attempts that wait for a connection to one node


def is_too_late(waited: int, connect_timeout: int, left: int) -> bool:
    """Whether an attempt that waited for a connection does not begin any more.

    Long after it was decided on, limits, slow-start windows and retry windows may be
    others. One that the node would still have served is retried later.
    """
    return waited >= connect_timeout or left <= 0


class PoolOwner(Protocol):
    """All pools, with the descriptors and the memory that they share."""

    reactor: ReactorTimers
    buffers: BufferBudget
    count: Callable[..., None]
    now: Callable[[], int]
    connect_timeout: int
    open_connections: int
    cutting: bool

    def connect(
        self,
        address: tuple[str, int],
        connection: HttpNodeConnection,
        failed: Callable[[], None],
        /,
    ) -> None:
        """Connect; `failed` is called where that fails."""

    def make_room(self) -> bool:
        """Whether one more connection may be opened."""

    def on_descriptor_freed(self) -> None:
        """A connection is gone."""

    def on_attempt_cut(self) -> None:
        """A connection was cut under its attempt."""


class HttpNodePool:
    """Sends attempts to one node.

    Attributes:
        number, name: of the node.
        address: where the endpoint list has it now.
        retired: whether it drains or is gone: nothing begins here any more.
        idle: connections that are free.
        waiting: attempts that wait for a connection, in order.
        dials: connections that are opening.
    """

    def __init__(self, owner: PoolOwner, number: int) -> None:
        self.owner = owner
        self.buffers = owner.buffers
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

    def update(self, node: NodeEndpoint) -> None:
        """Follow the endpoint list."""
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
        """Begin nothing any more: the node drains or is gone (rule 3)."""
        self.retired = True
        self.close_idle()
        waiting = self.waiting
        self.waiting = deque()
        for exchange in waiting:
            exchange.end(AttemptOutcome.WITHDRAWN)

    def close_idle(self) -> None:
        """Close the connections that are free."""
        for connection in list(self.idle):
            connection.close()

    def send_attempt(
        self, payload: ForwardedPayload, deadline: int, ended: AttemptEnded
    ) -> HttpExchange | None:
        """Send an attempt on a free connection, or once there is one.

        None where the node is retired or too many wait.
        """
        if self.retired or len(self.waiting) >= MAX_WAITING:
            return None
        exchange = HttpExchange(self, payload, deadline, ended, self.now())
        if self.idle and not self.waiting and not self.owner.cutting:
            self.idle.pop().start(exchange)
            return exchange
        self.waiting.append(exchange)
        self.dial()
        if self.idle:
            self.serve_soon()
        return exchange

    # Called by connections and exchanges.

    def resubmit(self, exchange: HttpExchange) -> None:
        """Put an attempt that never ran first; it begins only if it still may."""
        self.waiting.appendleft(exchange)
        self.serve_soon()

    def withdraw_waiting(self, exchange: HttpExchange) -> None:
        """Forget an exchange that waits for a connection."""
        if exchange in self.waiting:
            self.waiting.remove(exchange)

    def on_attempt_cut(self) -> None:
        """A connection was cut under its attempt."""
        self.owner.on_attempt_cut()

    def on_connected(self, connection: HttpNodeConnection) -> None:
        """Take a connection that is up."""
        self.dials -= 1
        self.connections.add(connection)
        self.on_idle(connection)

    def on_idle(self, connection: HttpNodeConnection) -> None:
        """Keep a free connection; one to where the node was is of no use."""
        if self.retired or connection.address != self.address:
            connection.close()
        else:
            connection.idle_since = self.now()
            self.idle.append(connection)
        self.serve_soon()

    def on_lost(self, connection: HttpNodeConnection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.owner.open_connections -= 1
        self.owner.on_descriptor_freed()

    # Dialling and waiting.

    def dial(self) -> None:
        """Open connections for the attempts that wait, as descriptors allow."""
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
        """End the attempt that waited longest, unless the node has moved since."""
        self.dials -= 1
        self.owner.open_connections -= 1
        self.count("dial failed", "")
        if self.waiting and address == self.address:
            self.waiting.popleft().end(AttemptOutcome.UNREACHABLE)
        self.serve_soon()
        self.owner.on_descriptor_freed()

    def serve_soon(self) -> None:
        """Serve the attempts that wait in the next turn, once all sockets were read.

        Otherwise an attempt could begin whose client's close, or whose node's end, came
        in the same turn.
        """
        if self.waiting:
            self.turn.schedule()

    def serve_waiting(self) -> None:
        """Begin attempts that had to wait: the one place where that happens."""
        now = self.now()
        while self.waiting and (self.idle or self._too_late(self.waiting[0], now)):
            exchange = self.waiting.popleft()
            if self._too_late(exchange, now):
                self.count("kept from", "")
                exchange.end(AttemptOutcome.UNREACHABLE)
            else:
                self.idle.pop().start(exchange)
        self.dial()

    def _too_late(self, exchange: HttpExchange, now: int) -> bool:
        waited = now - exchange.started_at
        left = exchange.deadline - now
        return is_too_late(waited, self.owner.connect_timeout, left)

    def check(self, now: int, idle_timeout: int) -> None:
        """End attempts that waited too long and connections that were idle too long."""
        while self.waiting and self._too_late(self.waiting[0], now):
            self.waiting.popleft().end(AttemptOutcome.UNREACHABLE)
        while self.idle and now - self.idle[0].idle_since >= idle_timeout:
            self.idle[0].close()

    @property
    def finished(self) -> bool:
        """Whether the node is gone and nothing of the pool is left."""
        return self.retired and not (self.connections or self.waiting or self.dials)
