"""The load tool: scripted clients of a scenario, their surges, runs, retries and patience; checks every byte read.

Arrivals are drawn ahead of what comes back (open loop) and belong to their first try. One process plays all clients.
"""

from __future__ import annotations

import json
import os
import time
from itertools import accumulate
from math import ceil
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from milletsill.lab.clients import GatewayConnections, Operation
from milletsill.lab.lateness import LatenessMonitor
from milletsill.lab.record import PacketRecorder
from milletsill.sftp_gateway.deployment import routing_table_of
from milletsill.trace.records import BY_NAME, TICKS_PER_SECOND
from milletsill.trace.service_accounting import CompletedOperation, VolumeEntitlement
from milletsill.trace.service_report import service_ratios
from milletsill.trace.service_terms import ClassTerms, ServiceTerms, encode_terms
from milletsill.trace.trace_file import TraceFile

WEIGHED_FOR = 0.1  # seconds
TICK, TAIL_TICK = (
    0.004,
    0.05,
)  # seconds between looks at what is due, and at what is left once the day is over


class Load:
    """All clients of a scenario. `start` is on the monotonic clock, in seconds."""

    def __init__(
        self,
        reactor: Any,
        scenario: Any,
        edges: list[tuple[str, str]],
        start: float,
        out: str,
    ) -> None:
        self.reactor, self.scenario, self.start_at, self.out = (
            reactor,
            scenario,
            start,
            out,
        )
        self.chance, self.now = Random(scenario.seed), time.monotonic
        self.recorder = PacketRecorder(f"{out}/clients.rec", "clients", "clients")
        self.categories = {each.name: each for each in scenario.gateway.category}
        self.plans = {each.name: each for each in scenario.gateway.plan}
        self.connections = self.operations = self.live = 0
        self.counts: dict[str, int] = {}
        self.rows: dict[tuple[str, str], dict[str, float]] = {}
        self.histograms = {
            name: HdrHistogram(1, 60_000_000, 3) for name in self.categories
        }
        self.worst: dict[int, list[float]] = {}
        self.done: list[CompletedOperation] = []
        self.trace: list[
            Any
        ] = []  # one command a row, as many as the scenario's operations
        self.category_places = {
            each.name: place for place, each in enumerate(scenario.gateway.category)
        }
        self.plan_places = {
            each.name: place for place, each in enumerate(scenario.gateway.plan)
        }
        self.shares: dict[str, tuple[float, list[float]]] = {}
        self.weighed_until = 0.0
        self.lateness = LatenessMonitor()
        self.new_files: list[tuple[Any, str, int]] = []
        self.edges = [
            GatewayConnections(self, name, address, scenario.clients.connections)
            for name, address in edges
        ]
        self.number_of = {
            each.name: place for place, each in enumerate(scenario.gateway.volume)
        }
        self.volumes, self.routing_table = (
            list(scenario.gateway.volume),
            routing_table_of(scenario.gateway),
        )
        self.place()
        self.runs: dict[int, tuple[int, str, int, Any, GatewayConnections]] = {}
        self.tick_at = self.due_at = start

    def place(self) -> None:
        """Which edges each volume comes through, how unevenly, and how much it asks for."""
        chance, count = self.chance, len(self.edges)
        self.ways, self.weights = [], []
        for volume in self.volumes:
            hosts = min(volume.gateways or count, count)
            self.ways.append(chance.sample(range(count), hosts))
            base = list(self.scenario.volume_base)[
                len(self.weights) : len(self.weights) + 1
            ] or [1.0]
            self.weights.append(self.plans[volume.plan].usual_rate * base[0])
        self.leads = [chance.randrange(len(way)) for way in self.ways]
        self.shift_soon()

    def shift(self, part: float) -> None:
        """The leading edge of so large a part of the volumes changes."""
        for place, way in enumerate(self.ways):
            if self.chance.random() < part:
                self.leads[place] = self.chance.randrange(len(way))

    def shift_soon(self) -> None:
        """Leads change by themselves, and with each `reconnect` of the scenario."""
        habit = self.scenario.clients.shift_s
        if habit:
            self.reactor.callLater(habit, self.shift_again, habit)
        for each in self.scenario.trouble:
            if each.what == "reconnect":
                self.reactor.callLater(
                    max(self.start_at + each.at_s - self.now(), 0),
                    self.shift,
                    each.part,
                )

    def shift_again(self, habit: float) -> None:
        if self.now() < self.start_at + self.scenario.seconds:
            self.shift(1.0)
            self.reactor.callLater(
                habit * self.chance.uniform(0.5, 1.5), self.shift_again, habit
            )

    def count(self, what: str, by: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + by

    def next_operation(self) -> int:
        self.operations += 1
        return self.operations

    # Troubles of clients.

    def troubles(self, *names: str) -> list[Any]:
        at = self.now() - self.start_at
        return [
            each
            for each in self.scenario.trouble
            if each.what in names and each.at_s <= at < each.at_s + each.for_s
        ]

    def retries_of(self, plan: str) -> int:
        abused = [
            int(each.size)
            for each in self.troubles("retry_abuse")
            if each.plan in ("", plan)
        ]
        return max(abused + [self.scenario.clients.retries])

    def patience_of(self, category: Any, plan: str) -> float:
        """Seconds that a try may take."""
        hurried = [
            each.extra * category.target_ms
            for each in self.troubles("retry_abuse")
            if each.plan in ("", plan)
        ]
        hurried += [
            each.size * category.target_ms
            for each in self.troubles("give_up")
            if each.plan in ("", plan)
        ]
        return (
            min(hurried + [category.patience_ms * self.scenario.clients.try_share])
            / 1000
        )

    def times(self, number: int) -> float:
        """What a volume asks for now, in multiples of its usual rate."""
        at, by, plan = self.now() - self.start_at, 1.0, self.volumes[number].plan
        for each in self.troubles("burst", "tenant_burst"):
            by *= each.size if each.what == "burst" or each.plan in ("", plan) else 1.0
        for each in self.scenario.surge:
            if (
                each.at_s <= at < each.at_s + each.for_s
                and each.plan in ("", plan)
                and not each.volumes
                and (not each.on or number in each.on)
            ):
                by *= each.times
        return by

    def weigh(self) -> None:
        """What volumes ask for now, by the plan of a row; reckoned a few times a second."""
        now = self.now()
        if now < self.weighed_until:
            return
        self.weighed_until = now + WEIGHED_FOR
        asked = [
            weight * self.times(number) for number, weight in enumerate(self.weights)
        ]
        for plan in {row.plan for row in self.scenario.traffic}:
            usual = [
                w if plan in ("", v.plan) else 0.0
                for v, w in zip(self.volumes, self.weights)
            ]
            there = [
                w if plan in ("", v.plan) else 0.0 for v, w in zip(self.volumes, asked)
            ]
            self.shares[plan] = (
                sum(there) / (sum(usual) or 1.0),
                list(accumulate(there)),
            )

    def hot(self) -> tuple[float, list[int]]:
        """Extra traffic as a share of all, and the volumes that ask for it."""
        found = self.troubles("hot_key", "scan")
        at = self.now() - self.start_at
        surges = [
            each
            for each in self.scenario.surge
            if each.volumes and each.at_s <= at < each.at_s + each.for_s
        ]
        share = sum(each.size for each in found)
        few = max([int(each.extra) for each in found] + [1])
        volumes = list(range(min(few, len(self.volumes))))
        for each in surges:
            share += (each.times - 1) * each.volumes / max(len(self.volumes), 1)
            volumes += list(range(each.volumes))
        return share, volumes

    # Arrivals.

    def run(self) -> None:
        """Called every few milliseconds: arrivals that are due since the last call."""
        now = self.lateness.check(self.start_at, self.due_at)
        ended = self.start_at + self.scenario.seconds
        span = min(now, ended) - max(self.tick_at, self.start_at)
        self.tick_at = now
        if span > 0:
            self.weigh()
            share, few = self.hot()
            for place, row in enumerate(self.scenario.traffic):
                self.arrive(
                    place, row, row.per_s * self.shares[row.plan][0] * span, None
                )
                if share:
                    self.arrive(place, row, row.per_s * span * share, few)
        if now < ended:
            self.again_in(now, TICK)
        elif self.live and now < ended + self.scenario.tail_s:
            self.again_in(now, TAIL_TICK)
        else:
            self.finish()

    def again_in(self, now: float, seconds: float) -> None:
        """The next look, and when it is due: a longer gap that was meant is no lateness, work of this look is."""
        self.due_at = now + seconds
        self.reactor.callLater(seconds, self.run)

    def arrive(self, place: int, row: Any, mean: float, few: list[int] | None) -> None:
        chance, gap = self.chance, 0.0
        while mean > 0 and (
            gap := gap + chance.expovariate(1 / max(row.run, 1))
        ) < mean * max(row.run, 1):
            self.one(place, row, few)

    def one(self, place: int, row: Any, few: list[int] | None) -> None:
        """One operation; a run goes on on the extent of the last."""
        chance, held = self.chance, self.runs.get(place)
        if held is not None and held[0] > 0 and few is None:
            left, path, offset, volume, edge = held
            self.runs[place] = (left - 1, path, offset, volume, edge)
        else:
            number = chance.choice(few) if few else self.draw(row)
            volume = self.volumes[number]
            edge = self.edge_of(number)
            path = f"{volume.root}/f{chance.randrange(self.scenario.files)}"
            offset = (
                chance.randrange(max(self.scenario.file_units // 2, 1))
                * self.scenario.gateway.rules.unit_bytes
            )
            self.runs[place] = (
                int(chance.expovariate(1 / row.run)) if row.run > 1 else 0,
                path,
                offset,
                volume,
                edge,
            )
        rules = self.scenario.gateway.rules
        units = self.units_of(row, volume)
        length = min(
            units * rules.unit_bytes,
            self.scenario.file_units * rules.unit_bytes - offset,
        )
        if row.operation == "new":
            path, offset = (
                f"{volume.root}/new-{self.operations}-{chance.getrandbits(32):08x}",
                0,
            )
        elif row.operation == "read" and self.new_files and chance.random() < 0.2:
            volume, path, length = self.new_files[chance.randrange(len(self.new_files))]
            offset, edge = 0, self.edge_of(self.volumes.index(volume))
        if row.operation == "list":
            path = volume.root
        self.live += 1
        Operation(self, row, volume, edge, path, offset, length)

    def units_of(self, row: Any, volume: Any) -> int:
        """A size by chance that the operator's routes put into the row's category, if any does."""
        rules, place = (
            self.scenario.gateway.rules,
            self.routing_table.volumes_by_root[volume.root],
        )
        operation = "read" if row.operation == "read" else "write"
        for _ in range(30):
            units = min(
                max(int(self.chance.expovariate(1 / row.units)) + 1, 1),
                rules.largest_units,
            )
            category = self.routing_table.request_class(
                operation, place, units * rules.unit_bytes
            )
            if self.scenario.gateway.category[category].name == row.category:
                return units
        return units

    def made(self, operation: Operation) -> None:
        """A new file that stands: later reads of it come through any edge of its volume."""
        if len(self.new_files) < 500:
            self.new_files.append((operation.volume, operation.path, operation.length))

    def draw(self, row: Any) -> int:
        """A volume by what it asks for now."""
        return self.chance.choices(
            range(len(self.volumes)), cum_weights=self.shares[row.plan][1]
        )[0]

    def edge_of(self, volume: int) -> GatewayConnections:
        """One of its edges, its leading one more often."""
        way, lead = self.ways[volume], self.leads[volume]
        skew = self.scenario.clients.skew
        weights = [
            1 / (1 + (place - lead) % len(way)) ** skew for place in range(len(way))
        ]
        return self.edges[self.chance.choices(way, weights)[0]]

    # Results.

    def ended(self, operation: Operation, final: str) -> None:
        self.live -= 1
        took = self.now() - operation.began
        category, plan = operation.category, self.plans[operation.volume.plan]
        utility = (
            category.utility
            * plan.price
            * max(operation.length / self.scenario.gateway.rules.unit_bytes, 1)
        )
        row = self.rows.setdefault(
            (category.name, plan.name), {"due": 0.0, "in_time": 0.0, "late": 0.0}
        )
        row["due"] += utility
        row[final] = row.get(final, 0) + 1
        second = int(operation.began - self.start_at)
        slot = self.worst.setdefault(second, [0.0, 0.0])
        slot[1] += utility
        in_time = final == "satisfied" and took * 1000 <= category.target_ms
        counts = (
            1.0 if in_time else category.late_utility if final == "satisfied" else 0.0
        )
        units = max(operation.length / self.scenario.gateway.rules.unit_bytes, 1)
        span, place = ceil(took * TICKS_PER_SECOND), self.category_places[category.name]
        self.trace.append(
            (
                int((operation.began - self.start_at) * TICKS_PER_SECOND) + span,
                BY_NAME["command"],
                (
                    int((operation.began - self.start_at) * TICKS_PER_SECOND),
                    span,
                    operation.volume.name,
                    self.plan_places[plan.name],
                    place,
                    operation.row.operation,
                    units,
                    1,
                    0,
                    final,
                    "",
                ),
            )
        )
        self.done.append(
            CompletedOperation(
                second,
                self.number_of[operation.volume.name],
                category.name,
                units,
                category.utility * plan.price,
                counts,
                not in_time,
            )
        )
        if final == "satisfied":
            row["in_time" if in_time else "late"] += utility
            slot[0] += utility if in_time else 0.0
            self.histograms[category.name].record_value(max(int(took * 1e6), 1))

    def terms(self) -> ServiceTerms:
        """What the service figure needs."""
        rules, scenario = self.scenario.gateway.rules, self.scenario
        kinds = {each.name: each for each in scenario.kind}
        cores = sum(
            kinds[each.kind].cores * kinds[each.kind].speed * each.count
            for each in scenario.box
        )
        asked = sum(row.per_s * row.units for row in scenario.traffic) or 1.0
        work = (
            sum(
                row.per_s * row.units * row.work_ms / 1000 / rules.unit_mean
                for row in scenario.traffic
            )
            / asked
        )
        claims = [
            VolumeEntitlement(
                self.plans[each.plan].reserve_rate, self.plans[each.plan].weight
            )
            for each in self.volumes
        ]
        categories = [
            ClassTerms(
                each.name, int(each.target_ms * 10), each.utility, each.late_utility
            )
            for each in scenario.gateway.category
        ]
        return ServiceTerms(
            categories,
            [each.price for each in scenario.gateway.plan],
            dict(self.number_of),
            claims,
            cores / max(work, 1e-9),
            rules.largest_units,
            rules.share_utility,
            rules.spare_utility,
        )

    def counted(self) -> dict[str, float]:
        """Service by reserve, share and the rest, in all ('') and by category."""
        return service_ratios(self.done, self.terms())

    def write_trace(self) -> None:
        """What the clients asked for and got, as a trace; times count from the day's start."""
        about = {
            "name": "clients",
            "seed": self.scenario.seed,
            "opened": 0,
            "wall_ms": int(time.time() * 1000),
            "terms": encode_terms(self.terms()),
        }
        path = f"{self.out}/clients.mtrace"
        if os.path.exists(path):
            os.unlink(path)
        TraceFile(path, about).write_all(self.trace)

    def finish(self) -> None:
        """Write what came of it and end."""
        for edge in self.edges:
            edge.ended = True
        quantiles = {
            name: {
                str(q): each.get_value_at_percentile(q) / 1000
                for q in (50, 90, 99, 99.9)
            }
            for name, each in self.histograms.items()
            if each.total_count
        }
        result = {
            "rows": [
                {"category": c, "plan": p, **row}
                for (c, p), row in sorted(self.rows.items())
            ],
            "latency_ms": quantiles,
            "counted": self.counted(),
            "counts": self.counts,
            "operations": self.operations,
            "unended": self.live,
            "worst_lag_ms": self.lateness.worst * 1000,
            "late": self.lateness.to_stored(),
            "seconds": self.worst,
        }
        self.write_trace()
        with open(f"{self.out}/load.json", "w", encoding="utf-8") as sink:
            json.dump(result, sink, indent=1)
        self.reactor.addSystemEventTrigger("after", "shutdown", self.recorder.close)
        self.reactor.stop()
