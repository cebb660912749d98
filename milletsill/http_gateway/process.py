"""`milletsill serve` as a process.

Signals, then configuration, then the gateway until SIGTERM.

Exit status 0 after SIGTERM, 1 where the address cannot be had, 2 for a configuration
that cannot be used. Modules that take long to load are imported once signals are heard.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from types import FrameType
from typing import TYPE_CHECKING, Any, NoReturn

if TYPE_CHECKING:
    from milletsill.http_gateway.configuration import GatewayConfiguration

USAGE = """Usage: milletsill serve

  Serve the platform's protocol until SIGTERM. Takes its configuration from the file that NODE_CONFIG names (JSON);
  NODE_NAME, NODE_LISTEN and NODE_DISCOVERY stand in for what it leaves out. SIGHUP reads the file again.
"""  # noqa: E501
EXIT_CANNOT_LISTEN = 1
EXIT_USAGE = 2


class SignalQueue:
    """Keeps the signals that came before there was a handler."""

    def __init__(self) -> None:
        self.pending: list[int] = []
        self.handler: Callable[[int], None] = self.pending.append
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def set_handler(self, handler: Callable[[int], None]) -> None:
        """Hand signals to a handler from now on, first those that came."""
        self.handler = handler
        while self.pending:
            handler(self.pending.pop(0))

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self.handler(number)


def main(arguments: list[str]) -> int:
    """Run until told to end, and return the exit status where it never began."""
    if arguments:
        return _print_usage(arguments)
    signals = SignalQueue()
    from milletsill.http_gateway.configuration import (
        GatewayConfigurationRejectedError,
        read_configuration,
    )

    clock = time.monotonic_ns() // 100_000 - time.time_ns() // 100_000
    warnings: list[str] = []
    try:
        configuration = read_configuration(os.environ, clock, warnings.append)
    except GatewayConfigurationRejectedError as error:
        print(f"milletsill: {error.describe()}", file=sys.stderr)
        return EXIT_USAGE
    return serve(configuration, clock, signals, warnings)


def _print_usage(arguments: list[str]) -> int:
    if arguments in (["--help"], ["-h"]):
        print(USAGE)
        return 0
    print("milletsill: serve takes no arguments", file=sys.stderr)
    return EXIT_USAGE


def serve(
    configuration: GatewayConfiguration,
    clock: int,
    signals: SignalQueue,
    warnings: list[str],
) -> NoReturn:
    """Run the gateway and its reactor, to the end of the process."""
    from twisted.internet import reactor as installed_reactor
    from twisted.internet.error import CannotListenError

    from milletsill.gateway.process_setup import FREEZE_DELAY, freeze_long_lived_objects
    from milletsill.http_gateway.configuration import (
        GatewayConfigurationRejectedError,
        read_configuration,
    )
    from milletsill.http_gateway.gateway import HttpGateway
    from milletsill.http_gateway.json_log import JsonLog

    # Twisted's interfaces cannot be followed by a type checker.
    reactor: Any = installed_reactor
    # Twisted's timers follow the wall clock, which may be set while the process runs;
    # every time, the end after SIGTERM first, is kept on the monotonic clock.
    reactor.seconds = time.monotonic
    log = JsonLog(sys.stdout, gateway=configuration.name)
    gateway = HttpGateway(configuration, reactor, monotonic_ticks, clock, log)

    def warn(text: str) -> None:
        gateway.warn("configuration", reason=text)

    def reload() -> None:
        try:
            gateway.reload(read_configuration(os.environ, clock, warn))
        except GatewayConfigurationRejectedError as error:
            log.warning("configuration", **error.log_fields())

    def on_signal(number: int) -> None:
        action = reload if number == signal.SIGHUP else gateway.terminate
        reactor.callFromThread(action)

    status: list[int] = []

    def begin() -> None:
        try:
            gateway.start()
            signals.set_handler(on_signal)
        except CannotListenError as error:
            print(f"milletsill: {error}", file=sys.stderr)
            status.append(EXIT_CANNOT_LISTEN)
            reactor.stop()

    for text in warnings:
        warn(text)
    # What was owed had its time before.
    gateway.stopped = lambda: reactor.callLater(0, reactor.stop)
    reactor.callWhenRunning(begin)
    reactor.callLater(FREEZE_DELAY, freeze_long_lived_objects)
    reactor.run(installSignalHandlers=False)
    exit_process(status[0] if status else 0)


def exit_process(status: int) -> NoReturn:
    """End the process without the interpreter's own end.

    That frees a gateway's memory piece by piece, which takes time before the earliest
    kill. What is registered for the interpreter's end is not called; `serve` registers
    nothing.
    """
    with suppress(OSError, ValueError):
        sys.stdout.flush()
        sys.stderr.flush()
    os._exit(status)


def monotonic_ticks() -> int:
    """Return tenths of a millisecond, rounded up: what is over is over."""
    return -(-time.monotonic_ns() // 100_000)
