"""Sends records to one collector: a bounded queue, a connection and its messages."""

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
"""Maximum of flows that expire, and of records sent to a collector, in one step."""

DROPPED_QUEUE_FULL = "queue full"
"""Cause of a drop, exported in dropCause."""


@dataclass(frozen=True, slots=True)
class SenderContext:
    """The dependencies that all senders of an exporting process share."""

    reactor: ExportReactor
    clocks: ExportClocks
    domain: int
    datagrams: ExportUdpSocket
    uniform: Callable[[float, float], float]
    log: Callable[..., None]


class CollectorSender:
    """Sends records to one collector, without blocking its caller."""

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
    def is_on_probation(self) -> bool:
        """Whether the collector has failed and has not been up for PROBATION since."""
        return self._failures > 0

    def enqueue(self, pending: PendingRecord) -> None:
        """Queue a record; count the records that a full queue drops."""
        for dropped in self.queue.append(pending):
            self.stream.drop(dropped, DROPPED_QUEUE_FULL)

    def check_time(self, now: int) -> None:
        """Reconnect, end a probation or time out a blocked connection, if it is due."""
        if self.state is CollectorState.AWAY and now >= self.retry_at:
            self._handle(CollectorEvent.DUE)
        elif self._has_passed_probation(now):
            self._failures = 0
        elif self._is_overdue(now):
            self._handle(CollectorEvent.OVERDUE)

    def send(self, max_records: int = MAX_RECORDS_PER_STEP) -> None:
        """Send queued records while the collector accepts data."""
        left = max_records
        while self.state is CollectorState.UP and left > 0 and self.queue:
            left -= self.stream.send_from(self.queue)

    def drop_queued(self, cause: str) -> None:
        """Drop and count all queued records."""
        for pending in self.queue.drain():
            self.stream.drop(pending, cause)

    def close(self) -> None:
        """Close the connection once its send buffer is empty."""
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.close()

    def on_connected(self, connection: CollectorConnection) -> None:
        """Handle an established TCP connection."""
        if self.state is not CollectorState.CONNECTING or self.connection is not None:
            connection.abort()
            return
        self.connection = connection
        connection.start_producing()
        self._handle(CollectorEvent.CONNECTED)

    def on_lost(self, connection: CollectorConnection) -> None:
        """Handle the loss of a TCP connection."""
        if self.connection is connection:
            self.connection = None
            self._handle(CollectorEvent.LOST)

    def on_full(self) -> None:
        """Handle a full send buffer of the connection."""
        self._handle(CollectorEvent.FULL)

    def on_drained(self) -> None:
        """Handle a send buffer that has space again."""
        self._handle(CollectorEvent.DRAINED)

    def _has_passed_probation(self, now: int) -> bool:
        is_up = self.state is CollectorState.UP
        return is_up and self.is_on_probation and now - self._up_at >= PROBATION

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
        # mypy does not see that a Factory provides IProtocolFactory.
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
        """Schedule the next connection attempt; log only the first failure in a row."""
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
