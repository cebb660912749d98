"""What a process that stood still must not believe: pure functions for any door and host. No I/O, no clock."""

from __future__ import annotations

LATE_BEAT = (
    200  # a reactor that comes back later than this has answers waiting in its sockets
)


def io_first(late: int, put_off: bool) -> bool:
    """Whether wakes that are overdue wait for one round of the sockets: after a stall of the process, answers that
    came in time lie there unread, and their time-outs must not be believed before. Put off once at most.
    """
    return late > LATE_BEAT and not put_off


BEAT = 500  # how often the process looks whether it stood


def taken_since(now: int, beat_due: int, last_beat: int) -> int | None:
    """Since when bytes that are read now may have lain in the socket; None where they are as new as they look.

    Guards rule 1 against any stall of the process (stopped, starved, a long garbage collection): a client counts its
    patience from its own send. Harm: what came at the very end of a stall is given up sooner than need be.
    """
    return last_beat if now - beat_due > LATE_BEAT else None
