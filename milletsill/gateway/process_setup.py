"""Set up the signal handlers and the garbage collector of a gateway process."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor

# Seconds after the start; by then the objects that live as long as the process exist.
FREEZE_DELAY = 3.0
# Thresholds for `gc.set_threshold`: allocated objects, then younger collections. The
# gateway creates almost no reference cycles, but libraries do, and their cycles stay in
# memory until the first threshold is reached. At 50,000 objects, connections that
# Twisted had dialled took 8 MB; 5,000 objects are examined in well under 1 ms.
COLLECTOR_THRESHOLDS = (5_000, 20, 100)


def freeze_long_lived_objects() -> None:
    """Exclude the objects that live as long as the process from garbage collection.

    These are settings, maps, codecs and libraries. With 33 gateways in one process, a
    full collection took 100 to 380 ms, and answers missed their clients' deadlines by
    as much. A frozen object that later becomes part of an unreachable cycle is never
    freed; this is a small, one-time leak.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def install_signal_handler(number: int, call: Callable[[], Any]) -> None:
    """Call in the reactor's thread whenever the process receives the signal."""
    signal.signal(number, lambda *_: reactor.callFromThread(call))
