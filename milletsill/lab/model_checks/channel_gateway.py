"""A simulated gateway that runs the real channel owner.

The gateway's clock may have a rate error within the allowed drift. Its timers may fire
late, and released requests wait until the simulation sends them.
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

# In tenths of a millisecond, except the drift, which is in parts per thousand.
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
    """Return the extent of a request, which is the first octet of its data."""
    command = request.command
    assert isinstance(command, packets.Write)
    return int(command.data[:1])


class SimulatedTimer:
    """A timer that is due by the gateway's clock; the simulation fires it later."""

    def __init__(self, at: int, call: Callable[[], object]) -> None:
        self.at = at
        self.call = call
        self.is_active = True

    def active(self) -> bool:
        """Return whether the timer has neither fired nor been cancelled."""
        return self.is_active

    def cancel(self) -> None:
        """Cancel the timer."""
        self.is_active = False


class SimulatedLease:
    """A lease term as the channel owner uses it; `index` is its number."""

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
    """A lease request that was sent at `sent_at` by the gateway's clock."""

    sent_at: int
    on_result: Callable[[Any], None]


@dataclass(slots=True)
class PendingRecordWrite:
    """A record write that was sent at `sent_at` by the gateway's clock."""

    sent_at: int
    lease: SimulatedLease
    value: bytes
    on_result: Callable[[Any], None]


@dataclass(slots=True)
class QueuedAttempt:
    """A released attempt that was not sent yet."""

    request: NumberedRequest
    release: Release
    attempt: ReleasedAttempt
    on_ended: Callable[[AttemptEnd], None]


class GatewayEnvironment(Protocol):
    """What a gateway needs from the simulated cluster."""

    now: int
    catalog: ContractCatalog

    def on_released(self, request: NumberedRequest) -> None:
        """Check a numbered request that is released."""

    def on_lease_released(self, holder: tuple[str, int]) -> None:
        """Release the lease of a gateway, given by name and incarnation."""


class SimulatedGateway:
    """One gateway with its clock, a simulated lease manager and its channel owner.

    A killed gateway is replaced by one of the next incarnation.
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
        """Return the reading of the gateway's clock."""
        return self.cluster.now * (1000 + self.rate) // 1000

    def callLater(  # noqa: N802 - the reactor's name
        self, seconds: float, call: Callable[..., object], *values: Any
    ) -> SimulatedTimer:
        """Schedule a call; the interface of a reactor."""
        due = self.now() + int(seconds * UNITS_PER_SECOND)
        timer = SimulatedTimer(due, lambda: call(*values))
        self.timers = [each for each in self.timers if each.is_active] + [timer]
        return timer

    def has_due_timer(self) -> bool:
        """Return whether any timer is due."""
        return any(each.is_active and each.at <= self.now() for each in self.timers)

    def fire_due_timers(self) -> None:
        """Fire all due timers."""
        due = [each for each in self.timers if each.is_active and each.at <= self.now()]
        for timer in due:
            timer.is_active = False
            timer.call()

    def kill(self) -> None:
        """Drop all pending work, so that the gateway does nothing further."""
        self.is_dead = True
        self.pending = []
        self.queue = []
        self.timers = []

    # The lease manager.

    def preferred_holder(self, key: str) -> str:
        """Return no name, since no gateway is preferred."""
        return ""

    def acquire(self, key: str, on_result: Callable[[Any], None]) -> None:
        """Queue a lease request."""
        self.pending.append(PendingAcquire(self.now(), on_result))

    def write(
        self, lease: SimulatedLease, value: bytes, on_result: Callable[[Any], None]
    ) -> None:
        """Queue a record write."""
        self.pending.append(PendingRecordWrite(self.now(), lease, value, on_result))

    def holds(self, lease: SimulatedLease) -> bool:
        """Return whether a lease is held, by this gateway's clock."""
        return not lease.is_ended and self.now() < lease.expires_at

    def release(self, lease: SimulatedLease) -> None:
        """Release a lease."""
        lease.is_ended = True
        self.cluster.on_lease_released((self.name, self.incarnation))

    # The interface that runs attempts.

    def access_ranges(self, request: NumberedRequest) -> AccessRanges:
        """Return the single extent of a request."""
        return (AccessRange(extent_of(request)),)

    def key_window(self, command: ChannelCommand) -> int:
        """Return how long nodes remember an idempotency key."""
        return KEY_WINDOW

    def run_attempt(
        self,
        release: Release,
        lease: Any,
        deadline: int,
        on_ended: Callable[[AttemptEnd], None],
    ) -> None:
        """Queue a released attempt."""
        request = release.request.recipient.body
        assert isinstance(request, NumberedRequest)
        key = f"{release.number}.{release.key_generation}"
        leases: Any = self
        attempt = ReleasedAttempt(leases, lease, key, deadline, release.is_retry)
        self.cluster.on_released(request)
        self.queue.append(QueuedAttempt(request, release, attempt, on_ended))
