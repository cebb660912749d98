"""`milletsill serve` as a process: signals first, then configuration, then the gateway until SIGTERM.

Exit status 0 after SIGTERM, 1 where the address cannot be had, 2 for a configuration that cannot be used.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, NoReturn

USAGE = """Usage: milletsill serve

  Serve the platform's protocol until SIGTERM. Takes its configuration from the file that NODE_CONFIG names (JSON);
  NODE_NAME, NODE_LISTEN and NODE_DISCOVERY stand in for what it leaves out. SIGHUP reads the file again.
"""


class Signals:
    """Keeps what came before there was anybody to hear it."""

    def __init__(self) -> None:
        self.came: list[int] = []
        self.hear: Callable[[int], None] = self.came.append
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda number, frame: self.hear(number))

    def given_to(self, hear: Callable[[int], None]) -> None:
        """From now on to this one, first what came."""
        self.hear = hear
        while self.came:
            hear(self.came.pop(0))


def main(arguments: list[str]) -> int:
    """Run until told to end."""
    if arguments:
        wanted = arguments in (["--help"], ["-h"])
        print(
            USAGE if wanted else "milletsill: serve takes no arguments",
            file=sys.stdout if wanted else sys.stderr,
        )
        return 0 if wanted else 2
    signals = Signals()
    from milletsill.http_gateway.configuration import GatewayConfigurationRejected, read

    clock = time.monotonic_ns() // 100_000 - time.time_ns() // 100_000
    faults = list[str]()
    try:
        deployment = read(os.environ, clock, faults.append)
    except GatewayConfigurationRejected as error:
        print(f"milletsill: {error.describe()}", file=sys.stderr)
        return 2
    serve(deployment, clock, signals, faults)


def serve(deployment: Any, clock: int, signals: Signals, faults: list[str]) -> NoReturn:
    """The gateway and its reactor, to the end of the process."""
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    from milletsill.gateway.process_setup import FREEZE_DELAY, freeze_long_lived_objects
    from milletsill.http_gateway.configuration import GatewayConfigurationRejected, read
    from milletsill.http_gateway.gateway import Gateway
    from milletsill.http_gateway.json_log import Lines

    # Guards every span, the end after SIGTERM first, against a wall clock that is set while the process runs: Twisted's timers
    # follow it. Harm: none known.
    reactor.seconds = time.monotonic  # type: ignore[attr-defined]
    log = Lines(sys.stdout, gateway=deployment.name)
    gateway = Gateway(deployment, reactor, monotonic, clock, log)
    for each in faults:
        gateway.remark("configuration", reason=each)

    def again() -> None:
        try:
            gateway.reload(
                read(
                    os.environ,
                    clock,
                    lambda text: gateway.remark("configuration", reason=text),
                )
            )
        except GatewayConfigurationRejected as error:
            log.warning("configuration", **error.log_fields())

    def heard(number: int) -> None:
        reactor.callFromThread(again if number == signal.SIGHUP else gateway.terminate)

    gateway.stopped = lambda: reactor.callLater(
        0, reactor.stop
    )  # what was owed had its time before
    status = list[int]()

    def begin() -> None:
        try:
            gateway.start()
            signals.given_to(heard)
        except CannotListenError as error:
            print(f"milletsill: {error}", file=sys.stderr)
            status.append(1)
            reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.callLater(FREEZE_DELAY, freeze_long_lived_objects)
    reactor.run(installSignalHandlers=False)
    end(status[0] if status else 0)


def end(status: int) -> NoReturn:
    """The process's end. Guards the time before the earliest kill against the interpreter's own end, which frees a gateway's
    memory piece by piece. Harm: what is registered for that end is not called; `serve` registers nothing.
    """
    with suppress(OSError, ValueError):
        sys.stdout.flush()
        sys.stderr.flush()
    os._exit(status)


def monotonic() -> int:
    """Tenths of a millisecond, whole, rounded up: what is over is over."""
    return -(-time.monotonic_ns() // 100_000)
