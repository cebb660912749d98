"""The work that received input causes in one turn of the reactor is bounded.

The tests count calls in each turn instead of measuring time, over loopback sockets.
"""

import unittest
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

from milletsill.http1.message_reader import RequestReader, ResponseReader
from milletsill.http_gateway.gateway import HttpGateway
from milletsill.http_gateway.input_work import (
    NEXT_SHARE,
    REQUEST_WORK,
    WORK_PER_TURN,
    InputWork,
)
from tests.support.http_gateway_rig import TXN, Loopback, req

LIVE = b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}
TINY_CHUNKS = b"1\r\nx\r\n" * 9_000
# A share may be exceeded by one request, and a turn's work by one share.
MOST_WORK = WORK_PER_TURN + NEXT_SHARE + REQUEST_WORK


class CountedCalls:
    """Counts calls of the message parser, and requests, in each turn."""

    def __init__(self):
        self.parser_calls = self.requests = 0
        self.most_calls = self.most_requests = 0

    def end_turn(self):
        self.most_calls = max(self.most_calls, self.parser_calls)
        self.most_requests = max(self.most_requests, self.requests)
        self.parser_calls = self.requests = 0

    def patch(self, reader_class):
        make_parser = reader_class._make_parser

        def counting(reader, message):
            parser = make_parser(reader, message)

            def feed_data(data):
                self.parser_calls += 1
                parser.feed_data(data)

            names = [name for name in dir(parser) if name.startswith(("get", "should"))]
            methods = {name: getattr(parser, name) for name in names}
            return SimpleNamespace(feed_data=feed_data, **methods)

        return mock.patch.object(reader_class, "_make_parser", counting)

    def patch_requests(self):
        on_request = HttpGateway.on_request

        def counting(gateway, client, message):
            self.requests += 1
            on_request(gateway, client, message)

        return mock.patch.object(HttpGateway, "on_request", counting)


