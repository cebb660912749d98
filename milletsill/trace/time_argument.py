"""Parses times on the command line into times of a trace's clock."""

from __future__ import annotations

from datetime import UTC, datetime

from milletsill.errors import InvalidValueError
from milletsill.trace.records import TICKS_PER_SECOND

TICKS_PER_MILLISECOND = 10
TICKS_PER_UNIT = {
    "s": TICKS_PER_SECOND,
    "m": 60 * TICKS_PER_SECOND,
    "h": 3600 * TICKS_PER_SECOND,
}


class InvalidTimeError(InvalidValueError):
    """A command-line argument that is not a valid time."""

    remedy = (
        "give tenths of a millisecond, +90s, +5m or +1h after the file's opening, "
        "or ISO 8601"
    )


def parse_time(text: str, opened: int, wall_ms: int) -> int:
    """Return a time on the writer's clock, in tenths of a millisecond.

    `text` is a time on that clock, `+90s` after the file's opening, or ISO 8601 wall
    time (UTC without a zone). `opened` and `wall_ms` come from the header.

    Raises:
        InvalidTimeError: if it is none of these.
    """
    if text.lstrip("-").isdecimal():
        return int(text)
    if text.startswith("+"):
        return opened + parse_span(text)
    try:
        wall_time = datetime.fromisoformat(text)
    except ValueError:
        raise InvalidTimeError(
            f"{text!r} is not a time; expected tenths of a millisecond, "
            "+90s or ISO 8601"
        ) from None
    if wall_time.tzinfo is None:
        wall_time = wall_time.replace(tzinfo=UTC)
    wall = round(wall_time.timestamp() * TICKS_PER_SECOND)
    return opened + wall - wall_ms * TICKS_PER_MILLISECOND


def parse_span(text: str) -> int:
    """Return the ticks of a time span such as `+90s`; without a unit, of seconds."""
    unit = TICKS_PER_UNIT.get(text[-1:])
    number = text[1:-1] if unit else text[1:]
    try:
        return int(float(number) * (unit or TICKS_PER_SECOND))
    except (ValueError, OverflowError):
        raise InvalidTimeError(
            f"{text!r} is not a time span: expected one such as +90s, +5m or +1h"
        ) from None
