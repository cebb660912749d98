"""Requests that lie behind an open one on their connection.

Long ones, many, some that cannot be read, and clients that go while they lie there; on
loopback sockets.
"""

import socket
import time
import unittest

from milletsill.http_gateway.client_connection_state import MAX_PIPELINED
from milletsill.http_gateway.process_state import shutdown_schedule
from tests.http_gateway.test_races_leaving_clients import leaves
from tests.http_gateway.test_races_shutdown import patient
from tests.support.http_gateway_rig import TXN, Loopback, req

BODY = bytes(range(256)) * 256  # the longest that the page allows: 64 KiB
KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}


def answer(number):
    return b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%03d" % number


def chunked(txn, body, size):
    """A PUT whose body comes in chunks."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return (
        req(txn, Transfer_Encoding="chunked", **KEYED)
        + b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in pieces)
        + b"0\r\n\r\n"
    )


class Ahead(Loopback):
    def sent_on(self):
        return sum(
            count
            for (what, _), count in self.gateway.report.counts.items()
            if what == "dispatch"
        )

    def counted(self, what):
        return {
            value: count
            for (each, value), count in self.gateway.report.counts.items()
            if each == what
        }

    def pour(self, one, data, size=65_536):
        """All of it, in pieces; the gateway reads what the system takes."""
        while data:
            try:
                data = data[one.send(data[:size]) :]
            except BlockingIOError:
                pass
            self.turn(1)
        self.turn(5)

    def reads(self, link, enough):
        """What has come to the node, once it is enough."""
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(link)[0]) or enough(data),
            "it did not come to the node",
        )
        return bytes(data)

    def whole(self, one, count):
        """What has come to the client, once it has so many answers."""
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(one)[0]) or data.count(b"HTTP/1.1 ") >= count,
            "not answered",
        )
        return bytes(data)

    def test_the_longest_request_right_behind_an_open_one_costs_neither_its_answer(
        self,
    ):
        for name, second, size in (
            ("at once", req(TXN + 1, body=BODY, **KEYED), 1 << 20),
            ("in pieces", req(TXN + 1, body=BODY, **KEYED), 3001),
            ("in chunks", chunked(TXN + 1, BODY, 1000), 1 << 20),
            ("in pieces of chunks", chunked(TXN + 1, BODY, 20_000), 777),
        ):
            for together in (True, False):
                with self.subTest(name, together=together):
                    self.restart()
                    one = self.client(*([] if together else [req()]))
                    link = None if together else self.accept()
                    self.pour(one, (req() if together else b"") + second, size)
                    link = link or self.accept()
                    self.assertEqual(
                        (self.gateway.host.unanswered, self.sent_on(), self.got(one)),
                        (1, 1, (b"", "open")),
                    )
                    self.assertLessEqual(self.gateway.buffers.held, 1 << 17)
                    link.sendall(answer(1))
                    text = self.reads(link, lambda data: data.endswith(BODY))
                    self.assertEqual(
                        (text.count(b"X-Txn"), b"X-Txn: %016x" % (TXN + 1) in text),
                        (1, True),
                    )
                    link.sendall(answer(2))
                    data = self.whole(one, 2)
                    self.assertEqual(
                        (data.count(b" 200 "), data.index(b"001") < data.index(b"002")),
                        (2, True),
                    )
                    self.assertEqual(
                        (self.gateway.buffers.held, self.counted("refused")), (0, {})
                    )

    def test_more_than_one_request_and_a_little_behind_an_open_one_is_one_error(self):
        one = self.client(req())
        link = self.accept()
        self.pour(
            one,
            req(TXN + 1, body=BODY, **KEYED)
            + req(TXN + 2, body=BODY[:MAX_PIPELINED], **KEYED),
        )
        data, how = self.read_all(one)
        self.assertEqual(
            (data.count(b"HTTP/1.1 "), data[:12], how), (1, b"HTTP/1.1 400", "ended")
        )
        self.until(lambda: self.got(link)[1] == "reset", "the node is not told")
        self.assertEqual(
            (self.counted("refused"), self.sent_on()),
            ({"too much ahead of an answer": 1}, 1),
        )
        self.assertEqual((self.gateway.buffers.held, self.gateway.host.active), (0, {}))

    def test_where_the_memory_is_full_a_long_one_behind_an_open_one_is_refused_and_short_ones_are_not(
        self,
    ):
        self.gateway.buffers.held = self.gateway.buffers.limit
        one, other = self.client(req()), self.client(req(TXN + 1))
        self.turn(10)
        self.pour(one, req(TXN + 2, body=BODY, **KEYED))
        self.pour(other, req(TXN + 3))
        self.assertEqual(self.read_all(one)[0][:12], b"HTTP/1.1 503")
        self.assertEqual(
            (self.got(other), self.gateway.host.unanswered), ((b"", "open"), 1)
        )
        self.assertEqual(self.gateway.buffers.held, self.gateway.buffers.limit)

    def test_what_cannot_be_read_behind_a_request_is_refused_at_once_and_reaches_nobody(
        self,
    ):
        """The clock stands: nobody waits for the open one's end.

        Here in time, the first is not sent on either: what lies behind it may be the
        rest of a body that was told too short.
        """
        short = (
            req(Content_Length="4", **KEYED)
            + b"body and\r\nmuch more than that\r\n\r\n"
        )
        for name, data, status in (
            ("noise", req() + b"\x00\xff\n\n", b"400"),
            ("a body told too short", short, b"400"),
            (
                "one told too short without a line",
                req(Content_Length="4", **KEYED) + BODY[128:200],
                b"400",
            ),
            (
                "a length told twice",
                req() + req(Content_Length="4", Transfer_Encoding="chunked", **KEYED),
                b"400",
            ),
            (
                "sixty megabytes",
                req() + req(TXN + 1, Content_Length="62914560", **KEYED),
                b"413",
            ),
            (
                "an endless head",
                req() + b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 2000,
                b"431",
            ),
            (
                "chunks that are none",
                req() + req(Transfer_Encoding="chunked", **KEYED) + b"zz\r\n",
                b"400",
            ),
        ):
            with self.subTest(name):
                self.restart()
                other = self.client(req(TXN + 7))
                near = self.accept()
                one = self.client(data)
                got, how = self.read_all(one)
                self.assertEqual(
                    (got.count(b"HTTP/1.1 "), got[9:12], how), (1, status, "ended")
                )
                self.assertEqual(
                    (self.sent_on(), sum(self.counted("refused").values())), (1, 1)
                )
                near.sendall(answer(7))
                self.assertIn(b" 200 ", self.whole(other, 1))

    def test_what_cannot_be_read_and_comes_while_one_is_open_ends_both_at_once(self):
        for bad in (
            b"\x00\xff\n\n",
            b"more than was told\n",
            req(TXN + 1, Content_Length="62914560", **KEYED),
        ):
            with self.subTest(bad[:20]):
                self.restart()
                one = self.client(req())
                link = self.accept()
                for at in range(len(bad)):
                    one.send(bad[at : at + 1])
                    self.turn(1)
                got, how = self.read_all(one)
                self.assertEqual((got.count(b"HTTP/1.1 4"), how), (1, "ended"))
                self.until(lambda: self.got(link)[1] == "reset", "the node is not told")
                self.assertEqual(
                    (self.counted("answer"), self.gateway.host.active),
                    ({"abandoned": 1}, {}),
                )

    def test_what_lies_behind_an_open_one_at_the_shut_is_refused_in_its_turn(self):
        """The open one waits beyond the earliest kill.

        Whole ones behind it; half a one was never taken.
        """
        for behind, answers in (
            (self.many(0), 1),
            (req(TXN + 1), 2),
            (req(TXN + 1) + req(TXN + 2), 3),
            (req(TXN + 1)[:60], 1),
        ):
            with self.subTest(behind[:60], answers=answers):
                self.changed = {"settings": patient(8.0)}
                self.restart()
                one = self.client(req(X_Remaining_Ms="8000"))
                link = self.accept()
                one.sendall(behind)
                self.turn(5)
                self.terminate()
                self.advance_to(shutdown_schedule(80_000)[1][0] / 10_000 + 0.01)
                self.assertEqual(self.gateway.state.name, "DRAINING")
                data, how = self.read_all(one)
                self.assertEqual(
                    [each[:3] for each in data.split(b"HTTP/1.1 ")[1:]],
                    [b"502"] + [b"503"] * (answers - 1),
                )
                self.assertEqual(
                    (how, data.count(b"Connection: close"), self.sent_on()),
                    ("ended", 1, 1),
                )
                self.until(lambda: self.got(link)[1] == "reset", "the node is not told")

    def test_what_lies_behind_an_answer_that_is_being_taken_at_the_end_is_refused_behind_it(
        self,
    ):
        one = self.client(req(), window=4096)
        protocol = self.server_side()
        protocol.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        self.accept().sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + b"x" * 400_000
        )
        self.until(lambda: protocol.blocked, "all was taken")
        one.sendall(req(TXN + 1))
        self.turn(5)
        self.assertTrue(protocol.next_request)
        self.terminate()
        self.advance_to(shutdown_schedule(10_000)[1][0] / 10_000 + 0.01)
        data, how = self.read_all(one)  # the clock stands
        self.assertEqual(
            (
                data.count(b"x"),
                data.count(b"HTTP/1.1 503"),
                data.count(b"Connection: close"),
                how,
            ),
            (400_000, 1, 1, "ended"),
        )
        self.assertEqual(self.sent_on(), 1)

    def many(self, count):
        return b"".join(
            req(TXN + number, body=BODY[: 700 * (number % 3)], **KEYED)
            if number % 2
            else req(TXN + number)
            for number in range(count)
        )

    def served(self, link, number):
        """The one request that is at the node now is answered.

        The next one comes behind it alone.
        """
        link.sendall(answer(number))
        self.turn(10)

    def test_many_at_once_are_answered_in_order_one_at_a_time(self):
        one = self.client(self.many(20))
        link, data = self.accept(), bytearray()
        for number in range(20):
            self.assertEqual(self.gateway.host.unanswered, 1)
            self.served(link, number)
            if number < 19:
                self.assertIn(
                    b"X-Txn: %016x" % (TXN + number + 1),
                    self.reads(link, lambda data: b"\r\n\r\n" in data),
                )
            data += self.whole(one, 1)
        self.assertEqual(
            [data.count(b"\r\n\r\n%03d" % number) for number in range(20)], [1] * 20
        )
        self.assertEqual(data.count(b"HTTP/1.1 200"), 20)

    def test_who_sends_many_at_once_and_goes_at_any_step_has_nothing_more_begun(self):
        """After each number of answers, with the next one at its node.

        And before anything was read.
        """
        for how in ("close", "half", "reset"):
            for step in (None, 0, 1, 3, 5):
                with self.subTest(how=how, step=step):
                    self.restart()
                    one = self.client()
                    one.sendall(self.many(6))
                    if step is not None:
                        link = self.accept()
                        for number in range(step):
                            self.served(link, number)
                            self.reads(link, lambda data: b"X-Txn" in data)
                        got = self.whole(one, step) if step else b""
                        self.assertEqual(
                            [
                                got.count(b"\r\n\r\n%03d" % number)
                                for number in range(6)
                            ],
                            [1] * step + [0] * (6 - step),
                        )
                    leaves(one, how)
                    self.turn(10)
                    begun = 0 if step is None else step + 1
                    self.assertEqual(
                        (
                            self.sent_on(),
                            self.gateway.host.active,
                            self.gateway.host.unanswered,
                        ),
                        (begun, {}, 0),
                    )
                    self.pass_time(0.3)
                    self.assertEqual(
                        (
                            self.sent_on(),
                            len(self.gateway.listener.connections),
                            self.gateway.buffers.held,
                        ),
                        (begun, 0, 0),
                    )

    def test_who_left_before_it_was_read_has_nothing_begun_however_much_lies_before_its_end(
        self,
    ):
        """The process stood still for half a second.

        The end is some reads of the socket further on.
        """
        for how in ("close", "half", "reset"):
            for count in (1, 2, 4):
                with self.subTest(how=how, count=count):
                    self.restart()
                    one = self.client()
                    one.sendall(
                        req()
                        + b"".join(
                            req(TXN + 1 + number, body=BODY, **KEYED)
                            for number in range(count)
                        )
                    )
                    leaves(one, how)
                    self.time += 0.5
                    self.turn(20)
                    self.pass_time(0.3)
                    self.assertEqual(
                        (
                            self.sent_on(),
                            self.gateway.host.active,
                            self.gateway.buffers.held,
                        ),
                        (0, {}, 0),
                    )

    def test_who_left_before_it_was_read_behind_much_of_a_very_long_one_has_nothing_begun(
        self,
    ):
        self.gateway.port.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20
        )  # all of it is here, its end too
        one = self.client()
        one.sendall(
            req() + req(TXN + 1, Content_Length=str(1 << 20), **KEYED) + b"x" * 150_000
        )
        one.shutdown(socket.SHUT_WR)
        fin_wait_2 = 5
        for _ in range(2000):
            if one.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == fin_wait_2:
                break
            time.sleep(0.001)
        self.time += 0.5
        self.turn(20)
        self.pass_time(0.3)
        self.assertEqual(
            (self.sent_on(), self.gateway.host.active, self.gateway.buffers.held),
            (0, {}, 0),
        )

    def test_who_goes_with_a_long_one_half_sent_behind_an_open_one_has_nothing_more_begun(
        self,
    ):
        for how in ("close", "half", "reset"):
            for octets in (
                1,
                60,
                5000,
                60_000,
                65_536 + len(req(TXN + 1, body=BODY, **KEYED)) - len(BODY),
            ):
                with self.subTest(how=how, octets=octets):
                    self.restart()
                    one = self.client(req())
                    link = self.accept()
                    self.pour(one, req(TXN + 1, body=BODY, **KEYED)[:octets])
                    leaves(one, how)
                    self.until(
                        lambda: self.got(link)[1] == "reset", "the node is not told"
                    )
                    self.pass_time(0.3)
                    self.assertEqual(
                        (
                            self.sent_on(),
                            self.gateway.host.active,
                            self.gateway.buffers.held,
                        ),
                        (1, {}, 0),
                    )
                    self.assertFalse(self.gateway.listener.connections)


if __name__ == "__main__":
    unittest.main()
