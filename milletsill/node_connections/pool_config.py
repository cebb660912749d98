"""Settings of the connections to one node."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.node_connections.connection_state import PoolLimits


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """Settings of one pool.

    Attributes:
        address: host and port of the node.
        limits: bounds on connections and times.
        gateway, incarnation: what this gateway greets the node with.
        max_packet: octets of a packet from the node.
    """

    address: str
    limits: PoolLimits
    gateway: str
    incarnation: int
    max_packet: int
