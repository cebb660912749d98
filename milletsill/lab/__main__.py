"""The laboratory's own processes, started by lab/run.py: `stand`, `relay`, `load`, `channels`, `edges`, `deaf`; `wire`, by the bench.

python -m milletsill.lab hunt list|fleet [--first N] [--seeds N] [--without GUARD] ...: runs with faults drawn by seed
"""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor

from milletsill.settings.gateway_file import check_gateway
from milletsill.settings.load import load
from milletsill.settings.milletsill_pb2 import GatewayFile, Scenario
from milletsill.settings.scenario import check_scenario

START_WITHIN, LOOK = (
    300.0,
    0.02,
)  # seconds: that the day's start is waited for; between looks


def deaf(port: int) -> None:
    """Accepts connections and never reads, for an hour at most."""
    import socket
    import time

    held = []
    with socket.create_server(("127.0.0.1", port), backlog=512) as server:
        server.settimeout(1)
        ends = time.monotonic() + 3600
        while time.monotonic() < ends:
            try:
                held.append(server.accept()[0])
            except TimeoutError:
                pass


def main(what: str, *values: str) -> None:
    """Play one part until it ends."""
    gc.freeze()
    if what == "hunt":
        from milletsill.lab.hunt.command import main as hunt

        sys.exit(hunt(values))
    if what == "edges":
        from milletsill.lab.baselines import MODULES
        from milletsill.lab.planted_faults import PLANTED_FAULTS
        from milletsill.scheduler import Scheduler
        from milletsill.sftp_gateway.process import run

        if values[0] in PLANTED_FAULTS:
            PLANTED_FAULTS[values[0]]()
        files = [load(each, GatewayFile, check_gateway) for each in values[1:]]
        sys.exit(run(files, values[1:], MODULES.get(values[0], Scheduler)))
    if what == "wire":
        from milletsill.lab.traced_wire_host import main as wire

        sys.exit(wire(values[0]))
    if what == "deaf":
        return deaf(int(values[0]))
    out, *rest = values
    scenario = load(f"{out}/scenario.textproto", Scenario, check_scenario)
    {"stand": stand, "relay": relay, "load": clients, "channels": channels}[what](
        scenario, out, *rest
    )
    settle()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)


def settle() -> None:
    """What is loaded by now stays: no collection looks at it again, or each full one makes the process late."""
    gc.collect()
    gc.freeze()


def when_told(
    out: str, call: Callable[[float], None], waits: float = START_WITHIN
) -> None:
    """Called with the day's start once the run has said it; without a word the process ends."""
    try:
        with open(f"{out}/start", encoding="ascii") as source:
            return call(float(source.read()))
    except FileNotFoundError:
        if waits <= 0:
            return reactor.stop()
    reactor.callLater(LOOK, when_told, out, call, waits - LOOK)


def stand(scenario: Any, out: str, port: str) -> None:
    from milletsill.lab.stand import StandIns

    held = StandIns(reactor, scenario, out, int(port))
    held.flush()
    when_told(out, held.begin)
    reactor.addSystemEventTrigger("before", "shutdown", held.close)


def relay(scenario: Any, out: str, port: str, control: str) -> None:
    from milletsill.lab.network_relay import MAX_LIFETIME, NetworkRelay
    from milletsill.lab.record import PacketRecorder
    from milletsill.lab.relay_control import ControlListener

    recorder = PacketRecorder(f"{out}/relay.rec", "relay", "relay")
    held = NetworkRelay(reactor, scenario, int(port), recorder)
    reactor.listenTCP(int(control), ControlListener(held), interface="127.0.0.1")
    when_told(out, held.plan)
    reactor.callLater(MAX_LIFETIME, reactor.stop)
    reactor.addSystemEventTrigger("before", "shutdown", recorder.close)


def clients(scenario: Any, out: str, doors: str) -> None:
    from milletsill.lab.load import Load

    begin_clients(Load, "load", scenario, out, doors)


def channels(scenario: Any, out: str, doors: str) -> None:
    from milletsill.lab.channels import Channels

    begin_clients(Channels, "channels", scenario, out, doors)


def begin_clients(made: Any, name: str, scenario: Any, out: str, doors: str) -> None:
    """Say that all is loaded, then wait for the day's start."""
    edges = [tuple(each.split("=")) for each in doors.split(",")]

    def begin(start: float) -> None:
        reactor.callLater(0, made(reactor, scenario, edges, start, out).run)
        settle()

    def ready() -> None:
        with open(f"{out}/{name}.ready", "w", encoding="ascii"):
            when_told(out, begin)

    reactor.callWhenRunning(ready)


if __name__ == "__main__":
    main(*sys.argv[1:])
