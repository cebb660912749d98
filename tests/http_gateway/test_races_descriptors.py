"""Descriptors at their edge.

What clients, discovery and links are owed there, on loopback sockets.
"""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from contextlib import suppress
from dataclasses import replace

from milletsill.http_gateway.client_connection_state import (
    IDLE_TIMEOUT_WHEN_SHORT,
    ClientState,
)
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS
from tests.support.http_gateway_rig import (
    CONFIG,
    NODE,
    TXN,
    Loopback,
    node_stand_in,
    req,
)

READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
LIVE = b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class Share(Loopback):
    changed = {"limits": {"sockets": 64, "memory_mb": 64}}

    def burst(self, count, *data):
        """So many at the door before the gateway has a turn."""
        for _ in range(count):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
            self.sockets.append(one)
            for each in data:
                one.sendall(each)

    def test_a_burst_in_the_first_round_stays_within_the_share_and_closes_nobody(self):
        self.burst(150)
        self.reactor.iterate(0)
        self.assertLessEqual(
            len(self.gateway.listener.connections),
            self.gateway.listener.max_connections + SPARE_CLIENTS,
        )
        self.assertEqual(
            self.gateway.report.counts["refused", "no descriptor for a client"], 0
        )
        self.pass_time(1.0)
        self.assertEqual(
            self.gateway.report.counts["refused", "no descriptor for a client"], 0
        )

    def test_hundreds_that_say_nothing_go_and_usual_clients_beside_them_are_served(
        self,
    ):
        """One that stands, without the clock moving.

        And one that waits before the door behind them all.
        """
        usual = self.client(req())
        link = self.accept()
        self.burst(300)
        self.turn(10)
        self.assertTrue(self.gateway.listener.paused)
        late = socket.socket()
        late.setblocking(False)
        late.connect_ex(("127.0.0.1", self.port))
        self.sockets.append(late)
        late.sendall(READY)
        for number in range(3):
            link.sendall(ANSWER)
            self.until(
                lambda: self.got(usual)[0].endswith(b"hi"),
                "the usual client is not served",
            )
            usual.sendall(req(TXN + 1 + number))
            self.until(lambda: b"X-Txn" in self.got(link)[0])
        began, data = self.time, b""
        while not data and self.time < began + 6:
            self.pass_time(0.05)
            data = self.got(late)[0]
        self.assertIn(b" 200 ", data)
        self.assertLess(self.time - began, 4.0)  # 301 before it, eight at a time
        self.assertEqual(
            self.gateway.report.counts["refused", "no descriptor for a client"], 0
        )

    def test_who_makes_way_is_read_first(self):
        """The share is full of clients whose requests are here.

        The process stood still for longer than a silent one may stay.
        """
        most = self.gateway.listener.max_connections
        self.burst(most, READY)
        self.until(lambda: self.gateway.listener.paused)
        young = [
            each
            for each in self.gateway.listener.connections
            if not each.reader.has_partial_message and each.state.name == "NEW"
        ]
        self.time += 0.06
        self.turn()
        self.assertEqual(len(young), most, "read before the process stood still")
        answered = sum(b" 200 " in self.got(each)[0] for each in self.sockets[2:])
        self.assertEqual(answered, most)

    def test_a_full_share_leaves_room_for_discovery_a_link_and_health(self):
        self.listener.close()  # discovery is down
        self.gateway.watcher.watch.end("down")
        resting = [
            self.client(LIVE) for _ in range(self.gateway.listener.max_connections)
        ]
        self.burst(100)
        self.turn(10)
        self.assertTrue(self.gateway.listener.paused)
        moved = socket.create_server(("127.0.0.1", 0))
        self.sockets.append(moved)
        self.gateway.reload(
            replace(self.gateway.configuration, discovery=moved.getsockname())
        )
        self.turn(5)
        moved.setblocking(False)
        moved.accept()[0].close()  # the call is there, with nobody gone yet
        resting[0].sendall(req())
        link = self.accept()
        link.sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(resting[0])[0])
        for each in resting[1:]:
            self.got(each)
            each.sendall(READY)
        self.turn(5)
        self.assertTrue(all(b" 200 " in self.got(each)[0] for each in resting[1:]))
        late = socket.socket()
        late.setblocking(False)
        late.connect_ex(("127.0.0.1", self.port))
        self.sockets.append(late)
        late.sendall(READY)
        self.pass_time(4.0)
        self.assertIn(b" 200 ", self.got(late)[0])

    def descriptors(self):
        """Those of the gateway.

        The reactor's own, the door, clients, and whatever else is read or written.
        """
        return 1 + len(
            {
                self.gateway.port,
                *self.reactor.getReaders(),
                *self.reactor.getWriters(),
                *(each.transport for each in self.gateway.listener.connections),
            }
        )

    def test_idle_clients_up_to_the_share_leave_a_descriptor_for_the_call_at_discoverys_return(
        self,
    ):
        """They ask now and then, so none makes way.

        Each call that fails gives its descriptor back, and the next gets one.
        """
        for mode, within in (("on_request", 2.0), ("pushed", 0.6)):
            self.changed = Share.changed | {
                "settings": CONFIG["settings"] | {"membership_mode": mode}
            }
            self.restart()
            address = self.listener.getsockname()
            self.listener.close()
            self.gateway.watcher.watch.end("down")
            resting = [
                self.client(LIVE) for _ in range(self.gateway.listener.max_connections)
            ]
            self.turn(5)
            for each in self.gateway.listener.connections:
                # as behind a transfer; one that only asked for health makes way as a
                # silent one does
                each.state = ClientState.IDLE
            self.burst(100)
            held = []
            for _ in range(6):
                self.pass_time(1.0)
                self.assertTrue(self.gateway.listener.paused, mode)
                held.append(self.descriptors())
                for each in resting:
                    self.assertIn(b" 200 ", self.got(each)[0], mode)
                    each.sendall(LIVE)
            self.assertGreaterEqual(
                min(held), self.gateway.listener.max_connections, mode
            )
            self.assertLessEqual(
                max(held), self.gateway.configuration.sockets - 4, mode
            )  # two calls, the old watch, the file
            back = socket.create_server(address)
            self.sockets.append(back)
            back.setblocking(False)
            self.pass_time(within)
            back.accept()[0].close()

    def test_too_many_and_too_late_are_told_when_to_come_back(self):
        one = self.client(req(X_Remaining_Ms="3"))
        self.until(lambda: self.gateway.report.counts["answer", "too late or too many"])
        self.turn()
        data, how = self.got(one)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "open"))
        self.assertIn(b"Retry-After: 1.500\r\n", data)

    def test_where_the_settings_tell_no_time_none_is_named(self):
        settings = CONFIG["settings"] | {
            "limits": CONFIG["settings"]["limits"] | {"retry_after": False}
        }
        self.changed = {"settings": settings}
        self.restart()
        one = self.client(req(X_Remaining_Ms="3"))
        self.until(lambda: self.gateway.report.counts["answer", "too late or too many"])
        self.turn()
        self.assertNotIn(b"Retry-After", self.got(one)[0])


