"""The process that holds the stand-in boxes and the registry of a scenario, and does to them what it says."""

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

OF_BOXES = (
    "vanish",
    "slow",
    "pauses",
    "neighbour",
    "report_late",
    "drain",
    "replace",
    "cut",
)


class Stand:
    """All boxes and the registry."""

    def __init__(
        self, reactor: Any, scenario: Any, out: str, registry_port: int
    ) -> None:
        self.reactor, self.scenario, self.out = reactor, scenario, out
        self.chance, self.prefix = (
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
        self.boxes: list[NodeStandIn] = []
        self.read_gaps = ReadGapMonitor(reactor)
        self.read_gaps.check()
        self.work = self.works()
        self.make_boxes()
        self.fill()
        for each in self.boxes:
            self.list(each)

    def begin(self, start: float) -> None:
        """The day starts then, on the monotonic clock, in seconds."""
        for each in self.scenario.trouble:
            self.later(start + each.at_s - time.monotonic(), self.trouble, each)

    def works(self) -> dict[str, WorkEstimate]:
        """Seconds a unit and spread, by category."""
        mean = self.scenario.gateway.rules.unit_mean
        return {
            each.category: WorkEstimate(each.work_ms / 1000 / mean, each.cv)
            for each in self.scenario.traffic
        }

    def make_boxes(self) -> None:
        kinds = {each.name: each for each in self.scenario.kind}
        for group in self.scenario.box:
            for _ in range(group.count):
                self.add(
                    len(self.boxes),
                    len(self.boxes),
                    group.zone,
                    kinds[group.kind],
                    StoredFiles(),
                    False,
                )

    def add(
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
            self.work,
            self.scenario.seed * 1000 + number,
        )
        box = NodeStandIn(self.reactor, settings, files, recorder)
        box.port = self.reactor.listenTCP(
            0, NodeListener(box), interface="127.0.0.1", backlog=512
        )
        if cold:
            box.boot(cold=True)
        self.boxes.append(box)
        return box

    def fill(self) -> None:
        """The files that stand before the day."""
        routing_table, scenario = routing_table_of(self.scenario.gateway), self.scenario
        size = scenario.file_units * scenario.gateway.rules.unit_bytes
        for volume in routing_table.volumes_by_root.values():
            for number in range(scenario.files):
                path = f"{volume.root}/f{number}"
                home, name = routing_table.home_shard(volume, path), path
                cell = home
                if volume.placement == VolumePlacement.FREE:
                    cell, name = (
                        self.chance.choice(volume.shards),
                        f"#pre.{volume.number}.{number}",
                    )
                    self.boxes[home].files.links[path] = format_location(
                        ObjectLocation(cell, name)
                    )
                self.boxes[cell].files.data[name] = bytearray(pattern(path, 0, size))

    def key(self, box: NodeStandIn) -> str:
        return f"{self.prefix}{box.settings.node}"

    def list(self, box: NodeStandIn, state: str = "ready") -> None:
        self.registry.put(self.key(box), box.registry_entry(state))

    def chosen(self, trouble: Any) -> list[NodeStandIn]:
        """The boxes that a trouble is on."""
        if trouble.on:
            return [self.boxes[each] for each in trouble.on if each < len(self.boxes)]
        count = max(round(trouble.part * len(self.boxes)), 1)
        return self.chance.sample(self.boxes, min(count, len(self.boxes)))

    def trouble(self, trouble: Any) -> None:
        """Do it now, and set its end."""
        if trouble.what == "registry_away":
            self.registry.set_away(True)
            self.later(trouble.for_s, self.registry.set_away, False)
        elif trouble.what in OF_BOXES:
            until = time.monotonic() + trouble.for_s
            for box in self.chosen(trouble):
                getattr(self, f"do_{trouble.what}")(box, trouble, until)

    def later(self, seconds: float, call: Any, *values: Any) -> None:
        at(self.reactor, time.monotonic() + max(seconds, 0), call, *values)

    def do_vanish(self, box: NodeStandIn, trouble: Any, until: float) -> None:
        box.vanish()
        gone = self.scenario.registry.vanish_s
        if gone < trouble.for_s:
            self.later(gone, self.registry.delete, self.key(box))
        self.later(trouble.for_s, self.back, box)

    def back(self, box: NodeStandIn) -> None:
        box.restart()
        self.list(box)

    def do_slow(self, box: NodeStandIn, trouble: Any, until: float) -> None:
        box.speed.slow = trouble.size
        self.later(trouble.for_s, setattr, box.speed, "slow", 1.0)

    def do_pauses(self, box: NodeStandIn, trouble: Any, until: float) -> None:
        """`size` milliseconds still, about every `extra` seconds."""
        now = time.monotonic()
        if now < until:
            box.finish(box.engine.advance(now))
            box.speed.still_until = now + trouble.size / 1000
            box.schedule()
            self.later(
                trouble.extra * self.chance.uniform(0.5, 1.5),
                self.do_pauses,
                box,
                trouble,
                until,
            )

    def do_neighbour(
        self, box: NodeStandIn, trouble: Any, until: float, on: bool = True
    ) -> None:
        """`size` of the machine taken, on and off, about every `extra` seconds."""
        now = time.monotonic()
        box.finish(box.engine.advance(now))
        box.speed.taken = min(trouble.size, 0.95) if on and now < until else 0.0
        if now < until:
            self.later(
                trouble.extra * self.chance.uniform(0.5, 1.5),
                self.do_neighbour,
                box,
                trouble,
                until,
                not on,
            )

    def do_report_late(self, box: NodeStandIn, trouble: Any, until: float) -> None:
        box.added_report_delay = trouble.size
        self.later(trouble.for_s, setattr, box, "added_report_delay", 0.0)

    def do_drain(self, box: NodeStandIn, trouble: Any, until: float) -> None:
        """Draining, then away, then back cold."""
        self.list(box, "draining")
        self.later(trouble.for_s, self.back, box)

    def do_replace(self, box: NodeStandIn, trouble: Any, until: float) -> None:
        """Draining, then another box with the same files in the same cell."""
        self.list(box, "draining")
        self.later(trouble.for_s, self.replaced, box)

    def replaced(self, old: NodeStandIn) -> None:
        self.registry.delete(self.key(old))
        old.vanish()
        old.drop()
        self.list(
            self.add(
                len(self.boxes),
                old.settings.shard,
                old.settings.zone,
                old.kind,
                old.files,
                True,
            )
        )

    def do_cut(self, box: NodeStandIn, trouble: Any, until: float) -> None:
        box.cut()

    def flush(self) -> None:
        for each in self.recorders:
            each.flush()
        self.later(0.5, self.flush)

    def close(self) -> None:
        for each in self.recorders:
            each.close()
        with open(f"{self.out}/stand.json", "w", encoding="utf-8") as sink:
            json.dump({"deaf": self.read_gaps.gaps}, sink)
