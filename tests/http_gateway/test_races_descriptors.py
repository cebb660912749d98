"""The gateway at its descriptor limit, on loopback sockets.

Clients, discovery calls and node connections keep their shares there.
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
from milletsill.http_gateway.client_listener import QUEUE_TIMEOUT
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS
from tests.http_gateway.test_races_shutdown import settings_with_client_timeout
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


class DescriptorShare(Loopback):
    changed = {"limits": {"sockets": 64, "memory_mb": 64}}

    def burst(self, count, *data):
        """Open `count` connections before the gateway's reactor runs."""
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", self.port))
            self.sockets.append(client)
            for each in data:
                client.sendall(each)

    def test_a_burst_stays_within_the_share_and_no_client_is_closed(self):
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

    def test_hundreds_of_silent_clients_are_closed_and_normal_ones_served(self):
        """A connected client is served without advancing the clock.

        A client behind all of them in the accept queue is served in time.
        """
        normal = self.client(req())
        node_socket = self.accept()
        self.burst(300)
        self.turn(10)
        self.assertTrue(self.gateway.listener.paused)
        queued = socket.socket()
        queued.setblocking(False)
        queued.connect_ex(("127.0.0.1", self.port))
        self.sockets.append(queued)
        queued.sendall(READY)
        for number in range(3):
            node_socket.sendall(ANSWER)
            self.until(
                lambda: self.got(normal)[0].endswith(b"hi"),
                "the normal client is not served",
            )
            normal.sendall(req(TXN + 1 + number))
            self.until(lambda: b"X-Txn" in self.got(node_socket)[0])
        began, data = self.time, b""
        while not data and self.time < began + 6:
            self.pass_time(0.05)
            data = self.got(queued)[0]
        self.assertIn(b" 200 ", data)
        self.assertLess(self.time - began, 4.0)  # 301 before it, eight at a time
        self.assertEqual(
            self.gateway.report.counts["refused", "no descriptor for a client"], 0
        )

    def test_a_connection_is_read_before_it_is_closed_to_free_its_descriptor(self):
        """The share is full of clients whose requests have arrived but are unread.

        The process stalls for longer than a silent client may stay.
        """
        limit = self.gateway.listener.max_connections
        self.burst(limit, READY)
        self.until(lambda: self.gateway.listener.paused)
        new_clients = [
            each
            for each in self.gateway.listener.connections
            if not each.has_partial_request and each.state.name == "NEW"
        ]
        self.time += 0.06
        self.turn()
        self.assertEqual(len(new_clients), limit, "requests were read before the stall")
        answered = sum(b" 200 " in self.got(each)[0] for each in self.sockets[2:])
        self.assertEqual(answered, limit)

    def test_a_full_share_leaves_room_for_discovery_a_node_and_health(self):
        self.listener.close()  # discovery is down
        self.gateway.watcher.watch.end("down")
        idle = [self.client(LIVE) for _ in range(self.gateway.listener.max_connections)]
        self.burst(100)
        self.turn(10)
        self.assertTrue(self.gateway.listener.paused)
        new = socket.create_server(("127.0.0.1", 0))
        self.sockets.append(new)
        self.gateway.reload(
            replace(self.gateway.configuration, discovery=new.getsockname())
        )
        self.turn(5)
        new.setblocking(False)
        new.accept()[0].close()  # the call arrives before any client has left
        idle[0].sendall(req())
        node_socket = self.accept()
        node_socket.sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(idle[0])[0])
        for each in idle[1:]:
            self.got(each)
            each.sendall(READY)
        self.turn(5)
        self.assertTrue(all(b" 200 " in self.got(each)[0] for each in idle[1:]))
        queued = socket.socket()
        queued.setblocking(False)
        queued.connect_ex(("127.0.0.1", self.port))
        self.sockets.append(queued)
        queued.sendall(READY)
        self.pass_time(4.0)
        self.assertIn(b" 200 ", self.got(queued)[0])

    def open_descriptors(self):
        """Count the gateway's descriptors.

        They are the reactor's own, the listener's, the clients' and all others in use.
        """
        return 1 + len(
            {
                self.gateway.port,
                *self.reactor.getReaders(),
                *self.reactor.getWriters(),
                *(each.transport for each in self.gateway.listener.connections),
            }
        )

    def test_a_full_share_of_idle_clients_leaves_a_descriptor_for_discovery(self):
        """The clients send requests now and then, so none is closed.

        Each failed call releases its descriptor for the next one.
        """
        for mode, within in (("on_request", 2.0), ("pushed", 0.6)):
            self.changed = DescriptorShare.changed | {
                "settings": CONFIG["settings"] | {"membership_mode": mode}
            }
            self.restart()
            address = self.listener.getsockname()
            self.listener.close()
            self.gateway.watcher.watch.end("down")
            idle = [
                self.client(LIVE) for _ in range(self.gateway.listener.max_connections)
            ]
            self.turn(5)
            for each in self.gateway.listener.connections:
                # The state after a request. A client that only asked for health would
                # be closed like a silent one.
                each.state = ClientState.IDLE
            self.burst(100)
            counts = []
            for _ in range(6):
                self.pass_time(1.0)
                self.assertTrue(self.gateway.listener.paused, mode)
                counts.append(self.open_descriptors())
                for each in idle:
                    self.assertIn(b" 200 ", self.got(each)[0], mode)
                    each.sendall(LIVE)
            self.assertGreaterEqual(
                min(counts), self.gateway.listener.max_connections, mode
            )
            self.assertLessEqual(
                max(counts), self.gateway.configuration.sockets - 4, mode
            )  # two discovery calls, the old watch, the endpoint cache file
            returned = socket.create_server(address)
            self.sockets.append(returned)
            returned.setblocking(False)
            self.pass_time(within)
            returned.accept()[0].close()

    def test_a_rejection_for_overload_or_lateness_names_a_retry_after(self):
        client = self.client(req(X_Remaining_Ms="3"))
        self.until(lambda: self.gateway.report.counts["answer", "too late or too many"])
        self.turn()
        data, how = self.got(client)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "open"))
        self.assertIn(b"Retry-After: 1.500\r\n", data)

    def test_retry_after_is_left_out_where_the_settings_say_so(self):
        settings = CONFIG["settings"] | {
            "limits": CONFIG["settings"]["limits"] | {"retry_after": False}
        }
        self.changed = {"settings": settings}
        self.restart()
        client = self.client(req(X_Remaining_Ms="3"))
        self.until(lambda: self.gateway.report.counts["answer", "too late or too many"])
        self.turn()
        self.assertNotIn(b"Retry-After", self.got(client)[0])


