"""The states of the gateway's process, and what is admitted in them.

A table and pure functions: no I/O, no clock. Times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class GatewayState(Enum):
    """The state of one gateway."""

    STARTING = auto()
    SERVING = auto()
    DRAINING = auto()  # what is unanswered is answered, nothing new is taken
    STOPPED = auto()


class GatewayEvent(Enum):
    """What happens to a gateway."""

    LISTED = auto()  # the cached endpoint list was read
    TERM = auto()
    EMPTY = auto()
    OVERDUE = auto()


class GatewayEffect(Enum):
    """What is to be done after an event."""

    NONE = auto()
    LISTEN = auto()
    DRAIN = auto()
    STOP = auto()


GatewayTransition = tuple[GatewayState, GatewayEffect]
GATEWAY_TABLE: Mapping[tuple[GatewayState, GatewayEvent], GatewayTransition] = {
    (GatewayState.STARTING, GatewayEvent.LISTED): (
        GatewayState.SERVING,
        GatewayEffect.LISTEN,
    ),
    (GatewayState.STARTING, GatewayEvent.TERM): (
        GatewayState.STOPPED,
        GatewayEffect.STOP,
    ),
    (GatewayState.SERVING, GatewayEvent.TERM): (
        GatewayState.DRAINING,
        GatewayEffect.DRAIN,
    ),
    **{
        # A second SIGTERM stops at once.
        (GatewayState.DRAINING, event): (GatewayState.STOPPED, GatewayEffect.STOP)
        for event in (GatewayEvent.EMPTY, GatewayEvent.OVERDUE, GatewayEvent.TERM)
    },
}


def next_gateway_state(state: GatewayState, event: GatewayEvent) -> GatewayTransition:
    """Return the next state and what to do.

    An event not in the table changes nothing.
    """
    return GATEWAY_TABLE.get((state, event), (state, GatewayEffect.NONE))


def refusal_reason(
    state: GatewayState, unanswered: int, max_unanswered: int, time_left: int
) -> str:
    """Return why a command is not handed to the scheduler, "" where it is.

    What is refused here was never taken, so a rejection is always true.
    """
    if state is not GatewayState.SERVING:
        return "this gateway is going down"
    if unanswered >= max_unanswered:
        return "this gateway holds all that it may"
    return "the patience left is too short" if time_left <= 0 else ""


def client_deadline(
    arrived: int, class_timeout: int, client_timeout: int, margin: int
) -> int:
    """Return until when a command has to be answered.

    Args:
        arrived: when the command may have come.
        class_timeout: the operator's time-out of its request class.
        client_timeout: the client's own, 0 for none told; the lesser counts.
        margin: by which the answer leaves earlier than that.
    """
    return arrived + min(class_timeout, client_timeout or class_timeout) - margin
