"""Selects the updates to piggyback on the next frame (SWIM's dissemination). No I/O.

The updates that were sent the fewest times go first, and each is sent a bounded number
of times.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2

# Multiplies the logarithm of the number of members; SWIM's lambda.
RETRANSMIT_MULTIPLIER = 3


def retransmit_limit(members: int) -> int:
    """Return how many times one gateway sends an update to a fleet of that size."""
    return RETRANSMIT_MULTIPLIER * ceil(log2(max(members, 1) + 1))


class GossipQueue:
    """The names of the members whose updates are still to be gossiped.

    It holds each name once, so it is never longer than the member table.
    """

    __slots__ = ("_by_transmits", "_transmits")

    def __init__(self) -> None:
        self._by_transmits: list[dict[str, None]] = []  # index: transmit count
        self._transmits: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, name: str) -> None:
        """Queue the update of a member, with its transmit count reset to zero."""
        self.discard(name)
        if not self._by_transmits:
            self._by_transmits.append({})
        self._by_transmits[0][name] = None
        self._transmits[name] = 0

    def discard(self, name: str) -> None:
        """Remove a name if it is queued."""
        transmits = self._transmits.pop(name, None)
        if transmits is not None:
            del self._by_transmits[transmits][name]

    def take(
        self, free_octets: int, limit: int, size_of: Callable[[str], int]
    ) -> list[str]:
        """Return the names whose updates go into a frame, the least sent first.

        Args:
            free_octets: The octets left in the frame.
            limit: The number of transmits after which a name is removed.
            size_of: Returns the size in octets of the update of a name.
        """
        if not self._transmits:
            return []
        taken = self._select(free_octets, size_of)
        for name in taken:
            self._count_transmit(name, limit)
        return taken

    def _select(self, free_octets: int, size_of: Callable[[str], int]) -> list[str]:
        """Return names in order, up to the first whose update does not fit."""
        selected: list[str] = []
        for names in self._by_transmits:
            for name in names:
                size = size_of(name)
                if size > free_octets:
                    return selected
                free_octets -= size
                selected.append(name)
            if free_octets <= 0:
                return selected
        return selected

    def _count_transmit(self, name: str, limit: int) -> None:
        transmits = self._transmits[name]
        del self._by_transmits[transmits][name]
        transmits += 1
        if transmits >= limit:
            del self._transmits[name]
            return
        if transmits == len(self._by_transmits):
            self._by_transmits.append({})
        self._by_transmits[transmits][name] = None
        self._transmits[name] = transmits
