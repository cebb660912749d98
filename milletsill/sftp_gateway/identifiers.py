"""Names and numbers that a gateway gives, unique over gateways and starts."""

from __future__ import annotations


class IdentifierSource:
    """Gives ids of requests, names of objects and idempotency keys.

    Attributes:
        gateway: the gateway's name.
        incarnation: of this start; it grows where the fleet knew a later one.
    """

    def __init__(self, gateway: str, incarnation: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self.request_count = 0
        self.object_count = 0
        self.key_count = 0

    def next_request_id(self) -> int:
        """Return an id that no other request of this start has."""
        self.request_count += 1
        return self.request_count

    def new_object_name(self) -> str:
        """Return a name on a node that no other gateway or start gives."""
        self.object_count += 1
        return f"#{self.gateway}.{self.incarnation}.{self.object_count}"

    def new_idempotency_key(self) -> str:
        """Return a key that no other gateway or start gives."""
        self.key_count += 1
        return f"{self.gateway}.{self.incarnation}.{self.key_count}"
