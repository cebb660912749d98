"""Twisted's own transports on sockets and a clock of the test's own.

What a hunt of crossings plays on.

`Reactor` is Twisted's epoll reactor, its poller, sockets and clock put into `World`. So
the order of timers, reads and writes within a turn, half-closes, aborts and producers
are Twisted's. All that chance decides is drawn from the world's one stream.
"""

import errno
import heapq
from random import Random
from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT

from twisted.internet import tcp
from twisted.internet.epollreactor import EPollReactor

SECOND = 1_000_000  # the world's time is in microseconds
GATEWAY = ("127.0.0.1", 7000)
RUNS = 20_000  # at least between two stalls


class Sock:
    """The gateway's end of one connection, and the system's part of it.

    `agent` is the other end: `heard(data)` and `ended(reset)` reach it a little later,
    unless it takes nothing.
    """

    def __init__(self, world, agent=None, window=1 << 20):
        self.world, self.agent, self.window = world, agent, window
        self.fd = world.next_fd = world.next_fd + 1
        world.socks[self.fd] = self
        self.inbox, self.queue = (
            bytearray(),
            bytearray(),
        )  # unread by the gateway; unread by the agent
        self.fin = self.rst = self.shut = self.closed = self.lingers = False
        self.error, self.up = 0, agent is not None  # of a dial
        self.where = None
        self.came = self.read = self.sent = (
            0  # octets from the agent, read by the gateway, written by it
        )
        self.told_end = self.taking = False
        self.accepted_at = 0
        # what the watch hears with the first octet that is written next: (offset, call)
        self.begun = []

    # The gateway's side, as a socket has it.

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
        if self.where is None:
            self.where = address
            return self.world.dialled(self) or errno.EINPROGRESS
        return errno.EISCONN if self.up else errno.EALREADY

    def recv(self, most):
        if self.inbox:
            data = bytes(self.inbox[:most])
            del self.inbox[:most]
            self.read += len(data)
            self.world.watch.was_read(self)
            return data
        if self.rst:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if self.fin:
            return b""
        raise BlockingIOError(errno.EWOULDBLOCK, "nothing")

    def send(self, data):
        if self.rst or self.shut:
            raise BrokenPipeError(errno.EPIPE, "pipe")
        data = bytes(data[: self.window - len(self.queue)])
        if not data:
            raise BlockingIOError(errno.EWOULDBLOCK, "full")
        self.sent += len(data)
        while self.begun and self.begun[0][0] < self.sent:
            self.begun.pop(0)[1]()
        if self.agent is None or self.agent.away:
            self.reset()  # nobody is there any more
            return len(data)
        self.queue += data
        self.deliver()
        return len(data)

    def shutdown(self, how):
        if self.rst:
            raise OSError(errno.ENOTCONN, "not connected")
        if not self.shut:
            self.shut = True
            self.world.watch.our_end(self)
            self.deliver()

    def close(self):
        if self.closed:
            return
        self.closed = True
        del self.world.socks[self.fd]
        if self.agent is None:
            return
        self.world.watch.our_end(self)
        if self.lingers or self.inbox:
            self.queue.clear()
            self.end(True)
        else:
            self.shut = True
            self.deliver()

    def mask(self):
        """What a poll would say."""
        if not self.up:
            return EPOLLERR | EPOLLHUP | EPOLLIN | EPOLLOUT if self.error else 0
        mask = EPOLLIN * bool(self.inbox or self.fin or self.rst)
        if self.rst:
            return mask | EPOLLERR | EPOLLHUP | EPOLLOUT
        mask |= EPOLLOUT * (len(self.queue) < self.window and not self.shut)
        return mask | EPOLLHUP * (self.fin and self.shut)

    # The other side.

    def deliver(self):
        """The agent takes what is here, in a moment."""
        if not self.taking:
            self.taking = True
            self.world.later(self.world.chance.randrange(20, 400), self.taken)

    def taken(self, most=1 << 30):
        self.taking = False
        if self.agent is None or self.agent.away or self.agent.takes_nothing:
            return
        data = bytes(self.queue[:most])
        del self.queue[:most]
        if data:
            self.agent.heard(data)
        if self.shut and not self.queue:
            self.end(False)

    def end(self, reset):
        if not self.told_end and self.agent is not None:
            self.told_end = True
            self.world.later(
                self.world.chance.randrange(20, 400),
                lambda: self.agent.away or self.agent.ended(reset),
            )

    def put(self, data):
        """The agent sends: the gateway can read it at once."""
        if self.closed or self.rst:
            self.end(True)
        elif not self.fin:
            self.inbox += data
            self.came += len(data)

    def finish(self):
        """The agent closes its side."""
        self.fin = True

    def reset(self, keeps=False):
        """The agent's reset, with or without what had come before."""
        if not self.rst:
            self.rst = True
            self.queue.clear()
            if not keeps and self.world.chance.random() < 0.5:
                self.inbox.clear()


class Listener(Sock):
    """The door's socket; `backlog` are connections that nobody has accepted."""

    def __init__(self, world):
        super().__init__(world)
        self.backlog = []

    def bind(self, address):
        pass

    def listen(self, backlog):
        self.world.door = self

    def accept(self):
        if not self.backlog:
            raise BlockingIOError(errno.EWOULDBLOCK, "nobody")
        sock = self.backlog.pop(0)
        sock.accepted_at = self.world.time
        return sock, sock.getpeername()

    def mask(self):
        return EPOLLIN * bool(self.backlog)

    def close(self):
        waiting, self.backlog = self.backlog, []
        super().close()
        for each in waiting:
            each.lingers = True
            each.close()


