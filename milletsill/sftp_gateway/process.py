"""A process with one or several gateways, which share nothing but the reactor."""

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

LOGGED_PAUSE = 0.05  # seconds: a pause of the collector that is worth a line
STOP_DELAY = 0.05  # seconds that the last lines and octets have to leave


def use_monotonic_timers(reactor: Any) -> None:
    """Have timers follow the monotonic clock.

    Guards rule 1 and all durations against a wall clock that is set back while the
    process runs, which Twisted's timers follow: answers would leave late by as much.
    Harm: none known.
    """
    reactor.seconds = time.monotonic


class GatewayProcess:
    """The gateways of one process, until all have stopped.

    Attributes:
        running: those that have not stopped, by their places.
    """

    def __init__(
        self, reactor: Any, gateways: Sequence[SftpGateway], paths: Sequence[str]
    ) -> None:
        self.reactor = reactor
        self.gateways = list(gateways)
        self.paths = list(paths)
        self.running = dict(enumerate(self.gateways))

    def run(self) -> int:
        """Return 0 once all have stopped, 1 where one could not listen."""
        for place, gateway in enumerate(self.gateways):
            gateway.on_stopped.append(partial(self._on_stopped, place))
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
        """Have every gateway drain."""
        for gateway in list(self.running.values()):
            gateway.terminate()

    def reload(self) -> None:
        """Have every gateway read its file again."""
        for place, path in enumerate(self.paths):
            if place in self.running:
                reload_gateway(self.running[place], path)

    def _on_stopped(self, place: int) -> None:
        self.running.pop(place, None)
        if not self.running and self.reactor.running:
            self.reactor.callLater(STOP_DELAY, self.reactor.stop)


def run(
    files: Sequence[Any],
    paths: Sequence[str],
    make_scheduler: SchedulerFactory = Scheduler,
) -> int:
    """Run a gateway for each file until all have stopped.

    Returns:
        0, or 1 where one could not listen.
    """
    use_monotonic_timers(reactor)
    gateways = [SftpGateway(file, reactor, make_scheduler) for file in files]
    return GatewayProcess(reactor, gateways, paths).run()


class CollectorPauses:
    """Measures how long Python's garbage collector stood in the way.

    It is a stall like any other, but one that we can name.
    """

    def __init__(self, gateways: Sequence[SftpGateway]) -> None:
        self.gateways = gateways
        self.began = 0.0

    def on_collection(self, phase: str, info: dict[str, int]) -> None:
        """Hear of the start or the end of a collection."""
        if phase == "start":
            self.began = time.perf_counter()
            return
        duration = time.perf_counter() - self.began
        for gateway in self.gateways:
            gateway.metrics.collector_pauses.observe(duration)
        if duration > LOGGED_PAUSE:
            self.gateways[0].warn(
                "collector_pause",
                ms=round(duration * 1000),
                generation=info["generation"],
            )


def reload_gateway(gateway: SftpGateway, path: str) -> None:
    """Read a gateway's file again.

    A bad one, or one that needs a restart, changes nothing.
    """
    try:
        gateway.reload(load(path, GatewayFile, check_gateway))
    except SettingsFileRejectedError as error:
        for flaw in error.flaws:
            gateway.warn(
                "file_refused", **SettingsFileRejectedError([flaw]).log_fields()
            )
