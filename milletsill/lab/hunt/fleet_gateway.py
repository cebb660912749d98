"""One gateway of a simulated fleet.

It runs the real membership, shared health and leases on a simulated clock. The sockets,
the acceptor's worker thread and its store's directory are simulated.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol, TypeVar

from prometheus_client import CollectorRegistry

from milletsill.errors import MilletsillError
from milletsill.fleet.health.report_store import NodeObservation
from milletsill.fleet.health.shared_health import (
    HealthConfig,
    HealthEnvironment,
    SharedHealth,
)
from milletsill.fleet.leases.acceptor_service import AcceptorService
from milletsill.fleet.leases.blocking_worker import run_guarded
from milletsill.fleet.leases.errors import CoordinationError
from milletsill.fleet.leases.lease_manager import LeaseManager
from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
from milletsill.fleet.leases.lease_term import LeaseTerm
from milletsill.fleet.leases.timings import LeaseTimings
from milletsill.lab.hunt.simulated_disk import SimulatedDisk
from milletsill.lab.hunt.simulated_health import (
    AdviceRecorder,
    SimulatedObserver,
    evaluate_nothing,
    ignore_log,
)
from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_member import SimulatedMember
from milletsill.lab.simulated_network import SimulatedNetwork

T = TypeVar("T")

PUBLISH_INTERVAL = 5000  # ticks of 0.1 ms
REPORT_LIFETIME = 60 * SECOND
MAX_FLAGGED_SHARE = 0.34
MAX_GATEWAYS = 4096
MAX_NODES = 64
LEASE_TIMINGS = LeaseTimings(2 * SECOND, 3000, 5)
MAX_LEASES = 64
NEVER_IDLE = 1 << 50
RIVAL_COUNT = (
    9  # gateways that at times acquire a lease whose preferred holder is another
)
RIVAL_CHANCE = 0.05
RELEASE_CHANCE = 0.05
CHANNEL_NAMES = tuple(f"channel-{number}" for number in range(4))


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """The size of a simulated fleet and of each role in it.

    Attributes:
        gateways: number of members; the lowest numbers take each of the roles below.
        acceptors: number of lease acceptors; 0 for a fleet without leases.
        channel_users: number of gateways that write channels.
        evaluators: number of gateways that evaluate node health; 0 for a fleet without
            shared health.
        nodes: number of storage nodes.
    """

    gateways: int
    acceptors: int = 3
    channel_users: int = 9
    evaluators: int = 3
    nodes: int = 10


class FleetEnvironment(Protocol):
    """What a simulated gateway needs from the fleet simulation."""

    shape: FleetShape

    @property
    def acceptor_names(self) -> Sequence[str]:
        """The names of the gateways that are acceptors."""

    @property
    def node_shards(self) -> Mapping[int, int]:
        """The shard of each storage node."""

    def index_of(self, name: str) -> int:
        """Return a gateway's number in the fleet."""

    def clock_offset(self, gateway: FleetGateway) -> int:
        """Return by how many ticks the gateway's clock is ahead of true time."""

    def disk_of(self, gateway: FleetGateway) -> SimulatedDisk:
        """Return the gateway's disk."""

    def nodes_in_use(self, gateway: FleetGateway) -> Collection[int]:
        """Return the nodes that the gateway sends to."""

    def sees_failing_nodes(self, gateway: FleetGateway) -> bool:
        """Return whether the gateway sees a failing or slow node."""

    def observe(self, gateway: FleetGateway) -> dict[int, NodeObservation]:
        """Return the gateway's recent observations, by node."""

    def allocate_write(self, base: int) -> int:
        """Return the number of a new write that replaces write `base`."""

    def on_lease_acquired(
        self, gateway: FleetGateway, channel: str, write: int
    ) -> None:
        """Check a gateway that acquired a lease and read `write` from its record."""

    def on_write_acknowledged(
        self, gateway: FleetGateway, channel: str, write: int
    ) -> None:
        """Check a write that a majority of acceptors accepted."""


