"""Flaws of a settings file, each with its line, and the report that collects them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from milletsill.errors import ConfigurationRejectedError
from milletsill.settings.field_lines import FieldLines, FieldPath, FieldStep

MAX_FLAWS = 20  # per report; further flaws are dropped


@dataclass(frozen=True, slots=True)
class Flaw:
    """One invalid setting of a file; line 0 stands for the file as a whole."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        if self.line:
            return f"{self.file}:{self.line}: {self.reason}"
        return f"{self.file}: {self.reason}"


class SettingsFileRejectedError(ConfigurationRejectedError):
    """A settings file is invalid; the message lists each flaw with its line."""

    remedy = (
        "correct the lines named and run `milletsill check FILE`; a running gateway "
        "keeps its previous settings"
    )

    def __init__(self, flaws: Iterable[Flaw]) -> None:
        self.flaws = list(flaws)
        super().__init__("; ".join(str(flaw) for flaw in self.flaws))


@dataclass(slots=True)
class FlawReport:
    """The flaws of one file, in the order in which the checks find them.

    Attributes:
        file: name of the file, as the operator gave it.
        lines: line of each field of the file.
        flaws: the first MAX_FLAWS flaws.
    """

    file: str
    lines: FieldLines
    flaws: list[Flaw] = field(default_factory=list)

    def add(self, path: FieldPath, reason: str) -> None:
        """Add a flaw of the field at `path`; an empty path is the whole file."""
        if len(self.flaws) < MAX_FLAWS:
            self.flaws.append(Flaw(self.file, self.lines.line_of(path), reason))

    def root(self) -> MessageReport:
        """Return the report on the top-level message of the file."""
        return MessageReport(self, ())


class MessageReport(NamedTuple):
    """The part of a file's report that covers one message in the file.

    Attributes:
        file_report: report that the flaws are added to.
        path: path of the message; empty for the top-level message.
    """

    file_report: FlawReport
    path: FieldPath

    def add(self, reason: str, field_name: str = "", index: int = 0) -> None:
        """Add a flaw of one field of the message, or of the message as a whole.

        `index` is the position of the value in a repeated field.
        """
        path = self.path
        if field_name:
            path += (FieldStep(field_name, index),)
        self.file_report.add(path, reason)

    def nested(self, field_name: str, index: int = 0) -> MessageReport:
        """Return the report on a message nested in this one."""
        path = (*self.path, FieldStep(field_name, index))
        return MessageReport(self.file_report, path)
