"""Faults that are planted in gateways on purpose, in the laboratory only: the audit has to find each of them.

Each takes out what one contract's gate rests on. `lab run --plant NAME` starts the edges with it.
"""
from __future__ import annotations

from typing import Any, Callable


def gate(name: str) -> Callable[[], None]:
    """Nothing ever stands before a number under this order."""
    def plant() -> None:
        from milletsill.fleet.channels.contracts import decide
        table: Any = decide.ORDER_TABLE
        table[decide.Order[name]] = lambda line, number: None
    return plant


def every() -> None:
    for each in (each for name, each in PLANTS.items() if name != "all"):
        each()


PLANTS: dict[str, Callable[[], None]] = {
    "each-in-order": gate("EACH_IN_ORDER"), "newest": gate("NEWEST"), "by-extent": gate("BY_EXTENT"), "batches": gate("BATCHES"),
    "all": every}
