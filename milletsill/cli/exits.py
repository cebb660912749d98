"""Ends commands with an exit status and one line on standard error."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def exit_with(text: str, status: int) -> NoReturn:
    """Write one line to standard error and exit."""
    click.echo(text, err=True)
    sys.exit(status)


def exit_with_error(text: str, status: int) -> NoReturn:
    """Write one line, prefixed with the program's name, to standard error and exit."""
    exit_with(f"milletsill: {text}", status)
