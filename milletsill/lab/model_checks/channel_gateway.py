"""One simulated gateway with the program's own channel owner, and what is around it.

A gateway's clock may run at a wrong rate within the drift, its timers fire late, and
what its owner released waits until the simulation lets it leave.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from milletsill.fleet.channels.access_ranges import AccessRange, AccessRanges
from milletsill.fleet.channels.channel_owner import (
    ChannelOwner,
    ChannelOwnerSettings,
    ChannelTelemetry,
)
from milletsill.fleet.channels.channel_services import AttemptEnd
from milletsill.fleet.channels.commands import ChannelCommand, NumberedRequest
from milletsill.fleet.channels.contracts import ContractCatalog
from milletsill.fleet.channels.effects import Release
from milletsill.fleet.channels.released_attempts import ReleasedAttempt
from milletsill.fleet.channels.timers import UNITS_PER_SECOND
from milletsill.sftp import packets

# Tenths of a millisecond, but for the drift: parts of a thousand.
LEASE_SPAN = 1000
QUARANTINE = 100
KEY_WINDOW = 2400
GAP_TIMEOUT = 20
CLIENT_TIMEOUT = 1500
DRIFT = 20

MAX_CHANNELS = 100
RETRY_DELAY = 10
CHANNEL_KEY = "v/c"


def extent_of(request: NumberedRequest) -> int:
    """The extent that a request touches: the first octet of its data."""
    command = request.command
    assert isinstance(command, packets.Write)
    return int(command.data[:1])


class SimulatedTimer:
    """A timer of a gateway: it is due by the gateway's clock, and fires when let."""

    def __init__(self, at: int, call: Callable[[], object]) -> None:
        self.at = at
        self.call = call
        self.is_active = True

    def active(self) -> bool:
        """Whether it has neither fired nor been cancelled."""
        return self.is_active

    def cancel(self) -> None:
        """It does not fire."""
        self.is_active = False


class SimulatedLease:
    """A lease as a channel owner sees it; `index` tells it from other grants."""

    def __init__(
        self, expires_at: int, value: bytes, value_age: int, index: int
    ) -> None:
        self.expires_at = expires_at
        self.value = value
        self.value_age = value_age
        self.index = index
        self.is_ended = False
        self.in_use = False
        self.key = CHANNEL_KEY


@dataclass(slots=True)
class PendingAcquire:
    """A lease that was asked for at `sent_at`, by the gateway's clock."""

    sent_at: int
    then: Callable[[Any], None]


@dataclass(slots=True)
class PendingRecordWrite:
    """A write of the record that was sent at `sent_at`, by the gateway's clock."""

    sent_at: int
    lease: SimulatedLease
    value: bytes
    then: Callable[[Any], None]


@dataclass(slots=True)
class QueuedAttempt:
    """What was released and is not on its way yet."""

    request: NumberedRequest
    release: Release
    attempt: ReleasedAttempt
    on_ended: Callable[[AttemptEnd], None]


class GatewayEnvironment(Protocol):
    """What a gateway needs of the simulated cluster."""

    now: int
    catalog: ContractCatalog

    def on_released(self, request: NumberedRequest) -> None:
        """A numbered request is released."""

    def on_lease_released(self, holder: tuple[str, int]) -> None:
        """A gateway, by name and incarnation, gives up its lease."""


class SimulatedGateway:
    """One gateway: its clock, its lease manager, its channel owner.

    A gateway that is killed is replaced by another of the next incarnation.
    """

    def __init__(
        self, cluster: GatewayEnvironment, name: str, incarnation: int, rate: int
    ) -> None:
        self.cluster = cluster
        self.name = name
        self.incarnation = incarnation
        self.rate = rate
        self.is_dead = False
        self.pending: list[PendingAcquire | PendingRecordWrite] = []
        self.timers: list[SimulatedTimer] = []
        self.queue: list[QueuedAttempt] = []
        lease_service: Any = self
        self.owner = ChannelOwner(
            ChannelOwnerSettings(name, QUARANTINE, MAX_CHANNELS, cluster.catalog),
            self,
            self.now,
            lease_service,
            self,
            ChannelTelemetry(lambda *event, **fields: None, lambda name: None),
        )

    def now(self) -> int:
        """What its clock reads."""
        return self.cluster.now * (1000 + self.rate) // 1000

    def callLater(  # noqa: N802 - the reactor's name
        self, seconds: float, call: Callable[..., object], *values: Any
    ) -> SimulatedTimer:
        """Set a timer, as a reactor does."""
        due = self.now() + int(seconds * UNITS_PER_SECOND)
        timer = SimulatedTimer(due, lambda: call(*values))
        self.timers = [each for each in self.timers if each.is_active] + [timer]
        return timer

    def has_due_timer(self) -> bool:
        """Whether any timer may fire."""
        return any(each.is_active and each.at <= self.now() for each in self.timers)

    def fire_due_timers(self) -> None:
        """All timers fire that are due."""
        due = [each for each in self.timers if each.is_active and each.at <= self.now()]
        for timer in due:
            timer.is_active = False
            timer.call()

    def kill(self) -> None:
        """Nothing happens here any more."""
        self.is_dead = True
        self.pending = []
        self.queue = []
        self.timers = []

    # The lease manager.

    def preferred_holder(self, key: str) -> str:
        """No gateway is preferred."""
        return ""

    def acquire(self, key: str, then: Callable[[Any], None]) -> None:
        """Ask for a lease."""
        self.pending.append(PendingAcquire(self.now(), then))

    def write(
        self, lease: SimulatedLease, value: bytes, then: Callable[[Any], None]
    ) -> None:
        """Write the record."""
        self.pending.append(PendingRecordWrite(self.now(), lease, value, then))

    def holds(self, lease: SimulatedLease) -> bool:
        """Whether a lease is held, by this gateway's clock."""
        return not lease.is_ended and self.now() < lease.expires_at

    def release(self, lease: SimulatedLease) -> None:
        """Give a lease up."""
        lease.is_ended = True
        self.cluster.on_lease_released((self.name, self.incarnation))

    # The runner of attempts.

    def access_ranges(self, request: NumberedRequest) -> AccessRanges:
        """One extent."""
        return (AccessRange(extent_of(request)),)

    def key_window(self, command: ChannelCommand) -> int:
        """For how long nodes remember an idempotency key."""
        return KEY_WINDOW

    def run_attempt(
        self,
        release: Release,
        lease: Any,
        deadline: int,
        on_ended: Callable[[AttemptEnd], None],
    ) -> None:
        """Queue what was released."""
        request = release.request.recipient.body
        assert isinstance(request, NumberedRequest)
        key = f"{release.number}.{release.key_generation}"
        leases: Any = self
        attempt = ReleasedAttempt(leases, lease, key, deadline, release.is_retry)
        self.cluster.on_released(request)
        self.queue.append(QueuedAttempt(request, release, attempt, on_ended))
