"""What is wrong with a settings file: flaws, each with its line, and their report."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from milletsill.errors import ConfigurationRejectedError
from milletsill.settings.field_lines import FieldLines, FieldPath, FieldStep

MAX_FLAWS = 20  # of one report; what is found after these is left out


@dataclass(frozen=True, slots=True)
class Flaw:
    """One thing wrong with a file; line 0 is the file as a whole."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        if self.line:
            return f"{self.file}:{self.line}: {self.reason}"
        return f"{self.file}: {self.reason}"


class SettingsFileRejectedError(ConfigurationRejectedError):
    """A file in protobuf text form that is not taken, with each flaw and its line."""

    remedy = (
        "mend the lines named; `milletsill check FILE` says whether it is fine. "
        "A gateway that runs goes on with what it had"
    )

    def __init__(self, flaws: Iterable[Flaw]) -> None:
        self.flaws = list(flaws)
        super().__init__("; ".join(str(flaw) for flaw in self.flaws))


@dataclass(slots=True)
class FlawReport:
    """The flaws of one file, in the order in which the checks found them.

    Attributes:
        file: name of the file, as the operator gave it.
        lines: where each field of the file is written.
        flaws: MAX_FLAWS at most.
    """

    file: str
    lines: FieldLines
    flaws: list[Flaw] = field(default_factory=list)

    def add(self, path: FieldPath, reason: str) -> None:
        """Add a flaw of the field at `path`; the empty path is the whole file."""
        if len(self.flaws) < MAX_FLAWS:
            self.flaws.append(Flaw(self.file, self.lines.describe_error(path), reason))

    def root(self) -> MessageReport:
        """Return the report on the message that is the whole file."""
        return MessageReport(self, ())


class MessageReport(NamedTuple):
    """The part of a report that is on one message within a file.

    Attributes:
        file_report: what the flaws are added to.
        path: of the message; empty for the whole file.
    """

    file_report: FlawReport
    path: FieldPath

    def add(self, reason: str, field_name: str = "", index: int = 0) -> None:
        """Add a flaw of one field of the message, or of the message as a whole.

        `index` is the place of a value within a repeated field.
        """
        path = self.path
        if field_name:
            path += (FieldStep(field_name, index),)
        self.file_report.add(path, reason)

    def nested(self, field_name: str, index: int = 0) -> MessageReport:
        """Return the report on a message within this one."""
        path = (*self.path, FieldStep(field_name, index))
        return MessageReport(self.file_report, path)
