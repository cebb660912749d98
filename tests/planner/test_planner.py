"""The planner and edges over sockets: parts that move, planners that die, come back old or stand, frames that make no sense."""

import json
import os
import tempfile
import unittest
from random import Random
from unittest.mock import Mock

from click.testing import CliRunner
from google.protobuf import text_format
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry
from twisted.internet import reactor, threads
from twisted.internet.task import Clock, LoopingCall
from twisted.trial.unittest import TestCase

from milletsill.cli.main import main
from milletsill.interface import Endpoint, Readiness
from milletsill.logs import logger
from milletsill.planner import codec, epoch_store
from milletsill.planner.codec import MalformedPlannerFrame, Frames, encoded
from milletsill.planner.demand_estimate import Demand, want_of
from milletsill.planner.plan_pb2 import Asks, Welcome, Wish
from milletsill.planner.planner_link import MOST_WAIT, Link, Said, dial_after, link_step
from milletsill.planner.planner_service import Service
from milletsill.planner.quota_client import Parts
from milletsill.planner.quota_lending import Edge
from milletsill.planner.quota_terms import GUARD, SECOND, Ask, Grant, Lent, Span
from milletsill.settings.milletsill_pb2 import GatewayFile, PlannerFile
from milletsill.sftp import packets
from milletsill.sftp_gateway.deployment import config_of
from tests.support.sftp_gateway_rig import Rig, later

EDGE = """
name: "e" listen: "127.0.0.1:0" gateways: 4 seed: 5 registry { address: "127.0.0.1:1" }
planner { address: "127.0.0.1:1" lending { longest_s: 2 } ask_s: 0.2 }
rules { cold_units: 40 cold_window_ms: 2000 warm_after_s: 12 }
plan { name: "p" usual_rate: 10 reserve_rate: 5 limit_rate: 20 limit_store: 40 }
category { name: "c" target_ms: 300 patience_ms: 1000 } volume { name: "v" root: "/v" plan: "p" cell: [0] } route { category: "c" }
"""
FILE = """
name: "plan-t" listen: "127.0.0.1:0" state_dir: "x" lending { longest_s: 1.2 } silent_s: 2 logging { level: "debug" }
"""


class Decided(unittest.TestCase):
    def test_a_planner_that_is_old_silent_or_gone_is_left_and_dialled_again(self):
        self.assertEqual(
            [
                link_step(*each)
                for each in (
                    (Link.DOWN, Said.UP),
                    (Link.GREETED, Said.WELCOME),
                    (Link.PLANNED, Said.OLD),
                    (Link.PLANNED, Said.SILENT),
                    (Link.PLANNED, Said.LOST),
                    (Link.DOWN, Said.LOST),
                )
            ],
            [
                (Link.GREETED, "hello"),
                (Link.PLANNED, "ask"),
                (Link.DOWN, "refuse"),
                (Link.DOWN, "cut"),
                (Link.DOWN, "again"),
                (Link.DOWN, ""),
            ],
        )

    def test_pauses_grow_to_a_bound_and_are_spread(self):
        self.assertLess(dial_after(1, 0.0), dial_after(1, 1.0))
        self.assertEqual(dial_after(90, 1.0), MOST_WAIT)

    def test_demand_goes_up_within_two_seconds_and_down_within_three(self):
        demand = Demand(since=0)
        demand.add(50, SECOND)
        self.assertEqual(demand.look(SECOND), 25.0)
        self.assertAlmostEqual(demand.look(2 * SECOND), 25.0 * 2 / 3)
        self.assertAlmostEqual(demand.look(2 * SECOND + 1), 25.0 * 2 / 3)

    def test_what_a_rate_is_of_a_whole(self):
        self.assertEqual(
            [want_of(*each) for each in ((5, 10), (50, 10), (0, 10), (1, 0))],
            [500_000, 1_000_000, 0, 1_000_000],
        )

    def test_the_outlook_never_promises_more_than_any_later_moment_holds(self):
        span, thing = Span(40_000, 0, 0.2), ("limit", 1)
        chance = Random(5)
        for _ in range(300):
            edge = Edge("e", 1, span, 0, fresh=chance.random() < 0.5)
            held = edge.know(thing, 4)
            for _ in range(chance.randrange(4)):
                held.promise(
                    Lent(chance.randrange(200_000), chance.randrange(50_000), 0), 0
                )
            held.granted, held.granted_ends = (
                chance.randrange(500_000),
                chance.randrange(50_000),
            )
            now = chance.randrange(50_000)
            part, ends, after = edge.outlook(thing, now)
            for at in range(now, 60_000, 500):
                self.assertLessEqual(part if at < ends else after, edge.part(thing, at))


