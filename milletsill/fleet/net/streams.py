"""Longer words: a TCP door for what others tell, and one stream to each member that is told something.

Each stream carries words one way. What is told to one member goes in order over one stream; a new stream begins anew, and what
waited for the old one is lost.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from milletsill.fleet.frames.codec import Frames, FrameTooLong, framed
from milletsill.fleet.net.stream_state import (
    DIAL,
    IDLE,
    MOST_IN,
    MOST_OUT,
    MOST_WAITING,
    STUCK,
    Line,
    Sign,
    due,
    step,
)


def patient(transport: Any) -> None:
    """No delay for small words; the kernel ends a stream whose octets nobody confirms."""
    transport.setTcpNoDelay(True)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        transport.getHandle().setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STUCK // 10
        )


class Ear(Protocol):
    """One stream from another gateway."""

    def __init__(self, door: Door) -> None:
        self.door, self.frames, self.since = door, Frames(), door.now()

    def connectionMade(self) -> None:
        if len(self.door.ears) >= MOST_IN:
            return self.transport.abortConnection()
        self.door.ears.add(self)
        self.transport.setTcpKeepAlive(True)

    def dataReceived(self, data: bytes) -> None:
        self.since = self.door.now()
        try:
            for frame in self.frames.feed(data):
                self.door.heard(frame)
        except FrameTooLong as error:
            self.door.refused(error)
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.door.ears.discard(self)


class Door(Factory):
    """Streams from others, bounded in number and by silence. `refused` hears of one that says what cannot be a frame."""

    noisy = False

    def __init__(
        self,
        now: Callable[[], int],
        heard: Callable[[bytes], None],
        refused: Callable[[FrameTooLong], None],
    ) -> None:
        self.now, self.heard, self.refused = now, heard, refused
        self.ears: set[Ear] = set()

    def buildProtocol(self, addr: Any) -> Ear:
        return Ear(self)

    def look(self) -> None:
        for ear in [each for each in self.ears if self.now() - each.since > 3 * IDLE]:
            ear.transport.abortConnection()

    def close(self) -> None:
        for ear in list(self.ears):
            ear.transport.abortConnection()


class Mouth(Protocol):
    """One stream to another gateway, which says nothing on it."""

    def __init__(self, streams: Streams, address: str) -> None:
        self.streams, self.address, self.line = streams, address, Line.DIALING
        self.waiting, self.octets, self.since = deque[bytes](), 0, streams.now()
        self.dial: Any = None

    def connectionMade(self) -> None:
        if self.line is not Line.DIALING:
            return self.transport.abortConnection()
        patient(self.transport)
        self.transport.registerProducer(self, True)
        self.sign(Sign.UP)

    def connectionLost(self, reason: Any = None) -> None:
        self.sign(Sign.LOST)

    def pauseProducing(self) -> None:
        self.sign(Sign.FULL)

    def resumeProducing(self) -> None:
        self.sign(Sign.DRAINED)

    def stopProducing(self) -> None: ...

    def say(self, data: bytes) -> bool:
        """False where it rests, or too much waits."""
        if (
            self.line in (Line.RESTING, Line.CLOSED)
            or self.octets + len(data) > MOST_WAITING
        ):
            return False
        self.waiting.append(data)
        self.octets += len(data)
        if self.line is Line.OPEN:
            self.flush()
        return True

    def flush(self) -> None:
        self.since = self.streams.now()
        while (
            self.waiting and self.line is Line.OPEN
        ):  # a write may fill the socket's buffer
            data = self.waiting.popleft()
            self.octets -= len(data)
            self.transport.write(data)

    def sign(self, sign: Sign) -> None:
        """Read the table and act."""
        self.line, effect = step(self.line, sign)
        if effect == "flush":
            self.flush()
        elif effect in ("rest", "stuck"):
            self.since = self.streams.now()
        if effect in ("rest", "cut", "close", "forget"):
            self.waiting.clear()
            self.octets = 0
        if effect in ("cut", "close", "forget"):
            self.streams.held.pop(self.address, None)
            if self.transport is not None:
                self.transport.loseConnection() if effect == "close" else self.transport.abortConnection()
            elif self.dial is not None:
                self.dial.cancel()


class Streams:
    """Streams to others by address. They leave from the host part of this gateway's own address, so that whoever stands between
    can tell who speaks.
    """

    def __init__(self, reactor: Any, now: Callable[[], int], host: str) -> None:
        self.reactor, self.now, self.host = reactor, now, host
        self.held: dict[str, Mouth] = {}

    def say(self, address: str, data: bytes) -> bool:
        """Whether it can be tried."""
        mouth = self.held.get(address)
        if mouth is None:
            if len(self.held) >= MOST_OUT:
                return False
            mouth = self.dial(address)
        return mouth.say(framed(data))

    def dial(self, address: str) -> Mouth:
        mouth = self.held[address] = Mouth(self, address)
        host, _, port = address.rpartition(":")
        factory = Factory.forProtocol(lambda: mouth)
        factory.noisy = False
        bind = None if self.host in ("", "0.0.0.0") else (self.host, 0)
        mouth.dial = TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=DIAL / 10_000, bindAddress=bind
        ).connect(factory)
        mouth.dial.addErrback(lambda failure: mouth.sign(Sign.UNREACHED))
        return mouth

    def look(self) -> None:
        """Now and then: what time has ended."""
        for mouth in list(self.held.values()):
            sign = due(mouth.line, self.now(), mouth.since)
            if sign is not None:
                mouth.sign(sign)

    def away(self, address: str) -> None:
        """Whoever was there is gone."""
        mouth = self.held.get(address)
        if mouth is not None:
            mouth.sign(Sign.AWAY)

    def waiting(self) -> int:
        return sum(each.octets for each in self.held.values())

    def close(self) -> None:
        for address in list(self.held):
            self.away(address)
