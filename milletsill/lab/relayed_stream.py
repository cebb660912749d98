"""A connection between two gateways through the stand-in network."""

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
from milletsill.lab.relay_addresses import inside, outside

MAX_HELD_BYTES = 1 << 20
"""Bytes of one end that wait before it is read no more."""
DIAL_TIMEOUT = 3.0
"""Seconds."""


class StreamRelay(Interface):
    """What a stream needs of its relay."""

    reactor: Any
    port: int
    random: Random
    streams: set[RelayedStream]
    sent: dict[str, list[int]]
    counts: dict[str, int]

    def link(self, sender: int, receiver: int) -> LinkCondition:
        """Return how a link fares now."""


class RelayedStream:
    """One connection from gateway to gateway: two ends and what lies between them."""

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
            inside(receiver),
            relay.port,
            StreamFactory(lambda peer: self.far, self.abort),
            timeout=DIAL_TIMEOUT,
            bindAddress=(outside(sender), 0),
        )

    def resume(self) -> None:
        """Hand over at both ends what may go on."""
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
    """One end of a stream: what it said waits here until it may reach the other.

    Attributes:
        is_open: Its connection stands.
        is_over: Its connection ended.
    """

    RESUME_INTERVAL = 0.02
    """Seconds between two looks at what a cut holds."""

    transport: Any = None  # set by Twisted; its type there lacks what TCP has
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
        """Make it an end of a stream; what it hears goes from sender to receiver."""
        self.stream = stream
        self.other = other
        self.sender = sender
        self.receiver = receiver

    def connectionMade(self) -> None:
        """Hand over what waited for this end."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.stream.resume()

    def dataReceived(self, data: bytes) -> None:
        """Hold what this end said until it is due."""
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
        """Hand over what is due, where the link and the other end are open."""
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
        """End what this side says; the other hears of it after all that was said."""
        self.is_over = True
        if self.is_open:
            self.is_open = False
            self.resume()
        if self.other.is_over:
            self.stream.relay.streams.discard(self.stream)


class StreamFactory(Factory):
    """Gives out the end of a stream for a connection that is taken or dialled.

    Args:
        make: Returns the end for a peer's address; None refuses the connection.
        on_failed: Called where a dial fails.
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
        """Begin to dial."""

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Tell that the dial failed."""
        self.on_failed()

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Leave it to the end itself."""
