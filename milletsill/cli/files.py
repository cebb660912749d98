"""Loads the settings files that are arguments of commands."""

from __future__ import annotations

import sys
from collections.abc import Callable

import click

from milletsill.cli.exits import EXIT_BAD_INPUT
from milletsill.settings.flaws import SettingsFileRejectedError
from milletsill.settings.load import MessageCheck, MessageT, load


def load_or_exit(
    file: str,
    make_message: Callable[[], MessageT],
    check: MessageCheck[MessageT],
) -> MessageT:
    """Return the checked message of a file, or exit with EXIT_BAD_INPUT.

    Each flaw of an invalid file is one line on standard error.
    """
    try:
        return load(file, make_message, check)
    except SettingsFileRejectedError as error:
        for flaw in error.flaws:
            click.echo(str(flaw), err=True)
        sys.exit(EXIT_BAD_INPUT)
