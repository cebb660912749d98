"""Timing of calls to discovery: time-outs, retries and parallel calls.

Pure functions and constants: no I/O, no clock. Times are tenths of a millisecond.

An endpoint change counts as notified `NOTIFIED_WITHIN` after discovery had the change
and was reachable, or after the last value of the watch that should have delivered it.
This holds whether or not the calls succeed. After SIGHUP moves discovery the limit is
`NOTIFIED_AFTER_MOVE`. In deployments that push endpoint lists, a change counts as
notified as soon as the local agent has it, so only the drain grace remains.
"""

from __future__ import annotations

from enum import Enum, auto

NOTIFIED_WITHIN = 60_000
NOTIFIED_AFTER_MOVE = 40_000
# A watch that delivers no value for this long has failed.
WATCH_TIMEOUT = NOTIFIED_WITHIN
# Bounds of the random time without a value after which another watch is opened in
# parallel. The time is random because many watches may become silent at once.
SILENCE_BEFORE_NEW_WATCH = (26_000, 32_000)
CONNECT_TIMEOUT = 10_000
# Limit from a call to the head of its response, and from there to the first line: one
# heartbeat interval and a margin.
FIRST_VALUE_TIMEOUT = 22_000
# A retry is made at a random time within this fraction of the remaining time, which is
# first reduced by the margin.
RETRY_MARGIN = 5_000
RETRY_FRACTION = 1 / 3
MIN_RETRY_DELAY = 1_000
# Factor on the drain grace. The scheduler's longest pause is a quarter of the product.
PUSHED_SPAN_FACTOR = 1.5


def notification_span(pushed: bool, stated: int, drain_grace: int) -> int:
    """Return the time span from which the scheduler derives its retry pauses.

    The scheduler's pauses are at most a quarter of the span. The span is the time
    within which a change counts as notified while calls fail: the least of
    `NOTIFIED_WITHIN` and the settings. Where lists are pushed, only the drain grace
    remains; the longest pause plus the time until a parallel call stays under two
    thirds of that grace.
    """
    spans = (NOTIFIED_WITHIN, stated, int(drain_grace * PUSHED_SPAN_FACTOR) * pushed)
    return min(span for span in spans if span)


def retry_delay(
    silence: int, since_move: int | None, scheduler_notified: bool = False
) -> tuple[int, int, bool]:
    """Return the bounds of a retry's delay, and whether it bypasses the scheduler.

    The retry follows a call that failed while the previous watch is still open, or
    after SIGHUP moved discovery. Once the scheduler was notified of a failure after
    SIGHUP, its next pause may exceed the remaining time, so the retry does not wait for
    it. The random delay keeps all callers of an overloaded service from returning at
    once. It delays the list, but never past the time by which a change counts as
    notified.

    Args:
        silence: time since the last value of the previous watch.
        since_move: time since SIGHUP moved discovery, None if it did not.
        scheduler_notified: whether the scheduler was notified of a failure since then.
    """
    left = NOTIFIED_WITHIN - silence
    if since_move is not None:
        left = min(left, NOTIFIED_AFTER_MOVE - since_move)
    longest = int(max(left - RETRY_MARGIN, 0) * RETRY_FRACTION)
    bypasses_scheduler = scheduler_notified and longest > MIN_RETRY_DELAY
    return longest // 2 if bypasses_scheduler else 0, longest, bypasses_scheduler


class CallProgress(Enum):
    """Progress of a call to discovery that has not delivered a value yet."""

    CONNECTING = auto()
    # The call may wait for the service, or for the first heartbeat after the head.
    CONNECTED = auto()
    RECEIVING = auto()  # part of the first line has arrived


# Bounds of the delay until a parallel call; for pushed lists, as fractions of the drain
# grace.
PARALLEL_CALL_PUSHED = (1 / 8, 1 / 4)
PARALLEL_CALL_UNRESPONSIVE = (7_000, 11_000)
PARALLEL_CALL_SOON = (2_500, 5_000)
PARALLEL_CALL_AFTER_MOVE = (27_000, 31_000)  # since SIGHUP


def parallel_call_delay(
    progress: CallProgress, unresponsive: bool, drain_grace: int, since_move: int | None
) -> tuple[int, int] | None:
    """Return the bounds of the delay until a parallel call; None for no parallel call.

    Without a parallel call, only a time-out would end a call that makes no progress.
    Where lists are pushed, a parallel call is made early, except while a call is
    connected: an overloaded service lets a connected call wait and answers within 2 s.
    A connected call gets a parallel call only if the previous call timed out without a
    value, after a third to a half of its own time-out. After SIGHUP the parallel call
    is made just in time, or early if the call is not connected yet. Parallel calls at
    most double the number of calls.

    Args:
        progress: the progress of the call.
        unresponsive: whether discovery accepts calls but delivers nothing.
        drain_grace: the drain grace if lists are pushed, else 0.
        since_move: time since SIGHUP moved discovery, None if it did not.
    """
    delays: list[tuple[int, int]] = []
    if drain_grace and progress is not CallProgress.CONNECTED:
        soonest, latest = PARALLEL_CALL_PUSHED
        delays.append((int(drain_grace * soonest), int(drain_grace * latest)))
    elif drain_grace and unresponsive:
        delays.append(PARALLEL_CALL_UNRESPONSIVE)
    if since_move is not None and since_move < NOTIFIED_AFTER_MOVE - RETRY_MARGIN:
        if progress is CallProgress.CONNECTING:
            delays.append(PARALLEL_CALL_SOON)
        else:
            soonest, latest = (
                max(bound - since_move, soon)
                for bound, soon in zip(
                    PARALLEL_CALL_AFTER_MOVE, PARALLEL_CALL_SOON, strict=True
                )
            )
            delays.append((soonest, latest))
    return min(delays, default=None)


def is_unresponsive(unresponsive: bool, silence: int, status: int) -> bool:
    """Whether discovery accepts calls but delivers nothing.

    This holds from the time-out of a call until any call receives a response.
    """
    return silence > FIRST_VALUE_TIMEOUT or (unresponsive and not status)
