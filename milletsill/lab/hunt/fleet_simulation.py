"""A fleet of gateways on one simulated clock and one seed, with checks always on.

No two gateways hold a channel's lease at one true moment, and whoever acquires it knows
every write that was acknowledged; views with equal digests are equal; stalls, slow
disks and lies alone make nobody gone. When all has been calm, views are the truth,
health reports are equal, every node that is well is called so, and each channel goes
on.
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
CALM = 35 * SECOND  # after the last fault, until all is looked at
CHECK_INTERVAL = 1000
BACKUP_INTERVAL = 3 * SECOND
HEALED_WITHIN = 5 * SECOND  # after the last fault, until nobody may be called gone
MAX_CHANNEL_SILENCE = 20 * SECOND
NODES_PER_SHARD = 2
CLOCK_DRIFTS = (-4000, 0, 4000)  # parts in a million
QUIET_TRAFFIC = 0.25  # answers of a node, of the usual ones


@dataclass(frozen=True, slots=True)
class NodeIllness:
    """What gateways see of a node that is not well.

    Attributes:
        lost_share: share of the attempts that fail.
        relative_pace: log2 of the pace over the usual one.
    """

    lost_share: float
    relative_pace: float


WELL = NodeIllness(0.0, 0.0)
ALL_FAIL = NodeIllness(0.8, 3.0)  # what a gateway in trouble sees
SLANDER = NodeIllness(1.0, 4.0)


@dataclass(slots=True)
class FaultState:
    """The faults that are there now.

    Attributes:
        ill_nodes: what is wrong with a node.
        slandered: nodes that a gateway tells lies of.
        troubled: gateways that see all nodes fail.
        clock_jumps: by how much a gateway's clock has jumped.
        losses: chances of a packet to be lost; the largest counts.
        duplications: chances of a packet to come twice; the largest counts.
    """

    ill_nodes: dict[int, NodeIllness] = field(default_factory=dict)
    slandered: dict[str, list[int]] = field(default_factory=dict)
    troubled: set[str] = field(default_factory=set)
    clock_jumps: dict[str, int] = field(default_factory=dict)
    losses: list[float] = field(default_factory=list)
    duplications: list[float] = field(default_factory=list)


class FleetSimulation(SimulatedNetwork):
    """The gateways, what they write and see, and the checks.

    Attributes:
        gateways: the latest incarnation of each, by name.
        faults: those that are there now.
        acknowledged: the latest acknowledged write of each channel.
        acknowledged_at: when that was.
        expects_no_deaths: the faults drawn may make nobody gone.
        is_quiet: gateways see nothing of nodes any more.
        failure: what broke first.
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
        self.traffic = QUIET_TRAFFIC if seed % 8 == 0 else 1.0
        self.expects_no_deaths = True
        self.is_quiet = False
        self.failure: str | None = None
        for name in self.names:
            self.start(name, 1, self.seeds_of(name))
        self.call_at(CHECK_INTERVAL, self._check)
        self.call_at(BACKUP_INTERVAL, self._back_up_acceptors)

    # Gateways.

    def seeds_of(self, name: str) -> list[str]:
        """Return the gateways that one knows of at its start."""
        return [other for other in self.names[:SEED_COUNT] if other != name]

    def start(
        self, name: str, incarnation: int = 1, seeds: Sequence[str] = ()
    ) -> FleetGateway:
        """Start a gateway, or start one that was killed again."""
        addresses = [f"{seed}:1" for seed in seeds]
        gateway = FleetGateway(self, self, name, incarnation, addresses)
        self.members[name] = gateway
        self.gateways[name] = gateway
        return gateway

    def live_gateways(self) -> list[FleetGateway]:
        """Return the gateways that are up."""
        return [gateway for gateway in self.gateways.values() if gateway.is_up]

    def send(self, sender: SimulatedMember, sent: SendMessage) -> None:
        """Send a message, at times twice."""
        super().send(sender, sent)
        duplications = self.faults.duplications
        if (
            duplications
            and not sent.stream
            and self.random.random() < max(duplications)
        ):
            super().send(sender, sent)

    def place_of(self, name: str) -> int:
        """Return a gateway's number."""
        return self.names.index(name)

    def clock_offset(self, gateway: FleetGateway) -> int:
        """Return by how many ticks the gateway's clock is ahead of true time."""
        drift = self.clock_drifts[gateway.place]
        jump = self.faults.clock_jumps.get(gateway.name, 0)
        return self.now * drift // 1_000_000 + jump

    def disk_of(self, gateway: FleetGateway) -> SimulatedDisk:
        """Return the gateway's disk."""
        return self.disks[gateway.name]

    def record_failure(self, failure: str) -> None:
        """Keep what broke first."""
        if not self.failure:
            self.failure = f"at {self.now / SECOND:.3f} s: {failure}"

    # Channels.

    def draw_write(self, base: int) -> int:
        """Return the number of a new write that is made over another."""
        write = len(self.base_writes)
        self.base_writes[write] = base
        return write

    def on_lease_acquired(
        self, gateway: FleetGateway, channel: str, write: int
    ) -> None:
        """Check that whoever has the lease knows what was acknowledged."""
        self.acquired_count += 1
        self._check_single_holder(channel)
        latest = self.acknowledged[channel]
        if not self._includes(write, latest):
            self.record_failure(
                f"{gateway.name} takes {channel} without write {latest}, which counted"
            )

    def on_write_acknowledged(
        self, gateway: FleetGateway, channel: str, write: int
    ) -> None:
        """Check that a write was made over what was acknowledged before."""
        latest = self.acknowledged[channel]
        if not self._includes(write, latest):
            self.record_failure(
                f"{gateway.name} writes {channel} over write {latest}, which counted"
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
            if gateway.place < self.shape.channel_users and gateway.holds(channel)
        ]
        if len(holders) > 1:
            self.record_failure(f"{' and '.join(holders)} hold the office of {channel}")

    # Storage nodes.

    def nodes_in_use(self, gateway: FleetGateway) -> Collection[int]:
        """Return the nodes that the gateway sends to."""
        if self.is_quiet:
            return ()
        return [node for node in self.node_shards if not gateway.avoids(node)]

    def sees_trouble(self, gateway: FleetGateway) -> bool:
        """Return whether the gateway sees a node fail or slow."""
        if self.is_quiet:
            return False
        return (
            bool(self.faults.ill_nodes)
            or gateway.name in self.faults.troubled
            or gateway.name in self.faults.slandered
        )

    def observe(self, gateway: FleetGateway) -> dict[int, NodeObservation]:
        """Return what the gateway saw lately."""
        if self.is_quiet:
            return {}
        return {
            node: self._observe_node(gateway, node)
            for node in self.node_shards
            if not gateway.avoids(node)
        }

    def _observe_node(self, gateway: FleetGateway, node: int) -> NodeObservation:
        illness = self.faults.ill_nodes.get(node, WELL)
        if gateway.name in self.faults.troubled:
            illness = ALL_FAIL
        random = gateway.own_random
        attempts = 1 + random.randrange(4)
        lost = sum(random.random() < illness.lost_share for _ in range(attempts))
        lost_share = lost / attempts
        pace = illness.relative_pace
        if node in self.faults.slandered.get(gateway.name, ()):
            lost_share = SLANDER.lost_share
            pace = SLANDER.relative_pace
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
                f"{death.observer} calls {death.member} gone, which lives"
            )
        death = self.false_deaths[-1]
        if death.at > FAULTS_END + HEALED_WITHIN:
            self.record_failure(
                f"{death.observer} calls {death.member} gone, though all is calm"
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

    def check_calm(self) -> None:
        """Check what must hold once all has been calm."""
        truth = self.live_members_digest()
        for gateway in self.live_gateways():
            self._check_view(gateway, truth)
            if self.shape.evaluators:
                self._check_verdicts(gateway)
        self._check_equal_digests()
        for channel in CHANNEL_NAMES if self.shape.acceptors else ():
            if self.now - self.acknowledged_at[channel] > MAX_CHANNEL_SILENCE:
                self.record_failure(f"{channel} is still not written")

    def _check_view(self, gateway: FleetGateway, truth: int) -> None:
        if gateway.digest != truth:
            live = sorted(other.name for other in self.live_gateways())
            seen = sorted(gateway.view.by_name)
            self.record_failure(f"{gateway.name} sees {seen} of {live}")

    def _check_verdicts(self, gateway: FleetGateway) -> None:
        called = [
            f"{node} {held.verdict.name}"
            for node, held in gateway.shared_health.evaluator.nodes.items()
            if held.is_flagged
        ]
        if called:
            self.record_failure(
                f"{gateway.name} has verdicts on boxes that are well: "
                f"{', '.join(called)}"
            )

    def _check_equal_digests(self) -> None:
        views: dict[int, View] = {}
        for gateway in self.live_gateways():
            digest = gateway.digest
            view = views.setdefault(digest, gateway.view)
            if view.digest != gateway.view.digest:
                self.record_failure(
                    f"{gateway.name} has an equal mark and another view"
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
                    f"{gateway.name} has other rows than {live[0].name}"
                )


def run_until_failure(simulation: FleetSimulation, until: int) -> bool:
    """Run up to a time; return whether something broke, which ends the run."""
    return simulation.run(until, lambda: simulation.failure is not None)