class Spared(Loopback):
    """The share is full; somebody waits before the door.

    Who rests between requests, or takes a last answer, makes way after `SPARED`, not
    before, and has lost nothing.
    """

    changed = {"limits": {"sockets": 64, "memory_mb": 64}}
    SPAN = IDLE_TIMEOUT_WHEN_SHORT / 10_000

    def resting(self, count, link=None):
        """Clients that had a transfer's answer and rest, and the one link that carried all."""
        ones = []
        for number in range(count):
            ones.append(self.client(req(TXN + 100 + number)))
            if link is None:
                link = self.accept()
            else:
                self.carried(link)
            link.sendall(ANSWER)
            self.until(lambda: b" 200 " in self.got(ones[-1])[0], "not answered")
        return ones, link

    def carried(self, link):
        """A request has come on a link that stood idle."""
        text = bytearray()

        def come():
            with suppress(BlockingIOError):
                text.extend(link.recv(65_536))
            return b"X-Txn" in text

        self.until(come, "nothing came to the node")

    def before_the_door(self):
        late = socket.socket()
        late.setblocking(False)
        late.connect_ex(("127.0.0.1", self.port))
        self.sockets.append(late)
        late.sendall(READY)
        self.turn(5)
        self.assertTrue(self.gateway.listener.paused)
        return late

    def test_who_rests_between_requests_makes_way_after_its_span_and_not_before(self):
        resting, _ = self.resting(self.gateway.listener.max_connections)
        late = self.before_the_door()
        self.pass_time(self.SPAN - 0.1)
        self.assertEqual(
            [self.got(each) for each in [*resting, late]],
            [(b"", "open")] * (len(resting) + 1),
        )
        self.pass_time(0.2)
        self.assertEqual(
            [self.got(each) for each in resting],
            [(b"", "ended")] * len(resting),
            "no end in order",
        )
        for each in resting:
            each.close()
        self.until(lambda: b" 200 " in self.got(late)[0], "nobody made way")

    def test_who_asks_for_our_health_and_stays_makes_way_at_once(self):
        """Three times as many as have room, and more behind them.

        A usual client is served all the same, in good time.
        """
        for asks in (READY, LIVE):
            self.restart()
            crowd = [
                self.client(asks) for _ in range(self.gateway.listener.max_connections)
            ]
            self.turn()
            crowd += [
                self.before_the_door()
                for _ in range(2 * self.gateway.listener.max_connections)
            ]
            usual = socket.socket()
            usual.setblocking(False)
            usual.connect_ex(("127.0.0.1", self.port))
            self.sockets.append(usual)
            usual.sendall(req())
            self.pass_time(0.4)
            self.accept().sendall(ANSWER)
            self.until(
                lambda: b" 200 " in self.got(usual)[0], "a usual client is not served"
            )

    def test_a_request_unread_on_what_makes_way_is_read_first(self):
        """The process stood still for the whole span.

        The request came just before it was over.
        """
        resting, link = self.resting(self.gateway.listener.max_connections)
        self.before_the_door()
        resting[0].sendall(req())
        self.wait_for_input()
        self.time += self.SPAN + 0.01
        self.turn()
        self.carried(link)
        link.sendall(ANSWER)
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(resting[0])[0]) or data.endswith(b"hi"),
            "not answered",
        )
        self.assertEqual(data.count(b"HTTP/1.1 "), 1)
        self.assertEqual(
            [self.got(each)[1] for each in resting[1:]], ["ended"] * (len(resting) - 1)
        )

    def test_a_last_answer_that_is_being_taken_is_not_torn_before_it(self):
        for takes in (True, False):
            with self.subTest(takes=takes):
                self.restart()
                one = self.client(req(Connection="close"), window=4096)
                protocol = self.server_side()
                protocol.transport.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                link = self.accept()
                link.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"
                    + b"x" * 400_000
                )
                self.until(lambda: protocol.state.name == "CLOSING", "not answered")
                self.resting(self.gateway.listener.max_connections - 1, link)
                self.before_the_door()
                data = bytearray()
                for _ in range(4 * takes):
                    self.pass_time((self.SPAN - 0.1) / 4)
                    data.extend(one.recv(4096))
                if takes:
                    self.until(
                        lambda: (
                            data.extend(self.got(one)[0]) or data.count(b"x") == 400_000
                        ),
                        "the answer is torn",
                    )
                else:
                    self.pass_time(self.SPAN + 0.2)
                    self.assertEqual(
                        self.got(one)[1],
                        "reset",
                        "who takes nothing holds its descriptor",
                    )


