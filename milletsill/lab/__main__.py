"""Runs a process of the laboratory: `python -m milletsill.lab ROLE ARGUMENT...`.

`lab/run.py` starts the roles `stand` (stand-in nodes and registry), `relay` (network
faults), `load` and `channels` (clients), `edges` (gateways) and `deaf` (a listener that
never reads). The benchmark simulator starts `wire`: the scheduler on its standard input
and output, with a trace.

`python -m milletsill.lab hunt list|fleet [--first N] [--seeds N] [--without GUARD] ...`
runs the endpoint list or the fleet in simulations with faults drawn from seeds.
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

START_TIMEOUT_S, CHECK_INTERVAL_S = (
    300.0,  # for the start time of the run to be known
    0.02,  # between checks for it
)


def accept_without_reading(port: int) -> None:
    """Accept connections and never read from them, for an hour at most."""
    import socket
    import time

    connections = []
    with socket.create_server(("127.0.0.1", port), backlog=512) as server:
        server.settimeout(1)
        ends = time.monotonic() + 3600
        while time.monotonic() < ends:
            try:
                connections.append(server.accept()[0])
            except TimeoutError:
                pass


def main(role: str, *arguments: str) -> None:
    """Run one of the laboratory's processes until it ends."""
    gc.freeze()
    if role == "hunt":
        from milletsill.lab.hunt.command import main as hunt

        sys.exit(hunt(arguments))
    if role == "edges":
        from milletsill.lab.baselines import SCHEDULERS
        from milletsill.lab.planted_faults import PLANTED_FAULTS
        from milletsill.scheduler import Scheduler
        from milletsill.sftp_gateway.process import run

        if arguments[0] in PLANTED_FAULTS:
            PLANTED_FAULTS[arguments[0]]()
        files = [load(each, GatewayFile, check_gateway) for each in arguments[1:]]
        sys.exit(run(files, arguments[1:], SCHEDULERS.get(arguments[0], Scheduler)))
    if role == "wire":
        from milletsill.lab.traced_wire_host import main as wire

        sys.exit(wire(arguments[0]))
    if role == "deaf":
        return accept_without_reading(int(arguments[0]))
    out, *rest = arguments
    scenario = load(f"{out}/scenario.textproto", Scenario, check_scenario)
    {"stand": stand, "relay": relay, "load": clients, "channels": channels}[role](
        scenario, out, *rest
    )
    freeze_objects()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)


def freeze_objects() -> None:
    """Exempt all present objects from garbage collection.

    Otherwise each full collection visits all loaded modules and delays the process.
    """
    gc.collect()
    gc.freeze()


def when_start_known(
    out: str, call: Callable[[float], None], timeout: float = START_TIMEOUT_S
) -> None:
    """Call `call` with the run's start time once the file `start` in `out` has it.

    If the file does not appear within `timeout` seconds, the process ends.
    """
    try:
        with open(f"{out}/start", encoding="ascii") as source:
            return call(float(source.read()))
    except FileNotFoundError:
        if timeout <= 0:
            return reactor.stop()
    reactor.callLater(
        CHECK_INTERVAL_S, when_start_known, out, call, timeout - CHECK_INTERVAL_S
    )


def stand(scenario: Any, out: str, port: str) -> None:
    from milletsill.lab.stand import Stand

    stand_ins = Stand(reactor, scenario, out, int(port))
    stand_ins.flush()
    when_start_known(out, stand_ins.begin)
    reactor.addSystemEventTrigger("before", "shutdown", stand_ins.close)


def relay(scenario: Any, out: str, port: str, control: str) -> None:
    from milletsill.lab.network_relay import MAX_LIFETIME, NetworkRelay
    from milletsill.lab.record import PacketRecorder
    from milletsill.lab.relay_control import ControlListener

    recorder = PacketRecorder(f"{out}/relay.rec", "relay", "relay")
    network_relay = NetworkRelay(reactor, scenario, int(port), recorder)
    reactor.listenTCP(
        int(control), ControlListener(network_relay), interface="127.0.0.1"
    )
    when_start_known(out, network_relay.plan)
    reactor.callLater(MAX_LIFETIME, reactor.stop)
    reactor.addSystemEventTrigger("before", "shutdown", recorder.close)


def clients(scenario: Any, out: str, gateways: str) -> None:
    from milletsill.lab.load import Load

    begin_clients(Load, "load", scenario, out, gateways)


def channels(scenario: Any, out: str, gateways: str) -> None:
    from milletsill.lab.channels import Channels

    begin_clients(Channels, "channels", scenario, out, gateways)


def begin_clients(
    client_class: Any, name: str, scenario: Any, out: str, gateways: str
) -> None:
    """Report that the process is ready, then start the clients at the run's start.

    A file NAME.ready tells `lab/run.py` that all modules are loaded.
    """
    addresses = [tuple(each.split("=")) for each in gateways.split(",")]

    def begin(start: float) -> None:
        reactor.callLater(0, client_class(reactor, scenario, addresses, start, out).run)
        freeze_objects()

    def ready() -> None:
        with open(f"{out}/{name}.ready", "w", encoding="ascii"):
            when_start_known(out, begin)

    reactor.callWhenRunning(ready)


if __name__ == "__main__":
    main(*sys.argv[1:])
