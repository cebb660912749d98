"""Sends records to one collector.

A bounded queue, a connection, a stream of messages.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from milletsill.flows.clocks import ExportClocks
from milletsill.flows.collector_states import (
    BLOCKED_TIMEOUT,
    PROBATION,
    CollectorEffect,
    CollectorEvent,
    CollectorState,
    backoff,
    transition,
)
from milletsill.flows.collector_transport import (
    CollectorConnection,
    ExportReactor,
    ExportUdpSocket,
)
from milletsill.flows.export_settings import CollectorSettings
from milletsill.flows.export_stream import ExportStream
from milletsill.flows.record_queue import PendingRecord, RecordQueue

CONNECT_TIMEOUT_SECONDS = 3
MAX_RECORDS_PER_STEP = 500
"""Flows that expire, and records that are sent to a collector, in one step."""

DROPPED_QUEUE_FULL = "queue full"
"""Cause of a drop, as it is exported in dropCause."""


@dataclass(frozen=True, slots=True)
class SenderContext:
    """What all senders of an exporting process share."""

    reactor: ExportReactor
    clocks: ExportClocks
    domain: int
    datagrams: ExportUdpSocket
    uniform: Callable[[float, float], float]
    log: Callable[..., None]


class CollectorSender:
    """Sends records to one collector; nothing waits for it."""

    def __init__(self, settings: CollectorSettings, context: SenderContext) -> None:
        self.settings = settings
        self.state = CollectorState.AWAY
        self.queue = RecordQueue(settings.max_queued_records)
        self.connection: CollectorConnection | None = None
        self.stream = ExportStream(
            settings, context.domain, context.clocks, self._transmit
        )
        self.retry_at = 0
        self.blocked_at = 0
        self._context = context
        self._failures = 0
        self._up_at = 0

    @property
    def doubted(self) -> bool:
        """Whether the collector has failed and was not up for long since."""
        return self._failures > 0

    def enqueue(self, pending: PendingRecord) -> None:
        """Queues a record; what a full queue drops is counted."""
        for dropped in self.queue.append(pending):
            self.stream.drop(dropped, DROPPED_QUEUE_FULL)

    def check_time(self, now: int) -> None:
        """Acts on what time has brought."""
        if self.state is CollectorState.AWAY and now >= self.retry_at:
            self._handle(CollectorEvent.DUE)
        elif self._has_proven_itself(now):
            self._failures = 0
        elif self._is_overdue(now):
            self._handle(CollectorEvent.OVERDUE)

    def send(self, max_records: int = MAX_RECORDS_PER_STEP) -> None:
        """Sends what is queued, while the collector takes it."""
        left = max_records
        while self.state is CollectorState.UP and left > 0 and self.queue:
            left -= self.stream.send_from(self.queue)

    def drop_queued(self, cause: str) -> None:
        """Drops and counts all that is queued."""
        for pending in self.queue.drain():
            self.stream.drop(pending, cause)

    def close(self) -> None:
        """Closes the connection; what its buffer holds still leaves."""
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.close()

    def on_connected(self, connection: CollectorConnection) -> None:
        """A TCP connection stands."""
        if self.state is not CollectorState.CONNECTING or self.connection is not None:
            connection.abort()
            return
        self.connection = connection
        connection.start_producing()
        self._handle(CollectorEvent.CONNECTED)

    def on_lost(self, connection: CollectorConnection) -> None:
        """A TCP connection is gone."""
        if self.connection is connection:
            self.connection = None
            self._handle(CollectorEvent.LOST)

    def on_full(self) -> None:
        """The connection's buffer is full."""
        self._handle(CollectorEvent.FULL)

    def on_drained(self) -> None:
        """The connection's buffer takes octets again."""
        self._handle(CollectorEvent.DRAINED)

    def _has_proven_itself(self, now: int) -> bool:
        is_up = self.state is CollectorState.UP
        return is_up and self.doubted and now - self._up_at >= PROBATION

    def _is_overdue(self, now: int) -> bool:
        is_blocked = self.state is CollectorState.BLOCKED
        return is_blocked and now - self.blocked_at >= BLOCKED_TIMEOUT

    def _handle(self, event: CollectorEvent) -> None:
        self.state, effect = transition(self.state, event)
        if event is CollectorEvent.FULL:
            self.blocked_at = self._context.clocks.now()
        if effect is CollectorEffect.CONNECT:
            self._connect()
        elif effect is CollectorEffect.START_STREAM:
            self._start_stream()
        elif effect is CollectorEffect.SEND:
            self.send()
        elif effect is CollectorEffect.BACK_OFF:
            self._back_off(event)

    def _connect(self) -> None:
        if self.settings.over_udp:
            self._handle(CollectorEvent.CONNECTED)
            return
        # A factory is an IProtocolFactory, which mypy cannot see.
        factory: Any = Factory.forProtocol(lambda: CollectorConnection(self))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._context.reactor,
            self.settings.host,
            self.settings.port,
            timeout=CONNECT_TIMEOUT_SECONDS,
        )
        connecting = endpoint.connect(factory)
        connecting.addErrback(lambda failure: self._handle(CollectorEvent.FAILED))

    def _start_stream(self) -> None:
        self._up_at = self._context.clocks.now()
        self.stream.restart()
        self._context.log("collector_up", address=self.settings.address)
        self.send()

    def _back_off(self, event: CollectorEvent) -> None:
        """Waits before the next attempt, logged once until the collector is trusted."""
        if not self._failures:
            self._context.log(
                "collector_away",
                address=self.settings.address,
                why=event.name.lower(),
            )
        now = self._context.clocks.now()
        self.retry_at = now + backoff(self._failures, self._context.uniform)
        self._failures += 1
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abort()

    def _transmit(self, octets: bytes) -> None:
        if self.settings.over_udp:
            address = self.settings.host, self.settings.port
            self._context.datagrams.send(octets, address)
        elif self.connection is not None:
            self.connection.send(octets)
