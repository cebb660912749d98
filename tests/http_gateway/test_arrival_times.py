"""A client's time runs from the arrival of its request, wherever it waited unread.

It may wait in the accept queue, in the socket during a stall of the process, or behind
the client's own open request. The tests use loopback sockets and a clock of their own.
"""

import re
import socket
import unittest

from milletsill.http_gateway.accept_queue import AcceptQueueClock
from milletsill.http_gateway.client_listener import (
    MAX_ACCEPTS_PER_TURN,
    MAX_QUEUE_TIME,
    QUEUE_TIMEOUT,
)
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS
from tests.support.http_gateway_rig import TXN, Loopback, req

LIVE = b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
LATE = 0.5 + 0.05  # seconds after the client's time when a request counts as lost


class ArrivalRig(Loopback):
    def connect(self, *data):
        """Return a client that the gateway need not have accepted yet."""
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(("127.0.0.1", self.port))
        self.sockets.append(client)
        for each in data:
            client.sendall(each)
        return client

    def serve_node(self):
        """Answer what has reached the node; return the times that it was told, in ms."""
        self.node.setblocking(False)
        told = []
        while True:
            try:
                link = self.node.accept()[0]
            except BlockingIOError:
                break
            link.setblocking(False)
            self.sockets.append(link)
            self.links.append(link)
        for link in self.links:
            found = re.findall(rb"X-Remaining-Ms: (\d+)", self.got(link)[0])
            told += map(int, found)
            if found:
                link.sendall(ANSWER * len(found))
        return told

    def setUp(self):
        super().setUp()
        self.links = []

    def play(self, client, seconds):
        """Pass time until the client has an answer; return it, its end and the wait."""
        began = self.time
        data, how, told = b"", "open", []
        while not data and how == "open" and self.time < began + seconds:
            self.pass_time(0.02)
            told += self.serve_node()
            self.turn()
            piece, how = self.got(client)
            data += piece
        return data, how, self.time - began, told


class AcceptQueue(ArrivalRig):
    changed = {"limits": {"sockets": 64, "memory_mb": 64}}

    def fill(self, count, data):
        """Fill the share with clients that have sent something, and pause."""
        clients = [self.client(data) for _ in range(count)]
        self.turn()
        return clients

    # Guards against requests that wait unread behind clients that stopped in a request.
    def test_clients_that_stop_in_a_request_hold_up_no_request_of_others(self):
        limit = self.gateway.listener.max_connections
        stopped = self.fill(limit, req()[:60])
        stopped += [self.connect(req()[:60]) for _ in range(3 * limit)]
        self.assertTrue(self.gateway.listener.paused)
        for number in range(10):
            client = self.connect(req(TXN + number, X_Remaining_Ms="480"))
            data, _, waited, _ = self.play(client, 3.0)
            self.assertLess(waited, 0.48 + LATE)
            self.assertRegex(data, rb"\AHTTP/1.1 (200|503) ")
            stopped.append(self.connect(req()[:60]))

    # Guards against requests that wait unread behind clients that rest.
    def test_clients_between_requests_hold_up_no_request_of_others(self):
        limit = self.gateway.listener.max_connections
        idle = []
        for number in range(limit):
            idle.append(self.client(req(TXN + 100 + number)))
            self.play(idle[-1], 1.0)
        self.assertTrue(self.gateway.listener.paused)
        for number in range(5):
            client = self.connect(req(TXN + number, X_Remaining_Ms="480"))
            data, _, waited, told = self.play(client, 3.0)
            self.assertIn(b" 200 ", data)
            self.assertLess(waited, QUEUE_TIMEOUT / 10_000 + 0.1)
            self.assertLessEqual(max(told), 480 - int(waited * 1000) + 60)
            client.close()
        self.assertEqual([self.got(each)[1] for each in idle], ["open"] * limit)

    def test_a_request_that_is_too_late_when_accepted_is_refused_and_not_forwarded(
        self,
    ):
        limit = self.gateway.listener.max_connections
        idle = []
        for number in range(limit):
            idle.append(self.client(req(TXN + 100 + number)))
            self.play(idle[-1], 1.0)
        client = self.connect(req(X_Remaining_Ms="150"))
        data, _, waited, told = self.play(client, 3.0)
        self.assertEqual((data[:12], told), (b"HTTP/1.1 503", []))
        self.assertLess(waited, 0.15 + LATE)

    def test_clients_are_shut_unread_once_the_spare_descriptors_are_in_use(self):
        limit = self.gateway.listener.max_connections
        long = "60000"
        busy = [
            self.connect(req(TXN + 100 + number, X_Remaining_Ms=long))
            for number in range(limit + SPARE_CLIENTS)
        ]
        self.pass_time(0.5)
        self.assertEqual(len(self.gateway.listener.connections), len(busy))
        client = self.connect(req(X_Remaining_Ms="480"))
        sent = self.gateway.report.counts["dispatch", "0"]
        began = self.time
        while self.got(client)[1] == "open" and self.time < began + 3:
            self.pass_time(0.02)
        self.assertLess(self.time - began, MAX_QUEUE_TIME / 10_000 + 0.1)
        self.assertEqual(self.gateway.report.counts["dispatch", "0"], sent)

    def test_few_connections_are_accepted_in_one_turn(self):
        self.changed = {"limits": {"sockets": 1024, "memory_mb": 64}}
        self.restart()
        for _ in range(100):
            self.connect()
        most = before = 0
        for _ in range(20):
            self.reactor.iterate(0)
            accepted = len(self.gateway.listener.connections)
            most = max(most, accepted - before)
            before = accepted
        self.assertEqual(before, 100)
        self.assertLessEqual(most, MAX_ACCEPTS_PER_TURN)


