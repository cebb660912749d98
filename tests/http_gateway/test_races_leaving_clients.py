"""Clients that leave, stop reading or send malformed data while a request is open.

The tests use loopback sockets.
"""

import socket
import unittest

from milletsill.http_gateway.client_connection_state import (
    IDLE_TIMEOUT,
    IDLE_TIMEOUT_WHEN_SHORT,
    LINGER_TIMEOUT,
    NEW_TIMEOUT,
    REQUEST_TIMEOUT,
)
from milletsill.http_gateway.endpoints import parse_node
from milletsill.interface import EndpointUpdateKind
from tests.http_gateway.test_races_shutdown import settings_with_client_timeout
from tests.support.http_gateway_rig import NODE, TXN, Loopback, req, reset

READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
LONG = 400_000


def answer(octets):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % octets + b"x" * octets


def leave(client, how):
    """Close the client's sending side, reset the connection or close it."""
    if how == "half":
        client.shutdown(socket.SHUT_WR)
    elif how == "reset":
        reset(client)
    else:
        client.close()


class LeavingClients(Loopback):
    def forwarded_attempts(self):
        return sum(
            count
            for (what, _), count in self.gateway.report.counts.items()
            if what == "dispatch"
        )

    def answers(self):
        return {
            value: count
            for (what, value), count in self.gateway.report.counts.items()
            if what == "answer"
        }

    def assert_all_ended(self, remaining=0):
        """Assert that the connections end, no request is open and none is forwarded."""
        self.until(
            lambda: len(self.gateway.listener.connections) == remaining,
            "the connection is still open",
        )
        sent = self.forwarded_attempts()
        self.pass_time(1.2)
        self.assertEqual(
            (
                self.gateway.host.active,
                self.gateway.host.unanswered,
                self.forwarded_attempts(),
            ),
            ({}, 0, sent),
        )

    def blocked_client(self):
        """Return a client that does not read its answer, and its protocol.

        The answer does not fit into the buffers of the sockets.
        """
        client = self.client(req(), window=4096)
        protocol = self.server_side()
        protocol.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.accept().sendall(answer(LONG))
        self.until(lambda: protocol.blocked, "the whole answer was written")
        return client, protocol

    def test_requests_of_a_client_that_left_before_the_read_are_not_forwarded(self):
        """The process stalls for half a second after the client's last octet and close.

        The client has either been accepted before or still waits in the accept queue.
        """
        for how in ("close", "half", "reset"):
            for accepted in (True, False):
                for requests in (1, 3):
                    with self.subTest(how=how, accepted=accepted, requests=requests):
                        self.restart()
                        client = (
                            self.client()
                            if accepted
                            else socket.create_connection(("127.0.0.1", self.port))
                        )
                        self.sockets.append(client)
                        client.sendall(
                            b"".join(req(TXN + number) for number in range(requests))
                        )
                        leave(client, how)
                        self.time += 0.5
                        self.turn(10)
                        self.assertEqual(
                            (self.forwarded_attempts(), self.answers()), (0, {})
                        )
                        self.assert_all_ended()

    def test_a_leaving_client_ends_its_open_request_and_the_pipelined_one(self):
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.restart()
                client = self.client(req())
                node_socket = self.accept()
                client.sendall(req(TXN + 1))
                self.turn()
                leave(client, how)
                self.until(
                    lambda: self.got(node_socket)[1] == "reset",
                    "the node's connection was not reset",
                )
                self.assert_all_ended()
                self.assertEqual(
                    (self.forwarded_attempts(), self.answers()), (1, {"abandoned": 1})
                )

    def test_a_client_that_leaves_during_a_stall_has_no_further_attempt(self):
        """The process stalls for half a second.

        Then it reads both the node's failure and the client's close.
        """
        for how in ("close", "reset"):
            for node_answer in (
                b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
                b"",
            ):
                with self.subTest(how=how, node_answer=node_answer):
                    self.restart()
                    client = self.client(req())
                    node_socket = self.accept()
                    node_socket.sendall(node_answer)
                    leave(client, how)
                    self.time += 0.5
                    self.turn(10)
                    self.assertEqual(
                        (self.forwarded_attempts(), self.answers()),
                        (1, {"abandoned": 1}),
                    )
                    self.assert_all_ended()

    def test_a_request_that_waits_for_a_node_is_dropped_when_its_client_leaves(self):
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.restart()
                client = self.client(
                    req(X_IO="volume=00000003b4d60021,units=2,shard=2,hosts=1")
                )
                self.until(
                    lambda: self.gateway.host.unanswered, "the request was not accepted"
                )
                leave(client, how)
                self.turn(5)
                node = NODE | {
                    "id": "s-2",
                    "cell": 2,
                    "addr": "127.0.0.1:%d" % self.node.getsockname()[1],
                }
                self.gateway.on_endpoints(
                    EndpointUpdateKind.DELTA, [parse_node(node, ["z"], 0)]
                )
                self.assert_all_ended()
                self.assertEqual(
                    (self.forwarded_attempts(), self.answers()), (0, {"abandoned": 1})
                )

    def test_a_client_that_stops_reading_and_leaves_is_noticed(self):
        """The gateway does not forward the client's pipelined request."""
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.restart()
                client, protocol = self.blocked_client()
                client.sendall(req(TXN + 1))
                self.turn()
                self.assertTrue(protocol.has_partial_request)
                leave(client, how)
                self.turn(10)
                self.assertIn(protocol.state.name, ("CLOSING", "CLOSED"))
                self.pass_time(LINGER_TIMEOUT / 10_000 + 0.2)
                self.assert_all_ended()
                self.assertEqual(
                    (
                        self.forwarded_attempts(),
                        self.answers(),
                        self.gateway.buffers.held,
                    ),
                    (1, {"satisfied": 1}, 0),
                )

    def test_a_client_that_stops_reading_and_stays_is_disconnected(self):
        client, protocol = self.blocked_client()
        self.pass_time(2 * IDLE_TIMEOUT / 10_000 + 0.5)
        self.assertEqual(
            (len(self.gateway.listener.connections), self.gateway.buffers.held), (0, 0)
        )
        self.assertEqual(self.got(client)[1], "reset")

    def test_a_last_answer_that_is_read_slowly_arrives_complete(self):
        for ends in ("asked", "half"):
            with self.subTest(ends=ends):
                self.restart()
                client = self.client(req(Connection="close"), window=4096)
                protocol = self.server_side()
                protocol.transport.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                self.accept().sendall(answer(LONG))
                self.until(lambda: protocol.state.name == "CLOSING", "no answer")
                data = bytearray()
                if ends == "half":
                    client.shutdown(socket.SHUT_WR)
                    self.turn()
                for _ in range(4):
                    self.pass_time(0.2 if ends == "half" else 0.5)
                    data += client.recv(4096)

                def ended():
                    piece, how = self.got(client)
                    data.extend(piece)
                    return how != "open"

                self.until(ended)
                self.assertEqual(data.count(b"x"), LONG)

    def test_a_last_answer_in_the_sockets_buffer_outlives_the_client_connection(self):
        client = self.client(req(Connection="close"), window=4096)
        protocol = self.server_side()
        self.accept().sendall(answer(LONG))
        self.until(lambda: protocol.sent, "the answer was not written")
        self.pass_time(LINGER_TIMEOUT / 10_000 + 0.2)
        self.assertFalse(self.gateway.listener.connections)
        data, how = self.read_all(client)
        self.assertEqual((data.count(b"x"), how), (LONG, "ended"))

    def test_an_idle_close_over_a_request_does_not_cut_the_previous_answer(self):
        client = self.client(req(), window=4096)
        self.accept().sendall(answer(LONG))
        self.until(lambda: self.gateway.report.counts["answer", "satisfied"])
        self.turn(30)
        protocol = self.server_side()
        # The rest of the answer is in the socket's buffer.
        self.assertFalse(protocol.blocked)
        self.time += IDLE_TIMEOUT_WHEN_SHORT / 10_000
        protocol.check(self.now(), True)
        client.sendall(req(TXN + 1))
        self.wait_for_input()
        self.turn()
        data = bytearray()

        def ended():
            piece, how = self.got(client)
            data.extend(piece)
            return how != "open"

        self.until(ended)
        self.assertEqual((data.count(b"x"), self.forwarded_attempts()), (LONG, 1))

    def test_a_request_that_has_arrived_is_read_before_its_timeout_applies(self):
        """The process stalls, so its timers run before it reads what has arrived.

        The timers are those of an idle close and of an incomplete request. The client
        waits for longer than the stall; otherwise its request is too late.
        """
        self.changed = {"settings": settings_with_client_timeout(60.0)}
        request = req(X_Remaining_Ms="60000")
        for first_data, timeout in (
            (READY, IDLE_TIMEOUT),
            (request[:60], REQUEST_TIMEOUT),
            (b"", NEW_TIMEOUT),
        ):
            with self.subTest(first_data=first_data[:9], timeout=timeout):
                self.restart()
                client = self.client(first_data)
                self.turn(5)
                self.got(client)
                client.sendall(request[60:] if timeout == REQUEST_TIMEOUT else request)
                self.wait_for_input()
                self.time += timeout / 10_000
                self.turn()
                self.accept().sendall(answer(2))
                self.until(lambda: b" 200 " in self.got(client)[0], "no answer")

    def test_an_error_reaches_a_client_that_closes_its_side_after_malformed_data(self):
        client = self.client()
        client.sendall(b"\x00\xff\n\n")
        client.shutdown(socket.SHUT_WR)
        data, how = self.read_all(client)
        self.assertEqual((data.count(b"HTTP/1.1 400"), how), (1, "ended"))
        self.assert_all_ended()

    def test_a_request_read_while_another_is_accepted_waits_for_its_answer(self):
        """The first request fills one read of the socket exactly.

        The second is read by the check for the client's close.
        """
        body_length = (
            65_536
            - len(
                req(method="PUT", name="put", body=b"y" * 60_000, Idempotency_Key="k")
            )
            + 60_000
        )
        client = self.client()
        client.sendall(
            req(method="PUT", name="put", body=b"y" * body_length, Idempotency_Key="k")
            + req(TXN + 1)
        )
        node_socket = self.accept()
        self.turn(5)
        self.assertEqual(
            (self.forwarded_attempts(), self.gateway.host.unanswered), (1, 1)
        )
        node_socket.sendall(answer(2))
        received = b""

        def second_arrived():
            nonlocal received
            received += self.got(node_socket)[0]
            return b"X-Txn: %016x" % (TXN + 1) in received

        self.until(second_arrived)
        self.assertEqual(self.got(client)[0].count(b"HTTP/1.1 200"), 1)

    def test_hundreds_of_requests_answered_at_once_are_all_answered(self):
        client = self.client(
            READY * 700
        )  # answering them recursively would exceed Python's recursion limit
        data = bytearray()
        self.until(
            lambda: (
                data.extend(self.got(client)[0]) or data.count(b"HTTP/1.1 200") == 700
            ),
            "not all requests were answered",
        )


if __name__ == "__main__":
    unittest.main()
