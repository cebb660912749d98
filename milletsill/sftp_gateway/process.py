"""A process that carries one or several edges, which share nothing but the reactor."""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import Sequence
from typing import Any

from twisted.internet import reactor

from milletsill.gateway.process_setup import (
    FREEZE_DELAY,
    freeze_long_lived_objects,
    install_signal_handler,
)
from milletsill.gateway.scheduler_host import SchedulerFactory
from milletsill.scheduler import Scheduler
from milletsill.settings.load import SettingsFileRejected, load
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.settings.validation import check_gateway
from milletsill.sftp_gateway.gateway import SftpGateway

SAID_FROM = 0.05  # seconds: a pause worth a line


def use_monotonic_timers(reactor: Any) -> None:
    """Timers follow the monotonic clock. Guards rule 1 and all spans against a wall clock that is set back while the process runs,
    which Twisted's timers follow: answers would leave late by as much. Harm: none known.
    """
    reactor.seconds = time.monotonic


def run(
    files: Sequence[Any], paths: Sequence[str], make: SchedulerFactory = Scheduler
) -> int:
    """Until all edges have stopped; 0, or 1 where one could not listen."""
    use_monotonic_timers(reactor)
    edges = [SftpGateway(file, reactor, make) for file in files]
    left, failed = set(edges), list[SftpGateway]()

    def stopped(edge: SftpGateway) -> None:
        left.discard(edge)
        if edge.failed:
            failed.append(edge)
        if not left and reactor.running:
            reactor.callLater(0.05, reactor.stop)

    for edge in edges:
        edge.stopped.append(lambda edge=edge: stopped(edge))
        reactor.callWhenRunning(edge.start)
    install_signal_handler(
        signal.SIGTERM, lambda: [each.terminate() for each in list(left)]
    )
    install_signal_handler(
        signal.SIGINT, lambda: [each.terminate() for each in list(left)]
    )
    install_signal_handler(
        signal.SIGHUP,
        lambda: [
            reload(each, path) for each, path in zip(edges, paths) if each in left
        ],
    )
    collector = CollectorPauses(edges)
    reactor.callLater(FREEZE_DELAY, freeze_long_lived_objects)
    gc.callbacks.append(collector.heard)
    reactor.run(installSignalHandlers=False)
    gc.callbacks.remove(collector.heard)
    return 1 if failed else 0


class CollectorPauses:
    """Says how long Python's garbage collector stood in the way: a stall like any other, but one that we can name."""

    def __init__(self, edges: Sequence[SftpGateway]) -> None:
        self.edges, self.began = edges, 0.0

    def heard(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.began = time.perf_counter()
            return
        span = time.perf_counter() - self.began
        for edge in self.edges:
            edge.metrics.collections.observe(span)
        if span > SAID_FROM:
            self.edges[0].remark(
                "collector_pause", ms=round(span * 1000), generation=info["generation"]
            )


def reload(edge: SftpGateway, path: str) -> None:
    """Read the file again; a bad one, or one that needs a restart, changes nothing."""
    try:
        edge.reload(load(path, GatewayFile, check_gateway))
    except SettingsFileRejected as error:
        for each in error.faults:
            edge.remark("file_refused", **SettingsFileRejected([each]).log_fields())
