"""The states of a gateway, and which commands are accepted in them.

The module has a transition table and pure functions. Times are in tenths of a
millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class GatewayState(Enum):
    """The state of one gateway."""

    STARTING = auto()
    SERVING = auto()
    DRAINING = auto()  # answers accepted commands, rejects new ones
    STOPPED = auto()


class GatewayEvent(Enum):
    """The events of a gateway."""

    ENDPOINTS_LOADED = auto()  # the cached endpoint list was read
    TERMINATE = auto()  # SIGTERM or SIGINT
    DRAINED = auto()
    DRAIN_TIMEOUT = auto()


class GatewayEffect(Enum):
    """The action that follows an event."""

    NONE = auto()
    LISTEN = auto()
    DRAIN = auto()
    STOP = auto()


GatewayTransition = tuple[GatewayState, GatewayEffect]
GATEWAY_TABLE: Mapping[tuple[GatewayState, GatewayEvent], GatewayTransition] = {
    (GatewayState.STARTING, GatewayEvent.ENDPOINTS_LOADED): (
        GatewayState.SERVING,
        GatewayEffect.LISTEN,
    ),
    (GatewayState.STARTING, GatewayEvent.TERMINATE): (
        GatewayState.STOPPED,
        GatewayEffect.STOP,
    ),
    (GatewayState.SERVING, GatewayEvent.TERMINATE): (
        GatewayState.DRAINING,
        GatewayEffect.DRAIN,
    ),
    **{
        # A second signal stops the gateway immediately.
        (GatewayState.DRAINING, event): (GatewayState.STOPPED, GatewayEffect.STOP)
        for event in (
            GatewayEvent.DRAINED,
            GatewayEvent.DRAIN_TIMEOUT,
            GatewayEvent.TERMINATE,
        )
    },
}


def next_gateway_state(state: GatewayState, event: GatewayEvent) -> GatewayTransition:
    """Return the next state and the effect.

    An event that is not in the table changes nothing.
    """
    return GATEWAY_TABLE.get((state, event), (state, GatewayEffect.NONE))


def refusal_reason(
    state: GatewayState, unanswered: int, max_unanswered: int, time_left: int
) -> str:
    """Return why a command is not passed to the scheduler, or "" if it is.

    A command that is refused here is not executed, so a rejection is always correct.
    """
    if state is not GatewayState.SERVING:
        return "this gateway is starting or shutting down"
    if unanswered >= max_unanswered:
        return "this gateway has reached its limit of unanswered requests"
    return (
        "the client timeout leaves no time to execute the command"
        if time_left <= 0
        else ""
    )


def client_deadline(
    arrived: int, class_timeout: int, client_timeout: int, margin: int
) -> int:
    """Return the time by which a command must be answered.

    Args:
        arrived: the earliest time at which the command may have arrived.
        class_timeout: the client timeout of its request class.
        client_timeout: the timeout that the client sent, 0 for none. The shorter
            timeout applies.
        margin: how long before the end of the timeout the answer is sent.
    """
    return arrived + min(class_timeout, client_timeout or class_timeout) - margin
