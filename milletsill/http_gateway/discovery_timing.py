"""When calls to discovery are made, retried, doubled and given up.

Pure functions and constants: no I/O, no clock. Times are tenths of a millisecond.

Whatever becomes of calls to discovery, an endpoint change counts as notified
`NOTIFIED_WITHIN` after discovery had it and could be reached, or after the watch that
would have brought it fell silent, which may be as soon as its last word came; after
SIGHUP `NOTIFIED_AFTER_MOVE`. Where lists are pushed, what the local agent has counts at
once, and the drain grace is all the time there is.
"""

from __future__ import annotations

from enum import Enum, auto

NOTIFIED_WITHIN = 60_000
NOTIFIED_AFTER_MOVE = 40_000
# A watch without a word for this long is over.
WATCH_TIMEOUT = NOTIFIED_WITHIN
# Drawn between these: a watch without a word for so long has another opened beside it;
# spread, since many watches may fall silent at once.
SILENCE_BEFORE_NEW_WATCH = (26_000, 32_000)
CONNECT_TIMEOUT = 10_000
# From a call to its answer's head, and from there to its first line: a heartbeat and a
# little.
FIRST_WORD_TIMEOUT = 22_000
# The second call is made at random within this part of what is left, less the margin.
RETRY_MARGIN = 5_000
RETRY_PART = 1 / 3
SHORTEST_RETRY = 1_000
# Times the drain grace; the scheduler's longest pause is a quarter of it.
PUSHED_PACE = 1.5


def notification_span(pushed: bool, stated: int, grace: int) -> int:
    """Return the span of which the scheduler draws its pauses, up to a quarter.

    It is the time within which a change counts as notified where calls fail: the least
    of what the settings and the platform's page say. Where lists are pushed only the
    grace is left; the longest pause, and the time until another call is made in
    parallel, stay under two thirds of it.
    """
    spans = (NOTIFIED_WITHIN, stated, int(grace * PUSHED_PACE) * pushed)
    return min(span for span in spans if span)


def retry_delay(
    quiet: int, moved: int | None, scheduler_knows: bool = False
) -> tuple[int, int, bool]:
    """Return the bounds of the delay of a retry, and whether it is made on our own.

    It is for a call that failed beside a standing watch, or after SIGHUP. Where the
    scheduler has heard of a failure since SIGHUP its next pause may be longer than what
    is left, so the retry does not wait for it. A service with too many callers does not
    get all of them back at once; the list is that much later, never past its time.

    Args:
        quiet: time since the standing watch's last word.
        moved: time since SIGHUP moved discovery, None where it did not.
        scheduler_knows: whether the scheduler has heard of a failure since.
    """
    left = NOTIFIED_WITHIN - quiet
    if moved is not None:
        left = min(left, NOTIFIED_AFTER_MOVE - moved)
    longest = int(max(left - RETRY_MARGIN, 0) * RETRY_PART)
    on_our_own = scheduler_knows and longest > SHORTEST_RETRY
    return longest // 2 if on_our_own else 0, longest, on_our_own


class CallProgress(Enum):
    """How far a call to discovery has come, until it has spoken."""

    CONNECTING = auto()
    # Connected: it may wait for its turn, or for the first heartbeat behind its head.
    CONNECTED = auto()
    RECEIVING = auto()  # a part of its first line is here


# Times the drain grace.
PARALLEL_CALL_PUSHED = (1 / 8, 1 / 4)
PARALLEL_CALL_MUTE = (7_000, 11_000)
PARALLEL_CALL_SOON = (2_500, 5_000)
PARALLEL_CALL_AFTER_MOVE = (27_000, 31_000)  # since SIGHUP


def parallel_call_delay(
    progress: CallProgress, mute: bool, grace: int, moved: int | None
) -> tuple[int, int] | None:
    """Return the bounds of the delay until a stuck call gets another in parallel.

    None: never. Otherwise a call could end by our patience alone. Where lists are
    pushed: soon, but not where the call is connected: a service with too many callers
    lets it wait, and speaks within two seconds; only where the last one was silent for
    all of its time, half way through. After SIGHUP: just in time, or soon where the
    service has not heard of the call. It costs up to twice the calls.

    Args:
        progress: how far the call has come.
        mute: whether discovery takes calls and says nothing.
        grace: the drain grace where lists are pushed, else 0.
        moved: time since SIGHUP moved discovery, None where it did not.
    """
    delays: list[tuple[int, int]] = []
    if grace and progress is not CallProgress.CONNECTED:
        soonest, latest = PARALLEL_CALL_PUSHED
        delays.append((int(grace * soonest), int(grace * latest)))
    elif grace and mute:
        delays.append(PARALLEL_CALL_MUTE)
    if moved is not None and moved < NOTIFIED_AFTER_MOVE - RETRY_MARGIN:
        if progress is CallProgress.CONNECTING:
            delays.append(PARALLEL_CALL_SOON)
        else:
            soonest, latest = (
                max(bound - moved, soon)
                for bound, soon in zip(
                    PARALLEL_CALL_AFTER_MOVE, PARALLEL_CALL_SOON, strict=True
                )
            )
            delays.append((soonest, latest))
    return min(delays, default=None)


def is_mute(mute: bool, quiet: int, status: int) -> bool:
    """Whether discovery takes calls and says nothing.

    So it is since a call was given up for that, until any call is answered.
    """
    return quiet > FIRST_WORD_TIMEOUT or (mute and not status)
