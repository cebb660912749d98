"""Clients that close their connection with much still unread, and ids that come again.

Nothing is forwarded for a client that has left, however much it has sent behind its
request; an id that a node may have run is not accepted again. Loopback sockets.
"""

import socket
import time
import unittest
from contextlib import suppress

from milletsill.http_gateway.recent_request_ids import MIN_ID_LIFETIME
from tests.support.http_gateway_rig import TXN, Loopback, req, reset

LIVE = b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}
CHUNKED = req(TXN + 1, Transfer_Encoding="chunked", **KEYED)
SENT = {
    "requests that are answered at once, before and behind": LIVE * 20_000
    + req()
    + LIVE * 60_000,
    "a long body behind": req()
    + req(TXN + 1, Content_Length=str(1 << 20), **KEYED)
    + b"x" * (1 << 20)
    + req(TXN + 2) * 8_000,
    "a body in tiny chunks behind": req() + CHUNKED + b"1\r\nx\r\n" * 400_000,
    "a body in long chunks behind": req()
    + CHUNKED
    + (b"%x\r\n" % 200_000 + b"x" * 200_000 + b"\r\n") * 12,
    "hundreds of requests behind": b"".join(
        req(TXN + number) for number in range(8_000)
    ),
}


class LeftWithMuchUnread(Loopback):
    def send_and_leave(self, data, how):
        """Send as much as fits unread, and leave."""
        client = self.client()
        with suppress(BlockingIOError):
            while data:
                data = data[client.send(data) :]
        time.sleep(0.05)
        if how == "half":
            client.shutdown(socket.SHUT_WR)
        elif how == "reset":
            reset(client)
        else:
            client.close()
        time.sleep(0.05)

    # Guards against requests that are sent on after their client has left.
    def test_no_request_is_forwarded_after_its_client_has_left(self):
        """The gateway is slow: each of its turns takes 5 ms."""
        for name, data in SENT.items():
            for how in ("close", "half", "reset"):
                with self.subTest(name, how=how):
                    self.restart()
                    self.send_and_leave(data, how)
                    for _ in range(200):
                        self.time += 0.005
                        self.turn(1)
                    self.assertEqual(self.gateway.report.counts["dispatch", "0"], 0)
                    self.assertEqual(self.gateway.host.active, {})

    def test_a_close_behind_several_reads_is_noticed_after_a_stall(self):
        """The request is read before the stall, in which its client sends and leaves.

        An idle connection leads to the node, so that an attempt begins at once.
        """
        body = b"x" * 65_536
        for how in ("close", "half", "reset"):
            for octets in (60_000, 66_000, 80_000, 140_000):
                with self.subTest(how=how, octets=octets):
                    self.restart()
                    warm_client = self.client(req(TXN + 9))
                    self.accept().sendall(ANSWER)
                    self.until(lambda: b" 200 " in self.got(warm_client)[0])
                    client = self.client()
                    client.sendall(req())
                    self.wait_for_input()
                    self.reactor.iterate(0)
                    self.assertEqual(self.gateway.host.unanswered, 1)
                    data = req(TXN + 1, body=body, **KEYED) * 2
                    client.sendall(data[:octets])
                    if how == "reset":
                        reset(client)
                    elif how == "half":
                        client.shutdown(socket.SHUT_WR)
                    else:
                        client.close()
                    time.sleep(0.01)
                    self.time += 0.15
                    self.turn(20)
                    self.assertEqual(self.gateway.report.counts["dispatch", "0"], 1)
                    self.assertEqual(self.gateway.host.active, {})

    def test_a_close_is_noticed_while_the_next_request_waits_for_its_share(self):
        """The next request is a body in tiny chunks; other clients use the work."""
        client = self.client(LIVE + req() + CHUNKED + b"1\r\nx\r\n" * 2_000)
        node_socket = self.accept()
        self.assertTrue(self.server_side().input.is_waiting)
        self.gateway.client_work.left = 0
        self.gateway.client_work._run = lambda: None  # its share never comes
        client.close()
        self.until(lambda: self.got(node_socket)[1] == "reset", "no reset at the node")


class IdsThatComeAgain(Loopback):
    def setUp(self):
        super().setUp()
        start_attempt = self.gateway.host.start_attempt
        self.attempts = []

        def counted(*values):
            self.attempts.append(values)
            return start_attempt(*values)

        self.gateway.host.start_attempt = counted

    def leave_after_forwarding(self):
        client = self.client(req())
        node_socket = self.accept()
        client.close()
        self.until(lambda: self.gateway.report.counts["answer", "abandoned"])
        return node_socket

    # Guards against an id that runs twice when it comes again after its client has left.
    def test_an_id_is_refused_after_its_clients_time_too(self):
        self.leave_after_forwarding()
        for wait in (0.95, 5.0, 10.0):
            self.pass_time(wait)
            data, how = self.read_all(self.client(req()))
            self.assertEqual((data[:12], how), (b"HTTP/1.1 409", "ended"))
        self.assertEqual(len(self.attempts), 1)

    def test_an_id_is_accepted_again_in_the_end(self):
        self.leave_after_forwarding()
        self.pass_time(MIN_ID_LIFETIME / 10_000 + 1)
        self.client(req())
        self.until(lambda: len(self.attempts) == 2)


if __name__ == "__main__":
    unittest.main()
