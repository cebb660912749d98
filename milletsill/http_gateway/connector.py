"""Open a single outgoing connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol


class SingleConnector(ClientFactory):
    """Connects one protocol; `failed` is called if the connection fails."""

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[], None]) -> None:
        self.connection: Protocol | None = protocol
        self.failed = failed

    def buildProtocol(self, addr: Any) -> Protocol | None:
        """Return the protocol to connect."""
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Report the failure, then drop the references."""
        self.failed()
        self.clientConnectionLost(connector, reason)

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Break the reference cycle of connector, transport, protocol and factory.

        The objects are then freed with the connection, without the garbage collector.
        """
        connector.transport = None
        self.connection = None
        self.failed = lambda: None
