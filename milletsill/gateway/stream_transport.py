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

    def loseWriteConnection(self) -> None:
        """Close our side once all that was written is sent."""

    def pauseProducing(self) -> None:
        """Read nothing for now."""

    def doRead(self) -> Any:
        """Read what lies in the socket now; not None where the connection ended."""


class StreamEndpoint(Protocol):
    """Where a TCP connection leads to."""

    def connect(self, factory: Any, /) -> Deferred[Any]:
        """Connect; fails where the peer cannot be reached in time."""
