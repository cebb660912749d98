"""Faults that are planted in gateways on purpose, in the laboratory only.

The audit has to find each of them. Each takes out what one contract's gate rests on;
`lab run --plant NAME` starts the gateways with it. So that this meets a crossing for
sure and not by chance, what was released then lingers on its way to the nodes until
another that its contract orders after it has taken effect. Lingering alone, `linger`,
is lawful: no gate releases that other before, and all contracts are kept.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from milletsill.fleet.channels.access_ranges import ranges_overlap
from milletsill.fleet.channels.contracts import ChannelOrder
from milletsill.fleet.channels.ordering import PREDECESSOR_RULES
from milletsill.fleet.channels.owned_channel import OwnedChannel

MAX_LINGER = 1.0
"""Seconds for which one number is kept back at the most."""


@dataclass(frozen=True, slots=True)
class LingerRule:
    """Which numbers linger under an order, and which others end that.

    `lingers` is asked of a request, `follows` of it and a higher number.
    """

    lingers: Callable[[Any], bool]
    follows: Callable[[Any, Any], bool]


LINGER_RULES: dict[str, LingerRule] = {
    "EACH_IN_ORDER": LingerRule(lambda request: True, lambda one, other: True),
    "NEWEST": LingerRule(lambda request: True, lambda one, other: True),
    "BY_EXTENT": LingerRule(
        lambda request: True,
        lambda one, other: ranges_overlap(one.ranges, other.ranges),
    ),
    "BATCHES": LingerRule(
        lambda request: bool(request.ends_batch),
        lambda one, other: bool(other.batch > one.batch),
    ),
}
ChannelPlace = tuple[int, str]


@dataclass(frozen=True, slots=True)
class LingeringRelease:
    """A release that is kept back, and the timer that ends it."""

    channel: Any
    release: Any
    timer: Any


class LingeringReleases:
    """One number of each channel of these orders at a time, kept back.

    Between its owner and the scheduler; `owned_channel` is the class, whose methods
    this takes the place of.
    """

    def __init__(self, owned_channel: Any, orders: Iterable[str]) -> None:
        self.orders = set(orders)
        self.release = owned_channel.release
        self.on_attempt_ended = owned_channel.on_attempt_ended
        self.kept_back: dict[ChannelPlace, LingeringRelease] = {}
        owned_channel.release = lambda channel, release: self.on_release(
            channel, release
        )
        owned_channel.on_attempt_ended = lambda channel, number, end: self.on_ended(
            channel, number, end
        )

    def place(self, channel: Any) -> ChannelPlace:
        """Return what names a channel at its owner."""
        return id(channel.host), channel.key

    def on_release(self, channel: Any, release: Any) -> None:
        """Keep a release back, or let it go on at once."""
        order = channel.sequencer.contract.order.name
        place = self.place(channel)
        if (
            order not in self.orders
            or place in self.kept_back
            or not LINGER_RULES[order].lingers(release.request)
        ):
            self.release(channel, release)
            return
        reactor = channel.host.reactor
        timer = reactor.callLater(MAX_LINGER, self.resume, place)
        self.kept_back[place] = LingeringRelease(channel, release, timer)

    def on_ended(self, channel: Any, number: int, end: Any) -> None:
        """Let go on what was kept back, where a later number took effect."""
        sequence = channel.sequencer.open_numbers.get(number)
        place = self.place(channel)
        self.on_attempt_ended(channel, number, end)
        kept = self.kept_back.get(place)
        if kept is None or kept.channel is not channel or sequence is None:
            return
        if end.event.name != "SETTLED" or number <= kept.release.number:
            return
        rule = LINGER_RULES[channel.sequencer.contract.order.name]
        if rule.follows(kept.release.request, sequence):
            self.resume(place)

    def resume(self, place: ChannelPlace) -> None:
        """Let a release go on."""
        kept = self.kept_back.pop(place)
        if kept.timer.active():
            kept.timer.cancel()
        self.release(kept.channel, kept.release)


def plant_lingering(*orders: str) -> None:
    """Let releases under these orders linger."""
    LingeringReleases(OwnedChannel, orders)


def open_gate(*orders: str) -> Callable[[], None]:
    """Return what plants that nothing stands before a number under these orders."""

    def plant() -> None:
        rules: Any = PREDECESSOR_RULES
        for order in orders:
            rules[ChannelOrder[order]] = lambda channel, number: None
        plant_lingering(*orders)

    return plant


PLANTED_FAULTS: dict[str, Callable[[], None]] = {
    "each-in-order": open_gate("EACH_IN_ORDER"),
    "newest": open_gate("NEWEST"),
    "by-extent": open_gate("BY_EXTENT"),
    "batches": open_gate("BATCHES"),
    "all": open_gate(*LINGER_RULES),
    "linger": lambda: plant_lingering(*LINGER_RULES),
}