class Server(tcp.Server):
    """A client's connection."""

    def write(self, data):
        if self.connected and not self.disconnecting:
            self.reactor.world.watch.answered(self.socket, bytes(data))
        super().write(data)


class Port(tcp.Port):
    transport = Server

    def createInternetSocket(self):
        return Listener(self.reactor.world)


class Dialled(tcp.Client):
    """A link to a node, or a call to discovery."""

    def createInternetSocket(self):
        return Sock(self.connector.reactor.world)

    def write(self, data):
        if self.connected and not self.disconnecting and not self._aborting:
            self.reactor.world.watch.began(self.socket, bytes(data))
        super().write(data)


class Connector(tcp.Connector):
    def _makeTransport(self):
        return Dialled(self.host, self.port, self.bindAddress, self, self.reactor)


class Poller:
    """Stands in for epoll: what lies in the sockets, in an order that chance gives."""

    def __init__(self, world):
        self.world, self.wanted = world, {}

    def register(self, fd, flags):
        self.wanted[fd] = flags

    modify = register

    def unregister(self, fd):
        self.wanted.pop(fd, None)

    def ready(self):
        found = []
        for fd, flags in self.wanted.items():
            sock = self.world.socks.get(fd)
            mask = (
                sock.mask() & (flags | EPOLLERR | EPOLLHUP) if sock is not None else 0
            )
            if mask:
                found.append((fd, mask))
        return found

    def poll(self, timeout, most):
        found = self.ready()
        self.world.chance.shuffle(found)
        self.world.polled()
        return found


class Reactor(EPollReactor):
    def __init__(self, world):
        self.world, self.asked = world, 0
        super().__init__()
        self._poller.close()
        self._poller = Poller(world)

    def seconds(self):
        """Never the same twice, as of a real clock.

        Calls for the next turn keep their order.
        """
        self.asked += 1
        return self.world.time / SECOND + self.asked * 1e-10

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

    def shut(self):
        """Leave nothing of the real system's open."""
        self.waker.connectionLost(None)


class World:
    """Time, what happens in it, and the turns of the gateway's reactor."""

    def __init__(self, seed, watch):
        self.time, self.chance, self.watch = (
            100 * SECOND,
            Random(f"{seed} world"),
            watch,
        )
        self.socks, self.events, self.count, self.door, self.next_fd = (
            {},
            [],
            0,
            None,
            1000,
        )
        self.fates, self.early, self.node_window = (
            {},
            False,
            1 << 20,
        )  # what nodes do, by request
        self.looked = False  # whether it has looked and not acted yet
        self.polls = []  # when the gateway looked at its sockets
        self.cues = {}  # what waits for something to happen: name -> calls
        self.stalls = []  # (from, to, where)
        self.stalling = []  # (where, span), to come
        self.exited = False
        self.dialled = lambda sock: (
            errno.ECONNREFUSED
        )  # who lives at an address: the site says
        self.reactor = Reactor(self)

    # What happens in the world.

    def at(self, time, call):
        self.count += 1
        heapq.heappush(self.events, (max(time, self.time), self.count, call))

    def later(self, span, call):
        self.at(self.time + span, call)

    def when(self, cue, span, call):
        """So long after something happens for the first time."""
        self.cues.setdefault(cue, []).append((span, call))

    def cue(self, name):
        for span, call in self.cues.pop(name, ()):
            self.later(span, call)

    def pass_time(self, to):
        """The world goes on without the gateway."""
        while self.events and self.events[0][0] <= to:
            at, _, call = heapq.heappop(self.events)
            self.time = max(self.time, at)
            call()
        self.time = max(self.time, to)

    # The gateway's turns.

    def stall(self, where, span):
        """The next time the process is there.

        Not right behind another, which would be one long one in two places.
        """
        if not self.stalling and (
            not self.stalls or self.time - self.stalls[-1][1] > RUNS
        ):
            self.stalling.append((where, span))

    def stand(self, where):
        """The process stands still here, if it is to."""
        for each in [one for one in self.stalling if one[0] == where]:
            began = self.time
            self.pass_time(began + each[1])
            self.stalling.remove(each)
            self.stalls.append((began, self.time, where))

    def polled(self):
        self.polls.append(self.time)
        self.looked = True
        self.stand("collected")
        self.looked = False

    def turn(self, until):
        """One turn of the reactor, after a sleep if nothing is to be done."""
        reactor, poller = self.reactor, self.reactor._poller
        self.stand("timers")
        reactor.runUntilCurrent()
        self.pass_time(self.time + self.chance.choice((0, 0, 20, 60, 300)))
        self.stand("poll")
        while not (
            poller.ready()
            or reactor.threadCallQueue
            or self.time >= until
            or self.stalling
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
            self.turn(until)

    def exit(self):
        """The process ends: the system closes what it leaves."""
        self.exited = True
        for sock in list(self.socks.values()):
            sock.close()

    def shut(self):
        for sock in list(self.socks.values()):
            sock.agent = None
            sock.close()
        self.reactor.shut()
