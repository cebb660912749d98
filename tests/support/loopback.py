"""Real loopback sockets under a reactor that the test turns.

The test decides when the reactor polls, so that it can provoke a given race.
"""

import socket
import time

from twisted.internet.epollreactor import EPollReactor

WAIT_TIMEOUT_S = 10.0  # generous, so that a busy machine does not fail a test


def create_listener(backlog=16):
    """Return a non-blocking listening socket on a free loopback port."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


class LoopbackReactor:
    """A Twisted reactor that runs only when the test turns it.

    `turn` runs a number of turns, `until` runs turns until a condition holds.
    """

    def __init__(self):
        self.reactor = EPollReactor()
        self.accepted: list[socket.socket] = []

    def now(self):
        return int(time.monotonic() * 10_000)

    def turn(self, times=1):
        for _ in range(times):
            self.reactor.iterate(0)

    def until(self, holds, what="condition not met in time"):
        """Turn the reactor until `holds()` is true; return its value."""
        ends = time.monotonic() + WAIT_TIMEOUT_S
        while not (found := holds()):
            if time.monotonic() > ends:
                raise AssertionError(what)
            self.reactor.iterate(0.005)
        return found

    def accept(self, listener):
        """Return the next connection that arrives at a listener."""
        found = self.until(
            lambda: accept(listener), "no connection arrives at the listener"
        )
        found.setblocking(False)
        self.accepted.append(found)
        return found

    def read(self, sock, enough=lambda data: True):
        """Return the received bytes once there are some and `enough` accepts them."""
        data = bytearray()

        def more():
            data.extend(receive(sock) or b"")
            return data and enough(bytes(data))

        self.until(more, "too few bytes arrive")
        return bytes(data)

    def close(self):
        """Close all sockets and cancel all delayed calls."""
        self.turn(3)
        for each in self.reactor.getDelayedCalls():
            each.cancel()
        for each in self.reactor.removeAll():
            if getattr(each, "socket", None) is not None:
                each.socket.close()
        for each in self.accepted:
            each.close()
        self.reactor.waker.connectionLost(None)
        self.reactor._poller.close()  # there is no public way to close it


def accept(listener):
    """Return the next pending connection of a listener, or None."""
    try:
        return listener.accept()[0]
    except BlockingIOError:
        return None


def receive(sock):
    """Return a socket's unread bytes: None if there are none, b"" at end or reset."""
    try:
        return sock.recv(1 << 20)
    except BlockingIOError:
        return None
    except ConnectionError:
        return b""
