"""What a contract on order costs, beside the same writes without one in the same run, and how long a killed keeper's channels stand.

    python -m benchmarks.channels [--gateways 7 --registers 3 --boxes 8 --seconds 8 --folder /tmp/x]

Gateways are processes `python -m milletsill edge`, boxes and registry the laboratory's stand-ins in one more process, clients in this
one; all on loopback. `plain`: without numbers; `home`: numbered, the client is with the channel's keeper; `away`: with another;
`four`: as home, four numbers told at a time.
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

FILE = """
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


def stand(given: argparse.Namespace) -> None:
    """Boxes and registry, until killed."""
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
    reactor.listenTCP(given.stand, registry_site(registry), interface="127.0.0.1")
    kind = BoxKind(name="k", cores=8, slots=64, queue=2000, error_rate=0.0, cold_s=0.1)
    for number in range(given.boxes):
        work = {"catch": WorkEstimate(0.001, 0.1)}
        settings = NodeStandInSettings(
            number, number, 0, kind, NodeRules(), work, 5 + number
        )
        box = NodeStandIn(reactor, settings, StoredFiles())
        box.port = reactor.listenTCP(0, NodeListener(box), interface="127.0.0.1")
        registry.put(f"/milletsill/boxes/{number}", box.registry_entry())
    reactor.run()


class Client:
    """One connection; `ask` sends a packet and waits for its answer."""

    @classmethod
    async def to(cls, port: int) -> Client:
        made = cls()
        made.reader, made.writer = await asyncio.open_connection("127.0.0.1", port)
        made.waiting, made.ids, made.deframer = {}, 0, PacketSplitter(1 << 24)
        made.writer.write(packet_codec.encode(packets.Init(3)))
        made.task = asyncio.create_task(made.read())
        return made

    async def read(self) -> None:
        while data := await self.reader.read(1 << 16):
            self.deframer.feed(data)
            while (body := self.deframer.next()) is not None:
                packet = packet_codec.decode(body)
                done = self.waiting.pop(getattr(packet, "id", None), None)
                if done is not None and not done.done():
                    done.set_result(packet)
        for each in self.waiting.values():
            if not each.done():
                each.set_exception(ConnectionError())

    async def ask(self, packet: Any, span: float = 6.0) -> Any:
        self.ids += 1
        self.waiting[self.ids] = asyncio.get_running_loop().create_future()
        done = self.waiting[self.ids]
        self.writer.write(packet_codec.encode(packet_codec.with_id(packet, self.ids)))
        return await asyncio.wait_for(done, span)


class Load:
    """One client that writes again and again, numbered or not."""

    def __init__(self, port: int, name: str, numbered: bool) -> None:
        self.port, self.name, self.numbered, self.number, self.at_once = (
            port,
            name,
            numbered,
            0,
            1,
        )
        self.spans: list[float] = []
        self.done: list[float] = []

    async def open(self, ends: float) -> None:
        self.client = await Client.to(self.port)
        while self.numbered:
            told = await self.client.ask(
                wire.encode_channel_request(0, wire.ChannelOpen("/v", self.name))
            )
            if isinstance(told, packets.ExtendedReply):
                self.channel = wire.decode_open_reply(told)
                self.number = self.channel.lowest_open
                break
            if time.monotonic() > ends:
                raise TimeoutError(told)
            await asyncio.sleep(
                (status_tags.parse_status_tag(told.language).retry_delay_ms or 100)
                / 1000
            )
        flags = packets.READ_FLAG | packets.WRITE_FLAG | packets.CREATE_FLAG
        self.handle = (
            await self.client.ask(
                packets.Open(0, f"/v/{self.name}", flags, FileAttributes())
            )
        ).handle

    async def put(self, after: int = 0) -> Any:
        """One write of 400 bytes, and its answer.

        `after` so many others that are told at once.
        """
        number = self.number + after
        write = packets.Write(0, self.handle, number % 64 * 400, b"%-400d" % number)
        if self.numbered:
            said = wire.NumberedCommand(
                self.channel.handle, number, 0, False, CommandTerms(3000), write
            )
            return await self.client.ask(wire.encode_numbered(0, said))
        return await self.client.ask(
            extensions.encode_command(CommandTerms(3000), write)
        )

    async def run(self, ends: float, every: float, chance: Random) -> None:
        await asyncio.sleep(chance.uniform(0, every))
        while time.monotonic() < ends:
            began = time.monotonic()
            answers = await asyncio.gather(
                *[self.put(each) for each in range(self.at_once)]
            )
            answer = next(
                (each for each in answers if each.code != packets.OK), answers[0]
            )
            done = sum(each.code == packets.OK for each in answers)
            self.spans += [time.monotonic() - began] * done
            self.done += [time.monotonic()] * done
            self.number += done
            if (
                answer.code != packets.OK
                and (found := status_tags.parse_status_tag(answer.language))
                and found.retry_delay_ms
            ):
                await asyncio.sleep(found.retry_delay_ms / 1000)
            await asyncio.sleep(
                max(began + every * chance.uniform(0.5, 1.5) - time.monotonic(), 0)
            )


