"""Connection pools to the nodes in the endpoint list, and the attempts sent on them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.interface import Readiness, Request
from milletsill.node_connections.attempt_exchange import PooledExchange
from milletsill.node_connections.connection_pool import NodeConnectionPool
from milletsill.node_connections.connection_state import PoolLimits
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.registry.registered_node import RegisteredNode
from milletsill.sftp.extensions import NodeRequest
from milletsill.sftp_gateway.command_payload import CommandPayload
from milletsill.sftp_gateway.identifiers import IdentifierSource

TICKS_PER_MILLISECOND = 10


@dataclass(frozen=True, slots=True)
class SftpNodePoolsConfig:
    """The settings and callbacks of the pools.

    Attributes:
        limits: the limits of each pool.
        max_packet: maximum size of a packet from a node, in octets.
        warn: logs a warning.
        meter_node: creates the flow meter of a node from its id and address; None
            without flow export.
    """

    limits: PoolLimits
    max_packet: int
    warn: Callable[..., None]
    meter_node: Callable[[int, str], Callable[..., None]] | None = None


class SftpNodePools:
    """A connection pool for each node in the endpoint list."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        identifiers: IdentifierSource,
        config: SftpNodePoolsConfig,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.identifiers = identifiers
        self.config = config
        self.pools: dict[int, NodeConnectionPool] = {}

    def update(self, nodes: Sequence[RegisteredNode]) -> None:
        """Apply an update of the endpoint list.

        A node with a new address gets a new pool. The pool of a removed node is
        closed.
        """
        for node in nodes:
            pool = self.pools.get(node.id)
            if pool is None or pool.address != node.address:
                if pool is not None:
                    pool.close()
                pool = self._make_pool(node)
                self.pools[node.id] = pool
            pool.set_unavailable(node.readiness is not Readiness.READY)
        for id in self.pools.keys() - {each.id for each in nodes}:
            self.pools.pop(id).close()

    def _make_pool(self, node: RegisteredNode) -> NodeConnectionPool:
        config, meter_node = self.config, self.config.meter_node
        return NodeConnectionPool(
            self.reactor,
            self.now,
            PoolConfig(
                node.address,
                config.limits,
                self.identifiers.gateway,
                self.identifiers.incarnation,
                config.max_packet,
            ),
            partial(self._warn, node.id),
            flow_meter=meter_node(node.id, node.address) if meter_node else None,
        )

    def _warn(self, node: int, reason: str) -> None:
        self.config.warn("link", box=node, reason=reason)

    def send_attempt(
        self,
        payload: CommandPayload,
        request: Request,
        number: int,
        node: int,
        deadline: int,
        ended: AttemptEnded,
    ) -> PooledExchange | None:
        """Send an attempt to a node; return None if it cannot be sent.

        The deadline of the attempt is not sent. The node receives the time until the
        request's deadline instead.
        """
        pool = self.pools.get(node)
        if pool is None:
            return None
        guard = payload.attempt_guard
        if guard is not None:
            if not guard.may_send():
                return None
            ended = guard.count_attempt(ended)
        return pool.send_attempt(self._order(payload, request, number), ended, guard)

    def _order(
        self, payload: CommandPayload, request: Request, number: int
    ) -> NodeRequest:
        return NodeRequest(
            self.identifiers.gateway,
            self.identifiers.incarnation,
            request.id,
            number,
            request.units,
            request.key,
            max((request.deadline - self.now()) // TICKS_PER_MILLISECOND, 1),
            payload.idempotency_key,
            request.volume,
            request.sharing_gateways,
            payload.request_class,
            payload.mark,
            payload.command,
        )

    def abort(self) -> None:
        """Abort every connection."""
        for pool in self.pools.values():
            pool.abort()
