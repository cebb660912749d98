"""Twisted's transports on simulated sockets and a simulated clock.

The search for races runs the gateway on them. `Reactor` is Twisted's epoll reactor with
the poller, sockets and clock of `Simulation`. The order of timers, reads and writes
within a turn, half-closes, aborts and producers are therefore Twisted's. All random
decisions come from the simulation's one random generator.
"""

import errno
import heapq
from random import Random
from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT

from twisted.internet import tcp
from twisted.internet.epollreactor import EPollReactor

SECOND = 1_000_000  # simulated time is in microseconds
GATEWAY = ("127.0.0.1", 7000)
MIN_RUN_US = 20_000  # minimum time between two stalls


class SimulatedSocket:
    """The gateway's end of one connection, with the kernel's buffers.

    `peer` is the other end: its `on_data(data)` and `on_end(reset)` are called a little
    later, unless it has stopped reading.
    """

    def __init__(self, sim, peer=None, window=1 << 20):
        self.sim, self.peer, self.window = sim, peer, window
        self.fd = sim.next_fd = sim.next_fd + 1
        sim.sockets[self.fd] = self
        # unread by the gateway; unread by the peer
        self.inbox, self.outbox = bytearray(), bytearray()
        self.fin = self.rst = self.write_closed = self.closed = self.lingers = False
        self.error, self.up = 0, peer is not None  # of the connect
        self.address = None
        # from the peer; of these, read by the gateway; written by the gateway
        self.received = self.bytes_read = self.written = 0
        self.end_signalled = self.delivery_pending = False
        self.accepted_at = 0
        # (offset, call): the call runs once the byte at the offset is written
        self.write_marks = []

    # The gateway's side: the methods of a socket.

    def fileno(self):
        return -1 if self.closed else self.fd

    def setblocking(self, blocking):
        pass

    def setsockopt(self, level, option, value):
        self.lingers = self.lingers or isinstance(value, bytes)

    def getsockopt(self, level, option):
        return self.error

    def getsockname(self):
        return GATEWAY

    def getpeername(self):
        return ("127.0.0.1", 50_000 + self.fd)

    def connect_ex(self, address):
        if self.address is None:
            self.address = address
            return self.sim.on_connect(self) or errno.EINPROGRESS
        return errno.EISCONN if self.up else errno.EALREADY

    def recv(self, most):
        if self.inbox:
            data = bytes(self.inbox[:most])
            del self.inbox[:most]
            self.bytes_read += len(data)
            self.sim.observer.on_read(self)
            return data
        if self.rst:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if self.fin:
            return b""
        raise BlockingIOError(errno.EWOULDBLOCK, "nothing")

    def send(self, data):
        if self.rst or self.write_closed:
            raise BrokenPipeError(errno.EPIPE, "pipe")
        data = bytes(data[: self.window - len(self.outbox)])
        if not data:
            raise BlockingIOError(errno.EWOULDBLOCK, "full")
        self.written += len(data)
        while self.write_marks and self.write_marks[0][0] < self.written:
            self.write_marks.pop(0)[1]()
        if self.peer is None or self.peer.gone:
            self.peer_reset()  # the peer is gone
            return len(data)
        self.outbox += data
        self.deliver()
        return len(data)

    def shutdown(self, how):
        if self.rst:
            raise OSError(errno.ENOTCONN, "not connected")
        if not self.write_closed:
            self.write_closed = True
            self.sim.observer.on_gateway_end(self)
            self.deliver()

    def close(self):
        if self.closed:
            return
        self.closed = True
        del self.sim.sockets[self.fd]
        if self.peer is None:
            return
        self.sim.observer.on_gateway_end(self)
        if self.lingers or self.inbox:
            self.outbox.clear()
            self.signal_end(True)
        else:
            self.write_closed = True
            self.deliver()

    def mask(self):
        """Return the event mask that epoll would report."""
        if not self.up:
            return EPOLLERR | EPOLLHUP | EPOLLIN | EPOLLOUT if self.error else 0
        mask = EPOLLIN * bool(self.inbox or self.fin or self.rst)
        if self.rst:
            return mask | EPOLLERR | EPOLLHUP | EPOLLOUT
        mask |= EPOLLOUT * (len(self.outbox) < self.window and not self.write_closed)
        return mask | EPOLLHUP * (self.fin and self.write_closed)

    # The peer's side.

    def deliver(self):
        """Schedule the delivery of written data to the peer."""
        if not self.delivery_pending:
            self.delivery_pending = True
            self.sim.later(self.sim.rng.randrange(20, 400), self.deliver_now)

    def deliver_now(self, most=1 << 30):
        self.delivery_pending = False
        if self.peer is None or self.peer.gone or self.peer.stopped_reading:
            return
        data = bytes(self.outbox[:most])
        del self.outbox[:most]
        if data:
            self.peer.on_data(data)
        if self.write_closed and not self.outbox:
            self.signal_end(False)

    def signal_end(self, reset):
        if not self.end_signalled and self.peer is not None:
            self.end_signalled = True
            self.sim.later(
                self.sim.rng.randrange(20, 400),
                lambda: self.peer.gone or self.peer.on_end(reset),
            )

    def feed(self, data):
        """Send data from the peer; the gateway can read it at once."""
        if self.closed or self.rst:
            self.signal_end(True)
        elif not self.fin:
            self.inbox += data
            self.received += len(data)

    def peer_close(self):
        """Close the peer's side."""
        self.fin = True

    def peer_reset(self, keeps=False):
        """Reset from the peer; unread data survives if `keeps`, else at random."""
        if not self.rst:
            self.rst = True
            self.outbox.clear()
            if not keeps and self.sim.rng.random() < 0.5:
                self.inbox.clear()