def figures(spans: list[float]) -> str:
    spans = sorted(spans) or [0.0]
    return (
        f"{len(spans)} answered, median {spans[len(spans) // 2] * 1000:.1f} ms, "
        f"p99 {spans[min(len(spans) * 99 // 100, len(spans) - 1)] * 1000:.1f} ms"
    )


def names_at(view: View, keeper: str, count: int, word: str) -> list[str]:
    """Names of channels that a gateway keeps by the view."""
    found, number = [], 0
    while len(found) < count:
        number += 1
        if view.rendezvous(f"v/{word}{number}", 1)[0] == keeper:
            found.append(f"{word}{number}")
    return found


def loads(kind: str, each: int, doors: list[int], view: View) -> list[Load]:
    made: list[Load] = []
    for place, member in enumerate(view.members):
        door = doors[(place + (kind == "away")) % len(doors)]
        made += [
            Load(door, name, kind != "plain")
            for name in names_at(view, member.name, each, kind)
        ]
    return made


def worked(edges: list[Any]) -> float:
    """Seconds of processor that the gateways have used, which other work on the machine does not change."""
    found = 0.0
    for each in edges:
        with open(f"/proc/{each.pid}/stat", encoding="ascii") as source:
            parts = source.read().rpartition(")")[2].split()
        found += (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")
    return found


async def phase(
    title: str,
    held: list[tuple[str, list[Load]]],
    seconds: float,
    every: float,
    edges: list[Any],
) -> None:
    chance, ends, before = Random(3), time.monotonic() + seconds, worked(edges)
    for _, group in held:
        for each in group:
            each.spans = []
    await asyncio.gather(
        *[each.run(ends, every, chance) for _, group in held for each in group]
    )
    for kind, group in held:
        spans = [span for each in group for span in each.spans]
        print(
            f"{title}: {kind}, {len(group)} clients: {figures(spans)}, {len(spans) / seconds:.0f}/s",
            flush=True,
        )
    total = sum(len(each.spans) for _, group in held for each in group)
    print(
        f"  {(worked(edges) - before) * 1000 / max(total, 1):.2f} ms of the gateways' processors for each",
        flush=True,
    )


async def measured(
    given: argparse.Namespace, doors: list[int], edges: list[Any], view: View
) -> None:
    ends = time.monotonic() + 30
    kinds = {kind: loads(kind, 2, doors, view) for kind in ("plain", "home", "away")}
    for group in kinds.values():
        await asyncio.gather(*[each.open(ends) for each in group])
    await phase("light", list(kinds.items()), given.seconds, 0.25, edges)
    for kind in ("plain", "home", "away", "four"):
        group = loads(kind, 12, doors, view)
        await asyncio.gather(*[each.open(ends + 60) for each in group])
        for each in group:
            each.at_once = 4 if kind == "four" else 1
        await phase("as fast as it goes", [(kind, group)], given.seconds, 0.0, edges)
        for each in group:
            each.client.writer.close()
    await killed(given, doors, edges, view)


async def killed(
    given: argparse.Namespace, doors: list[int], edges: list[Any], view: View
) -> None:
    """SIGKILL of one keeper while its channels' clients, at other gateways, write on."""
    victim = len(doors) - 1
    keeper = view.members[victim].name
    group = [
        Load(doors[place % victim], name, True)
        for place, name in enumerate(names_at(view, keeper, 14, "kill"))
    ]
    await asyncio.gather(*[each.open(time.monotonic() + 30) for each in group])
    ends = time.monotonic() + 9
    running = [asyncio.create_task(on_and_on(each, ends)) for each in group]
    await asyncio.sleep(2)
    edges[victim].send_signal(signal.SIGKILL)
    at = time.monotonic()
    await asyncio.gather(*running)
    gaps = [
        min((done - at for done in each.done if done > at), default=99.0)
        for each in group
    ]
    print(
        f"keeper {keeper} killed with {len(group)} channels: they go on after {figures(gaps)}, longest {max(gaps) * 1000:.0f} ms"
    )


async def on_and_on(load: Load, ends: float) -> None:
    """Writes on through declines and unsure ends.

    Opens again as a client would that wants to know what became of a number.
    """
    while time.monotonic() < ends:
        answer = await load.put()
        found = (
            status_tags.parse_status_tag(answer.language)
            if answer.code == packets.FAILURE
            else None
        )
        if answer.code == packets.OK:
            load.done.append(time.monotonic())
            load.number += 1
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
    given = parser.parse_args()
    if given.stand:
        return stand(given)
    with tempfile.TemporaryDirectory(dir=given.folder or None) as folder:
        ports = free_ports(2 * given.gateways + 1)
        registry, doors, others = (
            ports[0],
            ports[1 : given.gateways + 1],
            ports[given.gateways + 1 :],
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
                    str(given.boxes),
                ]
            )
        ]
        try:
            text = FILE.format(
                registry=registry,
                cells=" ".join(f"cell: {each}" for each in range(given.boxes)),
                registers=" ".join(
                    f'register: "g{each}"' for each in range(given.registers)
                ),
            )
            for number, door in enumerate(doors):
                file = gateway_file(text, number, door, others, given, folder)
                path = os.path.join(folder, f"g{number}.textproto")
                with open(path, "w", encoding="utf-8") as sink:
                    sink.write(text_format.MessageToString(file))
                started.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "milletsill", "edge", path],
                        stdout=open(f"{folder}/log", "a"),
                    )
                )
            await_doors(doors)
            time.sleep(4)  # until all views have all of them
            view = View(
                1,
                [
                    Member(f"g{each}", "", 1, MemberState.ALIVE)
                    for each in range(given.gateways)
                ],
            )
            asyncio.run(measured(given, doors, started[1:], view))
        finally:
            for each in started:
                each.kill()
            for each in started:
                each.wait()


def await_doors(doors: list[int], seconds: float = 40.0) -> None:
    """Until all listen."""
    ends = time.monotonic() + seconds
    for each in doors:
        while True:
            try:
                socket.create_connection(("127.0.0.1", each), 1).close()
                break
            except OSError:
                if time.monotonic() > ends:
                    raise
                time.sleep(0.1)


def gateway_file(
    text: str,
    number: int,
    door: int,
    others: list[int],
    given: argparse.Namespace,
    folder: str,
) -> GatewayFile:
    """One gateway's file."""
    file = GatewayFile(
        name=f"g{number}",
        gateways=given.gateways,
        listen=f"127.0.0.1:{door}",
        state_dir=f"{folder}/g{number}",
    )
    file.fleet.address = f"127.0.0.1:{others[number]}"
    file.fleet.join.append(f"127.0.0.1:{others[0]}")
    text_format.Merge(text, file)
    return file


if __name__ == "__main__":
    main()