class ClosedForDescriptors(Loopback):
    """The share is full and another client waits in the accept queue.

    A client that is idle between requests, or reads its last answer, is closed after
    `IDLE_SECONDS` and not before, and loses nothing.
    """

    changed = {"limits": {"sockets": 64, "memory_mb": 64}}
    IDLE_SECONDS = IDLE_TIMEOUT_WHEN_SHORT / 10_000

    def idle_clients(self, count, node_socket=None):
        """Return idle clients with an answered request, and their node connection."""
        clients = []
        for number in range(count):
            clients.append(self.client(req(TXN + 100 + number)))
            if node_socket is None:
                node_socket = self.accept()
            else:
                self.await_request(node_socket)
            node_socket.sendall(ANSWER)
            self.until(lambda: b" 200 " in self.got(clients[-1])[0], "no answer")
        return clients, node_socket

    def await_request(self, node_socket):
        """Wait until a request arrives on an idle node connection."""
        data = bytearray()

        def arrived():
            with suppress(BlockingIOError):
                data.extend(node_socket.recv(65_536))
            return b"X-Txn" in data

        self.until(arrived, "no request reached the node")

    def queued_client(self):
        queued = socket.socket()
        queued.setblocking(False)
        queued.connect_ex(("127.0.0.1", self.port))
        self.sockets.append(queued)
        queued.sendall(READY)
        self.turn(5)
        self.assertTrue(self.gateway.listener.paused)
        return queued

    def test_an_idle_client_is_closed_after_its_timeout_and_not_before(self):
        idle, _ = self.idle_clients(self.gateway.listener.max_connections)
        queued = self.queued_client()
        self.pass_time(QUEUE_TIMEOUT / 10_000 + 0.1)
        self.assertIn(b" 200 ", self.got(queued)[0], "it still waits in the queue")
        self.pass_time(self.IDLE_SECONDS - QUEUE_TIMEOUT / 10_000 - 0.2)
        self.assertEqual([self.got(each) for each in idle], [(b"", "open")] * len(idle))
        self.pass_time(0.2)
        self.assertEqual(
            [self.got(each) for each in idle],
            [(b"", "ended")] * len(idle),
            "the idle clients were not closed in order",
        )
        for each in idle:
            each.close()
        self.until(lambda: not self.gateway.listener.paused, "no client was closed")

    def test_a_client_that_stays_after_a_health_check_is_closed_at_once(self):
        """Three times as many health checks as the share has room for stay connected.

        A normal client behind them is still served in time.
        """
        for request in (READY, LIVE):
            self.restart()
            health_clients = [
                self.client(request)
                for _ in range(self.gateway.listener.max_connections)
            ]
            self.turn()
            health_clients += [
                self.queued_client()
                for _ in range(2 * self.gateway.listener.max_connections)
            ]
            normal = socket.socket()
            normal.setblocking(False)
            normal.connect_ex(("127.0.0.1", self.port))
            self.sockets.append(normal)
            normal.sendall(req())
            self.pass_time(0.4)
            self.accept().sendall(ANSWER)
            self.until(
                lambda: b" 200 " in self.got(normal)[0], "a normal client is not served"
            )

    def test_an_unread_request_on_an_idle_connection_is_read_before_the_close(self):
        """The process stalls for the whole idle timeout.

        The request arrives just before the timeout expires; its client waits for longer
        than the stall.
        """
        settings = settings_with_client_timeout(60.0)
        self.changed = ClosedForDescriptors.changed | {"settings": settings}
        self.restart()
        idle, node_socket = self.idle_clients(self.gateway.listener.max_connections)
        self.queued_client()
        idle[0].sendall(req(X_Remaining_Ms="60000"))
        self.wait_for_input()
        self.time += self.IDLE_SECONDS + 0.01
        self.turn()
        self.await_request(node_socket)
        node_socket.sendall(ANSWER)
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(idle[0])[0]) or data.endswith(b"hi"),
            "no answer",
        )
        self.assertEqual(data.count(b"HTTP/1.1 "), 1)
        self.assertEqual(
            [self.got(each)[1] for each in idle[1:]],
            ["ended"] * (len(idle) - 1),
        )

    def test_a_last_answer_that_is_being_read_is_not_cut_before_the_timeout(self):
        for reads in (True, False):
            with self.subTest(reads=reads):
                self.restart()
                client = self.client(req(Connection="close"), window=4096)
                protocol = self.server_side()
                protocol.transport.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                node_socket = self.accept()
                node_socket.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"
                    + b"x" * 400_000
                )
                self.until(lambda: protocol.state.name == "CLOSING", "no answer")
                self.idle_clients(
                    self.gateway.listener.max_connections - 1, node_socket
                )
                self.queued_client()
                data = bytearray()
                for _ in range(4 * reads):
                    self.pass_time((self.IDLE_SECONDS - 0.1) / 4)
                    data.extend(client.recv(4096))
                if reads:
                    self.until(
                        lambda: (
                            data.extend(self.got(client)[0])
                            or data.count(b"x") == 400_000
                        ),
                        "the answer is cut",
                    )
                else:
                    self.pass_time(self.IDLE_SECONDS + 0.2)
                    self.assertEqual(
                        self.got(client)[1],
                        "reset",
                        "a client that reads nothing is still connected",
                    )


