"""Faults that are planted in the gateways on purpose, to test the laboratory's audit.

`lab run --plant NAME` starts the gateways with a planted fault, which the audit must
find. Each fault disables the predecessor rule of one contract's order, so that the
owner releases numbers too early. To produce an ordering violation every time and not by
chance, a released number is also delayed on its way to the nodes until a number that
the contract orders after it has taken effect. The delay alone (`linger`) violates no
contract, since the predecessor rules do not release the later number before.
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
"""Greatest delay of one number, in seconds."""


@dataclass(frozen=True, slots=True)
class LingerRule:
    """Which numbers are delayed under an order, and which others end the delay.

    `lingers` tells whether a request is delayed; `follows` tells whether the order
    places a request with a higher number after it.
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
ChannelKey = tuple[int, str]


@dataclass(frozen=True, slots=True)
class DelayedRelease:
    """A delayed release, and the timer that ends its delay."""

    channel: Any
    release: Any
    timer: Any


class DelayedReleases:
    """Delays one number at a time of each channel with one of these orders.

    The delay lies between the channel owner and the scheduler. `owned_channel` is the
    class whose methods `release` and `on_attempt_ended` are replaced.
    """

    def __init__(self, owned_channel: Any, orders: Iterable[str]) -> None:
        self.orders = set(orders)
        self.release = owned_channel.release
        self.on_attempt_ended = owned_channel.on_attempt_ended
        self.delayed: dict[ChannelKey, DelayedRelease] = {}
        owned_channel.release = lambda channel, release: self.on_release(
            channel, release
        )
        owned_channel.on_attempt_ended = lambda channel, number, end: self.on_ended(
            channel, number, end
        )

    def channel_key(self, channel: Any) -> ChannelKey:
        """Return a key that identifies a channel at its owner."""
        return id(channel.host), channel.key

    def on_release(self, channel: Any, release: Any) -> None:
        """Delay a release, or pass it on at once."""
        order = channel.sequencer.contract.order.name
        channel_key = self.channel_key(channel)
        if (
            order not in self.orders
            or channel_key in self.delayed
            or not LINGER_RULES[order].lingers(release.request)
        ):
            self.release(channel, release)
            return
        reactor = channel.host.reactor
        timer = reactor.callLater(MAX_LINGER, self.resume, channel_key)
        self.delayed[channel_key] = DelayedRelease(channel, release, timer)

    def on_ended(self, channel: Any, number: int, end: Any) -> None:
        """Pass on the delayed release once a number that follows it took effect."""
        open_number = channel.sequencer.open_numbers.get(number)
        channel_key = self.channel_key(channel)
        self.on_attempt_ended(channel, number, end)
        delayed_release = self.delayed.get(channel_key)
        if (
            delayed_release is None
            or delayed_release.channel is not channel
            or open_number is None
        ):
            return
        if end.event.name != "SETTLED" or number <= delayed_release.release.number:
            return
        rule = LINGER_RULES[channel.sequencer.contract.order.name]
        if rule.follows(delayed_release.release.request, open_number):
            self.resume(channel_key)

    def resume(self, channel_key: ChannelKey) -> None:
        """Pass on a delayed release."""
        delayed_release = self.delayed.pop(channel_key)
        if delayed_release.timer.active():
            delayed_release.timer.cancel()
        self.release(delayed_release.channel, delayed_release.release)


def plant_delay(*orders: str) -> None:
    """Delay releases under these orders."""
    DelayedReleases(OwnedChannel, orders)


def disable_predecessor_rules(*orders: str) -> Callable[[], None]:
    """Return a function that disables the predecessor rules of these orders."""

    def plant() -> None:
        rules: Any = PREDECESSOR_RULES
        for order in orders:
            rules[ChannelOrder[order]] = lambda channel, number: None
        plant_delay(*orders)

    return plant


PLANTED_FAULTS: dict[str, Callable[[], None]] = {
    "each-in-order": disable_predecessor_rules("EACH_IN_ORDER"),
    "newest": disable_predecessor_rules("NEWEST"),
    "by-extent": disable_predecessor_rules("BY_EXTENT"),
    "batches": disable_predecessor_rules("BATCHES"),
    "all": disable_predecessor_rules(*LINGER_RULES),
    "linger": lambda: plant_delay(*LINGER_RULES),
}
