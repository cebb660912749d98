"""One family of errors: what happened, where, and what an operator can do.

What comes from outside can be wrong in four ways: octets (`MalformedInputError`), an
operator's file (`ConfigurationRejectedError`), state on disk (`StateNotStoredError`), a
single value (`InvalidValueError`). Each package has its own types below these, beside
the code that raises them; all of them stand in docs/operators.md.
"""

from __future__ import annotations

import traceback
from typing import Self

MAX_DESCRIPTION = 200  # characters of an error that is not of the family
LOCATION_FRAMES = 3


class MilletsillError(Exception):
    """Something that went wrong and has a name.

    Attributes:
        what: what happened.
        where: the place: a file, an address, a name; empty where it is not known.
        remedy: what an operator can do; each type has its own.
    """

    remedy = ""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(what)
        self.what = what
        self.where = where

    def __str__(self) -> str:
        return f"{self.where}: {self.what}" if self.where else self.what

    def with_location(self, where: str) -> Self:
        """Set the place if none is set yet: only who catches an error may know it."""
        self.where = self.where or where
        return self

    def describe(self) -> str:
        """Return one line of text: where, what, and what to do."""
        line = " ".join(str(self).split())
        return f"{line} ({self.remedy})" if self.remedy else line

    def log_fields(self) -> dict[str, str]:
        """Return the fields of its line in the log."""
        fields = {
            "error": type(self).__name__,
            "what": self.what,
            "where": self.where,
            "remedy": self.remedy,
        }
        return {name: value for name, value in fields.items() if value}


class MalformedInputError(MilletsillError):
    """Octets that their protocol or format does not allow."""

    remedy = "see who sends them, and that both sides run versions that go together"


class ConfigurationRejectedError(MilletsillError):
    """A file of the operator that is not taken."""

    remedy = "mend the file where it says; a program that runs goes on with what it had"


class StateNotStoredError(MilletsillError):
    """State on disk that cannot be read or written."""

    remedy = "see that the folder exists, may be written and has room"


class InvalidValueError(MilletsillError):
    """A value that describes nothing here."""

    remedy = "put the value right where it comes from; it alone was left out"


class ListenFailedError(MilletsillError):
    """An address that is not ours to listen on: it is taken, or not of this machine."""

    remedy = (
        "free the address or change it in the file, then start again; the start ends "
        "with status 1"
    )


def describe_error(error: BaseException) -> str:
    """Return one line on any error, cut to a bearable length."""
    if isinstance(error, MilletsillError):
        return error.describe()
    return " ".join(str(error).split())[:MAX_DESCRIPTION]


def error_location(error: BaseException) -> str:
    """Return the error and the innermost places it came from, on one line."""
    frames = traceback.extract_tb(error.__traceback__)[-LOCATION_FRAMES:]
    places = " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
    return f"{type(error).__name__}: {error} at {places}"
