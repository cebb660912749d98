"""Ranks the gateways for each node by rendezvous hashing, equally at all gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterable

# The key by which a node is hashed; it must be the same at all gateways.
NODE_KEY_FORMAT = "box {}"

OrderOrigins = Callable[[str], Iterable[int]]


class RendezvousRanking:
    """Caches each node's ranking of the present origins until the view changes."""

    def __init__(self, order_origins: OrderOrigins = lambda name: ()) -> None:
        self._order_origins = order_origins
        self._places: dict[int, dict[int, int]] = {}

    def update(self, order_origins: OrderOrigins) -> None:
        """Discard the cache, and rank origins with `order_origins` from now on."""
        self._order_origins = order_origins
        self._places = {}

    def places(self, node: int) -> dict[int, int]:
        """Return each origin's place in the ranking for a node, from 0."""
        places = self._places.get(node)
        if places is None:
            origins = self._order_origins(NODE_KEY_FORMAT.format(node))
            places = {origin: place for place, origin in enumerate(origins)}
            self._places[node] = places
        return places


def is_admitted(place: int, members: int, share: float) -> bool:
    """Return whether a place is the first or in the first `share` of the members."""
    return place < max(share * members, 1.0)
