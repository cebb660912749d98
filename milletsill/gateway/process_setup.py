"""Signals and the garbage collector of a process with a gateway in it."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor

# Seconds after a start, until the objects that live as long as the process are made.
FREEZE_DELAY = 3.0
# Objects made, younger collections. The gateway leaves next to no reference cycles;
# those of others stay until so many objects are made (at 50,000, connections that
# Twisted dialled stood at 8 MB). So few are examined in well under a millisecond.
COLLECTOR_THRESHOLDS = (5_000, 20, 100)


def freeze_long_lived_objects() -> None:
    """Keep the garbage collector from examining what lives as long as the process.

    Settings, maps, codecs and libraries are frozen. With 33 gateways in one process a
    full collection took 100 to 380 ms, and answers came that much after their clients'
    deadlines (rule 1). A frozen object that is dropped in a cycle later is never freed;
    that is little, once.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def install_signal_handler(number: int, call: Callable[[], Any]) -> None:
    """Make a call in the reactor's thread whenever the process gets a signal."""
    signal.signal(number, lambda *_: reactor.callFromThread(call))