class DelayedJobWorker:
    """Simulates the acceptor's worker thread.

    A job runs on the disk at once, and its result is delivered after the disk's
    latency. A gateway killed in between has written without sending a reply.
    """

    def __init__(self, gateway: FleetGateway) -> None:
        self.gateway = gateway
        self.is_stopped = False

    def run(
        self, job: Callable[[], T], on_result: Callable[[T | MilletsillError], None]
    ) -> None:
        """Run a job; call `on_result` once, unless stopped before."""
        if self.is_stopped:
            return
        result = run_guarded(job)

        def deliver() -> None:
            if not self.is_stopped:
                on_result(result)

        self.gateway.callLater(self.gateway.disk.latency / SECOND, deliver)

    def stop(self) -> None:
        """Deliver no more results."""
        self.is_stopped = True


class GatewayTimer:
    """A scheduled call of a simulated gateway."""

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def active(self) -> bool:
        """Return whether the call has neither run nor been cancelled."""
        return self.action is not None

    def cancel(self) -> None:
        """Cancel the call."""
        self.action = None


class GatewayObservations:
    """One gateway's observations of the nodes; an `ObservationSource`."""

    def __init__(self, fleet: FleetEnvironment, gateway: FleetGateway) -> None:
        self.fleet = fleet
        self.gateway = gateway

    def nodes_in_use(self) -> Collection[int]:
        """Return the nodes that the gateway sends to."""
        return self.fleet.nodes_in_use(self.gateway)

    def sees_failing_nodes(self) -> bool:
        """Return whether the gateway sees a failing or slow node."""
        return self.fleet.sees_failing_nodes(self.gateway)

    def observe(self) -> dict[int, NodeObservation]:
        """Return the gateway's recent observations, by node."""
        return self.fleet.observe(self.gateway)


