"""Malformed, endless and truncated answers of nodes, on loopback sockets.

Each ends its own attempt with one cause, and its client has one answer in time. Other
clients of the gateway, even at the same node, are served as before.
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
CLIENT_TIMEOUT = 0.9  # seconds, of the rig's requests
# The node's answer to each request, and its next action; the outcome of each attempt,
# and the cause under which the answer is counted as malformed.
BAD = {
    "endless, without a length": (
        HEAD + b"\r\n",
        "pour",
        "error",
        "a body over the bound",
    ),
    "endless, in chunks": (
        CHUNKED,
        "pour chunks",
        "error",
        "a body over the bound",
    ),
    "single octets without an end": (
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
    "too many header fields": (
        HEAD + b"X: y\r\n" * 70 + b"\r\n",
        "stay",
        "error",
        "too many lines in a head",
    ),
    "a length over the limit": (
        HEAD + b"Content-Length: 3221225472\r\n\r\nab",
        "stay",
        "error",
        "a body over the bound",
    ),
    "a length far over the limit": (
        HEAD + b"Content-Length: " + b"9" * 30 + b"\r\n\r\nab",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "a negative length": (
        HEAD + b"Content-Length: -5\r\n\r\nab",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "a non-numeric length": (
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
    "a length and chunks": (
        CHUNKED[:-2] + b"Content-Length: 2\r\n\r\nab",
        "stay",
        "error",
        "a head that cannot be read",
    ),
    "malformed chunks": (
        CHUNKED + b"zz\r\n",
        "stay",
        "error",
        "chunks that cannot be read",
    ),
    "too many chunks": (
        CHUNKED + b"1\r\nx\r\n" * 9000,
        "stay",
        "error",
        "a body in too many chunks",
    ),
    "bare line feeds": (
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
    "endless interim answers": (
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
    "closed in the head": (HEAD + b"Content-Le", "close", "reset", ""),
    "closed in the body": (HEAD + b"Content-Length: 5\r\n\r\nab", "close", "reset", ""),
    "reset in the body": (HEAD + b"Content-Length: 5\r\n\r\nab", "reset", "reset", ""),
    "closed in the chunks": (CHUNKED + b"2\r\nab\r\n", "close", "reset", ""),
    "closed without an answer": (b"", "close", "reset", ""),
    "silence": (b"", "stay", "timed out", ""),
    "extra octets": (WHOLE + b"noise", "stay", "satisfied", ""),
    "a second answer": (WHOLE + LATE, "stay", "satisfied", ""),
    "a second answer that comes late": (WHOLE, "late", "satisfied", ""),
}
REPEATED_DATA = {
    "pour": b"x" * 65_536,
    "pour chunks": (b"400\r\n" + b"x" * 1024 + b"\r\n") * 60,
    "drip": b"x",
    "late": LATE,
}


class BadNode:
    """A node that gives every request on its new connections the same bad answer."""

    def __init__(self, case, data, next_action):
        self.case, self.data, self.next_action = case, data, next_action
        # Requests by connection; requests on all connections.
        self.requests, self.request_count = {}, 0
        case.node.setblocking(False)
        case.addCleanup(self.stop)

    def step(self):
        with suppress(BlockingIOError):
            sock = self.case.node.accept()[0]
            sock.setblocking(False)
            self.requests[sock] = 0
        for sock in list(self.requests):
            with suppress(OSError):
                count = sock.recv(65_536).count(b"X-Txn")
                self.requests[sock] += count
                self.request_count += count
                if count:
                    self.answer(sock)
            with suppress(OSError):
                while self.requests.get(sock) and self.next_action in REPEATED_DATA:
                    sock.send(REPEATED_DATA[self.next_action])
                    if self.next_action in ("drip", "late"):
                        break

    def answer(self, sock):
        sock.sendall(self.data)
        if self.next_action in ("close", "reset"):
            del self.requests[sock]
            sock.close() if self.next_action == "close" else reset(sock)

    def stop(self):
        for sock in self.requests:
            sock.close()


class NodeAnswers(Loopback):
    def counts(self, what):
        return {
            value: count
            for (each, value), count in self.gateway.report.counts.items()
            if each == what
        }

    def another_node(self):
        """Return the listener of a second node, which serves another shard."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.sockets.append(listener)
        node = NODE | {
            "id": "s-2",
            "cell": 1,
            "addr": "127.0.0.1:%d" % listener.getsockname()[1],
        }
        self.gateway.on_endpoints(
            EndpointUpdateKind.DELTA, [parse_node(node, ["z"], 0)]
        )
        return listener

    def accept_request(self, listener):
        bad_node, self.node = self.node, listener
        node_socket = self.accept()
        self.node = bad_node
        return node_socket

    def serve(self, client, node_socket, txn):
        """Serve a normal client's request without advancing the clock."""
        client.sendall(req(txn, X_IO="volume=00000003b4d60021,units=2,shard=1,hosts=1"))
        data = bytearray()
        self.until(
            lambda: data.extend(self.got(node_socket)[0]) or b"\r\n\r\n" in data,
            "the request did not reach the good node",
        )
        node_socket.sendall(WHOLE)
        data.clear()
        self.until(
            lambda: data.extend(self.got(client)[0]) or data.endswith(b"hi"),
            "the normal client is not served",
        )

    def test_each_bad_answer_ends_its_own_attempt_and_affects_no_other_client(self):
        for name, (data, next_action, outcome, cause) in BAD.items():
            with self.subTest(name):
                self.restart()
                good = self.another_node()
                normal_client = self.client(
                    req(TXN + 8, X_IO="volume=00000003b4d60021,units=2,shard=1,hosts=1")
                )
                node_socket = self.accept_request(good)
                node_socket.sendall(WHOLE)
                self.until(lambda: self.got(normal_client)[0].endswith(b"hi"))
                same_node_client = self.client(
                    req(TXN + 7)
                )  # a normal client of the bad node, on a connection of its own
                same_node_socket = self.accept()
                before, bad, began = (
                    self.counts("ended"),
                    BadNode(self, data, next_action),
                    self.time,
                )
                client = self.client(req())
                received = bytearray()

                def answered():
                    for _ in range(
                        30 if next_action.startswith("pour") else 4
                    ):  # a mebibyte takes several reads and writes of the sockets
                        bad.step()
                        self.turn(1)
                    received.extend(self.got(client)[0])
                    return b"HTTP/1.1 " in received

                self.until(
                    lambda: bad.step() or bad.request_count,
                    "no request reached the bad node",
                )
                for number in range(3):
                    self.serve(normal_client, node_socket, TXN + 100 + number)
                    bad.step()
                    self.turn(3)
                self.assertEqual(self.got(same_node_client), (b"", "open"))
                same_node_socket.sendall(WHOLE)
                self.until(
                    lambda: self.got(same_node_client)[0].endswith(b"hi"),
                    "the other client of the same node is not served",
                )
                bad.requests[same_node_socket] = 0  # idle now: a retry may arrive on it
                while not answered() and self.time < began + CLIENT_TIMEOUT + 0.2:
                    self.pass_time(0.04)
                self.assertLess(self.time, began + CLIENT_TIMEOUT + 0.05)
                for _ in range(5):
                    answered()
                    self.turn(5)
                self.assertEqual(received.count(b"HTTP/1.1 "), 1)
                self.assertRegex(
                    bytes(received),
                    rb"\AHTTP/1\.1 "
                    + (rb"200 " if outcome == "satisfied" else rb"50[23] "),
                )
                outcomes = self.counts("ended")
                outcomes["satisfied"] -= before["satisfied"] + 4
                self.assertEqual(
                    {key: count > 0 for key, count in outcomes.items() if count},
                    {outcome: True},
                    "the attempts have another outcome",
                )
                malformed = self.counts("spoilt")
                self.assertTrue(
                    all(key.startswith(cause) for key in malformed)
                    and bool(malformed) == (outcome == "error"),
                    malformed,
                )
                self.assertEqual(sum(malformed.values()), outcomes.get("error", 0))
                self.serve(normal_client, node_socket, TXN + 200)
                if outcome == "satisfied":  # the extra octets answer no request
                    same_node_client.sendall(req(TXN + 9))
                    received.clear()
                    self.until(
                        lambda: (
                            bad.step()
                            or received.extend(self.got(same_node_client)[0])
                            or received.endswith(b"hi")
                        ),
                        "the client got an answer to another request",
                    )
                    self.assertEqual(
                        (received.count(b"HTTP/1.1 "), received.count(b"wrong")), (1, 0)
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
