"""Clients that send malformed, unfinished or excessive requests.

Each gets one error or a close in time and is counted by cause, while a normal client is
served. The tests use loopback sockets.
"""

import socket
import unittest
from contextlib import suppress

from milletsill.http_gateway.client_connection_state import IDLE_TIMEOUT
from milletsill.http_gateway.recent_request_ids import MIN_ID_LIFETIME
from tests.support.http_gateway_rig import TXN, Loopback, req

READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
LIVE = b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}
MAX_WAIT = 3.0  # seconds until a bad client has an error or a close
# The data sent, and the cause under which it is counted; an empty cause stands for a
# close without an error.
BAD = {
    "noise": (b"\x00\xff\n\n", "a head that can be read in two ways"),
    "noise without a line": (b"\x16\x03\x01\x02", "what begins no message"),
    "an unknown method": (b"EAT /me\r\n\r\n", "a head that cannot be read"),
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
    "a negative length": (
        req(Content_Length="-5", **KEYED),
        "a head that cannot be read",
    ),
    "a huge length": (
        req(Content_Length="9" * 30, **KEYED),
        "a head that cannot be read",
    ),
    "a length and chunks": (
        req(Content_Length="4", Transfer_Encoding="chunked", **KEYED) + b"abcd",
        "a head that cannot be read",
    ),
    "sixty megabytes": (
        req(Content_Length="62914560", **KEYED) + b"x" * 300_000,
        "a body over the bound",
    ),
    "malformed chunks": (
        req(Transfer_Encoding="chunked", **KEYED) + b"zz\r\n",
        "chunks that cannot be read",
    ),
    "too many chunks": (
        req(Transfer_Encoding="chunked", **KEYED) + b"1\r\nx\r\n" * 9000,
        "a body in too many chunks",
    ),
    "chunks without an end": (
        req(Transfer_Encoding="chunked", **KEYED) + b"1000\r\n" + b"x" * 4096 + b"\r\n",
        "a request that does not end",
    ),
    "an unknown class": (req(name="none"), "x-lane is not known"),
    "an unknown plan": (req(X_Plan="none"), "x-plan is not known"),
    "a non-numeric deadline": (req(X_Remaining_Ms="NaN"), "x-remaining-ms"),
    "no id": (req(drop=["X-Txn"]), "x-txn"),
    "the id of another client's open request": (
        req(TXN + 7),
        "x-txn is another's open one",
    ),
    "hundreds at once": (
        b"".join(req(number) for number in range(100, 400)) + b"x",
        "too much ahead of an answer",
    ),
}


