"""The alternative forms of a message that HTTP/1.1 allows, over loopback sockets.

Each valid message is accepted, both in one piece and octet by octet.
"""

import json
import socket
import unittest
from contextlib import suppress
from time import thread_time

from milletsill.http1.message_limits import AMBIGUOUS
from milletsill.http_gateway.resource_limits import MAX_BODY
from tests.support.http_gateway_rig import NODE, TXN, Loopback, req

OWS = (b" ", b"\t", b" \t  ")
BODY = b"x" * 40
BODY_END = b"the end of it"


def spaced(message, before, after):
    """Return the message with other whitespace around each field's value."""
    head, body = message.split(b"\r\n\r\n", 1)
    first, *lines = head.split(b"\r\n")
    fields = [each.split(b": ", 1) for each in lines]
    return (
        b"\r\n".join(
            [first, *(name + b":" + before + value + after for name, value in fields)]
        )
        + b"\r\n\r\n"
        + body
    )


def chunked(message):
    """Return the request with its body in two chunks, an extension and a trailer."""
    head, body = message.split(b"\r\n\r\n", 1)
    lines = [
        each
        for each in head.split(b"\r\n")
        if not each.lower().startswith(b"content-length")
    ]
    half = len(body) // 2
    return b"\r\n".join(
        [
            *lines,
            b"Transfer-Encoding: Chunked",
            b"",
            b'%x;a="b"' % half,
            body[:half],
            b"%X" % (len(body) - half),
            body[half:],
            b"0",
            b"X-Trailer: t ",
            b"",
            b"",
        ]
    )


def put(txn):
    return req(txn=txn, method="PUT", name="put", body=BODY, Idempotency_Key="k1")


def requests():
    yield from (
        spaced(put(TXN + number), b" ", after) for number, after in enumerate(OWS)
    )
    yield from (
        spaced(put(TXN + 8 + number), before, b"")
        for number, before in enumerate((b"", b"\t", b"  "))
    )
    yield b"\r\n" + put(TXN + 16)
    yield chunked(put(TXN + 17))
    yield spaced(chunked(put(TXN + 18)), b"", b"\t ")
    yield (
        put(TXN + 19)
        .replace(b"X-Txn", b"x-TXN")
        .replace(b"Content-Length", b"content-length")
    )


ANSWERS = [
    *(
        spaced(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Turned-Away: 0\r\n\r\nhi",
            b"",
            after,
        )
        for after in OWS
    ),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding:chunked \t\r\n\r\n1;a=b\r\nh\r\n1\r\ni\r\n0\r\nA: b\r\n\r\n",
    b"HTTP/1.1 200\r\ncontent-length:\t2\r\n\r\nhi",
    b"HTTP/1.1 100 Continue\r\nA: b \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2 \r\n\r\nhi",
]


class MessageForms(Loopback):
    """Client requests, node answers and endpoint lists in every allowed form."""

    def send_in_steps(self, client, data, step):
        for start in range(0, len(data), step):
            client.sendall(data[start : start + step])
            self.turn(2)

    def assert_answered(self, client, node_socket, answer, step=1 << 20):
        node_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.send_in_steps(node_socket, answer, step)
        got = b""

        def is_complete():
            nonlocal got
            got += self.got(client)[0]
            return got.endswith(b"hi") or b" 200 " not in got and got

        self.until(is_complete, "the client has no answer")
        self.assertTrue(got.startswith(b"HTTP/1.1 200 "), got)

    def test_a_request_in_every_form_is_forwarded(self):
        for step in (1 << 20, 1):
            for number, request in enumerate(requests()):
                with self.subTest(step=step, form=number):
                    client = self.client()
                    self.send_in_steps(client, request, step)
                    node_socket = self.accept()
                    self.assert_answered(client, node_socket, ANSWERS[0])
                    node_socket.close()
                    self.restart()

    def test_an_answer_in_every_form_is_forwarded(self):
        for step in (1 << 20, 1):
            for number, answer in enumerate(ANSWERS):
                with self.subTest(step=step, form=number):
                    client = self.client(req())
                    self.assert_answered(client, self.accept(), answer, step)
                    self.restart()

    def test_a_rejection_with_whitespace_after_the_field_value_is_recognized(self):
        """Otherwise the attempt counts as one that may have run, and as an error."""
        self.client(req())
        node_socket = self.accept()
        node_socket.sendall(
            b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1 \r\nContent-Length: 0\t\r\n\r\n"
        )
        ends_before = [
            each for each in self.gateway.report.counts if each[0] == "ended"
        ]
        self.until(
            lambda: (
                [each for each in self.gateway.report.counts if each[0] == "ended"]
                != ends_before
            ),
            "the attempt did not end",
        )
        self.assertEqual(
            self.gateway.report.counts["ended", "turned away"],
            1,
            self.gateway.report.counts,
        )

    def test_an_endpoint_list_in_every_form_is_accepted(self):
        line = (
            json.dumps(
                {"version": 9, "full": True, "servers": [NODE | {"id": "s-9"}]}
            ).encode()
            + b"\n"
        )
        for transfer_coding in (
            b"Transfer-Encoding: chunked \t",
            b"transfer-encoding:chunked",
            b"Transfer-Encoding:\tChunked ",
        ):
            for interim in (b"", b"\r\n", b"HTTP/1.1 103 Early \r\nA: b\r\n\r\n"):
                for step in (1 << 20, 1):
                    with self.subTest(
                        transfer_coding=transfer_coding, interim=interim, step=step
                    ):
                        self.listener.setblocking(True)
                        call, _ = self.listener.accept()
                        self.sockets.append(call)
                        call.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        self.send_in_steps(
                            call,
                            interim
                            + b"HTTP/1.1 200 OK\r\n"
                            + transfer_coding
                            + b"\r\n\r\n%x;a=b\r\n%s\r\n" % (len(line), line),
                            step,
                        )
                        self.until(
                            lambda: self.gateway.watcher.version == 9,
                            "the list was not accepted",
                        )
                        self.restart()


