"""Shared fixtures of the HTTP gateway's tests.

A configuration, encoded requests, in-memory and loopback connections, a stand-in node.
"""

import select
import socket
import socketserver
import struct
import threading
import time
import unittest
from contextlib import contextmanager, suppress
from types import SimpleNamespace

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from milletsill.http_gateway.configuration import parse_configuration
from milletsill.http_gateway.gateway import HttpGateway

SETTINGS = {
    "peers_total": 2,
    "resolution_ns": 2_000_000,
    "membership_mode": "on_request",
    "zones": ["z"],
    "classes": [
        {
            "name": "get",
            "aim_ns": 400_000_000,
            "hard_limit_ns": 1_000_000_000,
            "worth": 1.0,
            "idempotency": "free",
            "group": "all",
            "window_ns": 5_000_000_000,
        },
        {
            "name": "put",
            "aim_ns": 400_000_000,
            "hard_limit_ns": 1_000_000_000,
            "worth": 1.0,
            "idempotency": "guarded",
            "group": "cell",
            "window_ns": 5_000_000_000,
        },
    ],
    "plans": [
        {
            "name": "gold",
            "usual_rate": 50.0,
            "guaranteed": 50.0,
            "pays": 1.0,
            "shares": 1.0,
        }
    ],
    "extra": {
        "writes": [False, True],
        "largest": 8,
        "slots_total": 4,
        "unit_mean": 2.0,
        "cold_bears": 10.0,
        "fair_worth": 0.4,
    },
    "limits": {
        "cancel": True,
        "second_copies": True,
        "max_attempts": 3,
        "retry_after": True,
        "most_held": 100,
        "max_retry_after_ns": 1_500_000_000,
        "conn_idle_ns": 30_000_000_000,
        "dial_timeout_ns": 250_000_000,
    },
    "rules": {
        "ask_within_ns": 10_000_000_000,
        "stop_sending_within_ns": 1_000_000_000,
        "fall_ns": 1_000_000_000,
    },
}
NODE = {
    "id": "s-1",
    "addr": "127.0.0.1:7070",
    "zone": "z",
    "kind": "m",
    "cell": 0,
    "state": "active",
    "weight": 1.0,
    "started_ms": 0,
}
CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:7000",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 256, "memory_mb": 64},
    "settings": SETTINGS,
    "known": {"version": 4, "full": True, "servers": [NODE]},
}
TXN = 0x9B1F03AA5C7E2D41


def req(txn=TXN, method="GET", name="get", body=b"", drop=(), **fields):
    """Return a client's request as bytes; `drop` names header fields to omit."""
    lines = {
        "Host": "api",
        "X-Txn": f"{txn:016x}",
        "X-Lane": name,
        "X-Plan": "gold",
        "Cookie": "block=7f3a9c21e0b4d655",
        "X-Remaining-Ms": "900",
        "X-IO": "volume=00000003b4d60021,units=2,shard=0,hosts=1",
    }
    lines.update({key.replace("_", "-"): value for key, value in fields.items()})
    if body:
        lines["Content-Length"] = str(len(body))
    head = "".join(
        f"{key}: {value}\r\n" for key, value in lines.items() if key not in drop
    )
    return f"{method} /{name} HTTP/1.1\r\n{head}\r\n".encode() + body


RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Pressure: inflight=7,queue=nan,util=0.5\r\n\r\nhi"


@contextmanager
def node_stand_in(body):
    """Run a node that answers each request with one octet after 30 ms; yield its port."""

    class Answer(socketserver.StreamRequestHandler):
        def handle(self):
            with suppress(ConnectionError):
                while self.rfile.readline(4000):
                    while self.rfile.readline(4000).strip():
                        pass
                    time.sleep(0.03)
                    self.wfile.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body
                    )

    class Server(socketserver.ThreadingTCPServer):
        daemon_threads = allow_reuse_address = True

    with Server(("127.0.0.1", 0), Answer) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        try:
            yield server.server_address[1]
        finally:
            server.shutdown()


