"""The forms that HTTP/1.1 leaves open, over loopback sockets.

Each message that is right is taken, in one piece and octet by octet.
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
BEHIND = b"the end of it"


def spaced(message, before, behind):
    """The same message with other whitespace around each field's value."""
    head, body = message.split(b"\r\n\r\n", 1)
    first, *lines = head.split(b"\r\n")
    fields = [each.split(b": ", 1) for each in lines]
    return (
        b"\r\n".join(
            [first, *(name + b":" + before + value + behind for name, value in fields)]
        )
        + b"\r\n\r\n"
        + body
    )


def chunked(message):
    """A request's body in two chunks, one of them with an extension, and a trailer."""
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
        spaced(put(TXN + number), b" ", behind) for number, behind in enumerate(OWS)
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
            behind,
        )
        for behind in OWS
    ),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding:chunked \t\r\n\r\n1;a=b\r\nh\r\n1\r\ni\r\n0\r\nA: b\r\n\r\n",
    b"HTTP/1.1 200\r\ncontent-length:\t2\r\n\r\nhi",
    b"HTTP/1.1 100 Continue\r\nA: b \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2 \r\n\r\nhi",
]


class Forms(Loopback):
    """Door and links of a whole gateway."""

    def sent(self, one, data, step):
        for at in range(0, len(data), step):
            one.sendall(data[at : at + step])
            self.turn(2)

    def answered(self, one, link, answer, step=1 << 20):
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sent(link, answer, step)
        got = b""

        def whole():
            nonlocal got
            got += self.got(one)[0]
            return got.endswith(b"hi") or b" 200 " not in got and got

        self.until(whole, "no answer")
        self.assertTrue(got.startswith(b"HTTP/1.1 200 "), got)

    def test_a_request_in_every_form_is_taken_and_passed_on(self):
        for step in (1 << 20, 1):
            for number, request in enumerate(requests()):
                with self.subTest(step=step, form=number):
                    one = self.client()
                    self.sent(one, request, step)
                    link = self.accept()
                    self.answered(one, link, ANSWERS[0])
                    link.close()
                    self.restart()

    def test_an_answer_in_every_form_is_passed_on(self):
        for step in (1 << 20, 1):
            for number, answer in enumerate(ANSWERS):
                with self.subTest(step=step, form=number):
                    one = self.client(req())
                    self.answered(one, self.accept(), answer, step)
                    self.restart()

    def test_a_turn_away_with_whitespace_behind_it_is_one(self):
        """Else it counts as one that may have run, and as the node's error."""
        self.client(req())
        link = self.accept()
        link.sendall(
            b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1 \r\nContent-Length: 0\t\r\n\r\n"
        )
        ends = [each for each in self.gateway.report.counts if each[0] == "ended"]
        self.until(
            lambda: (
                [each for each in self.gateway.report.counts if each[0] == "ended"]
                != ends
            ),
            "no end",
        )
        self.assertEqual(
            self.gateway.report.counts["ended", "turned away"],
            1,
            self.gateway.report.counts,
        )

    def test_a_list_in_every_form_is_taken(self):
        line = (
            json.dumps(
                {"version": 9, "full": True, "servers": [NODE | {"id": "s-9"}]}
            ).encode()
            + b"\n"
        )
        for coding in (
            b"Transfer-Encoding: chunked \t",
            b"transfer-encoding:chunked",
            b"Transfer-Encoding:\tChunked ",
        ):
            for ahead in (b"", b"\r\n", b"HTTP/1.1 103 Early \r\nA: b\r\n\r\n"):
                for step in (1 << 20, 1):
                    with self.subTest(coding=coding, ahead=ahead, step=step):
                        self.listener.setblocking(True)
                        call, _ = self.listener.accept()
                        self.sockets.append(call)
                        call.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        self.sent(
                            call,
                            ahead
                            + b"HTTP/1.1 200 OK\r\n"
                            + coding
                            + b"\r\n\r\n%x;a=b\r\n%s\r\n" % (len(line), line),
                            step,
                        )
                        self.until(
                            lambda: self.gateway.watcher.version == 9,
                            "the list was not taken",
                        )
                        self.restart()


