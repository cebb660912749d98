"""Connection pool: its decisions alone, and the pool on a fake transport and clock."""

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
    timeout_event,
)
from milletsill.node_connections.pool_config import PoolConfig
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import NodeReply, NodeRequest

LIMITS = PoolLimits(
    max_connections=2,
    attempts_per_connection=4,
    max_handshakes=1,
    dial_timeout=2500,
    idle_timeout=300_000,
    silence_timeout=10_000,
)


def node_request(attempt_number=0):
    return NodeRequest(
        "e",
        1,
        7,
        attempt_number,
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


class PoolDecisions(unittest.TestCase):
    def test_without_a_connection_the_pool_dials(self):
        self.assertEqual(choose_route([], 0, LIMITS), (Route.DIAL, -1))

    def test_attempts_wait_for_a_handshake_within_the_limits(self):
        dialling = [ConnectionLoad(ConnectionState.DIALING)]
        self.assertEqual(
            [choose_route(dialling, each, LIMITS)[0] for each in (0, 3, 4)],
            [Route.WAIT, Route.WAIT, Route.REFUSE],
        )

    def test_the_least_loaded_connection_is_used(self):
        loads = [
            ConnectionLoad(ConnectionState.READY, 1),
            ConnectionLoad(ConnectionState.READY, 0),
        ]
        self.assertEqual(choose_route(loads, 0, LIMITS), (Route.USE, 1))

    def test_a_half_full_connection_makes_the_pool_dial_a_second_one(self):
        self.assertEqual(
            choose_route([ConnectionLoad(ConnectionState.READY, 2)], 0, LIMITS)[0],
            Route.DIAL,
        )

    def test_a_blocked_or_suspect_connection_is_not_used(self):
        for load in (
            ConnectionLoad(ConnectionState.READY, 0, True),
            ConnectionLoad(ConnectionState.SUSPECT),
        ):
            self.assertEqual(
                choose_route(
                    [load, ConnectionLoad(ConnectionState.READY, 3)], 0, LIMITS
                ),
                (Route.USE, 1),
            )

    def test_an_attempt_is_refused_when_all_connections_are_full(self):
        self.assertEqual(
            choose_route(
                [
                    ConnectionLoad(ConnectionState.READY, 4),
                    ConnectionLoad(ConnectionState.READY, 4),
                ],
                0,
                LIMITS,
            )[0],
            Route.REFUSE,
        )

    def test_a_silent_node_with_outstanding_answers_is_pinged_then_disconnected(self):
        self.assertEqual(
            timeout_event(ConnectionState.READY, 1, 10_000, 99_999, LIMITS),
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

    def test_a_silent_node_without_outstanding_answers_is_idle(self):
        self.assertIsNone(
            timeout_event(ConnectionState.READY, 0, 10_000, 99_999, LIMITS)
        )
        self.assertEqual(
            timeout_event(ConnectionState.READY, 0, 300_000, 999_999, LIMITS),
            ConnectionEvent.IDLE,
        )

    def test_a_closed_connection_stays_closed(self):
        for event in ConnectionEvent:
            self.assertEqual(
                next_state(ConnectionState.CLOSED, event),
                (ConnectionState.CLOSED, ConnectionEffect.NONE),
            )


class FakeTransport(StringTransport):
    aborted = False

    def abortConnection(self):
        self.aborted = True


class FakeEndpoint:
    def __init__(self):
        self.dials = []

    def connect(self, factory):
        done = Deferred()
        self.dials.append((factory, done))
        return done


class ConnectionPool(unittest.TestCase):
    def setUp(self):
        self.clock, self.endpoint, self.ended = Clock(), FakeEndpoint(), []
        self.pool = NodeConnectionPool(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            PoolConfig("h:1", LIMITS, "e", 1, 1 << 20),
            lambda text: None,
            self.endpoint,
        )

    def connect(self):
        factory, done = self.endpoint.dials[-1]
        connection, transport = factory.buildProtocol(None), FakeTransport()
        connection.makeConnection(transport)
        done.callback(connection)
        connection.dataReceived(packet_codec.encode(packets.Version(3)))
        connection.dataReceived(packet_codec.encode(packets.Status(1, 0)))  # the hello
        return connection, transport

    def send(self, number=0):
        return self.pool.send_attempt(
            node_request(number),
            lambda outcome, reply: self.ended.append((number, outcome)),
        )

    def test_an_attempt_waits_for_the_handshake_and_gets_its_reply(self):
        self.send()
        connection, transport = self.connect()
        self.assertIn(b"dispatch@milletsill", transport.value())
        reply = NodeReply(
            extensions.NodeReplyStatus.DONE, "0", {}, None, 0, packets.Data(2, b"x")
        )
        connection.dataReceived(
            packet_codec.encode(extensions.encode_node_reply(2, reply))
        )
        self.assertEqual(self.ended, [(0, AttemptOutcome.SUCCEEDED)])

    def test_a_failed_dial_is_reported_as_unreachable_in_a_later_turn(self):
        self.send()
        self.endpoint.dials[0][1].errback(ConnectionRefusedError())
        self.assertEqual(self.ended, [])
        self.clock.advance(0)
        self.assertEqual(self.ended, [(0, AttemptOutcome.UNREACHABLE)])

    def test_a_connection_lost_within_a_packet_resets_the_attempt_once(self):
        self.send()
        connection, _ = self.connect()
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
        connection.dataReceived(data[:9])
        connection.connectionLost()
        connection.connectionLost()
        self.assertEqual(self.ended, [(0, AttemptOutcome.RESET)])

    def test_a_malformed_packet_aborts_the_connection_and_resets_attempts(self):
        self.send()
        connection, transport = self.connect()
        connection.dataReceived(b"\xff\xff\xff\xff")
        self.assertEqual(
            (self.ended, transport.aborted, self.pool.connections),
            ([(0, AttemptOutcome.RESET)], True, []),
        )

    def test_a_half_open_connection_is_pinged_then_aborted(self):
        self.send()
        connection, transport = self.connect()
        for _ in range(60):
            self.clock.advance(0.05)
        self.assertIn(b"beat@milletsill", transport.value())
        self.assertEqual(
            (self.ended, transport.aborted), ([(0, AttemptOutcome.RESET)], True)
        )

    def test_a_withdrawn_attempt_is_cancelled_at_the_node_without_a_report(self):
        exchange = self.send()
        connection, transport = self.connect()
        self.pool.withdraw(exchange)
        connection.dataReceived(
            packet_codec.encode(
                extensions.encode_node_reply(
                    2, NodeReply(extensions.NodeReplyStatus.FULL)
                )
            )
        )
        self.assertIn(b"cancel@milletsill", transport.value())
        self.assertEqual(self.ended, [])

    def test_a_dial_times_out_and_its_late_connection_is_aborted(self):
        self.send()
        for _ in range(6):
            self.clock.advance(0.06)
        self.assertEqual(self.ended, [(0, AttemptOutcome.UNREACHABLE)])
        connection, transport = (
            self.endpoint.dials[0][0].buildProtocol(None),
            FakeTransport(),
        )
        connection.makeConnection(transport)
        self.assertTrue(transport.aborted)

    def test_a_closed_pool_refuses_new_attempts(self):
        self.send()
        self.connect()
        self.pool.close()
        self.send(1)
        self.clock.advance(0)
        self.assertEqual(self.ended, [(1, AttemptOutcome.UNREACHABLE)])


if __name__ == "__main__":
    unittest.main()
