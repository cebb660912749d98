"""Clients that send what cannot be read, never end, or flood.

One error or a close in time, counted by cause, and a usual client served beside each,
on loopback sockets.
"""

import socket
import unittest
from contextlib import suppress

from milletsill.http_gateway.client_connection_state import IDLE_TIMEOUT
from tests.support.http_gateway_rig import TXN, Loopback, req

READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
LIVE = b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}
OWED = 3.0  # seconds within which a bad client has an error or a close
BAD = {  # what is sent, and by what it is counted; nothing: by its close alone
    "noise": (b"\x00\xff\n\n", "a head that can be read in two ways"),
    "noise without a line": (b"\x16\x03\x01\x02", "what begins no message"),
    "a request that is none": (b"EAT /me\r\n\r\n", "a head that cannot be read"),
    "an endless head": (
        b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 4000,
        "a head over the bound",
    ),
    "half a request": (req()[:60], "a request that does not end"),
    "a body that never comes": (
        req(Content_Length="100", **KEYED),
        "a request that does not end",
    ),
    "half a body": (
        req(Content_Length="65536", **KEYED) + b"x" * 30_000,
        "a request that does not end",
    ),
    "silence": (b"", ""),
    "a length below zero": (
        req(Content_Length="-5", **KEYED),
        "a head that cannot be read",
    ),
    "a length that is huge": (
        req(Content_Length="9" * 30, **KEYED),
        "a head that cannot be read",
    ),
    "two ways to tell the length": (
        req(Content_Length="4", Transfer_Encoding="chunked", **KEYED) + b"abcd",
        "a head that cannot be read",
    ),
    "sixty megabytes": (
        req(Content_Length="62914560", **KEYED) + b"x" * 300_000,
        "a body over the bound",
    ),
    "chunks that are none": (
        req(Transfer_Encoding="chunked", **KEYED) + b"zz\r\n",
        "chunks that cannot be read",
    ),
    "chunks without number": (
        req(Transfer_Encoding="chunked", **KEYED) + b"1\r\nx\r\n" * 9000,
        "a body in too many chunks",
    ),
    "chunks without an end": (
        req(Transfer_Encoding="chunked", **KEYED) + b"1000\r\n" + b"x" * 4096 + b"\r\n",
        "a request that does not end",
    ),
    "a class that does not exist": (req(name="none"), "x-lane is not known"),
    "a plan that does not exist": (req(X_Plan="none"), "x-plan is not known"),
    "a deadline that is no number": (req(X_Remaining_Ms="NaN"), "x-remaining-ms"),
    "no id": (req(drop=["X-Txn"]), "x-txn"),
    "the id of another's open request": (req(TXN + 7), "x-txn is another's open one"),
    "hundreds at once": (
        b"".join(req(number) for number in range(100, 400)) + b"x",
        "too much ahead of an answer",
    ),
}


