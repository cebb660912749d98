"""Answers of nodes that cannot be believed, on loopback sockets.

Each ends its own dispatch by one cause, its client has one answer in time, and
neighbours at the same gateway, at the same node too, are served as ever.
"""

import socket
import unittest
from contextlib import suppress

from milletsill.http_gateway.endpoints import parse_node
from milletsill.interface import EndpointUpdateKind
from tests.support.http_gateway_rig import NODE, TXN, Loopback, req, reset

HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nhi"
LATE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PATIENCE = 0.9  # of the rig's requests
# What a node says to each request, and what it does then; how each dispatch ends, and
# the cause by which it is counted as spoilt.
BAD = {
    "never ending, without a length": (
        HEAD + b"\r\n",
        "pour",
        "error",
        "a body over the bound",
    ),
    "never ending, in chunks": (
        CHUNKED,
        "pour chunks",
        "error",
        "a body over the bound",
    ),
    "a drip without an end": (
        HEAD + b"Content-Length: 900\r\n\r\n",
        "drip",
        "timed out",
        "",
    ),
    "a head without an end": (
        HEAD + b"X: y\r\n" * 3000,
        "stay",
        "error",
        "a head over the bound",
    ),
    "too many lines": (
        HEAD + b"X: y\r\n" * 70 + b"\r\n",
        "stay",
        "error",
        "too many lines in a head",
    ),
    "too long by its length": (
        HEAD + b"Content-Length: 3221225472\r\n\r\nab",
        "stay",
        "error",
        "a body over the bound",
    ),
    "too long by far": (
        HEAD + b"Content-Length: " + b"9" * 30 + b"\r\n\r\nab",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "a length below zero": (
        HEAD + b"Content-Length: -5\r\n\r\nab",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "a length that is none": (
        HEAD + b"Content-Length: two\r\n\r\nab",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "two lengths": (
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "two ways to tell the length": (
        CHUNKED[:-2] + b"Content-Length: 2\r\n\r\nab",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "chunks that are none": (
        CHUNKED + b"zz\r\n",
        "stay",
        "error",
        "chunks that cannot be read",
    ),
    "chunks without number": (
        CHUNKED + b"1\r\nx\r\n" * 9000,
        "stay",
        "error",
        "a body in too many chunks",
    ),
    "lines that end otherwise": (
        HEAD + b"A: b\nContent-Length: 2\r\n\r\nab",
        "stay",
        "error",
        "a head that can be read in two ways",
    ),
    "noise": (b"\x00\xff\n\n", "stay", "error", "a head that can be read in two ways"),
    "noise without a line": (
        b"\x16\x03\x01",
        "stay",
        "error",
        "what begins no message",
    ),
    "a request": (req(), "stay", "error", "a head that cannot be read"),
    "interim ones without end": (
        b"HTTP/1.1 103 Hint\r\n\r\n" * 50,
        "stay",
        "error",
        "1xx answers without an end",
    ),
    "another protocol": (
        b"HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "stay",
        "error",
        "",
    ),
    "torn in its head": (HEAD + b"Content-Le", "close", "reset", ""),
    "torn by a close": (HEAD + b"Content-Length: 5\r\n\r\nab", "close", "reset", ""),
    "torn by a reset": (HEAD + b"Content-Length: 5\r\n\r\nab", "reset", "reset", ""),
    "torn in chunks": (CHUNKED + b"2\r\nab\r\n", "close", "reset", ""),
    "none at all": (b"", "close", "reset", ""),
    "silence": (b"", "stay", "timed out", ""),
    "octets behind": (WHOLE + b"noise", "stay", "satisfied", ""),
    "a second answer": (WHOLE + LATE, "stay", "satisfied", ""),
    "a second answer that comes late": (WHOLE, "late", "satisfied", ""),
}
GOES_ON = {
    "pour": b"x" * 65_536,
    "pour chunks": (b"400\r\n" + b"x" * 1024 + b"\r\n") * 60,
    "drip": b"x",
    "late": LATE,
}


class BadNode:
    """Takes every connection but those that it is told to spare, and answers each request on them in its one way."""

    def __init__(self, case, data, then):
        self.case, self.data, self.then = case, data, then
        self.links, self.asked = {}, 0  # requests that came on each; on all
        case.node.setblocking(False)
        case.addCleanup(self.stop)

    def act(self):
        with suppress(BlockingIOError):
            one = self.case.node.accept()[0]
            one.setblocking(False)
            self.links[one] = 0
        for one in list(self.links):
            with suppress(OSError):
                came = one.recv(65_536).count(b"X-Txn")
                self.links[one] += came
                self.asked += came
                if came:
                    self.answer(one)
            with suppress(OSError):
                while self.links.get(one) and self.then in GOES_ON:
                    one.send(GOES_ON[self.then])
                    if self.then in ("drip", "late"):
                        break

    def answer(self, one):
        one.sendall(self.data)
        if self.then in ("close", "reset"):
            del self.links[one]
            one.close() if self.then == "close" else reset(one)

    def stop(self):
        for one in self.links:
            one.close()


class Answers(Loopback):
    def counted(self, what):
        return {
            value: count
            for (each, value), count in self.gateway.report.counts.items()
            if each == what
        }

    def another_node(self):
        """A second node, of another cell."""
        other = socket.create_server(("127.0.0.1", 0))
        self.sockets.append(other)
        place = NODE | {
            "id": "s-2",
            "cell": 1,
            "addr": "127.0.0.1:%d" % other.getsockname()[1],
        }
        self.gateway.on_endpoints(
            EndpointUpdateKind.DELTA, [parse_node(place, ["z"], 0)]
        )
        return other

    def taken_at(self, listener):
        mine, self.node = self.node, listener
        link = self.accept()
        self.node = mine
        return link

    def served(self, client, link, txn):
        """A usual client's request, from end to end, without a moment's wait."""
        client.sendall(req(txn, X_IO="volume=00000003b4d60021,units=2,shard=1,hosts=1"))
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(link)[0]) or b"\r\n\r\n" in data,
            "it did not come to the good node",
        )
        link.sendall(WHOLE)
        data.clear()
        self.until(
            lambda: data.extend(self.got(client)[0]) or data.endswith(b"hi"),
            "the usual client is not served",
        )

    def test_each_bad_answer_ends_its_own_dispatch_and_costs_neighbours_nothing(self):
        for name, (data, then, outcome, cause) in BAD.items():
            with self.subTest(name):
                self.restart()
                good = self.another_node()
                usual = self.client(
                    req(TXN + 8, X_IO="volume=00000003b4d60021,units=2,shard=1,hosts=1")
                )
                link = self.taken_at(good)
                link.sendall(WHOLE)
                self.until(lambda: self.got(usual)[0].endswith(b"hi"))
                near = self.client(
                    req(TXN + 7)
                )  # at the bad node, on a connection of its own
                its = self.accept()
                before, bad, began = (
                    self.counted("ended"),
                    BadNode(self, data, then),
                    self.time,
                )
                one = self.client(req())
                got = bytearray()

                def answered():
                    for _ in range(
                        30 if then.startswith("pour") else 4
                    ):  # a mebibyte of it takes some rounds of the sockets
                        bad.act()
                        self.turn(1)
                    got.extend(self.got(one)[0])
                    return b"HTTP/1.1 " in got

                self.until(
                    lambda: bad.act() or bad.asked, "nothing came to the bad node"
                )
                for number in range(3):
                    self.served(usual, link, TXN + 100 + number)
                    bad.act()
                    self.turn(3)
                self.assertEqual(self.got(near), (b"", "open"))
                its.sendall(WHOLE)
                self.until(
                    lambda: self.got(near)[0].endswith(b"hi"),
                    "the neighbour at the same node is not served",
                )
                bad.links[its] = 0  # idle now: a repeat may come on it
                while not answered() and self.time < began + PATIENCE + 0.2:
                    self.pass_time(0.04)
                self.assertLess(self.time, began + PATIENCE + 0.05)
                for _ in range(5):
                    answered()
                    self.turn(5)
                self.assertEqual(got.count(b"HTTP/1.1 "), 1)
                self.assertRegex(
                    bytes(got),
                    rb"\AHTTP/1\.1 "
                    + (rb"200 " if outcome == "satisfied" else rb"50[23] "),
                )
                ended = self.counted("ended")
                ended["satisfied"] -= before["satisfied"] + 4
                self.assertEqual(
                    {key: count > 0 for key, count in ended.items() if count},
                    {outcome: True},
                    "ended otherwise",
                )
                spoilt = self.counted("spoilt")
                self.assertTrue(
                    all(key.startswith(cause) for key in spoilt)
                    and bool(spoilt) == (outcome == "error"),
                    spoilt,
                )
                self.assertEqual(sum(spoilt.values()), ended.get("error", 0))
                self.served(usual, link, TXN + 200)
                if outcome == "satisfied":  # what lay behind is nobody's answer
                    near.sendall(req(TXN + 9))
                    got.clear()
                    self.until(
                        lambda: (
                            bad.act()
                            or got.extend(self.got(near)[0])
                            or got.endswith(b"hi")
                        ),
                        "another's answer",
                    )
                    self.assertEqual(
                        (got.count(b"HTTP/1.1 "), got.count(b"wrong")), (1, 0)
                    )
                bad.stop()
                self.pass_time(1.0)
                self.assertEqual(
                    (
                        self.gateway.host.active,
                        self.gateway.host.unanswered,
                        self.gateway.buffers.held,
                    ),
                    ({}, 0, 0),
                )


if __name__ == "__main__":
    unittest.main()
