"""Which piggybacked updates ride on the next frame (SWIM's dissemination). Pure.

Those that went out least go first, each a bounded number of times.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2

RETRANSMIT_MULTIPLIER = 3  # of the logarithm of the fleet's size; SWIM's lambda


def retransmit_limit(members: int) -> int:
    """Return how often one gateway sends an update in a fleet of that size."""
    return RETRANSMIT_MULTIPLIER * ceil(log2(max(members, 1) + 1))


class GossipQueue:
    """Names of the members of which there is an update to pass on.

    A name stands in it once, so it is never longer than the fleet.
    """

    __slots__ = ("_by_transmits", "_transmits")

    def __init__(self) -> None:
        self._by_transmits: list[dict[str, None]] = []  # index: times sent
        self._transmits: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, name: str) -> None:
        """Queue an update of that name, to be sent from the beginning."""
        self.discard(name)
        if not self._by_transmits:
            self._by_transmits.append({})
        self._by_transmits[0][name] = None
        self._transmits[name] = 0

    def discard(self, name: str) -> None:
        """Take a name out, if it is in."""
        transmits = self._transmits.pop(name, None)
        if transmits is not None:
            del self._by_transmits[transmits][name]

    def take(self, room: int, limit: int, size_of: Callable[[str], int]) -> list[str]:
        """Return the names whose updates go into a frame, those sent least first.

        Args:
            room: Octets that the frame has left.
            limit: A name that was sent so often is dropped.
            size_of: The octets of a name's update.
        """
        if not self._transmits:
            return []
        taken = self._select(room, size_of)
        for name in taken:
            self._count_transmit(name, limit)
        return taken

    def _select(self, room: int, size_of: Callable[[str], int]) -> list[str]:
        """Return names until the first that has no room."""
        selected: list[str] = []
        for names in self._by_transmits:
            for name in names:
                size = size_of(name)
                if size > room:
                    return selected
                room -= size
                selected.append(name)
            if room <= 0:
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