class Stalls(ArrivalRig):
    STALL = 0.8

    # Guards against answers that are late by the length of a stall of the process.
    def test_a_request_that_came_during_a_stall_has_only_the_rest_of_its_time(self):
        for connected in (True, False):
            with self.subTest(connected=connected):
                self.restart()
                if connected:
                    client = self.client()
                    client.sendall(req(X_Remaining_Ms="950"))
                    self.wait_for_input()
                else:
                    client = self.connect(req(X_Remaining_Ms="950"))
                self.time += self.STALL
                self.turn(6)
                told = self.serve_node()
                self.assertEqual(len(told), 1)
                self.assertLessEqual(told[0], 150)

    def test_a_request_whose_time_passed_in_a_stall_is_refused_at_once(self):
        client = self.client()
        client.sendall(req(X_Remaining_Ms="700"))
        self.wait_for_input()
        self.time += self.STALL
        self.turn(6)
        self.assertEqual(self.got(client)[0][:12], b"HTTP/1.1 503")
        self.assertEqual(self.serve_node(), [])

    def test_a_request_after_a_stall_has_its_whole_time(self):
        self.time += self.STALL
        self.turn(6)
        client = self.client()
        client.sendall(req(X_Remaining_Ms="380"))
        self.until(self.links_or_told)
        self.assertGreater(self.told[0], 350)

    def links_or_told(self):
        self.told = self.serve_node()
        return self.told


class Pipelined(ArrivalRig):
    # Guards against late answers to requests that waited behind an open one.
    def test_a_pipelined_request_has_only_the_rest_of_its_time(self):
        client = self.client(req(TXN))
        node_socket = self.accept()
        short = {"X_Remaining_Ms": "390"}
        client.sendall(req(TXN + 1, **short) + req(TXN + 2, **short))
        self.turn()
        self.pass_time(0.1)
        client.sendall(req(TXN + 3, **short))
        self.turn()
        self.pass_time(0.1)
        told = []
        node_socket.sendall(ANSWER)
        self.links.append(node_socket)
        while len(told) < 3:
            self.turn()
            told += self.serve_node()
        self.assertEqual([each // 50 for each in told], [3, 3, 5])  # 390 less the wait


class AcceptQueueClockTests(unittest.TestCase):
    def test_the_earliest_arrival_is_the_last_time_when_the_queue_was_empty(self):
        clock = AcceptQueueClock(3)
        self.assertEqual(clock.earliest_arrival(100), 100)
        clock.on_pause(200)
        self.assertEqual(clock.earliest_arrival(500), 200)
        clock.on_left(600, 2, 200)
        self.assertEqual(clock.earliest_arrival(600), 200)
        clock.on_empty(700, 1, True)
        self.assertEqual(clock.earliest_arrival(900), 700)
        clock.on_empty(900, 0, False)
        self.assertEqual(clock.earliest_arrival(950), 950)

    def test_a_queue_of_limited_length_bounds_the_wait_under_a_steady_load(self):
        clock = AcceptQueueClock(30)
        for now in range(0, 1000, 10):
            clock.on_left(now, 3, now)
            self.assertLessEqual(now - clock.earliest_arrival(now), 110)
            self.assertLessEqual(len(clock.marks), 11)


if __name__ == "__main__":
    unittest.main()