class LongBodies(Loopback):
    """Bodies over the platform's stated 64 KiB, which its own traffic contains.

    The gateway forwards them whole while they fit into the buffer budget.
    """

    def forward_in_pieces(self, client, request):
        """Send a request in pieces; return what the node received, and its socket."""
        node_received, sent_octets, node_socket = b"", 0, None
        self.node.setblocking(False)

        def step():
            nonlocal node_received, sent_octets, node_socket
            with suppress(BlockingIOError):
                sent_octets += client.send(request[sent_octets : sent_octets + 30_000])
            with suppress(BlockingIOError):
                if node_socket is None:
                    node_socket = self.node.accept()[0]
                    node_socket.setblocking(False)
                    self.sockets.append(node_socket)
                node_received += node_socket.recv(1 << 20)
            return node_received.endswith(BODY_END)

        self.until(step, "the request did not reach the node completely")
        return node_received, node_socket

    def test_a_long_request_is_forwarded_whole_by_length_and_in_chunks(self):
        for body_size in (65_537, 400_000, MAX_BODY):
            for form in (lambda each: each, chunked):
                with self.subTest(body_size=body_size, form=form):
                    self.restart()
                    body = bytes(range(256)) * (body_size // 256 + 1)
                    body = body[: body_size - len(BODY_END)] + BODY_END
                    client = self.client()
                    node_received, node_socket = self.forward_in_pieces(
                        client,
                        form(
                            req(
                                method="PUT", name="put", body=body, Idempotency_Key="k"
                            )
                        ),
                    )
                    self.assertEqual(node_received.partition(b"\r\n\r\n")[2], body)
                    self.assertEqual(self.gateway.buffers.held, 2 * body_size)
                    node_socket.sendall(ANSWERS[0])
                    self.until(
                        lambda: b" 200 " in self.got(client)[0],
                        "the client has no answer",
                    )
                    self.assertEqual(self.gateway.buffers.held, 0)

    def test_the_buffers_of_a_long_request_are_released_when_its_client_leaves(self):
        for whole in (True, False):
            client = self.client()
            body = b"x" * 300_000 + BODY_END
            request = req(
                TXN + whole, method="PUT", name="put", body=body, Idempotency_Key="k"
            )
            if whole:
                self.forward_in_pieces(client, request)
            else:
                client.sendall(request[:150_000])
                self.until(
                    lambda: self.gateway.buffers.held > 65_536,
                    "the request's octets were not counted as buffered",
                )
            client.close()
            self.until(
                lambda: (
                    not self.gateway.listener.connections
                    and not self.gateway.host.active
                ),
                "the client's connection and request did not end",
            )
            self.assertEqual(self.gateway.buffers.held, 0)

    def test_over_the_buffer_budget_a_long_request_is_refused_and_a_short_served(self):
        self.gateway.buffers.limit = 700_000
        clients = [self.client() for _ in range(2)]
        request = [
            req(
                TXN + number,
                method="PUT",
                name="put",
                body=b"x" * 300_000 + BODY_END,
                Idempotency_Key="k",
            )
            for number in range(2)
        ]
        self.forward_in_pieces(clients[0], request[0])
        received, sent_octets = b"", 0

        def refused():
            nonlocal received, sent_octets
            with suppress(OSError):
                sent_octets += clients[1].send(
                    request[1][sent_octets : sent_octets + 30_000]
                )
            received += self.got(clients[1])[0]
            return b"\r\n\r\n" in received

        self.until(refused, "the client has no answer")
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        short_client = self.client(req(TXN + 9))
        self.until(
            lambda: self.gateway.host.unanswered == 2, "a short one is not accepted"
        )
        short_client.close()

    def test_a_body_over_the_limit_is_refused(self):
        client = self.client(
            req(
                method="PUT",
                name="put",
                Content_Length=str(MAX_BODY + 1),
                Idempotency_Key="k",
            )
        )
        self.assertEqual(self.read_all(client)[0][:12], b"HTTP/1.1 413")


class AmbiguousHeadSearch(unittest.TestCase):
    def test_a_head_of_spaces_costs_as_little_as_any_other(self):
        """A head that arrives octet by octet is searched whole after each octet.

        One search must not take time quadratic in the head's length.
        """
        times = []
        for head in (
            b"GET / HTTP/1.1\r\nA" + b" " * 8000 + b"x",
            b"GET / HTTP/1.1\r\nA" + b"y" * 8000 + b"x",
        ):
            times.append(min(self.seconds(head) for _ in range(5)))
        self.assertLess(times[0], 20 * times[1] + 0.01, times)

    def seconds(self, head):
        began = thread_time()
        AMBIGUOUS.search(head)
        return thread_time() - began


if __name__ == "__main__":
    unittest.main()
