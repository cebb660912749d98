"""Dispatches and their links on real sockets, in the instants in which something else ends: no wait decides, the test turns the
reactor. Each node is a plain create_listener socket.
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


class Links(unittest.TestCase):
    """The links alone."""

    def setUp(self):
        self.loop = LoopbackReactor()
        self.addCleanup(self.loop.close)
        self.ended, self.notes = [], []
        self.fleet = HttpNodePools(
            self.loop.reactor,
            self.loop.now,
            NodePoolsConfig(16, 100_000, 300_000),
            BufferBudget(64),
            lambda *values: self.notes.append(values),
        )
        self.addCleanup(self.fleet.stop)

    def node(self):
        sock = create_listener()
        self.addCleanup(sock.close)
        return sock, sock.getsockname()[1]

    def silent(self, listener):
        """Nothing was ever sent to a node.

        Every connection that came ends without an octet.
        """
        self.loop.turn(20)
        while (sock := accept(listener)) is not None:
            sock.setblocking(False)
            self.assertIn(receive(sock), (None, b""), "a request went to it")
            sock.close()

    def listed(self, port, **entry):
        self.fleet.update(
            False, [parse_node(NODE | {"addr": f"127.0.0.1:{port}"} | entry, ["z"], 0)]
        )

    def carry(self, body=b"", left=50_000):
        number = len(self.ended)
        self.ended.append(None)

        def ended(outcome, verdict):
            self.assertIsNone(self.ended[number], "ended twice")
            self.ended[number] = outcome if verdict is None else (outcome, verdict.body)

        return self.fleet.send_attempt(
            ForwardedPayload(b"PUT", b"/put", [(b"X-Txn", b"%d" % number)], body),
            node_number("s-1"),
            self.loop.now() + left,
            ended,
        )

    def outcome(self, number=0):
        return self.loop.until(lambda: self.ended[number], "no end")

    def served(self, listener, answer=WHOLE):
        """A first dispatch that was answered; its connection stands idle."""
        self.carry()
        sock = self.loop.accept(listener)
        self.addCleanup(sock.close)
        self.loop.read(sock)
        sock.sendall(answer)
        self.assertEqual(
            self.outcome(len(self.ended) - 1), (AttemptOutcome.SUCCEEDED, b"hi")
        )
        return sock

    def test_what_is_given_up_is_over_at_its_node_before_another_begins(self):
        """In one turn a dispatch is given up and a further one is there, with a link that is free; also
        where the look at those that wait was due before.
        """
        for due in (False, True):
            with self.subTest(due=due):
                listener, port = self.node()
                self.listed(port)
                idle = self.served(listener)
                first = self.carry()
                self.loop.read(idle)
                second = self.carry()
                out = self.loop.accept(listener)
                self.loop.read(out)  # two links, both busy; then the one is free
                idle.sendall(WHOLE)
                self.loop.until(lambda: self.fleet.pools[node_number("s-1")].idle)
                if due:
                    self.fleet.pools[node_number("s-1")].turn.schedule()
                second.withdraw(AttemptOutcome.TIMED_OUT)
                further = self.carry()
                self.assertFalse(further.begun, "beside one that is out")
                while not further.begun:
                    self.loop.turn()
                with self.assertRaises(ConnectionResetError):
                    out.recv(1)
                self.assertTrue(first.over)
                self.assertIn(b"X-Txn", self.loop.read(idle))
                self.fleet.stop()
                idle.close()

    def test_a_node_that_drains_before_its_link_is_up_gets_nothing(self):
        for state in ("leaving", "left"):
            listener, port = self.node()
            self.listed(port)
            self.carry()  # the kernel has it up at once; the gateway has not looked yet
            self.listed(port, state=state)
            self.assertIs(
                self.ended[-1],
                AttemptOutcome.WITHDRAWN,
                "told at once, to be placed elsewhere",
            )
            self.silent(listener)

    def test_a_node_that_a_whole_list_leaves_out_gets_nothing(self):
        listener, port = self.node()
        self.listed(port)
        self.carry()
        self.fleet.update(True, [])
        self.assertIs(self.ended[0], AttemptOutcome.WITHDRAWN)
        self.silent(listener)
        self.assertIsNone(self.carry())

    def test_a_node_that_moves_before_its_link_is_up_is_reached_where_it_is(self):
        (old, before), (new, after) = self.node(), self.node()
        self.listed(before)
        self.carry()
        self.listed(after)
        sock = self.loop.accept(new)
        self.assertIn(b"X-Txn: 0", self.loop.read(sock))
        sock.sendall(WHOLE)
        self.assertEqual(self.outcome(), (AttemptOutcome.SUCCEEDED, b"hi"))
        self.silent(old)

    def test_a_dial_that_fails_where_the_node_was_ends_nothing(self):
        gone, before = self.node()
        gone.close()  # refused
        listener, after = self.node()
        self.listed(before)
        self.carry()
        self.listed(after)
        self.assertIn(b"X-Txn: 0", self.loop.read(self.loop.accept(listener)))

    def test_a_link_that_was_busy_while_its_node_moved_is_not_used_again(self):
        (old, before), (new, after) = self.node(), self.node()
        self.listed(before)
        self.carry()
        sock = self.loop.accept(old)
        self.loop.read(sock)
        self.listed(after)
        sock.sendall(WHOLE)
        self.assertEqual(self.outcome(), (AttemptOutcome.SUCCEEDED, b"hi"))
        self.carry()
        self.assertIn(b"X-Txn: 1", self.loop.read(self.loop.accept(new)))
        self.assertIn(receive(sock), (None, b""))

    def test_an_idle_link_that_the_node_closes_under_a_dispatch_does_not_bring_it_to_a_node_that_drains(
        self,
    ):
        listener, port = self.node()
        self.listed(port)
        sock = self.served(listener)
        sock.close()  # the FIN lies in our socket, unread
        self.carry()
        self.loop.turn()  # read and write come in one round: the close is read first
        self.listed(port, state="leaving")
        self.loop.turn(5)
        self.assertIsNotNone(self.ended[1])
        self.silent(listener)

    def test_an_idle_link_that_the_node_closes_costs_another_link_and_nothing_else(
        self,
    ):
        listener, port = self.node()
        self.listed(port)
        self.served(listener).close()
        self.carry()
        sock = self.loop.accept(listener)
        self.assertIn(b"X-Txn: 1", self.loop.read(sock))
        sock.sendall(WHOLE)
        self.assertEqual(self.outcome(1), (AttemptOutcome.SUCCEEDED, b"hi"))

    def test_one_whose_time_is_over_before_its_link_is_up_does_not_begin(self):
        listener, port = self.node()
        self.listed(port)
        self.carry(left=0)
        self.assertIs(self.outcome(), AttemptOutcome.UNREACHABLE)
        self.silent(listener)

    def test_one_that_was_withdrawn_before_its_link_is_up_does_not_begin_and_the_next_takes_the_link(
        self,
    ):
        listener, port = self.node()
        self.listed(port)
        first = self.carry()
        self.assertFalse(first.begun)
        first.withdraw(AttemptOutcome.WITHDRAWN)
        self.carry()
        self.assertIn(b"X-Txn: 1", self.loop.read(self.loop.accept(listener)))

    def test_an_answer_without_a_length_ends_with_a_close_and_not_with_a_reset(self):
        for end, wanted in (
            (socket.socket.close, (AttemptOutcome.SUCCEEDED, b"all of it")),
            (reset, AttemptOutcome.RESET),
        ):
            listener, port = self.node()
            self.listed(port)
            self.carry()
            sock = self.loop.accept(listener)
            self.loop.read(sock)
            for octet in HEAD + b"Connection: close\r\n\r\nall of it":
                sock.sendall(bytes([octet]))
                self.loop.turn()
            self.assertIsNone(self.ended[-1], "no end was told yet")
            end(sock)
            self.assertEqual(self.outcome(len(self.ended) - 1), wanted)

    def test_half_an_answer_is_none_whichever_way_it_ends(self):
        for half in (
            b"HTT",
            HEAD,
            HEAD + b"Content-Length: 5\r\n\r\nab",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        ):
            for end in (socket.socket.close, reset):
                listener, port = self.node()
                self.listed(port)
                self.carry()
                sock = self.loop.accept(listener)
                self.loop.read(sock)
                sock.sendall(half)
                self.loop.turn(3)
                end(sock)
                self.assertIs(self.outcome(len(self.ended) - 1), AttemptOutcome.RESET)

    def test_an_answer_that_never_ends_is_cut_at_the_bound(self):
        listener, port = self.node()
        self.listed(port)
        self.carry()
        sock = self.loop.accept(listener)
        self.loop.read(sock)
        sock.sendall(HEAD + b"\r\n")

        def pour():
            try:
                sock.send(b"x" * 65_536)
            except (BlockingIOError, ConnectionError):
                pass
            return self.ended[0]

        self.assertIs(self.loop.until(pour), AttemptOutcome.ERROR)
        self.assertEqual((self.fleet.buffers.held, self.fleet.open_connections), (0, 0))

    def test_interim_answers_octet_by_octet_and_octets_right_behind(self):
        listener, port = self.node()
        self.listed(port)
        self.carry()
        sock = self.loop.accept(listener)
        self.loop.read(sock)
        for octet in b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE[:-1]:
            sock.sendall(bytes([octet]))
            self.loop.turn()
        sock.sendall(WHOLE[-1:] + b"HTTP/1.1 500 No\r\n")
        self.assertEqual(self.outcome(), (AttemptOutcome.SUCCEEDED, b"hi"))
        self.carry()  # never on the link that brought more
        self.assertIn(b"X-Txn: 1", self.loop.read(self.loop.accept(listener)))

    def test_a_second_answer_that_lies_in_an_idle_link_is_not_the_next_ones(self):
        listener, port = self.node()
        self.listed(port)
        sock = self.served(listener)
        sock.sendall(
            HEAD + b"Content-Length: 5\r\n\r\nwrong"
        )  # unread when the next dispatch takes the link
        self.carry()
        other = self.loop.accept(listener)
        self.assertIn(b"X-Txn: 1", self.loop.read(other))
        self.assertIn(receive(sock), (None, b""), "nothing went out on the first")
        other.sendall(WHOLE)
        self.assertEqual(self.outcome(1), (AttemptOutcome.SUCCEEDED, b"hi"))

    def test_an_answer_before_our_last_octet_is_written_retires_the_link(self):
        listener, port = self.node()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.listed(port)
        self.carry(body=b"x" * (8 << 20))  # more than both kernels hold
        sock = self.loop.accept(listener)
        self.loop.read(sock)
        sock.sendall(
            HEAD.replace(b"200 OK", b"503 Full")
            + b"X-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.outcome(), (AttemptOutcome.REJECTED, b""))
        self.loop.until(lambda: self.fleet.open_connections == 0)


class Replaced(Loopback):
    """A whole gateway whose node goes while something is owed there."""

    def goes(self, *others):
        here = [NODE | {"state": "left"}, *others]
        self.gateway.on_endpoints(
            EndpointUpdateKind.DELTA, [parse_node(each, ["z"], 0) for each in here]
        )

    def test_a_dispatch_that_waits_at_a_node_that_is_replaced_goes_to_its_successor(
        self,
    ):
        successor = socket.create_server(("127.0.0.1", 0))
        self.sockets.append(successor)
        client = self.client(req())
        self.until(lambda: self.gateway.report.counts["dial", ""])
        self.goes(
            NODE | {"id": "s-2", "addr": "127.0.0.1:%d" % successor.getsockname()[1]}
        )
        first, self.node = self.node, successor
        link = self.accept()
        first.setblocking(False)
        if (sock := accept(first)) is not None:
            sock.setblocking(False)
            self.assertIn(receive(sock), (None, b""), "a request went to what is gone")
            sock.close()
        link.sendall(WHOLE)
        self.until(
            lambda: self.unread_by(client).endswith(b"hi"), "the client has no answer"
        )

    def test_a_node_that_goes_while_it_works_is_heard_out(self):
        client = self.client(req())
        link = self.accept()
        self.goes()
        self.pass_time(0.3)  # looks at what is over and forgets it
        link.sendall(WHOLE)
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


class Leaving(Loopback):
    """A whole gateway whose client leaves while its dispatch waits for a link.

    Settings allow no cancel.
    """

    changed = {
        "settings": SETTINGS
        | {
            "limits": SETTINGS["limits"]
            | {"cancel": False, "dial_timeout_ns": 10_000_000_000}
        }
    }

    def dialled(self):
        return self.gateway.report.counts["dial", ""]

    def untouched(self):
        """No octet of a request came to the node, on whatever connection."""
        self.turn(20)
        self.node.setblocking(False)
        while (sock := accept(self.node)) is not None:
            sock.setblocking(False)
            self.assertIn(receive(sock), (None, b""), "a request went to it")
            sock.close()

    def test_a_client_that_leaves_in_the_round_in_which_the_link_comes_up_is_not_served(
        self,
    ):
        for number, leave in enumerate((socket.socket.close, reset)):
            client = self.client(req(TXN + number))
            before = self.dialled()
            self.until(
                lambda: self.dialled() > before
            )  # the next turn finds the link up and the client gone
            leave(client)
            self.untouched()
            self.assertEqual(self.gateway.host.unanswered, 0)

    def test_what_has_not_begun_when_its_client_leaves_does_not_begin(self):
        self.client(req())
        self.until(self.dialled)
        self.gateway.host.cancel_request(next(iter(self.gateway.host.active)))
        self.untouched()
        self.assertEqual(
            (self.gateway.report.counts["ended", "moot"], self.gateway.host.active),
            (1, {}),
        )


if __name__ == "__main__":
    unittest.main()
