"""Measure the cost of an ordering contract, and failover after a channel owner's death.

Numbered writes are compared with the same writes without numbers in the same run. The
failover time is how long the channels of a killed gateway accept no writes.

    python -m benchmarks.channels [--gateways 7 --registers 3 --boxes 8 --seconds 8 --folder /tmp/x]

Each gateway is a process `python -m milletsill edge`. One more process runs the
stand-ins of nodes and registry, and this process runs the clients. All connections are
on loopback. The kinds of clients are:

    plain  writes have no numbers
    home   writes are numbered, the client is connected to the channel's owner
    away   writes are numbered, the client is connected to another gateway
    four   like home, with four writes in flight at a time
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from random import Random
from typing import Any

from google.protobuf import text_format

from benchmarks.registers import free_ports
from milletsill.fleet.transport import Member, MemberState, View
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import extensions, packet_codec, packets, status_tags
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.framing import PacketSplitter
from milletsill.sftp.wire import FileAttributes

GATEWAY_TEMPLATE = """
registry {{ address: "127.0.0.1:{registry}" }}
rules {{ ask_within_ms: 2000 cold_window_ms: 500 warm_after_s: 2 cold_units: 1000 key_rest_ms: 300 unit_bytes: 4096 }}
logging {{ level: "warning" answers_per_s: 0 }}
plan {{ name: "p" usual_rate: 5000 reserve_rate: 5000 }}
category {{ name: "catch" target_ms: 500 patience_ms: 4000 repeats: "ticketed" group: "cell" repeat_window_ms: 5000 write: true }}
category {{ name: "rest" target_ms: 500 patience_ms: 4000 }}
volume {{ name: "v" root: "/v" plan: "p" {cells} }}
route {{ operation: "write" operation: "change" operation: "sync" category: "catch" }}
route {{ category: "rest" }}
fleet {{ name: "bench" channels {{ office_s: 2 call_ms: 300 {registers} contract {{ name: "landing" order: EACH_IN_ORDER }} }} }}
"""


def run_stand_ins(options: argparse.Namespace) -> None:
    """Run the stand-ins of nodes and registry until the process is killed."""
    from twisted.internet import reactor

    from milletsill.lab.node_listener import NodeListener
    from milletsill.lab.node_stand_in import (
        NodeStandIn,
        NodeStandInSettings,
        WorkEstimate,
    )
    from milletsill.lab.registry_stand_in import RegistryStandIn, registry_site
    from milletsill.lab.stored_files import StoredFiles
    from milletsill.settings.milletsill_pb2 import BoxKind, NodeRules, RegistryStand

    registry = RegistryStandIn(reactor, RegistryStand(call_ms=1, notice_ms=10), 1)
    reactor.listenTCP(options.stand, registry_site(registry), interface="127.0.0.1")
    kind = BoxKind(name="k", cores=8, slots=64, queue=2000, error_rate=0.0, cold_s=0.1)
    for number in range(options.boxes):
        work = {"catch": WorkEstimate(0.001, 0.1)}
        settings = NodeStandInSettings(
            number, number, 0, kind, NodeRules(), work, 5 + number
        )
        node = NodeStandIn(reactor, settings, StoredFiles())
        node.port = reactor.listenTCP(0, NodeListener(node), interface="127.0.0.1")
        registry.put(f"/milletsill/boxes/{number}", node.registry_entry())
    reactor.run()


class Client:
    """A client connection; `send_request` sends a packet and waits for its reply."""

    @classmethod
    async def connect(cls, port: int) -> Client:
        client = cls()
        client.reader, client.writer = await asyncio.open_connection("127.0.0.1", port)
        client.pending, client.last_id, client.splitter = {}, 0, PacketSplitter(1 << 24)
        client.writer.write(packet_codec.encode(packets.Init(3)))
        client.task = asyncio.create_task(client.read())
        return client

    async def read(self) -> None:
        while data := await self.reader.read(1 << 16):
            self.splitter.feed(data)
            while (body := self.splitter.next()) is not None:
                packet = packet_codec.decode(body)
                done = self.pending.pop(getattr(packet, "id", None), None)
                if done is not None and not done.done():
                    done.set_result(packet)
        for each in self.pending.values():
            if not each.done():
                each.set_exception(ConnectionError())

    async def send_request(self, packet: Any, timeout: float = 6.0) -> Any:
        self.last_id += 1
        self.pending[self.last_id] = asyncio.get_running_loop().create_future()
        done = self.pending[self.last_id]
        self.writer.write(
            packet_codec.encode(packet_codec.with_id(packet, self.last_id))
        )
        return await asyncio.wait_for(done, timeout)


class WritingClient:
    """A client that writes repeatedly, with or without numbers."""

    def __init__(self, port: int, name: str, is_numbered: bool) -> None:
        self.port, self.name, self.is_numbered, self.number, self.writes_at_once = (
            port,
            name,
            is_numbered,
            0,
            1,
        )
        self.latencies: list[float] = []
        self.completed_at: list[float] = []

    async def open(self, deadline: float) -> None:
        self.client = await Client.connect(self.port)
        while self.is_numbered:
            reply = await self.client.send_request(
                wire.encode_channel_request(0, wire.ChannelOpen("/v", self.name))
            )
            if isinstance(reply, packets.ExtendedReply):
                self.channel = wire.decode_open_reply(reply)
                self.number = self.channel.lowest_open
                break
            if time.monotonic() > deadline:
                raise TimeoutError(reply)
            await asyncio.sleep(
                (status_tags.parse_status_tag(reply.language).retry_delay_ms or 100)
                / 1000
            )
        flags = packets.READ_FLAG | packets.WRITE_FLAG | packets.CREATE_FLAG
        self.handle = (
            await self.client.send_request(
                packets.Open(0, f"/v/{self.name}", flags, FileAttributes())
            )
        ).handle

    async def write(self, offset: int = 0) -> Any:
        """Write 400 bytes and return the reply.

        `offset` is the index of this write among those that are sent at the same time.
        """
        number = self.number + offset
        packet = packets.Write(0, self.handle, number % 64 * 400, b"%-400d" % number)
        if self.is_numbered:
            command = wire.NumberedCommand(
                self.channel.handle, number, 0, False, CommandTerms(3000), packet
            )
            return await self.client.send_request(wire.encode_numbered(0, command))
        return await self.client.send_request(
            extensions.encode_command(CommandTerms(3000), packet)
        )

    async def run(self, deadline: float, interval: float, rng: Random) -> None:
        await asyncio.sleep(rng.uniform(0, interval))
        while time.monotonic() < deadline:
            began = time.monotonic()
            answers = await asyncio.gather(
                *[self.write(each) for each in range(self.writes_at_once)]
            )
            answer = next(
                (each for each in answers if each.code != packets.OK), answers[0]
            )
            done = sum(each.code == packets.OK for each in answers)
            self.latencies += [time.monotonic() - began] * done
            self.completed_at += [time.monotonic()] * done
            self.number += done
            if (
                answer.code != packets.OK
                and (found := status_tags.parse_status_tag(answer.language))
                and found.retry_delay_ms
            ):
                await asyncio.sleep(found.retry_delay_ms / 1000)
            await asyncio.sleep(
                max(began + interval * rng.uniform(0.5, 1.5) - time.monotonic(), 0)
            )


def latency_summary(latencies: list[float]) -> str:
    latencies = sorted(latencies) or [0.0]
    return (
        f"{len(latencies)} answered, median {latencies[len(latencies) // 2] * 1000:.1f} ms, "
        f"p99 {latencies[min(len(latencies) * 99 // 100, len(latencies) - 1)] * 1000:.1f} ms"
    )


def channel_names_of(view: View, owner: str, count: int, prefix: str) -> list[str]:
    """Return names of channels that the view assigns to a gateway."""
    found, number = [], 0
    while len(found) < count:
        number += 1
        if view.rendezvous(f"v/{prefix}{number}", 1)[0] == owner:
            found.append(f"{prefix}{number}")
    return found


def make_clients(
    kind: str, per_gateway: int, gateway_ports: list[int], view: View
) -> list[WritingClient]:
    clients: list[WritingClient] = []
    for place, member in enumerate(view.members):
        port = gateway_ports[(place + (kind == "away")) % len(gateway_ports)]
        clients += [
            WritingClient(port, name, kind != "plain")
            for name in channel_names_of(view, member.name, per_gateway, kind)
        ]
    return clients


def cpu_seconds(gateways: list[Any]) -> float:
    """Return the CPU seconds of the gateways, without other load on the machine."""
    found = 0.0
    for each in gateways:
        with open(f"/proc/{each.pid}/stat", encoding="ascii") as source:
            parts = source.read().rpartition(")")[2].split()
        found += (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
    return found


async def run_phase(
    title: str,
    groups: list[tuple[str, list[WritingClient]]],
    seconds: float,
    interval: float,
    gateways: list[Any],
) -> None:
    rng, deadline, before = Random(3), time.monotonic() + seconds, cpu_seconds(gateways)
    for _, group in groups:
        for each in group:
            each.latencies = []
    await asyncio.gather(
        *[each.run(deadline, interval, rng) for _, group in groups for each in group]
    )
    for kind, group in groups:
        latencies = [latency for each in group for latency in each.latencies]
        print(
            f"{title}: {kind}, {len(group)} clients: {latency_summary(latencies)}, {len(latencies) / seconds:.0f}/s",
            flush=True,
        )
    total = sum(len(each.latencies) for _, group in groups for each in group)
    print(
        f"  {(cpu_seconds(gateways) - before) * 1000 / max(total, 1):.2f} ms of the gateways' CPU time per write",
        flush=True,
    )


async def run_measurements(
    options: argparse.Namespace,
    gateway_ports: list[int],
    gateways: list[Any],
    view: View,
) -> None:
    deadline = time.monotonic() + 30
    kinds = {
        kind: make_clients(kind, 2, gateway_ports, view)
        for kind in ("plain", "home", "away")
    }
    for group in kinds.values():
        await asyncio.gather(*[each.open(deadline) for each in group])
    await run_phase("light", list(kinds.items()), options.seconds, 0.25, gateways)
    for kind in ("plain", "home", "away", "four"):
        group = make_clients(kind, 12, gateway_ports, view)
        await asyncio.gather(*[each.open(deadline + 60) for each in group])
        for each in group:
            each.writes_at_once = 4 if kind == "four" else 1
        await run_phase(
            "closed loop, without pauses",
            [(kind, group)],
            options.seconds,
            0.0,
            gateways,
        )
        for each in group:
            each.client.writer.close()
    await measure_failover(options, gateway_ports, gateways, view)


async def measure_failover(
    options: argparse.Namespace,
    gateway_ports: list[int],
    gateways: list[Any],
    view: View,
) -> None:
    """Kill a channel owner with SIGKILL while clients of its channels keep writing.

    The clients are connected to other gateways.
    """
    victim = len(gateway_ports) - 1
    owner = view.members[victim].name
    group = [
        WritingClient(gateway_ports[place % victim], name, True)
        for place, name in enumerate(channel_names_of(view, owner, 14, "kill"))
    ]
    await asyncio.gather(*[each.open(time.monotonic() + 30) for each in group])
    deadline = time.monotonic() + 9
    running = [asyncio.create_task(write_until(each, deadline)) for each in group]
    await asyncio.sleep(2)
    gateways[victim].send_signal(signal.SIGKILL)
    at = time.monotonic()
    await asyncio.gather(*running)
    gaps = [
        min((done - at for done in each.completed_at if done > at), default=99.0)
        for each in group
    ]
    print(
        f"channel owner {owner} killed with {len(group)} channels: time until their next write {latency_summary(gaps)}, longest {max(gaps) * 1000:.0f} ms"
    )


async def write_until(client: WritingClient, deadline: float) -> None:
    """Write until the deadline, through rejections and indeterminate outcomes.

    A write that did not succeed is sent again under the same number after the retry
    delay of the reply. The channel is not opened again.
    """
    while time.monotonic() < deadline:
        answer = await client.write()
        found = (
            status_tags.parse_status_tag(answer.language)
            if answer.code == packets.FAILURE
            else None
        )
        if answer.code == packets.OK:
            client.completed_at.append(time.monotonic())
            client.number += 1
        await asyncio.sleep(
            (found.retry_delay_ms or 20) / 1000 if found is not None else 0.02
        )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, default in (
        ("gateways", 7),
        ("registers", 3),
        ("boxes", 8),
        ("stand", 0),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--folder", default="")
    options = parser.parse_args()
    if options.stand:
        return run_stand_ins(options)
    with tempfile.TemporaryDirectory(dir=options.folder or None) as folder:
        ports = free_ports(2 * options.gateways + 1)
        registry, gateway_ports, fleet_ports = (
            ports[0],
            ports[1 : options.gateways + 1],
            ports[options.gateways + 1 :],
        )
        started = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "benchmarks.channels",
                    "--stand",
                    str(registry),
                    "--boxes",
                    str(options.boxes),
                ]
            )
        ]
        try:
            text = GATEWAY_TEMPLATE.format(
                registry=registry,
                cells=" ".join(f"cell: {each}" for each in range(options.boxes)),
                registers=" ".join(
                    f'register: "g{each}"' for each in range(options.registers)
                ),
            )
            for number, port in enumerate(gateway_ports):
                file = make_gateway_file(
                    text, number, port, fleet_ports, options, folder
                )
                path = os.path.join(folder, f"g{number}.textproto")
                with open(path, "w", encoding="utf-8") as sink:
                    sink.write(text_format.MessageToString(file))
                started.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "milletsill", "edge", path],
                        stdout=open(f"{folder}/log", "a"),
                    )
                )
            wait_until_listening(gateway_ports)
            time.sleep(4)  # until every gateway has all members in its view
            view = View(
                1,
                [
                    Member(f"g{each}", "", 1, MemberState.ALIVE)
                    for each in range(options.gateways)
                ],
            )
            asyncio.run(run_measurements(options, gateway_ports, started[1:], view))
        finally:
            for each in started:
                each.kill()
            for each in started:
                each.wait()


def wait_until_listening(gateway_ports: list[int], timeout: float = 40.0) -> None:
    """Wait until all gateways accept connections."""
    deadline = time.monotonic() + timeout
    for each in gateway_ports:
        while True:
            try:
                socket.create_connection(("127.0.0.1", each), 1).close()
                break
            except OSError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.1)


def make_gateway_file(
    text: str,
    number: int,
    port: int,
    fleet_ports: list[int],
    options: argparse.Namespace,
    folder: str,
) -> GatewayFile:
    """Return the settings file of one gateway."""
    file = GatewayFile(
        name=f"g{number}",
        gateways=options.gateways,
        listen=f"127.0.0.1:{port}",
        state_dir=f"{folder}/g{number}",
    )
    file.fleet.address = f"127.0.0.1:{fleet_ports[number]}"
    file.fleet.join.append(f"127.0.0.1:{fleet_ports[0]}")
    text_format.Merge(text, file)
    return file


if __name__ == "__main__":
    main()
