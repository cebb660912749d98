"""Runs a case with or without its disruption, and returns its exit status."""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

from review.standins.record import Record

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
MAX_SHOWN = 20
MAX_SECONDS = 100

# Plays a case in a temporary folder, with its disruption or without; returns each way
# in which the rule was broken.
Play = Callable[[Record, Path, bool], list[str]]


def run_case(folder: Path, play: Play) -> NoReturn:
    """Play a case, write its record, and exit with its result."""
    # A case that is ended from outside, or takes too long, still ends the processes
    # that it started.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(CANNOT_RUN))
    signal.alarm(MAX_SECONDS)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("case", f"with its disruption: {trouble}")
    status = CANNOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = play(record, Path(temporary), trouble)
        for text in broken:
            record.write("judge", f"broken: {text}")
        for text in broken[:MAX_SHOWN]:
            print(f"broken: {text}")
        status = BROKEN if broken else HELD
        print(f"{len(broken)} breaks" if broken else "the rule held")
    except (Exception, SystemExit):
        traceback.print_exc()
        record.write("case", traceback.format_exc())
    record.write("case", f"exit status {status}")
    record.close()
    sys.stdout.flush()
    sys.stderr.flush()
    # Threads of stand-ins may still wait on their sockets.
    os._exit(status)
