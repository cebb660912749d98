"""One family of errors: what happened, where, and what an operator can do. Each type stands in docs/operators.md."""
from __future__ import annotations

import traceback


class Fault(Exception):
    """Something that went wrong and has a name. `remedy` is what an operator can do; each type has its own."""

    remedy = ""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what, self.where = what, where

    def said(self) -> dict[str, str]:
        """The values of its line of the log."""
        told = {"error": type(self).__name__, "what": self.what, "where": self.where, "remedy": self.remedy}
        return {name: value for name, value in told.items() if value}


def whereabouts(error: BaseException) -> str:
    """The error and where it came from, on one line."""
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    places = " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
    return f"{type(error).__name__}: {error} at {places}"