class FleetGateway(SimulatedMember):
    """A member with shared health and leases that writes to channels.

    Its timers are postponed while it is stalled, and never fire after it was killed.

    Attributes:
        index: its number in the fleet.
        own_random: its own random number generator.
        terms: the latest lease term of each channel.
        pending_writes: the write in progress, by channel.
    """

    shared_health: SharedHealth
    leases: LeaseManager

    def __init__(
        self,
        network: SimulatedNetwork,
        fleet: FleetEnvironment,
        name: str,
        incarnation: int,
        seeds: Sequence[str],
    ) -> None:
        super().__init__(network, name, incarnation, seeds)
        self.fleet = fleet
        self.index = fleet.index_of(name)
        self.disk = fleet.disk_of(self)
        self.own_random = Random(self.random.getrandbits(64))
        self.terms: dict[str, LeaseTerm] = {}
        self.pending_writes: dict[str, int] = {}
        self.advice = AdviceRecorder()
        if fleet.shape.evaluators:
            self._start_health()
        if fleet.shape.acceptors:
            self._start_leases()

    def _start_health(self) -> None:
        config = HealthConfig(
            PUBLISH_INTERVAL,
            REPORT_LIFETIME,
            MAX_FLAGGED_SHARE,
            MAX_GATEWAYS,
            MAX_NODES,
            (),
        )
        environment = HealthEnvironment(
            self,
            lambda: self.network.now,
            self,
            self.advice,
            ignore_log,
            ignore_log,
            CollectorRegistry(),
        )
        health = SharedHealth(config, environment, self.own_random.getrandbits(64))
        observations = GatewayObservations(self.fleet, self)
        health.observer = SimulatedObserver(observations)  # type: ignore[assignment]
        health.shards = dict(self.fleet.node_shards)
        if self.index >= self.fleet.shape.evaluators:
            health.evaluate = evaluate_nothing  # type: ignore[method-assign]
        self.shared_health = health
        delay = self.own_random.random() * PUBLISH_INTERVAL / SECOND
        self.callLater(delay, health.start)

    def _start_leases(self) -> None:
        settings = LeaseSettings(
            acceptors=tuple(self.fleet.acceptor_names),
            timings=LEASE_TIMINGS,
            max_leases=MAX_LEASES,
            idle_after=NEVER_IDLE,
            store_path=f"/{self.name}",
            seed=self.own_random.getrandbits(64),
        )
        environment = LeaseEnvironment(
            self, self.own_now, self, ignore_log, CollectorRegistry()
        )
        self.leases = LeaseManager(settings, environment, DelayedJobWorker(self))
        if self.index < self.fleet.shape.channel_users:
            self.callLater(self.own_random.random(), self._use_channels)

    # The reactor.

    def own_now(self) -> int:
        """Return the reading of this gateway's clock, in ticks."""
        return self.network.now + self.fleet.clock_offset(self)

    def callLater(  # noqa: N802 - Twisted's name
        self, delay: float, call: Callable[..., object], /, *args: Any
    ) -> GatewayTimer:
        """Schedule a call after `delay` seconds of true time."""
        timer = GatewayTimer(lambda: _call(call, args))
        self.network.call_at(self.network.now + int(delay * SECOND), self._fire, timer)
        return timer

    def _fire(self, timer: GatewayTimer) -> None:
        if not self.is_up or timer.action is None:
            return
        if self.network.now < self.stalled_until:
            self.network.call_at(self.stalled_until, self._fire, timer)
            return
        action = timer.action
        timer.action = None
        action()

    # Channels.

    def _use_channels(self) -> None:
        self.callLater(0.2 + 0.6 * self.own_random.random(), self._use_channels)
        for channel in CHANNEL_NAMES:
            if self.own_random.random() < 0.5:
                self._use_channel(channel)

    def _use_channel(self, channel: str) -> None:
        """Write if this gateway holds the lease, else acquire it in some cases.

        The preferred holder always acquires it, and rivals with `RIVAL_CHANCE`.
        """
        term = self.terms.get(channel)
        if term is not None and self.leases.holds(term):
            if channel not in self.pending_writes:
                self._write(channel, term)
            return
        is_preferred = self.leases.preferred_holder(channel) == self.name
        if is_preferred or (
            self.index < RIVAL_COUNT and self.own_random.random() < RIVAL_CHANCE
        ):
            self.leases.acquire(
                channel, lambda result: self._on_acquired(channel, result)
            )

    def _write(self, channel: str, term: LeaseTerm) -> None:
        write = self.fleet.allocate_write(decode_write(term))
        self.pending_writes[channel] = write
        term.in_use = True
        self.leases.write(
            term,
            write.to_bytes(8, "big"),
            lambda error: self._on_written(channel, term, write, error),
        )
        if self.own_random.random() < RELEASE_CHANCE:
            self.leases.release(term)

    def _on_acquired(self, channel: str, result: LeaseTerm | CoordinationError) -> None:
        if not isinstance(result, LeaseTerm):
            return
        self.terms[channel] = result
        if self.leases.holds(result):
            self.fleet.on_lease_acquired(self, channel, decode_write(result))

    def _on_written(
        self,
        channel: str,
        term: LeaseTerm,
        write: int,
        error: CoordinationError | None,
    ) -> None:
        self.pending_writes.pop(channel, None)
        term.in_use = False
        if error is None:
            self.fleet.on_write_acknowledged(self, channel, write)

    def holds(self, channel: str) -> bool:
        """Return whether this gateway considers itself a channel's lease holder."""
        term = self.terms.get(channel)
        return term is not None and self.leases.holds(term)

    def acceptor(self) -> AcceptorService | None:
        """Return the acceptor service, or None if this gateway is no acceptor."""
        if self.name in self.fleet.acceptor_names:
            return self.leases.acceptor
        return None

    def avoids(self, node: int) -> bool:
        """Return whether current health advice is to avoid a node."""
        return self.advice.avoids(node, self.network.now)


def _call(call: Callable[..., object], args: tuple[Any, ...]) -> None:
    call(*args)


def decode_write(term: LeaseTerm) -> int:
    """Return the number of the write in a lease's record; 0 if there is none."""
    return int.from_bytes(term.value or b"\0", "big")
