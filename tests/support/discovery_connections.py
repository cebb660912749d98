"""Discovery's end of each connection in the test's hand, over loopback sockets.

What the tests of crossings there share. The test runs the reactor by hand and sets the
clock on itself, so a busy machine changes nothing.
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
BEAT = b"1\r\n\n\r\n"
LOOK = 1_000  # tenths of a millisecond between looks
# seconds of real time in which a step that the sockets owe has to come; none is waited
# for beyond its coming
PATIENT = 30.0


def said(version, whole=False, **changed):
    text = (
        json.dumps(
            {"version": version, "full": whole, "servers": [NODE | changed]}
        ).encode()
        + b"\n"
    )
    return b"%x\r\n%s\r\n" % (len(text), text)


class Discovery:
    """One address of discovery; calls are taken when the test says so."""

    def __init__(self):
        self.door = socket.create_server(("127.0.0.1", 0))
        self.address = self.door.getsockname()
        self.ends = []

    def close(self):
        for each in (self.door, *self.ends):
            each.close()


class Held(unittest.TestCase):
    """A follower whose reactor turns when the test says so, on the clock that the test sets on."""

    def setUp(self):
        self.reactor = SelectReactor()
        self.reactor.startRunning(installSignalHandlers=False)
        self.clock, self.told, self.log, self.due = 0, [], [], []
        self.reactor.callLater = self.later
        self.there = self.discovery()
        self.follower = EndpointWatcher(
            self.reactor,
            lambda: self.clock,
            WatcherConfig(self.there.address, ["z"], 0),
            self.hear,
            self.log.append,
            lambda least, most: most,
        )

    def tearDown(self):
        self.follower.stop()
        self.turn(3)
        for each in self.reactor.removeAll():
            each.connectionLost(None)

    def again(self):
        """The same from the start."""
        self.tearDown()
        self.setUp()

    def discovery(self):
        made = Discovery()
        self.addCleanup(made.close)
        return made

    def hear(self, kind, places):
        self.told.append((kind, *(each.endpoint.readiness.value for each in places)))

    def later(self, span, call, *values, **named):
        """The test's own timers: they come when the clock is set on."""
        timer = Timer(self.clock + span * 10_000, lambda: call(*values, **named))
        self.due.append(timer)
        return timer

    def turn(self, times=1):
        """What the sockets hold, and what is due."""
        for _ in range(times):
            self.reactor.doIteration(0.01)
            for each in [one for one in self.due if one.at <= self.clock]:
                self.due.remove(each)
                each.run()

    def until(self, holds):
        """The sockets' next step; the clock stands."""
        for _ in range(int(PATIENT / 0.01)):
            if holds():
                return
            self.turn()
        self.fail(f"it never came: told {self.told}, said {self.log}")

    def go(self, span):
        """The clock goes on by looks."""
        for _ in range(int(span) // LOOK):
            self.clock += LOOK
            self.follower.check()
            self.turn()

    def taken(self, there=None):
        """Discovery takes the next call and has read it whole."""
        there = there or self.there
        there.door.settimeout(PATIENT)
        self.until(
            lambda: (
                (watch := self.follower.watch) is not None
                and watch.version >= 0
                and watch.transport is not None
            )
        )
        end, _ = there.door.accept()
        there.ends.append(end)
        end.settimeout(PATIENT)
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

    def second(self, there=None):
        """Discovery takes the call that is made beside one."""
        there = there or self.there
        there.door.settimeout(PATIENT)
        self.until(
            lambda: (
                self.follower.parallel is not None
                and self.follower.parallel.transport is not None
            )
        )
        end, _ = there.door.accept()
        there.ends.append(end)
        return end

    def called(self, there=None):
        """Whether a call waits at discovery's door."""
        self.turn(3)
        (there or self.there).door.settimeout(0)
        with suppress(BlockingIOError):
            self.there.ends.append((there or self.there).door.accept()[0])
            return True
        return False

    def over(self, end):
        """Our end of it is closed."""
        end.setblocking(False)
        gone = []

        def looked():
            with suppress(BlockingIOError):
                try:
                    gone.append(not end.recv(4096))
                except ConnectionError:
                    gone.append(True)
            return gone and gone[-1]

        self.until(looked)

    def standing(self):
        """A watch that has spoken."""
        self.follower.request_watch()
        end, _ = self.taken()
        end.sendall(HEAD + said(7, True))
        self.until(lambda: self.told)
        return end

    def failed(self):
        return [each[0] for each in self.told].count(EndpointUpdateKind.FAILED)

    def reset(self, end):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        end.close()


class Timer:
    """One call that is due."""

    def __init__(self, at, run):
        self.at, self.run, self.live = at, run, True

    def active(self):
        return self.live

    def cancel(self):
        self.live, self.run = False, lambda: None

    def reset(self, span):
        pass
