"""Detect that the process was stalled, and what is unreliable after a stall.

A stall is a time in which the process did not run: it was stopped, starved of CPU time
or in a long garbage collection. These are pure functions without I/O and without a
clock of their own. Times are ticks (tenths of a millisecond).
"""

from __future__ import annotations

# A timer that runs later than this indicates a stall, after which unread answers may be
# waiting in the sockets. In ticks.
STALL_THRESHOLD = 200
# The interval at which a process checks for a stall. In ticks.
STALL_CHECK_INTERVAL = 500


def must_read_sockets_first(late: int, deferred: bool) -> bool:
    """Return whether overdue timers must wait until the sockets have been read once.

    After a stall, answers that arrived in time are unread in the sockets, so their
    timeouts must not fire before they are read. Timers are deferred at most once.
    """
    return late > STALL_THRESHOLD and not deferred


def earliest_arrival(now: int, check_due: int, last_check: int) -> int | None:
    """Return the earliest time at which bytes that are read now may have arrived.

    Return None if there was no stall, so that they arrived just now. A client counts
    its timeout from its own send; without this correction, a request that arrived
    during a stall would be answered after its client's deadline. A request that arrived
    at the very end of a stall is given up earlier than necessary.
    """
    return last_check if now - check_due > STALL_THRESHOLD else None
