"""What one edge carries on one core, what it spends it on, and what latency it adds.

Boxes answer at once.

    python -m benchmarks.gateway load     commands a second, several runs, and the latency added at 200 a second
    python -m benchmarks.gateway pairs    the same without and with --of flows or trace, in turns
    python -m benchmarks.gateway profile  the share of the module, the codec, Twisted and the rest, by cProfile
    python -m benchmarks.gateway soak     resident memory of an edge under load for --seconds, sampled; with --away its
                                          flow export has a collector that is never there

All processes run on this machine; figures are of stand-ins on loopback.
"""

from __future__ import annotations

import argparse
import os
import pstats
import socket
import statistics
import subprocess
import sys
import tempfile
import time

from google.protobuf import text_format

from milletsill.lab.processes import free_ports
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.sftp import packet_codec

FILE = """
name: "bench" gateways: 1 seed: 1 registry { address: "127.0.0.1:1" }
door { most_outstanding: 256 most_buffered: 16000000 } links { connections: 4 streams: 64 }
logging { answers_per_s: 1 }
plan { name: "p" usual_rate: 100000 reserve_rate: 100000 }
category { name: "read" target_ms: 300 patience_ms: 1500 }
volume { name: "v" root: "/v" plan: "p" cell: [0, 1, 2, 3] }
route { category: "read" }
"""
GROUPS = (
    ("module", "milletsill/scheduler/"),
    ("host", "milletsill/gateway/scheduler_host.py"),
    ("door, courses, map", "milletsill/sftp_gateway/"),
    ("links", "milletsill/node_connections/"),
    ("codec", "milletsill/sftp/"),
    ("Twisted", "/twisted/"),
    ("metrics", "/prometheus_client/"),
    ("logs", "/structlog/"),
)


def boxes(port: str, count: str) -> None:
    """Stand-in boxes that answer at once, and their registry."""
    from twisted.internet import reactor

    from milletsill.lab.box import Box, Gates
    from milletsill.lab.files import Files
    from milletsill.lab.registry import Registry, site
    from milletsill.settings.milletsill_pb2 import BoxKind, NodeRules, RegistryStand

    registry = Registry(reactor, RegistryStand(call_ms=1, notice_ms=1), 1)
    reactor.listenTCP(int(port), site(registry), interface="127.0.0.1")
    for number in range(int(count)):
        files = Files()
        box = Box(
            reactor,
            number,
            number,
            0,
            BoxKind(name="k", cores=64, slots=256, speed=1e6),
            NodeRules(),
            files,
            {},
            number,
            None,
        )
        for each in range(64):
            files.data[f"/v/f{each}"] = bytearray(4096)
        box.port = reactor.listenTCP(0, Gates(box), interface="127.0.0.1")
        registry.put(f"/milletsill/boxes/{number}", box.listing())
    reactor.run()


def direct(registry: str, rate: str, seconds: str) -> None:
    """The same reads as dispatches straight to the boxes.

    Prints a second and latencies.
    """
    import base64
    import json
    import urllib.request

    from twisted.internet import reactor

    from milletsill.node_connections.connection_pool import NodeConnectionPool
    from milletsill.node_connections.connection_state import PoolLimits
    from milletsill.node_connections.pool_config import PoolConfig
    from milletsill.sftp import extensions, packets

    call = urllib.request.Request(
        f"http://127.0.0.1:{registry}/v3/kv/range", b"{}", method="POST"
    )
    with urllib.request.urlopen(call, timeout=5) as answer:
        kvs = json.load(answer)["kvs"]
    bounds = PoolLimits(4, 64, 1, 2500, 300_000, 10_000)
    pools = [
        NodeConnectionPool(
            reactor,
            lambda: time.monotonic_ns() // 100_000,
            PoolConfig(
                json.loads(base64.b64decode(each["value"]))["address"],
                bounds,
                "direct",
                1,
                1 << 20,
            ),
            print,
        )
        for each in kvs
    ]
    spans, perf = [], time.perf_counter

    def ask(number: int) -> None:
        began = perf()
        order = extensions.NodeRequest(
            "direct",
            1,
            number,
            0,
            1.0,
            number,
            1000,
            f"d{number}",
            1,
            1,
            "read",
            "",
            packets.Read(0, f"/v/f{number % 64}".encode(), 0, 4096),
        )
        pools[number % len(pools)].send_attempt(
            order, lambda outcome, verdict: spans.append(perf() - began)
        )

    def pace(number: int, begun: float) -> None:
        while begun + number / float(rate) <= perf():
            ask(number)
            number += 1
        if number < float(rate) * float(seconds):
            reactor.callLater(
                max(begun + number / float(rate) - perf(), 0), pace, number, begun
            )
        else:
            reactor.callLater(1, reactor.stop)

    reactor.callLater(0.1, pace, 0, perf() + 0.1)
    reactor.run()
    spans.sort()
    print(
        len(spans) / float(seconds),
        *(spans[int(len(spans) * q)] * 1000 for q in (0.5, 0.99)),
    )


