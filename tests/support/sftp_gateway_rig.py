"""SFTP gateways, stand-in nodes, a registry and a client for end-to-end tests."""

from __future__ import annotations

import io
import tempfile
import time
from random import Random

from google.protobuf import text_format
from twisted.internet import defer, protocol, reactor
from twisted.internet.task import deferLater

from milletsill.lab.node_listener import NodeListener
from milletsill.lab.node_stand_in import NodeStandIn, NodeStandInSettings, WorkEstimate
from milletsill.lab.registry_stand_in import RegistryStandIn, registry_site
from milletsill.lab.stored_files import StoredFiles
from milletsill.logs import logger
from milletsill.settings.milletsill_pb2 import BoxKind, GatewayFile, RegistryStand
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.framing import PacketSplitter
from milletsill.sftp.wire import FileAttributes
from milletsill.sftp_gateway.gateway import SftpGateway

GATEWAY_FILE = """
name: "edge-t" listen: "127.0.0.1:0" gateways: 1 seed: 5
registry { address: "127.0.0.1:1" call_ms: 400 connect_ms: 300 }
door { answer_margin_ms: 20 most_outstanding: 8 most_handles: 6 drain_s: 3 }
links { silent_ms: 300 dial_ms: 200 }
rules { ask_within_ms: 2000 drain_grace_ms: 250 cold_window_ms: 500 warm_after_s: 2 cold_units: 100 key_rest_ms: 200 }
logging { level: "debug" answers_per_s: 1000 }
plan { name: "p" usual_rate: 500 reserve_rate: 500 }
category { name: "read" target_ms: 300 patience_ms: 1000 }
category { name: "write" target_ms: 300 patience_ms: 1000 repeats: "exclusive" write: true }
volume { name: "hashed" root: "/h" plan: "p" cell: [0, 1, 2] }
volume { name: "free" root: "/f" plan: "p" cell: [0, 1, 2] placement: FREE }
volume { name: "folder" root: "/d" plan: "p" cell: [0, 1, 2] placement: BY_DIRECTORY }
route { operation: "write" category: "write" }
route { category: "read" }
"""


def later(seconds):
    return deferLater(reactor, seconds, lambda: None)


class Client(protocol.Protocol):
    """An SFTP client; `command` returns a Deferred that fires with the answer."""

    def __init__(self):
        self.packet_splitter, self.waiting, self.answers, self.ids = (
            PacketSplitter(1 << 24),
            {},
            [],
            0,
        )
        self.lost, self.ready = defer.Deferred(), defer.Deferred()

    def connectionMade(self):
        self.transport.write(packet_codec.encode(packets.Init(3)))

    def dataReceived(self, data):
        self.packet_splitter.feed(data)
        while (body := self.packet_splitter.next()) is not None:
            packet = packet_codec.decode(body)
            if isinstance(packet, packets.Version):
                self.ready.callback(self)
                continue
            self.answers.append(packet)
            done = self.waiting.pop(packet.id, None)
            if done is not None:
                done.callback(packet)

    def connectionLost(self, reason=None):
        self.lost.callback(None)

    def command(self, packet, terms=None):
        self.ids += 1
        packet = packet_codec.with_id(packet, self.ids)
        if terms is not None:
            packet = extensions.encode_command(terms, packet)
        self.waiting[self.ids] = defer.Deferred()
        self.transport.write(packet_codec.encode(packet))
        return self.waiting[self.ids]

    async def open(
        self, path, flags=packets.READ_FLAG | packets.WRITE_FLAG | packets.CREATE_FLAG
    ):
        answer = await self.command(packets.Open(0, path, flags, FileAttributes()))
        return answer.handle if isinstance(answer, packets.Handle) else answer


class Rig:
    """Nodes, a registry and gateways in one process, stopped by `stop`."""

    def __init__(self, case, nodes=3, **kind):
        self.case, self.log = case, io.StringIO()
        directory = tempfile.TemporaryDirectory()
        case.addCleanup(directory.cleanup)
        self.state_root, self.ports, self.running_gateways, self.clients = (
            directory.name,
            [],
            [],
            [],
        )
        kind_settings = {
            "error_rate": 0.0,
            "report_every_ms": 20.0,
            "cold_s": 1.0,
            **kind,
        }
        self.kind = BoxKind(name="k", **kind_settings)
        self.file = text_format.Parse(GATEWAY_FILE, GatewayFile())
        self.registry = RegistryStandIn(
            reactor, RegistryStand(call_ms=1, notice_ms=10), 1
        )
        self.registry_port = self.listen(registry_site(self.registry))
        self.file.registry.address = f"127.0.0.1:{self.registry_port.getHost().port}"
        self.nodes = []
        for number in range(nodes):
            self.add_node(number, number, StoredFiles())
        case.addCleanup(self.stop)

    def listen(self, factory):
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.ports.append(port)
        return port

    def add_node(self, number, shard, files, cold=False):
        work = dict.fromkeys(("read", "write"), WorkEstimate(0.002, 0.1))
        settings = NodeStandInSettings(
            number, shard, 0, self.kind, self.file.rules, work, 5 + number
        )
        node = NodeStandIn(reactor, settings, files)
        node.port = self.listen(NodeListener(node))
        if cold:
            node.boot(cold=True)
        self.nodes.append(node)
        self.register(node)
        return node

    def register(self, node, state="ready"):
        self.registry.put(
            f"{self.file.registry.prefix}{node.settings.node}",
            node.registry_entry(state),
        )

    async def start_gateway(self, name="edge-t", **door):
        file = GatewayFile()
        file.CopyFrom(self.file)
        file.name, file.state_dir = name, f"{self.state_root}/{name}"
        for field, value in door.items():
            setattr(file.door, field, value)
        gateway = SftpGateway(file, reactor, log=logger("debug", True, self.log))
        self.running_gateways.append(gateway)
        gateway.start()
        deadline = time.monotonic() + 2
        while time.monotonic() < deadline and not (
            gateway.listening.ports
            and gateway.endpoint_watcher.state.name == "WATCHING"
        ):
            await later(0.01)
        return gateway

    async def client(self, gateway):
        client = Client()
        factory = protocol.Factory.forProtocol(lambda: client)
        factory.noisy = False
        from twisted.internet.endpoints import TCP4ClientEndpoint

        port = gateway.listening.ports[0].getHost().port
        await TCP4ClientEndpoint(reactor, "127.0.0.1", port).connect(factory)
        self.clients.append(client)
        return await client.ready

    async def stop(self):
        for client in self.clients:
            client.transport.abortConnection()
        for gateway in self.running_gateways:
            if gateway.state.name != "STOPPED":
                gateway.stop()
        for node in self.nodes:
            node.drop()
        self.registry.set_away(True)
        for port in self.ports:
            await port.stopListening()
        await later(0.05)

    def tracebacks(self):
        return [
            line for line in self.log.getvalue().splitlines() if "Traceback" in line
        ]


def pattern(size, seed=1):
    return Random(seed).randbytes(size)