class Listener(SimulatedSocket):
    """The listening socket; `backlog` holds connections that are not accepted yet."""

    def __init__(self, sim):
        super().__init__(sim)
        self.backlog = []

    def bind(self, address):
        pass

    def listen(self, backlog):
        self.sim.listener = self

    def accept(self):
        if not self.backlog:
            raise BlockingIOError(errno.EWOULDBLOCK, "nobody")
        sock = self.backlog.pop(0)
        sock.accepted_at = self.sim.time
        return sock, sock.getpeername()

    def mask(self):
        return EPOLLIN * bool(self.backlog)

    def close(self):
        waiting, self.backlog = self.backlog, []
        super().close()
        for each in waiting:
            each.lingers = True
            each.close()


class ClientConnection(tcp.Server):
    """A client's connection; reports what the gateway writes to the observer."""

    def write(self, data):
        if self.connected and not self.disconnecting:
            self.reactor.sim.observer.on_client_write(self.socket, bytes(data))
        super().write(data)


class Port(tcp.Port):
    transport = ClientConnection

    def createInternetSocket(self):
        return Listener(self.reactor.sim)


class OutboundConnection(tcp.Client):
    """A connection to a node or discovery; reports writes to the observer."""

    def createInternetSocket(self):
        return SimulatedSocket(self.connector.reactor.sim)

    def write(self, data):
        if self.connected and not self.disconnecting and not self._aborting:
            self.reactor.sim.observer.on_node_write(self.socket, bytes(data))
        super().write(data)


class Connector(tcp.Connector):
    def _makeTransport(self):
        return OutboundConnection(
            self.host, self.port, self.bindAddress, self, self.reactor
        )


class Poller:
    """Replaces epoll: reports the ready sockets in random order."""

    def __init__(self, sim):
        self.sim, self.wanted = sim, {}

    def register(self, fd, flags):
        self.wanted[fd] = flags

    modify = register

    def unregister(self, fd):
        self.wanted.pop(fd, None)

    def ready(self):
        found = []
        for fd, flags in self.wanted.items():
            sock = self.sim.sockets.get(fd)
            mask = (
                sock.mask() & (flags | EPOLLERR | EPOLLHUP) if sock is not None else 0
            )
            if mask:
                found.append((fd, mask))
        return found

    def poll(self, timeout, most):
        found = self.ready()
        self.sim.rng.shuffle(found)
        self.sim.on_poll()
        return found


