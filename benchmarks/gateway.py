"""Measure the throughput, CPU cost and added latency of one gateway process.

The stand-in nodes answer without delay.

    python -m benchmarks.gateway load     commands per second over several runs, and the
                                          latency added at 200 commands per second
    python -m benchmarks.gateway pairs    the same, alternating between runs without and
                                          with the feature of --of (flows or trace)
    python -m benchmarks.gateway profile  CPU shares of the scheduler, the codec, Twisted
                                          and the rest, by cProfile
    python -m benchmarks.gateway soak     resident memory under load for --seconds,
                                          sampled; with --away, the flow collector is
                                          never reachable

All processes run on one machine. The results are for stand-ins on loopback.
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

GATEWAY_SETTINGS = """
name: "bench" gateways: 1 seed: 1 registry { address: "127.0.0.1:1" }
door { most_outstanding: 256 most_buffered: 16000000 } links { connections: 4 streams: 64 }
logging { answers_per_s: 1 }
plan { name: "p" usual_rate: 100000 reserve_rate: 100000 }
category { name: "read" target_ms: 300 patience_ms: 1500 }
volume { name: "v" root: "/v" plan: "p" cell: [0, 1, 2, 3] }
route { category: "read" }
"""
PROFILE_GROUPS = (
    ("scheduler", "milletsill/scheduler/"),
    ("scheduler host", "milletsill/gateway/scheduler_host.py"),
    ("SFTP gateway", "milletsill/sftp_gateway/"),
    ("node connections", "milletsill/node_connections/"),
    ("codec", "milletsill/sftp/"),
    ("Twisted", "/twisted/"),
    ("metrics", "/prometheus_client/"),
    ("logs", "/structlog/"),
)


def run_stand_ins(port: str, count: str) -> None:
    """Run stand-in nodes that answer without delay, and their registry."""
    from twisted.internet import reactor

    from milletsill.lab.node_listener import NodeListener
    from milletsill.lab.node_stand_in import NodeStandIn, NodeStandInSettings
    from milletsill.lab.registry_stand_in import RegistryStandIn, registry_site
    from milletsill.lab.stored_files import StoredFiles
    from milletsill.settings.milletsill_pb2 import BoxKind, NodeRules, RegistryStand

    registry = RegistryStandIn(reactor, RegistryStand(call_ms=1, notice_ms=1), 1)
    reactor.listenTCP(int(port), registry_site(registry), interface="127.0.0.1")
    for number in range(int(count)):
        files = StoredFiles()
        kind = BoxKind(name="k", cores=64, slots=256, speed=1e6)
        settings = NodeStandInSettings(number, number, 0, kind, NodeRules(), {}, number)
        node = NodeStandIn(reactor, settings, files)
        for each in range(64):
            files.data[f"/v/f{each}"] = bytearray(4096)
        node.port = reactor.listenTCP(0, NodeListener(node), interface="127.0.0.1")
        registry.put(f"/milletsill/boxes/{number}", node.registry_entry())
    reactor.run()


def direct(registry: str, rate: str, seconds: str) -> None:
    """Send the same reads directly to the nodes, without a gateway.

    Prints the replies per second, and the median and 99th percentile of the latency in
    milliseconds.
    """
    import base64
    import json
    import urllib.request

    from twisted.internet import reactor

    from milletsill.node_connections.connection_pool import NodeConnectionPool
    from milletsill.node_connections.connection_state import PoolLimits
    from milletsill.node_connections.pool_config import PoolConfig
    from milletsill.sftp import extensions, packets

    range_request = urllib.request.Request(
        f"http://127.0.0.1:{registry}/v3/kv/range", b"{}", method="POST"
    )
    with urllib.request.urlopen(range_request, timeout=5) as answer:
        kvs = json.load(answer)["kvs"]
    limits = PoolLimits(4, 64, 1, 2500, 300_000, 10_000)
    pools = [
        NodeConnectionPool(
            reactor,
            lambda: time.monotonic_ns() // 100_000,
            PoolConfig(
                json.loads(base64.b64decode(each["value"]))["address"],
                limits,
                "direct",
                1,
                1 << 20,
            ),
            print,
        )
        for each in kvs
    ]
    latencies, perf = [], time.perf_counter

    def send_read(number: int) -> None:
        began = perf()
        request = extensions.NodeRequest(
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
            request, lambda outcome, verdict: latencies.append(perf() - began)
        )

    def send_due_reads(number: int, started_at: float) -> None:
        while started_at + number / float(rate) <= perf():
            send_read(number)
            number += 1
        if number < float(rate) * float(seconds):
            reactor.callLater(
                max(started_at + number / float(rate) - perf(), 0),
                send_due_reads,
                number,
                started_at,
            )
        else:
            reactor.callLater(1, reactor.stop)

    reactor.callLater(0.1, send_due_reads, 0, perf() + 0.1)
    reactor.run()
    latencies.sort()
    print(
        len(latencies) / float(seconds),
        *(latencies[int(len(latencies) * q)] * 1000 for q in (0.5, 0.99)),
    )


def client(port: str, connections: str, depth: str, rate: str, seconds: str) -> None:
    """Generate load: a closed loop, or an open loop if `rate` is not 0.

    The closed loop keeps `depth` reads in flight on each connection; the open loop
    sends `rate` reads per second over all connections. Prints the commands per second,
    and the median and 99th percentile of the latency in milliseconds.
    """
    from twisted.internet import reactor
    from twisted.internet.endpoints import TCP4ClientEndpoint
    from twisted.internet.protocol import Factory, Protocol

    from milletsill.sftp import packets
    from milletsill.sftp.framing import PacketSplitter
    from milletsill.sftp.wire import FileAttributes

    latencies, load_end, perf = [], [0.0], time.perf_counter

    class Reader(Protocol):
        def connectionMade(self) -> None:
            self.transport.setTcpNoDelay(True)
            (
                self.splitter,
                self.last_id,
                self.sent_at,
                self.handles,
                self.open_replies,
            ) = (
                PacketSplitter(1 << 24),
                0,
                {},
                [],
                0,
            )
            self.transport.write(packet_codec.encode(packets.Init(3)))
            for number in range(64):
                self.last_id += 1
                self.transport.write(
                    packet_codec.encode(
                        packets.Open(self.last_id, f"/v/f{number}", 1, FileAttributes())
                    )
                )

        def dataReceived(self, data: bytes) -> None:
            self.splitter.feed(data)
            while (body := self.splitter.next()) is not None:
                packet = packet_codec.decode(body)
                if (
                    getattr(packet, "id", 99) <= 64
                ):  # replies to the opens; rejected opens leave fewer handles
                    self.open_replies += 1
                    self.handles += (
                        [packet.handle] if isinstance(packet, packets.Handle) else []
                    )
                    if self.open_replies == 64 and self.handles:
                        self.start_load()
                elif not isinstance(packet, packets.Version):
                    latencies.append(perf() - self.sent_at.pop(packet.id))
                    if not float(rate) and perf() < load_end[0]:
                        self.send_read()

        def start_load(self) -> None:
            load_end[0] = load_end[0] or perf() + float(seconds)
            if not float(rate):
                for _ in range(int(depth)):
                    self.send_read()
            else:
                self.send_due_reads(perf())

        def send_due_reads(self, due: float) -> None:
            while due <= perf():
                self.send_read()
                due += int(connections) / float(rate)
            if due < load_end[0]:
                reactor.callLater(max(due - perf(), 0), self.send_due_reads, due)

        def send_read(self) -> None:
            self.last_id += 1
            self.sent_at[self.last_id] = perf()
            self.transport.write(
                packet_codec.encode(
                    packets.Read(
                        self.last_id,
                        self.handles[self.last_id % len(self.handles)],
                        0,
                        4096,
                    )
                )
            )

    for _ in range(int(connections)):
        TCP4ClientEndpoint(reactor, "127.0.0.1", int(port)).connect(
            Factory.forProtocol(Reader)
        )
    reactor.callLater(float(seconds) + 2, reactor.stop)
    reactor.run()
    latencies.sort()
    print(
        len(latencies) / float(seconds),
        *(latencies[int(len(latencies) * q)] * 1000 for q in (0.5, 0.99)),
    )


class Bench:
    """Context manager that runs one gateway with stand-in nodes and their registry."""

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
        self.registry, self.port = free_ports(2)
        file = text_format.Parse(GATEWAY_SETTINGS, GatewayFile())
        file.listen, file.state_dir = f"127.0.0.1:{self.port}", self.folder.name
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
        self.gateway_command = ("milletsill", "edge", path)
        self.gateway = self.start(*self.gateway_command, python_options=profiled)
        time.sleep(2)
        return self

    def restart(self) -> None:
        """Start the gateway again after it was killed."""
        self.processes.remove(self.gateway)
        self.gateway = self.start(*self.gateway_command)

    def wait_until_listening(self) -> None:
        """Wait up to 20 s until the gateway accepts connections."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", self.port)) == 0:
                    return
            time.sleep(0.02)
        raise RuntimeError(
            f"the gateway does not listen on port {self.port} after 20 s"
        )

    def start(
        self, *command: str, python_options: list[str] = []
    ) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, *python_options, "-m", *command], stderr=subprocess.DEVNULL
        )
        self.processes.append(process)
        return process

    def generate_load(
        self, connections: int, depth: int, rate: float, seconds: float
    ) -> list[float]:
        return self.run_tool("client", self.port, connections, depth, rate, seconds)

    def run_tool(self, *arguments: object) -> list[float]:
        done = subprocess.run(
            [sys.executable, "-m", "benchmarks.gateway", *map(str, arguments)],
            capture_output=True,
            check=True,
            timeout=float(str(arguments[-1])) + 60,
        )
        return [float(each) for each in done.stdout.split()]

    def cpu_seconds(self) -> float:
        """Return the CPU seconds that the gateway has used so far."""
        with open(f"/proc/{self.gateway.pid}/stat", encoding="ascii") as source:
            fields = source.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_mib(self) -> float:
        """Return the resident memory of the gateway in MiB."""
        with open(f"/proc/{self.gateway.pid}/statm", encoding="ascii") as source:
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
    rates, costs, medians, p99s, direct_medians, direct_p99s = [], [], [], [], [], []
    for _ in range(runs):
        with Bench() as bench:
            before = bench.cpu_seconds()
            rate, *_ = bench.generate_load(4, 16, 0, seconds)
            rates.append(rate)
            costs.append((bench.cpu_seconds() - before) / (rate * seconds) * 1e6)
            _, median, p99 = bench.generate_load(4, 1, 200, seconds)
            medians.append(median)
            p99s.append(p99)
            _, median, p99 = bench.run_tool("direct", bench.registry, 200, seconds)
            direct_medians.append(median)
            direct_p99s.append(p99)
    for name, values in (
        ("commands per second, one gateway", rates),
        ("CPU us per command", costs),
        ("latency in ms at 200 per second, median", medians),
        ("latency in ms at 200 per second, 99th percentile", p99s),
        ("the same directly to the nodes, median", direct_medians),
        ("the same directly to the nodes, 99th percentile", direct_p99s),
    ):
        print(
            f"{name}: median {statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f}, {runs} runs)"
        )


