"""The faults that a fault search injects into a simulated fleet.

Spans are in ticks of 0.1 ms; an `index` is a gateway's number in the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from milletsill.lab.hunt.fleet_gateway import FleetGateway
from milletsill.lab.hunt.fleet_simulation import (
    FAULTS_END,
    FleetSimulation,
    NodeImpairment,
)
from milletsill.lab.hunt.simulated_disk import USUAL_LATENCY
from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_network import BlockedPath

STATE_KEPT = "kept"
STATE_OLDER = "older"
STATE_LOST = "lost"
STALLING_SHARE = 0.87  # share of the fleet that "stutter_most" stalls
MIN_REPEATED_STALL = 6600
MAX_REPEATED_STALL = 12_000
MIN_STALL_INTERVAL = 2 * SECOND
MAX_STALL_INTERVAL = 4 * SECOND


class FleetFaults:
    """Injects faults into a simulated fleet, and ends each after its span.

    Args:
        simulation: The fleet.
        ends_at: Latest time at which every fault ends; None for no limit.
    """

    def __init__(
        self, simulation: FleetSimulation, ends_at: int | None = FAULTS_END
    ) -> None:
        self.simulation = simulation
        self.ends_at = ends_at

    def schedule(self, at: int, kind: str, values: tuple[Any, ...]) -> None:
        """Schedule the start of a fault of a named kind."""
        self.simulation.call_at(at, FAULTS[kind], self, *values)

    def _after(self, span: int, call: Callable[..., object], *values: Any) -> None:
        end = self.simulation.now + span
        if self.ends_at is not None:
            end = min(end, self.ends_at)
        self.simulation.call_at(end, call, *values)

    def _name(self, index: int) -> str:
        return self.simulation.names[index]

    # Gateways.

    def kill(self, index: int, down_for: int, state: str = STATE_KEPT) -> None:
        """Kill a gateway (SIGKILL); it restarts with its state kept, older or lost."""
        gateway = self.simulation.gateways[self._name(index)]
        if gateway.is_up:
            self.simulation.kill(gateway.name)
            self._after(down_for, self._restart, gateway, state)

    def leave(self, index: int, down_for: int) -> None:
        """Let a gateway leave (SIGTERM) and restart with its state."""
        gateway = self.simulation.gateways[self._name(index)]
        if gateway.is_up and self.simulation.now >= gateway.stalled_until:
            if self.simulation.shape.acceptors:
                gateway.leases.stop()
            self.simulation.leave(gateway.name)
            self._after(down_for, self._restart, gateway, STATE_KEPT)

    def kill_all(self, down_for: int) -> None:
        """Kill the whole fleet at once."""
        for index in range(len(self.simulation.names)):
            self.kill(index, down_for)

    def _restart(self, former: FleetGateway, state: str) -> None:
        incarnation = former.incarnation + 1
        if state != STATE_KEPT and self._lose_state(former, state):
            incarnation = 1
            if state == STATE_OLDER:
                incarnation = max(former.incarnation - 1, 1)
        seeds = self.simulation.seeds_of(former.name)
        self.simulation.start(former.name, incarnation, seeds)

    def _lose_state(self, former: FleetGateway, state: str) -> bool:
        """Replace a gateway's state by an older or empty one, if that is tolerated.

        Leases tolerate the loss of an acceptor's state only while all other acceptors
        serve, and only of a state whose identity all of them know. Return whether the
        state was replaced.
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

    def stall(self, index: int, span: int) -> None:
        """Stall a gateway, so that it runs no timers and handles no messages."""
        left = max(FAULTS_END - self.simulation.now, 0)
        self.simulation.stall(self._name(index), min(span, left))

    def stall_repeatedly(self, index: int, span: int, seed: int) -> None:
        """Stall a gateway for 660 to 1,200 ms every 2 to 4 s."""
        random = Random(seed)
        at = self.simulation.now
        while at < min(self.simulation.now + span, FAULTS_END):
            stall = random.randrange(MIN_REPEATED_STALL, MAX_REPEATED_STALL)
            self.simulation.call_at(at, self.simulation.stall, self._name(index), stall)
            at += random.randrange(MIN_STALL_INTERVAL, MAX_STALL_INTERVAL)

    def stall_most_repeatedly(self, span: int, seed: int) -> None:
        """Stall most of the fleet repeatedly during the same span."""
        count = len(self.simulation.names)
        stalling = Random(seed).sample(range(count), round(STALLING_SHARE * count))
        for index in stalling:
            self.stall_repeatedly(index, span, seed + index)

    def jump_clock(self, index: int, span: int) -> None:
        """Make a gateway's clock jump by more than the allowed drift.

        A positive span advances the clock at once. A negative span suspends the host
        together with its clock for that long.
        """
        name = self._name(index)
        jumps = self.simulation.faults.clock_jumps
        jumps[name] = jumps.get(name, 0) + span
        if span < 0:
            self.simulation.stall(name, -span)

    # The network.

    def partition(self, parts: tuple[int, ...], span: int) -> None:
        """Partition the fleet by labels, assigned to the gateways in turn."""
        names = self.simulation.names
        groups = [
            [
                name
                for index, name in enumerate(names)
                if parts[index % len(parts)] == label
            ]
            for label in set(parts)
        ]
        for group in groups:
            self._block(group, [name for name in names if name not in group], span)

    def cut_off(self, sender: int, receiver: int, both: bool, span: int) -> None:
        """Block one gateway's messages to another, and with `both` also the reverse."""
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
        """Drop a share of the packets."""
        self.simulation.faults.losses.append(share)
        self._set_loss()
        self._after(span, self._stop_losing, share)

    def _stop_losing(self, share: float) -> None:
        self.simulation.faults.losses.remove(share)
        self._set_loss()

    def _set_loss(self) -> None:
        self.simulation.loss = max(self.simulation.faults.losses, default=0.0)

    def duplicate_packets(self, share: float, span: int) -> None:
        """Duplicate a share of the datagrams."""
        duplications = self.simulation.faults.duplications
        duplications.append(share)
        self._after(span, duplications.remove, share)

    # Disks.

    def slow_disk(self, index: int, latency: int, span: int) -> None:
        """Set the latency of each job of a gateway's disk, in ticks."""
        disk = self.simulation.disks[self._name(index)]
        disk.set_latency(latency)
        self._after(span, disk.set_latency, USUAL_LATENCY)

    def fill_disk(self, index: int, span: int) -> None:
        """Make a gateway's disk full: its database gets no further page."""
        disk = self.simulation.disks[self._name(index)]
        disk.set_full(True)
        self._after(span, disk.set_full, False)

    # Storage nodes, and what gateways report about them.

    def impair_node(self, node: int, lost_share: float, pace: float, span: int) -> None:
        """Make a node fail a share of attempts, or slow by `pace` (a log2 ratio)."""
        impaired_nodes = self.simulation.faults.impaired_nodes
        impaired_nodes[node] = NodeImpairment(lost_share, pace)
        self._after(span, impaired_nodes.pop, node, None)

    def report_falsely(self, index: int, seed: int, span: int) -> None:
        """Make a gateway falsely report a third of the nodes as failing."""
        nodes = list(self.simulation.node_shards)
        false_reports = self.simulation.faults.false_reports
        reported_nodes = Random(seed).sample(nodes, max(len(nodes) // 3, 1))
        false_reports[self._name(index)] = reported_nodes
        self._after(span, false_reports.pop, self._name(index), None)

    def fail_all_attempts(self, index: int, span: int) -> None:
        """Make one gateway see all nodes fail."""
        isolated = self.simulation.faults.isolated_gateways
        isolated.add(self._name(index))
        self._after(span, isolated.discard, self._name(index))


# Keyed by event kind. Recorded failing seeds contain these names, so they stay.
FAULTS: dict[str, Callable[..., None]] = {
    "down": FleetFaults.kill,
    "away": FleetFaults.leave,
    "all_down": FleetFaults.kill_all,
    "stall_": FleetFaults.stall,
    "stutter": FleetFaults.stall_repeatedly,
    "stutter_most": FleetFaults.stall_most_repeatedly,
    "cut_off": FleetFaults.cut_off,
    "split": FleetFaults.partition,
    "losing": FleetFaults.lose_packets,
    "doubles": FleetFaults.duplicate_packets,
    "slow": FleetFaults.slow_disk,
    "full": FleetFaults.fill_disk,
    "make_ill": FleetFaults.impair_node,
    "lie": FleetFaults.report_falsely,
    "trouble": FleetFaults.fail_all_attempts,
    "jump": FleetFaults.jump_clock,
}
