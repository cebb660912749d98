"""End-to-end tests of the planner and gateways over sockets.

Shares move between gateways, planners stop, and planners return with old state.
"""

import json
import tempfile
import unittest
from random import Random

from click.testing import CliRunner
from google.protobuf import text_format
from twisted.internet import reactor, threads
from twisted.internet.task import LoopingCall
from twisted.trial.unittest import TestCase

from milletsill.cli.main import main
from milletsill.interface import QuotaKind
from milletsill.logs import logger
from milletsill.planner import epoch_store
from milletsill.planner.codec import encode_frame
from milletsill.planner.plan_pb2 import Asks, Question, Wish
from milletsill.planner.planner_link import LinkState
from milletsill.planner.planner_server import PlannerServer
from milletsill.planner.quota_terms import QuotaKey
from milletsill.settings.milletsill_pb2 import PlannerFile
from milletsill.sftp import packets
from tests.support.sftp_gateway_rig import Rig, later

FILE = """
name: "plan-t" listen: "127.0.0.1:0" state_dir: "x" lending { longest_s: 1.2 }
silent_s: 2 logging { level: "debug" }
"""
LIMIT = QuotaKey(QuotaKind.LIMIT, 1)


class PlannerOverSockets(TestCase):
    timeout = 40

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.servers = []
        self.addCleanup(self.stop_servers)

    def stop_servers(self):
        for each in self.servers:
            each.stop()
        return later(0.2)

    async def start_planner(self, port=0, state="state"):
        file = text_format.Parse(FILE, PlannerFile())
        file.listen, file.state_dir = f"127.0.0.1:{port}", f"{self.folder}/{state}"
        server = PlannerServer(file, reactor, logger("error", True))
        server.start()
        self.servers.append(server)
        await later(0.05)
        self.port = server.ports[0].getHost().port
        return server

    def fleet_rig(self, **plan):
        rig = Rig(self)
        rig.file.gateways = 3
        rig.file.plan[0].limit_rate, rig.file.plan[0].limit_store = 60.0, 12.0
        rig.file.planner.address = f"127.0.0.1:{self.port}"
        rig.file.planner.lending.longest_s, rig.file.planner.ask_s = 1.2, 0.1
        return rig

    async def read_for(self, rig, gateway, seconds):
        """Send reads through a gateway for a time; return how many succeeded.

        The client keeps up to 40 requests in flight, so that demand exceeds the limit.
        """
        client = await rig.client(gateway)
        handle = await client.open("/h/a")
        await client.command(packets.Write(0, handle, 0, b"x" * 100))
        satisfied = []
        ends_at = reactor.seconds() + seconds
        while reactor.seconds() < ends_at:
            if len(client.waiting) < 40:
                for _ in range(6):
                    client.command(packets.Read(0, handle, 0, 100)).addCallback(
                        lambda packet: satisfied.append(
                            isinstance(packet, packets.Data)
                        )
                    )
            await later(0.03)
        return sum(satisfied)

    def share(self, gateway):
        return gateway.quota_client.ledger.share(LIMIT, gateway.now())

    async def test_unused_shares_move_to_another_gateway_and_never_exceed_the_whole(
        self,
    ):
        server = await self.start_planner()
        rig = self.fleet_rig()
        gateways = [await rig.start_gateway(f"gateway-{each}") for each in range(3)]
        for each in gateways[1:]:
            client = await rig.client(each)
            await client.open("/h/b")
        samples = []
        sampling = LoopingCall(
            lambda: samples.append(
                [
                    self.share(each)
                    if LIMIT in each.quota_client.ledger.holdings
                    else 333_333
                    for each in gateways
                ]
            )
        )
        sampling.start(0.05)
        count = await self.read_for(rig, gateways[0], 4.5)
        sampling.stop()
        self.assertTrue(all(sum(each) <= 1_000_000 for each in samples))
        self.assertGreater(max(each[0] for each in samples), 600_000)
        # The even share is 20 units per second.
        self.assertGreater(count, 1.3 * 20 * 4.5)
        shares = server.commands.shares(Question(what="shares", edge="", most=9))
        self.assertEqual(
            {each["edge"] for each in shares}, {"gateway-0", "gateway-1", "gateway-2"}
        )

    async def test_without_the_planner_shares_become_even_and_commands_still_succeed(
        self,
    ):
        server = await self.start_planner()
        rig = self.fleet_rig()
        gateways = [await rig.start_gateway(f"gateway-{each}") for each in range(3)]
        for each in gateways[1:]:
            await (await rig.client(each)).open("/h/b")
        await self.read_for(rig, gateways[0], 3)
        self.assertGreater(self.share(gateways[0]), 333_333)
        server.stop()
        await later(1.5)
        self.assertEqual([self.share(each) for each in gateways], [333_333] * 3)
        self.assertGreater(await self.read_for(rig, gateways[0], 1), 10)

    async def test_a_planner_restarted_from_old_state_is_rejected_and_exits(
        self,
    ):
        newer = await self.start_planner(state="new")
        for _ in range(3):
            epoch_store.next_epoch(f"{self.folder}/new", Random(1))
        newer.stop()
        newer = await self.start_planner(state="new")
        rig = self.fleet_rig()
        gateway = await rig.start_gateway("gateway-0")
        await later(0.4)
        self.assertIs(gateway.quota_client.session.state, LinkState.ESTABLISHED)
        port = self.port
        newer.stop()
        await later(0.2)
        older = await self.start_planner(port=port, state="old")
        for _ in range(60):
            await later(0.05)
            if older.failed:
                break
        self.assertTrue(older.failed)
        self.assertEqual(older.superseded_by, newer.planner.epoch)
        self.assertIsNot(gateway.quota_client.session.state, LinkState.ESTABLISHED)

    async def test_a_restarted_gateway_uses_only_the_floor(self):
        await self.start_planner()
        rig = self.fleet_rig()
        gateway = await rig.start_gateway("gateway-0")
        gateway.stop()
        restarted = await rig.start_gateway("gateway-0")
        client = await rig.client(restarted)
        await client.open("/h/a")
        self.assertEqual(self.share(restarted), int(333_333 * 0.2))
        await later(1.3)
        self.assertGreaterEqual(self.share(restarted), 333_333)

    async def test_a_malformed_frame_ends_only_its_own_connection(self):
        server = await self.start_planner()
        rig = self.fleet_rig()
        gateway = await rig.start_gateway("gateway-0")
        await later(0.3)
        from twisted.internet.endpoints import TCP4ClientEndpoint
        from twisted.internet.protocol import Factory, Protocol

        for data in (
            b"\xff" * 50,
            b"GET / HTTP/1.0\r\n\r\n",
            encode_frame(asks=Asks()),
            encode_frame(
                asks=Asks(
                    wish=[Wish(epoch=1, what="gold", id=1, want=1, capital=1, sent=1)]
                )
            ),
        ):
            connection = await TCP4ClientEndpoint(
                reactor, "127.0.0.1", self.port
            ).connect(Factory.forProtocol(Protocol))
            connection.transport.write(data)
        await later(0.3)
        self.assertEqual(list(server.by_name), ["gateway-0"])
        self.assertIs(gateway.quota_client.session.state, LinkState.ESTABLISHED)

    async def test_operator_commands_list_freeze_and_drain(self):
        server = await self.start_planner()
        rig = self.fleet_rig()
        gateway = await rig.start_gateway("gateway-0")
        await (await rig.client(gateway)).open("/h/a")
        await later(0.5)

        def run_command(*arguments):
            return CliRunner().invoke(
                main, ["ctl", "--planner", f"127.0.0.1:{self.port}", *arguments]
            )

        shares, gateways, frozen, drained = [
            await threads.deferToThread(run_command, *arguments)
            for arguments in (
                ("shares",),
                ("edges",),
                ("freeze",),
                ("drain", "gateway-0"),
            )
        ]
        self.assertEqual(
            {each.exit_code for each in (shares, gateways, frozen, drained)}, {0}
        )
        self.assertEqual(
            json.loads(gateways.output.splitlines()[0])["edge"], "gateway-0"
        )
        self.assertIn('"even": 333333', shares.output)
        self.assertTrue(server.planner.frozen)
        self.assertEqual(server.planner.drained, {"gateway-0"})
        server.stop()
        await later(0.2)
        unreachable = await threads.deferToThread(run_command, "edges")
        self.assertEqual(
            (unreachable.exit_code, unreachable.output.count("\n")), (1, 1)
        )


if __name__ == "__main__":
    unittest.main()
