"""A process that carries one or several edges, which share nothing but the reactor."""
from __future__ import annotations

import signal
from typing import Any, Callable, Sequence

from twisted.internet import reactor

from milletsill.edge.host import Make
from milletsill.edge.service import Edge
from milletsill.policy import Scheduler
from milletsill.settings.decide import check_gateway
from milletsill.settings.load import Refused, load
from milletsill.settings.milletsill_pb2 import GatewayFile


def run(files: Sequence[Any], paths: Sequence[str], make: Make = Scheduler) -> int:
    """Until all edges have stopped; 0, or 1 where one could not listen."""
    edges = [Edge(file, reactor, make) for file in files]
    left, failed = set(edges), list[Edge]()

    def stopped(edge: Edge) -> None:
        left.discard(edge)
        if edge.failed:
            failed.append(edge)
        if not left and reactor.running:
            reactor.callLater(0.05, reactor.stop)

    for edge in edges:
        edge.stopped.append(lambda edge=edge: stopped(edge))
        reactor.callWhenRunning(edge.start)
    on_signal(signal.SIGTERM, lambda: [each.terminate() for each in list(left)])
    on_signal(signal.SIGINT, lambda: [each.terminate() for each in list(left)])
    on_signal(signal.SIGHUP, lambda: [reload(each, path) for each, path in zip(edges, paths) if each in left])
    reactor.run(installSignalHandlers=False)
    return 1 if failed else 0


def on_signal(number: int, call: Callable[[], Any]) -> None:
    signal.signal(number, lambda *_: reactor.callFromThread(call))


def reload(edge: Edge, path: str) -> None:
    """Read the file again; a bad one, or one that needs a restart, changes nothing."""
    try:
        edge.reload(load(path, GatewayFile, check_gateway))
    except Refused as error:
        for each in error.faults:
            edge.remark("file_refused", reason=str(each))
