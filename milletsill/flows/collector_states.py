"""The states of a collector, its backoff, and the choice of collectors for a record.

This module does no I/O and reads no clock; times are ticks of 0.1 ms.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from enum import Enum, auto

from milletsill.flows.clocks import TICKS_PER_SECOND


class CollectorState(Enum):
    """The state of the connection to a collector."""

    AWAY = auto()
    """Not connected; the next attempt is scheduled."""

    CONNECTING = auto()
    UP = auto()
    """Connected and accepting data."""

    BLOCKED = auto()
    """Connected, but the send buffer is full."""


class CollectorEvent(Enum):
    """Events of the connection to a collector; names are logged in lower case."""

    DUE = auto()
    CONNECTED = auto()
    FAILED = auto()
    LOST = auto()
    FULL = auto()
    DRAINED = auto()
    OVERDUE = auto()


class CollectorEffect(Enum):
    """What the sender does on a transition."""

    NONE = auto()
    CONNECT = auto()
    START_STREAM = auto()
    SEND = auto()
    BACK_OFF = auto()


COLLECTOR_TRANSITIONS: Mapping[
    tuple[CollectorState, CollectorEvent], tuple[CollectorState, CollectorEffect]
] = {
    (CollectorState.AWAY, CollectorEvent.DUE): (
        CollectorState.CONNECTING,
        CollectorEffect.CONNECT,
    ),
    (CollectorState.CONNECTING, CollectorEvent.CONNECTED): (
        CollectorState.UP,
        CollectorEffect.START_STREAM,
    ),
    (CollectorState.CONNECTING, CollectorEvent.FAILED): (
        CollectorState.AWAY,
        CollectorEffect.BACK_OFF,
    ),
    (CollectorState.CONNECTING, CollectorEvent.LOST): (
        CollectorState.AWAY,
        CollectorEffect.BACK_OFF,
    ),
    (CollectorState.UP, CollectorEvent.LOST): (
        CollectorState.AWAY,
        CollectorEffect.BACK_OFF,
    ),
    (CollectorState.BLOCKED, CollectorEvent.LOST): (
        CollectorState.AWAY,
        CollectorEffect.BACK_OFF,
    ),
    (CollectorState.UP, CollectorEvent.FULL): (
        CollectorState.BLOCKED,
        CollectorEffect.NONE,
    ),
    (CollectorState.BLOCKED, CollectorEvent.DRAINED): (
        CollectorState.UP,
        CollectorEffect.SEND,
    ),
    # Guards against a collector that accepts the connection and never reads: records go
    # to another collector, and this one is tried again later.
    (CollectorState.BLOCKED, CollectorEvent.OVERDUE): (
        CollectorState.AWAY,
        CollectorEffect.BACK_OFF,
    ),
}
MIN_BACKOFF = TICKS_PER_SECOND // 2
MAX_BACKOFF = 60 * TICKS_PER_SECOND
MAX_BACKOFF_DOUBLINGS = 20
BLOCKED_TIMEOUT = 5 * TICKS_PER_SECOND
"""Ticks that a send buffer may stay full before the connection is aborted."""

PROBATION = 30 * TICKS_PER_SECOND
"""Ticks for which a collector must be up after a failure to be preferred again."""


def transition(
    state: CollectorState, event: CollectorEvent
) -> tuple[CollectorState, CollectorEffect]:
    """Return the next state and the effect.

    An event without an entry in COLLECTOR_TRANSITIONS changes nothing.
    """
    unchanged = state, CollectorEffect.NONE
    return COLLECTOR_TRANSITIONS.get((state, event), unchanged)


def backoff(failures: int, uniform: Callable[[float, float], float]) -> int:
    """Return the ticks before the next connection attempt.

    The time doubles with each failure, with random jitter so that gateways do not
    reconnect at the same time.
    """
    doubled = MIN_BACKOFF * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS)
    return int(min(doubled, MAX_BACKOFF) * uniform(0.5, 1.0))


def select_all(states: Sequence[CollectorState]) -> list[int]:
    """Return the positions of all collectors, up or not: each gets a copy."""
    return list(range(len(states)))


def select_failover(
    states: Sequence[CollectorState], on_probation: Sequence[bool], current: int
) -> list[int]:
    """Return the position of the collector that gets the next record, if there is one.

    It is the first collector in the order of the settings that is up and not on
    probation, or else the first that is up. If none is up, records go to the queue of
    the current one, so that they stay in one queue and in order. Probation guards
    against a collector that accepts connections and never reads: it is up again after
    each aborted connection, and each time the records in its socket buffer would be
    lost.
    """
    if not states:
        return []
    up = [
        position for position, state in enumerate(states) if state is CollectorState.UP
    ]
    preferred = [position for position in up if not on_probation[position]]
    return [(preferred or up or [current])[0]]
