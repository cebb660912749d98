"""Accept client connections within the clients' share of descriptors."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory

from milletsill.http_gateway.client_connection import ClientConnection, ClientGateway
from milletsill.http_gateway.client_connection_state import CHECK_INTERVAL_WHEN_SHORT
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS


class ClientListener(Factory):
    """Creates a `ClientConnection` for each accepted connection.

    Attributes:
        connections: open connections, in the order in which they were accepted.
        port: the listening port, None before the start.
        paused: whether accepting is paused, so that clients wait in the kernel's queue.
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
        """Return the protocol of a new client; None closes its connection."""
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
        """Limit the connections that the reactor accepts in one turn to the free share.

        Further clients wait in the kernel's queue. If they were accepted and closed,
        they would reconnect at once.
        """
        if self.port is not None:
            room = self.max_connections - len(self.connections)
            self.port.numberAccepts = max(room, 1)

    def on_client_lost(self, client: ClientConnection) -> None:
        """Remove a client, and resume accepting if there is room again."""
        self.connections.pop(client, None)
        room = len(self.connections) < self.max_connections
        if self.paused and room and self.port is not None:
            self.paused = False
            self.limit_accepts()
            self.port.resumeProducing()

    def check(self, descriptors_short: bool) -> None:
        """Check the time-outs of all clients."""
        now = self.gateway.now()
        for client in list(self.connections):
            client.check(now, descriptors_short)

    def _pause(self) -> None:
        """Pause accepting, and check the time-outs of clients more often."""
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
