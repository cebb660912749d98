"""The incarnation of a gateway: a number on disk that grows with each start."""

from __future__ import annotations

import os
import time

from milletsill.sftp_gateway.errors import IncarnationNotStoredError

MAX_INCARNATION = 0xFFFFFFFF
MAX_DIGITS = 20  # characters read from the file


def next_incarnation(path: str) -> tuple[int, IncarnationNotStoredError | None]:
    """Return the incarnation of this start, and the error if it cannot be stored.

    After an error the incarnation is taken from the wall clock. The time in seconds is
    greater than any number of starts, so no two starts have the same incarnation.
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
    """Write an incarnation to disk, so that the next start uses a greater one.

    Returns:
        None, or the error if it could not be written.
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