def client(port: str, connections: str, depth: str, rate: str, seconds: str) -> None:
    """A closed loop of `depth` reads a connection, or an open one at a rate.

    Prints commands a second and latencies.
    """
    from twisted.internet import reactor
    from twisted.internet.endpoints import TCP4ClientEndpoint
    from twisted.internet.protocol import Factory, Protocol

    from milletsill.sftp import packets
    from milletsill.sftp.framing import PacketSplitter
    from milletsill.sftp.wire import FileAttributes

    spans, ends, perf = [], [0.0], time.perf_counter

    class Reader(Protocol):
        def connectionMade(self) -> None:
            self.transport.setTcpNoDelay(True)
            self.deframer, self.ids, self.sent, self.handles, self.opened = (
                PacketSplitter(1 << 24),
                0,
                {},
                [],
                0,
            )
            self.transport.write(packet_codec.encode(packets.Init(3)))
            for number in range(64):
                self.ids += 1
                self.transport.write(
                    packet_codec.encode(
                        packets.Open(self.ids, f"/v/f{number}", 1, FileAttributes())
                    )
                )

        def dataReceived(self, data: bytes) -> None:
            self.deframer.feed(data)
            while (body := self.deframer.next()) is not None:
                packet = packet_codec.decode(body)
                if (
                    getattr(packet, "id", 99) <= 64
                ):  # the opens; one that was declined is done without
                    self.opened += 1
                    self.handles += (
                        [packet.handle] if isinstance(packet, packets.Handle) else []
                    )
                    if self.opened == 64 and self.handles:
                        self.begin()
                elif not isinstance(packet, packets.Version):
                    spans.append(perf() - self.sent.pop(packet.id))
                    if not float(rate) and perf() < ends[0]:
                        self.ask()

        def begin(self) -> None:
            ends[0] = ends[0] or perf() + float(seconds)
            if not float(rate):
                for _ in range(int(depth)):
                    self.ask()
            else:
                self.pace(perf())

        def pace(self, due: float) -> None:
            while due <= perf():
                self.ask()
                due += int(connections) / float(rate)
            if due < ends[0]:
                reactor.callLater(max(due - perf(), 0), self.pace, due)

        def ask(self) -> None:
            self.ids += 1
            self.sent[self.ids] = perf()
            self.transport.write(
                packet_codec.encode(
                    packets.Read(
                        self.ids, self.handles[self.ids % len(self.handles)], 0, 4096
                    )
                )
            )

    for _ in range(int(connections)):
        TCP4ClientEndpoint(reactor, "127.0.0.1", int(port)).connect(
            Factory.forProtocol(Reader)
        )
    reactor.callLater(float(seconds) + 2, reactor.stop)
    reactor.run()
    spans.sort()
    print(
        len(spans) / float(seconds),
        *(spans[int(len(spans) * q)] * 1000 for q in (0.5, 0.99)),
    )


