"""Links: the pool's table by itself, and the pool on a fake transport and clock."""

import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from milletsill.interface import AttemptOutcome
from milletsill.node_connections.connection_pool import NodeConnectionPool
from milletsill.node_connections.connection_state import (
    ConnectionEffect,
    ConnectionEvent,
    ConnectionLoad,
    ConnectionState,
    PoolLimits,
    Route,
    choose_route,
    next_state,
    time_event,
)
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import NodeReply, NodeRequest

BOUNDS = PoolLimits(
    connections=2, streams=4, handshakes=1, dial=2500, idle=300_000, silence=10_000
)


def order(number=0):
    return NodeRequest(
        "e",
        1,
        7,
        number,
        1.0,
        5,
        100,
        "t",
        1,
        1,
        "read",
        "",
        packets.Read(0, b"/a", 0, 1),
    )


class Table(unittest.TestCase):
    def test_nothing_open_dials(self):
        self.assertEqual(choose_route([], 0, BOUNDS), (Route.DIAL, -1))

    def test_a_handshake_that_runs_is_waited_for_within_bounds(self):
        dialling = [ConnectionLoad(ConnectionState.DIALING)]
        self.assertEqual(
            [choose_route(dialling, each, BOUNDS)[0] for each in (0, 3, 4)],
            [Route.WAIT, Route.WAIT, Route.REFUSE],
        )

    def test_the_least_loaded_connection_is_used(self):
        loads = [
            ConnectionLoad(ConnectionState.READY, 1),
            ConnectionLoad(ConnectionState.READY, 0),
        ]
        self.assertEqual(choose_route(loads, 0, BOUNDS), (Route.USE, 1))

    def test_a_half_full_connection_brings_a_second_one(self):
        self.assertEqual(
            choose_route([ConnectionLoad(ConnectionState.READY, 2)], 0, BOUNDS)[0],
            Route.DIAL,
        )

    def test_a_stuck_or_doubted_connection_is_passed_over(self):
        for load in (
            ConnectionLoad(ConnectionState.READY, 0, True),
            ConnectionLoad(ConnectionState.SUSPECT),
        ):
            self.assertEqual(
                choose_route(
                    [load, ConnectionLoad(ConnectionState.READY, 3)], 0, BOUNDS
                ),
                (Route.USE, 1),
            )

    def test_full_everywhere_is_refused(self):
        self.assertEqual(
            choose_route(
                [
                    ConnectionLoad(ConnectionState.READY, 4),
                    ConnectionLoad(ConnectionState.READY, 4),
                ],
                0,
                BOUNDS,
            )[0],
            Route.REFUSE,
        )

    def test_silence_that_owes_is_doubted_then_cut(self):
        self.assertEqual(
            time_event(ConnectionState.READY, 1, 10_000, 99_999, BOUNDS),
            ConnectionEvent.SILENT,
        )
        self.assertEqual(
            next_state(ConnectionState.READY, ConnectionEvent.SILENT),
            (ConnectionState.SUSPECT, ConnectionEffect.SEND_PING),
        )
        self.assertEqual(
            next_state(ConnectionState.SUSPECT, ConnectionEvent.SILENT),
            (ConnectionState.CLOSED, ConnectionEffect.ABORT),
        )
        self.assertEqual(
            next_state(ConnectionState.SUSPECT, ConnectionEvent.RECEIVED),
            (ConnectionState.READY, ConnectionEffect.SERVE_WAITING),
        )

    def test_silence_that_owes_nothing_is_only_idle(self):
        self.assertIsNone(time_event(ConnectionState.READY, 0, 10_000, 99_999, BOUNDS))
        self.assertEqual(
            time_event(ConnectionState.READY, 0, 300_000, 999_999, BOUNDS),
            ConnectionEvent.IDLE,
        )

    def test_a_closed_link_stays_closed(self):
        for sign in ConnectionEvent:
            self.assertEqual(
                next_state(ConnectionState.CLOSED, sign),
                (ConnectionState.CLOSED, ConnectionEffect.NONE),
            )


class Transport(StringTransport):
    aborted = False

    def abortConnection(self):
        self.aborted = True


class Endpoint:
    def __init__(self):
        self.dials = []

    def connect(self, factory):
        done = Deferred()
        self.dials.append((factory, done))
        return done


