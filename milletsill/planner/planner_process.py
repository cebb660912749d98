"""Run the planner as a process (`milletsill plan`)."""

from __future__ import annotations

import signal
from typing import Any

from milletsill.logs import logger
from milletsill.planner.epoch_store import EpochNotStoredError
from milletsill.planner.planner_server import PlannerServer
from milletsill.settings.milletsill_pb2 import PlannerFile


def run(file: PlannerFile) -> int:
    """Run until SIGTERM or SIGINT.

    Returns:
        The exit status: 0, or 1 if the planner could not start or a newer planner
        superseded it.
    """
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor  # the module's type declares no reactor methods
    try:
        server = PlannerServer(file, reactor)
    except EpochNotStoredError as error:
        log = logger(file.logging.level, file.logging.json, planner=file.name)
        log.error("epoch_not_stored", **error.log_fields())
        return 1
    server.stops_reactor = True
    reactor.callWhenRunning(server.start)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(server.stop))
    reactor.run(installSignalHandlers=False)
    return 1 if server.failed else 0
