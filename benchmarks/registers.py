"""Measure the write rate, latency and failover time of leases.

Each gateway is a process of its own. The gateways form a fleet, and the first of them
are lease acceptors that store their state on disk.

    python -m benchmarks.registers [--gateways 7 --registers 3 --channels 20 --seconds 8 --value 200]

Each gateway holds --channels leases, and writes the record of each lease again as soon
as a majority has accepted the last write. With --kill, the last gateway gets SIGKILL
half way through, and the one before it keeps trying to acquire the leases of the killed
one. All connections are on loopback. The acceptors' files are in a temporary folder,
which is created in --folder if that is given, and each commit is synced to disk.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from types import SimpleNamespace
from typing import Any

SECOND, IDLE_AFTER = 10_000, 36_000_000  # ticks of 0.1 ms


def now() -> int:
    return time.monotonic_ns() // 100_000


def free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP."""
    sockets: list[Any] = []
    found: list[int] = []
    while len(found) < count:
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sockets += [tcp, udp]
        port = random.randrange(20_000, 32_000)  # below the kernel's ephemeral ports
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    for each in sockets:
        each.close()
    return found


def run_gateway(options: argparse.Namespace) -> None:
    """Run one gateway in this process.

    It joins the fleet, acquires its leases, writes records for --seconds, and prints
    its measurements as JSON.
    """
    from prometheus_client import CollectorRegistry
    from twisted.internet import reactor

    from milletsill.errors import MilletsillError
    from milletsill.fleet.leases.lease_manager import LeaseManager
    from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
    from milletsill.fleet.leases.timings import LeaseTimings
    from milletsill.fleet.service import FleetService
    from milletsill.fleet.service_config import FleetCallbacks, FleetServiceConfig
    from milletsill.settings.milletsill_pb2 import FleetLink

    ports = [int(each) for each in options.ports.split(",")]
    number, registry = options.child, CollectorRegistry()
    link = FleetLink(
        name="bench",
        address=f"127.0.0.1:{ports[number]}",
        join=[f"127.0.0.1:{ports[0]}"],
    )
    log = lambda *words, **values: (
        print(*words, values, file=sys.stderr) if options.loud else None
    )
    file = SimpleNamespace(name=f"g{number}", fleet=link)
    fleet = FleetService(
        reactor,
        now,
        FleetServiceConfig.from_file(file, seed=number, incarnation=1),
        FleetCallbacks(log, log, lambda incarnation: None),
        registry,
    )
    fleet.start()
    lease_manager = LeaseManager(
        LeaseSettings(
            acceptors=tuple(f"g{each}" for each in range(options.registers)),
            timings=LeaseTimings(2 * SECOND, 3000, 5),
            max_leases=100_000,
            idle_after=IDLE_AFTER,
            store_path=os.path.join(options.folder, f"g{number}.sqlite"),
            seed=number,
        ),
        LeaseEnvironment(reactor, now, fleet, log, registry),
    )
    write_seconds: list[float] = []
    error_counts: dict[str, int] = {}
    window = {"from": 0.0, "to": 0.0}
    acquired_at: list[float] = []

    def begin() -> None:
        if len(fleet.view.members) < options.gateways:
            reactor.callLater(0.1, begin)
            return
        window["from"] = time.monotonic() + 3.0  # by then all leases are acquired
        window["to"] = window["from"] + options.seconds
        for each in range(options.channels):
            reactor.callLater(1.0, acquire, f"{number}/{each}")
        if options.kill and number == options.gateways - 2:
            for each in range(options.channels):
                reactor.callLater(3.5, take_over, f"{options.gateways - 1}/{each}")
        if options.kill and number == options.gateways - 1:
            reactor.callLater(
                3.0 + options.seconds / 2,
                lambda: (
                    print(json.dumps({"killed": time.monotonic()}), flush=True),
                    os.kill(os.getpid(), signal.SIGKILL),
                ),
            )
        reactor.callLater(3.5 + options.seconds, end)

    def take_over(channel: str) -> None:
        """Try to acquire a lease of the killed gateway, until that succeeds."""

        def on_acquired(term: Any) -> None:
            if not isinstance(term, MilletsillError):
                return acquired_at.append(time.monotonic())
            reactor.callLater(max(term.retry_delay, 100) / SECOND, take_over, channel)

        lease_manager.acquire(channel, on_acquired)

    def acquire(channel: str) -> None:
        lease_manager.acquire(
            channel,
            lambda term: (
                retry(channel, term)
                if isinstance(term, MilletsillError)
                else write(term)
            ),
        )

    def retry(channel: str, error: Any) -> None:
        error_counts[type(error).__name__] = (
            error_counts.get(type(error).__name__, 0) + 1
        )
        reactor.callLater(max(error.retry_delay, 100) / SECOND, acquire, channel)

    def write(term: Any) -> None:
        began = time.monotonic()
        if began >= window["to"]:
            return

        def on_written(error: Any) -> None:
            if error is not None:
                return retry(term.key, error)
            if began >= window["from"]:
                write_seconds.append(time.monotonic() - began)
            write(term)

        lease_manager.write(term, os.urandom(options.value), on_written)

    def end() -> None:
        commits = registry.get_sample_value("milletsill_register_commits_total")
        print(
            json.dumps(
                {
                    "took": write_seconds,
                    "faults": error_counts,
                    "commits": commits,
                    "heirs": acquired_at,
                }
            ),
            flush=True,
        )
        lease_manager.stop()
        fleet.stop()
        reactor.callLater(0.2, reactor.stop)

    reactor.callLater(0.1, begin)
    reactor.callLater(options.seconds + 30, reactor.stop)
    reactor.run()


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, default in (
        ("gateways", 7),
        ("registers", 3),
        ("channels", 20),
        ("seconds", 8),
        ("value", 200),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--folder")
    parser.add_argument("--loud", action="store_true")
    parser.add_argument("--kill", action="store_true")
    parser.add_argument("--child", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--ports", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child is not None:
        return run_gateway(options)
    with tempfile.TemporaryDirectory(dir=options.folder) as folder:
        ports = ",".join(map(str, free_ports(options.gateways)))
        command = [
            sys.executable,
            "-m",
            "benchmarks.registers",
            *(
                word
                for name in ("gateways", "registers", "channels", "seconds", "value")
                for word in (f"--{name}", str(getattr(options, name)))
            ),
        ]
        command += (
            ["--folder", folder, "--ports", ports]
            + ["--loud"] * options.loud
            + ["--kill"] * options.kill
        )
        running = [
            subprocess.Popen([*command, "--child", str(each)], stdout=subprocess.PIPE)
            for each in range(options.gateways)
        ]
        results = [json.loads(each.communicate()[0] or b"{}") for each in running]
    write_seconds = sorted(each for one in results for each in one.get("took", ()))
    if not write_seconds:
        sys.exit("no gateway has completed a write")
    commits = [one["commits"] for one in results if one.get("commits")]
    print(
        f"{options.gateways} gateways, {options.registers} acceptors, {options.channels} leases each, records of {options.value} bytes, "
        f"{options.seconds} s"
    )
    print(
        f"writes per second {len(write_seconds) / options.seconds:.0f}; latency of a write {1000 * write_seconds[len(write_seconds) // 2]:.1f} ms at the median, "
        f"{1000 * write_seconds[len(write_seconds) * 99 // 100]:.1f} at p99; mean commits per acceptor {sum(commits) / max(len(commits), 1):.0f}"
    )
    if options.kill:
        killed = next(one["killed"] for one in results if "killed" in one)
        failover_seconds = sorted(
            each - killed for one in results for each in one.get("heirs", ())
        )
        print(
            f"{len(failover_seconds)} leases of the killed gateway were acquired again after {failover_seconds[0]:.2f} to {failover_seconds[-1]:.2f} s"
            if failover_seconds
            else "the killed gateway's leases were not acquired again"
        )
    print(
        f"errors {[one.get('faults') for one in results if one.get('faults')] or 'none'}"
    )


if __name__ == "__main__":
    main()
