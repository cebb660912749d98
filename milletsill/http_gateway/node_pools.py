"""All connections to storage nodes, within one bound on descriptors."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.http_gateway.connector import SingleConnector
from milletsill.http_gateway.endpoints import NodeEndpoint
from milletsill.http_gateway.node_connection import HttpNodeConnection
from milletsill.http_gateway.node_exchange import HttpExchange
from milletsill.http_gateway.node_pool import HttpNodePool
from milletsill.http_gateway.request_parser import ForwardedPayload
from milletsill.http_gateway.resource_limits import BufferBudget
from milletsill.interface import Readiness

# An idle connection is closed after this part of the time after which the node may
# close it.
IDLE_PART = 0.7
# Where the settings do not say how long a connect and an idle connection last.
DEFAULT_CONNECT_TIMEOUT = 10_000
DEFAULT_IDLE_TIMEOUT = 50_000
SHORTEST_CONNECT_TIMEOUT = 100


@dataclass(frozen=True, slots=True)
class NodePoolsConfig:
    """Bounds of all connections to nodes. Times are tenths of a millisecond.

    Attributes:
        max_connections: descriptors that they may hold.
        connect_timeout: until a connection has to be up, and an attempt has begun.
        idle_timeout: after which a node may close an idle connection.
    """

    max_connections: int
    connect_timeout: int
    idle_timeout: int


class HttpNodePools:
    """Finds the pool of each node, and shares descriptors between them.

    Attributes:
        open_connections: connections that are up or opening.
        short: whether a pool waits for a descriptor.
        cutting: whether a connection was cut under its attempt in this reactor turn.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        config: NodePoolsConfig,
        buffers: BufferBudget,
        count: Callable[..., None],
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.max_connections = config.max_connections
        self.connect_timeout = config.connect_timeout
        self.idle_timeout = int(config.idle_timeout * IDLE_PART)
        self.buffers = buffers
        self.count = count
        self.pools: dict[int, HttpNodePool] = {}
        self.open_connections = 0
        self.short = False
        self.cutting = False

    def update(self, snapshot: bool, nodes: Sequence[NodeEndpoint]) -> None:
        """Follow the endpoint list: a snapshot, or what has changed."""
        for node in nodes:
            number = node.endpoint.node
            if node.endpoint.readiness is Readiness.GONE and number not in self.pools:
                continue
            if number not in self.pools:
                self.pools[number] = HttpNodePool(self, number)
            self.pools[number].update(node)
        if snapshot:
            missing = self.pools.keys() - {node.endpoint.node for node in nodes}
            for number in missing:
                self.pools[number].retire()

    def send_attempt(
        self,
        payload: ForwardedPayload,
        node: int,
        deadline: int,
        ended: AttemptEnded,
    ) -> HttpExchange | None:
        """Start one attempt; None where no connection leads to the node."""
        pool = self.pools.get(node)
        if pool is None or not pool.address[1]:
            return None
        return pool.send_attempt(payload, deadline, ended)

    def check(self) -> None:
        """Do what time brings; nodes that left go with their last connection."""
        now = self.now()
        for pool in list(self.pools.values()):
            pool.check(now, self.idle_timeout)
            if pool.finished:
                del self.pools[pool.number]

    def stop(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            for connection in list(pool.connections):
                connection.close()

    # Called by the pools.

    def connect(
        self,
        address: tuple[str, int],
        connection: HttpNodeConnection,
        failed: Callable[[], None],
    ) -> None:
        """Connect; `failed` is called where that fails."""
        host, port = address
        timeout = max(self.connect_timeout, SHORTEST_CONNECT_TIMEOUT) / 10_000
        connector = SingleConnector(connection, failed)
        self.reactor.connectTCP(host, port, connector, timeout=timeout)

    def on_attempt_cut(self) -> None:
        """Let what begins now wait for a turn: an attempt was given up.

        Where settings allow no hedged request (rule 2): the system closes its
        connection in the next turn, before any octet of that one goes; an attempt that
        began in this turn would be in flight beside it.
        """
        if not self.cutting:
            self.cutting = True
            self.reactor.callLater(0, self._on_cut_done)

    def _on_cut_done(self) -> None:
        self.cutting = False

    def make_room(self) -> bool:
        """Whether one more connection may be opened; the one idle longest makes way."""
        if self.open_connections >= self.max_connections:
            oldest = min(
                (pool.idle[0] for pool in self.pools.values() if pool.idle),
                key=lambda connection: connection.idle_since,
                default=None,
            )
            if oldest is not None:
                oldest.close()
        self.short = self.open_connections >= self.max_connections
        return not self.short

    def on_descriptor_freed(self) -> None:
        """Dial for the pools that wait, but not from within."""
        if self.short:
            self.short = False
            self.reactor.callLater(0, self._dial_waiting)

    def _dial_waiting(self) -> None:
        for pool in self.pools.values():
            if pool.waiting:
                pool.dial()
