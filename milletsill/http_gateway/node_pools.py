"""All connections to storage nodes, within one limit on descriptors."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.http_gateway.connector import SingleConnector
from milletsill.http_gateway.endpoints import NodeEndpoint
from milletsill.http_gateway.input_work import InputWork
from milletsill.http_gateway.node_connection import HttpNodeConnection
from milletsill.http_gateway.node_exchange import HttpExchange
from milletsill.http_gateway.node_pool import HttpNodePool
from milletsill.http_gateway.request_parser import ForwardedPayload
from milletsill.http_gateway.resource_limits import BufferBudget
from milletsill.interface import Readiness

# An idle connection is closed after this fraction of the time after which the node may
# close it.
IDLE_TIMEOUT_FRACTION = 0.7
# Used if the settings state no time-outs. Tenths of a millisecond.
DEFAULT_CONNECT_TIMEOUT = 10_000
DEFAULT_IDLE_TIMEOUT = 50_000
MIN_CONNECT_TIMEOUT = 100
# Time for which a connection rests after a response. A node may send a response twice,
# the second time some milliseconds late. It ends a connection that rests; on one in use
# it would be taken for the response to the next request.
REUSE_DELAY = 100


@dataclass(frozen=True, slots=True)
class NodePoolsConfig:
    """Limits of all connections to nodes. Times are tenths of a millisecond.

    Attributes:
        max_connections: maximum number of connections, and so of descriptors.
        connect_timeout: limit for opening a connection, and for an attempt to begin.
        idle_timeout: time after which a node may close an idle connection.
        reuse_delay: time for which a connection rests after a response.
    """

    max_connections: int
    connect_timeout: int
    idle_timeout: int
    reuse_delay: int = REUSE_DELAY


class HttpNodePools:
    """Maps nodes to their pools, and shares descriptors between the pools.

    Attributes:
        open_connections: connections that are established or being opened.
        waiting_for_descriptor: whether a pool waits for a descriptor.
        abort_in_progress: whether a connection that carried an attempt was aborted in
            this reactor turn.
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
        self.reuse_delay = config.reuse_delay
        self.idle_timeout = int(config.idle_timeout * IDLE_TIMEOUT_FRACTION)
        self.buffers = buffers
        self.input_work = InputWork(reactor)
        self.count = count
        self.pools: dict[int, HttpNodePool] = {}
        self.open_connections = 0
        self.waiting_for_descriptor = False
        self.abort_in_progress = False

    def update(self, snapshot: bool, nodes: Sequence[NodeEndpoint]) -> None:
        """Apply an update of the endpoint list: a snapshot or changes."""
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
        """Start one attempt; None if the node is unknown or accepts no attempt."""
        pool = self.pools.get(node)
        if pool is None or not pool.address[1]:
            return None
        return pool.send_attempt(payload, deadline, ended)

    def check(self) -> None:
        """Check time-outs, and remove retired pools that have no connections."""
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
        """Open a connection; `failed` is called if that fails."""
        host, port = address
        timeout = max(self.connect_timeout, MIN_CONNECT_TIMEOUT) / 10_000
        connector = SingleConnector(connection, failed)
        self.reactor.connectTCP(host, port, connector, timeout=timeout)

    def on_connection_aborted(self) -> None:
        """Delay new attempts by one turn, because an attempt was withdrawn.

        The reactor closes the aborted connection in the next turn. An attempt that
        began in this turn could be in flight at the same time as the withdrawn one,
        which is not allowed where the settings permit no hedged request.
        """
        if not self.abort_in_progress:
            self.abort_in_progress = True
            self.reactor.callLater(0, self._on_abort_done)

    def _on_abort_done(self) -> None:
        self.abort_in_progress = False

    def make_room(self) -> bool:
        """Whether another connection may be opened; may close the longest idle one."""
        if self.open_connections >= self.max_connections:
            oldest = min(
                (pool.idle[0] for pool in self.pools.values() if pool.idle),
                key=lambda connection: connection.idle_since,
                default=None,
            )
            if oldest is not None:
                oldest.close()
        self.waiting_for_descriptor = self.open_connections >= self.max_connections
        return not self.waiting_for_descriptor

    def on_descriptor_freed(self) -> None:
        """Dial for the waiting pools in the next turn, to avoid reentrant calls."""
        if self.waiting_for_descriptor:
            self.waiting_for_descriptor = False
            self.reactor.callLater(0, self._dial_waiting)

    def _dial_waiting(self) -> None:
        for pool in self.pools.values():
            if pool.waiting:
                pool.dial()
