"""The life of the gateway's process, from its start to the end after SIGTERM.

A table and pure functions: no I/O, no clock. Times are tenths of a millisecond.

    STARTING -> SERVING -SIGTERM-> LEAVING -> SHUTTING -> DRAINING -> STOPPED
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto


class ProcessState(Enum):
    """The state of the process."""

    STARTING = auto()
    SERVING = auto()
    LEAVING = auto()  # requests are taken and answered as before
    SHUTTING = auto()  # what is read is rejected
    DRAINING = auto()  # our side of every connection is closed; clients are heard out
    STOPPED = auto()


class ProcessEvent(Enum):
    """What happens to the process."""

    LISTENING = auto()
    TERMINATE = auto()
    SHUT = auto()
    DRAIN = auto()
    NO_CLIENTS = auto()
    OVERDUE = auto()


class ProcessEffect(Enum):
    """What is to be done after an event."""

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
    (ProcessState.LEAVING, ProcessEvent.SHUT): (
        ProcessState.SHUTTING,
        ProcessEffect.CLOSE_AFTER_ANSWERS,
    ),
    (ProcessState.SHUTTING, ProcessEvent.DRAIN): (
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
            ProcessState.SHUTTING,
            ProcessState.DRAINING,
        )
    },
}
# After SIGTERM the platform kills no sooner than the longest client time-out, counted
# as LONGEST_COUNTED at most, and this much.
KILL_MARGIN = 7_000
LONGEST_COUNTED = 30_000
# The process is away this long before that.
SHUTDOWN_TIME = 2_000
# What came unread by the time of SHUT, or comes then, is read and rejected for so long:
# some turns of a busy reactor.
REJECT_TIME = 500
# Clients are heard out for so long behind the end of our side: a close over unread
# octets would reset the connection and tear an answer.
DRAIN_TIME = 600


def serving_time_after_term(longest_timeout: int) -> int:
    """Return how long after SIGTERM requests are taken and answered.

    Clients use the connections that they have for as long as these stand, and have no
    others: closed early, they only fail. Where the platform restarts a gateway as soon
    as it ends, it is back later than it could be.
    """
    counted = min(longest_timeout, LONGEST_COUNTED)
    return max(counted + KILL_MARGIN - SHUTDOWN_TIME, 0)


def shutdown_schedule(longest_timeout: int) -> tuple[tuple[int, ProcessEvent], ...]:
    """Return every step after SIGTERM with its time from then; none comes later."""
    shut = serving_time_after_term(longest_timeout)
    return (
        (shut, ProcessEvent.SHUT),
        (shut + REJECT_TIME, ProcessEvent.DRAIN),
        (shut + REJECT_TIME + DRAIN_TIME, ProcessEvent.OVERDUE),
    )


def next_process_state(state: ProcessState, event: ProcessEvent) -> Transition:
    """Return the next state and what to do.

    An event not in the table changes nothing.
    """
    return PROCESS_TABLE.get((state, event), (state, ProcessEffect.NONE))
