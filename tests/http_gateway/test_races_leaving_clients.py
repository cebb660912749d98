"""Clients that leave, take nothing or send what cannot be read, each at the instant in which something is still owed, on
loopback sockets.
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
from tests.support.http_gateway_rig import NODE, TXN, Loopback, req, reset

READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
LONG = 400_000


def answer(octets):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % octets + b"x" * octets


def leaves(one, how):
    """The ways to go."""
    if how == "half":
        one.shutdown(socket.SHUT_WR)
    elif how == "reset":
        reset(one)
    else:
        one.close()


class Leavers(Loopback):
    def sent_on(self):
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

    def over(self, left=0):
        """Nobody is left, nothing is held, and nothing more is sent on."""
        self.until(
            lambda: len(self.gateway.listener.connections) == left,
            "the connection stands",
        )
        sent = self.sent_on()
        self.pass_time(1.2)
        self.assertEqual(
            (self.gateway.host.active, self.gateway.host.unanswered, self.sent_on()),
            ({}, 0, sent),
        )

    def stuck(self):
        """A client that takes nothing of its answer.

        One that does not fit into the system's buffers.
        """
        one = self.client(req(), window=4096)
        protocol = self.server_side()
        protocol.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.accept().sendall(answer(LONG))
        self.until(lambda: protocol.blocked, "all was taken")
        return one, protocol

    def test_who_left_before_it_was_read_or_let_in_has_nothing_sent_on(self):
        """The process stood still, or the door was shut, for half a second after the client's last octet and its end."""
        for how in ("close", "half", "reset"):
            for let_in in (True, False):
                for times in (1, 3):
                    with self.subTest(how=how, let_in=let_in, times=times):
                        self.restart()
                        one = (
                            self.client()
                            if let_in
                            else socket.create_connection(("127.0.0.1", self.port))
                        )
                        self.sockets.append(one)
                        one.sendall(
                            b"".join(req(TXN + number) for number in range(times))
                        )
                        leaves(one, how)
                        self.time += 0.5
                        self.turn(10)
                        self.assertEqual((self.sent_on(), self.answers()), (0, {}))
                        self.over()

    def test_who_leaves_with_a_request_open_and_one_behind_it_has_both_given_up_at_once(
        self,
    ):
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.restart()
                one = self.client(req())
                link = self.accept()
                one.sendall(req(TXN + 1))
                self.turn()
                leaves(one, how)
                self.until(lambda: self.got(link)[1] == "reset", "the node is not told")
                self.over()
                self.assertEqual(
                    (self.sent_on(), self.answers()), (1, {"abandoned": 1})
                )

    def test_who_leaves_while_the_process_stands_still_has_no_further_dispatch(self):
        """The node's failure and the client's end are both unread, half a second later."""
        for how in ("close", "reset"):
            for said in (
                b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
                b"",
            ):
                with self.subTest(how=how, said=said):
                    self.restart()
                    one = self.client(req())
                    link = self.accept()
                    link.sendall(said)
                    leaves(one, how)
                    self.time += 0.5
                    self.turn(10)
                    self.assertEqual(
                        (self.sent_on(), self.answers()), (1, {"abandoned": 1})
                    )
                    self.over()

    def test_what_waits_for_a_node_is_not_sent_on_once_its_client_has_left(self):
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.restart()
                one = self.client(
                    req(X_IO="volume=00000003b4d60021,units=2,shard=2,hosts=1")
                )
                self.until(lambda: self.gateway.host.unanswered, "not taken")
                leaves(one, how)
                self.turn(5)
                place = NODE | {
                    "id": "s-2",
                    "cell": 2,
                    "addr": "127.0.0.1:%d" % self.node.getsockname()[1],
                }
                self.gateway.on_endpoints(
                    EndpointUpdateKind.DELTA, [parse_node(place, ["z"], 0)]
                )
                self.over()
                self.assertEqual(
                    (self.sent_on(), self.answers()), (0, {"abandoned": 1})
                )

    def test_who_takes_nothing_and_leaves_is_noticed_and_what_is_behind_is_not_sent_on(
        self,
    ):
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.restart()
                one, protocol = self.stuck()
                one.sendall(req(TXN + 1))
                self.turn()
                self.assertTrue(protocol.has_partial_request)
                leaves(one, how)
                self.turn(10)
                self.assertIn(protocol.state.name, ("CLOSING", "CLOSED"))
                self.pass_time(LINGER_TIMEOUT / 10_000 + 0.2)
                self.over()
                self.assertEqual(
                    (self.sent_on(), self.answers(), self.gateway.buffers.held),
                    (1, {"satisfied": 1}, 0),
                )

    def test_who_takes_nothing_and_stays_does_not_stay_for_ever(self):
        one, protocol = self.stuck()
        self.pass_time(2 * IDLE_TIMEOUT / 10_000 + 0.5)
        self.assertEqual(
            (len(self.gateway.listener.connections), self.gateway.buffers.held), (0, 0)
        )
        self.assertEqual(self.got(one)[1], "reset")

    def test_a_last_answer_that_is_taken_slowly_comes_whole(self):
        for ends in ("asked", "half"):
            with self.subTest(ends=ends):
                self.restart()
                one = self.client(req(Connection="close"), window=4096)
                protocol = self.server_side()
                protocol.transport.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                self.accept().sendall(answer(LONG))
                self.until(lambda: protocol.state.name == "CLOSING", "not answered")
                data = bytearray()
                if ends == "half":
                    one.shutdown(socket.SHUT_WR)
                    self.turn()
                for _ in range(4):
                    self.pass_time(0.2 if ends == "half" else 0.5)
                    data += one.recv(4096)

                def whole():
                    piece, how = self.got(one)
                    data.extend(piece)
                    return how != "open"

                self.until(whole)
                self.assertEqual(data.count(b"x"), LONG)

    def test_what_the_system_holds_of_a_last_answer_outlives_the_connection_here(self):
        one = self.client(req(Connection="close"), window=4096)
        protocol = self.server_side()
        self.accept().sendall(answer(LONG))
        self.until(lambda: protocol.sent, "not handed over")
        self.pass_time(LINGER_TIMEOUT / 10_000 + 0.2)
        self.assertFalse(self.gateway.listener.connections)
        data, how = self.read_all(one)
        self.assertEqual((data.count(b"x"), how), (LONG, "ended"))

    def test_an_idle_close_over_a_request_tears_no_former_answer(self):
        one = self.client(req(), window=4096)
        self.accept().sendall(answer(LONG))
        self.until(lambda: self.gateway.report.counts["answer", "satisfied"])
        self.turn(30)
        protocol = self.server_side()
        self.assertFalse(protocol.blocked)  # all is the system's, little the client's
        self.time += IDLE_TIMEOUT_WHEN_SHORT / 10_000
        protocol.check(self.now(), True)
        one.sendall(req(TXN + 1))
        self.wait_for_input()
        self.turn()
        data = bytearray()

        def whole():
            piece, how = self.got(one)
            data.extend(piece)
            return how != "open"

        self.until(whole)
        self.assertEqual((data.count(b"x"), self.sent_on()), (LONG, 1))

    def test_a_request_that_is_here_is_read_before_its_time_is_over(self):
        """The process stood still.

        Its timers come before what had come: an idle close, or the end of half a
        request.
        """
        for begins, rests in (
            (READY, IDLE_TIMEOUT),
            (req()[:60], REQUEST_TIMEOUT),
            (b"", NEW_TIMEOUT),
        ):
            with self.subTest(begins=begins[:9], rests=rests):
                self.restart()
                one = self.client(begins)
                self.turn(5)
                self.got(one)
                one.sendall(req()[60:] if rests == REQUEST_TIMEOUT else req())
                self.wait_for_input()
                self.time += rests / 10_000
                self.turn()
                self.accept().sendall(answer(2))
                self.until(lambda: b" 200 " in self.got(one)[0], "not answered")

    def test_an_error_reaches_who_closes_its_side_behind_what_cannot_be_read(self):
        one = self.client()
        one.sendall(b"\x00\xff\n\n")
        one.shutdown(socket.SHUT_WR)
        data, how = self.read_all(one)
        self.assertEqual((data.count(b"HTTP/1.1 400"), how), (1, "ended"))
        self.over()

    def test_what_is_read_beyond_a_request_as_it_is_taken_waits_for_its_answer(self):
        """The first fills one read of the socket to its last octet.

        The second comes with the look for the client's end.
        """
        rest = (
            65_536
            - len(
                req(method="PUT", name="put", body=b"y" * 60_000, Idempotency_Key="k")
            )
            + 60_000
        )
        one = self.client()
        one.sendall(
            req(method="PUT", name="put", body=b"y" * rest, Idempotency_Key="k")
            + req(TXN + 1)
        )
        link = self.accept()
        self.turn(5)
        self.assertEqual((self.sent_on(), self.gateway.host.unanswered), (1, 1))
        link.sendall(answer(2))
        text = b""

        def second():
            nonlocal text
            text += self.got(link)[0]
            return b"X-Txn: %016x" % (TXN + 1) in text

        self.until(second)
        self.assertEqual(self.got(one)[0].count(b"HTTP/1.1 200"), 1)

    def test_hundreds_of_requests_answered_at_once_are_all_answered(self):
        one = self.client(
            READY * 700
        )  # not one from within the other: deeper than Python bears
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(one)[0]) or data.count(b"HTTP/1.1 200") == 700,
            "not all",
        )


if __name__ == "__main__":
    unittest.main()