class Bench:
    """One edge before stand-in boxes; a context."""

    def __init__(
        self,
        profile: str = "",
        away: bool = False,
        trace: str = "",
        block_s: float = 5.0,
        flows: bool = False,
    ) -> None:
        self.profile, self.away, self.processes = profile, away, []
        self.trace, self.block_s, self.flows = trace, block_s, flows

    def __enter__(self) -> Bench:
        self.folder = tempfile.TemporaryDirectory()
        self.registry, self.door = free_ports(2)
        file = text_format.Parse(FILE, GatewayFile())
        file.listen, file.state_dir = f"127.0.0.1:{self.door}", self.folder.name
        file.registry.address = f"127.0.0.1:{self.registry}"
        if self.away:
            file.flows.collector.add(address=f"127.0.0.1:{free_ports(1)[0]}")
            file.flows.closest, file.flows.idle_s = "commands", 1.0
        if self.flows:
            collector = f"127.0.0.1:{free_ports(1)[0]}"
            file.flows.collector.add(address=collector)
            self.start(
                "milletsill", "flows", "collect", "--quiet", "--listen", collector
            )
        if self.trace:
            file.trace.folder, file.trace.block_s = self.trace, self.block_s
        path = f"{self.folder.name}/edge.textproto"
        with open(path, "w", encoding="utf-8") as sink:
            sink.write(text_format.MessageToString(file))
        self.start("benchmarks.gateway", "boxes", str(self.registry), "4")
        time.sleep(1)
        profiled = ["-m", "cProfile", "-o", self.profile] if self.profile else []
        self.words = ("milletsill", "edge", path)
        self.edge = self.start(*self.words, before=profiled)
        time.sleep(2)
        return self

    def restart(self) -> None:
        """The edge anew, after it was killed."""
        self.processes.remove(self.edge)
        self.edge = self.start(*self.words)

    def await_door(self) -> None:
        """Until the edge listens."""
        ends = time.monotonic() + 20
        while time.monotonic() < ends:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", self.door)) == 0:
                    return
            time.sleep(0.02)
        raise RuntimeError("the edge does not listen")

    def start(self, *words: str, before: list[str] = []) -> subprocess.Popen[bytes]:
        made = subprocess.Popen(
            [sys.executable, *before, "-m", *words], stderr=subprocess.DEVNULL
        )
        self.processes.append(made)
        return made

    def play(
        self, connections: int, depth: int, rate: float, seconds: float
    ) -> list[float]:
        return self.tool("client", self.door, connections, depth, rate, seconds)

    def tool(self, *words: object) -> list[float]:
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.gateway", *map(str, words)],
            capture_output=True,
            check=True,
            timeout=float(str(words[-1])) + 60,
        )
        return [float(each) for each in done.stdout.split()]

    def cpu(self) -> float:
        """Processor seconds of the edge so far."""
        with open(f"/proc/{self.edge.pid}/stat", encoding="ascii") as source:
            fields = source.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> float:
        """Resident MiB of the edge."""
        with open(f"/proc/{self.edge.pid}/statm", encoding="ascii") as source:
            return int(source.read().split()[1]) * os.sysconf("SC_PAGESIZE") / (1 << 20)

    def __exit__(self, *_: object) -> None:
        for each in reversed(self.processes):
            each.terminate()
            try:
                each.wait(10)
            except subprocess.TimeoutExpired:
                each.kill()
        self.folder.cleanup()


