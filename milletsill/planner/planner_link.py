"""State machine of a gateway's link to the planner."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto

from milletsill.planner.quota_terms import SECOND

MIN_RECONNECT_DELAY = SECOND // 10
MAX_RECONNECT_DELAY = 5 * SECOND
MAX_DOUBLINGS = 20


class LinkState(Enum):
    """State of the link."""

    DOWN = auto()
    HELLO_SENT = auto()  # connected; the planner has not answered the hello
    ESTABLISHED = auto()  # the planner accepted this gateway and sends grants


class LinkEvent(Enum):
    """An event of the link."""

    CONNECTED = auto()
    WELCOMED = auto()
    EPOCH_STALE = auto()
    REJECTED = auto()
    LOST = auto()
    TIMED_OUT = auto()


class LinkAction(Enum):
    """What the session does after an event."""

    NOTHING = auto()
    SEND_HELLO = auto()
    SEND_REQUESTS = auto()
    REJECT_PLANNER = auto()
    ABORT = auto()
    RECONNECT = auto()


LinkStep = tuple[LinkState, LinkAction]

# An event that has no entry for a state leaves the state unchanged.
LINK_TRANSITIONS: Mapping[tuple[LinkState, LinkEvent], LinkStep] = {
    (LinkState.DOWN, LinkEvent.CONNECTED): (
        LinkState.HELLO_SENT,
        LinkAction.SEND_HELLO,
    ),
    (LinkState.HELLO_SENT, LinkEvent.WELCOMED): (
        LinkState.ESTABLISHED,
        LinkAction.SEND_REQUESTS,
    ),
    # A planner that restarted from old state, or from a copy of it, is told the newest
    # epoch.
    (LinkState.HELLO_SENT, LinkEvent.EPOCH_STALE): (
        LinkState.DOWN,
        LinkAction.REJECT_PLANNER,
    ),
    (LinkState.ESTABLISHED, LinkEvent.EPOCH_STALE): (
        LinkState.DOWN,
        LinkAction.REJECT_PLANNER,
    ),
    (LinkState.HELLO_SENT, LinkEvent.REJECTED): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.ESTABLISHED, LinkEvent.REJECTED): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.HELLO_SENT, LinkEvent.TIMED_OUT): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.ESTABLISHED, LinkEvent.TIMED_OUT): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.HELLO_SENT, LinkEvent.LOST): (LinkState.DOWN, LinkAction.RECONNECT),
    (LinkState.ESTABLISHED, LinkEvent.LOST): (LinkState.DOWN, LinkAction.RECONNECT),
}


def next_link_state(state: LinkState, event: LinkEvent) -> LinkStep:
    """Return the next state and the action for an event."""
    return LINK_TRANSITIONS.get((state, event), (state, LinkAction.NOTHING))


def reconnect_delay(failures: int, jitter: float) -> int:
    """Return the delay before the next attempt to connect, by exponential backoff.

    Args:
        failures: Consecutive failed attempts.
        jitter: From 0 to 1; spreads the reconnects of gateways after a planner's
            restart.
    """
    delay = MIN_RECONNECT_DELAY * 2 ** min(failures, MAX_DOUBLINGS)
    return int(min(delay, MAX_RECONNECT_DELAY) * (0.5 + jitter / 2))
