"""A fleet of gateways on one simulated clock with one seed, checked while it runs.

Throughout a run, no two gateways hold a channel's lease at the same true time, and a
new holder knows every acknowledged write. Stalls, slow disks and false health reports
alone cause no member to be declared gone. After a period without faults, all views are
correct, views with equal digests are equal, health reports are equal at all gateways,
no healthy node is flagged, and each channel is written again.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from milletsill.fleet.health.report_store import NodeObservation
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.transport import View
from milletsill.lab.hunt.fleet_gateway import CHANNEL_NAMES, FleetGateway, FleetShape
from milletsill.lab.hunt.simulated_disk import InMemoryAcceptorStore, SimulatedDisk
from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_member import SimulatedMember
from milletsill.lab.simulated_network import SEED_COUNT, SimulatedNetwork

# Times are ticks of 0.1 ms.
FAULTS_END = 20 * SECOND
FAULT_FREE_PERIOD = 35 * SECOND  # from the last fault to the final checks
CHECK_INTERVAL = 1000
BACKUP_INTERVAL = 3 * SECOND
MAX_HEALING = 5 * SECOND  # after the last fault, live members may be declared gone
MAX_CHANNEL_SILENCE = 20 * SECOND
NODES_PER_SHARD = 2
CLOCK_DRIFTS = (-4000, 0, 4000)  # parts per million
LOW_TRAFFIC = 0.25  # factor on the usual number of answers per node


@dataclass(frozen=True, slots=True)
class NodeImpairment:
    """How gateways observe a failing or slow node.

    Attributes:
        lost_share: share of the attempts that fail.
        relative_pace: log2 of the pace over the usual pace.
    """

    lost_share: float
    relative_pace: float


UNIMPAIRED = NodeImpairment(0.0, 0.0)
ALL_FAIL = NodeImpairment(0.8, 3.0)  # as seen by an isolated gateway
FALSE_REPORT = NodeImpairment(1.0, 4.0)


@dataclass(slots=True)
class FaultState:
    """The faults that are active now.

    Attributes:
        impaired_nodes: the impairment of each failing or slow node.
        false_reports: nodes that a gateway falsely reports as failing, by gateway.
        isolated_gateways: gateways that see all nodes fail.
        clock_jumps: total jump of each gateway's clock, in ticks.
        losses: probabilities that a packet is lost; the largest one applies.
        duplications: probabilities that a datagram is duplicated; the largest one
            applies.
    """

    impaired_nodes: dict[int, NodeImpairment] = field(default_factory=dict)
    false_reports: dict[str, list[int]] = field(default_factory=dict)
    isolated_gateways: set[str] = field(default_factory=set)
    clock_jumps: dict[str, int] = field(default_factory=dict)
    losses: list[float] = field(default_factory=list)
    duplications: list[float] = field(default_factory=list)


class FleetSimulation(SimulatedNetwork):
    """The gateways, the channel writes and node observations, and the checks.

    Attributes:
        gateways: the latest incarnation of each gateway, by name.
        faults: the active faults.
        acknowledged: the latest acknowledged write of each channel.
        acknowledged_at: the time of that acknowledgement.
        expects_no_deaths: whether a live member declared gone is a failure at any time.
        is_quiet: whether gateways make no further observations of nodes.
        failure: the first failed check.
    """

    def __init__(self, seed: int, shape: FleetShape) -> None:
        super().__init__(seed)
        self.shape = shape
        self.names = [f"gateway-{number}" for number in range(shape.gateways)]
        self.acceptor_names = self.names[: shape.acceptors]
        self.clock_drifts = [self.random.choice(CLOCK_DRIFTS) for _ in self.names]
        self.disks = {name: SimulatedDisk() for name in self.names}
        InMemoryAcceptorStore.disks = {
            f"/{name}": disk for name, disk in self.disks.items()
        }
        self.node_shards = {
            node: node // NODES_PER_SHARD for node in range(shape.nodes)
        }
        self.faults = FaultState()
        self.gateways: dict[str, FleetGateway] = {}
        self.base_writes = {0: 0}
        self.acknowledged = dict.fromkeys(CHANNEL_NAMES, 0)
        self.acknowledged_at = dict.fromkeys(CHANNEL_NAMES, 0)
        self.acknowledged_count = 0
        self.acquired_count = 0
        self.traffic = LOW_TRAFFIC if seed % 8 == 0 else 1.0
        self.expects_no_deaths = True
        self.is_quiet = False
        self.failure: str | None = None
        for name in self.names:
            self.start(name, 1, self.seeds_of(name))
        self.call_at(CHECK_INTERVAL, self._check)
        self.call_at(BACKUP_INTERVAL, self._back_up_acceptors)

    # Gateways.

    def seeds_of(self, name: str) -> list[str]:
        """Return the names of the gateways that a starting gateway contacts first."""
        return [other for other in self.names[:SEED_COUNT] if other != name]

    def start(
        self, name: str, incarnation: int = 1, seeds: Sequence[str] = ()
    ) -> FleetGateway:
        """Start a gateway, or restart a killed one."""
        addresses = [f"{seed}:1" for seed in seeds]
        gateway = FleetGateway(self, self, name, incarnation, addresses)
        self.members[name] = gateway
        self.gateways[name] = gateway
        return gateway

    def live_gateways(self) -> list[FleetGateway]:
        """Return the gateways that are up."""
        return [gateway for gateway in self.gateways.values() if gateway.is_up]

    def send(self, sender: SimulatedMember, sent: SendMessage) -> None:
        """Send a message, and duplicate it with the probability of the active fault."""
        super().send(sender, sent)
        duplications = self.faults.duplications
        if (
            duplications
            and not sent.stream
            and self.random.random() < max(duplications)
        ):
            super().send(sender, sent)

    def index_of(self, name: str) -> int:
        """Return a gateway's number in the fleet."""
        return self.names.index(name)

    def clock_offset(self, gateway: FleetGateway) -> int:
        """Return by how many ticks the gateway's clock is ahead of true time."""
        drift = self.clock_drifts[gateway.index]
        jump = self.faults.clock_jumps.get(gateway.name, 0)
        return self.now * drift // 1_000_000 + jump

    def disk_of(self, gateway: FleetGateway) -> SimulatedDisk:
        """Return the gateway's disk."""
        return self.disks[gateway.name]

    def record_failure(self, failure: str) -> None:
        """Record a failed check, if it is the first."""
        if not self.failure:
            self.failure = f"at {self.now / SECOND:.3f} s: {failure}"

    # Channels.

    def allocate_write(self, base: int) -> int:
        """Return the number of a new write that replaces write `base`."""
        write = len(self.base_writes)
        self.base_writes[write] = base
        return write

    def on_lease_acquired(
        self, gateway: FleetGateway, channel: str, write: int
    ) -> None:
        """Check that the new holder read all acknowledged writes."""
        self.acquired_count += 1
        self._check_single_holder(channel)
        latest = self.acknowledged[channel]
        if not self._includes(write, latest):
            self.record_failure(
                f"{gateway.name} acquires {channel} without acknowledged write {latest}"
            )

    def on_write_acknowledged(
        self, gateway: FleetGateway, channel: str, write: int
    ) -> None:
        """Check that a write includes the write acknowledged before it."""
        latest = self.acknowledged[channel]
        if not self._includes(write, latest):
            self.record_failure(
                f"{gateway.name} writes {channel} without acknowledged write {latest}"
            )
        self.acknowledged[channel] = write
        self.acknowledged_at[channel] = self.now
        self.acknowledged_count += 1

    def _includes(self, write: int, older: int) -> bool:
        while write > older:
            write = self.base_writes[write]
        return write == older

    def _check_single_holder(self, channel: str) -> None:
        holders = [
            gateway.name
            for gateway in self.live_gateways()
            if gateway.index < self.shape.channel_users and gateway.holds(channel)
        ]
        if len(holders) > 1:
            self.record_failure(f"{' and '.join(holders)} hold the lease of {channel}")

    # Storage nodes.

    def nodes_in_use(self, gateway: FleetGateway) -> Collection[int]:
        """Return the nodes that the gateway sends to."""
        if self.is_quiet:
            return ()
        return [node for node in self.node_shards if not gateway.avoids(node)]

    def sees_failing_nodes(self, gateway: FleetGateway) -> bool:
        """Return whether the gateway sees a failing or slow node."""
        if self.is_quiet:
            return False
        return (
            bool(self.faults.impaired_nodes)
            or gateway.name in self.faults.isolated_gateways
            or gateway.name in self.faults.false_reports
        )

    def observe(self, gateway: FleetGateway) -> dict[int, NodeObservation]:
        """Return the gateway's recent observations, by node."""
        if self.is_quiet:
            return {}
        return {
            node: self._observe_node(gateway, node)
            for node in self.node_shards
            if not gateway.avoids(node)
        }

    def _observe_node(self, gateway: FleetGateway, node: int) -> NodeObservation:
        impairment = self.faults.impaired_nodes.get(node, UNIMPAIRED)
        if gateway.name in self.faults.isolated_gateways:
            impairment = ALL_FAIL
        random = gateway.own_random
        attempts = 1 + random.randrange(4)
        lost = sum(random.random() < impairment.lost_share for _ in range(attempts))
        lost_share = lost / attempts
        pace = impairment.relative_pace
        if node in self.faults.false_reports.get(gateway.name, ()):
            lost_share = FALSE_REPORT.lost_share
            pace = FALSE_REPORT.relative_pace
        answers = attempts * self.traffic
        return NodeObservation(
            sequence=0,
            observed_at=self.now,
            answers=answers,
            lost_share=lost_share,
            wasted_share=min(lost_share + 0.2 * (pace > 0), 1.0),
            paced_answers=answers,
            relative_pace=pace + random.gauss(0, 0.1),
        )

    # Checks.

    def _check(self) -> None:
        self.call_at(self.now + CHECK_INTERVAL, self._check)
        for channel in CHANNEL_NAMES if self.shape.acceptors else ():
            self._check_single_holder(channel)
        if not self.false_deaths:
            return
        if self.expects_no_deaths:
            death = self.false_deaths[0]
            self.record_failure(
                f"{death.observer} declares {death.member} gone while it is up"
            )
        death = self.false_deaths[-1]
        if death.at > FAULTS_END + MAX_HEALING:
            self.record_failure(
                f"{death.observer} declares {death.member} gone after the faults ended"
            )

    def _back_up_acceptors(self) -> None:
        self.call_at(self.now + BACKUP_INTERVAL, self._back_up_acceptors)
        for name in self.acceptor_names:
            gateway = self.gateways[name]
            acceptor = gateway.acceptor()
            if (
                gateway.is_up
                and acceptor is not None
                and acceptor.store is not None
                and acceptor.is_serving()
            ):
                self.disks[name].back_up(acceptor.identity())

    def check_convergence(self) -> None:
        """Check the state that must be reached after the fault-free period."""
        truth = self.true_digest()
        for gateway in self.live_gateways():
            self._check_view(gateway, truth)
            if self.shape.evaluators:
                self._check_verdicts(gateway)
        self._check_equal_digests()
        for channel in CHANNEL_NAMES if self.shape.acceptors else ():
            if self.now - self.acknowledged_at[channel] > MAX_CHANNEL_SILENCE:
                self.record_failure(
                    f"no write to {channel} in {MAX_CHANNEL_SILENCE / SECOND:.0f} s"
                )

    def _check_view(self, gateway: FleetGateway, truth: int) -> None:
        if gateway.digest != truth:
            live = sorted(other.name for other in self.live_gateways())
            seen = sorted(gateway.view.by_name)
            self.record_failure(f"the view of {gateway.name} has {seen}, up are {live}")

    def _check_verdicts(self, gateway: FleetGateway) -> None:
        flagged = [
            f"{node} {held.verdict.name}"
            for node, held in gateway.shared_health.evaluator.nodes.items()
            if held.is_flagged
        ]
        if flagged:
            self.record_failure(
                f"{gateway.name} flags healthy nodes: {', '.join(flagged)}"
            )

    def _check_equal_digests(self) -> None:
        views: dict[int, View] = {}
        for gateway in self.live_gateways():
            digest = gateway.digest
            view = views.setdefault(digest, gateway.view)
            if view.digest != gateway.view.digest:
                self.record_failure(
                    f"{gateway.name} has another view's digest for a different view"
                )

    def check_reports(self) -> None:
        """Check that all gateways have the same health reports."""
        if not self.shape.evaluators:
            return
        live = self.live_gateways()
        if not live:
            return
        expected = live[0].shared_health.store.replicated_state()
        for gateway in live[1:]:
            if gateway.shared_health.store.replicated_state() != expected:
                self.record_failure(
                    f"{gateway.name} has other health reports than {live[0].name}"
                )


def run_until_failure(simulation: FleetSimulation, until: int) -> bool:
    """Run until a time or the first failed check; return whether one failed."""
    return simulation.run(until, lambda: simulation.failure is not None)
