"""Faults of the laboratory's network and their effect on links between gateways.

The functions depend only on faults, times and a random generator; they use no socket
and no clock. Gateways are numbers. Times are seconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from milletsill.settings.milletsill_pb2 import Scenario

CUTS: dict[str, Callable[[bool, bool], bool]] = {
    "split": lambda sender_in, receiver_in: sender_in != receiver_in,
    "isolate": lambda sender_in, receiver_in: sender_in or receiver_in,
    "cut_one_way": lambda sender_in, receiver_in: sender_in,
}
"""Whether a fault cuts a link, given whether its ends are in the fault's set.

`split` separates the set from the rest; `isolate` separates each gateway of the set
from all others; `cut_one_way` drops what the set sends, but not what it receives.
"""
NETWORK_FAULTS = (*CUTS, "lossy", "slow_network", "reset_network")
RESEND_DELAY = 0.2
"""Seconds until a lost piece of a stream is resent."""
MAX_RESEND_LOSS = 0.9
DUPLICATE_SPREAD = 0.02
"""Seconds after the first copy within which a duplicated packet arrives again."""


class FaultSettings(Protocol):
    """The settings of a fault in a scenario or a control command."""

    @property
    def what(self) -> str:
        """The kind of fault."""

    @property
    def on(self) -> Iterable[int]:
        """The gateways that the settings name."""

    @property
    def part(self) -> float:
        """The share of all gateways that is drawn at random if none is named."""

    @property
    def at_s(self) -> float:
        """The fault's start, in seconds after the run's start."""

    @property
    def for_s(self) -> float:
        """How many seconds the fault lasts."""

    @property
    def size(self) -> float:
        """See `NetworkFault`."""

    @property
    def extra(self) -> float:
        """See `NetworkFault`."""

    def HasField(self, field: str) -> bool:  # noqa: N802
        """Return whether a field is set."""


@dataclass(frozen=True, slots=True)
class NetworkFault:
    """A fault of the network, from `since` until `until`.

    For a lossy network, `size` is the share of packets that is lost and `extra` the
    share that is duplicated. For a slow network, `size` is the delay and `extra` the
    greatest random addition to it, both in milliseconds; the addition reorders packets.
    """

    kind: str
    since: float
    until: float
    gateways: frozenset[int]
    size: float = 0.0
    extra: float = 0.0

    def cuts(self, sender: int, receiver: int) -> bool:
        """Return whether the fault cuts the link from one gateway to another."""
        rule = CUTS.get(self.kind)
        if rule is None:
            return False
        return rule(sender in self.gateways, receiver in self.gateways)

    def touches(self, sender: int, receiver: int) -> bool:
        """Return whether a lossy or slow network or a reset affects two gateways' link.

        Without a set, the fault affects all links.
        """
        return not self.gateways or sender in self.gateways or receiver in self.gateways


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """The present condition of the link from one gateway to another.

    `loss` and `duplication` are shares; `delay` and `jitter` are seconds.
    """

    cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0

    def draw_delay(self, random: Random) -> float:
        """Draw the delay of a packet or piece, in seconds."""
        if not self.jitter:
            return self.delay
        return self.delay + random.random() * self.jitter

    def draw_copies(self, random: Random) -> tuple[float, ...]:
        """Draw the delay of each copy of a packet, in seconds; empty if it is lost."""
        if self.cut or (self.loss and random.random() < self.loss):
            return ()
        first = self.draw_delay(random)
        if self.duplication and random.random() < self.duplication:
            return first, first + random.random() * DUPLICATE_SPREAD
        return (first,)

    def draw_piece(self, random: Random) -> float:
        """Draw the delay of a piece of a stream, in seconds.

        Streams lose nothing: each loss adds the delay until the piece is resent.
        """
        after = self.draw_delay(random)
        while self.loss and random.random() < min(self.loss, MAX_RESEND_LOSS):
            after += RESEND_DELAY
        return after


CLEAR = LinkCondition()


def network_fault(
    settings: FaultSettings, start: float, gateway_count: int, random: Random
) -> NetworkFault:
    """Make a fault from its settings; draw the gateways if the settings name none."""
    named = [number for number in settings.on if number < gateway_count]
    drawn: list[int] = []
    if settings.what in CUTS or settings.HasField("part"):
        count = max(round(settings.part * gateway_count), 1)
        drawn = random.sample(range(gateway_count), min(count, gateway_count))
    since = start + settings.at_s
    return NetworkFault(
        settings.what,
        since,
        since + settings.for_s,
        frozenset(named or drawn),
        settings.size,
        settings.extra,
    )


def network_faults(scenario: Scenario, start: float) -> list[NetworkFault]:
    """Return all network faults of a scenario; random sets are drawn in its order."""
    random = Random(scenario.seed + 5)
    return [
        network_fault(trouble, start, scenario.edges, random)
        for trouble in scenario.trouble
        if trouble.what in NETWORK_FAULTS
    ]


def link_condition(
    faults: Iterable[NetworkFault], sender: int, receiver: int
) -> LinkCondition:
    """Return the condition of a link under these faults, all of which are active."""
    cut = False
    kept = 1.0
    duplication = 0.0
    delay = 0.0
    jitter = 0.0
    for fault in faults:
        cut = cut or fault.cuts(sender, receiver)
        if not fault.touches(sender, receiver):
            continue
        if fault.kind == "lossy":
            kept *= 1 - fault.size
            duplication = max(duplication, fault.extra)
        elif fault.kind == "slow_network":
            delay += fault.size / 1000
            jitter = max(jitter, fault.extra / 1000)
    if not (cut or kept < 1 or duplication or delay or jitter):
        return CLEAR
    return LinkCondition(cut, 1 - kept, duplication, delay, jitter)
