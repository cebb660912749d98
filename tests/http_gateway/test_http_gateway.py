"""The gateway on the platform.

Door, links and many nodes, on memory transports and a clock of the test's own.
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


class Door(MemoryTest):
    def test_a_transfer_passes_unchanged_and_its_answer_comes_back(self):
        for txn, one in (
            (TXN, req(method="PUT", name="put", body=b"body", Idempotency_Key="k-1")),
            (TXN + 1, req(TXN + 1)),
        ):
            client, wire = self.client(
                *[one[place : place + 1] for place in range(len(one))]
            )
            if txn == TXN:
                link, sent = self.reactor.connect(self.dials(7070)[-1])
            text = sent.value()
            self.assertIn(b"X-Txn: %016x\r\n" % txn, text)
            self.assertIn(b"X-Remaining-Ms: ", text)
            self.assertEqual(
                (b"Idempotency-Key: k-1\r\n" in text, text.endswith(b"\r\n\r\nbody")),
                (txn == TXN,) * 2,
            )
            sent.clear()
            link.dataReceived(RESPONSE)
            self.assertTrue(
                wire.value().startswith(b"HTTP/1.1 200")
                and wire.value().endswith(b"\r\n\r\nhi")
            )
        self.assertEqual(len(self.dials(7070)), 1)  # the second went over the same link

    def test_what_is_no_transfer_gets_an_error_and_reaches_nobody(self):
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

    def test_the_id_of_an_open_transfer_is_refused_and_the_open_one_goes_on(self):
        (_, first), (link, _) = self.exchange(answer=None)
        self.assertIn(b" 409 ", self.client(req())[1].value())
        link.dataReceived(RESPONSE)
        self.assertIn(b" 200 ", first.value())

    def test_sixty_megabytes_are_refused_at_the_head_and_not_read(self):
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

    def test_a_client_that_leaves_has_its_dispatch_given_up(self):
        (client, _), (_, sent) = self.exchange(answer=None)
        self.disconnect(client)
        self.reactor.advance(0.01)
        self.assertEqual(
            (self.gateway.host.unanswered, sent.aborted, self.gateway.host.active),
            (0, True, {}),
        )

    def test_two_requests_in_one_packet_are_answered_in_turn_and_hundreds_are_not_held(
        self,
    ):
        client, wire = self.client(req() + req(TXN + 1))
        link, sent = self.reactor.connect(self.dials(7070)[-1])
        link.dataReceived(RESPONSE)
        self.reactor.advance(0.01)
        self.assertEqual(
            (sent.value().count(b"X-Txn"), wire.value().count(b" 200 ")), (2, 1)
        )
        client, wire = self.client(b"".join(req(number) for number in range(100, 400)))
        client.dataReceived(b"x")
        self.assertIn(b" 400 ", wire.value())

    def test_what_the_module_gives_up_is_declined_with_a_time_to_come_back(self):
        client, wire = self.client(
            req(X_IO="volume=00000003b4d60021,units=2,shard=3,hosts=1")
        )
        self.reactor.pump([0.05] * 20)
        self.assertIn(b" 503 ", wire.value())
        self.assertIn(b"Retry-After: 1.500\r\n", wire.value())

    def test_silent_and_slow_connections_end_within_their_spans(self):
        _, silent = self.client()
        _, slow = self.client(req()[:40])
        self.reactor.pump([0.1] * 24)
        self.assertEqual(
            (silent.disconnecting, slow.value()[:12]), (True, b"HTTP/1.1 408")
        )

    def test_silent_connections_make_way_where_descriptors_are_short(self):
        most = self.gateway.listener.max_connections + SPARE_CLIENTS
        silent = [self.client() for _ in range(most)]
        self.assertIsNone(self.gateway.listener.buildProtocol(None))
        self.reactor.pump([0.1] * 4)
        self.assertTrue(all(wire.disconnecting for _, wire in silent))
        self.disconnect(silent[0][0])
        self.assertTrue(self.gateway.listener.paused)  # still over its share
        for protocol, _ in silent[1:]:
            self.disconnect(protocol)
        self.assertEqual(
            self.gateway.port.numberAccepts, 1
        )  # as when the first was let in again
        self.assertFalse(
            self.gateway.listener.paused or self.gateway.listener.connections
        )

    def test_an_answer_that_is_not_taken_is_counted_until_it_is(self):
        (client, wire), (link, _) = self.exchange(answer=None)
        write = wire.write
        wire.write = lambda data: (client.pauseProducing(), write(data))
        link.dataReceived(RESPONSE)
        self.assertEqual(self.gateway.buffers.held, 2)
        client.resumeProducing()
        self.assertEqual(self.gateway.buffers.held, 0)

    def test_readiness_and_sigterm(self):
        ready = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
        kept, wire = self.client(ready)
        self.assertIn(b" 200 ", wire.value())
        (_, busy), (link, _) = self.exchange(answer=None)
        ended = []
        self.gateway.on_stopped = lambda: ended.append(self.now())
        self.gateway.terminate()
        wire.clear()
        kept.dataReceived(ready)
        self.assertIn(b" 503 ", wire.value())
        self.assertFalse(wire.disconnecting)
        link.dataReceived(RESPONSE)
        self.assertIn(b" 200 ", busy.value())
        self.reactor.pump([0.05] * 40)
        self.assertEqual(
            (wire.disconnecting, len(ended), self.gateway.state),
            (True, 1, ProcessState.STOPPED),
        )


class Links(MemoryTest):
    def ended(self):
        """How the dispatches ended that were counted."""
        return {
            key[1]: count
            for key, count in self.gateway.report.counts.items()
            if key[0] == "ended"
        }

    def test_each_way_to_end(self):
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
            (_, wire), (link, sent) = self.exchange(answer)
            self.assertEqual(self.ended(), {outcome.value: 1}, answer)
            self.assertEqual(
                sent.aborted,
                outcome is AttemptOutcome.ERROR and b"500" not in answer,
                answer,
            )

    def test_an_answer_without_a_length_is_whole_at_a_close_and_lost_at_a_reset(self):
        for clean, outcome, said in (
            (True, AttemptOutcome.SUCCEEDED, b"200 OK\r\nContent-Length: 2\r\n\r\nab"),
            (False, AttemptOutcome.RESET, b""),
        ):
            self.setUp()
            (_, wire), (link, _) = self.exchange(b"HTTP/1.1 200 OK\r\n\r\nab")
            self.assertEqual((self.ended(), wire.value()), ({}, b""))
            self.disconnect(link, clean)
            self.assertEqual(self.ended(), {outcome.value: 1})
            self.assertIn(said, wire.value())

    def test_octets_behind_a_good_answer_retire_its_link(self):
        (_, wire), (_, sent) = self.exchange(RESPONSE + b"HTTP/1.1 200 OK\r\n")
        self.assertEqual(
            (wire.value()[-2:], sent.aborted, self.gateway.node_pools.open_connections),
            (b"hi", True, 0),
        )
        (_, wire), (link, sent) = self.exchange(RESPONSE, txn=TXN + 1)
        link.dataReceived(b"noise")  # later, nothing waits
        self.assertTrue(sent.aborted)

    def test_a_break_before_the_last_octet_was_handed_over_never_ran_after_it_may_have(
        self,
    ):
        for written, outcome in (
            (False, AttemptOutcome.UNREACHABLE),
            (True, AttemptOutcome.RESET),
        ):
            self.setUp()
            _, (link, _) = self.exchange(None)
            link.written = written
            self.disconnect(link, clean=False)
            self.assertEqual(self.ended(), {outcome.value: 1})

    def test_an_idle_link_that_closes_before_we_wrote_all_costs_nothing(self):
        _, (link, _) = self.exchange()
        self.client(req(TXN + 1))
        self.assertIsNotNone(link.exchange)
        link.written = False
        self.disconnect(link)
        self.reactor.advance(0)
        self.assertEqual((self.ended(), len(self.dials(7070))), ({"satisfied": 1}, 2))
        _, sent = self.reactor.connect()
        self.assertIn(b"X-Txn: %016x" % (TXN + 1), sent.value())

    def test_a_dial_that_fails_is_unreached(self):
        self.client(req())
        self.reactor.tcpClients[self.dials(7070)[0]][2].clientConnectionFailed(
            SimpleNamespace(transport=None), None
        )
        self.assertEqual(
            (self.ended()["unreached"], self.gateway.node_pools.open_connections),
            (1, len(self.dials(7070)) - 1),
        )

    def fleet(self, most=4, octets=None):
        fleet = HttpNodePools(
            self.reactor,
            self.now,
            NodePoolsConfig(most, 2500, 300_000),
            octets or BufferBudget(64),
            lambda *values: None,
        )
        fleet.update(True, [parse_node(NODE, ["z"], 0)])
        return fleet, fleet.pools[node_number("s-1")]

    def test_links_stay_within_their_bound_and_who_waits_is_unreached_in_time(self):
        fleet, node = self.fleet()
        ended = []
        for _ in range(6):
            fleet.send_attempt(
                ForwardedPayload(b"GET", b"/get", [], b""),
                node.number,
                self.now() + 9000,
                lambda *values: ended.append(values),
            )
        self.assertEqual((fleet.open_connections, len(node.waiting)), (4, 6))
        self.reactor.advance(0.26)
        fleet.check()
        self.assertEqual((len(ended), len(node.waiting)), (6, 0))

    def test_idle_links_close_before_the_node_does_and_the_longest_idle_makes_way(self):
        fleet, node = self.fleet(most=1)
        fleet.send_attempt(
            ForwardedPayload(b"GET", b"/get", [], b""),
            node.number,
            self.now() + 9000,
            lambda *values: None,
        )
        link, wire = self.reactor.connect()
        link.dataReceived(RESPONSE)
        fleet.update(
            False,
            [parse_node(NODE | {"id": "s-2", "addr": "127.0.0.1:7071"}, ["z"], 0)],
        )
        fleet.send_attempt(
            ForwardedPayload(b"GET", b"/get", [], b""),
            node_number("s-2"),
            self.now() + 9000,
            lambda *values: None,
        )
        self.assertEqual((wire.aborted, fleet.open_connections), (True, 1))
        other, wire = self.reactor.connect()
        other.dataReceived(RESPONSE)
        self.reactor.advance(22)
        fleet.check()
        self.assertEqual((wire.aborted, fleet.open_connections), (True, 0))

    def test_long_answers_are_counted_against_the_memory(self):
        octets = BufferBudget(64)
        fleet, node = self.fleet(octets=octets)
        octets.held = octets.limit - 500_000
        ended = []
        for _ in range(2):
            fleet.send_attempt(
                ForwardedPayload(b"GET", b"/get", [], b""),
                node.number,
                self.now() + 9000,
                lambda *values: ended.append(values[0]),
            )
        links = [self.reactor.connect(place)[0] for place in self.dials(7070)[-2:]]
        for link in links:
            link.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n")
        links[0].dataReceived(b"x" * 400_000)
        self.assertEqual(
            (ended, octets.held),
            ([AttemptOutcome.ERROR, AttemptOutcome.SUCCEEDED], octets.limit - 500_000),
        )

    def test_a_thousand_nodes_come_and_go_and_leave_nothing(self):
        fleet, _ = self.fleet()
        for turn in range(1000):
            fleet.update(
                False,
                [
                    parse_node(NODE | {"id": f"t-{turn}"}, ["z"], 0),
                    parse_node({"id": f"t-{turn - 1}", "state": "left"}, ["z"], 0),
                ],
            )
            fleet.check()
        self.assertEqual(len(fleet.pools), 2)

    def test_a_dial_that_ended_leaves_no_circle(self):
        protocol, wire = Protocol(), MemoryTransport()
        connector = SimpleNamespace(
            transport=wire, factory=SingleConnector(protocol, lambda: None)
        )
        protocol.transport, wire.connector = wire, connector
        connector.factory.clientConnectionLost(connector, None)
        there = weakref.ref(protocol)
        gc.disable()
        self.addCleanup(gc.enable)
        del protocol, wire, connector
        self.assertIsNone(there())

    def test_a_node_that_moved_is_reached_at_its_new_address(self):
        fleet, node = self.fleet()
        fleet.update(False, [parse_node(NODE | {"addr": "127.0.0.1:9"}, ["z"], 0)])
        self.assertEqual(
            (node.address, node.host_field), (("127.0.0.1", 9), b"127.0.0.1:9")
        )


class AtSize(MemoryTest):
    """A thousand nodes and gateways in the settings, within the descriptors that the configuration states."""

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

    def test_every_node_is_reached_and_links_stay_within_their_bound(self):
        module, fleet = self.gateway.host.scheduler, self.gateway.node_pools
        self.assertEqual(
            (len(module.state.nodes), len(fleet.pools), module.config.gateway_index),
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
            self.assertLessEqual(fleet.open_connections, fleet.max_connections)

    def test_its_tally_tells_of_the_nodes_in_use_alone(self):
        self.client(req(X_IO="volume=00000003b4d60021,units=2,shard=9,hosts=1"))
        self.reactor.connect(self.dials(10_009)[-1])
        self.log.clear()
        self.gateway.log_report()
        self.assertEqual(
            [values["id"] for event, values in self.log if event == "node"], ["s-9"]
        )


if __name__ == "__main__":
    unittest.main()
