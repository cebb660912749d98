"""Accept client connections within the clients' share of descriptors."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory

from milletsill.http_gateway.accept_queue import AcceptQueueClock
from milletsill.http_gateway.client_connection import ClientConnection, ClientGateway
from milletsill.http_gateway.client_connection_state import CHECK_INTERVAL_WHEN_SHORT
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS

LISTEN_BACKLOG = 512
# The kernel queues one connection more than the backlog.
QUEUE_CAPACITY = LISTEN_BACKLOG + 1
# Connections that are accepted in one turn. Each costs some 0.2 ms.
MAX_ACCEPTS_PER_TURN = 16
# While the share is full, clients wait in the kernel's queue for this long. Then spare
# descriptors are used, so that their requests are answered in time.
QUEUE_TIMEOUT = 2_000
# After this time in the queue a client is turned away if the spare descriptors are in
# use too. Its request, which has not been read, would be answered too late.
MAX_QUEUE_TIME = 9_000


class ClientListener(Factory):
    """Creates a `ClientConnection` for each accepted connection.

    Attributes:
        connections: open connections, in the order in which they were accepted.
        port: the listening port, None before the start.
        paused: whether the share is full, so that clients wait in the kernel's queue.
        queue: since when they may wait there.
        batch: number of connections that were accepted in this turn.
        batch_limit: how many were to be accepted at most.
        batch_at: when the last of them was accepted.
        batch_arrived_at: the earliest time at which the first may have arrived.
    """

    noisy = False

    def __init__(self, gateway: ClientGateway, max_connections: int) -> None:
        self.gateway = gateway
        self.max_connections = max_connections
        self.connections: dict[ClientConnection, None] = {}
        self.port: Any = None
        self.paused = False
        self.check_call: Any = None
        self.queue = AcceptQueueClock(QUEUE_CAPACITY)
        self.looked_for_memory_at = 0
        self.batch = 0
        self.batch_limit = 0
        self.batch_at = 0
        self.batch_arrived_at = 0

    def buildProtocol(self, addr: Any) -> ClientConnection | None:
        """Return the protocol of a new client; None closes its connection."""
        self._count_accepted()
        if len(self.connections) >= self.max_connections:
            self.check(True)
        if len(self.connections) >= self.max_connections + SPARE_CLIENTS:
            self.gateway.count("refused", "no descriptor for a client")
            return None
        client = ClientConnection(self.gateway, self._earliest_arrival())
        self.connections[client] = None
        if len(self.connections) >= self.max_connections:
            self._pause()
        return client

    def limit_accepts(self) -> None:
        """Limit the connections that the reactor accepts in one turn to the free share.

        Further clients wait in the kernel's queue. If they were accepted and closed,
        they would reconnect at once.
        """
        room = self.max_connections - len(self.connections)
        self._set_accepts(min(room, MAX_ACCEPTS_PER_TURN))

    def stop(self) -> None:
        """Accept no more clients; the port has been closed."""
        self.port = None

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

    def end_stopped_requests(self) -> None:
        """Refuse partial requests that have paused, since memory is short.

        The clients are looked at only now and then, because many requests may find no
        room.
        """
        now = self.gateway.now()
        if now - self.looked_for_memory_at < CHECK_INTERVAL_WHEN_SHORT:
            return
        self.looked_for_memory_at = now
        for client in list(self.connections):
            if client.has_partial_request:
                client.check(now, True)

    def _earliest_arrival(self) -> int:
        """Return the earliest time at which a connection that is accepted now came."""
        now = self.gateway.now()
        stalled_since = self.gateway.unread_since()
        return self.queue.earliest_arrival(
            now if stalled_since is None else stalled_since
        )

    def _set_accepts(self, count: int) -> None:
        if self.port is not None:
            self.port.numberAccepts = max(count, 1)

    def _count_accepted(self) -> None:
        """Count an accepted connection; the turn's last one ends the batch."""
        self.batch += 1
        self.batch_at = self.gateway.now()
        if self.batch == 1 and self.port is not None:
            self.batch_limit = self.port.numberAccepts
            self.batch_arrived_at = self._earliest_arrival()
            self.gateway.reactor.callLater(0, self._end_batch)

    def _end_batch(self) -> None:
        """Note whether connections are left in the queue, after those of one turn."""
        accepted, self.batch = self.batch, 0
        if accepted < self.batch_limit:
            self.queue.on_empty(self.batch_at, accepted, self.paused)
        else:
            self.queue.on_left(self.batch_at, accepted, self.batch_arrived_at)
        self.limit_accepts()

    def _pause(self) -> None:
        """Pause accepting, and check the time-outs of clients more often."""
        if self.port is None:
            return
        self.port.pauseProducing()
        if self.paused:
            return
        self.paused = True
        self.queue.on_pause(self._earliest_arrival())
        if self.check_call is None:
            self._check_while_paused()

    def _check_while_paused(self) -> None:
        self.check_call = None
        if self.paused:
            self.check(True)
        if self.paused and self.port is not None:
            self._accept_overdue()
            self.check_call = self.gateway.reactor.callLater(
                CHECK_INTERVAL_WHEN_SHORT / 10_000, self._check_while_paused
            )

    def _accept_overdue(self) -> None:
        """Accept clients beyond the share that may have waited long in the queue."""
        now = self.gateway.now()
        waited = now - self.queue.earliest_arrival(now)
        spare = self.max_connections + SPARE_CLIENTS - len(self.connections)
        if waited < (QUEUE_TIMEOUT if spare > 0 else MAX_QUEUE_TIME):
            return
        self._set_accepts(
            min(max(spare, 0) or MAX_ACCEPTS_PER_TURN, MAX_ACCEPTS_PER_TURN)
        )
        before = self.batch
        self.port.doRead()
        if self.batch == before:
            self.queue.on_empty(now, 0, self.paused)