class GatewayProcess(unittest.TestCase):
    def test_a_process_at_its_limit_handles_sighup_calls_discovery_and_serves(self):
        limit = 64
        old, new, gateway = (socket.create_server(("127.0.0.1", 0)) for _ in range(3))
        ports = [each.getsockname()[1] for each in (old, new, gateway)]
        old.close(), gateway.close()
        with tempfile.TemporaryDirectory() as folder, node_stand_in(b"1") as node:
            path = os.path.join(folder, "c.json")

            def write(discovery):
                with open(path, "w") as file:
                    json.dump(
                        CONFIG
                        | {
                            "listen": f"127.0.0.1:{ports[2]}",
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

            write(ports[0])
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
                    normal = self.connect(ports[2])
                    normal.sendall(LIVE)
                    self.assertIn(b" 200 ", normal.recv(1000))
                    for _ in range(150):
                        silent.append(socket.socket())
                        silent[-1].setblocking(False)
                        silent[-1].connect_ex(("127.0.0.1", ports[2]))
                    write(ports[1])
                    process.send_signal(signal.SIGHUP)
                    new.settimeout(5)
                    new.accept()[0].close()
                    for each in (
                        req(X_Remaining_Ms="5000"),
                        READY,
                    ):  # on new connections, which wait in the accept queue
                        client = self.connect(ports[2])
                        client.sendall(each)
                        self.assertIn(b" 200 ", client.recv(1000))
                        client.close()
                    normal.close()
                finally:
                    for each in silent:
                        each.close()
                    process.kill()
                log.seek(0)
                data = log.read()
                self.assertTrue(
                    b"reloaded" in data
                    and b"Traceback" not in data
                    and b"EMFILE" not in data,
                    data[-2000:],
                )
        new.close()

    def connect(self, port):
        for _ in range(100):
            with suppress(OSError):
                client = socket.create_connection(("127.0.0.1", port), 5)
                client.settimeout(5)
                return client
            time.sleep(0.1)
        self.fail("the gateway did not come up")


if __name__ == "__main__":
    unittest.main()
