"""Finds the line of each field of a file in protobuf text format."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from google.protobuf import text_format

MAX_DEPTH = 16  # of nested messages; fields that are nested deeper have no line
MESSAGE_STARTS = ("{", "<")
MESSAGE_ENDS = ("}", ">")
QUOTES = ('"', "'")


class FieldStep(NamedTuple):
    """One step of the path to a field.

    Attributes:
        name: name of the field.
        position: index of the value in a repeated field; 0 in any other.
    """

    name: str
    position: int = 0


FieldPath: TypeAlias = tuple[FieldStep, ...]


class _LineTokenizer(text_format.Tokenizer):
    """A tokenizer that exposes the line of the current token."""

    _line: int  # kept by the base class, counted from 0

    def line_number(self) -> int:
        """Return the line of the current token, counted from 1."""
        return self._line + 1


class FieldLines:
    """The line of each field of a file.

    Protobuf must have parsed the text before: its syntax is not checked again.
    """

    def __init__(self, text: str) -> None:
        self._lines: dict[FieldPath, int] = {}
        self._tokens = _LineTokenizer(text.split("\n"))
        self._read_message((), 0)

    def line_of(self, path: FieldPath) -> int:
        """Return the line of a field, or of the innermost message around it.

        Returns 0 if the file has neither.
        """
        for length in range(len(path), 0, -1):
            line = self._lines.get(path[:length])
            if line is not None:
                return line
        return 0

    def _read_message(self, path: FieldPath, depth: int) -> None:
        """Read the fields up to the end of the current message."""
        tokens = self._tokens
        counts: dict[str, int] = {}
        while not tokens.AtEnd() and tokens.token not in MESSAGE_ENDS:
            name = tokens.token
            line = tokens.line_number()
            tokens.NextToken()
            tokens.TryConsume(":")
            is_list = tokens.TryConsume("[")
            while not (is_list and tokens.TryConsume("]")):
                index = counts.get(name, 0)
                counts[name] = index + 1
                value_path = (*path, FieldStep(name, index))
                self._lines[value_path] = line
                self._read_value(value_path, depth)
                if not is_list:
                    break
                tokens.TryConsume(",")
            if not tokens.TryConsume(","):
                tokens.TryConsume(";")

    def _read_value(self, path: FieldPath, depth: int) -> None:
        """Read one value, which is a message or a scalar."""
        tokens = self._tokens
        first = tokens.token
        tokens.NextToken()
        if first in MESSAGE_STARTS:
            if depth < MAX_DEPTH:
                self._read_message(path, depth + 1)
            tokens.NextToken()
        elif first.startswith(QUOTES):
            while tokens.token.startswith(QUOTES):  # adjacent strings are one value
                tokens.NextToken()
