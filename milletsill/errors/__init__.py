"""One family of errors: what happened, where, and what an operator can do. Each type stands in docs/operators.md.

Four kinds of things go wrong with what comes from outside: octets (`Malformed`), an operator's file (`Refused`), state on disk
(`Unkept`), a single value (`Unfit`). Each package has its own types below these, beside the code that raises them.
"""

from __future__ import annotations

import traceback
from typing import Self


class MilletsillError(Exception):
    """Something that went wrong and has a name. `remedy` is what an operator can do; each type has its own."""

    remedy = ""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(what)
        self.what, self.where = what, where

    def __str__(self) -> str:
        return f"{self.where}: {self.what}" if self.where else self.what

    def with_location(self, where: str) -> Self:
        """The same, with a place that only its catcher knows; one that was said stands."""
        self.where = self.where or where
        return self

    def describe(self) -> str:
        """On one line of text: where, what, and what to do."""
        return (
            f"{' '.join(str(self).split())} ({self.remedy})"
            if self.remedy
            else " ".join(str(self).split())
        )

    def log_fields(self) -> dict[str, str]:
        """The values of its line of the log."""
        told = {
            "error": type(self).__name__,
            "what": self.what,
            "where": self.where,
            "remedy": self.remedy,
        }
        return {name: value for name, value in told.items() if value}


class MalformedInput(MilletsillError):
    """Octets that their protocol or format does not allow."""

    remedy = "see who sends them, and that both sides run versions that go together"


class ConfigurationRejected(MilletsillError):
    """A file of the operator that is not taken."""

    remedy = "mend the file where it says; a program that runs goes on with what it had"


class StateNotStored(MilletsillError):
    """State on disk that cannot be read or written."""

    remedy = "see that the folder exists, may be written and has room"


class InvalidValue(MilletsillError):
    """A value that describes nothing here."""

    remedy = "put the value right where it comes from; it alone was left out"


class ListenFailed(MilletsillError):
    """An address that is not ours to listen on: it is taken, or not of this machine."""

    remedy = "free the address or change it in the file, then start again; the start ends with status 1"


def describe_error(error: BaseException) -> str:
    """One line on any error: a fault's own, else what it says, cut to a bearable length."""
    return (
        error.describe()
        if isinstance(error, MilletsillError)
        else " ".join(str(error).split())[:200]
    )


def error_location(error: BaseException) -> str:
    """The error and where it came from, on one line."""
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    places = " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
    return f"{type(error).__name__}: {error} at {places}"
