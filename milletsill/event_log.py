"""What parts of the program log events through."""

from __future__ import annotations

from typing import Any, Protocol


class LogEvent(Protocol):
    """Writes one event to the log."""

    def __call__(self, event: str, /, **values: Any) -> None:
        """Write an event with its values."""
