"""Every type of error of the program, found by loading all of it; for the table in docs/operators.md and its test."""

from __future__ import annotations

import importlib
import pkgutil

from milletsill.errors import MilletsillError


def modules() -> list[str]:
    """The names of all modules but those that run when they are loaded."""
    import milletsill

    return [
        each.name
        for each in pkgutil.walk_packages(milletsill.__path__, "milletsill.")
        if not each.name.endswith("__main__")
    ]


def known() -> dict[str, list[type[MilletsillError]]]:
    """The types by name; more than one of a name is a fault of the program. A family without a remedy of its own is never raised
    and does not count.
    """
    for each in modules():
        importlib.import_module(each)
    found: dict[str, list[type[MilletsillError]]] = {}
    wait = list(MilletsillError.__subclasses__())
    while wait:
        made = wait.pop()
        wait += made.__subclasses__()
        family = made.__subclasses__() and not made.remedy
        if (
            made.__module__.startswith("milletsill.")
            and not family
            and made not in found.setdefault(made.__name__, [])
        ):
            found[made.__name__].append(made)
    return found


def row(made: type[MilletsillError]) -> str:
    """Its line in the table: name, what happened, what to do."""
    first = " ".join((made.__doc__ or "").split("\n\n")[0].split())
    return f"| `{made.__name__}` | {first} | {made.remedy} |"
