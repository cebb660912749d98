"""State machine of the gateway's process, from its start to the end after SIGTERM.

The module consists of a transition table and pure functions: it performs no I/O and
reads no clock. Times are tenths of a millisecond.

    STARTING -> SERVING -SIGTERM-> LEAVING -> REJECTING -> DRAINING -> STOPPED
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class ProcessState(Enum):
    """The state of the process."""

    STARTING = auto()
    SERVING = auto()
    LEAVING = auto()  # after SIGTERM; requests are still accepted and answered
    REJECTING = auto()  # new requests are rejected
    DRAINING = auto()  # the gateway's side of every connection is closed
    STOPPED = auto()


class ProcessEvent(Enum):
    """What happens to the process."""

    LISTENING = auto()
    TERMINATE = auto()
    START_REJECTING = auto()
    DRAIN = auto()
    NO_CLIENTS = auto()
    OVERDUE = auto()  # the drain time has ended


class ProcessEffect(Enum):
    """The action that follows an event."""

    NONE = auto()
    SCHEDULE_SHUTDOWN = auto()
    CLOSE_AFTER_ANSWERS = auto()
    STOP_LISTENING = auto()
    STOP = auto()


Transition = tuple[ProcessState, ProcessEffect]
PROCESS_TABLE: Mapping[tuple[ProcessState, ProcessEvent], Transition] = {
    (ProcessState.STARTING, ProcessEvent.LISTENING): (
        ProcessState.SERVING,
        ProcessEffect.NONE,
    ),
    (ProcessState.STARTING, ProcessEvent.TERMINATE): (
        ProcessState.STOPPED,
        ProcessEffect.STOP,
    ),
    (ProcessState.SERVING, ProcessEvent.TERMINATE): (
        ProcessState.LEAVING,
        ProcessEffect.SCHEDULE_SHUTDOWN,
    ),
    (ProcessState.LEAVING, ProcessEvent.START_REJECTING): (
        ProcessState.REJECTING,
        ProcessEffect.CLOSE_AFTER_ANSWERS,
    ),
    (ProcessState.REJECTING, ProcessEvent.DRAIN): (
        ProcessState.DRAINING,
        ProcessEffect.STOP_LISTENING,
    ),
    (ProcessState.DRAINING, ProcessEvent.NO_CLIENTS): (
        ProcessState.STOPPED,
        ProcessEffect.STOP,
    ),
    **{
        (state, ProcessEvent.OVERDUE): (ProcessState.STOPPED, ProcessEffect.STOP)
        for state in (
            ProcessState.LEAVING,
            ProcessState.REJECTING,
            ProcessState.DRAINING,
        )
    },
}
# The deployment platform kills the process no sooner after SIGTERM than the longest
# client time-out, of which at most MAX_COUNTED_TIMEOUT counts, plus this margin.
KILL_MARGIN = 7_000
MAX_COUNTED_TIMEOUT = 30_000
# Part of that time that is reserved for the shutdown after the last accepted request.
SHUTDOWN_TIME = 2_000
# Time in which requests that arrived unread, or that still arrive, are read and
# rejected: some turns of a busy reactor.
REJECT_TIME = 500
# Time for which clients' octets are still read after the gateway's side is closed. A
# close with unread octets would reset the connection, which can lose an answer.
DRAIN_TIME = 600


def serving_time_after_term(longest_timeout: int) -> int:
    """Return how long after SIGTERM requests are accepted and answered.

    Clients use their connections for as long as these are open and have no others, so
    an early close would only make requests fail. The cost is that a gateway which the
    platform restarts at its exit returns later than it could.
    """
    counted = min(longest_timeout, MAX_COUNTED_TIMEOUT)
    return max(counted + KILL_MARGIN - SHUTDOWN_TIME, 0)


def shutdown_schedule(longest_timeout: int) -> tuple[tuple[int, ProcessEvent], ...]:
    """Return all shutdown steps, each with its time after SIGTERM, in order."""
    reject_at = serving_time_after_term(longest_timeout)
    return (
        (reject_at, ProcessEvent.START_REJECTING),
        (reject_at + REJECT_TIME, ProcessEvent.DRAIN),
        (reject_at + REJECT_TIME + DRAIN_TIME, ProcessEvent.OVERDUE),
    )


def next_process_state(state: ProcessState, event: ProcessEvent) -> Transition:
    """Return the next state and the action to perform.

    An event without a table entry changes nothing.
    """
    return PROCESS_TABLE.get((state, event), (state, ProcessEffect.NONE))
