"""Outbound TCP streams to other gateways, at most one to each address.

A stream carries frames in one direction and in order. When a stream ends, the frames
that wait on it are lost; a later stream to the same address does not resend them.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from milletsill.fleet.frames.stream_framing import add_length_prefix
from milletsill.fleet.net.stream_state import (
    BLOCKED_TIMEOUT,
    CONNECT_TIMEOUT,
    StreamAction,
    StreamEvent,
    StreamState,
    due_event,
    next_transition,
)

MAX_OUTBOUND_STREAMS = 2048
MAX_WAITING_OCTETS = 1 << 21  # per member

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
WILDCARD_HOSTS = ("", "0.0.0.0")

_ENDING_ACTIONS = (StreamAction.ABORT, StreamAction.CLOSE, StreamAction.REMOVE)


class OutboundStream(Protocol):
    """A one-way stream to another gateway."""

    def __init__(self, pool: OutboundStreamPool, address: str) -> None:
        self._pool = pool
        self._address = address
        self._waiting: deque[bytes] = deque()
        self.state = StreamState.CONNECTING
        self.waiting_octets = 0
        self.timer_start = pool.now()
        self.connecting: Deferred[Any] | None = None

    def connectionMade(self) -> None:
        """Start sending, or abort if the stream was closed while connecting."""
        tcp: Any = self.transport
        if self.state is not StreamState.CONNECTING:
            tcp.abortConnection()
            return
        _configure_socket(tcp)
        tcp.registerProducer(self, True)
        self.on_event(StreamEvent.CONNECTED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Handle the end of the connection, whichever side ended it."""
        self.on_event(StreamEvent.CONNECTION_LOST)

    def pauseProducing(self) -> None:
        """Stop writing: the socket's send buffer is full."""
        self.on_event(StreamEvent.BUFFER_FULL)

    def resumeProducing(self) -> None:
        """Resume writing: the socket's send buffer has space again."""
        self.on_event(StreamEvent.BUFFER_DRAINED)

    def stopProducing(self) -> None:
        """Do nothing: Twisted calls connectionLost when the connection has ended."""

    def send(self, data: bytes) -> bool:
        """Write or queue octets.

        Returns:
            False if the stream is backing off or closed, or if more than
            MAX_WAITING_OCTETS would wait.
        """
        if self.state in (StreamState.BACKING_OFF, StreamState.CLOSED):
            return False
        if self.waiting_octets + len(data) > MAX_WAITING_OCTETS:
            return False
        self._waiting.append(data)
        self.waiting_octets += len(data)
        if self.state is StreamState.OPEN:
            self._flush()
        return True

    def on_event(self, event: StreamEvent) -> None:
        """Apply the transition for an event."""
        self.state, action = next_transition(self.state, event)
        if action is StreamAction.FLUSH:
            self._flush()
        if action in (StreamAction.DISCARD_WAITING, StreamAction.RECORD_TIME):
            self.timer_start = self._pool.now()
        if action is StreamAction.DISCARD_WAITING:
            self._discard_waiting()
        if action in _ENDING_ACTIONS:
            self._discard_waiting()
            self._pool.remove(self._address)
            self._end_connection(graceful=action is StreamAction.CLOSE)

    def _flush(self) -> None:
        tcp: Any = self.transport
        self.timer_start = self._pool.now()
        # A write may fill the socket's send buffer, which changes the state.
        while self._waiting and self.state is StreamState.OPEN:
            data = self._waiting.popleft()
            self.waiting_octets -= len(data)
            tcp.write(data)

    def _discard_waiting(self) -> None:
        self._waiting.clear()
        self.waiting_octets = 0

    def _end_connection(self, graceful: bool) -> None:
        """End the connection or cancel the connection attempt.

        Cancelling the attempt calls its errback, which reports CONNECT_FAILED; that
        event has no effect on a stream that is already closed.
        """
        tcp: Any = self.transport
        if tcp is None:
            if self.connecting is not None:
                self.connecting.cancel()
        elif graceful:
            tcp.loseConnection()
        else:
            tcp.abortConnection()


class OutboundStreamPool:
    """The outbound streams to other gateways, by address.

    Args:
        reactor: The Twisted reactor.
        now: Returns the time in tenths of a millisecond.
        host: The host of this gateway's address. Streams use it as their source
            address, so that a relay on the path can identify the sender.
    """

    def __init__(self, reactor: Any, now: Callable[[], int], host: str) -> None:
        self._reactor = reactor
        self.now = now
        self._host = host
        self._streams: dict[str, OutboundStream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def send(self, address: str, frame: bytes) -> bool:
        """Send a frame to an address; return whether a stream accepted it."""
        stream = self._streams.get(address)
        if stream is None:
            if len(self._streams) >= MAX_OUTBOUND_STREAMS:
                return False
            stream = self._connect(address)
        return stream.send(add_length_prefix(frame))

    def check_timeouts(self) -> None:
        """Apply the timeouts that are due; called periodically."""
        for stream in list(self._streams.values()):
            event = due_event(stream.state, self.now(), stream.timer_start)
            if event is not None:
                stream.on_event(event)

    def on_member_gone(self, address: str) -> None:
        """Abort the stream to the address of a member that is gone or has left."""
        stream = self._streams.get(address)
        if stream is not None:
            stream.on_event(StreamEvent.MEMBER_GONE)

    def remove(self, address: str) -> None:
        """Remove a stream that has ended."""
        self._streams.pop(address, None)

    def waiting_octets(self) -> int:
        """Return the total of the octets that wait on all streams."""
        return sum(each.waiting_octets for each in self._streams.values())

    def close(self) -> None:
        """Abort all streams."""
        for address in list(self._streams):
            self.on_member_gone(address)

    def _connect(self, address: str) -> OutboundStream:
        stream = OutboundStream(self, address)
        self._streams[address] = stream
        host, _, port = address.rpartition(":")
        # mypy cannot see that Factory provides the zope interface IProtocolFactory.
        factory: Any = Factory.forProtocol(lambda: stream)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor,
            host,
            int(port),
            timeout=CONNECT_TIMEOUT / TICKS_PER_SECOND,
            bindAddress=None if self._host in WILDCARD_HOSTS else (self._host, 0),
        )
        stream.connecting = endpoint.connect(factory)
        stream.connecting.addErrback(
            lambda failure: stream.on_event(StreamEvent.CONNECT_FAILED)
        )
        return stream


def _configure_socket(tcp: Any) -> None:
    """Disable Nagle's algorithm and bound how long sent data may be unacknowledged.

    TCP_USER_TIMEOUT makes the kernel end a stream whose data is not acknowledged.
    """
    tcp.setTcpNoDelay(True)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        tcp.getHandle().setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            BLOCKED_TIMEOUT // TICKS_PER_MILLISECOND,
        )
