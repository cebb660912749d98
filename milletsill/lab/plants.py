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
    from milletsill.fleet.channels.access_ranges import ranges_overlap

    return ranges_overlap(one.ranges, other.ranges)


# By order: which numbers linger, and whether a higher one is ordered after one that does.
LINGER: dict[str, tuple[Callable[[Any], bool], Follows]] = {
    "EACH_IN_ORDER": (lambda request: True, lambda one, other: True),
    "NEWEST": (lambda request: True, lambda one, other: True),
    "BY_EXTENT": (lambda request: True, same_extent),
    "BATCHES": (
        lambda request: request.ends_batch,
        lambda one, other: other.batch > one.batch,
    ),
}


class Lingering:
    """One number of each channel of these orders at a time, kept back between its owner and the module."""

    def __init__(self, owned_channel: Any, orders: set[str]) -> None:
        """`owned_channel` is the class."""
        self.orders = orders
        self.release = owned_channel.release
        self.on_attempt_ended = owned_channel.on_attempt_ended
        self.back: dict[tuple[int, str], tuple[Any, Any, Any]] = {}
        owned_channel.release = lambda channel, release: self.goes(channel, release)
        owned_channel.on_attempt_ended = lambda channel, number, end: self.ends(
            channel, number, end
        )

    def goes(self, channel: Any, release: Any) -> None:
        order = channel.sequencer.contract.order.name
        place = (id(channel.host), channel.key)
        if (
            order not in self.orders
            or place in self.back
            or not LINGER[order][0](release.request)
        ):
            return self.release(channel, release)
        self.back[place] = (
            channel,
            release,
            channel.host.reactor.callLater(LINGERS, self.go_on, place),
        )

    def ends(self, channel: Any, number: int, end: Any) -> None:
        sequence = channel.sequencer.open_sequences.get(number)
        place = (id(channel.host), channel.key)
        self.on_attempt_ended(channel, number, end)
        back = self.back.get(place)
        if (
            back is not None
            and back[0] is channel
            and end.event.name == "SETTLED"
            and sequence is not None
            and number > back[1].number
            and (
                LINGER[channel.sequencer.contract.order.name][1](
                    back[1].request, sequence
                )
            )
        ):
            self.go_on(place)

    def go_on(self, place: tuple[int, str]) -> None:
        channel, release, call = self.back.pop(place)
        if call.active():
            call.cancel()
        self.release(channel, release)


def linger(*names: str) -> None:
    from milletsill.fleet.channels.owned_channel import OwnedChannel

    Lingering(OwnedChannel, set(names))


def gate(*names: str) -> Callable[[], None]:
    """Nothing ever stands before a number under these orders."""

    def plant() -> None:
        from milletsill.fleet.channels.contracts import ChannelOrder
        from milletsill.fleet.channels.ordering import PREDECESSOR_RULES

        rules: Any = PREDECESSOR_RULES
        for name in names:
            rules[ChannelOrder[name]] = lambda channel, number: None
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
