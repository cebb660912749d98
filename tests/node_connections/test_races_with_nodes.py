"""Dispatches to disk boxes over loopback sockets, in the instants in which a box drains, goes or moves under a handshake that is held
back: the box is a plain listening socket, and the test turns the reactor.
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
from tests.support.loopback import Loop, listening, receive

BOUNDS = PoolLimits(
    connections=2, streams=4, handshakes=1, dial=50_000, idle=300_000, silence=100_000
)


def order(number):
    return NodeRequest(
        "e",
        1,
        7,
        number,
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


class Door:
    """The box's end of one connection, a packet at a time."""

    def __init__(self, loop, listener):
        self.loop, self.sock, self.deframer = (
            loop,
            loop.accepted(listener),
            PacketSplitter(1 << 20),
        )
        self.found = []

    def come(self):
        """All packets that have come."""
        self.deframer.feed(receive(self.sock) or b"")
        while (body := self.deframer.next()) is not None:
            self.found.append(packet_codec.decode(body))
        return self.found

    def greet(self):
        """The handshake's other half, at last."""
        self.loop.until(
            lambda: any(isinstance(each, packets.Init) for each in self.come()),
            "no greeting",
        )
        self.sock.sendall(packet_codec.encode(packets.Version(3)))
        self.loop.until(
            lambda: any(isinstance(each, packets.Extended) for each in self.come()),
            "no hello",
        )

    def orders(self):
        found = [
            each
            for each in self.come()
            if isinstance(each, packets.Extended) and each.name == extensions.DISPATCH
        ]
        return [extensions.decode_node_request(each) for each in found]


class Waiting(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.addCleanup(self.loop.close)
        self.listener = listening()
        self.addCleanup(self.listener.close)
        self.ended, self.passed = [], 0
        self.pool = self.made()
        self.addCleanup(lambda: self.pool.abort())

    def now(self):
        return self.loop.now() + self.passed

    def made(self):
        return NodeConnectionPool(
            self.loop.reactor,
            self.now,
            PoolConfig(
                "127.0.0.1:%d" % self.listener.getsockname()[1], BOUNDS, "e", 1, 1 << 20
            ),
            lambda text: None,
        )

    def send(self, number=0):
        return self.pool.send_attempt(
            order(number), lambda outcome, verdict: self.ended.append((number, outcome))
        )

    def test_what_waits_for_a_box_that_drains_or_goes_never_begins(self):
        for ends in (
            lambda: self.pool.set_unavailable(True),
            lambda: self.pool.close(),
        ):
            with self.subTest(ends=ends):
                self.pool, self.ended = self.made(), []
                self.send()
                door = Door(self.loop, self.listener)
                ends()
                self.assertEqual(
                    self.ended,
                    [(0, AttemptOutcome.WITHDRAWN)],
                    "told at once, to be placed elsewhere",
                )
                door.greet()
                self.loop.turn(20)
                self.assertEqual(
                    (door.orders(), self.ended), ([], [(0, AttemptOutcome.WITHDRAWN)])
                )
                self.send(1)
                self.loop.until(lambda: len(self.ended) == 2)
                self.assertEqual(
                    (self.ended[1:], door.orders()),
                    ([(1, AttemptOutcome.UNREACHABLE)], []),
                )
                self.pool.abort()

    def test_a_box_that_comes_back_takes_what_is_sent_then(self):
        self.send()
        door = Door(self.loop, self.listener)
        self.pool.set_unavailable(True)
        self.pool.set_unavailable(False)
        door.greet()
        self.send(1)
        self.loop.until(lambda: door.orders(), "nothing came to the box")
        self.assertEqual([each.number for each in door.orders()], [1])

    def test_a_handshake_that_was_held_back_is_taken_off_what_is_left_to_the_client(
        self,
    ):
        for waited, left in ((0, 1000), (400, 600), (2000, 1)):
            with self.subTest(waited=waited):
                self.pool = self.made()
                self.send()
                door = Door(self.loop, self.listener)
                self.passed += waited * 10
                door.greet()
                self.loop.until(lambda: door.orders(), "nothing came to the box")
                told = door.orders()[0].left
                self.assertLessEqual(told, left)
                self.assertGreater(told, left - 900, "more was taken off than went by")
                self.pool.abort()


class Told(unittest.TestCase):
    def test_the_list_bars_and_closes(self):
        """A box that drains, one that comes back, one that moves, one that is left out."""
        said = []

        class Spy:
            def __init__(self, *values, **named):
                self.address = values[2].address

            def set_unavailable(self, unavailable):
                said.append((self.address, unavailable))

            def close(self):
                said.append((self.address, "closed"))

        pools = SftpNodePools(
            None,
            None,
            IdentifierSource("e", 1),
            SftpNodePoolsConfig(BOUNDS, 1, lambda *values: None),
        )
        for boxes, expected in (
            ([("a:1", Readiness.READY)], [("a:1", False)]),
            ([("a:1", Readiness.DRAINING)], [("a:1", True)]),
            ([("a:1", Readiness.READY)], [("a:1", False)]),
            ([("b:1", Readiness.READY)], [("a:1", "closed"), ("b:1", False)]),
            ([], [("b:1", "closed")]),
        ):
            said.clear()
            follow(
                pools,
                Spy,
                [
                    RegisteredNode(1, address, state, 1.0, 0, 0, 0, 0)
                    for address, state in boxes
                ],
            )
            self.assertEqual(said, expected)


def follow(pools, pool, boxes):
    """Take a list, with pools that only write down what they are told."""
    with mock.patch.object(node_pools, "NodeConnectionPool", pool):
        pools.update(boxes)


if __name__ == "__main__":
    unittest.main()
