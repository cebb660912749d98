"""Faults of a simulated fleet, each as a search draws it.

Spans are ticks of 0.1 ms; a `place` is a gateway's number in the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from milletsill.lab.hunt.fleet_gateway import FleetGateway
from milletsill.lab.hunt.fleet_simulation import (
    FAULTS_END,
    FleetSimulation,
    NodeIllness,
)
from milletsill.lab.hunt.simulated_disk import USUAL_LATENCY
from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_network import BlockedPath

STATE_KEPT = "kept"
STATE_OLDER = "older"
STATE_LOST = "lost"
STUTTERING_SHARE = 0.87  # of the fleet, where most of it stutters
MIN_STUTTER = 6600
MAX_STUTTER = 12_000
MIN_STUTTER_INTERVAL = 2 * SECOND
MAX_STUTTER_INTERVAL = 4 * SECOND


class FleetFaults:
    """Makes faults in a simulated fleet, and ends each when its span is over.

    Args:
        simulation: The fleet.
        ends_at: When every fault is over at the latest; None for no such time.
    """

    def __init__(
        self, simulation: FleetSimulation, ends_at: int | None = FAULTS_END
    ) -> None:
        self.simulation = simulation
        self.ends_at = ends_at

    def schedule(self, at: int, kind: str, values: tuple[Any, ...]) -> None:
        """Let a fault of a named kind begin at a time."""
        self.simulation.call_at(at, FAULTS[kind], self, *values)

    def _after(self, span: int, call: Callable[..., object], *values: Any) -> None:
        end = self.simulation.now + span
        if self.ends_at is not None:
            end = min(end, self.ends_at)
        self.simulation.call_at(end, call, *values)

    def _name(self, place: int) -> str:
        return self.simulation.names[place]

    # Gateways.

    def kill(self, place: int, back: int, state: str = STATE_KEPT) -> None:
        """Kill a gateway (SIGKILL); it starts again with its state kept or not."""
        gateway = self.simulation.gateways[self._name(place)]
        if gateway.is_up:
            self.simulation.kill(gateway.name)
            self._after(back, self._start_again, gateway, state)

    def leave(self, place: int, back: int) -> None:
        """Let a gateway leave (SIGTERM) and start again with its state."""
        gateway = self.simulation.gateways[self._name(place)]
        if gateway.is_up and self.simulation.now >= gateway.stalled_until:
            if self.simulation.shape.acceptors:
                gateway.leases.stop()
            self.simulation.leave(gateway.name)
            self._after(back, self._start_again, gateway, STATE_KEPT)

    def kill_all(self, back: int) -> None:
        """Kill the whole fleet at once."""
        for place in range(len(self.simulation.names)):
            self.kill(place, back)

    def _start_again(self, former: FleetGateway, state: str) -> None:
        incarnation = former.incarnation + 1
        if state != STATE_KEPT and self._lose_state(former, state):
            incarnation = 1
            if state == STATE_OLDER:
                incarnation = max(former.incarnation - 1, 1)
        seeds = self.simulation.seeds_of(former.name)
        self.simulation.start(former.name, incarnation, seeds)

    def _lose_state(self, former: FleetGateway, state: str) -> bool:
        """Lose a gateway's state, if that is a fault that the fleet has to bear.

        An acceptor may lose its own only while all others serve, and only what they
        have heard of.
        """
        names = self.simulation.acceptor_names
        if former.name not in names:
            return True
        others = [self.simulation.gateways[name] for name in names]
        known = []
        for other in others:
            if other.name == former.name:
                continue
            acceptor = other.acceptor()
            if not other.is_up or acceptor is None or not acceptor.is_serving():
                return False
            identity = acceptor.known_identity(former.name)
            if identity is None:
                return False
            known.append(identity)
        disk = self.simulation.disks[former.name]
        if state == STATE_LOST:
            disk.database = None
            return True
        oldest_known = min(known)
        older = [backup for backup in disk.backups if backup.identity < oldest_known]
        if not older:
            return False
        disk.database = older[-1].database
        disk.backups.clear()
        return True

    def stall(self, place: int, span: int) -> None:
        """Let a gateway stand still."""
        left = max(FAULTS_END - self.simulation.now, 0)
        self.simulation.stall(self._name(place), min(span, left))

    def stutter(self, place: int, span: int, seed: int) -> None:
        """Let a gateway stand still for 660 to 1,200 ms every 2 to 4 s."""
        random = Random(seed)
        at = self.simulation.now
        while at < min(self.simulation.now + span, FAULTS_END):
            stall = random.randrange(MIN_STUTTER, MAX_STUTTER)
            self.simulation.call_at(at, self.simulation.stall, self._name(place), stall)
            at += random.randrange(MIN_STUTTER_INTERVAL, MAX_STUTTER_INTERVAL)

    def stutter_most(self, span: int, seed: int) -> None:
        """Let most of the fleet stutter at once."""
        count = len(self.simulation.names)
        stuttering = Random(seed).sample(range(count), round(STUTTERING_SHARE * count))
        for place in stuttering:
            self.stutter(place, span, seed + place)

    def jump_clock(self, place: int, span: int) -> None:
        """Let a gateway's clock jump by more than drift allows.

        It goes on by so much at once; or, below 0, its host is suspended for so long
        and the clock with it.
        """
        name = self._name(place)
        jumps = self.simulation.faults.clock_jumps
        jumps[name] = jumps.get(name, 0) + span
        if span < 0:
            self.simulation.stall(name, -span)

    # The network.

    def partition(self, parts: tuple[int, ...], span: int) -> None:
        """Split the fleet by labels, given to the gateways in turn."""
        names = self.simulation.names
        groups = [
            [
                name
                for place, name in enumerate(names)
                if parts[place % len(parts)] == label
            ]
            for label in set(parts)
        ]
        for group in groups:
            self._block(group, [name for name in names if name not in group], span)

    def cut_off(self, sender: int, receiver: int, both: bool, span: int) -> None:
        """Cut what one gateway sends to another, and with `both` what returns."""
        self._block([self._name(sender)], [self._name(receiver)], span)
        if both:
            self._block([self._name(receiver)], [self._name(sender)], span)

    def _block(
        self, senders: Sequence[str], receivers: Sequence[str], span: int
    ) -> None:
        path = BlockedPath(frozenset(senders), frozenset(receivers))
        self.simulation.blocked.append(path)
        self._after(span, self.simulation.blocked.remove, path)

    def lose_packets(self, share: float, span: int) -> None:
        """Lose a share of the packets."""
        self.simulation.faults.losses.append(share)
        self._set_loss()
        self._after(span, self._stop_losing, share)

    def _stop_losing(self, share: float) -> None:
        self.simulation.faults.losses.remove(share)
        self._set_loss()

    def _set_loss(self) -> None:
        self.simulation.loss = max(self.simulation.faults.losses, default=0.0)

    def duplicate_packets(self, share: float, span: int) -> None:
        """Let a share of the datagrams come twice."""
        duplications = self.simulation.faults.duplications
        duplications.append(share)
        self._after(span, duplications.remove, share)

    # Disks.

    def slow_disk(self, place: int, latency: int, span: int) -> None:
        """Let each job of a gateway's disk take so long."""
        disk = self.simulation.disks[self._name(place)]
        disk.set_latency(latency)
        self._after(span, disk.set_latency, USUAL_LATENCY)

    def fill_disk(self, place: int, span: int) -> None:
        """Let a gateway's disk take no page more."""
        disk = self.simulation.disks[self._name(place)]
        disk.set_full(True)
        self._after(span, disk.set_full, False)

    # Storage nodes, and what gateways say of them.

    def make_node_ill(
        self, node: int, lost_share: float, pace: float, span: int
    ) -> None:
        """Let a node lose attempts, or be slow by `pace` (log2 of the usual)."""
        ill_nodes = self.simulation.faults.ill_nodes
        ill_nodes[node] = NodeIllness(lost_share, pace)
        self._after(span, ill_nodes.pop, node, None)

    def slander(self, place: int, seed: int, span: int) -> None:
        """Let a gateway report a third of the nodes as failing."""
        nodes = list(self.simulation.node_shards)
        slandered = self.simulation.faults.slandered
        lied_about = Random(seed).sample(nodes, max(len(nodes) // 3, 1))
        slandered[self._name(place)] = lied_about
        self._after(span, slandered.pop, self._name(place), None)

    def trouble(self, place: int, span: int) -> None:
        """Let a gateway see all nodes fail."""
        troubled = self.simulation.faults.troubled
        troubled.add(self._name(place))
        self._after(span, troubled.discard, self._name(place))


# By the kind of the event that a search draws, as failing seeds are recorded.
FAULTS: dict[str, Callable[..., None]] = {
    "down": FleetFaults.kill,
    "away": FleetFaults.leave,
    "all_down": FleetFaults.kill_all,
    "stall_": FleetFaults.stall,
    "stutter": FleetFaults.stutter,
    "stutter_most": FleetFaults.stutter_most,
    "cut_off": FleetFaults.cut_off,
    "split": FleetFaults.partition,
    "losing": FleetFaults.lose_packets,
    "doubles": FleetFaults.duplicate_packets,
    "slow": FleetFaults.slow_disk,
    "full": FleetFaults.fill_disk,
    "make_ill": FleetFaults.make_node_ill,
    "lie": FleetFaults.slander,
    "trouble": FleetFaults.trouble,
    "jump": FleetFaults.jump_clock,
}
