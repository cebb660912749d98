"""What a process that stood still must not believe.

Pure functions for any gateway: no I/O, no clock. Times are tenths of a millisecond.
"""

from __future__ import annotations

# A reactor that comes back later than this has answers waiting in its sockets.
STALL_THRESHOLD = 200
# How often a process looks whether it stood still.
STALL_CHECK_INTERVAL = 500


def must_read_sockets_first(late: int, deferred: bool) -> bool:
    """Whether overdue timers wait for one round of the sockets.

    After a stall, answers that came in time lie unread in the sockets, and their
    time-outs must not be believed before they are read. Timers are deferred once at
    most.
    """
    return late > STALL_THRESHOLD and not deferred


def earliest_arrival(now: int, check_due: int, last_check: int) -> int | None:
    """Return since when octets that are read now may have lain in their socket.

    None where they are as new as they look. Rule 1 rests on it after any stall of the
    process (stopped, starved, a long garbage collection): a client counts its time-out
    from its own send. What came at the very end of a stall is given up sooner than
    needed.
    """
    return last_check if now - check_due > STALL_THRESHOLD else None