def pairs(feature: str, runs: int, seconds: float) -> None:
    """Alternate runs without and with a feature, and compare them in pairs.

    The ratio of each pair cancels slow changes in the machine's speed.
    """
    results: dict[bool, list[tuple[float, ...]]] = {False: [], True: []}
    for number in range(runs):
        for is_enabled in (False, True) if number % 2 else (True, False):
            with (
                tempfile.TemporaryDirectory() as folder,
                Bench(
                    trace=folder if is_enabled and feature == "trace" else "",
                    flows=is_enabled and feature == "flows",
                ) as bench,
            ):
                before = bench.cpu_seconds()
                top, *_ = bench.generate_load(4, 16, 0, seconds)
                cost = (bench.cpu_seconds() - before) / (top * seconds) * 1e6
                _, median, p99 = bench.generate_load(4, 2, 500, seconds)
                results[is_enabled].append((top, cost, median, p99))
    for place, what in enumerate(
        (
            "commands per second",
            "CPU us per command",
            "latency in ms at 500 per second, median",
            "latency in ms at 500 per second, 99th percentile",
        )
    ):
        off, on = ([each[place] for each in results[which]] for which in (False, True))
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
                f"{bench.generate_load(4, 16, 0, seconds)[0]:.0f} commands per second under the profiler"
            )
        found = pstats.Stats(path)
        groups: dict[str, float] = {}
        for (file, line, name), (_, _, own, _, _) in found.stats.items():
            idle = name in ("<method 'poll' of 'select.epoll' objects>",)
            group = (
                "idle"
                if idle
                else next(
                    (each for each, part in PROFILE_GROUPS if part in file),
                    "Python and the rest",
                )
            )
            groups[group] = groups.get(group, 0.0) + own
        total = sum(own for group, own in groups.items() if group != "idle")
        for group, own in sorted(groups.items(), key=lambda each: -each[1]):
            if group != "idle":
                print(f"{group}: {own / total:.1%}")
        found.sort_stats("tottime").print_stats(22)


def soak(seconds: float, away: bool) -> None:
    with Bench(away=away) as bench:
        deadline, started_at = time.monotonic() + seconds, time.monotonic()
        while time.monotonic() < deadline:
            rate, *_ = bench.generate_load(4, 4, 500, min(20, seconds))
            print(
                f"{time.monotonic() - started_at:.0f} s: {bench.resident_mib():.1f} MiB at {rate:.0f} commands per second",
                flush=True,
            )


def main() -> None:
    if len(sys.argv) > 1 and sys.argv[1] in ("boxes", "client", "direct"):
        return {"boxes": run_stand_ins, "client": client, "direct": direct}[
            sys.argv[1]
        ](*sys.argv[2:])
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("load", "pairs", "profile", "soak"))
    parser.add_argument("--of", choices=("flows", "trace"), default="trace")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--away", action="store_true")
    options = parser.parse_args()
    if options.what == "load":
        load(options.runs, options.seconds)
    elif options.what == "pairs":
        pairs(options.of, options.runs, options.seconds)
    elif options.what == "profile":
        profile(options.seconds)
    else:
        soak(options.seconds, options.away)


if __name__ == "__main__":
    main()
