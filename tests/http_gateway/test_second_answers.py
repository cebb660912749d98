"""A second answer that comes some milliseconds late answers no other request.

Node connections rest after an answer. The tests use loopback sockets and a clock of
their own.
"""

import unittest

from milletsill.http_gateway.node_pools import REUSE_DELAY
from tests.support.http_gateway_rig import TXN, Loopback, req

REST = REUSE_DELAY / 10_000  # seconds
FIRST = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


class SecondAnswers(Loopback):
    reuse_delay = REUSE_DELAY

    def pass_time(self, seconds):
        self.reference_time = self.time
        self.advance_to(seconds, 0.0005)

    def serve_first(self):
        """Serve a request; return the node's end of its connection."""
        client = self.client(req())
        node_socket = self.accept()
        node_socket.sendall(FIRST)
        self.until(lambda: b"first" in self.got(client)[0])
        return node_socket

    # Guards against clients that get the data of other clients' requests.
    def test_a_late_second_answer_goes_to_nobody(self):
        for late in (0.0, 0.001, 0.005, REST - 0.001):
            with self.subTest(late=late):
                self.restart()
                node_socket = self.serve_first()
                client = self.client(req(TXN + 1))
                self.turn(5)
                self.pass_time(late)
                node_socket.sendall(FIRST)
                self.until(lambda: self.got(node_socket)[1] != "open")
                self.pass_time(REST)
                self.accept().sendall(OTHER)
                self.until(lambda: b"other" in self.got(client)[0])

    def test_a_connection_that_has_rested_is_used_again(self):
        node_socket = self.serve_first()
        client = self.client(req(TXN + 1))
        self.turn(10)
        self.assertEqual(self.got(node_socket), (b"", "open"))
        self.pass_time(REST + 0.001)
        self.until(lambda: b"X-Txn" in self.got(node_socket)[0])
        node_socket.sendall(OTHER)
        self.until(lambda: b"other" in self.got(client)[0])
        self.assertEqual(self.gateway.node_pools.open_connections, 1)

    def test_of_several_connections_one_that_has_rested_is_used_at_once(self):
        clients = [self.client(req(TXN + number)) for number in range(2)]
        node_sockets = [self.accept(), self.accept()]
        node_sockets[0].sendall(FIRST)
        self.until(lambda: any(b"first" in self.got(each)[0] for each in clients))
        self.pass_time(REST)
        node_sockets[1].sendall(OTHER)
        self.turn(10)
        self.client(req(TXN + 2))
        self.until(lambda: b"X-Txn" in self.got(node_sockets[0])[0])


if __name__ == "__main__":
    unittest.main()
