"""Real sockets on the loopback, turned by hand.

The test says when the reactor looks, so that what is to cross does cross.
"""

import socket
import time

from twisted.internet.epollreactor import EPollReactor

LONGEST = 10.0  # seconds until a wait has failed, however busy the machine is


def listening(backlog=16):
    """A listening socket that never blocks."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


class Loop:
    """A reactor of the test's own.

    `until` turns it until something holds; `turn` once.
    """

    def __init__(self):
        self.reactor = EPollReactor()
        self.taken: list[socket.socket] = []

    def now(self):
        return int(time.monotonic() * 10_000)

    def turn(self, times=1):
        for _ in range(times):
            self.reactor.iterate(0)

    def until(self, holds, what="nothing came"):
        """The first true value of `holds`."""
        ends = time.monotonic() + LONGEST
        while not (found := holds()):
            if time.monotonic() > ends:
                raise AssertionError(what)
            self.reactor.iterate(0.005)
        return found

    def accepted(self, listener):
        """The next connection that comes to a listener."""
        found = self.until(lambda: accept(listener), "nobody dialled")
        found.setblocking(False)
        self.taken.append(found)
        return found

    def read(self, sock, enough=lambda data: True):
        """What comes until it is enough."""
        data = bytearray()

        def more():
            data.extend(receive(sock) or b"")
            return data and enough(bytes(data))

        self.until(more, "nothing to read")
        return bytes(data)

    def close(self):
        """Leave nothing open."""
        self.turn(3)
        for each in self.reactor.getDelayedCalls():
            each.cancel()
        for each in self.reactor.removeAll():
            if getattr(each, "socket", None) is not None:
                each.socket.close()
        for each in self.taken:
            each.close()
        self.reactor.waker.connectionLost(None)
        self.reactor._poller.close()  # it has no public end


def accept(listener):
    """A connection, or None."""
    try:
        return listener.accept()[0]
    except BlockingIOError:
        return None


def receive(sock):
    """What lies in a socket: None for nothing yet, b"" for the end or a reset."""
    try:
        return sock.recv(1 << 20)
    except BlockingIOError:
        return None
    except ConnectionError:
        return b""
