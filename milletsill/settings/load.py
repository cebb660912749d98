"""Loads a text-format file into its message, with a line number for every field.

`load` raises `RefusedFile` with one `Flaw` for each thing wrong; a flaw is one line: file, line, reason. A file is
at most MOST_BYTES long.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

from google.protobuf import text_format
from google.protobuf.message import Message

from milletsill.errors import ConfigurationRejected

MOST_BYTES, MOST_DEPTH, MOST_FAULTS = 4_000_000, 16, 20
Path = tuple[
    str, ...
]  # of a field: names, with the place of a repeated one, such as ("plan", "0", "weight")
M = TypeVar("M", bound=Message)


@dataclass(frozen=True, slots=True)
class Flaw:
    """One thing wrong with a file; line 0 is the file as a whole."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return (
            f"{self.file}:{self.line}: {self.reason}"
            if self.line
            else f"{self.file}: {self.reason}"
        )


class SettingsFileRejected(ConfigurationRejected):
    """A file in protobuf text form that is not taken, with each flaw and its line."""

    remedy = "mend the lines named; `milletsill check FILE` says whether it is fine. A gateway that runs goes on with what it had"

    def __init__(self, faults: Iterable[Flaw]) -> None:
        self.faults = list(faults)
        super().__init__("; ".join(str(each) for each in self.faults))


class Lines:
    """Where each field of a file stands: walks the tokens once; a repeated field is counted by its place."""

    def __init__(self, text: str) -> None:
        self.found: dict[Path, int] = {}
        self.tokens = text_format.Tokenizer(text.split("\n"))
        self.message((), 0)

    def message(self, at: Path, depth: int) -> None:
        """Fields up to the end of this message; the file was parsed before, so the shape is sound."""
        counts: dict[str, int] = {}
        tokens = self.tokens
        while not tokens.AtEnd() and tokens.token not in ("}", ">"):
            name, line = tokens.token, tokens._line + 1
            tokens.NextToken()
            tokens.TryConsume(":")
            if tokens.TryConsume("["):
                while not tokens.TryConsume("]"):
                    self.value(at, name, counts, line, depth)
                    tokens.TryConsume(",")
            else:
                self.value(at, name, counts, line, depth)
            tokens.TryConsume(",") or tokens.TryConsume(";")

    def value(
        self, at: Path, name: str, counts: dict[str, int], line: int, depth: int
    ) -> None:
        """One value, itself a message or a scalar."""
        place, tokens = counts.get(name, 0), self.tokens
        counts[name] = place + 1
        here = at + (name, str(place))
        self.found[here] = line
        if tokens.token in ("{", "<"):
            tokens.NextToken()
            if depth < MOST_DEPTH:
                self.message(here, depth + 1)
            tokens.NextToken()
        else:
            first = tokens.token
            tokens.NextToken()
            while first[:1] in "\"'" and tokens.token[:1] in (
                '"',
                "'",
            ):  # strings that stand side by side
                tokens.NextToken()

    def line(self, path: Path) -> int:
        """The line of a field, or of the nearest message around it that is written down."""
        for end in range(len(path), 0, -1):
            if path[:end] in self.found:
                return self.found[path[:end]]
        return 0


class Report:
    """Gathers faults; checks say which field and why."""

    def __init__(self, file: str, lines: Lines) -> None:
        self.file, self.lines, self.faults = file, lines, list[Flaw]()

    def add(self, path: Path, reason: str) -> None:
        """One fault at a field; (name, place) pairs, the place left out where it is 0."""
        full: list[str] = []
        for each in path:
            if each.isdigit():
                full[-1] = each
            else:
                full += [each, "0"]
        if len(self.faults) < MOST_FAULTS:
            self.faults.append(Flaw(self.file, self.lines.line(tuple(full)), reason))


def text_from(file: str) -> str:
    """The text of a file, or `RefusedFile`."""
    try:
        if os.path.getsize(file) > MOST_BYTES:
            raise SettingsFileRejected(
                [Flaw(file, 0, f"longer than {MOST_BYTES} bytes")]
            )
        with open(file, encoding="utf-8") as source:
            return source.read()
    except OSError as error:
        raise SettingsFileRejected(
            [Flaw(file, 0, error.strerror or str(error))]
        ) from None
    except UnicodeDecodeError as error:
        raise SettingsFileRejected(
            [Flaw(file, 0, f"not UTF-8 at byte {error.start}")]
        ) from None


def load(file: str, made: Callable[[], M], check: Callable[[M, Report], None]) -> M:
    """The message of a file, parsed and checked."""
    return parse(text_from(file), file, made, check)


def parse(
    text: str, file: str, made: Callable[[], M], check: Callable[[M, Report], None]
) -> M:
    """The same from its text."""
    message = made()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        line, reason = error.GetLine() or 0, str(error)
        reason = reason.split(" : ", 1)[-1] if line else reason
        raise SettingsFileRejected(
            [Flaw(file, line, " ".join(reason.split()))]
        ) from None
    except (RecursionError, ValueError) as error:
        raise SettingsFileRejected(
            [Flaw(file, 0, f"cannot be read: {' '.join(str(error).split())[:200]}")]
        ) from None
    report = Report(file, Lines(text))
    missing = message.FindInitializationErrors()
    for each in missing:
        report.add(path_of(each), f"missing {each.split('.')[-1]}")
    if not missing:
        check(message, report)
    if report.faults:
        raise SettingsFileRejected(report.faults)
    return message


def path_of(dotted: str) -> Path:
    """A path from protobuf's way of writing one: plan[0].name."""
    return tuple(
        part for each in dotted.split(".") for part in each.rstrip("]").split("[")
    )
