"""Order of the gateways for each node, by rendezvous hashing: the same at all."""

from __future__ import annotations

from collections.abc import Callable, Iterable

# The name under which a node is hashed. All gateways have to use the same one.
HASHED_NAME = "box {}"

OrderOrigins = Callable[[str], Iterable[int]]


class RendezvousRanking:
    """Places of the present origins for each node, cached until the view changes."""

    def __init__(self, order_origins: OrderOrigins = lambda name: ()) -> None:
        self._order_origins = order_origins
        self._places: dict[int, dict[int, int]] = {}

    def update(self, order_origins: OrderOrigins) -> None:
        """Start anew with a view in which `order_origins` ranks all for a name."""
        self._order_origins = order_origins
        self._places = {}

    def places(self, node: int) -> dict[int, int]:
        """Return each origin's place for a node; 0 is the first."""
        places = self._places.get(node)
        if places is None:
            origins = self._order_origins(HASHED_NAME.format(node))
            places = {origin: place for place, origin in enumerate(origins)}
            self._places[node] = places
        return places


def is_admitted(place: int, members: int, share: float) -> bool:
    """Return whether a place is among the first `share` of the members, or is first."""
    return place < max(share * members, 1.0)
