"""One TCP stream to each member that is sent something longer than a datagram.

Each stream carries frames one way. What is sent to one member goes in order over one
stream; a new stream begins anew, and what waited for the old one is lost.
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
MAX_WAITING_OCTETS = 1 << 21  # for one member

TICKS_PER_SECOND = 10_000
TICKS_PER_MILLISECOND = 10
ANY_HOST = ("", "0.0.0.0")

_ENDING_ACTIONS = (StreamAction.ABORT, StreamAction.CLOSE, StreamAction.FORGET)


class OutboundStream(Protocol):
    """One stream to another gateway, which sends nothing back on it."""

    def __init__(self, pool: OutboundStreamPool, address: str) -> None:
        self._pool = pool
        self._address = address
        self._waiting: deque[bytes] = deque()
        self.state = StreamState.CONNECTING
        self.waiting_octets = 0
        self.since = pool.now()
        self.connecting: Deferred[Any] | None = None

    def connectionMade(self) -> None:
        """The stream is up; one that was given up meanwhile ends at once."""
        tcp: Any = self.transport
        if self.state is not StreamState.CONNECTING:
            tcp.abortConnection()
            return
        _configure_socket(tcp)
        tcp.registerProducer(self, True)
        self.on_event(StreamEvent.CONNECTED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The stream ended, by whichever side."""
        self.on_event(StreamEvent.CONNECTION_LOST)

    def pauseProducing(self) -> None:
        """The socket's buffer is full."""
        self.on_event(StreamEvent.BUFFER_FULL)

    def resumeProducing(self) -> None:
        """The socket's buffer has room."""
        self.on_event(StreamEvent.BUFFER_DRAINED)

    def stopProducing(self) -> None:
        """The connection ends; connectionLost follows."""

    def send(self, data: bytes) -> bool:
        """Send octets, now or later; False where it backs off or too much waits."""
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
        """Take the transition of an event."""
        self.state, action = next_transition(self.state, event)
        if action is StreamAction.FLUSH:
            self._flush()
        if action in (StreamAction.DISCARD_WAITING, StreamAction.NOTE_TIME):
            self.since = self._pool.now()
        if action is StreamAction.DISCARD_WAITING:
            self._discard_waiting()
        if action in _ENDING_ACTIONS:
            self._discard_waiting()
            self._pool.forget(self._address)
            self._end_connection(graceful=action is StreamAction.CLOSE)

    def _flush(self) -> None:
        tcp: Any = self.transport
        self.since = self._pool.now()
        # A write may fill the socket's buffer, which changes the state.
        while self._waiting and self.state is StreamState.OPEN:
            data = self._waiting.popleft()
            self.waiting_octets -= len(data)
            tcp.write(data)

    def _discard_waiting(self) -> None:
        self._waiting.clear()
        self.waiting_octets = 0

    def _end_connection(self, graceful: bool) -> None:
        """End the connection, or give up connecting.

        Cancelling the attempt fires its errback with CONNECT_FAILED, which changes
        nothing in a stream that is closed already.
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
    """Streams to other gateways by address.

    Args:
        reactor: Twisted's.
        now: Returns tenths of a millisecond.
        host: Of this gateway's own address. Streams leave from it, so that a relay
            between can tell who sends.
    """

    def __init__(self, reactor: Any, now: Callable[[], int], host: str) -> None:
        self._reactor = reactor
        self.now = now
        self._host = host
        self._streams: dict[str, OutboundStream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def send(self, address: str, frame: bytes) -> bool:
        """Send a frame to an address; return whether it can be tried."""
        stream = self._streams.get(address)
        if stream is None:
            if len(self._streams) >= MAX_OUTBOUND_STREAMS:
                return False
            stream = self._connect(address)
        return stream.send(add_length_prefix(frame))

    def check_timeouts(self) -> None:
        """Act on what time has ended; called now and then."""
        for stream in list(self._streams.values()):
            event = due_event(stream.state, self.now(), stream.since)
            if event is not None:
                stream.on_event(event)

    def on_member_gone(self, address: str) -> None:
        """Whoever was at that address is gone."""
        stream = self._streams.get(address)
        if stream is not None:
            stream.on_event(StreamEvent.MEMBER_GONE)

    def forget(self, address: str) -> None:
        """Drop a stream that has ended."""
        self._streams.pop(address, None)

    def waiting_octets(self) -> int:
        """Return the octets that wait on all streams."""
        return sum(each.waiting_octets for each in self._streams.values())

    def close(self) -> None:
        """End all streams."""
        for address in list(self._streams):
            self.on_member_gone(address)

    def _connect(self, address: str) -> OutboundStream:
        stream = OutboundStream(self, address)
        self._streams[address] = stream
        host, _, port = address.rpartition(":")
        # mypy does not know that Factory provides IProtocolFactory (zope.interface).
        factory: Any = Factory.forProtocol(lambda: stream)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self._reactor,
            host,
            int(port),
            timeout=CONNECT_TIMEOUT / TICKS_PER_SECOND,
            bindAddress=None if self._host in ANY_HOST else (self._host, 0),
        )
        stream.connecting = endpoint.connect(factory)
        stream.connecting.addErrback(
            lambda failure: stream.on_event(StreamEvent.CONNECT_FAILED)
        )
        return stream


def _configure_socket(tcp: Any) -> None:
    """No delay for small frames; the kernel ends a stream that is not acknowledged."""
    tcp.setTcpNoDelay(True)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        tcp.getHandle().setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            BLOCKED_TIMEOUT // TICKS_PER_MILLISECOND,
        )
