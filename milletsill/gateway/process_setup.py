"""What every process with a gateway in it does about signals and the garbage collector."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor

SETTLED = 3.0  # seconds after a start, until what stays has been made
# Objects made, younger collections. The gateway leaves next to no circles; what others leave stays until so many are made
# (at 50,000, connections that Twisted dialled stood at 8 MB). So few are looked at in well under a millisecond.
THRESHOLDS = (5_000, 20, 100)


def settle_memory() -> None:
    """What stands for good (settings, maps, codecs, libraries) is no longer looked at by the garbage collector.

    Guards rule 1: with 33 gateways in a process full collections took 100 to 380 ms each, and answers came that much past
    their clients' patience. Harm: what is frozen and then dropped in a circle is never freed; that is little, once.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)


def on_signal(number: int, call: Callable[[], Any]) -> None:
    signal.signal(number, lambda *_: reactor.callFromThread(call))
