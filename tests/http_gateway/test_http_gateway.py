"""Client requests, node connections and many nodes at one gateway.

The tests use in-memory transports and a clock that they advance themselves.
"""

import gc
import unittest
import weakref
from types import SimpleNamespace

from twisted.internet.protocol import Protocol

from milletsill.http_gateway.configuration import parse_configuration
from milletsill.http_gateway.connector import SingleConnector
from milletsill.http_gateway.endpoints import node_number, parse_node
from milletsill.http_gateway.node_pools import HttpNodePools, NodePoolsConfig
from milletsill.http_gateway.process_state import ProcessState
from milletsill.http_gateway.request_parser import ForwardedPayload
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS, BufferBudget
from milletsill.interface import AttemptOutcome
from tests.support.http_gateway_rig import (
    CONFIG,
    NODE,
    RESPONSE,
    SETTINGS,
    TXN,
    MemoryTest,
    MemoryTransport,
    req,
)


class ClientRequests(MemoryTest):
    def test_a_request_is_forwarded_unchanged_and_its_answer_returned(self):
        for txn, request in (
            (TXN, req(method="PUT", name="put", body=b"body", Idempotency_Key="k-1")),
            (TXN + 1, req(TXN + 1)),
        ):
            client, wire = self.client(
                *[request[index : index + 1] for index in range(len(request))]
            )
            if txn == TXN:
                connection, sent = self.reactor.connect(self.dials(7070)[-1])
            text = sent.value()
            self.assertIn(b"X-Txn: %016x\r\n" % txn, text)
            self.assertIn(b"X-Remaining-Ms: ", text)
            self.assertEqual(
                (b"Idempotency-Key: k-1\r\n" in text, text.endswith(b"\r\n\r\nbody")),
                (txn == TXN,) * 2,
            )
            sent.clear()
            connection.dataReceived(RESPONSE)
            self.assertTrue(
                wire.value().startswith(b"HTTP/1.1 200")
                and wire.value().endswith(b"\r\n\r\nhi")
            )
        self.assertEqual(
            len(self.dials(7070)), 1
        )  # the second request used the same node connection

    def test_an_invalid_request_gets_an_error_and_reaches_no_node(self):
        for bad in (
            req(drop=["X-Txn"]),
            req(drop=["X-IO"]),
            req(X_Txn="xyz"),
            req(X_Remaining_Ms="NaN"),
            req(X_Remaining_Ms="-5"),
            req(X_Remaining_Ms="0"),
            req(X_Remaining_Ms="9" * 9),
            req(X_Lane="put"),
            req(name="none"),
            req(X_Plan="none"),
            req(method="PUT"),
            req(body=b"x"),
            req(Cookie="block=1"),
            req(method="PUT", name="put"),
            req(X_IO="volume=00000003b4d60021,units=1e9,shard=0,hosts=1"),
            req(X_IO="volume=00000003b4d60021,units=99,shard=0,hosts=1"),
            req(X_IO="volume=00000003b4d60021,units=2,shard=9,hosts=1"),
            b"\x00\xff\n\n",
            b"x" * 9000,
            req(Transfer_Encoding="chunked", Content_Length="4") + b"abcd",
        ):
            client, wire = self.client(bad)
            self.assertRegex(wire.value(), rb"HTTP/1\.1 (4|5)\d\d ", bad[:200])
            self.assertTrue(wire.half_closed)
        self.assertEqual((self.dials(7070), self.gateway.host.unanswered), ([], 0))

    def test_the_id_of_an_open_request_is_refused_and_the_open_one_continues(self):
        (_, first), (connection, _) = self.exchange(answer=None)
        self.assertIn(b" 409 ", self.client(req())[1].value())
        connection.dataReceived(RESPONSE)
        self.assertIn(b" 200 ", first.value())

    def test_a_sixty_megabyte_body_is_refused_at_the_head_and_not_read(self):
        head = req(
            method="PUT", name="put", Content_Length="62914560", Idempotency_Key="k"
        )
        client, wire = self.client(head)
        self.assertIn(b" 413 ", wire.value())
        for _ in range(40):
            client.dataReceived(b"x" * 65_536)
        self.assertEqual((wire.producerState, wire.half_closed), ("paused", True))
        for _ in range(12):
            self.reactor.advance(0.1)
        self.assertTrue(wire.aborted)

    def test_the_attempt_of_a_disconnected_client_is_aborted(self):
        (client, _), (_, sent) = self.exchange(answer=None)
        self.disconnect(client)
        self.reactor.advance(0.01)
        self.assertEqual(
            (self.gateway.host.unanswered, sent.aborted, self.gateway.host.active),
            (0, True, {}),
        )

    def test_two_pipelined_requests_are_answered_in_order_and_hundreds_refused(self):
        client, wire = self.client(req() + req(TXN + 1))
        connection, sent = self.reactor.connect(self.dials(7070)[-1])
        connection.dataReceived(RESPONSE)
        self.reactor.advance(0.01)
        self.assertEqual(
            (sent.value().count(b"X-Txn"), wire.value().count(b" 200 ")), (2, 1)
        )
        client, wire = self.client(b"".join(req(number) for number in range(100, 400)))
        client.dataReceived(b"x")
        self.assertIn(b" 400 ", wire.value())

    def test_a_request_the_scheduler_gives_up_gets_503_with_retry_after(self):
        client, wire = self.client(
            req(X_IO="volume=00000003b4d60021,units=2,shard=3,hosts=1")
        )
        self.reactor.pump([0.05] * 20)
        self.assertIn(b" 503 ", wire.value())
        self.assertIn(b"Retry-After: 1.500\r\n", wire.value())

    def test_silent_and_slow_connections_end_within_their_timeouts(self):
        _, silent = self.client()
        _, slow = self.client(req()[:40])
        self.reactor.pump([0.1] * 24)
        self.assertEqual(
            (silent.disconnecting, slow.value()[:12]), (True, b"HTTP/1.1 408")
        )

    def test_silent_connections_are_closed_when_descriptors_are_short(self):
        limit = self.gateway.listener.max_connections + SPARE_CLIENTS
        silent = [self.client() for _ in range(limit)]
        self.assertIsNone(self.gateway.listener.buildProtocol(None))
        self.reactor.pump([0.1] * 4)
        self.assertTrue(all(wire.disconnecting for _, wire in silent))
        self.disconnect(silent[0][0])
        self.assertTrue(self.gateway.listener.paused)  # still over its descriptor share
        for protocol, _ in silent[1:]:
            self.disconnect(protocol)
        self.assertEqual(
            self.gateway.port.numberAccepts, 1
        )  # the same value as after the first time that accepting resumed
        self.assertFalse(
            self.gateway.listener.paused or self.gateway.listener.connections
        )

    def test_an_answer_counts_as_buffered_until_the_client_reads_it(self):
        (client, wire), (connection, _) = self.exchange(answer=None)
        write = wire.write
        wire.write = lambda data: (client.pauseProducing(), write(data))
        connection.dataReceived(RESPONSE)
        self.assertEqual(self.gateway.buffers.held, 2)
        client.resumeProducing()
        self.assertEqual(self.gateway.buffers.held, 0)

    def test_sigterm_fails_readiness_and_finishes_open_requests(self):
        ready = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
        idle, wire = self.client(ready)
        self.assertIn(b" 200 ", wire.value())
        (_, busy), (connection, _) = self.exchange(answer=None)
        stop_times = []
        self.gateway.on_stopped = lambda: stop_times.append(self.now())
        self.gateway.terminate()
        wire.clear()
        idle.dataReceived(ready)
        self.assertIn(b" 503 ", wire.value())
        self.assertFalse(wire.disconnecting)
        connection.dataReceived(RESPONSE)
        self.assertIn(b" 200 ", busy.value())
        self.reactor.pump([0.05] * 40)
        self.assertEqual(
            (wire.disconnecting, len(stop_times), self.gateway.state),
            (True, 1, ProcessState.STOPPED),
        )


