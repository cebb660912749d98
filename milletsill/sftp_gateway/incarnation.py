"""Which run of a gateway this is: a number kept on disk that grows with each start."""

from __future__ import annotations

import os
import time

from milletsill.sftp_gateway.errors import IncarnationNotStored

MOST = 0xFFFFFFFF


def next_incarnation(path: str) -> tuple[int, IncarnationNotStored | None]:
    """The number of this run and a complaint, None for none. Where it cannot be kept it is taken from the wall clock,
    which is past any count of starts, so no two runs share one.
    """
    held, complaint = 0, None
    try:
        with open(path, encoding="ascii") as source:
            held = int(source.read(20))
    except FileNotFoundError:
        pass
    except (OSError, ValueError) as error:
        complaint, held = IncarnationNotStored(str(error), path), int(time.time())
    number = min(max(held, 0) + 1, MOST)
    failed = keep(path, number)
    if failed is not None:
        return min(max(int(time.time()), number), MOST), failed
    return number, complaint


def keep(path: str, number: int) -> IncarnationNotStored | None:
    """Write a run down, so that the next start goes past it; None or why not."""
    try:
        with open(f"{path}.new", "w", encoding="ascii") as sink:
            sink.write(f"{number}\n")
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(f"{path}.new", path)
    except OSError as error:
        return IncarnationNotStored(error.strerror or str(error), path)
    return None
