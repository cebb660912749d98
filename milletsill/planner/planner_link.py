"""The state of a gateway's link to the planner, as a table."""

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
    GREETED = auto()  # connected, the planner has not answered
    PLANNED = auto()  # grants come


class LinkEvent(Enum):
    """What happens to the link."""

    CONNECTED = auto()
    WELCOMED = auto()
    EPOCH_STALE = auto()
    REJECTED = auto()
    LOST = auto()
    TIMED_OUT = auto()


class LinkAction(Enum):
    """What to do about it."""

    NOTHING = auto()
    SEND_HELLO = auto()
    SEND_REQUESTS = auto()
    REJECT_PLANNER = auto()
    ABORT = auto()
    RECONNECT = auto()


LinkStep = tuple[LinkState, LinkAction]

# What is not in the table changes nothing.
LINK_TRANSITIONS: Mapping[tuple[LinkState, LinkEvent], LinkStep] = {
    (LinkState.DOWN, LinkEvent.CONNECTED): (LinkState.GREETED, LinkAction.SEND_HELLO),
    (LinkState.GREETED, LinkEvent.WELCOMED): (
        LinkState.PLANNED,
        LinkAction.SEND_REQUESTS,
    ),
    # A planner that came back with an old state, or a copy of one, is told the newest
    # epoch.
    (LinkState.GREETED, LinkEvent.EPOCH_STALE): (
        LinkState.DOWN,
        LinkAction.REJECT_PLANNER,
    ),
    (LinkState.PLANNED, LinkEvent.EPOCH_STALE): (
        LinkState.DOWN,
        LinkAction.REJECT_PLANNER,
    ),
    (LinkState.GREETED, LinkEvent.REJECTED): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.PLANNED, LinkEvent.REJECTED): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.GREETED, LinkEvent.TIMED_OUT): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.PLANNED, LinkEvent.TIMED_OUT): (LinkState.DOWN, LinkAction.ABORT),
    (LinkState.GREETED, LinkEvent.LOST): (LinkState.DOWN, LinkAction.RECONNECT),
    (LinkState.PLANNED, LinkEvent.LOST): (LinkState.DOWN, LinkAction.RECONNECT),
}


def next_link_state(state: LinkState, event: LinkEvent) -> LinkStep:
    """Read the table."""
    return LINK_TRANSITIONS.get((state, event), (state, LinkAction.NOTHING))


def reconnect_delay(failures: int, jitter: float) -> int:
    """Return the pause before the next attempt to connect.

    Args:
        failures: Attempts that failed in a row.
        jitter: From 0 to 1; spreads the gateways after a planner's restart.
    """
    delay = MIN_RECONNECT_DELAY * 2 ** min(failures, MAX_DOUBLINGS)
    return int(min(delay, MAX_RECONNECT_DELAY) * (0.5 + jitter / 2))
