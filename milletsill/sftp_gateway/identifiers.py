"""Identifiers that are unique across gateways and across restarts."""

from __future__ import annotations


class IdentifierSource:
    """Generates request ids, object names and idempotency keys.

    Attributes:
        gateway: the gateway's name.
        incarnation: the number of this start. It is raised if the fleet already
            knows a later one.
    """

    def __init__(self, gateway: str, incarnation: int) -> None:
        self.gateway = gateway
        self.incarnation = incarnation
        self.request_count = 0
        self.object_count = 0
        self.key_count = 0

    def next_request_id(self) -> int:
        """Return a request id that is unique within this start of the gateway."""
        self.request_count += 1
        return self.request_count

    def new_object_name(self) -> str:
        """Return an object name that no other gateway or start generates."""
        self.object_count += 1
        return f"#{self.gateway}.{self.incarnation}.{self.object_count}"

    def new_idempotency_key(self) -> str:
        """Return an idempotency key that no other gateway or start generates."""
        self.key_count += 1
        return f"{self.gateway}.{self.incarnation}.{self.key_count}"
