"""Which start of a gateway this is: a number on disk that grows with each start."""

from __future__ import annotations

import os
import time

from milletsill.sftp_gateway.errors import IncarnationNotStoredError

MAX_INCARNATION = 0xFFFFFFFF
MAX_DIGITS = 20


def next_incarnation(path: str) -> tuple[int, IncarnationNotStoredError | None]:
    """Return the number of this start, and the error if it cannot be kept.

    Then it is taken from the wall clock, which is past any count of starts, so no two
    starts share one.
    """
    error: IncarnationNotStoredError | None = None
    last = 0
    try:
        with open(path, encoding="ascii") as source:
            last = int(source.read(MAX_DIGITS))
    except FileNotFoundError:
        pass
    except (OSError, ValueError) as cause:
        error = IncarnationNotStoredError(str(cause), path)
        last = int(time.time())
    number = min(max(last, 0) + 1, MAX_INCARNATION)
    store_error = store_incarnation(path, number)
    if store_error is not None:
        return min(max(int(time.time()), number), MAX_INCARNATION), store_error
    return number, error


def store_incarnation(path: str, number: int) -> IncarnationNotStoredError | None:
    """Write a start's number, so that the next start goes past it.

    Returns:
        None, or why it could not be written.
    """
    try:
        with open(f"{path}.new", "w", encoding="ascii") as sink:
            sink.write(f"{number}\n")
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(f"{path}.new", path)
    except OSError as error:
        return IncarnationNotStoredError(error.strerror or str(error), path)
    return None