class Long(Loopback):
    """Bodies over the page's 64 KiB, which its own days bring.

    Taken whole, within the memory that there is.
    """

    def served(self, one, request):
        """Send it piece by piece, answer it at the node, and give what came there."""
        came, at, link = b"", 0, None
        self.node.setblocking(False)

        def step():
            nonlocal came, at, link
            with suppress(BlockingIOError):
                at += one.send(request[at : at + 30_000])
            with suppress(BlockingIOError):
                if link is None:
                    link = self.node.accept()[0]
                    link.setblocking(False)
                    self.sockets.append(link)
                came += link.recv(1 << 20)
            return came.endswith(BEHIND)

        self.until(step, "not whole at the node")
        return came, link

    def test_a_long_request_is_passed_on_whole_by_length_and_in_chunks(self):
        for octets in (65_537, 400_000, MAX_BODY):
            for form in (lambda each: each, chunked):
                with self.subTest(octets=octets, form=form):
                    self.restart()
                    body = bytes(range(256)) * (octets // 256 + 1)
                    body = body[: octets - len(BEHIND)] + BEHIND
                    one = self.client()
                    came, link = self.served(
                        one,
                        form(
                            req(
                                method="PUT", name="put", body=body, Idempotency_Key="k"
                            )
                        ),
                    )
                    self.assertEqual(came.partition(b"\r\n\r\n")[2], body)
                    self.assertEqual(self.gateway.buffers.held, 2 * octets)
                    link.sendall(ANSWERS[0])
                    self.until(lambda: b" 200 " in self.got(one)[0], "no answer")
                    self.assertEqual(self.gateway.buffers.held, 0)

    def test_what_a_long_request_held_is_given_back_when_its_client_leaves(self):
        for whole in (True, False):
            one = self.client()
            body = b"x" * 300_000 + BEHIND
            request = req(
                TXN + whole, method="PUT", name="put", body=body, Idempotency_Key="k"
            )
            if whole:
                self.served(one, request)
            else:
                one.sendall(request[:150_000])
                self.until(lambda: self.gateway.buffers.held > 65_536, "not counted")
            one.close()
            self.until(
                lambda: (
                    not self.gateway.listener.connections
                    and not self.gateway.host.active
                ),
                "not left",
            )
            self.assertEqual(self.gateway.buffers.held, 0)

    def test_past_the_memory_a_long_request_is_turned_away_and_a_usual_one_served(self):
        self.gateway.buffers.limit = 700_000
        ones = [self.client() for _ in range(2)]
        request = [
            req(
                TXN + number,
                method="PUT",
                name="put",
                body=b"x" * 300_000 + BEHIND,
                Idempotency_Key="k",
            )
            for number in range(2)
        ]
        self.served(ones[0], request[0])
        said, at = b"", 0

        def refused():
            nonlocal said, at
            with suppress(OSError):
                at += ones[1].send(request[1][at : at + 30_000])
            said += self.got(ones[1])[0]
            return b"\r\n\r\n" in said

        self.until(refused, "no word")
        self.assertTrue(said.startswith(b"HTTP/1.1 503 "), said)
        usual = self.client(req(TXN + 9))
        self.until(
            lambda: self.gateway.host.unanswered == 2, "a usual one is not taken"
        )
        usual.close()

    def test_one_over_the_bound_is_refused(self):
        one = self.client(
            req(
                method="PUT",
                name="put",
                Content_Length=str(MAX_BODY + 1),
                Idempotency_Key="k",
            )
        )
        self.assertEqual(self.read_all(one)[0][:12], b"HTTP/1.1 413")


class Bounded(unittest.TestCase):
    def test_a_head_of_spaces_costs_as_little_as_any_other(self):
        """One octet at a time each look would go over all of it.

        One look must not cost the square of the head's length.
        """
        steps = []
        for head in (
            b"GET / HTTP/1.1\r\nA" + b" " * 8000 + b"x",
            b"GET / HTTP/1.1\r\nA" + b"y" * 8000 + b"x",
        ):
            steps.append(min(self.seconds(head) for _ in range(5)))
        self.assertLess(steps[0], 20 * steps[1] + 0.01, steps)

    def seconds(self, head):
        began = thread_time()
        AMBIGUOUS.search(head)
        return thread_time() - began


if __name__ == "__main__":
    unittest.main()
