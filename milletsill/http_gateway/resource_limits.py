"""Division of a gateway's descriptors, and the memory budget for long messages."""

from __future__ import annotations

from dataclasses import dataclass

# Descriptors reserved for the standard streams, the reactor, discovery, the reading of
# a list, the listening socket and SPARE_CLIENTS.
SPARE_DESCRIPTORS = 48
# Clients that may be accepted beyond their share in the turn in which it becomes full:
# the reactor accepts up to 20 more in a turn.
SPARE_CLIENTS = 24
CLIENT_SHARE = 0.6
# Octets of one body. The platform documents 64 KiB, but its reads return up to six
# times as much.
MAX_BODY = 1 << 20
# Octets of a body up to which it does not count against the memory budget.
SHORT_BODY = 1 << 16
# Share of the memory for long requests, and for long answers that are arriving or wait
# for clients that read slowly.
BUFFER_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class DescriptorQuota:
    """Maximum descriptors of clients and of connections to nodes.

    The separate limits prevent either side from starving the other.
    """

    clients: int
    node_connections: int


def divide_descriptors(limit: int) -> DescriptorQuota:
    """Divide the process's descriptors between clients and connections to nodes."""
    free = max(limit - SPARE_DESCRIPTORS, 4)
    clients = max(int(free * CLIENT_SHARE), 2)
    return DescriptorQuota(clients, free - clients)


class BufferBudget:
    """Memory budget, in octets, for long messages and pipelined requests.

    It prevents long bodies, or clients that do not read, from using so much memory that
    the process is killed. When it is exhausted, a valid answer of a node counts as
    malformed, and a long request is rejected.
    """

    def __init__(self, memory_mb: int) -> None:
        self.limit = int(memory_mb * BUFFER_SHARE) << 20
        self.held = 0

    def reserve(self, octets: int) -> bool:
        """Reserve octets; False if the budget does not allow it."""
        if self.held + octets > self.limit:
            return False
        self.held += octets
        return True

    def hold(self, octets: int) -> None:
        """Count octets that are already in memory, even beyond the limit."""
        self.held += octets

    def release(self, octets: int) -> None:
        """Release reserved octets."""
        self.held -= octets
