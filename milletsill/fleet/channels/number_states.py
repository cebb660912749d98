"""The state of one number of a channel: a table of (state, event) -> (state, effect).

No I/O and no clock. `channel_sequencer` applies the table; see docs/channels.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class NumberState(Enum):
    """What a channel knows of one number."""

    ABSENT = auto()
    """No request with it is here."""

    WAITING = auto()
    """A request with it waits to be released."""

    RELEASED = auto()
    """The record says that an attempt of it may be in flight."""

    INDETERMINATE = auto()
    """It was released, and nobody knows whether it took effect."""

    RETRY_WAITING = auto()
    """Indeterminate; its request has come again and waits out the quarantine."""

    CLOSED = auto()
    """It is over."""


class NumberEvent(Enum):
    """What happens to one number."""

    REQUEST_RECEIVED = auto()
    """A request with it has come."""

    RELEASED = auto()
    """Its order lets it start."""

    SETTLED = auto()
    """A node answered."""

    NEVER_RAN = auto()
    """Its attempt came back, and no node began it."""

    ANSWER_LOST = auto()
    """Its attempt ended without an answer and may have run."""

    WAIT_ENDED = auto()
    """Its deadline, the wait for a gap or its claim is over."""

    SUPERSEDED = auto()
    """A newer number is settled."""

    QUARANTINE_ENDED = auto()
    """Its quarantine is over, and others wait behind it."""

    RESOLVED_DONE = auto()
    """The client says that it was done."""

    RESOLVED_NOT_DONE = auto()
    """The client says that it was not done, and will send it again."""

    RESOLVED_SKIPPED = auto()
    """The client says that it is left out."""


class NumberEffect(Enum):
    """What follows from an event."""

    NONE = auto()
    HOLD = auto()
    """The request waits."""

    REPLACE = auto()
    """The request waits in place of the one before."""

    JOIN = auto()
    """The request waits for the end of the one in flight."""

    RELEASE = auto()
    """The request starts."""

    DROP = auto()
    """The request is given up; the number stays open."""

    SUPERSEDE = auto()
    """The number is closed by a newer one."""

    SETTLE = auto()
    """The number is closed with the node's answer."""

    REJECT = auto()
    """Nothing was done; the number is free again."""

    FAIL = auto()
    """It may have been done."""

    STAY_INDETERMINATE = auto()
    """The number is closed, and its outcome stays indeterminate."""

    MARK_DONE = auto()
    """The number is closed as done, by the client's word."""

    SKIP = auto()
    """The number is closed as left out."""

    FREE_FOR_RETRY = auto()
    """The number is free again, under another idempotency key."""


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
    # Guards against a rejection that was no promise: only where no attempt can have
    # run is the number free again.
    (NumberState.RELEASED, NumberEvent.NEVER_RAN): (
        NumberState.ABSENT,
        NumberEffect.REJECT,
    ),
    (NumberState.RELEASED, NumberEvent.ANSWER_LOST): (
        NumberState.INDETERMINATE,
        NumberEffect.FAIL,
    ),
    # The same idempotency key again, for as long as nodes remember it: no second
    # effect, and perhaps an outcome that is known.
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
"""What is not here changes nothing."""

STARTED_STATES = (
    NumberState.RELEASED,
    NumberState.INDETERMINATE,
    NumberState.RETRY_WAITING,
)
"""States of a number of which an attempt was released and is not known to be over."""

INDETERMINATE_STATES = (NumberState.INDETERMINATE, NumberState.RETRY_WAITING)
"""States of a number whose outcome nobody knows."""


def transition(
    state: NumberState, event: NumberEvent
) -> tuple[NumberState, NumberEffect]:
    """The next state of a number, and what follows."""
    return NUMBER_TRANSITIONS.get((state, event), (state, NumberEffect.NONE))
