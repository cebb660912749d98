"""Lists all error types, for the table in docs/operators.md and its test."""

from __future__ import annotations

import importlib
import pkgutil

import milletsill
from milletsill.errors import MilletsillError


def module_names() -> list[str]:
    """Return the names of all modules except `__main__`, which run on import."""
    return [
        each.name
        for each in pkgutil.walk_packages(milletsill.__path__, "milletsill.")
        if not each.name.endswith("__main__")
    ]


def error_types() -> dict[str, list[type[MilletsillError]]]:
    """Import all modules and return the error types of the program by name.

    Two types of the same name are a bug, so each name maps to a list. A base class
    without a remedy is never raised and is left out.
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
    """Return the table row of an error type: name, what happened, what to do."""
    summary = " ".join((error_type.__doc__ or "").split("\n\n")[0].split())
    return f"| `{error_type.__name__}` | {summary} | {error_type.remedy} |"
