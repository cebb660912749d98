"""The state machine of an outbound stream.

It performs no I/O. Times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import NamedTuple

CONNECT_TIMEOUT = 15_000
# After a failed connection attempt; sends are refused until the backoff ends.
BACKOFF = 3000
# A stream that sends nothing for this long is closed.
IDLE_TIMEOUT = 300_000
# A stream that cannot write for this long is aborted.
BLOCKED_TIMEOUT = 50_000


class StreamState(Enum):
    """The state of an outbound stream."""

    CONNECTING = auto()
    OPEN = auto()
    BLOCKED = auto()  # the socket's send buffer is full
    BACKING_OFF = auto()  # the connection attempt failed, and the next one must wait
    CLOSED = auto()


class StreamEvent(Enum):
    """An event that changes the state of an outbound stream."""

    CONNECTED = auto()
    CONNECT_FAILED = auto()
    BUFFER_FULL = auto()
    BUFFER_DRAINED = auto()
    IDLE = auto()
    TIMED_OUT = auto()  # the backoff is over, or the stream was blocked for too long
    CONNECTION_LOST = auto()
    MEMBER_GONE = auto()


class StreamAction(Enum):
    """The action that a transition requires."""

    NONE = auto()
    FLUSH = auto()  # write the waiting frames
    DISCARD_WAITING = auto()  # discard the waiting frames and restart the timeout
    RECORD_TIME = auto()  # restart the timeout
    CLOSE = auto()  # close once the written data has been sent
    ABORT = auto()
    REMOVE = auto()  # remove a stream whose connection has already ended


class StreamTransition(NamedTuple):
    """The state after an event, and the action to perform."""

    state: StreamState
    action: StreamAction


_CONNECTED_STATES = (StreamState.OPEN, StreamState.BLOCKED)

# (state, event) -> transition; a pair that is not listed changes nothing.
STREAM_TRANSITIONS: Mapping[tuple[StreamState, StreamEvent], StreamTransition] = {
    (StreamState.CONNECTING, StreamEvent.CONNECTED): StreamTransition(
        StreamState.OPEN, StreamAction.FLUSH
    ),
    (StreamState.CONNECTING, StreamEvent.CONNECT_FAILED): StreamTransition(
        StreamState.BACKING_OFF, StreamAction.DISCARD_WAITING
    ),
    (StreamState.OPEN, StreamEvent.BUFFER_FULL): StreamTransition(
        StreamState.BLOCKED, StreamAction.RECORD_TIME
    ),
    (StreamState.BLOCKED, StreamEvent.BUFFER_DRAINED): StreamTransition(
        StreamState.OPEN, StreamAction.FLUSH
    ),
    (StreamState.OPEN, StreamEvent.IDLE): StreamTransition(
        StreamState.CLOSED, StreamAction.CLOSE
    ),
    # Ends a half-open stream, on which frames would wait without being delivered.
    # Trade-off: a member that stalls for that long loses the frames that wait for it.
    (StreamState.BLOCKED, StreamEvent.TIMED_OUT): StreamTransition(
        StreamState.CLOSED, StreamAction.ABORT
    ),
    (StreamState.BACKING_OFF, StreamEvent.TIMED_OUT): StreamTransition(
        StreamState.CLOSED, StreamAction.REMOVE
    ),
    **{
        (state, StreamEvent.CONNECTION_LOST): StreamTransition(
            StreamState.CLOSED, StreamAction.REMOVE
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


def due_event(state: StreamState, now: int, timer_start: int) -> StreamEvent | None:
    """Return the event for a timeout that has expired, or None.

    Args:
        state: The stream's state.
        now: The current time.
        timer_start: The time of the last flush, or the time at which the backoff began
            or the stream became blocked.
    """
    elapsed = now - timer_start
    if state is StreamState.OPEN and elapsed >= IDLE_TIMEOUT:
        return StreamEvent.IDLE
    if state is StreamState.BACKING_OFF and elapsed >= BACKOFF:
        return StreamEvent.TIMED_OUT
    if state is StreamState.BLOCKED and elapsed >= BLOCKED_TIMEOUT:
        return StreamEvent.TIMED_OUT
    return None