class Pooled(unittest.TestCase):
    def setUp(self):
        self.clock, self.endpoint, self.ended = Clock(), Endpoint(), []
        self.pool = NodeConnectionPool(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            PoolConfig("h:1", BOUNDS, "e", 1, 1 << 20),
            lambda text: None,
            self.endpoint,
        )

    def connect(self):
        factory, done = self.endpoint.dials[-1]
        link, transport = factory.buildProtocol(None), Transport()
        link.makeConnection(transport)
        done.callback(link)
        link.dataReceived(packet_codec.encode(packets.Version(3)))
        link.dataReceived(packet_codec.encode(packets.Status(1, 0)))  # the hello
        return link, transport

    def send(self, number=0):
        return self.pool.send_attempt(
            order(number), lambda outcome, verdict: self.ended.append((number, outcome))
        )

    def test_a_dispatch_waits_for_the_handshake_and_gets_its_verdict(self):
        self.send()
        link, transport = self.connect()
        self.assertIn(b"dispatch@milletsill", transport.value())
        verdict = NodeReply(
            extensions.NodeReplyStatus.DONE, "0", {}, None, 0, packets.Data(2, b"x")
        )
        link.dataReceived(packet_codec.encode(extensions.encode_node_reply(2, verdict)))
        self.assertEqual(self.ended, [(0, AttemptOutcome.SUCCEEDED)])

    def test_a_dial_that_fails_tells_unreached_and_never_from_within(self):
        self.send()
        self.endpoint.dials[0][1].errback(ConnectionRefusedError())
        self.assertEqual(self.ended, [])
        self.clock.advance(0)
        self.assertEqual(self.ended, [(0, AttemptOutcome.UNREACHABLE)])

    def test_half_a_packet_and_a_break_is_a_reset_once(self):
        self.send()
        link, _ = self.connect()
        data = packet_codec.encode(
            extensions.encode_node_reply(
                2,
                NodeReply(
                    extensions.NodeReplyStatus.DONE,
                    "",
                    {},
                    None,
                    0,
                    packets.Data(2, b"x"),
                ),
            )
        )
        link.dataReceived(data[:9])
        link.connectionLost()
        link.connectionLost()
        self.assertEqual(self.ended, [(0, AttemptOutcome.RESET)])

    def test_broken_bytes_cut_the_link_and_reset_what_is_out(self):
        self.send()
        link, transport = self.connect()
        link.dataReceived(b"\xff\xff\xff\xff")
        self.assertEqual(
            (self.ended, transport.aborted, self.pool.connections),
            ([(0, AttemptOutcome.RESET)], True, []),
        )

    def test_a_half_open_link_is_beaten_then_cut(self):
        self.send()
        link, transport = self.connect()
        for _ in range(60):
            self.clock.advance(0.05)
        self.assertIn(b"beat@milletsill", transport.value())
        self.assertEqual(
            (self.ended, transport.aborted), ([(0, AttemptOutcome.RESET)], True)
        )

    def test_what_is_withdrawn_is_cancelled_at_the_box_and_silent(self):
        sending = self.send()
        link, transport = self.connect()
        self.pool.withdraw(sending)
        link.dataReceived(
            packet_codec.encode(
                extensions.encode_node_reply(
                    2, NodeReply(extensions.NodeReplyStatus.FULL)
                )
            )
        )
        self.assertIn(b"cancel@milletsill", transport.value())
        self.assertEqual(self.ended, [])

    def test_a_late_dial_is_given_up_and_a_late_connection_closed(self):
        self.send()
        for _ in range(6):
            self.clock.advance(0.06)
        self.assertEqual(self.ended, [(0, AttemptOutcome.UNREACHABLE)])
        link, transport = self.endpoint.dials[0][0].buildProtocol(None), Transport()
        link.makeConnection(transport)
        self.assertTrue(transport.aborted)

    def test_a_closed_pool_refuses_and_lets_go(self):
        self.send()
        self.connect()
        self.pool.close()
        self.send(1)
        self.clock.advance(0)
        self.assertEqual(self.ended, [(1, AttemptOutcome.UNREACHABLE)])


if __name__ == "__main__":
    unittest.main()
