"""The stand-in nodes and the stand-in registry of a scenario, in one process.

It also injects the scenario's faults of nodes and of the registry.
"""

from __future__ import annotations

import json
import time
from random import Random
from typing import Any

from milletsill.lab.lateness import ReadGapMonitor
from milletsill.lab.moment import at
from milletsill.lab.node_listener import NodeListener
from milletsill.lab.node_stand_in import (
    NodeStandIn,
    NodeStandInSettings,
    WorkEstimate,
)
from milletsill.lab.record import PacketRecorder
from milletsill.lab.registry_stand_in import RegistryStandIn, registry_site
from milletsill.lab.stored_files import StoredFiles, pattern
from milletsill.sftp_gateway.deployment import routing_table_of
from milletsill.sftp_gateway.object_location import ObjectLocation, format_location
from milletsill.sftp_gateway.routing_table import VolumePlacement

STAND_IN_FAULTS = (
    "vanish",
    "slow",
    "pauses",
    "neighbour",
    "report_late",
    "drain",
    "replace",
    "cut",
)


class StandIns:
    """All stand-in nodes and the stand-in registry."""

    def __init__(
        self, reactor: Any, scenario: Any, out: str, registry_port: int
    ) -> None:
        self.reactor, self.scenario, self.out = reactor, scenario, out
        self.random, self.prefix = (
            Random(scenario.seed + 1),
            scenario.gateway.registry.prefix,
        )
        self.recorders = [PacketRecorder(f"{out}/registry.rec", "registry", "registry")]
        self.registry = RegistryStandIn(
            reactor, scenario.registry, scenario.seed + 2, self.recorders[0]
        )
        reactor.listenTCP(
            registry_port,
            registry_site(self.registry),
            interface="127.0.0.1",
            backlog=512,
        )
        self.nodes: list[NodeStandIn] = []
        self.read_gaps = ReadGapMonitor(reactor)
        self.read_gaps.check()
        self.estimates = self.work_estimates()
        self.make_nodes()
        self.create_files()
        for each in self.nodes:
            self.publish(each)

    def begin(self, start: float) -> None:
        """Schedule the faults; `start` is the scenario's start in monotonic seconds."""
        for each in self.scenario.trouble:
            self.call_later(
                start + each.at_s - time.monotonic(), self.begin_fault, each
            )

    def work_estimates(self) -> dict[str, WorkEstimate]:
        """Return seconds per unit and coefficient of variation, by request class."""
        mean = self.scenario.gateway.rules.unit_mean
        return {
            each.category: WorkEstimate(each.work_ms / 1000 / mean, each.cv)
            for each in self.scenario.traffic
        }

    def make_nodes(self) -> None:
        kinds = {each.name: each for each in self.scenario.kind}
        for group in self.scenario.box:
            for _ in range(group.count):
                self.add_node(
                    len(self.nodes),
                    len(self.nodes),
                    group.zone,
                    kinds[group.kind],
                    StoredFiles(),
                    False,
                )

    def add_node(
        self,
        number: int,
        cell: int,
        zone: int,
        kind: Any,
        files: StoredFiles,
        cold: bool,
    ) -> NodeStandIn:
        recorder = PacketRecorder(f"{self.out}/box-{number}.rec", "box", str(number))
        self.recorders.append(recorder)
        settings = NodeStandInSettings(
            number,
            cell,
            zone,
            kind,
            self.scenario.gateway.rules,
            self.estimates,
            self.scenario.seed * 1000 + number,
        )
        node = NodeStandIn(self.reactor, settings, files, recorder)
        node.port = self.reactor.listenTCP(
            0, NodeListener(node), interface="127.0.0.1", backlog=512
        )
        if cold:
            node.boot(cold=True)
        self.nodes.append(node)
        return node

    def create_files(self) -> None:
        """Create the files that exist before the scenario starts."""
        routing_table, scenario = routing_table_of(self.scenario.gateway), self.scenario
        size = scenario.file_units * scenario.gateway.rules.unit_bytes
        for volume in routing_table.volumes_by_root.values():
            for number in range(scenario.files):
                path = f"{volume.root}/f{number}"
                home, name = routing_table.home_shard(volume, path), path
                cell = home
                if volume.placement == VolumePlacement.FREE:
                    cell, name = (
                        self.random.choice(volume.shards),
                        f"#pre.{volume.number}.{number}",
                    )
                    self.nodes[home].files.links[path] = format_location(
                        ObjectLocation(cell, name)
                    )
                self.nodes[cell].files.data[name] = bytearray(pattern(path, 0, size))

    def registry_key(self, node: NodeStandIn) -> str:
        return f"{self.prefix}{node.settings.node}"

    def publish(self, node: NodeStandIn, state: str = "ready") -> None:
        self.registry.put(self.registry_key(node), node.registry_entry(state))

    def choose_nodes(self, fault: Any) -> list[NodeStandIn]:
        """Return the nodes that a fault affects."""
        if fault.on:
            return [self.nodes[each] for each in fault.on if each < len(self.nodes)]
        count = max(round(fault.part * len(self.nodes)), 1)
        return self.random.sample(self.nodes, min(count, len(self.nodes)))

    def begin_fault(self, fault: Any) -> None:
        """Begin a fault now, and schedule its end."""
        if fault.what == "registry_away":
            self.registry.set_away(True)
            self.call_later(fault.for_s, self.registry.set_away, False)
        elif fault.what in STAND_IN_FAULTS:
            until = time.monotonic() + fault.for_s
            for node in self.choose_nodes(fault):
                getattr(self, f"do_{fault.what}")(node, fault, until)

    def call_later(self, seconds: float, call: Any, *values: Any) -> None:
        at(self.reactor, time.monotonic() + max(seconds, 0), call, *values)

    def do_vanish(self, node: NodeStandIn, fault: Any, until: float) -> None:
        node.vanish()
        delay = self.scenario.registry.vanish_s
        if delay < fault.for_s:
            self.call_later(delay, self.registry.delete, self.registry_key(node))
        self.call_later(fault.for_s, self.restart, node)

    def restart(self, node: NodeStandIn) -> None:
        node.restart()
        self.publish(node)

    def do_slow(self, node: NodeStandIn, fault: Any, until: float) -> None:
        node.speed.slow = fault.size
        self.call_later(fault.for_s, setattr, node.speed, "slow", 1.0)

    def do_pauses(self, node: NodeStandIn, fault: Any, until: float) -> None:
        """Pause for `size` milliseconds, about every `extra` seconds."""
        now = time.monotonic()
        if now < until:
            node.finish(node.engine.advance(now))
            node.speed.still_until = now + fault.size / 1000
            node.schedule()
            self.call_later(
                fault.extra * self.random.uniform(0.5, 1.5),
                self.do_pauses,
                node,
                fault,
                until,
            )

    def do_neighbour(
        self, node: NodeStandIn, fault: Any, until: float, on: bool = True
    ) -> None:
        """Take the share `size` of the machine, on and off about every `extra` seconds."""
        now = time.monotonic()
        node.finish(node.engine.advance(now))
        node.speed.taken = min(fault.size, 0.95) if on and now < until else 0.0
        if now < until:
            self.call_later(
                fault.extra * self.random.uniform(0.5, 1.5),
                self.do_neighbour,
                node,
                fault,
                until,
                not on,
            )

    def do_report_late(self, node: NodeStandIn, fault: Any, until: float) -> None:
        node.added_report_delay = fault.size
        self.call_later(fault.for_s, setattr, node, "added_report_delay", 0.0)

    def do_drain(self, node: NodeStandIn, fault: Any, until: float) -> None:
        """Drain a node, then restart it cold after `for_s`."""
        self.publish(node, "draining")
        self.call_later(fault.for_s, self.restart, node)

    def do_replace(self, node: NodeStandIn, fault: Any, until: float) -> None:
        """Drain a node, then replace it by a new one with the same files and shard."""
        self.publish(node, "draining")
        self.call_later(fault.for_s, self.finish_replacement, node)

    def finish_replacement(self, old: NodeStandIn) -> None:
        self.registry.delete(self.registry_key(old))
        old.vanish()
        old.drop()
        self.publish(
            self.add_node(
                len(self.nodes),
                old.settings.shard,
                old.settings.zone,
                old.kind,
                old.files,
                True,
            )
        )

    def do_cut(self, node: NodeStandIn, fault: Any, until: float) -> None:
        node.cut()

    def flush(self) -> None:
        for each in self.recorders:
            each.flush()
        self.call_later(0.5, self.flush)

    def close(self) -> None:
        for each in self.recorders:
            each.close()
        with open(f"{self.out}/stand.json", "w", encoding="utf-8") as sink:
            json.dump({"deaf": self.read_gaps.gaps}, sink)