class MemoryTransport(StringTransport):
    """An in-memory connection from a client or to a node."""

    def __init__(self):
        super().__init__()
        self.half_closed = self.aborted = False

    def write(self, data):
        super().write(data)
        if self.producer is not None and not self.streaming:  # all data is written
            self.producer.resumeProducing()

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return SimpleNamespace(shutdown=lambda how: None)

    def doRead(self):
        """Read nothing: there is no unread data."""

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        self.protocol = producer

    def loseWriteConnection(self):
        self.half_closed = True
        self.protocol.writeConnectionLost()  # as Twisted does once all data is written

    def abortConnection(self):
        self.aborted = self.disconnecting = True


class Reactor(MemoryReactorClock):
    """Keeps outbound connects pending in `tcpClients` until a test completes them."""

    def connect(self, at=-1):
        host, port, factory = self.tcpClients[at][:3]
        protocol, wire = factory.buildProtocol(None), MemoryTransport()
        protocol.makeConnection(wire)
        self.advance(0)  # a waiting attempt begins in the next reactor turn
        return protocol, wire


class MemoryTest(unittest.TestCase):
    """Base of tests whose gateway has an in-memory listener and node connections.

    Attributes:
        reuse_delay: how long node connections rest after a response. Tests whose clock
            stands still would wait for it for ever.
    """

    reuse_delay = 0

    def setUp(self):
        self.reactor, self.log = Reactor(), []
        self.reactor.advance(100)
        logger = SimpleNamespace(
            info=lambda event, **values: self.log.append((event, values)),
            warning=lambda event, **values: self.log.append((event, values)),
        )
        self.gateway = HttpGateway(self.deployment(), self.reactor, self.now, 0, logger)
        self.gateway.node_pools.reuse_delay = self.reuse_delay
        self.gateway.start()
        port = self.gateway.port
        port.pauseProducing = port.resumeProducing = port.doRead = lambda: None

    def now(self):
        return int(self.reactor.seconds() * 10_000 + 0.5)

    def deployment(self, **changed):
        return parse_configuration(CONFIG | changed, {}, 0, self.log.append)

    def client(self, *data):
        protocol, wire = self.gateway.listener.buildProtocol(None), MemoryTransport()
        protocol.makeConnection(wire)
        for each in data:
            protocol.dataReceived(each)
        self.reactor.advance(0)
        return protocol, wire

    def disconnect(self, protocol, clean=True):
        protocol.connectionLost(
            Failure(ConnectionDone() if clean else ConnectionLost())
        )

    def dials(self, port):
        """Return the indexes of the connects to a port."""
        return [
            index
            for index, each in enumerate(self.reactor.tcpClients)
            if each[1] == port
        ]

    def exchange(self, answer=RESPONSE, **kwargs):
        """Play a request and its answer; return both (protocol, transport) pairs."""
        client = self.client(req(**kwargs))
        node = self.reactor.connect(self.dials(7070)[-1])
        if answer:
            node[0].dataReceived(answer)
        return client, node