class NodeConnections(MemoryTest):
    def outcomes(self):
        """Return the counted attempts by outcome."""
        return {
            key[1]: count
            for key, count in self.gateway.report.counts.items()
            if key[0] == "ended"
        }

    def test_each_node_answer_has_its_outcome(self):
        for answer, outcome in (
            (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", AttemptOutcome.ERROR),
            (
                b"HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
                AttemptOutcome.REJECTED,
            ),
            (b"noise\r\n\r\n", AttemptOutcome.ERROR),
            (b"HTTP/1.1 200 OK\r\n\r\n" + b"ab" * 600_000, AttemptOutcome.ERROR),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab",
                AttemptOutcome.ERROR,
            ),
            (b"HTTP/1.1 100 Go\r\n\r\n" + RESPONSE, AttemptOutcome.SUCCEEDED),
        ):
            self.setUp()
            (_, wire), (connection, sent) = self.exchange(answer)
            self.assertEqual(self.outcomes(), {outcome.value: 1}, answer)
            self.assertEqual(
                sent.aborted,
                outcome is AttemptOutcome.ERROR and b"500" not in answer,
                answer,
            )

    def test_an_answer_without_length_is_whole_at_a_close_and_lost_at_a_reset(self):
        for clean, outcome, expected_answer in (
            (True, AttemptOutcome.SUCCEEDED, b"200 OK\r\nContent-Length: 2\r\n\r\nab"),
            (False, AttemptOutcome.RESET, b""),
        ):
            self.setUp()
            (_, wire), (connection, _) = self.exchange(b"HTTP/1.1 200 OK\r\n\r\nab")
            self.assertEqual((self.outcomes(), wire.value()), ({}, b""))
            self.disconnect(connection, clean)
            self.assertEqual(self.outcomes(), {outcome.value: 1})
            self.assertIn(expected_answer, wire.value())

    def test_extra_octets_after_an_answer_close_its_node_connection(self):
        (_, wire), (_, sent) = self.exchange(RESPONSE + b"HTTP/1.1 200 OK\r\n")
        self.assertEqual(
            (wire.value()[-2:], sent.aborted, self.gateway.node_pools.open_connections),
            (b"hi", True, 0),
        )
        (_, wire), (connection, sent) = self.exchange(RESPONSE, txn=TXN + 1)
        connection.dataReceived(b"noise")  # arrives later, while no request is open
        self.assertTrue(sent.aborted)

    def test_a_lost_connection_is_unreachable_before_all_is_written_and_reset_after(
        self,
    ):
        for written, outcome in (
            (False, AttemptOutcome.UNREACHABLE),
            (True, AttemptOutcome.RESET),
        ):
            self.setUp()
            _, (connection, _) = self.exchange(None)
            connection.written = written
            self.disconnect(connection, clean=False)
            self.assertEqual(self.outcomes(), {outcome.value: 1})

    def test_an_idle_connection_that_closes_before_the_write_costs_no_attempt(self):
        _, (connection, _) = self.exchange()
        self.client(req(TXN + 1))
        self.assertIsNotNone(connection.exchange)
        connection.written = False
        self.disconnect(connection)
        self.reactor.advance(0)
        self.assertEqual(
            (self.outcomes(), len(self.dials(7070))), ({"satisfied": 1}, 2)
        )
        _, sent = self.reactor.connect()
        self.assertIn(b"X-Txn: %016x" % (TXN + 1), sent.value())

    def test_a_failed_connect_is_unreachable(self):
        self.client(req())
        self.reactor.tcpClients[self.dials(7070)[0]][2].clientConnectionFailed(
            SimpleNamespace(transport=None), None
        )
        self.assertEqual(
            (self.outcomes()["unreached"], self.gateway.node_pools.open_connections),
            (1, len(self.dials(7070)) - 1),
        )

    def node_pools(self, max_connections=4, budget=None):
        pools = HttpNodePools(
            self.reactor,
            self.now,
            NodePoolsConfig(max_connections, 2500, 300_000),
            budget or BufferBudget(64),
            lambda *values: None,
        )
        pools.update(True, [parse_node(NODE, ["z"], 0)])
        return pools, pools.pools[node_number("s-1")]

    def test_connections_stay_within_the_limit_and_waiting_attempts_time_out(self):
        pools, node = self.node_pools()
        outcomes = []
        for _ in range(6):
            pools.send_attempt(
                ForwardedPayload(b"GET", b"/get", [], b""),
                node.number,
                self.now() + 9000,
                lambda *values: outcomes.append(values),
            )
        self.assertEqual((pools.open_connections, len(node.waiting)), (4, 6))
        self.reactor.advance(0.26)
        pools.check()
        self.assertEqual((len(outcomes), len(node.waiting)), (6, 0))

    def test_idle_connections_close_before_the_node_does_longest_idle_first(self):
        pools, node = self.node_pools(max_connections=1)
        pools.send_attempt(
            ForwardedPayload(b"GET", b"/get", [], b""),
            node.number,
            self.now() + 9000,
            lambda *values: None,
        )
        connection, wire = self.reactor.connect()
        connection.dataReceived(RESPONSE)
        pools.update(
            False,
            [parse_node(NODE | {"id": "s-2", "addr": "127.0.0.1:7071"}, ["z"], 0)],
        )
        pools.send_attempt(
            ForwardedPayload(b"GET", b"/get", [], b""),
            node_number("s-2"),
            self.now() + 9000,
            lambda *values: None,
        )
        self.assertEqual((wire.aborted, pools.open_connections), (True, 1))
        other, wire = self.reactor.connect()
        other.dataReceived(RESPONSE)
        self.reactor.advance(22)
        pools.check()
        self.assertEqual((wire.aborted, pools.open_connections), (True, 0))

    def test_long_answers_are_counted_against_the_buffer_budget(self):
        budget = BufferBudget(64)
        pools, node = self.node_pools(budget=budget)
        budget.held = budget.limit - 500_000
        outcomes = []
        for _ in range(2):
            pools.send_attempt(
                ForwardedPayload(b"GET", b"/get", [], b""),
                node.number,
                self.now() + 9000,
                lambda *values: outcomes.append(values[0]),
            )
        connections = [
            self.reactor.connect(index)[0] for index in self.dials(7070)[-2:]
        ]
        for each in connections:
            each.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n")
        connections[0].dataReceived(b"x" * 400_000)
        self.assertEqual(
            (outcomes, budget.held),
            ([AttemptOutcome.ERROR, AttemptOutcome.SUCCEEDED], budget.limit - 500_000),
        )

    def test_a_thousand_added_and_removed_nodes_leave_no_pools(self):
        pools, _ = self.node_pools()
        for number in range(1000):
            pools.update(
                False,
                [
                    parse_node(NODE | {"id": f"t-{number}"}, ["z"], 0),
                    parse_node({"id": f"t-{number - 1}", "state": "left"}, ["z"], 0),
                ],
            )
            pools.check()
        self.assertEqual(len(pools.pools), 2)

    def test_an_ended_connection_leaves_no_reference_cycle(self):
        protocol, wire = Protocol(), MemoryTransport()
        connector = SimpleNamespace(
            transport=wire, factory=SingleConnector(protocol, lambda: None)
        )
        protocol.transport, wire.connector = wire, connector
        connector.factory.clientConnectionLost(connector, None)
        reference = weakref.ref(protocol)
        gc.disable()
        self.addCleanup(gc.enable)
        del protocol, wire, connector
        self.assertIsNone(reference())

    def test_a_node_with_a_changed_address_is_reached_there(self):
        pools, node = self.node_pools()
        pools.update(False, [parse_node(NODE | {"addr": "127.0.0.1:9"}, ["z"], 0)])
        self.assertEqual(
            (node.address, node.host_field), (("127.0.0.1", 9), b"127.0.0.1:9")
        )


