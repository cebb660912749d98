"""Protocols for the parts of Twisted's TCP transports and endpoints in use.

Twisted declares them as zope interfaces, whose methods type checkers can't resolve.
"""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.defer import Deferred


class StreamTransport(Protocol):
    """The transport of a TCP connection."""

    def write(self, data: bytes, /) -> None:
        """Send bytes as soon as the peer can receive them."""

    def loseConnection(self) -> None:
        """Close the connection after all written bytes are sent."""

    def abortConnection(self) -> None:
        """Reset the connection immediately."""

    def registerProducer(self, producer: Any, streaming: bool, /) -> None:
        """Pause and resume a producer according to how fast the peer receives."""

    def unregisterProducer(self) -> None:
        """Stop pausing and resuming the registered producer."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Disable or enable the buffering of small writes (Nagle's algorithm)."""

    def loseWriteConnection(self) -> None:
        """Close the sending side after all written bytes are sent."""

    def pauseProducing(self) -> None:
        """Stop reading until reading is resumed."""

    def resumeProducing(self) -> None:
        """Read again, unless the connection is being closed."""

    def doRead(self) -> Any:
        """Read the bytes waiting in the socket; not None if the connection ended."""


class StreamEndpoint(Protocol):
    """The address of a peer to connect to."""

    def connect(self, factory: Any, /) -> Deferred[Any]:
        """Connect; the result fails if the peer cannot be reached in time."""
