"""Pipelined requests: requests that arrive while one is open on their connection.

Some are long, many or malformed, and some clients leave meanwhile; on loopback sockets.
"""

import socket
import time
import unittest

from milletsill.http_gateway.client_connection_state import MAX_PIPELINED
from milletsill.http_gateway.process_state import shutdown_schedule
from tests.http_gateway.test_races_leaving_clients import leave
from tests.http_gateway.test_races_shutdown import settings_with_client_timeout
from tests.support.http_gateway_rig import TXN, Loopback, req

BODY = bytes(range(256)) * 256  # the platform's stated limit: 64 KiB
KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}


def answer(number):
    return b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%03d" % number


def chunked(txn, body, size):
    """Return a PUT request with a chunked body."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return (
        req(txn, Transfer_Encoding="chunked", **KEYED)
        + b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces)
        + b"0\r\n\r\n"
    )


class PipelinedRequests(Loopback):
    def forwarded(self):
        return sum(
            count
            for (what, _), count in self.gateway.report.counts.items()
            if what == "dispatch"
        )

    def counts(self, what):
        return {
            value: count
            for (each, value), count in self.gateway.report.counts.items()
            if each == what
        }

    def send_all(self, client, data, size=65_536):
        """Send all data in pieces; the gateway reads between them."""
        while data:
            try:
                data = data[client.send(data[:size]) :]
            except BlockingIOError:
                pass
            self.turn(1)
        self.turn(5)

    def node_received(self, node_socket, enough):
        """Return what the node has received, once `enough` accepts it."""
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(node_socket)[0]) or enough(data),
            "the request did not reach the node",
        )
        return bytes(data)

    def received(self, client, count):
        """Return what the client has received, once it has `count` answers."""
        data = bytearray()
        self.until(
            lambda: (
                data.extend(self.got(client)[0]) or data.count(b"HTTP/1.1 ") >= count
            ),
            "the client lacks answers",
        )
        return bytes(data)

    def test_the_longest_request_pipelined_after_an_open_one_is_answered(self):
        for name, second, size in (
            ("at once", req(TXN + 1, body=BODY, **KEYED), 1 << 20),
            ("in pieces", req(TXN + 1, body=BODY, **KEYED), 3001),
            ("in chunks", chunked(TXN + 1, BODY, 1000), 1 << 20),
            ("in pieces of chunks", chunked(TXN + 1, BODY, 20_000), 777),
        ):
            for together in (True, False):
                with self.subTest(name, together=together):
                    self.restart()
                    client = self.client(*([] if together else [req()]))
                    node_socket = None if together else self.accept()
                    self.send_all(client, (req() if together else b"") + second, size)
                    node_socket = node_socket or self.accept()
                    self.assertEqual(
                        (
                            self.gateway.host.unanswered,
                            self.forwarded(),
                            self.got(client),
                        ),
                        (1, 1, (b"", "open")),
                    )
                    self.assertLessEqual(self.gateway.buffers.held, 1 << 17)
                    node_socket.sendall(answer(1))
                    text = self.node_received(
                        node_socket, lambda data: data.endswith(BODY)
                    )
                    self.assertEqual(
                        (text.count(b"X-Txn"), b"X-Txn: %016x" % (TXN + 1) in text),
                        (1, True),
                    )
                    node_socket.sendall(answer(2))
                    data = self.received(client, 2)
                    self.assertEqual(
                        (data.count(b" 200 "), data.index(b"001") < data.index(b"002")),
                        (2, True),
                    )
                    self.assertEqual(
                        (self.gateway.buffers.held, self.counts("refused")), (0, {})
                    )

    def test_more_than_one_long_pipelined_request_is_one_error(self):
        client = self.client(req())
        node_socket = self.accept()
        self.send_all(
            client,
            req(TXN + 1, body=BODY, **KEYED)
            + req(TXN + 2, body=BODY[:MAX_PIPELINED], **KEYED),
        )
        data, how = self.read_all(client)
        self.assertEqual(
            (data.count(b"HTTP/1.1 "), data[:12], how), (1, b"HTTP/1.1 400", "ended")
        )
        self.until(lambda: self.got(node_socket)[1] == "reset", "no reset at the node")
        self.assertEqual(
            (self.counts("refused"), self.forwarded()),
            ({"too much ahead of an answer": 1}, 1),
        )
        self.assertEqual((self.gateway.buffers.held, self.gateway.host.active), (0, {}))

    # Guards against a decline of a write that a node has, whose repeat runs it again.
    def test_with_full_buffers_only_a_long_pipelined_request_is_refused(self):
        """It is declined in its turn: before it, the open request has its own answer."""
        self.gateway.buffers.held = self.gateway.buffers.limit
        client = self.client(req())
        node_socket = self.accept()
        other_client = self.client(req(TXN + 1))
        self.turn(10)
        self.send_all(client, req(TXN + 2, body=BODY, **KEYED))
        self.send_all(other_client, req(TXN + 3))
        self.assertEqual(
            (self.got(client), self.got(other_client), self.gateway.host.unanswered),
            ((b"", "open"), (b"", "open"), 2),
        )
        node_socket.sendall(answer(1))
        data, how = self.read_all(client)
        answers = [each[:3] for each in data.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual((answers, how), ([b"200", b"503"], "ended"))
        self.assertEqual(self.got(other_client), (b"", "open"))
        self.assertEqual(self.gateway.buffers.held, self.gateway.buffers.limit)

    def test_a_close_behind_discarded_requests_is_noticed(self):
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.restart()
                self.gateway.buffers.held = self.gateway.buffers.limit
                client = self.client(req())
                node_socket = self.accept()
                self.send_all(client, req(TXN + 1, body=BODY, **KEYED) * 2)
                self.turn(5)
                leave(client, how)
                self.until(
                    lambda: self.got(node_socket)[1] == "reset", "no reset at the node"
                )
                self.assertEqual(self.forwarded(), 1)

    def test_a_client_that_goes_on_behind_discarded_requests_is_refused(self):
        self.gateway.buffers.held = self.gateway.buffers.limit
        client = self.client(req())
        self.accept()
        self.send_all(client, req(TXN + 1, body=BODY, **KEYED) * 20)
        data, how = self.read_all(client)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 400", "ended"))

    def test_malformed_data_right_after_a_request_is_refused_at_once(self):
        """The clock does not advance, so the error does not wait for the open request.

        The first request is not forwarded either, since the data that follows may be
        the rest of a body with too small a length.
        """
        short_length = (
            req(Content_Length="4", **KEYED)
            + b"body and\r\nmuch more than that\r\n\r\n"
        )
        for name, data, status in (
            ("noise", req() + b"\x00\xff\n\n", b"400"),
            ("too small a length", short_length, b"400"),
            (
                "too small a length without a line",
                req(Content_Length="4", **KEYED) + BODY[128:200],
                b"400",
            ),
            (
                "a length and chunks",
                req() + req(Content_Length="4", Transfer_Encoding="chunked", **KEYED),
                b"400",
            ),
            (
                "sixty megabytes",
                req() + req(TXN + 1, Content_Length="62914560", **KEYED),
                b"413",
            ),
            (
                "an endless head",
                req() + b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 2000,
                b"431",
            ),
            (
                "malformed chunks",
                req() + req(Transfer_Encoding="chunked", **KEYED) + b"zz\r\n",
                b"400",
            ),
        ):
            with self.subTest(name):
                self.restart()
                other_client = self.client(req(TXN + 7))
                other_node_socket = self.accept()
                client = self.client(data)
                received, how = self.read_all(client)
                self.assertEqual(
                    (received.count(b"HTTP/1.1 "), received[9:12], how),
                    (1, status, "ended"),
                )
                self.assertEqual(
                    (self.forwarded(), sum(self.counts("refused").values())),
                    (1, 1),
                )
                other_node_socket.sendall(answer(7))
                self.assertIn(b" 200 ", self.received(other_client, 1))

    def test_malformed_data_during_an_open_request_ends_it_at_once(self):
        for malformed in (
            b"\x00\xff\n\n",
            b"more than was told\n",
            req(TXN + 1, Content_Length="62914560", **KEYED),
        ):
            with self.subTest(malformed[:20]):
                self.restart()
                client = self.client(req())
                node_socket = self.accept()
                for at in range(len(malformed)):
                    client.send(malformed[at : at + 1])
                    self.turn(1)
                received, how = self.read_all(client)
                self.assertEqual((received.count(b"HTTP/1.1 4"), how), (1, "ended"))
                self.until(
                    lambda: self.got(node_socket)[1] == "reset", "no reset at the node"
                )
                self.assertEqual(
                    (self.counts("answer"), self.gateway.host.active),
                    ({"abandoned": 1}, {}),
                )

    def test_pipelined_requests_are_refused_in_order_at_the_shutdown(self):
        """The open request's deadline is after the earliest kill.

        Complete pipelined requests get an answer; half a request gets none.
        """
        for pipelined_data, answers in (
            (self.pipelined(0), 1),
            (req(TXN + 1), 2),
            (req(TXN + 1) + req(TXN + 2), 3),
            (req(TXN + 1)[:60], 1),
        ):
            with self.subTest(pipelined_data[:60], answers=answers):
                self.changed = {"settings": settings_with_client_timeout(8.0)}
                self.restart()
                client = self.client(req(X_Remaining_Ms="8000"))
                node_socket = self.accept()
                client.sendall(pipelined_data)
                self.turn(5)
                self.terminate()
                self.advance_to(shutdown_schedule(80_000)[1][0] / 10_000 + 0.01)
                self.assertEqual(self.gateway.state.name, "DRAINING")
                data, how = self.read_all(client)
                self.assertEqual(
                    [each[:3] for each in data.split(b"HTTP/1.1 ")[1:]],
                    [b"502"] + [b"503"] * (answers - 1),
                )
                self.assertEqual(
                    (how, data.count(b"Connection: close"), self.forwarded()),
                    ("ended", 1, 1),
                )
                self.until(
                    lambda: self.got(node_socket)[1] == "reset", "no reset at the node"
                )

    def test_a_request_pipelined_after_a_blocked_answer_is_refused_at_the_end(self):
        client = self.client(req(), window=4096)
        protocol = self.server_side()
        protocol.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.accept().sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + b"x" * 400_000
        )
        self.until(lambda: protocol.blocked, "the whole answer was written")
        client.sendall(req(TXN + 1))
        self.turn(5)
        self.assertTrue(protocol.input.next_request)
        self.terminate()
        self.advance_to(shutdown_schedule(10_000)[1][0] / 10_000 + 0.01)
        data, how = self.read_all(client)  # the clock does not advance
        self.assertEqual(
            (
                data.count(b"x"),
                data.count(b"HTTP/1.1 503"),
                data.count(b"Connection: close"),
                how,
            ),
            (400_000, 1, 1, "ended"),
        )
        self.assertEqual(self.forwarded(), 1)

    def pipelined(self, count):
        return b"".join(
            req(TXN + number, body=BODY[: 700 * (number % 3)], **KEYED)
            if number % 2
            else req(TXN + number)
            for number in range(count)
        )

    def answer_at_node(self, node_socket, number):
        """Answer the only request at the node; the next one follows it alone."""
        node_socket.sendall(answer(number))
        self.turn(10)

    def test_many_pipelined_requests_are_answered_in_order_one_at_a_time(self):
        client = self.client(self.pipelined(20))
        node_socket, data = self.accept(), bytearray()
        for number in range(20):
            self.assertEqual(self.gateway.host.unanswered, 1)
            self.answer_at_node(node_socket, number)
            if number < 19:
                self.assertIn(
                    b"X-Txn: %016x" % (TXN + number + 1),
                    self.node_received(node_socket, lambda data: b"\r\n\r\n" in data),
                )
            data += self.received(client, 1)
        self.assertEqual(
            [data.count(b"\r\n\r\n%03d" % number) for number in range(20)], [1] * 20
        )
        self.assertEqual(data.count(b"HTTP/1.1 200"), 20)

    def test_pipelined_requests_of_a_client_that_has_left_are_not_forwarded(self):
        """The client leaves after some answers, while the next request is at its node.

        In the first case it leaves before anything is read.
        """
        for how in ("close", "half", "reset"):
            for step in (None, 0, 1, 3, 5):
                with self.subTest(how=how, step=step):
                    self.restart()
                    client = self.client()
                    client.sendall(self.pipelined(6))
                    if step is not None:
                        node_socket = self.accept()
                        for number in range(step):
                            self.answer_at_node(node_socket, number)
                            self.node_received(
                                node_socket, lambda data: b"X-Txn" in data
                            )
                        answers = self.received(client, step) if step else b""
                        self.assertEqual(
                            [
                                answers.count(b"\r\n\r\n%03d" % number)
                                for number in range(6)
                            ],
                            [1] * step + [0] * (6 - step),
                        )
                    leave(client, how)
                    self.turn(10)
                    expected = 0 if step is None else step + 1
                    self.assertEqual(
                        (
                            self.forwarded(),
                            self.gateway.host.active,
                            self.gateway.host.unanswered,
                        ),
                        (expected, {}, 0),
                    )
                    self.pass_time(0.3)
                    self.assertEqual(
                        (
                            self.forwarded(),
                            len(self.gateway.listener.connections),
                            self.gateway.buffers.held,
                        ),
                        (expected, 0, 0),
                    )

    def test_no_request_is_forwarded_for_a_client_that_left_before_the_read(self):
        """The process stalls for half a second.

        The client's close follows some further reads of the socket.
        """
        for how in ("close", "half", "reset"):
            for count in (1, 2, 4):
                with self.subTest(how=how, count=count):
                    self.restart()
                    client = self.client()
                    client.sendall(
                        req()
                        + b"".join(
                            req(TXN + 1 + number, body=BODY, **KEYED)
                            for number in range(count)
                        )
                    )
                    leave(client, how)
                    self.time += 0.5
                    self.turn(20)
                    self.pass_time(0.3)
                    self.assertEqual(
                        (
                            self.forwarded(),
                            self.gateway.host.active,
                            self.gateway.buffers.held,
                        ),
                        (0, {}, 0),
                    )

    def test_no_request_is_forwarded_before_an_unfinished_body_and_a_close(self):
        self.gateway.port.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20
        )  # it fits all data, so the close has arrived too
        sock = self.client()
        sock.sendall(
            req() + req(TXN + 1, Content_Length=str(1 << 20), **KEYED) + b"x" * 150_000
        )
        sock.shutdown(socket.SHUT_WR)
        fin_wait2 = 5
        for _ in range(2000):
            if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == fin_wait2:
                break
            time.sleep(0.001)
        self.time += 0.5
        self.turn(20)
        self.pass_time(0.3)
        self.assertEqual(
            (self.forwarded(), self.gateway.host.active, self.gateway.buffers.held),
            (0, {}, 0),
        )

    def test_a_pipelined_request_cut_by_a_leaving_client_is_not_forwarded(self):
        for how in ("close", "half", "reset"):
            for octets in (
                1,
                60,
                5000,
                60_000,
                65_536 + len(req(TXN + 1, body=BODY, **KEYED)) - len(BODY),
            ):
                with self.subTest(how=how, octets=octets):
                    self.restart()
                    client = self.client(req())
                    node_socket = self.accept()
                    self.send_all(client, req(TXN + 1, body=BODY, **KEYED)[:octets])
                    leave(client, how)
                    self.until(
                        lambda: self.got(node_socket)[1] == "reset",
                        "no reset at the node",
                    )
                    self.pass_time(0.3)
                    self.assertEqual(
                        (
                            self.forwarded(),
                            self.gateway.host.active,
                            self.gateway.buffers.held,
                        ),
                        (1, {}, 0),
                    )
                    self.assertFalse(self.gateway.listener.connections)


if __name__ == "__main__":
    unittest.main()
