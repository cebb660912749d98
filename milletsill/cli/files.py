"""Files that commands are given: checked, or said what is wrong with them."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click

from milletsill.settings.flaws import SettingsFileRejected
from milletsill.settings.load import load


def taken(file: str, made: Any, check: Callable[..., None]) -> Any:
    """A checked file, or its faults on standard error and exit status 2."""
    try:
        return load(file, made, check)
    except SettingsFileRejected as error:
        for each in error.flaws:
            click.echo(str(each), err=True)
        sys.exit(2)