class Bad(Loopback):
    def refused(self):
        return {
            value: count
            for (what, value), count in self.gateway.report.counts.items()
            if what == "refused"
        }

    def flood(self, one, data):
        """As much as the system takes; the gateway's turns make room for more."""
        while data:
            with suppress(BlockingIOError):
                data = data[one.send(data) :]
            self.turn(1)

    def served(self, client, link, txn):
        """A usual request from end to end, without the clock moving."""
        client.sendall(req(txn))
        self.until(lambda: b"X-Txn" in self.got(link)[0], "it did not come to the node")
        link.sendall(ANSWER)
        self.until(
            lambda: b" 200 " in self.got(client)[0], "the usual client is not served"
        )

    def test_each_bad_client_has_one_error_or_a_close_in_time_and_a_usual_one_is_served_beside_it(
        self,
    ):
        for name, (data, cause) in BAD.items():
            with self.subTest(name):
                self.restart()
                other = self.client(req(TXN + 7))
                link = self.accept()
                one = self.client()
                began = self.time
                self.flood(one, data)
                link.sendall(ANSWER)
                self.until(
                    lambda: b" 200 " in self.got(other)[0],
                    "the usual client is not served",
                )
                got, how = b"", "open"
                while how == "open" and not got and self.time < began + 10:
                    self.pass_time(0.05)
                    piece, how = self.got(one)
                    got += piece
                self.assertTrue(got or how != "open", "neither an error nor a close")
                self.assertLess(self.time - began, OWED)
                self.assertRegex(got, rb"\AHTTP/1\.1 [45]\d\d " if cause else rb"\A\Z")
                self.assertEqual(got.count(b"HTTP/1.1 "), 1 if cause else 0)
                self.assertEqual(
                    [key[: len(cause)] for key in self.refused()],
                    [cause] if cause else [],
                )
                self.assertEqual(list(self.refused().values()), [1] if cause else [])
                other.sendall(req(TXN + 8))
                self.until(lambda: b"X-Txn" in self.got(link)[0])
                link.sendall(ANSWER)
                self.until(
                    lambda: b" 200 " in self.got(other)[0],
                    "the usual client is not served",
                )
                self.pass_time(2.0)
                self.assertEqual(
                    len(self.gateway.listener.connections),
                    1,
                    "the bad client holds its descriptor",
                )
                one.close()

    def test_the_id_of_anothers_request_is_refused_at_once_also_where_that_one_is_over(
        self,
    ):
        """Answered, declined, or left by its client the moment before.

        Until its client's time is over.
        """
        for over in ("open", "answered", "declined", "left"):
            with self.subTest(over):
                self.restart()
                elsewhere = (
                    {"X_IO": "volume=00000003b4d60021,units=2,shard=3,hosts=1"}
                    if over == "declined"
                    else {}
                )
                other = self.client(req(**elsewhere))
                if over == "declined":  # no node leads there
                    while (
                        not self.gateway.report.counts["answer", "declined"]
                        and self.time < 1001
                    ):
                        self.pass_time(0.02)
                else:
                    link = self.accept()
                    if over == "answered":
                        link.sendall(ANSWER)
                        self.until(lambda: b" 200 " in self.got(other)[0])
                    elif over == "left":
                        other.close()
                        self.until(
                            lambda: self.gateway.report.counts["answer", "abandoned"]
                        )
                sent = self.gateway.report.counts["dispatch", "0"]
                one = self.client(req())
                data, how = self.read_all(one)  # the clock stands
                self.assertEqual(
                    (data[:12], how, self.gateway.report.counts["dispatch", "0"]),
                    (b"HTTP/1.1 409", "ended", sent),
                )
                self.assertEqual(self.refused(), {"x-txn is another's open one": 1})
                if over != "open":
                    self.pass_time(1.0)
                    late = self.client(req(**elsewhere))
                    self.until(lambda: self.gateway.host.unanswered == 1, "not taken")
                    late.close()

    def test_one_octet_at_a_time_without_an_end_is_refused_in_time(self):
        """A head, a body told by its length, one in chunks.

        At once and behind a request that was answered.
        """
        for begins in (
            b"GET / HTTP/1.1\r\nX: ",
            req(Content_Length="900", **KEYED),
            req(Transfer_Encoding="chunked", **KEYED) + b"200\r\n",
        ):
            for behind in (False, True):
                with self.subTest(begins[:9], behind=behind):
                    self.restart()
                    usual = self.client(req(TXN + 7))
                    link = self.accept()
                    link.sendall(ANSWER)
                    self.until(lambda: b" 200 " in self.got(usual)[0])
                    one, sent = self.client(), 0
                    if behind:
                        self.served(one, link, TXN + 1)
                    one.sendall(begins[:-1])
                    data = b""
                    while not data and sent < 80:
                        one.sendall(begins[-1:] if not sent else b"y")
                        sent += 1
                        if sent % 10 == 0:
                            self.served(usual, link, TXN + 8 + sent)
                        self.pass_time(0.05)
                        data = self.got(one)[0]
                    self.assertEqual(
                        (data.count(b"HTTP/1.1 "), data[:12]), (1, b"HTTP/1.1 408")
                    )
                    self.assertLess(sent * 0.05, OWED)
                    self.assertEqual(self.refused(), {"a request that does not end": 1})

    def test_who_begins_late_has_its_word_in_time_too(self):
        for waits in (0.5, 1.5, 2.1):
            with self.subTest(waits=waits):
                self.restart()
                one = self.client()
                self.pass_time(waits)
                one.sendall(req()[:60])
                self.pass_time(OWED - 0.02 - waits)
                self.assertEqual(self.got(one)[0][:12], b"HTTP/1.1 408")

    def test_who_asks_on_and_on_and_reads_nothing_is_refused_holds_little_and_costs_others_nothing(
        self,
    ):
        other = self.client(req(TXN + 7))
        link = self.accept()
        one = self.client(window=4096)
        protocol = self.server_side()
        protocol.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for _ in range(400):
            with suppress(OSError):
                one.send(LIVE * 1500)
            self.turn(1)
        self.assertEqual(self.refused(), {"too much ahead of an answer": 1})
        self.assertLess(
            len(protocol.transport.dataBuffer)
            + sum(map(len, protocol.transport._tempDataBuffer)),
            1 << 18,
        )
        link.sendall(ANSWER)
        self.until(
            lambda: b" 200 " in self.got(other)[0], "the usual client is not served"
        )
        self.pass_time(IDLE_TIMEOUT / 10_000 + 1.5)
        self.assertEqual(
            (len(self.gateway.listener.connections), self.gateway.buffers.held), (0, 0)
        )

    def test_the_same_again_the_moment_it_is_turned_away_holds_nobody_up(self):
        other = self.client(req())
        link = self.accept()
        for turn in range(200):
            one = self.client(req(name="none"))
            data, how = self.read_all(one)
            self.assertEqual((data[:12], how), (b"HTTP/1.1 404", "ended"))
            one.close()
        link.sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(other)[0])
        self.assertEqual(
            (len(self.gateway.listener.connections), self.refused()),
            (1, {"x-lane is not known": 200}),
        )


if __name__ == "__main__":
    unittest.main()
