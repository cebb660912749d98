"""Base classes of all errors: what happened, where, and what an operator can do.

Four of them are for faults from outside: malformed bytes (`MalformedInputError`), an
invalid settings file (`ConfigurationRejectedError`), state on disk that cannot be read
or written (`StateNotStoredError`) and a single invalid value (`InvalidValueError`).
Each package defines its own subclasses next to the code that raises them.
docs/operators.md lists all of them.
"""

from __future__ import annotations

import traceback
from typing import Self

MAX_DESCRIPTION = 200  # characters of an error that is no MilletsillError
LOCATION_FRAMES = 3  # innermost stack frames in an error location


class MilletsillError(Exception):
    """Base class of all errors that the program defines.

    Attributes:
        what: what happened.
        where: the file, address or name concerned; empty if it is not known.
        remedy: what an operator can do; each subclass has its own.
    """

    remedy = ""

    def __init__(self, what: str, where: str = "") -> None:
        super().__init__(what)
        self.what = what
        self.where = where

    def __str__(self) -> str:
        return f"{self.where}: {self.what}" if self.where else self.what

    def with_location(self, where: str) -> Self:
        """Set `where` if it is empty: often only the code that catches it knows."""
        self.where = self.where or where
        return self

    def describe(self) -> str:
        """Return `where`, `what` and `remedy` as one line of text."""
        line = " ".join(str(self).split())
        return f"{line} ({self.remedy})" if self.remedy else line

    def log_fields(self) -> dict[str, str]:
        """Return the fields of the log line for this error."""
        fields = {
            "error": type(self).__name__,
            "what": self.what,
            "where": self.where,
            "remedy": self.remedy,
        }
        return {name: value for name, value in fields.items() if value}


class MalformedInputError(MilletsillError):
    """Bytes from outside violate their protocol or format."""

    remedy = "check the sender, and that both sides run compatible versions"


class ConfigurationRejectedError(MilletsillError):
    """A settings file is invalid."""

    remedy = (
        "correct the file as reported; a running program keeps its previous settings"
    )


class StateNotStoredError(MilletsillError):
    """State on disk cannot be read or written."""

    remedy = "check that the folder exists, is writable and has free space"


class InvalidValueError(MilletsillError):
    """A single value from outside is invalid."""

    remedy = "correct the value at its source; only this value was ignored"


class ListenFailedError(MilletsillError):
    """An address cannot be listened on: it is in use or belongs to another machine."""

    remedy = (
        "free the address or change it in the file, then restart; the program exits "
        "with status 1"
    )


def describe_error(error: BaseException) -> str:
    """Return one line on any error; foreign errors are cut to MAX_DESCRIPTION."""
    if isinstance(error, MilletsillError):
        return error.describe()
    return " ".join(str(error).split())[:MAX_DESCRIPTION]


def error_location(error: BaseException) -> str:
    """Return the error and its innermost stack frames as one line."""
    frames = traceback.extract_tb(error.__traceback__)[-LOCATION_FRAMES:]
    places = " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
    return f"{type(error).__name__}: {error} at {places}"
