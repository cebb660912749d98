"""Every error type of the program, for the table in docs/operators.md and its test."""

from __future__ import annotations

import importlib
import pkgutil

import milletsill
from milletsill.errors import MilletsillError


def module_names() -> list[str]:
    """Return the names of all modules but those that run when they are loaded."""
    return [
        each.name
        for each in pkgutil.walk_packages(milletsill.__path__, "milletsill.")
        if not each.name.endswith("__main__")
    ]


def error_types() -> dict[str, list[type[MilletsillError]]]:
    """Load the whole program and return its error types by name.

    More than one type of a name is a fault of the program. A base without a remedy of
    its own is never raised and does not count.
    """
    for name in module_names():
        importlib.import_module(name)
    found: dict[str, list[type[MilletsillError]]] = {}
    pending = list(MilletsillError.__subclasses__())
    while pending:
        error_type = pending.pop()
        subclasses = error_type.__subclasses__()
        pending += subclasses
        abstract = bool(subclasses) and not error_type.remedy
        if abstract or not error_type.__module__.startswith("milletsill."):
            continue
        same_name = found.setdefault(error_type.__name__, [])
        if error_type not in same_name:
            same_name.append(error_type)
    return found


def table_row(error_type: type[MilletsillError]) -> str:
    """Return its row of the table: name, what happened, what to do."""
    summary = " ".join((error_type.__doc__ or "").split("\n\n")[0].split())
    return f"| `{error_type.__name__}` | {summary} | {error_type.remedy} |"