class Reactor(EPollReactor):
    def __init__(self, sim):
        self.sim, self.clock_reads = sim, 0
        super().__init__()
        self._poller.close()
        self._poller = Poller(sim)

    def seconds(self):
        """Return the time, never the same twice, like a real clock.

        Calls for the next turn thus keep their order.
        """
        self.clock_reads += 1
        return self.sim.time / SECOND + self.clock_reads * 1e-10

    def wakeUp(self):
        pass

    def listenTCP(self, port, factory, backlog=50, interface=""):
        made = Port(port, factory, backlog, interface, self)
        made.startListening()
        return made

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        made = Connector(host, port, factory, timeout, bindAddress, self)
        made.connect()
        return made

    def close_all(self):
        """Close the real file descriptors of the reactor."""
        self.waker.connectionLost(None)


class Simulation:
    """Simulated time, its events, and the turns of the gateway's reactor."""

    def __init__(self, seed, observer):
        self.time, self.rng, self.observer = (
            100 * SECOND,
            Random(f"{seed} world"),
            observer,
        )
        self.sockets, self.events, self.count, self.listener, self.next_fd = (
            {},
            [],
            0,
            None,
            1000,
        )
        # by request: the node's action for each attempt
        self.node_actions, self.early, self.node_window = {}, False, 1 << 20
        self.poll_in_progress = False  # polled sockets, events not yet processed
        self.polls = []  # times at which the gateway polled its sockets
        self.signals = {}  # calls that wait for a signal, by its name
        self.stalls = []  # (from, to, where)
        self.pending_stalls = []  # (where, span)
        self.exited = False
        # replaced by the run, which knows the addresses
        self.on_connect = lambda sock: errno.ECONNREFUSED
        self.reactor = Reactor(self)

    # Simulated events.

    def at(self, time, call):
        self.count += 1
        heapq.heappush(self.events, (max(time, self.time), self.count, call))

    def later(self, span, call):
        self.at(self.time + span, call)

    def when(self, signal, span, call):
        """Schedule a call for `span` after the next occurrence of a signal."""
        self.signals.setdefault(signal, []).append((span, call))

    def signal(self, name):
        for span, call in self.signals.pop(name, ()):
            self.later(span, call)

    def pass_time(self, to):
        """Advance time and run events without turning the gateway's reactor."""
        while self.events and self.events[0][0] <= to:
            at, _, call = heapq.heappop(self.events)
            self.time = max(self.time, at)
            call()
        self.time = max(self.time, to)

    # The gateway's turns.

    def stall(self, where, span):
        """Stall the process the next time it is at `where`.

        A stall right after another is omitted: both would be one long stall.
        """
        if not self.pending_stalls and (
            not self.stalls or self.time - self.stalls[-1][1] > MIN_RUN_US
        ):
            self.pending_stalls.append((where, span))

    def apply_stall(self, where):
        """Stall the process if a stall is pending at `where`."""
        for each in [one for one in self.pending_stalls if one[0] == where]:
            began = self.time
            self.pass_time(began + each[1])
            self.pending_stalls.remove(each)
            self.stalls.append((began, self.time, where))

    def on_poll(self):
        self.polls.append(self.time)
        self.poll_in_progress = True
        self.apply_stall("collected")
        self.poll_in_progress = False

    def run_turn(self, until):
        """Run one turn of the reactor, after a sleep if nothing is ready."""
        reactor, poller = self.reactor, self.reactor._poller
        self.apply_stall("timers")
        reactor.runUntilCurrent()
        self.pass_time(self.time + self.rng.choice((0, 0, 20, 60, 300)))
        self.apply_stall("poll")
        while not (
            poller.ready()
            or reactor.threadCallQueue
            or self.time >= until
            or self.pending_stalls
            or self.exited
        ):
            timeout = reactor.timeout()
            wake = (
                until
                if timeout is None
                else min(self.time + -int(-timeout * SECOND // 1), until)
            )
            if wake <= self.time:
                break
            self.pass_time(min(wake, self.events[0][0]) if self.events else wake)
        reactor.doPoll(0)

    def run(self, until, done=lambda: False):
        while self.time < until and not self.exited and not done():
            self.run_turn(until)

    def exit(self):
        """End the process: the kernel closes its sockets."""
        self.exited = True
        for sock in list(self.sockets.values()):
            sock.close()

    def close_all(self):
        for sock in list(self.sockets.values()):
            sock.peer = None
            sock.close()
        self.reactor.close_all()