class Loopback(unittest.TestCase):
    """Base of tests whose gateway uses real loopback sockets.

    The reactor and clock move only when the test moves them. The test thus decides which
    data is unread in the kernel at each step, however busy the machine is.

    Attributes:
        changed: the parts of the configuration that the test changes.
        reuse_delay: as in `MemoryTest`.
    """

    changed = {}
    reuse_delay = 0

    def setUp(self):
        self.time, self.log, self.stop_times, self.reference_time = 1000.0, [], [], 0.0
        self.sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.node, self.listener = self.sockets
        self.reactor = EPollReactor()
        self.reactor.seconds = lambda: self.time
        logger = SimpleNamespace(
            info=lambda event, **values: self.log.append((event, values)),
            warning=lambda event, **values: self.log.append((event, values)),
        )
        self.port = self.free_port()
        given = (
            CONFIG
            | {
                "listen": f"127.0.0.1:{self.port}",
                "discovery": "127.0.0.1:%d" % self.listener.getsockname()[1],
                "known": {
                    "version": 4,
                    "full": True,
                    "servers": [
                        NODE | {"addr": "127.0.0.1:%d" % self.node.getsockname()[1]}
                    ],
                },
            }
            | self.changed
        )
        self.gateway = HttpGateway(
            parse_configuration(given, {}, 0, self.log.append),
            self.reactor,
            self.now,
            0,
            logger,
        )
        self.gateway.on_stopped = lambda: self.stop_times.append(self.time)
        self.gateway.node_pools.reuse_delay = self.reuse_delay
        self.gateway.start()
        self.turn()

    def tearDown(self):
        self.shut_down()

    def restart(self):
        """Replace the gateway and all sockets within one test."""
        self.shut_down()
        self.setUp()

    def free_port(self):
        with socket.create_server(("127.0.0.1", 0)) as one:
            return one.getsockname()[1]

    def shut_down(self):
        if not self.stop_times:
            self.gateway.stop()
        self.reactor.disconnectAll()
        self.turn()
        for each in self.sockets:
            each.close()

    def now(self):
        return int(self.time * 10_000 + 0.5)

    def turn(self, times=3):
        for _ in range(times):
            self.reactor.iterate(0)

    def until(self, true, what="condition not met within 2000 reactor turns"):
        """Turn the reactor until `true()` holds; the gateway's clock stands still."""
        for _ in range(2000):
            if true():
                return
            self.reactor.iterate(0)
            time.sleep(0.001)
        self.fail(what)

    def terminate(self):
        """Shut down as on SIGTERM; `advance_to` counts from here."""
        self.reference_time = self.time
        self.gateway.terminate()

    def advance_to(self, at, step=0.005):
        """Advance the clock in small steps to just after `at` s since `reference_time`."""
        while self.time < self.reference_time + at:
            self.time = min(self.time + step, self.reference_time + at + 1e-6)
            self.turn(2)

    def pass_time(self, seconds):
        self.reference_time = self.time
        self.advance_to(seconds, 0.02)

    def client(self, *data, window=None):
        """Return an accepted client socket; `window` limits its receive buffer."""
        one = socket.socket()
        if window:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        one.connect(("127.0.0.1", self.port))
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        one.setblocking(False)
        self.sockets.append(one)
        port = one.getsockname()[1]
        self.until(
            lambda: any(
                each.transport.getPeer().port == port
                for each in self.gateway.listener.connections
            ),
            "the gateway does not accept the client",
        )
        for each in data:
            one.sendall(each)
        return one

    def server_side(self):
        """Return the gateway's end of the newest client connection."""
        return list(self.gateway.listener.connections)[-1]

    def accept(self, count=1):
        """Return the node's end of a new connection once `count` requests arrived."""
        self.node.setblocking(False)
        link, text = [], b""

        def requests_arrived():
            nonlocal text
            if not link:
                with suppress(BlockingIOError):
                    link.append(self.node.accept()[0])
                    link[0].setblocking(False)
                    self.sockets.append(link[0])
            else:
                with suppress(BlockingIOError):
                    text += link[0].recv(65_536)
            return text.count(b"X-Txn") >= count

        self.until(requests_arrived, "the node receives too few requests")
        return link[0]

    def got(self, one, octets=1 << 20):
        """Return the bytes that have arrived at a socket and its state.

        The state is "open", "ended" or "reset".
        """
        data = b""
        while True:
            try:
                piece = one.recv(octets)
            except BlockingIOError:
                return data, "open"
            except ConnectionError:
                return data, "reset"
            if not piece:
                return data, "ended"
            data += piece

    def read_all(self, one):
        """Return all bytes until a connection closes, and whether it ended or reset."""
        data, how = b"", "open"

        def closed():
            nonlocal data, how
            piece, how = self.got(one)
            data += piece
            return how != "open"

        self.until(closed, "the connection stays open")
        return data, how

    def wait_for_input(self):
        """Wait until client data is in the kernel, without turning the reactor."""
        sockets = [each.transport.socket for each in self.gateway.listener.connections]
        return select.select(sockets, [], [], 2)[0]


def reset(one):
    """Close a socket with a TCP reset."""
    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    one.close()
