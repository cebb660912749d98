"""Attempts to storage nodes over loopback sockets while a handshake is delayed.

The node drains, leaves or moves to another address before it answers the handshake. The
node is a plain create_listener socket, and the test runs the reactor turn by turn.
"""

import unittest
from unittest import mock

from milletsill.interface import AttemptOutcome, Readiness
from milletsill.node_connections.connection_pool import NodeConnectionPool
from milletsill.node_connections.connection_state import PoolLimits
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.registry.registered_node import RegisteredNode
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import NodeRequest
from milletsill.sftp.framing import PacketSplitter
from milletsill.sftp_gateway import node_pools
from milletsill.sftp_gateway.identifiers import IdentifierSource
from milletsill.sftp_gateway.node_pools import SftpNodePools, SftpNodePoolsConfig
from tests.support.loopback import LoopbackReactor, create_listener, receive

LIMITS = PoolLimits(
    max_connections=2,
    attempts_per_connection=4,
    max_handshakes=1,
    dial_timeout=50_000,
    idle_timeout=300_000,
    silence_timeout=100_000,
)


def node_request(attempt_number):
    return NodeRequest(
        "e",
        1,
        7,
        attempt_number,
        1.0,
        5,
        1000,
        "t",
        1,
        1,
        "read",
        "",
        packets.Read(0, b"/a", 0, 1),
    )


class NodeEnd:
    """The node's end of one connection."""

    def __init__(self, loop, listener):
        self.loop, self.sock, self.splitter = (
            loop,
            loop.accept(listener),
            PacketSplitter(1 << 20),
        )
        self.received = []

    def receive_packets(self):
        """Return all packets that have arrived so far."""
        self.splitter.feed(receive(self.sock) or b"")
        while (body := self.splitter.next()) is not None:
            self.received.append(packet_codec.decode(body))
        return self.received

    def complete_handshake(self):
        """Answer the handshake and wait for the gateway's hello."""
        self.loop.until(
            lambda: any(
                isinstance(each, packets.Init) for each in self.receive_packets()
            ),
            "no INIT packet arrived",
        )
        self.sock.sendall(packet_codec.encode(packets.Version(3)))
        self.loop.until(
            lambda: any(
                isinstance(each, packets.Extended) for each in self.receive_packets()
            ),
            "no hello arrived",
        )

    def attempts(self):
        """Return the attempts that have arrived so far."""
        found = [
            each
            for each in self.receive_packets()
            if isinstance(each, packets.Extended) and each.name == extensions.DISPATCH
        ]
        return [extensions.decode_node_request(each) for each in found]


class WaitingAttempts(unittest.TestCase):
    def setUp(self):
        self.loop = LoopbackReactor()
        self.addCleanup(self.loop.close)
        self.listener = create_listener()
        self.addCleanup(self.listener.close)
        self.ended, self.elapsed = [], 0
        self.pool = self.make_pool()
        self.addCleanup(lambda: self.pool.abort())

    def now(self):
        return self.loop.now() + self.elapsed

    def make_pool(self):
        return NodeConnectionPool(
            self.loop.reactor,
            self.now,
            PoolConfig(
                "127.0.0.1:%d" % self.listener.getsockname()[1], LIMITS, "e", 1, 1 << 20
            ),
            lambda text: None,
        )

    def send(self, number=0):
        return self.pool.send_attempt(
            node_request(number),
            lambda outcome, reply: self.ended.append((number, outcome)),
        )

    def test_an_attempt_that_waits_for_a_node_that_drains_or_leaves_never_begins(self):
        for make_unavailable in (
            lambda: self.pool.set_unavailable(True),
            lambda: self.pool.close(),
        ):
            with self.subTest(make_unavailable=make_unavailable):
                self.pool, self.ended = self.make_pool(), []
                self.send()
                node_end = NodeEnd(self.loop, self.listener)
                make_unavailable()
                self.assertEqual(
                    self.ended,
                    [(0, AttemptOutcome.WITHDRAWN)],
                    "the attempt ends at once, to be sent to another node",
                )
                node_end.complete_handshake()
                self.loop.turn(20)
                self.assertEqual(
                    (node_end.attempts(), self.ended),
                    ([], [(0, AttemptOutcome.WITHDRAWN)]),
                )
                self.send(1)
                self.loop.until(lambda: len(self.ended) == 2)
                self.assertEqual(
                    (self.ended[1:], node_end.attempts()),
                    ([(1, AttemptOutcome.UNREACHABLE)], []),
                )
                self.pool.abort()

    def test_a_node_that_is_available_again_gets_later_attempts(self):
        self.send()
        node_end = NodeEnd(self.loop, self.listener)
        self.pool.set_unavailable(True)
        self.pool.set_unavailable(False)
        node_end.complete_handshake()
        self.send(1)
        self.loop.until(lambda: node_end.attempts(), "no attempt arrived at the node")
        self.assertEqual([each.attempt_number for each in node_end.attempts()], [1])

    def test_a_delayed_handshake_reduces_the_time_left(
        self,
    ):
        for waited, left in ((0, 1000), (400, 600), (2000, 1)):
            with self.subTest(waited=waited):
                self.pool = self.make_pool()
                self.send()
                node_end = NodeEnd(self.loop, self.listener)
                self.elapsed += waited * 10
                node_end.complete_handshake()
                self.loop.until(
                    lambda: node_end.attempts(), "no attempt arrived at the node"
                )
                time_left_ms = node_end.attempts()[0].time_left_ms
                self.assertLessEqual(time_left_ms, left)
                self.assertGreater(
                    time_left_ms, left - 900, "more was subtracted than elapsed"
                )
                self.pool.abort()


class EndpointUpdates(unittest.TestCase):
    def test_an_endpoint_list_makes_pools_unavailable_or_closes_them(self):
        """The node drains, is ready again, moves to another address, and leaves."""
        calls = []

        class PoolSpy:
            def __init__(self, *values, **named):
                self.address = values[2].address

            def set_unavailable(self, unavailable):
                calls.append((self.address, unavailable))

            def close(self):
                calls.append((self.address, "closed"))

        pools = SftpNodePools(
            None,
            None,
            IdentifierSource("e", 1),
            SftpNodePoolsConfig(LIMITS, 1, lambda *values: None),
        )
        for nodes, expected in (
            ([("a:1", Readiness.READY)], [("a:1", False)]),
            ([("a:1", Readiness.DRAINING)], [("a:1", True)]),
            ([("a:1", Readiness.READY)], [("a:1", False)]),
            ([("b:1", Readiness.READY)], [("a:1", "closed"), ("b:1", False)]),
            ([], [("b:1", "closed")]),
        ):
            calls.clear()
            update_nodes(
                pools,
                PoolSpy,
                [
                    RegisteredNode(1, address, readiness, 1.0, 0, 0, 0, 0)
                    for address, readiness in nodes
                ],
            )
            self.assertEqual(calls, expected)


def update_nodes(pools, pool_type, nodes):
    """Apply an endpoint list with pools of a type that only records calls."""
    with mock.patch.object(node_pools, "NodeConnectionPool", pool_type):
        pools.update(nodes)


if __name__ == "__main__":
    unittest.main()
