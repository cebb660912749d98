"""The state of one number of a channel: a table of (state, event) -> (state, effect).

No I/O and no clock. `channel_sequencer` applies the table; see docs/channels.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class NumberState(Enum):
    """State of one number of a channel."""

    ABSENT = auto()
    """The owner has no request with this number."""

    WAITING = auto()
    """A request with this number waits to be released."""

    RELEASED = auto()
    """The record says that an attempt of this number may be in flight."""

    INDETERMINATE = auto()
    """The number was released, and whether it took effect is unknown."""

    RETRY_WAITING = auto()
    """Indeterminate; its retry has arrived and waits for the quarantine's end."""

    CLOSED = auto()
    """The number is completed, skipped or superseded."""


class NumberEvent(Enum):
    """Event of one number of a channel."""

    REQUEST_RECEIVED = auto()
    """A request with this number arrived."""

    RELEASED = auto()
    """The contract's order lets the number start."""

    SETTLED = auto()
    """A node answered the attempt."""

    NEVER_RAN = auto()
    """The attempt ended, and no node executed it."""

    ANSWER_LOST = auto()
    """The attempt ended without an answer and may have run."""

    WAIT_ENDED = auto()
    """The deadline or the gap timeout passed, or the claim was lost."""

    SUPERSEDED = auto()
    """A newer number was closed (order NEWEST)."""

    QUARANTINE_ENDED = auto()
    """The quarantine ended, and a later number waits for this one."""

    RESOLVED_DONE = auto()
    """The client resolved the number as done."""

    RESOLVED_NOT_DONE = auto()
    """The client resolved the number as not done, and will send it again."""

    RESOLVED_SKIPPED = auto()
    """The client resolved the number as skipped."""


class NumberEffect(Enum):
    """Effect of a state transition."""

    NONE = auto()
    HOLD = auto()
    """The request waits for its release."""

    REPLACE = auto()
    """The request replaces the one that waited."""

    JOIN = auto()
    """The request waits for the outcome of the attempt in flight."""

    RELEASE = auto()
    """An attempt of the request starts."""

    DROP = auto()
    """The request is abandoned; the number stays open."""

    SUPERSEDE = auto()
    """The number is closed because a newer one was closed."""

    SETTLE = auto()
    """The number is closed with the node's answer."""

    REJECT = auto()
    """The request had no effect; the number may be used again."""

    FAIL = auto()
    """The request may have taken effect."""

    STAY_INDETERMINATE = auto()
    """The number is closed, and its outcome stays indeterminate."""

    MARK_DONE = auto()
    """The number is closed as done, as the client resolved it."""

    SKIP = auto()
    """The number is closed as skipped."""

    FREE_FOR_RETRY = auto()
    """The number may be used again, under another idempotency key."""


NUMBER_TRANSITIONS: Mapping[
    tuple[NumberState, NumberEvent], tuple[NumberState, NumberEffect]
] = {
    (NumberState.ABSENT, NumberEvent.REQUEST_RECEIVED): (
        NumberState.WAITING,
        NumberEffect.HOLD,
    ),
    (NumberState.ABSENT, NumberEvent.RESOLVED_SKIPPED): (
        NumberState.CLOSED,
        NumberEffect.SKIP,
    ),
    (NumberState.ABSENT, NumberEvent.SUPERSEDED): (
        NumberState.CLOSED,
        NumberEffect.NONE,
    ),
    (NumberState.WAITING, NumberEvent.REQUEST_RECEIVED): (
        NumberState.WAITING,
        NumberEffect.REPLACE,
    ),
    (NumberState.WAITING, NumberEvent.RELEASED): (
        NumberState.RELEASED,
        NumberEffect.RELEASE,
    ),
    (NumberState.WAITING, NumberEvent.WAIT_ENDED): (
        NumberState.ABSENT,
        NumberEffect.DROP,
    ),
    (NumberState.WAITING, NumberEvent.SUPERSEDED): (
        NumberState.CLOSED,
        NumberEffect.SUPERSEDE,
    ),
    (NumberState.RELEASED, NumberEvent.REQUEST_RECEIVED): (
        NumberState.RELEASED,
        NumberEffect.JOIN,
    ),
    (NumberState.RELEASED, NumberEvent.SETTLED): (
        NumberState.CLOSED,
        NumberEffect.SETTLE,
    ),
    # A rejection promises that nothing was done, so the number may be used again only
    # if no attempt can have run.
    (NumberState.RELEASED, NumberEvent.NEVER_RAN): (
        NumberState.ABSENT,
        NumberEffect.REJECT,
    ),
    (NumberState.RELEASED, NumberEvent.ANSWER_LOST): (
        NumberState.INDETERMINATE,
        NumberEffect.FAIL,
    ),
    # The retry has the same idempotency key. While nodes remember the key, it has no
    # second effect, and its answer may settle the number.
    (NumberState.INDETERMINATE, NumberEvent.REQUEST_RECEIVED): (
        NumberState.RETRY_WAITING,
        NumberEffect.HOLD,
    ),
    (NumberState.INDETERMINATE, NumberEvent.QUARANTINE_ENDED): (
        NumberState.CLOSED,
        NumberEffect.STAY_INDETERMINATE,
    ),
    (NumberState.INDETERMINATE, NumberEvent.RESOLVED_DONE): (
        NumberState.CLOSED,
        NumberEffect.MARK_DONE,
    ),
    (NumberState.INDETERMINATE, NumberEvent.RESOLVED_SKIPPED): (
        NumberState.CLOSED,
        NumberEffect.SKIP,
    ),
    (NumberState.INDETERMINATE, NumberEvent.RESOLVED_NOT_DONE): (
        NumberState.ABSENT,
        NumberEffect.FREE_FOR_RETRY,
    ),
    (NumberState.RETRY_WAITING, NumberEvent.REQUEST_RECEIVED): (
        NumberState.RETRY_WAITING,
        NumberEffect.REPLACE,
    ),
    (NumberState.RETRY_WAITING, NumberEvent.RELEASED): (
        NumberState.RELEASED,
        NumberEffect.RELEASE,
    ),
    (NumberState.RETRY_WAITING, NumberEvent.WAIT_ENDED): (
        NumberState.INDETERMINATE,
        NumberEffect.DROP,
    ),
}
"""Pairs that are missing leave the state unchanged."""

STARTED_STATES = (
    NumberState.RELEASED,
    NumberState.INDETERMINATE,
    NumberState.RETRY_WAITING,
)
"""States of a number with a released attempt that may still be running."""

INDETERMINATE_STATES = (NumberState.INDETERMINATE, NumberState.RETRY_WAITING)
"""States of a number with an indeterminate outcome."""


def transition(
    state: NumberState, event: NumberEvent
) -> tuple[NumberState, NumberEffect]:
    """Return the next state of a number and the effect of the transition."""
    return NUMBER_TRANSITIONS.get((state, event), (state, NumberEffect.NONE))