class InputWorkPerTurn(Loopback):
    def setUp(self):
        self.calls = CountedCalls()
        super().setUp()
        iterate = self.reactor.iterate

        def counted_iterate(delay):
            iterate(delay)
            self.calls.end_turn()

        self.reactor.iterate = counted_iterate

    def play(self, send, done, turns=3_000):
        """Let clients send whatever the sockets accept, one turn at a time."""
        for number in range(turns):
            if done():
                return number
            send()
            self.turn(1)
        self.fail("not done")

    def sender(self, clients, data):
        left = dict.fromkeys(clients, data)

        def send():
            for client in clients:
                with suppress(BlockingIOError, ConnectionError):
                    left[client] = left[client][client.send(left[client]) :]

        return send

    # Guards against answers that are seconds late behind bodies in tiny chunks.
    def test_bodies_in_tiny_chunks_do_not_delay_an_ordinary_request(self):
        with self.calls.patch(RequestReader):
            bad = [self.client() for _ in range(40)]
            normal = self.client()
            data = req(Transfer_Encoding="chunked", **KEYED) + TINY_CHUNKS
            send = self.sender(bad, data)
            for _ in range(5):
                send()
                self.turn(1)
            normal.sendall(req(TXN + 7))
            answered = []

            def served():
                with suppress(BlockingIOError):
                    self.sockets.append(self.node.accept()[0])
                    self.sockets[-1].sendall(ANSWER)
                answered.append(b" 200 " in self.got(normal)[0])
                return answered[-1]

            self.node.setblocking(False)
            turns = self.play(send, served)
            self.assertLess(turns, 60)
            self.assertLessEqual(self.calls.most_calls, MOST_WORK)
            got = dict.fromkeys(bad, b"")

            def all_refused():
                for client in bad:
                    got[client] += self.got(client)[0]
                return all(got.values())

            self.play(send, all_refused)
            self.assertEqual({each[:12] for each in got.values()}, {b"HTTP/1.1 413"})
            self.assertLessEqual(self.calls.most_calls, MOST_WORK)

    # Guards against answers that are late behind small requests at full speed.
    def test_requests_at_full_speed_do_not_delay_those_of_others(self):
        with self.calls.patch_requests():
            count = 4_000
            fast = [self.client() for _ in range(6)]
            send = self.sender(fast, LIVE * count)
            got = dict.fromkeys(fast, 0)

            def receive():
                for client in fast:
                    got[client] += self.got(client)[0].count(b"HTTP/1.1 200")
                return all(each == count for each in got.values())

            for _ in range(5):
                send()
                self.turn(1)
            normal = self.client(req(TXN + 7))
            node_socket = self.accept()
            node_socket.sendall(ANSWER)
            data = bytearray()
            turns = self.play(
                send, lambda: receive() or data.extend(self.got(normal)[0]) or data
            )
            self.assertIn(b" 200 ", data)
            self.assertLess(turns, 20)
            self.play(send, receive)
            self.assertLessEqual(self.calls.most_requests, MOST_WORK / REQUEST_WORK + 1)

    def test_a_chunked_body_that_waits_for_work_reaches_the_node_whole(self):
        body = bytes(each % 251 for each in range(8_000))
        chunks = b"".join(b"1\r\n%c\r\n" % each for each in body) + b"0\r\n\r\n"
        client = self.client()
        send = self.sender([client], req(Transfer_Encoding="chunked", **KEYED) + chunks)
        self.node.setblocking(False)
        received = bytearray()
        connections = []

        def arrived():
            with suppress(BlockingIOError):
                connections.append(self.node.accept()[0])
                connections[0].setblocking(False)
                self.sockets.append(connections[0])
            if connections:
                received.extend(self.got(connections[0])[0])
            return received.endswith(body)

        self.play(send, arrived)
        connections[0].sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(client)[0])

    def test_a_client_that_waits_for_work_is_answered_at_the_shutdown(self):
        """Its half request is refused, and its connection ends after the answer."""
        client = self.client()
        data = req(Transfer_Encoding="chunked", **KEYED) + TINY_CHUNKS[:30_000]
        client.sendall(data)
        self.until(lambda: self.server_side().input.is_waiting)
        self.server_side().begin_shutdown()
        received, how = self.read_all(client)
        self.assertEqual((received[:12], how), (b"HTTP/1.1 503", "ended"))

    def test_a_client_that_leaves_while_it_waits_for_work_is_forgotten(self):
        for how in ("close", "reset"):
            with self.subTest(how):
                self.restart()
                client = self.client()
                client.sendall(
                    req(Transfer_Encoding="chunked", **KEYED) + TINY_CHUNKS[:30_000]
                )
                self.until(lambda: self.server_side().input.is_waiting)
                client.close()
                self.turn(60)
                self.pass_time(0.2)
                self.assertEqual(len(self.gateway.listener.connections), 0)
                self.assertEqual(self.gateway.report.counts["dispatch", "0"], 0)

    # Guards against late answers behind a node's answer in tiny chunks.
    def test_answers_of_nodes_in_tiny_chunks_have_a_bounded_part_of_a_turn(self):
        with self.calls.patch(ResponseReader):
            client = self.client(req())
            node_socket = self.accept()
            body = bytes(each % 251 for each in range(8_000))
            answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            answer += b"".join(b"1\r\n%c\r\n" % each for each in body) + b"0\r\n\r\n"
            received = bytearray()
            self.play(
                self.sender([node_socket], answer),
                lambda: received.extend(self.got(client)[0]) or received.endswith(body),
            )
            self.assertIn(b" 200 ", received)
            self.assertLessEqual(self.calls.most_calls, MOST_WORK)


class Consumer:
    def __init__(self, work, needs):
        self.work, self.needs, self.shares = work, needs, []

    def continue_input(self, share):
        self.shares.append(share)
        used = min(share, self.needs)
        self.needs -= used
        self.work.spend(used)
        if self.needs:
            self.work.wait(self, True)


class InputWorkTests(unittest.TestCase):
    def setUp(self):
        self.calls = []
        reactor = SimpleNamespace(callLater=lambda delay, call: self.calls.append(call))
        self.work = InputWork(reactor)

    def run_turn(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()

    def test_new_connections_come_before_those_that_have_had_a_share(self):
        heavy = [Consumer(self.work, 50_000) for _ in range(5)]
        for each in heavy:
            self.work.wait(each, True)
        light = [Consumer(self.work, 60) for _ in range(30)]
        for each in light:
            self.work.wait(each, False)
        self.run_turn()
        self.assertEqual([each.needs for each in light], [0] * 30)
        self.assertGreater(sum(len(each.shares) for each in heavy), 0)

    def test_no_connection_waits_for_ever_behind_new_ones(self):
        heavy = Consumer(self.work, 5 * NEXT_SHARE)
        self.work.wait(heavy, True)
        turns = 0
        while heavy.needs and turns < 20:
            turns += 1
            for _ in range(100):
                self.work.wait(Consumer(self.work, 192), False)
            self.run_turn()
        self.assertEqual(heavy.needs, 0)

    def test_connections_continue_although_one_of_them_fails(self):
        def fail(share):
            raise ValueError

        self.work.wait(SimpleNamespace(continue_input=fail), False)
        other = Consumer(self.work, 10)
        self.work.wait(other, False)
        with self.assertRaises(ValueError):
            self.run_turn()
        self.run_turn()
        self.assertEqual((other.needs, self.calls), (0, []))


if __name__ == "__main__":
    unittest.main()