class Whole(unittest.TestCase):
    def test_a_whole_process_at_its_limit_hears_sighup_finds_discovery_and_serves(self):
        limit = 64
        down, moved, door = (socket.create_server(("127.0.0.1", 0)) for _ in range(3))
        names = [each.getsockname()[1] for each in (down, moved, door)]
        down.close(), door.close()
        with tempfile.TemporaryDirectory() as folder, node_stand_in(b"1") as node:
            path = os.path.join(folder, "c.json")

            def write(discovery):
                with open(path, "w") as file:
                    json.dump(
                        CONFIG
                        | {
                            "listen": f"127.0.0.1:{names[2]}",
                            "discovery": f"127.0.0.1:{discovery}",
                            "limits": {"sockets": limit, "memory_mb": 64},
                            "known": {
                                "version": 1,
                                "full": True,
                                "servers": [NODE | {"addr": f"127.0.0.1:{node}"}],
                            },
                        },
                        file,
                    )

            write(names[0])
            with (
                open(os.path.join(folder, "log"), "w+b") as log,
                subprocess.Popen(
                    [sys.executable, "-m", "milletsill", "serve"],
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    env=os.environ | {"NODE_CONFIG": path},
                    preexec_fn=lambda: resource.setrlimit(
                        resource.RLIMIT_NOFILE, (limit, limit)
                    ),
                ) as process,
            ):
                silent = []
                try:
                    usual = self.reached(names[2])
                    usual.sendall(LIVE)
                    self.assertIn(b" 200 ", usual.recv(1000))
                    for _ in range(150):
                        silent.append(socket.socket())
                        silent[-1].setblocking(False)
                        silent[-1].connect_ex(("127.0.0.1", names[2]))
                    write(names[1])
                    process.send_signal(signal.SIGHUP)
                    moved.settimeout(5)
                    moved.accept()[0].close()
                    for each in (
                        req(X_Remaining_Ms="5000"),
                        READY,
                    ):  # on new connections: they wait before the door
                        other = self.reached(names[2])
                        other.sendall(each)
                        self.assertIn(b" 200 ", other.recv(1000))
                        other.close()
                    usual.close()
                finally:
                    for each in silent:
                        each.close()
                    process.kill()
                log.seek(0)
                text = log.read()
                self.assertTrue(
                    b"reloaded" in text
                    and b"Traceback" not in text
                    and b"EMFILE" not in text,
                    text[-2000:],
                )
        moved.close()

    def reached(self, port):
        for _ in range(100):
            with suppress(OSError):
                one = socket.create_connection(("127.0.0.1", port), 5)
                one.settimeout(5)
                return one
            time.sleep(0.1)
        self.fail("the gateway did not come up")


if __name__ == "__main__":
    unittest.main()
