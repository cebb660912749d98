"""What registers and offices bear.

Gateways in their own processes, with the fleet's plane between them and registers on
disk.

    python -m benchmarks.registers [--gateways 7 --registers 3 --channels 20 --seconds 8 --value 200]

Each gateway keeps so many channels and writes each one's record again as soon as the
last write is at a majority. With --kill the last one gets SIGKILL half way, and the one
before it asks for its channels all the time. Loopback; the registers' files are in a
temporary folder, or in --folder, and each commit is synced there.
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

SECOND, SILENT = 10_000, 36_000_000


def now() -> int:
    return time.monotonic_ns() // 100_000


def free_ports(count: int) -> list[int]:
    """Ports at which nothing listens, TCP and UDP."""
    held: list[Any] = []
    found: list[int] = []
    while len(found) < count:
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        port = random.randrange(20_000, 32_000)  # below what the kernel gives to calls
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        found.append(port)
    for each in held:
        each.close()
    return found


def gateway(given: argparse.Namespace) -> None:
    """One process.

    Joins, takes its channels, writes for so long, and prints what it measured.
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

    ports = [int(each) for each in given.ports.split(",")]
    number, registry = given.child, CollectorRegistry()
    link = FleetLink(
        name="bench",
        address=f"127.0.0.1:{ports[number]}",
        join=[f"127.0.0.1:{ports[0]}"],
    )
    quiet = lambda *words, **values: (
        print(*words, values, file=sys.stderr) if given.loud else None
    )
    file = SimpleNamespace(name=f"g{number}", fleet=link)
    fleet = FleetService(
        reactor,
        now,
        FleetServiceConfig.from_file(file, seed=number, incarnation=1),
        FleetCallbacks(quiet, quiet, lambda incarnation: None),
        registry,
    )
    fleet.start()
    offices = LeaseManager(
        LeaseSettings(
            acceptors=tuple(f"g{each}" for each in range(given.registers)),
            timings=LeaseTimings(2 * SECOND, 3000, 5),
            max_leases=100_000,
            idle_after=SILENT,
            store_path=os.path.join(given.folder, f"g{number}.sqlite"),
            seed=number,
        ),
        LeaseEnvironment(reactor, now, fleet, quiet, registry),
    )
    took: list[float] = []
    faults: dict[str, int] = {}
    span = {"from": 0.0, "to": 0.0}
    heirs: list[float] = []

    def begin() -> None:
        if len(fleet.view.members) < given.gateways:
            reactor.callLater(0.1, begin)
            return
        span["from"] = time.monotonic() + 3.0  # all are there, offices are taken
        span["to"] = span["from"] + given.seconds
        for each in range(given.channels):
            reactor.callLater(1.0, take, f"{number}/{each}")
        if given.kill and number == given.gateways - 2:
            for each in range(given.channels):
                reactor.callLater(3.5, heir, f"{given.gateways - 1}/{each}")
        if given.kill and number == given.gateways - 1:
            reactor.callLater(
                3.0 + given.seconds / 2,
                lambda: (
                    print(json.dumps({"killed": time.monotonic()}), flush=True),
                    os.kill(os.getpid(), signal.SIGKILL),
                ),
            )
        reactor.callLater(3.5 + given.seconds, end)

    def heir(channel: str) -> None:
        """Asks for another's channel until it has it, as late as it is told to come back."""

        def got(term: Any) -> None:
            if not isinstance(term, MilletsillError):
                return heirs.append(time.monotonic())
            reactor.callLater(max(term.retry_delay, 100) / SECOND, heir, channel)

        offices.acquire(channel, got)

    def take(channel: str) -> None:
        offices.acquire(
            channel,
            lambda term: (
                again(channel, term)
                if isinstance(term, MilletsillError)
                else write(term)
            ),
        )

    def again(channel: str, fault: Any) -> None:
        faults[type(fault).__name__] = faults.get(type(fault).__name__, 0) + 1
        reactor.callLater(max(fault.retry_delay, 100) / SECOND, take, channel)

    def write(term: Any) -> None:
        began = time.monotonic()
        if began >= span["to"]:
            return

        def wrote(fault: Any) -> None:
            if fault is not None:
                return again(term.key, fault)
            if began >= span["from"]:
                took.append(time.monotonic() - began)
            write(term)

        offices.write(term, os.urandom(given.value), wrote)

    def end() -> None:
        commits = registry.get_sample_value("milletsill_register_commits_total")
        print(
            json.dumps(
                {"took": took, "faults": faults, "commits": commits, "heirs": heirs}
            ),
            flush=True,
        )
        offices.stop()
        fleet.stop()
        reactor.callLater(0.2, reactor.stop)

    reactor.callLater(0.1, begin)
    reactor.callLater(given.seconds + 30, reactor.stop)
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
    given = parser.parse_args()
    if given.child is not None:
        return gateway(given)
    with tempfile.TemporaryDirectory(dir=given.folder) as folder:
        ports = ",".join(map(str, free_ports(given.gateways)))
        command = [
            sys.executable,
            "-m",
            "benchmarks.registers",
            *(
                word
                for name in ("gateways", "registers", "channels", "seconds", "value")
                for word in (f"--{name}", str(getattr(given, name)))
            ),
        ]
        command += (
            ["--folder", folder, "--ports", ports]
            + ["--loud"] * given.loud
            + ["--kill"] * given.kill
        )
        running = [
            subprocess.Popen([*command, "--child", str(each)], stdout=subprocess.PIPE)
            for each in range(given.gateways)
        ]
        told = [json.loads(each.communicate()[0] or b"{}") for each in running]
    took = sorted(each for one in told for each in one.get("took", ()))
    if not took:
        sys.exit("nothing was written")
    commits = [one["commits"] for one in told if one.get("commits")]
    print(
        f"{given.gateways} gateways, {given.registers} registers, {given.channels} channels each, records of {given.value} bytes, "
        f"{given.seconds} s"
    )
    print(
        f"writes a second {len(took) / given.seconds:.0f}; a write took {1000 * took[len(took) // 2]:.1f} ms at the median, "
        f"{1000 * took[len(took) * 99 // 100]:.1f} at p99; commits at a register {sum(commits) / max(len(commits), 1):.0f}"
    )
    if given.kill:
        killed = next(one["killed"] for one in told if "killed" in one)
        heirs = sorted(each - killed for one in told for each in one.get("heirs", ()))
        print(
            f"{len(heirs)} channels of the killed one were kept again after {heirs[0]:.2f} to {heirs[-1]:.2f} s"
            if heirs
            else "the killed one's channels were not kept again"
        )
    print(
        f"faults {[one.get('faults') for one in told if one.get('faults')] or 'none'}"
    )


if __name__ == "__main__":
    main()
