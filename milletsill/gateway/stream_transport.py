"""Typed parts of Twisted's TCP transports and endpoints.

Twisted states them as interfaces whose methods type checkers can't follow.
"""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.defer import Deferred


class StreamTransport(Protocol):
    """The transport of a TCP connection."""

    def write(self, data: bytes, /) -> None:
        """Send octets once the peer takes them."""

    def loseConnection(self) -> None:
        """Close once all that was written is sent."""

    def abortConnection(self) -> None:
        """Reset the connection now."""

    def registerProducer(self, producer: Any, streaming: bool, /) -> None:
        """Pause and resume a producer as the peer takes octets."""

    def unregisterProducer(self) -> None:
        """Pause and resume nobody any more."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Send small writes at once."""


class StreamEndpoint(Protocol):
    """Where a TCP connection leads to."""

    def connect(self, factory: Any, /) -> Deferred[Any]:
        """Connect; fails where the peer cannot be reached in time."""
