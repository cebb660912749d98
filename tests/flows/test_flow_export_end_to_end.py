"""Flow export from a gateway to a collector over sockets."""

import socket
import unittest

from twisted.internet import defer, reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.trial.unittest import TestCase

from milletsill.flows.collecting_process import CollectingProcess
from milletsill.flows.collecting_transport import (
    TcpCollectingFactory,
    UdpCollectingProtocol,
)
from milletsill.flows.collector_states import CollectorState
from milletsill.sftp import packets
from tests.support.sftp_gateway_rig import Client, Rig, later


class NeverReadingCollector(Protocol):
    """Accepts connections and never reads from them."""

    def connectionMade(self):
        self.transport.pauseProducing()
        self.factory.held.append(self)


class GatewayToCollector(TestCase):
    """A complete gateway with flow export to collectors on loopback."""

    timeout = 25

    async def rig(self, *addresses, transport="tcp", **given):
        rig = Rig(self)
        rig.file.flows.SetInParent()
        for each in addresses:
            rig.file.flows.collector.add(address=each, transport=transport)
        rig.file.flows.idle_s = 0.5
        for field, value in given.items():
            setattr(rig.file.flows, field, value)
        self.gateway = await rig.start_gateway(most_handles=100)
        return rig

    def listen(self, factory):
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return f"127.0.0.1:{port.getHost().port}"

    async def send_commands(self, rig, client, reads=30):
        """Open a file, write 4 times, then read or stat `reads` times."""
        handle = await client.open("/f/x")
        going = [
            client.command(packets.Write(0, handle, each, b"data")) for each in range(4)
        ]
        await defer.gatherResults(going)
        for each in range(reads):
            await client.command(
                packets.Read(0, handle, 0, each + 1)
                if each % 2
                else packets.Stat(0, f"/h/{each}")
            )

    def client_of(self, rig):
        counted = {"to": 0, "back": 0, "packets": 0}

        class Counted(Client):
            def connectionMade(self):
                write = self.transport.write

                def counting(data):
                    counted["to"] += len(data)
                    counted["packets"] += 1
                    write(data)

                self.transport.write = counting
                super().connectionMade()

            def dataReceived(self, data):
                counted["back"] += len(data)
                super().dataReceived(data)

        return Counted(), counted

    async def test_sums_equal_the_counts_of_client_and_nodes(self):
        collector = CollectingProcess(lambda row: None, lambda text: self.fail(text))
        rig = await self.rig(self.listen(TcpCollectingFactory(collector)))
        client, counted = self.client_of(rig)
        from twisted.internet.endpoints import TCP4ClientEndpoint

        factory = Factory.forProtocol(lambda: client)
        await TCP4ClientEndpoint(
            reactor, "127.0.0.1", self.gateway.listening.ports[0].getHost().port
        ).connect(factory)
        rig.clients.append(client)
        await client.ready
        await self.send_commands(rig, client)
        ended = defer.Deferred()
        self.gateway.on_stopped.append(lambda: ended.callback(None))
        self.gateway.terminate()
        await ended
        await later(0.3)
        sums = collector.totals.sums
        self.assertEqual(
            (
                sums["client octetDeltaCount"],
                sums["client reverseOctetDeltaCount"],
                sums["client packetDeltaCount"],
            ),
            (counted["to"], counted["back"], counted["packets"]),
        )
        self.assertEqual(
            (sums["client commandDeltaCount"], sums["client satisfiedDeltaCount"]),
            (35, 35),
        )
        attempts = collector.totals.attempts_by_outcome
        self.assertEqual(sums["box dispatchDeltaCount"], sum(attempts.values()))
        # A node may have answered an attempt that timed out, as after a stall of the
        # process, or not. Without such attempts this demands equal counts.
        answers = sum(box.answer_count for box in rig.nodes)
        self.assertLessEqual(attempts["satisfied"], answers)
        self.assertLessEqual(answers, sum(attempts.values()))
        self.assertEqual(set(attempts) - {"", "satisfied", "timed out"}, set())
        self.assertEqual(
            (collector.unknown_sets, collector.malformed, collector.missing), (0, 0, 0)
        )
        report = [
            each
            for each in collector.options.values()
            if "exportedCommandTotalCount" in each
        ][0]
        self.assertEqual(
            (report["exportedCommandTotalCount"], report["gatewayName"]), (35, "edge-t")
        )

    async def test_a_collector_that_never_reads_blocks_no_client_and_is_replaced(self):
        never_reading, collector = (
            Factory.forProtocol(NeverReadingCollector),
            CollectingProcess(lambda row: None, lambda text: None),
        )
        never_reading.held = []
        rig = await self.rig(
            self.listen(never_reading), self.listen(TcpCollectingFactory(collector))
        )
        sender = self.gateway.flows.exporting_process.senders[0]
        client = await rig.client(self.gateway)
        handle = await client.open("/f/x")
        for _ in range(20):
            if sender.connection is not None:
                sender.connection.send(bytes(1 << 20))
            await client.command(packets.Stat(0, "/f/x"))
        self.assertEqual(sender.state, CollectorState.BLOCKED)
        sender.blocked_at -= 60_000
        await later(0.3)
        self.assertEqual(sender.state, CollectorState.AWAY)
        await client.command(packets.Read(0, handle, 0, 1))
        await later(1.2)
        self.assertGreater(collector.totals.sums["client commandDeltaCount"], 20)
        for each in never_reading.held:
            each.transport.abortConnection()

    async def test_a_collector_gets_templates_after_each_connect(self):
        collector = CollectingProcess(lambda row: None, lambda text: None)
        # A bound socket that does not listen reserves its port and refuses connections.
        held = socket.socket()
        self.addCleanup(held.close)
        held.bind(("127.0.0.1", 0))
        number = held.getsockname()[1]
        rig = await self.rig(f"127.0.0.1:{number}")
        client = await rig.client(self.gateway)
        await client.command(packets.Stat(0, "/f/x"))
        await later(0.3)
        self.assertEqual(
            self.gateway.flows.exporting_process.senders[0].state, CollectorState.AWAY
        )
        held.close()
        port = reactor.listenTCP(
            number, TcpCollectingFactory(collector), interface="127.0.0.1"
        )
        self.addCleanup(port.stopListening)
        await later(3)
        self.assertEqual(
            (collector.totals.sums["client commandDeltaCount"], collector.unknown_sets),
            (1, 0),
        )
        self.gateway.flows.exporting_process.senders[0].connection.abort()
        await client.command(packets.Stat(0, "/f/x"))
        await later(2.5)
        self.assertEqual(
            (collector.totals.sums["client commandDeltaCount"], collector.unknown_sets),
            (2, 0),
        )

    async def test_export_over_udp(self):
        collector = CollectingProcess(lambda row: None, lambda text: self.fail(text))
        port = reactor.listenUDP(
            0, UdpCollectingProtocol(collector), interface="127.0.0.1"
        )
        self.addCleanup(port.stopListening)
        rig = await self.rig(
            f"127.0.0.1:{port.getHost().port}", transport="udp", copies=True
        )
        collector_file = rig.file.flows.collector[0]
        self.assertEqual(collector_file.protocol, "ipfix")
        client = await rig.client(self.gateway)
        await self.send_commands(rig, client, 10)
        await later(1.5)
        self.assertEqual(
            (collector.totals.sums["client commandDeltaCount"], collector.unknown_sets),
            (15, 0),
        )

    async def test_a_gateway_without_export_imports_no_flows_module(self):
        import subprocess
        import sys

        code = (
            "import sys, milletsill.sftp_gateway.process, milletsill.sftp_gateway.sftp_server; "
            "sys.exit(any(name.startswith('milletsill.flows') for name in sys.modules))"
        )
        self.assertEqual(subprocess.run([sys.executable, "-c", code]).returncode, 0)
        rig = Rig(self)
        self.assertIsNone((await rig.start_gateway()).flows)


if __name__ == "__main__":
    unittest.main()
