"""The laboratory's own processes: `stand`, `load`, `edges`, `deaf`, started by lab/run.py; `wire`, started by the bench."""
from __future__ import annotations

import gc
import signal
import sys

from twisted.internet import reactor

from milletsill.settings.decide import check_gateway, check_scenario
from milletsill.settings.load import load
from milletsill.settings.milletsill_pb2 import GatewayFile, Scenario


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
    if what == "edges":
        from milletsill.edge.process import run
        from milletsill.lab.baselines import MODULES
        sys.exit(run([load(each, GatewayFile, check_gateway) for each in values[1:]], values[1:], MODULES[values[0]]))
    if what == "wire":
        from milletsill.lab.wire import main as wire
        sys.exit(wire(values[0]))
    if what == "deaf":
        return deaf(int(values[0]))
    out, start, rest = values
    scenario = load(f"{out}/scenario.textproto", Scenario, check_scenario)
    if what == "stand":
        from milletsill.lab.stand import Stand
        held = Stand(reactor, scenario, out, float(start), int(rest))
        held.flush()
        reactor.addSystemEventTrigger("before", "shutdown", held.close)
    else:
        from milletsill.lab.load import Load
        made = Load(reactor, scenario, [tuple(each.split("=")) for each in rest.split(",")], float(start), out)
        reactor.callLater(0, made.run)
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(*sys.argv[1:])
