"""The record of a case: what was sent, answered and run, in the order of the clock."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Writes `record.txt`; every line begins with the seconds since its creation."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record was created."""
        return time.monotonic() - self._started_at

    def write(self, who: str, text: str) -> None:
        """Write one line."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now():9.4f} {who:<10} {text}\n")

    def close(self) -> None:
        """Write everything to the file."""
        with self._lock:
            self._file.close()
