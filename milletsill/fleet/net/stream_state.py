"""What the stream to one member does. No I/O, no clock; spans are tenths of a millisecond."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

DIAL = 15_000  # a stream not open by then has not been reached
REST = 3000  # after a dial that came to nothing; what is told meanwhile cannot be tried
IDLE = 300_000  # without a word to send it is closed; one that only listens waits three times as long
STUCK = 50_000  # octets that are not taken for so long: it is cut
MOST_WAITING = 1 << 21  # octets that wait for one member
MOST_OUT, MOST_IN = 2048, 4096  # streams at a time
RECEIVES = (
    1 << 20
)  # octets that the socket of datagrams holds while this gateway stands still

# STUCK: the other side does not take octets. RESTING: it was not reached, for a while it is not dialled again.
Line = Enum("Line", "DIALING OPEN STUCK RESTING CLOSED")
# FULL, DRAINED: of the socket's buffer. SPENT: idle. RIPE: a rest or a stall is over. AWAY: the member is gone.
Sign = Enum("Sign", "UP UNREACHED FULL DRAINED SPENT RIPE LOST AWAY")

LINES: Mapping[tuple[Line, Sign], tuple[Line, str]] = {
    (Line.DIALING, Sign.UP): (Line.OPEN, "flush"),
    (Line.DIALING, Sign.UNREACHED): (Line.RESTING, "rest"),
    (Line.OPEN, Sign.FULL): (Line.STUCK, "stuck"),
    (Line.STUCK, Sign.DRAINED): (Line.OPEN, "flush"),
    (Line.OPEN, Sign.SPENT): (Line.CLOSED, "close"),
    # Guards what is told against a half-open stream. Harm: one that stands still for that long loses what waited for it.
    (Line.STUCK, Sign.RIPE): (Line.CLOSED, "cut"),
    (Line.RESTING, Sign.RIPE): (Line.CLOSED, "forget"),
    **{(line, Sign.LOST): (Line.CLOSED, "forget") for line in (Line.OPEN, Line.STUCK)},
    **{
        (line, Sign.AWAY): (Line.CLOSED, "cut")
        for line in (Line.DIALING, Line.OPEN, Line.STUCK, Line.RESTING)
    },
}


def step(line: Line, sign: Sign) -> tuple[Line, str]:
    """The next state and what to do; what the table does not name changes nothing."""
    return LINES.get((line, sign), (line, ""))


def due(line: Line, now: int, since: int) -> Sign | None:
    """What the passing of time means; `since` the last word sent, or the beginning of a rest or of being stuck."""
    if line is Line.OPEN and now - since >= IDLE:
        return Sign.SPENT
    if (
        line is Line.RESTING
        and now - since >= REST
        or line is Line.STUCK
        and now - since >= STUCK
    ):
        return Sign.RIPE
    return None