class BadClients(Loopback):
    def refused(self):
        return {
            value: count
            for (what, value), count in self.gateway.report.counts.items()
            if what == "refused"
        }

    def flood(self, bad_client, data):
        """Send all data; the gateway's reactor runs whenever the buffers are full."""
        while data:
            with suppress(BlockingIOError):
                data = data[bad_client.send(data) :]
            self.turn(1)

    def serve(self, client, node_socket, txn):
        """Serve a normal request from end to end, without advancing the clock."""
        client.sendall(req(txn))
        self.until(
            lambda: b"X-Txn" in self.got(node_socket)[0],
            "the request did not reach the node",
        )
        node_socket.sendall(ANSWER)
        self.until(
            lambda: b" 200 " in self.got(client)[0], "the normal client is not served"
        )

    def test_each_bad_client_has_one_error_or_a_close_in_time(self):
        """A normal client is served before and after the error."""
        for name, (data, cause) in BAD.items():
            with self.subTest(name):
                self.restart()
                normal_client = self.client(req(TXN + 7))
                node_socket = self.accept()
                bad_client = self.client()
                began = self.time
                self.flood(bad_client, data)
                node_socket.sendall(ANSWER)
                self.until(
                    lambda: b" 200 " in self.got(normal_client)[0],
                    "the normal client is not served",
                )
                got, ending = b"", "open"
                while ending == "open" and not got and self.time < began + 10:
                    self.pass_time(0.05)
                    piece, ending = self.got(bad_client)
                    got += piece
                self.assertTrue(got or ending != "open", "neither an error nor a close")
                self.assertLess(self.time - began, MAX_WAIT)
                self.assertRegex(got, rb"\AHTTP/1\.1 [45]\d\d " if cause else rb"\A\Z")
                self.assertEqual(got.count(b"HTTP/1.1 "), 1 if cause else 0)
                self.assertEqual(
                    [key[: len(cause)] for key in self.refused()],
                    [cause] if cause else [],
                )
                self.assertEqual(list(self.refused().values()), [1] if cause else [])
                normal_client.sendall(req(TXN + 8))
                self.until(lambda: b"X-Txn" in self.got(node_socket)[0])
                node_socket.sendall(ANSWER)
                self.until(
                    lambda: b" 200 " in self.got(normal_client)[0],
                    "the normal client is not served",
                )
                self.pass_time(2.0)
                self.assertEqual(
                    len(self.gateway.listener.connections),
                    1,
                    "the bad client's connection is still open",
                )
                bad_client.close()

    def test_the_id_of_another_clients_request_is_refused_past_its_deadline(self):
        """The other request is open, or was just answered, declined or abandoned.

        The id is refused for `MIN_ID_LIFETIME`, since a node may have run the request.
        """
        for fate in ("open", "answered", "declined", "left"):
            with self.subTest(fate):
                self.restart()
                elsewhere = (
                    {"X_IO": "volume=00000003b4d60021,units=2,shard=3,hosts=1"}
                    if fate == "declined"
                    else {}
                )
                normal_client = self.client(req(**elsewhere))
                if fate == "declined":  # no node serves this shard
                    while (
                        not self.gateway.report.counts["answer", "declined"]
                        and self.time < 1001
                    ):
                        self.pass_time(0.02)
                else:
                    node_socket = self.accept()
                    if fate == "answered":
                        node_socket.sendall(ANSWER)
                        self.until(lambda: b" 200 " in self.got(normal_client)[0])
                    elif fate == "left":
                        normal_client.close()
                        self.until(
                            lambda: self.gateway.report.counts["answer", "abandoned"]
                        )
                sent = self.gateway.report.counts["dispatch", "0"]
                bad_client = self.client(req())
                data, ending = self.read_all(bad_client)  # the clock does not advance
                self.assertEqual(
                    (data[:12], ending, self.gateway.report.counts["dispatch", "0"]),
                    (b"HTTP/1.1 409", "ended", sent),
                )
                self.assertEqual(self.refused(), {"x-txn is another's open one": 1})
                if fate != "open":
                    self.pass_time(1.0)
                    data, ending = self.read_all(self.client(req()))
                    self.assertEqual((data[:12], ending), (b"HTTP/1.1 409", "ended"))
                    self.pass_time(MIN_ID_LIFETIME / 10_000)
                    late_client = self.client(req(**elsewhere))
                    self.until(
                        lambda: self.gateway.host.unanswered == 1,
                        "the request was not accepted",
                    )
                    late_client.close()

    def test_one_octet_at_a_time_without_an_end_is_refused_in_time(self):
        """The head, a body with a length, and a chunked body are sent octet by octet.

        Each is sent on a fresh connection and after an answered request.
        """
        for start in (
            b"GET / HTTP/1.1\r\nX: ",
            req(Content_Length="900", **KEYED),
            req(Transfer_Encoding="chunked", **KEYED) + b"200\r\n",
        ):
            for after_request in (False, True):
                with self.subTest(start[:9], after_request=after_request):
                    self.restart()
                    normal_client = self.client(req(TXN + 7))
                    node_socket = self.accept()
                    node_socket.sendall(ANSWER)
                    self.until(lambda: b" 200 " in self.got(normal_client)[0])
                    bad_client, sent = self.client(), 0
                    if after_request:
                        self.serve(bad_client, node_socket, TXN + 1)
                    bad_client.sendall(start[:-1])
                    data = b""
                    while not data and sent < 80:
                        bad_client.sendall(start[-1:] if not sent else b"y")
                        sent += 1
                        if sent % 10 == 0:
                            self.serve(normal_client, node_socket, TXN + 8 + sent)
                        self.pass_time(0.05)
                        data = self.got(bad_client)[0]
                    self.assertEqual(
                        (data.count(b"HTTP/1.1 "), data[:12]), (1, b"HTTP/1.1 408")
                    )
                    self.assertLess(sent * 0.05, MAX_WAIT)
                    self.assertEqual(self.refused(), {"a request that does not end": 1})

    def test_a_client_that_begins_late_has_its_error_in_time(self):
        for delay in (0.5, 1.5, 2.1):
            with self.subTest(delay=delay):
                self.restart()
                bad_client = self.client()
                self.pass_time(delay)
                bad_client.sendall(req()[:60])
                self.pass_time(MAX_WAIT - 0.02 - delay)
                self.assertEqual(self.got(bad_client)[0][:12], b"HTTP/1.1 408")

    def test_a_client_that_never_reads_its_answers_is_refused_and_uses_little_memory(
        self,
    ):
        normal_client = self.client(req(TXN + 7))
        node_socket = self.accept()
        bad_client = self.client(window=4096)
        protocol = self.server_side()
        protocol.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for _ in range(400):
            with suppress(OSError):
                bad_client.send(LIVE * 1500)
            self.turn(1)
        self.assertEqual(self.refused(), {"too much ahead of an answer": 1})
        self.assertLess(
            len(protocol.transport.dataBuffer)
            + sum(map(len, protocol.transport._tempDataBuffer)),
            1 << 18,
        )
        node_socket.sendall(ANSWER)
        self.until(
            lambda: b" 200 " in self.got(normal_client)[0],
            "the normal client is not served",
        )
        self.pass_time(IDLE_TIMEOUT / 10_000 + 1.5)
        self.assertEqual(
            (len(self.gateway.listener.connections), self.gateway.buffers.held), (0, 0)
        )

    def test_immediate_repeats_of_a_rejected_request_delay_no_other_client(self):
        normal_client = self.client(req())
        node_socket = self.accept()
        for attempt in range(200):
            bad_client = self.client(req(name="none"))
            data, ending = self.read_all(bad_client)
            self.assertEqual((data[:12], ending), (b"HTTP/1.1 404", "ended"))
            bad_client.close()
        node_socket.sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(normal_client)[0])
        self.assertEqual(
            (len(self.gateway.listener.connections), self.refused()),
            (1, {"x-lane is not known": 200}),
        )


if __name__ == "__main__":
    unittest.main()