def load(runs: int, seconds: float) -> None:
    rates, costs, middle, tail, bare, bare_99 = [], [], [], [], [], []
    for _ in range(runs):
        with Bench() as bench:
            before = bench.cpu()
            rate, *_ = bench.play(4, 16, 0, seconds)
            rates.append(rate)
            costs.append((bench.cpu() - before) / (rate * seconds) * 1e6)
            _, at_half, at_99 = bench.play(4, 1, 200, seconds)
            middle.append(at_half)
            tail.append(at_99)
            _, at_half, at_99 = bench.tool("direct", bench.registry, 200, seconds)
            bare.append(at_half)
            bare_99.append(at_99)
    for name, held in (
        ("commands a second, one edge", rates),
        ("processor us a command", costs),
        ("ms at 200 a second, median", middle),
        ("ms at 200 a second, 99th", tail),
        ("the same straight to the boxes, median", bare),
        ("the same straight to the boxes, 99th", bare_99),
    ):
        print(
            f"{name}: median {statistics.median(held):.2f} ({min(held):.2f} to {max(held):.2f}, {runs} runs)"
        )


def pairs(of: str, runs: int, seconds: float) -> None:
    """Without and with, in turns.

    Each pair's ratio, so that the machine's drift falls out.
    """
    held: dict[bool, list[tuple[float, ...]]] = {False: [], True: []}
    for number in range(runs):
        for with_it in (False, True) if number % 2 else (True, False):
            with (
                tempfile.TemporaryDirectory() as folder,
                Bench(
                    trace=folder if with_it and of == "trace" else "",
                    flows=with_it and of == "flows",
                ) as bench,
            ):
                before = bench.cpu()
                top, *_ = bench.play(4, 16, 0, seconds)
                cost = (bench.cpu() - before) / (top * seconds) * 1e6
                _, at_half, at_99 = bench.play(4, 2, 500, seconds)
                held[with_it].append((top, cost, at_half, at_99))
    for place, what in enumerate(
        (
            "commands a second",
            "processor us a command",
            "ms at 500 a second, median",
            "ms at 500 a second, 99th",
        )
    ):
        off, on = ([each[place] for each in held[which]] for which in (False, True))
        ratios = sorted(b / a for a, b in zip(off, on))
        print(
            f"{what}: without {statistics.median(off):.2f}, with {statistics.median(on):.2f}; ratio in pairs: median "
            f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f}, {runs} pairs)"
        )


def profile(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/edge.prof"
        with Bench(path) as bench:
            print(
                f"{bench.play(4, 16, 0, seconds)[0]:.0f} commands a second under the profiler"
            )
        found = pstats.Stats(path)
        groups: dict[str, float] = {}
        for (file, line, name), (_, _, own, _, _) in found.stats.items():
            idle = name in ("<method 'poll' of 'select.epoll' objects>",)
            group = (
                "idle"
                if idle
                else next(
                    (each for each, part in GROUPS if part in file),
                    "Python and the rest",
                )
            )
            groups[group] = groups.get(group, 0.0) + own
        whole = sum(own for group, own in groups.items() if group != "idle")
        for group, own in sorted(groups.items(), key=lambda each: -each[1]):
            if group != "idle":
                print(f"{group}: {own / whole:.1%}")
        found.sort_stats("tottime").print_stats(22)


def soak(seconds: float, away: bool) -> None:
    with Bench(away=away) as bench:
        ends, begun = time.monotonic() + seconds, time.monotonic()
        while time.monotonic() < ends:
            rate, *_ = bench.play(4, 4, 500, min(20, seconds))
            print(
                f"{time.monotonic() - begun:.0f} s: {bench.memory():.1f} MiB at {rate:.0f} a second",
                flush=True,
            )


def main() -> None:
    if len(sys.argv) > 1 and sys.argv[1] in ("boxes", "client", "direct"):
        return {"boxes": boxes, "client": client, "direct": direct}[sys.argv[1]](
            *sys.argv[2:]
        )
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("load", "pairs", "profile", "soak"))
    parser.add_argument("--of", choices=("flows", "trace"), default="trace")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--away", action="store_true")
    given = parser.parse_args()
    if given.what == "load":
        load(given.runs, given.seconds)
    elif given.what == "pairs":
        pairs(given.of, given.runs, given.seconds)
    elif given.what == "profile":
        profile(given.seconds)
    else:
        soak(given.seconds, given.away)


if __name__ == "__main__":
    main()