class Epochs(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def test_each_start_has_a_newer_one_and_copies_differ(self):
        made = [epoch_store.next_epoch(self.folder, Random(each)) for each in range(4)]
        self.assertEqual(made, sorted(set(made)))
        other = epoch_store.next_epoch(f"{self.folder}/copy", Random(9))
        self.assertNotEqual(
            other, epoch_store.next_epoch(f"{self.folder}/copy2", Random(10))
        )

    def test_a_write_cut_at_any_byte_leaves_the_other(self):
        before = epoch_store.next_epoch(self.folder, Random(1))
        last = epoch_store.next_epoch(self.folder, Random(2))
        for name in epoch_store.NAMES:
            path = os.path.join(self.folder, name)
            with open(path, "rb") as source:
                data = source.read()
            for size in range(len(data)):
                with open(path, "wb") as sink:
                    sink.write(data[:size])
                found = [
                    epoch_store.read(os.path.join(self.folder, each))
                    for each in epoch_store.NAMES
                ]
                self.assertIn(max(found), (before, last))
            with open(path, "wb") as sink:
                sink.write(data)

    def test_a_flipped_bit_counts_as_torn(self):
        epoch_store.next_epoch(self.folder, Random(1))
        path = os.path.join(self.folder, epoch_store.NAMES[0])
        with open(path, "rb") as source:
            data = bytearray(source.read())
        for at in range(len(data)):
            data[at] ^= 4
            with open(path, "wb") as sink:
                sink.write(data)
            self.assertEqual(epoch_store.read(path), 0)
            data[at] ^= 4

    def test_a_folder_that_cannot_be_written_is_one_line(self):
        path = os.path.join(self.folder, "file")
        with open(path, "w", encoding="ascii") as sink:
            sink.write("in the way")
        with self.assertRaises(epoch_store.EpochNotStored):
            epoch_store.next_epoch(path, Random(1))


class Frame(unittest.TestCase):
    def test_asks_and_grants_go_there_and_back(self):
        ask = Ask("e", 7, 1 << 60, ("cold", 9), 1, 2, ((3, 4), (1, 9)), 5)
        self.assertEqual(codec.get_ask("e", 7, codec.put_ask(ask, 1.5)), ask)
        grant = Grant(1 << 60, 7, ("limit", 2), 3, 4, 5, 6, 7, 8, 9)
        self.assertEqual(codec.get_grant(codec.put_grant(grant)), grant)

    def test_frames_come_in_any_pieces(self):
        data = encoded(welcome=Welcome(version=1, epoch=5)) + encoded(asks=Asks())
        for size in range(1, len(data)):
            frames = Frames()
            found = [
                frame
                for at in range(0, len(data), size)
                for frame in frames.feed(data[at : at + size])
            ]
            self.assertEqual(
                [each.WhichOneof("what") for each in found], ["welcome", "asks"]
            )

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_frames_or_one_line(self, data):
        try:
            list(Frames().feed(data))
        except MalformedPlannerFrame as error:
            self.assertNotIn("\n", str(error))

    def test_a_frame_that_claims_too_much_is_refused_before_it_comes(self):
        with self.assertRaises(MalformedPlannerFrame):
            list(Frames().feed((1 << 30).to_bytes(4, "big")))


class Told:
    """A host that keeps what it is told of parts."""

    def __init__(self):
        self.parts, self.active, self.max_decision_age = [], {}, 0

    def on_quota_share(self, *values):
        self.parts.append(values)


class TheEdgesSide(unittest.TestCase):
    def setUp(self):
        self.now, self.host, self.clock = 1000 * SECOND, Told(), Clock()

    def parts(self, incarnation=1, **planner):
        file = text_format.Parse(EDGE, GatewayFile())
        given = config_of(file)
        made = Parts(
            self.clock,
            lambda: self.now,
            file,
            given,
            1,
            incarnation,
            self.host,
            lambda *_, **__: None,
            CollectorRegistry(),
        )
        return made

    def test_a_cold_box_is_parted_from_the_moment_it_is_listed(self):
        parts = self.parts(incarnation=2)
        parts.listed(
            [
                Endpoint(7, Readiness.READY, 4.0, 0, 0, self.now - SECOND, 3),
                Endpoint(8, Readiness.READY, 4.0, 0, 0, None, 4),
            ]
        )
        self.assertEqual({each[:2] for each in self.host.parts}, {("cold", 7)})
        self.assertAlmostEqual(
            self.host.parts[0][2], 0.2 / 4, delta=1e-5
        )  # it rests at the floor
        self.assertEqual(parts.nodes, {3: 7})

    def test_what_it_hears_of_again_is_said_again(self):
        """The module may have forgotten a box that was gone."""
        parts = self.parts(incarnation=2)
        for _ in range(2):
            parts.listed(
                [Endpoint(7, Readiness.READY, 4.0, 0, 0, self.now - SECOND, 3)]
            )
        self.assertGreaterEqual(
            sum(each[:2] == ("cold", 7) for each in self.host.parts), 2
        )

    def test_stores_of_the_file_are_known_from_the_start_and_rest_ends_by_itself(self):
        parts = self.parts(incarnation=2)
        parts.start()
        self.addCleanup(parts.stop)
        self.assertEqual(
            {each[:2] for each in self.host.parts}, {("limit", 1), ("reserve", 1)}
        )
        self.host.parts.clear()
        self.now += 2 * SECOND
        self.clock.advance(2)
        self.assertIn(("limit", 1, None), {each[:3] for each in self.host.parts})

    def test_boxes_that_were_cold_once_are_forgotten(self):
        parts = self.parts()
        for node in range(50):
            parts.listed(
                [Endpoint(node, Readiness.READY, 4.0, 0, 0, self.now - SECOND, 3)]
            )
        parts.look()
        self.assertEqual(
            [each for each in parts.demand if each[0] == "cold"], [("cold", 49)]
        )
        self.assertEqual(
            (len(parts.edge.holdings), len(parts.told), len(parts.wholes)), (1, 1, 1)
        )
        self.assertIn(("cold", 3, None, 0, 0.0), self.host.parts)

    def test_what_waits_is_wanted(self):
        parts = self.parts()
        parts.volume(1, 4, parts.config.service_plans[0], 0.0)
        self.host.active = {
            1: Mock(
                answered=False,
                attempts=[],
                request=Mock(volume=1, shard=None, units=3.0),
            ),
            2: Mock(
                answered=False,
                attempts=[1],
                request=Mock(volume=1, shard=None, units=9.0),
            ),
        }
        self.assertEqual(parts.waiting()["limit", 1], 3.0)

    def test_a_send_that_was_decided_long_ago_is_not_made(self):
        self.parts()
        self.assertEqual(self.host.max_decision_age, GUARD)


class Sockets(TestCase):
    timeout = 40

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.services = folder.name, []
        self.addCleanup(self.end)

    def end(self):
        for each in self.services:
            each.stop()
        return later(0.2)

    async def planner(self, port=0, state="state"):
        file = text_format.Parse(FILE, PlannerFile())
        file.listen, file.state_dir = f"127.0.0.1:{port}", f"{self.folder}/{state}"
        service = Service(file, reactor, logger("error", True))
        service.start()
        self.services.append(service)
        await later(0.05)
        self.port = service.ports[0].getHost().port
        return service

    def rig(self, **plan):
        rig = Rig(self)
        rig.file.gateways = 3
        rig.file.plan[0].limit_rate, rig.file.plan[0].limit_store = 60.0, 12.0
        rig.file.planner.address = f"127.0.0.1:{self.port}"
        rig.file.planner.lending.longest_s, rig.file.planner.ask_s = 1.2, 0.1
        return rig

    async def flood(self, rig, edge, seconds):
        """Reads through one edge, as many as it takes; how many were satisfied."""
        client = await rig.client(edge)
        handle = await client.open("/h/a")
        await client.command(packets.Write(0, handle, 0, b"x" * 100))
        done = []
        ends = reactor.seconds() + seconds
        while reactor.seconds() < ends:
            if len(client.waiting) < 40:
                for _ in range(6):
                    client.command(packets.Read(0, handle, 0, 100)).addCallback(
                        lambda packet: done.append(isinstance(packet, packets.Data))
                    )
            await later(0.03)
        return sum(done)

    def parts(self, edge, thing=("limit", 1)):
        return edge.parts.edge.part(thing, edge.now())

    async def test_what_two_edges_do_not_use_a_third_gets_and_the_sum_stays_lawful(
        self,
    ):
        service = await self.planner()
        rig = self.rig()
        edges = [await rig.edge(f"edge-{each}") for each in range(3)]
        for each in edges[1:]:
            client = await rig.client(each)
            await client.open("/h/b")
        seen = []
        looking = LoopingCall(
            lambda: seen.append(
                [
                    self.parts(each)
                    if ("limit", 1) in each.parts.edge.holdings
                    else 333_333
                    for each in edges
                ]
            )
        )
        looking.start(0.05)
        count = await self.flood(rig, edges[0], 4.5)
        looking.stop()
        self.assertTrue(all(sum(each) <= 1_000_000 for each in seen))
        self.assertGreater(max(each[0] for each in seen), 600_000)
        self.assertGreater(count, 1.3 * 20 * 4.5)  # an even part is 20 a second
        shares = service.told_shares(
            type("Q", (), {"edge": "", "what": "shares", "most": 9})
        )
        self.assertEqual(
            {each["edge"] for each in shares}, {"edge-0", "edge-1", "edge-2"}
        )

    async def test_without_the_planner_parts_go_back_to_even_and_commands_go_on(self):
        service = await self.planner()
        rig = self.rig()
        edges = [await rig.edge(f"edge-{each}") for each in range(3)]
        for each in edges[1:]:
            await (await rig.client(each)).open("/h/b")
        await self.flood(rig, edges[0], 3)
        self.assertGreater(self.parts(edges[0]), 333_333)
        service.stop()
        await later(1.5)
        self.assertEqual([self.parts(each) for each in edges], [333_333] * 3)
        self.assertGreater(await self.flood(rig, edges[0], 1), 10)

    async def test_a_planner_that_comes_back_with_an_old_state_is_refused_and_ends(
        self,
    ):
        newer = await self.planner(state="new")
        for _ in range(3):
            epoch_store.next_epoch(f"{self.folder}/new", Random(1))
        newer.stop()
        newer = await self.planner(state="new")
        rig = self.rig()
        edge = await rig.edge("edge-0")
        await later(0.4)
        self.assertIs(edge.parts.link, Link.PLANNED)
        port = self.port
        newer.stop()
        await later(0.2)
        older = await self.planner(port=port, state="old")
        for _ in range(60):
            await later(0.05)
            if older.failed:
                break
        self.assertTrue(older.failed)
        self.assertEqual(older.superseded, newer.planner.epoch)
        self.assertIsNot(edge.parts.link, Link.PLANNED)

    async def test_an_edge_that_starts_again_rests_at_the_floor(self):
        await self.planner()
        rig = self.rig()
        edge = await rig.edge("edge-0")
        edge.stop()
        again = await rig.edge("edge-0")
        client = await rig.client(again)
        await client.open("/h/a")
        self.assertEqual(self.parts(again), int(333_333 * 0.2))
        await later(1.3)
        self.assertGreaterEqual(self.parts(again), 333_333)

    async def test_frames_that_make_no_sense_cost_their_connection_alone(self):
        service = await self.planner()
        rig = self.rig()
        edge = await rig.edge("edge-0")
        await later(0.3)
        from twisted.internet.endpoints import TCP4ClientEndpoint
        from twisted.internet.protocol import Factory, Protocol

        for data in (
            b"\xff" * 50,
            b"GET / HTTP/1.0\r\n\r\n",
            encoded(asks=Asks()),
            encoded(
                asks=Asks(
                    wish=[Wish(epoch=1, what="gold", id=1, want=1, capital=1, sent=1)]
                )
            ),
        ):
            wire = await TCP4ClientEndpoint(reactor, "127.0.0.1", self.port).connect(
                Factory.forProtocol(Protocol)
            )
            wire.transport.write(data)
        await later(0.3)
        self.assertEqual(list(service.by_name), ["edge-0"])
        self.assertIs(edge.parts.link, Link.PLANNED)

    async def test_operators_ask_freeze_and_drain(self):
        service = await self.planner()
        rig = self.rig()
        edge = await rig.edge("edge-0")
        await (await rig.client(edge)).open("/h/a")
        await later(0.5)

        def ask(*words):
            return CliRunner().invoke(
                main, ["ctl", "--planner", f"127.0.0.1:{self.port}", *words]
            )

        shares, edges, frozen, drained = [
            await threads.deferToThread(ask, *words)
            for words in (("shares",), ("edges",), ("freeze",), ("drain", "edge-0"))
        ]
        self.assertEqual(
            {each.exit_code for each in (shares, edges, frozen, drained)}, {0}
        )
        self.assertEqual(json.loads(edges.output.splitlines()[0])["edge"], "edge-0")
        self.assertIn('"even": 333333', shares.output)
        self.assertTrue(service.planner.frozen)
        self.assertEqual(service.planner.drained, {"edge-0"})
        service.stop()
        await later(0.2)
        gone = await threads.deferToThread(ask, "edges")
        self.assertEqual((gone.exit_code, gone.output.count("\n")), (1, 1))


if __name__ == "__main__":
    unittest.main()
