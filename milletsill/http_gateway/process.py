"""The process of `milletsill serve`.

It installs signal handlers, reads the configuration and runs the gateway until SIGTERM.

The exit status is 0 after SIGTERM, 1 if the listening address is not available and 2
for an unusable configuration. Modules that take long to load are imported after the
signal handlers are installed, so that no signal is lost.
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

  Serve HTTP clients until SIGTERM. The configuration is read from the JSON file that NODE_CONFIG names;
  NODE_NAME, NODE_LISTEN and NODE_DISCOVERY supply values that the file omits. SIGHUP reads the file again.
"""  # noqa: E501
EXIT_LISTEN_FAILED = 1
EXIT_USAGE = 2


class SignalQueue:
    """Queues signals that arrive before a handler is set."""

    def __init__(self) -> None:
        self.pending: list[int] = []
        self.handler: Callable[[int], None] = self.pending.append
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def set_handler(self, handler: Callable[[int], None]) -> None:
        """Pass signals to a handler from now on, the queued ones first."""
        self.handler = handler
        while self.pending:
            handler(self.pending.pop(0))

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self.handler(number)


def main(arguments: list[str]) -> int:
    """Run until SIGTERM; return the exit status only if the start fails."""
    if arguments:
        return _print_usage(arguments)
    signals = SignalQueue()
    from milletsill.http_gateway.configuration import (
        GatewayConfigurationRejectedError,
        read_configuration,
    )

    clock_offset = time.monotonic_ns() // 100_000 - time.time_ns() // 100_000
    warnings: list[str] = []
    try:
        configuration = read_configuration(os.environ, clock_offset, warnings.append)
    except GatewayConfigurationRejectedError as error:
        print(f"milletsill: {error.describe()}", file=sys.stderr)
        return EXIT_USAGE
    return serve(configuration, clock_offset, signals, warnings)


def _print_usage(arguments: list[str]) -> int:
    if arguments in (["--help"], ["-h"]):
        print(USAGE)
        return 0
    print("milletsill: serve takes no arguments", file=sys.stderr)
    return EXIT_USAGE


def serve(
    configuration: GatewayConfiguration,
    clock_offset: int,
    signals: SignalQueue,
    warnings: list[str],
) -> NoReturn:
    """Run the gateway and its reactor until the process ends."""
    from twisted.internet import reactor as installed_reactor
    from twisted.internet.error import CannotListenError

    from milletsill.gateway.process_setup import FREEZE_DELAY, freeze_long_lived_objects
    from milletsill.http_gateway.configuration import (
        GatewayConfigurationRejectedError,
        read_configuration,
    )
    from milletsill.http_gateway.gateway import HttpGateway
    from milletsill.http_gateway.json_log import JsonLog

    # A type checker cannot follow Twisted's interfaces.
    reactor: Any = installed_reactor
    # Twisted's timers use the wall clock, which may be set while the process runs. The
    # monotonic clock keeps all times correct, above all the end after SIGTERM.
    reactor.seconds = time.monotonic
    log = JsonLog(sys.stdout, gateway=configuration.name)
    gateway = HttpGateway(configuration, reactor, monotonic_ticks, clock_offset, log)

    def warn(text: str) -> None:
        gateway.warn("configuration", reason=text)

    def reload() -> None:
        try:
            gateway.reload(read_configuration(os.environ, clock_offset, warn))
        except GatewayConfigurationRejectedError as error:
            log.warning("configuration", **error.log_fields())

    def on_signal(number: int) -> None:
        action = reload if number == signal.SIGHUP else gateway.terminate
        reactor.callFromThread(action)

    status: list[int] = []

    def start_gateway() -> None:
        try:
            gateway.start()
            signals.set_handler(on_signal)
        except CannotListenError as error:
            print(f"milletsill: {error}", file=sys.stderr)
            status.append(EXIT_LISTEN_FAILED)
            reactor.stop()

    for text in warnings:
        warn(text)
    # All requests are answered before the gateway reports that it has stopped.
    gateway.on_stopped = lambda: reactor.callLater(0, reactor.stop)
    reactor.callWhenRunning(start_gateway)
    reactor.callLater(FREEZE_DELAY, freeze_long_lived_objects)
    reactor.run(installSignalHandlers=False)
    exit_process(status[0] if status else 0)


def exit_process(status: int) -> NoReturn:
    """End the process without the interpreter's shutdown.

    The interpreter's shutdown would free the gateway's memory object by object, which
    takes time that is short before the earliest kill. Handlers registered with `atexit`
    are not called; `serve` registers none.
    """
    with suppress(OSError, ValueError):
        sys.stdout.flush()
        sys.stderr.flush()
    os._exit(status)


def monotonic_ticks() -> int:
    """Return the time in tenths of a millisecond, rounded up.

    Rounding up makes a deadline that has passed appear as passed.
    """
    return -(-time.monotonic_ns() // 100_000)