class ThousandNodes(MemoryTest):
    """1024 nodes and gateways, within the configured descriptor limit."""

    def deployment(self, **changed):
        servers = [
            NODE
            | {"id": f"s-{cell}", "cell": cell, "addr": f"127.0.0.1:{10_000 + cell}"}
            for cell in range(1024)
        ]
        extra = SETTINGS["extra"] | {"slots_total": 1024}
        settings = SETTINGS | {"peers_total": 1024, "self_index": 1023, "extra": extra}
        return parse_configuration(
            CONFIG
            | {
                "settings": settings,
                "known": {"version": 4, "full": True, "servers": servers},
            },
            {},
            0,
            self.log.append,
        )

    def test_every_node_is_reached_and_connections_stay_within_the_limit(self):
        sched, pools = self.gateway.host.scheduler, self.gateway.node_pools
        self.assertEqual(
            (len(sched.state.nodes), len(pools.pools), sched.config.gateway_index),
            (1024, 1024, 1023),
        )
        for cell in range(1024):
            client, wire = self.client(
                req(
                    txn=cell + 1,
                    X_IO=f"volume=00000003b4d60021,units=2,shard={cell},hosts=1",
                )
            )
            node, _ = self.reactor.connect(self.dials(10_000 + cell)[-1])
            node.dataReceived(RESPONSE)
            self.assertIn(b"200 OK", wire.value())
            self.disconnect(client)
            self.reactor.advance(0)
            self.assertLessEqual(pools.open_connections, pools.max_connections)

    def test_the_report_lists_only_nodes_in_use(self):
        self.client(req(X_IO="volume=00000003b4d60021,units=2,shard=9,hosts=1"))
        self.reactor.connect(self.dials(10_009)[-1])
        self.log.clear()
        self.gateway.log_report()
        self.assertEqual(
            [values["id"] for event, values in self.log if event == "node"], ["s-9"]
        )


if __name__ == "__main__":
    unittest.main()
