"""Bring one connection up."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol


class SingleConnector(ClientFactory):
    """Connects one protocol; `failed` is called where it cannot be connected."""

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[], None]) -> None:
        self.connection: Protocol | None = protocol
        self.failed = failed

    def buildProtocol(self, addr: Any) -> Protocol | None:
        """Return the one protocol."""
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Tell who waits, then drop the references."""
        self.failed()
        self.clientConnectionLost(connector, reason)

    def clientConnectionLost(self, connector: Any, reason: Any) -> None:
        """Cut the cycle of connector, transport, protocol and this.

        Each is freed with its connection, without the garbage collector.
        """
        connector.transport = None
        self.connection = None
        self.failed = lambda: None
