"""The interface through which the components of a process log events."""

from __future__ import annotations

from typing import Any, Protocol


class LogEvent(Protocol):
    """A function that writes one event to the log."""

    def __call__(self, event: str, /, **values: Any) -> None:
        """Log an event; `values` are the fields of its line."""
