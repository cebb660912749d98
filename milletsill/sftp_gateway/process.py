"""Runs one or several gateways in a process; they share only the reactor."""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import Sequence
from functools import partial
from typing import Any

from twisted.internet import reactor

from milletsill.gateway.process_setup import (
    FREEZE_DELAY,
    freeze_long_lived_objects,
    install_signal_handler,
)
from milletsill.interface import SchedulerFactory
from milletsill.scheduler import Scheduler
from milletsill.settings.flaws import SettingsFileRejectedError
from milletsill.settings.gateway_file import check_gateway
from milletsill.settings.load import load
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.sftp_gateway.gateway import SftpGateway

MIN_LOGGED_GC_PAUSE = 0.05  # seconds; shorter collections are not logged
STOP_DELAY = 0.05  # seconds to flush the last log lines and packets


def use_monotonic_timers(reactor: Any) -> None:
    """Make the reactor's timers use the monotonic clock.

    By default Twisted's timers use the wall clock. If it were set back while the
    process runs, all timers would fire late, and answers would miss their deadlines.
    """
    reactor.seconds = time.monotonic


class GatewayProcess:
    """Runs the gateways of one process until all have stopped.

    Attributes:
        running: the gateways that have not stopped, by their index.
    """

    def __init__(
        self, reactor: Any, gateways: Sequence[SftpGateway], paths: Sequence[str]
    ) -> None:
        self.reactor = reactor
        self.gateways = list(gateways)
        self.paths = list(paths)
        self.running = dict(enumerate(self.gateways))

    def run(self) -> int:
        """Run until all gateways have stopped; return the process's exit code.

        Returns:
            0, or 1 if a gateway could not start.
        """
        for index, gateway in enumerate(self.gateways):
            gateway.on_stopped.append(partial(self._on_stopped, index))
            self.reactor.callWhenRunning(gateway.start)
        install_signal_handler(signal.SIGTERM, self.terminate)
        install_signal_handler(signal.SIGINT, self.terminate)
        install_signal_handler(signal.SIGHUP, self.reload)
        collector_pauses = CollectorPauses(self.gateways)
        self.reactor.callLater(FREEZE_DELAY, freeze_long_lived_objects)
        gc.callbacks.append(collector_pauses.on_collection)
        self.reactor.run(installSignalHandlers=False)
        gc.callbacks.remove(collector_pauses.on_collection)
        return 1 if any(gateway.failed for gateway in self.gateways) else 0

    def terminate(self) -> None:
        """Drain every gateway."""
        for gateway in list(self.running.values()):
            gateway.terminate()

    def reload(self) -> None:
        """Reload the settings file of every running gateway."""
        for index, path in enumerate(self.paths):
            if index in self.running:
                reload_gateway(self.running[index], path)

    def _on_stopped(self, index: int) -> None:
        self.running.pop(index, None)
        if not self.running and self.reactor.running:
            self.reactor.callLater(STOP_DELAY, self.reactor.stop)


def run(
    files: Sequence[Any],
    paths: Sequence[str],
    make_scheduler: SchedulerFactory = Scheduler,
) -> int:
    """Run a gateway for each file until all have stopped.

    Returns:
        0, or 1 if a gateway could not start.
    """
    use_monotonic_timers(reactor)
    gateways = [SftpGateway(file, reactor, make_scheduler) for file in files]
    return GatewayProcess(reactor, gateways, paths).run()


class CollectorPauses:
    """Measures the pauses of Python's garbage collector.

    They block the reactor like any other stall, but their cause is known.
    """

    def __init__(self, gateways: Sequence[SftpGateway]) -> None:
        self.gateways = gateways
        self.began = 0.0

    def on_collection(self, phase: str, info: dict[str, int]) -> None:
        """Handle the start or the end of a collection (see `gc.callbacks`)."""
        if phase == "start":
            self.began = time.perf_counter()
            return
        duration = time.perf_counter() - self.began
        for gateway in self.gateways:
            gateway.metrics.collector_pauses.observe(duration)
        if duration > MIN_LOGGED_GC_PAUSE:
            self.gateways[0].warn(
                "collector_pause",
                ms=round(duration * 1000),
                generation=info["generation"],
            )


def reload_gateway(gateway: SftpGateway, path: str) -> None:
    """Reload a gateway's settings file.

    A file that is invalid or needs a restart changes nothing.
    """
    try:
        gateway.reload(load(path, GatewayFile, check_gateway))
    except SettingsFileRejectedError as error:
        for flaw in error.flaws:
            gateway.warn(
                "file_refused", **SettingsFileRejectedError([flaw]).log_fields()
            )
