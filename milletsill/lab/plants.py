"""Faults that are planted in gateways on purpose, in the laboratory only: the audit has to find each of them.

Each takes out what one contract's gate rests on. `lab run --plant NAME` starts the edges with it. So that this meets a crossing for
sure and not by chance, what was let go then lingers on its way to the boxes until another that its contract orders after it has taken
effect. Lingering alone, `linger`, is lawful: no gate lets that other go before, and all contracts are kept.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

LINGERS = 1.0  # seconds that one number is kept back at the most
Follows = Callable[[Any, Any], bool]


def same_extent(one: Any, other: Any) -> bool:
    from milletsill.fleet.channels.ordering import meet

    return meet(one.reaches, other.reaches)


# By order: which numbers linger, and whether a higher one is ordered after one that does.
LINGER: dict[str, tuple[Callable[[Any], bool], Follows]] = {
    "EACH_IN_ORDER": (lambda coming: True, lambda one, other: True),
    "NEWEST": (lambda coming: True, lambda one, other: True),
    "BY_EXTENT": (lambda coming: True, same_extent),
    "BATCHES": (lambda coming: coming.last, lambda one, other: other.batch > one.batch),
}


class Lingering:
    """One number of each channel of these orders at a time, kept back between its keeper and the module."""

    def __init__(self, keeper: Any, orders: set[str]) -> None:
        """`keeper` is the class."""
        self.orders, self.let_go, self.ended = orders, keeper.let_go, keeper.ended
        self.back: dict[tuple[int, str], tuple[Any, Any, Any, Any]] = {}
        keeper.let_go = lambda keeper, held, gone: self.goes(keeper, held, gone)
        keeper.ended = lambda keeper, held, number, input, *rest: self.ends(
            keeper, held, number, input, *rest
        )

    def goes(self, keeper: Any, held: Any, gone: Any) -> None:
        order, place = held.line.contract.order.name, (id(keeper), held.key)
        if (
            order not in self.orders
            or place in self.back
            or not LINGER[order][0](gone.coming)
        ):
            return self.let_go(keeper, held, gone)
        self.back[place] = (
            keeper,
            held,
            gone,
            keeper.reactor.callLater(LINGERS, self.go_on, place),
        )

    def ends(self, keeper: Any, held: Any, number: int, input: Any, *rest: Any) -> None:
        entry, place = held.line.entries.get(number), (id(keeper), held.key)
        self.ended(keeper, held, number, input, *rest)
        back = self.back.get(place)
        if (
            back is not None
            and back[1] is held
            and input.name == "SETTLED"
            and entry is not None
            and number > back[2].number
            and (LINGER[held.line.contract.order.name][1](back[2].coming, entry))
        ):
            self.go_on(place)

    def go_on(self, place: tuple[int, str]) -> None:
        keeper, held, gone, call = self.back.pop(place)
        if call.active():
            call.cancel()
        self.let_go(keeper, held, gone)


def linger(*names: str) -> None:
    from milletsill.fleet.channels.channel_owner import Keeper

    Lingering(Keeper, set(names))


def gate(*names: str) -> Callable[[], None]:
    """Nothing ever stands before a number under these orders."""

    def plant() -> None:
        from milletsill.fleet.channels import ordering

        table: Any = ordering.ORDER_TABLE
        for name in names:
            table[ordering.Order[name]] = lambda line, number: None
        linger(*names)

    return plant


PLANTS: dict[str, Callable[[], None]] = {
    "each-in-order": gate("EACH_IN_ORDER"),
    "newest": gate("NEWEST"),
    "by-extent": gate("BY_EXTENT"),
    "batches": gate("BATCHES"),
    "all": gate(*LINGER),
    "linger": lambda: linger(*LINGER),
}
