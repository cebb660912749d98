"""The settings of the connection pool of one node."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.node_connections.connection_state import PoolLimits


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """Settings of one pool.

    Attributes:
        address: the node's host and port.
        limits: limits of connections and timeouts.
        gateway: this gateway's name, which it sends in its hello.
        incarnation: this gateway's incarnation, which it sends in its hello.
        max_packet: maximum octets of a packet from the node.
    """

    address: str
    limits: PoolLimits
    gateway: str
    incarnation: int
    max_packet: int
