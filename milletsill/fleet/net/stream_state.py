"""The state machine of an outbound stream. Pure; times are tenths of a millisecond."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import NamedTuple

CONNECT_TIMEOUT = 15_000
# After a connection that failed; what is sent meanwhile cannot be tried.
BACKOFF = 3000
# Without a message to send a stream is closed.
IDLE_TIMEOUT = 300_000
# Octets that are not taken for so long: the stream is aborted.
BLOCKED_TIMEOUT = 50_000


class StreamState(Enum):
    """What an outbound stream is at."""

    CONNECTING = auto()
    OPEN = auto()
    BLOCKED = auto()  # the other side does not take octets
    BACKING_OFF = auto()  # it was not reached and is not tried for a while
    CLOSED = auto()


class StreamEvent(Enum):
    """What an outbound stream reacts to."""

    CONNECTED = auto()
    CONNECT_FAILED = auto()
    BUFFER_FULL = auto()
    BUFFER_DRAINED = auto()
    IDLE = auto()
    TIMED_OUT = auto()  # a backoff is over, or it was blocked for too long
    CONNECTION_LOST = auto()
    MEMBER_GONE = auto()


class StreamAction(Enum):
    """What a transition wants done."""

    NONE = auto()
    FLUSH = auto()  # write what waits
    DISCARD_WAITING = auto()
    NOTE_TIME = auto()
    CLOSE = auto()  # once what was written is out
    ABORT = auto()
    FORGET = auto()


class StreamTransition(NamedTuple):
    """The state after an event, and what to do."""

    state: StreamState
    action: StreamAction


_CONNECTED_STATES = (StreamState.OPEN, StreamState.BLOCKED)

# (state, event) -> transition; what is not here changes nothing.
STREAM_TRANSITIONS: Mapping[tuple[StreamState, StreamEvent], StreamTransition] = {
    (StreamState.CONNECTING, StreamEvent.CONNECTED): StreamTransition(
        StreamState.OPEN, StreamAction.FLUSH
    ),
    (StreamState.CONNECTING, StreamEvent.CONNECT_FAILED): StreamTransition(
        StreamState.BACKING_OFF, StreamAction.DISCARD_WAITING
    ),
    (StreamState.OPEN, StreamEvent.BUFFER_FULL): StreamTransition(
        StreamState.BLOCKED, StreamAction.NOTE_TIME
    ),
    (StreamState.BLOCKED, StreamEvent.BUFFER_DRAINED): StreamTransition(
        StreamState.OPEN, StreamAction.FLUSH
    ),
    (StreamState.OPEN, StreamEvent.IDLE): StreamTransition(
        StreamState.CLOSED, StreamAction.CLOSE
    ),
    # Guards what is sent against a half-open stream. Cost: a member that stalls
    # for that long loses what waited for it.
    (StreamState.BLOCKED, StreamEvent.TIMED_OUT): StreamTransition(
        StreamState.CLOSED, StreamAction.ABORT
    ),
    (StreamState.BACKING_OFF, StreamEvent.TIMED_OUT): StreamTransition(
        StreamState.CLOSED, StreamAction.FORGET
    ),
    **{
        (state, StreamEvent.CONNECTION_LOST): StreamTransition(
            StreamState.CLOSED, StreamAction.FORGET
        )
        for state in _CONNECTED_STATES
    },
    **{
        (state, StreamEvent.MEMBER_GONE): StreamTransition(
            StreamState.CLOSED, StreamAction.ABORT
        )
        for state in StreamState
        if state is not StreamState.CLOSED
    },
}


def next_transition(state: StreamState, event: StreamEvent) -> StreamTransition:
    """Return the transition for an event."""
    unchanged = StreamTransition(state, StreamAction.NONE)
    return STREAM_TRANSITIONS.get((state, event), unchanged)


def due_event(state: StreamState, now: int, since: int) -> StreamEvent | None:
    """Return what the passing of time means, if anything.

    Args:
        state: The stream's state.
        now: The time.
        since: The last message sent, or when a backoff began or the stream blocked.
    """
    elapsed = now - since
    if state is StreamState.OPEN and elapsed >= IDLE_TIMEOUT:
        return StreamEvent.IDLE
    if state is StreamState.BACKING_OFF and elapsed >= BACKOFF:
        return StreamEvent.TIMED_OUT
    if state is StreamState.BLOCKED and elapsed >= BLOCKED_TIMEOUT:
        return StreamEvent.TIMED_OUT
    return None
