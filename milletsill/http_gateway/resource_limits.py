"""Division of a gateway's descriptors, and the memory budget for long messages."""

from __future__ import annotations

from collections.abc import Callable
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
# Octets of a client that do not count: an ordinary request with its head.
SMALL_REQUEST = 4_096
# Share of the memory for requests and for answers that are arriving or wait for clients
# that read slowly.
BUFFER_SHARE = 0.25
# Memory of the process with all its connections and nothing to do. At most half of what
# is left beside it is used for buffers.
PROCESS_MB = 40
MIN_BUFFER_MB = 2
# Share of the buffers for requests that no node has yet. The rest is kept for requests
# that are complete and for answers.
ARRIVING_SHARE = 0.75


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


def buffer_limit(memory_mb: int) -> int:
    """Return how many octets of a process's memory may be used for buffers."""
    megabytes = min(memory_mb * BUFFER_SHARE, (memory_mb - PROCESS_MB) / 2)
    return int(max(megabytes, MIN_BUFFER_MB)) << 20


class BufferBudget:
    """Memory budget, in octets, for everything that is held for clients and nodes.

    It prevents long bodies, many unfinished requests, or clients that do not read, from
    using so much memory that the process is killed. When it is exhausted, a long answer
    of a node counts as malformed, and a request that is not small is rejected.

    Attributes:
        on_short: called when an arriving request finds no room, to make some.
    """

    def __init__(self, memory_mb: int) -> None:
        self.limit = buffer_limit(memory_mb)
        self.held = 0
        self.on_short: Callable[[], None] = lambda: None

    def reserve(self, octets: int) -> bool:
        """Reserve octets; False if the budget does not allow it."""
        if self.held + octets > self.limit:
            return False
        self.held += octets
        return True

    def reserve_arriving(self, octets: int) -> bool:
        """Reserve octets of a request that no node has yet; False without room."""
        if not self._has_room_for_arriving(octets):
            self.on_short()
        return self._has_room_for_arriving(octets) and self.reserve(octets)

    def _has_room_for_arriving(self, octets: int) -> bool:
        return self.held + octets <= self.limit * ARRIVING_SHARE

    def hold(self, octets: int) -> None:
        """Count octets that are already in memory, even beyond the limit."""
        self.held += octets

    def release(self, octets: int) -> None:
        """Release reserved octets."""
        self.held -= octets
