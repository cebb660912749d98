"""Loads a settings file into its message and checks it.

An invalid file raises `SettingsFileRejectedError`, with one `Flaw` for each problem. A
file has at most MAX_BYTES bytes.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from operator import methodcaller
from typing import TypeAlias, TypeVar

from google.protobuf import text_format
from google.protobuf.message import Message

from milletsill.settings.field_lines import FieldLines, FieldPath, FieldStep
from milletsill.settings.flaws import (
    Flaw,
    FlawReport,
    MessageReport,
    SettingsFileRejectedError,
)

MAX_BYTES = 4_000_000  # of a file
MAX_REASON = 200  # characters of an error message of protobuf

MessageT = TypeVar("MessageT", bound=Message)
MessageCheck: TypeAlias = Callable[[MessageT, MessageReport], None]


def read_text(file: str) -> str:
    """Return the text of a file.

    Raises:
        SettingsFileRejectedError: the file cannot be read, is too long or not UTF-8.
    """
    try:
        if os.path.getsize(file) > MAX_BYTES:
            raise SettingsFileRejectedError(
                [Flaw(file, 0, f"the file is longer than {MAX_BYTES} bytes")]
            )
        with open(file, encoding="utf-8") as source:
            return source.read()
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsFileRejectedError([Flaw(file, 0, reason)]) from error
    except UnicodeDecodeError as error:
        reason = f"the file is not valid UTF-8 at byte {error.start}"
        raise SettingsFileRejectedError([Flaw(file, 0, reason)]) from error


def load(
    file: str,
    make_message: Callable[[], MessageT],
    check: MessageCheck[MessageT],
) -> MessageT:
    """Read, parse and check a file; return its message."""
    return parse(read_text(file), file, make_message, check)


def parse(
    text: str,
    file: str,
    make_message: Callable[[], MessageT],
    check: MessageCheck[MessageT],
) -> MessageT:
    """Parse and check a text; return its message. Flaws name `file` as their file."""
    message = make_message()
    _merge_text(text, file, message)
    report = FlawReport(file, FieldLines(text))
    missing = _missing_fields(message)
    for dotted in missing:
        report.add(_field_path(dotted), f"missing {dotted.split('.')[-1]}")
    if not missing:
        check(message, report.root())
    if report.flaws:
        raise SettingsFileRejectedError(report.flaws)
    return message


def _merge_text(text: str, file: str, message: Message) -> None:
    """Parse a text into a message.

    Raises:
        SettingsFileRejectedError: protobuf cannot parse the text.
    """
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        line = error.GetLine() or 0
        reason = str(error)
        if line:
            reason = reason.split(" : ", 1)[-1]
        flaw = Flaw(file, line, " ".join(reason.split()))
        raise SettingsFileRejectedError([flaw]) from error
    except (RecursionError, ValueError) as error:
        reason = " ".join(str(error).split())[:MAX_REASON]
        flaw = Flaw(file, 0, f"the file cannot be parsed: {reason}")
        raise SettingsFileRejectedError([flaw]) from error


def _missing_fields(message: Message) -> list[str]:
    """Return the paths of the absent required fields, in protobuf's notation."""
    # The type stubs of protobuf do not declare this method.
    return list(methodcaller("FindInitializationErrors")(message))


def _field_path(dotted: str) -> FieldPath:
    """Return the path for protobuf's notation of it, such as `plan[0].name`."""
    steps = []
    for part in dotted.split("."):
        name, _, index = part.rstrip("]").partition("[")
        steps.append(FieldStep(name, int(index or 0)))
    return tuple(steps)
