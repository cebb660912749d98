"""Shared fixtures of the tests of races between discovery and the gateway.

The test controls discovery's end of each loopback connection. It turns the reactor and
advances the clock itself, so a busy machine does not change the result.
"""

import json
import socket
import struct
import unittest
from contextlib import suppress

from twisted.internet.selectreactor import SelectReactor

from milletsill.http_gateway.endpoint_watcher import EndpointWatcher, WatcherConfig
from milletsill.interface import EndpointUpdateKind
from tests.support.http_gateway_rig import NODE

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
CHECK_INTERVAL = 1_000  # ticks of 0.1 ms between two calls of EndpointWatcher.check
# Real time in which a step of the sockets must happen. A wait ends as soon as the step
# has happened.
WAIT_TIMEOUT_S = 30.0


def list_line(version, whole=False, **changed):
    text = (
        json.dumps(
            {"version": version, "full": whole, "servers": [NODE | changed]}
        ).encode()
        + b"\n"
    )
    return b"%x\r\n%s\r\n" % (len(text), text)


class Discovery:
    """One address of discovery; the test decides when a call is accepted."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.ends = []

    def close(self):
        for each in (self.listener, *self.ends):
            each.close()


class WatcherTest(unittest.TestCase):
    """Base of tests with an EndpointWatcher on a reactor and clock that they control."""

    def setUp(self):
        self.reactor = SelectReactor()
        self.reactor.startRunning(installSignalHandlers=False)
        self.clock, self.updates, self.log, self.due = 0, [], [], []
        self.reactor.callLater = self.later
        self.server = self.discovery()
        self.watcher = EndpointWatcher(
            self.reactor,
            lambda: self.clock,
            WatcherConfig(self.server.address, ["z"], 0),
            self.on_endpoints,
            self.log.append,
            lambda least, most: most,
        )

    def tearDown(self):
        self.watcher.stop()
        self.turn(3)
        for each in self.reactor.removeAll():
            each.connectionLost(None)

    def restart(self):
        """Replace the watcher and discovery within one test."""
        self.tearDown()
        self.setUp()

    def discovery(self):
        made = Discovery()
        self.addCleanup(made.close)
        return made

    def on_endpoints(self, kind, entries):
        self.updates.append(
            (kind, *(each.endpoint.readiness.value for each in entries))
        )

    def later(self, span, call, *values, **named):
        """Replace callLater: timers fire when the test advances the clock."""
        timer = Timer(self.clock + span * 10_000, lambda: call(*values, **named))
        self.due.append(timer)
        return timer

    def turn(self, times=1):
        """Process socket events, then timers that are due."""
        for _ in range(times):
            self.reactor.doIteration(0.01)
            for each in [one for one in self.due if one.at <= self.clock]:
                self.due.remove(each)
                each.run()

    def until(self, holds):
        """Turn the reactor until `holds()` is true; the clock stands still."""
        for _ in range(int(WAIT_TIMEOUT_S / 0.01)):
            if holds():
                return
            self.turn()
        self.fail(f"condition not met: updates {self.updates}, log {self.log}")

    def advance(self, span):
        """Advance the clock in steps of CHECK_INTERVAL, with a check after each."""
        for _ in range(int(span) // CHECK_INTERVAL):
            self.clock += CHECK_INTERVAL
            self.watcher.check()
            self.turn()

    def accept_watch(self, server=None):
        """Accept the next call and read it whole; return its socket and version."""
        server = server or self.server
        server.listener.settimeout(WAIT_TIMEOUT_S)
        self.until(
            lambda: (
                (watch := self.watcher.watch) is not None
                and watch.version >= 0
                and watch.transport is not None
            )
        )
        end, _ = server.listener.accept()
        server.ends.append(end)
        end.settimeout(WAIT_TIMEOUT_S)
        got = b""
        while not got.endswith(b"\r\n\r\n"):
            self.turn()
            got += self.peek(end)
        return end, int(got.split(b"from=")[1].split()[0])

    def peek(self, end):
        end.setblocking(False)
        try:
            return end.recv(4096)
        except BlockingIOError:
            return b""
        finally:
            end.setblocking(True)

    def accept_parallel(self, server=None):
        """Accept the parallel call that the watcher makes beside its current call."""
        server = server or self.server
        server.listener.settimeout(WAIT_TIMEOUT_S)
        self.until(
            lambda: (
                self.watcher.parallel is not None
                and self.watcher.parallel.transport is not None
            )
        )
        end, _ = server.listener.accept()
        server.ends.append(end)
        return end

    def has_pending_call(self, server=None):
        """Accept a pending call, if any; return whether there was one."""
        self.turn(3)
        (server or self.server).listener.settimeout(0)
        with suppress(BlockingIOError):
            self.server.ends.append((server or self.server).listener.accept()[0])
            return True
        return False

    def wait_until_closed(self, end):
        """Wait until the gateway closes its end of a connection."""
        end.setblocking(False)
        closed = []

        def is_closed():
            with suppress(BlockingIOError):
                try:
                    closed.append(not end.recv(4096))
                except ConnectionError:
                    closed.append(True)
            return closed and closed[-1]

        self.until(is_closed)

    def open_watch(self):
        """Open a watch and deliver its first list; return discovery's socket."""
        self.watcher.request_watch()
        end, _ = self.accept_watch()
        end.sendall(HEAD + list_line(7, True))
        self.until(lambda: self.updates)
        return end

    def failure_count(self):
        return [each[0] for each in self.updates].count(EndpointUpdateKind.FAILED)

    def reset(self, end):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        end.close()


class Timer:
    """One delayed call."""

    def __init__(self, at, run):
        self.at, self.run, self.live = at, run, True

    def active(self):
        return self.live

    def cancel(self):
        self.live, self.run = False, lambda: None

    def reset(self, span):
        pass
