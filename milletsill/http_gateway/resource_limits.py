"""How a gateway divides its descriptors, and how much memory long messages may hold."""

from __future__ import annotations

from dataclasses import dataclass

# Standard streams, the reactor's own, discovery, a list being read, the listening
# socket, and SPARE_CLIENTS.
SPARE_DESCRIPTORS = 48
# Clients that are accepted in the turn in which their share is full: the reactor takes
# 20 more a turn.
SPARE_CLIENTS = 24
CLIENT_SHARE = 0.6
# Octets of one body. The platform's page says 64 KiB, its reads bring up to six times
# that.
MAX_BODY = 1 << 20
# Bodies up to this length are not counted against the memory.
SHORT_BODY = 1 << 16
# The share of the memory for long requests, and for long answers that come in or wait
# for clients that read slowly.
BUFFER_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class DescriptorQuota:
    """How many descriptors clients and connections to nodes may hold.

    Neither can starve the other.
    """

    clients: int
    node_connections: int


def divide_descriptors(limit: int) -> DescriptorQuota:
    """Divide the process's limit of descriptors."""
    free = max(limit - SPARE_DESCRIPTORS, 4)
    clients = max(int(free * CLIENT_SHARE), 2)
    return DescriptorQuota(clients, free - clients)


class BufferBudget:
    """Octets that long messages, and requests ahead of an open one, may hold in memory.

    Keeps the process from being killed for memory by long bodies or clients that do not
    read. Past the limit a good answer counts as malformed, and a long request is
    rejected.
    """

    def __init__(self, memory_mb: int) -> None:
        self.limit = int(memory_mb * BUFFER_SHARE) << 20
        self.held = 0

    def reserve(self, octets: int) -> bool:
        """Reserve room; False where there is none."""
        if self.held + octets > self.limit:
            return False
        self.held += octets
        return True

    def hold(self, octets: int) -> None:
        """Count octets that are held already, past the limit if need be."""
        self.held += octets

    def release(self, octets: int) -> None:
        """Give room back."""
        self.held -= octets
