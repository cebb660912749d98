"""Attempts and node connections in races with events that end them.

Each node is a plain listening socket on loopback. The tests run the reactor turn by
turn, so no result depends on a wait.
"""

import socket
import unittest

from milletsill.http_gateway.endpoints import node_number, parse_node
from milletsill.http_gateway.node_pools import HttpNodePools, NodePoolsConfig
from milletsill.http_gateway.request_parser import ForwardedPayload
from milletsill.http_gateway.resource_limits import BufferBudget
from milletsill.interface import AttemptOutcome, EndpointUpdateKind
from tests.support.http_gateway_rig import NODE, SETTINGS, TXN, Loopback, req, reset
from tests.support.loopback import LoopbackReactor, accept, create_listener, receive

HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nhi"


class NodeConnectionRaces(unittest.TestCase):
    """The node connections without the rest of the gateway."""

    def setUp(self):
        self.loop = LoopbackReactor()
        self.addCleanup(self.loop.close)
        self.outcomes, self.notes = [], []
        self.pools = HttpNodePools(
            self.loop.reactor,
            self.loop.now,
            NodePoolsConfig(16, 100_000, 300_000),
            BufferBudget(64),
            lambda *values: self.notes.append(values),
        )
        self.addCleanup(self.pools.stop)

    def node(self):
        sock = create_listener()
        self.addCleanup(sock.close)
        return sock, sock.getsockname()[1]

    def assert_no_request(self, listener):
        """Assert that every connection to the node ends without an octet sent."""
        self.loop.turn(20)
        while (sock := accept(listener)) is not None:
            sock.setblocking(False)
            self.assertIn(receive(sock), (None, b""), "a request was sent to the node")
            sock.close()

    def list_node(self, port, **entry):
        self.pools.update(
            False, [parse_node(NODE | {"addr": f"127.0.0.1:{port}"} | entry, ["z"], 0)]
        )

    def start_attempt(self, body=b"", remaining=50_000):
        number = len(self.outcomes)
        self.outcomes.append(None)

        def on_end(outcome, verdict):
            self.assertIsNone(self.outcomes[number], "the attempt ended twice")
            self.outcomes[number] = (
                outcome if verdict is None else (outcome, verdict.body)
            )

        return self.pools.send_attempt(
            ForwardedPayload(b"PUT", b"/put", [(b"X-Txn", b"%d" % number)], body),
            node_number("s-1"),
            self.loop.now() + remaining,
            on_end,
        )

    def outcome(self, number=0):
        return self.loop.until(lambda: self.outcomes[number], "the attempt did not end")

    def serve(self, listener, answer=WHOLE):
        """Run an attempt to its answer; return the node's socket, now idle."""
        self.start_attempt()
        sock = self.loop.accept(listener)
        self.addCleanup(sock.close)
        self.loop.read(sock)
        sock.sendall(answer)
        self.assertEqual(
            self.outcome(len(self.outcomes) - 1), (AttemptOutcome.SUCCEEDED, b"hi")
        )
        return sock

    def test_a_withdrawn_attempt_ends_at_its_node_before_another_begins(self):
        """One turn withdraws an attempt and starts another while a connection is idle.

        In the second case the check of the waiting attempts is already scheduled.
        """
        for due in (False, True):
            with self.subTest(due=due):
                listener, port = self.node()
                self.list_node(port)
                idle = self.serve(listener)
                first = self.start_attempt()
                self.loop.read(idle)
                second = self.start_attempt()
                second_socket = self.loop.accept(listener)
                # Both connections are busy; then one becomes idle.
                self.loop.read(second_socket)
                idle.sendall(WHOLE)
                self.loop.until(lambda: self.pools.pools[node_number("s-1")].idle)
                if due:
                    self.pools.pools[node_number("s-1")].turn.schedule()
                second.withdraw(AttemptOutcome.TIMED_OUT)
                third = self.start_attempt()
                self.assertFalse(third.begun, "begun before the reset was sent")
                while not third.begun:
                    self.loop.turn()
                with self.assertRaises(ConnectionResetError):
                    second_socket.recv(1)
                self.assertTrue(first.over)
                self.assertIn(b"X-Txn", self.loop.read(idle))
                self.pools.stop()
                idle.close()

    def test_a_node_that_drains_before_its_connection_is_up_gets_no_request(self):
        for state in ("leaving", "left"):
            listener, port = self.node()
            self.list_node(port)
            # The kernel connects at once; the reactor does not run until the update.
            self.start_attempt()
            self.list_node(port, state=state)
            self.assertIs(
                self.outcomes[-1],
                AttemptOutcome.WITHDRAWN,
                "the attempt did not end at once, to be placed elsewhere",
            )
            self.assert_no_request(listener)

    def test_a_node_missing_from_a_full_list_gets_no_request(self):
        listener, port = self.node()
        self.list_node(port)
        self.start_attempt()
        self.pools.update(True, [])
        self.assertIs(self.outcomes[0], AttemptOutcome.WITHDRAWN)
        self.assert_no_request(listener)
        self.assertIsNone(self.start_attempt())

    def test_a_node_that_moves_before_its_connection_is_up_is_reached_there(self):
        (old, old_port), (new, new_port) = self.node(), self.node()
        self.list_node(old_port)
        self.start_attempt()
        self.list_node(new_port)
        sock = self.loop.accept(new)
        self.assertIn(b"X-Txn: 0", self.loop.read(sock))
        sock.sendall(WHOLE)
        self.assertEqual(self.outcome(), (AttemptOutcome.SUCCEEDED, b"hi"))
        self.assert_no_request(old)

    def test_a_failed_connect_to_a_nodes_old_address_ends_no_attempt(self):
        closed, old_port = self.node()
        closed.close()  # connections are refused
        listener, new_port = self.node()
        self.list_node(old_port)
        self.start_attempt()
        self.list_node(new_port)
        self.assertIn(b"X-Txn: 0", self.loop.read(self.loop.accept(listener)))

    def test_a_connection_to_a_nodes_old_address_is_not_used_again(self):
        (old, old_port), (new, new_port) = self.node(), self.node()
        self.list_node(old_port)
        self.start_attempt()
        sock = self.loop.accept(old)
        self.loop.read(sock)
        self.list_node(new_port)
        sock.sendall(WHOLE)
        self.assertEqual(self.outcome(), (AttemptOutcome.SUCCEEDED, b"hi"))
        self.start_attempt()
        self.assertIn(b"X-Txn: 1", self.loop.read(self.loop.accept(new)))
        self.assertIn(receive(sock), (None, b""))

    def test_an_attempt_on_a_closed_idle_connection_does_not_retry_a_draining_node(
        self,
    ):
        listener, port = self.node()
        self.list_node(port)
        sock = self.serve(listener)
        sock.close()  # the FIN is in the gateway's socket, unread
        self.start_attempt()
        self.loop.turn()  # one turn reads and writes: the close is read first
        self.list_node(port, state="leaving")
        self.loop.turn(5)
        self.assertIsNotNone(self.outcomes[1])
        self.assert_no_request(listener)

    def test_an_attempt_on_a_closed_idle_connection_uses_a_new_connection(self):
        listener, port = self.node()
        self.list_node(port)
        self.serve(listener).close()
        self.start_attempt()
        sock = self.loop.accept(listener)
        self.assertIn(b"X-Txn: 1", self.loop.read(sock))
        sock.sendall(WHOLE)
        self.assertEqual(self.outcome(1), (AttemptOutcome.SUCCEEDED, b"hi"))

    def test_an_attempt_past_its_deadline_does_not_begin_when_connected(self):
        listener, port = self.node()
        self.list_node(port)
        self.start_attempt(remaining=0)
        self.assertIs(self.outcome(), AttemptOutcome.UNREACHABLE)
        self.assert_no_request(listener)

    def test_the_next_attempt_takes_the_connection_of_a_withdrawn_one(self):
        listener, port = self.node()
        self.list_node(port)
        first = self.start_attempt()
        self.assertFalse(first.begun)
        first.withdraw(AttemptOutcome.WITHDRAWN)
        self.start_attempt()
        self.assertIn(b"X-Txn: 1", self.loop.read(self.loop.accept(listener)))

    def test_an_answer_without_a_length_ends_with_a_close_and_not_with_a_reset(self):
        for end, expected in (
            (socket.socket.close, (AttemptOutcome.SUCCEEDED, b"all of it")),
            (reset, AttemptOutcome.RESET),
        ):
            listener, port = self.node()
            self.list_node(port)
            self.start_attempt()
            sock = self.loop.accept(listener)
            self.loop.read(sock)
            for octet in HEAD + b"Connection: close\r\n\r\nall of it":
                sock.sendall(bytes([octet]))
                self.loop.turn()
            self.assertIsNone(self.outcomes[-1], "the attempt ended before the close")
            end(sock)
            self.assertEqual(self.outcome(len(self.outcomes) - 1), expected)

    def test_a_truncated_answer_counts_as_a_reset_however_it_ends(self):
        for part in (
            b"HTT",
            HEAD,
            HEAD + b"Content-Length: 5\r\n\r\nab",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        ):
            for end in (socket.socket.close, reset):
                listener, port = self.node()
                self.list_node(port)
                self.start_attempt()
                sock = self.loop.accept(listener)
                self.loop.read(sock)
                sock.sendall(part)
                self.loop.turn(3)
                end(sock)
                self.assertIs(
                    self.outcome(len(self.outcomes) - 1), AttemptOutcome.RESET
                )

    def test_an_endless_answer_is_cut_at_the_limit(self):
        listener, port = self.node()
        self.list_node(port)
        self.start_attempt()
        sock = self.loop.accept(listener)
        self.loop.read(sock)
        sock.sendall(HEAD + b"\r\n")

        def pour():
            try:
                sock.send(b"x" * 65_536)
            except (BlockingIOError, ConnectionError):
                pass
            return self.outcomes[0]

        self.assertIs(self.loop.until(pour), AttemptOutcome.ERROR)
        self.assertEqual((self.pools.buffers.held, self.pools.open_connections), (0, 0))

    def test_interim_answers_octet_by_octet_and_extra_octets(self):
        listener, port = self.node()
        self.list_node(port)
        self.start_attempt()
        sock = self.loop.accept(listener)
        self.loop.read(sock)
        for octet in b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE[:-1]:
            sock.sendall(bytes([octet]))
            self.loop.turn()
        sock.sendall(WHOLE[-1:] + b"HTTP/1.1 500 No\r\n")
        self.assertEqual(self.outcome(), (AttemptOutcome.SUCCEEDED, b"hi"))
        self.start_attempt()  # not on the connection with the extra octets
        self.assertIn(b"X-Txn: 1", self.loop.read(self.loop.accept(listener)))

    def test_a_second_answer_on_an_idle_connection_answers_no_later_request(self):
        listener, port = self.node()
        self.list_node(port)
        sock = self.serve(listener)
        sock.sendall(
            HEAD + b"Content-Length: 5\r\n\r\nwrong"
        )  # unread when the next attempt takes the connection
        self.start_attempt()
        other = self.loop.accept(listener)
        self.assertIn(b"X-Txn: 1", self.loop.read(other))
        self.assertIn(receive(sock), (None, b""), "a request used the first connection")
        other.sendall(WHOLE)
        self.assertEqual(self.outcome(1), (AttemptOutcome.SUCCEEDED, b"hi"))

    def test_an_answer_before_the_request_is_written_closes_the_connection(self):
        listener, port = self.node()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.list_node(port)
        self.start_attempt(body=b"x" * (8 << 20))  # more than both sockets buffer
        sock = self.loop.accept(listener)
        self.loop.read(sock)
        sock.sendall(
            HEAD.replace(b"200 OK", b"503 Full")
            + b"X-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.outcome(), (AttemptOutcome.REJECTED, b""))
        self.loop.until(lambda: self.pools.open_connections == 0)


class ReplacedNode(Loopback):
    """A gateway whose node is removed while an attempt to it is open."""

    def remove_node(self, *others):
        nodes = [NODE | {"state": "left"}, *others]
        self.gateway.on_endpoints(
            EndpointUpdateKind.DELTA, [parse_node(each, ["z"], 0) for each in nodes]
        )

    def test_an_attempt_that_waits_for_a_replaced_node_goes_to_its_successor(self):
        successor = socket.create_server(("127.0.0.1", 0))
        self.sockets.append(successor)
        client = self.client(req())
        self.until(lambda: self.gateway.report.counts["dial", ""])
        self.remove_node(
            NODE | {"id": "s-2", "addr": "127.0.0.1:%d" % successor.getsockname()[1]}
        )
        first, self.node = self.node, successor
        node_socket = self.accept()
        first.setblocking(False)
        if (sock := accept(first)) is not None:
            sock.setblocking(False)
            self.assertIn(receive(sock), (None, b""), "the old node got a request")
            sock.close()
        node_socket.sendall(WHOLE)
        self.until(
            lambda: self.unread_by(client).endswith(b"hi"), "the client has no answer"
        )

    def test_the_answer_of_a_removed_node_is_still_awaited(self):
        client = self.client(req())
        node_socket = self.accept()
        self.remove_node()
        self.pass_time(0.3)  # the periodic check removes ended nodes
        node_socket.sendall(WHOLE)
        self.until(
            lambda: self.unread_by(client).endswith(b"hi"), "the client has no answer"
        )
        self.until(lambda: self.gateway.node_pools.open_connections == 0)
        self.pass_time(0.3)
        self.assertEqual(self.gateway.node_pools.pools, {})

    def unread_by(self, client):
        try:
            return client.recv(1 << 16, socket.MSG_PEEK)
        except BlockingIOError:
            return b""


class LeavingClient(Loopback):
    """A gateway whose client leaves while its attempt waits for a connection.

    The settings do not allow attempts to be cancelled.
    """

    changed = {
        "settings": SETTINGS
        | {
            "limits": SETTINGS["limits"]
            | {"cancel": False, "dial_timeout_ns": 10_000_000_000}
        }
    }

    def connect_count(self):
        return self.gateway.report.counts["dial", ""]

    def assert_no_request(self):
        """Assert that no connection brought the node an octet of a request."""
        self.turn(20)
        self.node.setblocking(False)
        while (sock := accept(self.node)) is not None:
            sock.setblocking(False)
            self.assertIn(receive(sock), (None, b""), "a request was sent to the node")
            sock.close()

    def test_a_client_that_leaves_in_the_turn_that_connects_is_not_served(self):
        for number, leave in enumerate((socket.socket.close, reset)):
            client = self.client(req(TXN + number))
            before = self.connect_count()
            self.until(
                lambda: self.connect_count() > before
            )  # the next turn reads both the connection and the client's close
            leave(client)
            self.assert_no_request()
            self.assertEqual(self.gateway.host.unanswered, 0)

    def test_an_attempt_that_waits_when_its_client_leaves_does_not_begin(self):
        self.client(req())
        self.until(self.connect_count)
        self.gateway.host.cancel_request(next(iter(self.gateway.host.active)))
        self.assert_no_request()
        self.assertEqual(
            (self.gateway.report.counts["ended", "moot"], self.gateway.host.active),
            (1, {}),
        )


if __name__ == "__main__":
    unittest.main()
