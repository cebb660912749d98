"""The state of a collector, when it is tried again, and which collectors get a record.

No I/O and no clock; times are ticks of 0.1 ms.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from enum import Enum, auto

from milletsill.flows.clocks import TICKS_PER_SECOND


class CollectorState(Enum):
    """Whether a collector takes records."""

    AWAY = auto()
    """Waits to be tried."""

    CONNECTING = auto()
    UP = auto()
    """Takes records."""

    BLOCKED = auto()
    """Connected, and takes no octets."""


class CollectorEvent(Enum):
    """What happens to a collector; names are logged in lower case."""

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
    # Guards against a collector that accepts and never reads: it is left for another,
    # and tried again later.
    (CollectorState.BLOCKED, CollectorEvent.OVERDUE): (
        CollectorState.AWAY,
        CollectorEffect.BACK_OFF,
    ),
}
MIN_BACKOFF = TICKS_PER_SECOND // 2
MAX_BACKOFF = 60 * TICKS_PER_SECOND
MAX_BACKOFF_DOUBLINGS = 20
BLOCKED_TIMEOUT = 5 * TICKS_PER_SECOND
"""For how long a collector may take nothing before its connection is cut."""

PROBATION = 30 * TICKS_PER_SECOND
"""For how long a collector is doubted after it came back."""


def transition(
    state: CollectorState, event: CollectorEvent
) -> tuple[CollectorState, CollectorEffect]:
    """Returns the next state and what to do.

    An event that has no entry does nothing.
    """
    unchanged = state, CollectorEffect.NONE
    return COLLECTOR_TRANSITIONS.get((state, event), unchanged)


def backoff(failures: int, uniform: Callable[[float, float], float]) -> int:
    """Returns the ticks before the next attempt.

    They double with each failure, spread at random so that gateways do not come
    together.
    """
    doubled = MIN_BACKOFF * 2 ** min(failures, MAX_BACKOFF_DOUBLINGS)
    return int(min(doubled, MAX_BACKOFF) * uniform(0.5, 1.0))


def select_all(states: Sequence[CollectorState]) -> list[int]:
    """Returns the positions of all collectors, up or not: each gets a copy."""
    return list(range(len(states)))


def select_failover(
    states: Sequence[CollectorState], doubted: Sequence[bool], current: int
) -> list[int]:
    """Returns the position of the collector that gets the next record, if there is any.

    It is the first in the operator's order that is up and not doubted, else the first
    that is up. While none is, the current one goes on gathering, so that what is kept
    lies in one queue and in order. Doubt guards against a collector that accepts and
    never reads: it is up again after each cut, and would take what its socket holds
    each time.
    """
    if not states:
        return []
    up = [
        position for position, state in enumerate(states) if state is CollectorState.UP
    ]
    trusted = [position for position in up if not doubted[position]]
    return [(trusted or up or [current])[0]]
