"""What the stand-in network does to whom and when.

Pure functions of faults, time and chance; no socket, no clock. A gateway is a number.
Times are seconds, on whichever clock the caller keeps to.
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
"""Whether a fault cuts a link, by whether its ends are of the fault's set.

`split` has the set on one side and the rest on the other; `isolate` each of the set by
itself; with `cut_one_way` none hears the set, and the set hears all.
"""
NETWORK_FAULTS = (*CUTS, "lossy", "slow_network", "reset_network")
RESEND_DELAY = 0.2
"""Seconds until a stream's lost piece is sent again."""
MAX_RESEND_LOSS = 0.9
DUPLICATE_SPREAD = 0.02
"""Seconds within which a packet's second copy comes."""


class FaultSettings(Protocol):
    """A fault as a scenario or a control line states it."""

    @property
    def what(self) -> str:
        """The kind of fault."""

    @property
    def on(self) -> Iterable[int]:
        """The gateways that are named."""

    @property
    def part(self) -> float:
        """Which share of all gateways is drawn where none is named."""

    @property
    def at_s(self) -> float:
        """Seconds after the run's start."""

    @property
    def for_s(self) -> float:
        """Seconds that it lasts."""

    @property
    def size(self) -> float:
        """See `NetworkFault`."""

    @property
    def extra(self) -> float:
        """See `NetworkFault`."""

    def HasField(self, field: str) -> bool:  # noqa: N802
        """Return whether a field is given."""


@dataclass(frozen=True, slots=True)
class NetworkFault:
    """A fault of the network, from `since` until `until`.

    Of a lossy network `size` is the share that is lost, `extra` the share that comes
    twice; of a slow one `size` is milliseconds late, `extra` milliseconds more by
    chance, which reorders.
    """

    kind: str
    since: float
    until: float
    gateways: frozenset[int]
    size: float = 0.0
    extra: float = 0.0

    def cuts(self, sender: int, receiver: int) -> bool:
        """Return whether nothing comes from one gateway to another."""
        rule = CUTS.get(self.kind)
        if rule is None:
            return False
        return rule(sender in self.gateways, receiver in self.gateways)

    def touches(self, sender: int, receiver: int) -> bool:
        """Return whether a lossy or slow network lies between two gateways.

        Between all where no set is named.
        """
        return not self.gateways or sender in self.gateways or receiver in self.gateways


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """How what goes from one gateway to another fares now.

    `loss` and `duplication` are shares; `delay` and `jitter` are seconds.
    """

    cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0

    def draw_delay(self, random: Random) -> float:
        """Draw after how many seconds something comes."""
        if not self.jitter:
            return self.delay
        return self.delay + random.random() * self.jitter

    def draw_copies(self, random: Random) -> tuple[float, ...]:
        """Draw after how many seconds each copy of a packet comes; none: it is lost."""
        if self.cut or (self.loss and random.random() < self.loss):
            return ()
        first = self.draw_delay(random)
        if self.duplication and random.random() < self.duplication:
            return first, first + random.random() * DUPLICATE_SPREAD
        return (first,)

    def draw_piece(self, random: Random) -> float:
        """Draw after how many seconds a piece of a stream comes.

        It is never lost and stays in order: it is sent again while it is lost.
        """
        after = self.draw_delay(random)
        while self.loss and random.random() < min(self.loss, MAX_RESEND_LOSS):
            after += RESEND_DELAY
        return after


CLEAR = LinkCondition()


def network_fault(
    settings: FaultSettings, start: float, gateway_count: int, random: Random
) -> NetworkFault:
    """Return a stated fault among so many gateways; who is not named is drawn."""
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
    """Return all that the network does in a scenario's run, drawn in order."""
    random = Random(scenario.seed + 5)
    return [
        network_fault(trouble, start, scenario.edges, random)
        for trouble in scenario.trouble
        if trouble.what in NETWORK_FAULTS
    ]


def link_condition(
    faults: Iterable[NetworkFault], sender: int, receiver: int
) -> LinkCondition:
    """Return how a link fares under these faults, all of which hold now."""
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
