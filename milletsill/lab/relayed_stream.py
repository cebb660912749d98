"""A TCP connection between two gateways through the network relay."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any
from typing import Protocol as Interface

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from milletsill.lab.network_faults import LinkCondition
from milletsill.lab.relay_addresses import own_address, relay_address

MAX_HELD_BYTES = 1 << 20
"""Bytes held of one end above which reading from it is paused."""
DIAL_TIMEOUT = 3.0
"""Seconds."""


class StreamRelay(Interface):
    """The parts of the relay that a stream uses."""

    reactor: Any
    port: int
    random: Random
    streams: set[RelayedStream]
    sent: dict[str, list[int]]
    counts: dict[str, int]

    def link(self, sender: int, receiver: int) -> LinkCondition:
        """Return the current condition of a link."""


class RelayedStream:
    """One connection between two gateways: two ends and the data held between them."""

    def __init__(
        self, relay: StreamRelay, sender: int, receiver: int, near: StreamEnd
    ) -> None:
        self.relay = relay
        self.sender = sender
        self.receiver = receiver
        self.near = near
        self.far = StreamEnd()
        near.attach(self, self.far, sender, receiver)
        relay.streams.add(self)
        relay.counts["streams"] += 1
        self.far.attach(self, near, receiver, sender)
        self.connector = relay.reactor.connectTCP(
            own_address(receiver),
            relay.port,
            StreamFactory(lambda peer: self.far, self.abort),
            timeout=DIAL_TIMEOUT,
            bindAddress=(relay_address(sender), 0),
        )

    def resume(self) -> None:
        """Forward the data that is due in both directions."""
        self.near.resume()
        self.far.resume()

    def abort(self) -> None:
        """Reset both ends."""
        self.relay.streams.discard(self)
        self.connector.disconnect()
        for end in (self.near, self.far):
            if end.transport is not None:
                end.transport.abortConnection()


class StreamEnd(Protocol):
    """One end of a stream; holds data received here until the other end may get it.

    Attributes:
        is_open: The connection is established.
        is_over: The connection has ended.
    """

    RESUME_INTERVAL = 0.02
    """Seconds between two checks for data that is due, for example after a cut."""

    transport: Any = (
        None  # set by Twisted, whose declared type lacks the methods of TCP
    )
    stream: RelayedStream

    def __init__(self) -> None:
        self.is_open = False
        self.is_over = False
        self.held: deque[tuple[float, bytes]] = deque()
        self.held_bytes = 0
        self.last_due = 0.0

    def attach(
        self, stream: RelayedStream, other: StreamEnd, sender: int, receiver: int
    ) -> None:
        """Attach to a stream; data received here goes from sender to receiver."""
        self.stream = stream
        self.other = other
        self.sender = sender
        self.receiver = receiver

    def connectionMade(self) -> None:
        """Forward the data that was held for this end."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.stream.resume()

    def dataReceived(self, data: bytes) -> None:
        """Hold the data received at this end until it is due."""
        relay = self.stream.relay
        relay.sent["stream_octets"][self.sender] += len(data)
        link = relay.link(self.sender, self.receiver)
        due = time.monotonic() + link.draw_piece(relay.random)
        self.last_due = max(self.last_due, due)
        self.held.append((self.last_due, data))
        self.held_bytes += len(data)
        if self.held_bytes > MAX_HELD_BYTES:
            self.transport.pauseProducing()
        self.resume()

    def resume(self) -> None:
        """Forward the data that is due if the link and the other end are open."""
        now = time.monotonic()
        relay = self.stream.relay
        if not self.other.is_open or relay.link(self.sender, self.receiver).cut:
            return
        while self.held and self.held[0][0] <= now:
            data = self.held.popleft()[1]
            self.held_bytes -= len(data)
            self.other.transport.write(data)
        if self.is_over and not self.held:
            self.other.transport.loseConnection()
        elif self.is_open and self.held_bytes <= MAX_HELD_BYTES // 2:
            self.transport.resumeProducing()
        if self.held and self.held[0][0] - now < self.RESUME_INTERVAL:
            relay.reactor.callLater(self.held[0][0] - now, self.resume)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End this side; the other end is closed after all held data is forwarded."""
        self.is_over = True
        if self.is_open:
            self.is_open = False
            self.resume()
        if self.other.is_over:
            self.stream.relay.streams.discard(self.stream)


class StreamFactory(Factory):
    """Supplies the stream end for an accepted or a dialled connection.

    Args:
        make: Returns the end for a peer's address; None refuses the connection.
        on_failed: Called if the connection attempt fails.
    """

    noisy = False

    def __init__(
        self,
        make: Callable[[IAddress | None], StreamEnd | None],
        on_failed: Callable[[], None] = lambda: None,
    ) -> None:
        self.make = make
        self.on_failed = on_failed

    def buildProtocol(self, addr: IAddress | None) -> StreamEnd | None:
        """Return the end of a new connection."""
        return self.make(addr)

    def startedConnecting(self, connector: Any) -> None:  # noqa: N802
        """Do nothing; Twisted requires this method."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report that the connection attempt failed."""
        self.on_failed()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Do nothing; the stream end handles the loss."""
