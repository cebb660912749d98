"""Accept clients within their share of descriptors."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory

from milletsill.http_gateway.client_connection import ClientConnection, ClientGateway
from milletsill.http_gateway.client_connection_state import CHECK_INTERVAL_WHEN_SHORT
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS


class ClientListener(Factory):
    """Makes a `ClientConnection` for each connection that is accepted.

    Attributes:
        connections: open connections, in the order of their coming.
        port: the listening port, None before the start.
        paused: whether later clients wait in the system's queue.
    """

    noisy = False

    def __init__(self, gateway: ClientGateway, max_connections: int) -> None:
        self.gateway = gateway
        self.max_connections = max_connections
        self.connections: dict[ClientConnection, None] = {}
        self.port: Any = None
        self.paused = False
        self.check_call: Any = None

    def buildProtocol(self, addr: Any) -> ClientConnection | None:
        """Accept a client; None closes its connection."""
        if len(self.connections) >= self.max_connections:
            self.check(True)
        if len(self.connections) >= self.max_connections + SPARE_CLIENTS:
            self.gateway.count("refused", "no descriptor for a client")
            return None
        client = ClientConnection(self.gateway)
        self.connections[client] = None
        if len(self.connections) >= self.max_connections:
            self._pause()
        self.limit_accepts()
        return client

    def limit_accepts(self) -> None:
        """Let the reactor accept no more in a turn than there is room for.

        Clients beyond wait in the system's queue; closed instead, each would come again
        at once.
        """
        if self.port is not None:
            room = self.max_connections - len(self.connections)
            self.port.numberAccepts = max(room, 1)

    def on_client_lost(self, client: ClientConnection) -> None:
        """Forget a client, and accept others where there is room again."""
        self.connections.pop(client, None)
        room = len(self.connections) < self.max_connections
        if self.paused and room and self.port is not None:
            self.paused = False
            self.limit_accepts()
            self.port.resumeProducing()

    def check(self, short: bool) -> None:
        """Do what time brings to each client; `short` where descriptors are."""
        now = self.gateway.now()
        for client in list(self.connections):
            client.check(now, short)

    def _pause(self) -> None:
        """Let later clients wait, and check more often whom to close."""
        if self.port is None or self.paused:
            return
        self.paused = True
        self.port.pauseProducing()
        if self.check_call is None:
            self._check_while_paused()

    def _check_while_paused(self) -> None:
        self.check_call = None
        if self.paused:
            self.check(True)
        if self.paused:
            self.check_call = self.gateway.reactor.callLater(
                CHECK_INTERVAL_WHEN_SHORT / 10_000, self._check_while_paused
            )
