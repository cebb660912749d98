"""Generates a scenario's client load: surges, sequential runs, retries and timeouts.

The load is open-loop: arrivals don't depend on answers, and an operation counts at the
time of its first try. One process plays all clients and checks every byte they read.
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

DEMAND_UPDATE_INTERVAL = 0.1  # seconds
TICK, TAIL_TICK = 0.004, 0.05  # seconds between checks: during the run, and after it


class Load:
    """All clients of a scenario; `start` is on the monotonic clock, in seconds."""

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
        self.random, self.now = Random(scenario.seed), time.monotonic
        self.recorder = PacketRecorder(f"{out}/clients.rec", "clients", "clients")
        self.categories = {each.name: each for each in scenario.gateway.category}
        self.plans = {each.name: each for each in scenario.gateway.plan}
        self.connections = self.operations = self.open_operations = 0
        self.counts: dict[str, int] = {}
        self.rows: dict[tuple[str, str], dict[str, float]] = {}
        self.histograms = {
            name: HdrHistogram(1, 60_000_000, 3) for name in self.categories
        }
        self.utility_by_second: dict[int, list[float]] = {}
        self.completed: list[CompletedOperation] = []
        self.trace: list[
            Any
        ] = []  # one row per operation, so bounded by the scenario's operations
        self.category_places = {
            each.name: place for place, each in enumerate(scenario.gateway.category)
        }
        self.plan_places = {
            each.name: place for place, each in enumerate(scenario.gateway.plan)
        }
        self.shares: dict[str, tuple[float, list[float]]] = {}
        self.demand_valid_until = 0.0
        self.lateness = LatenessMonitor()
        self.new_files: list[tuple[Any, str, int]] = []
        self.edges = [
            GatewayConnections(self, name, address, scenario.clients.connections)
            for name, address in edges
        ]
        self.volume_numbers = {
            each.name: place for place, each in enumerate(scenario.gateway.volume)
        }
        self.volumes, self.routing_table = (
            list(scenario.gateway.volume),
            routing_table_of(scenario.gateway),
        )
        self.place_volumes()
        self.sequential_runs: dict[
            int, tuple[int, str, int, Any, GatewayConnections]
        ] = {}
        self.tick_at = self.due_at = start

    def place_volumes(self) -> None:
        """Choose each volume's gateways, its leading gateway and its usual demand."""
        random, count = self.random, len(self.edges)
        self.gateway_groups, self.weights = [], []
        for volume in self.volumes:
            hosts = min(volume.gateways or count, count)
            self.gateway_groups.append(random.sample(range(count), hosts))
            base = list(self.scenario.volume_base)[
                len(self.weights) : len(self.weights) + 1
            ] or [1.0]
            self.weights.append(self.plans[volume.plan].usual_rate * base[0])
        self.leaders = [random.randrange(len(group)) for group in self.gateway_groups]
        self.schedule_shifts()

    def shift(self, part: float) -> None:
        """Draw a new leading gateway for about this share of the volumes."""
        for place, group in enumerate(self.gateway_groups):
            if self.random.random() < part:
                self.leaders[place] = self.random.randrange(len(group))

    def schedule_shifts(self) -> None:
        """Schedule shifts of leading gateways: periodic, and at `reconnect` faults."""
        interval = self.scenario.clients.shift_s
        if interval:
            self.reactor.callLater(interval, self.shift_again, interval)
        for each in self.scenario.trouble:
            if each.what == "reconnect":
                self.reactor.callLater(
                    max(self.start_at + each.at_s - self.now(), 0),
                    self.shift,
                    each.part,
                )

    def shift_again(self, interval: float) -> None:
        if self.now() < self.start_at + self.scenario.seconds:
            self.shift(1.0)
            self.reactor.callLater(
                interval * self.random.uniform(0.5, 1.5), self.shift_again, interval
            )

    def count(self, what: str, by: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + by

    def next_operation(self) -> int:
        self.operations += 1
        return self.operations

    # Faults of clients.

    def active_faults(self, *names: str) -> list[Any]:
        at = self.now() - self.start_at
        return [
            each
            for each in self.scenario.trouble
            if each.what in names and each.at_s <= at < each.at_s + each.for_s
        ]

    def retries_of(self, plan: str) -> int:
        abusive = [
            int(each.size)
            for each in self.active_faults("retry_abuse")
            if each.plan in ("", plan)
        ]
        return max(abusive + [self.scenario.clients.retries])

    def try_timeout_of(self, category: Any, plan: str) -> float:
        """Return the time limit of one try, in seconds."""
        shortened = [
            each.extra * category.target_ms
            for each in self.active_faults("retry_abuse")
            if each.plan in ("", plan)
        ]
        shortened += [
            each.size * category.target_ms
            for each in self.active_faults("give_up")
            if each.plan in ("", plan)
        ]
        return (
            min(shortened + [category.patience_ms * self.scenario.clients.try_share])
            / 1000
        )

    def multiple(self, number: int) -> float:
        """Return a volume's present demand as a multiple of its usual demand."""
        at, by, plan = self.now() - self.start_at, 1.0, self.volumes[number].plan
        for each in self.active_faults("burst", "tenant_burst"):
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

    def update_demand(self) -> None:
        """Update the volumes' demand by plan, once each DEMAND_UPDATE_INTERVAL."""
        now = self.now()
        if now < self.demand_valid_until:
            return
        self.demand_valid_until = now + DEMAND_UPDATE_INTERVAL
        demand = [
            weight * self.multiple(number) for number, weight in enumerate(self.weights)
        ]
        for plan in {row.plan for row in self.scenario.traffic}:
            usual = [
                w if plan in ("", v.plan) else 0.0
                for v, w in zip(self.volumes, self.weights)
            ]
            current = [
                w if plan in ("", v.plan) else 0.0 for v, w in zip(self.volumes, demand)
            ]
            self.shares[plan] = (
                sum(current) / (sum(usual) or 1.0),
                list(accumulate(current)),
            )

    def extra_traffic(self) -> tuple[float, list[int]]:
        """Return the extra traffic as a share of the usual, and its volumes."""
        found = self.active_faults("hot_key", "scan")
        at = self.now() - self.start_at
        surges = [
            each
            for each in self.scenario.surge
            if each.volumes and each.at_s <= at < each.at_s + each.for_s
        ]
        share = sum(each.size for each in found)
        count = max([int(each.extra) for each in found] + [1])
        volumes = list(range(min(count, len(self.volumes))))
        for each in surges:
            share += (each.times - 1) * each.volumes / max(len(self.volumes), 1)
            volumes += list(range(each.volumes))
        return share, volumes

    # Arrivals.

    def run(self) -> None:
        """Start operations due since the last call; called every few milliseconds."""
        now = self.lateness.check(self.start_at, self.due_at)
        ended = self.start_at + self.scenario.seconds
        span = min(now, ended) - max(self.tick_at, self.start_at)
        self.tick_at = now
        if span > 0:
            self.update_demand()
            share, hot = self.extra_traffic()
            for place, row in enumerate(self.scenario.traffic):
                self.arrive(
                    place, row, row.per_s * self.shares[row.plan][0] * span, None
                )
                if share:
                    self.arrive(place, row, row.per_s * span * share, hot)
        if now < ended:
            self.run_again_in(now, TICK)
        elif self.open_operations and now < ended + self.scenario.tail_s:
            self.run_again_in(now, TAIL_TICK)
        else:
            self.finish()

    def run_again_in(self, now: float, seconds: float) -> None:
        """Schedule `run`; the wait is no lateness, but time spent in this call is."""
        self.due_at = now + seconds
        self.reactor.callLater(seconds, self.run)

    def arrive(self, place: int, row: Any, mean: float, hot: list[int] | None) -> None:
        random, gap = self.random, 0.0
        while mean > 0 and (
            gap := gap + random.expovariate(1 / max(row.run, 1))
        ) < mean * max(row.run, 1):
            self.start_operation(place, row, hot)

    def start_operation(self, place: int, row: Any, hot: list[int] | None) -> None:
        """Start one operation; a sequential run continues on the previous extent."""
        random, held = self.random, self.sequential_runs.get(place)
        if held is not None and held[0] > 0 and hot is None:
            left, path, offset, volume, edge = held
            self.sequential_runs[place] = (left - 1, path, offset, volume, edge)
        else:
            number = random.choice(hot) if hot else self.draw_volume(row)
            volume = self.volumes[number]
            edge = self.draw_edge(number)
            path = f"{volume.root}/f{random.randrange(self.scenario.files)}"
            offset = (
                random.randrange(max(self.scenario.file_units // 2, 1))
                * self.scenario.gateway.rules.unit_bytes
            )
            self.sequential_runs[place] = (
                int(random.expovariate(1 / row.run)) if row.run > 1 else 0,
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
                f"{volume.root}/new-{self.operations}-{random.getrandbits(32):08x}",
                0,
            )
        elif row.operation == "read" and self.new_files and random.random() < 0.2:
            volume, path, length = self.new_files[random.randrange(len(self.new_files))]
            offset, edge = 0, self.draw_edge(self.volumes.index(volume))
        if row.operation == "list":
            path = volume.root
        self.open_operations += 1
        Operation(self, row, volume, edge, path, offset, length)

    def units_of(self, row: Any, volume: Any) -> int:
        """Draw a size that routes map to the row's category; stop after 30 draws."""
        rules, place = (
            self.scenario.gateway.rules,
            self.routing_table.volumes_by_root[volume.root],
        )
        operation = "read" if row.operation == "read" else "write"
        for _ in range(30):
            units = min(
                max(int(self.random.expovariate(1 / row.units)) + 1, 1),
                rules.largest_units,
            )
            category = self.routing_table.request_class(
                operation, place, units * rules.unit_bytes
            )
            if self.scenario.gateway.category[category].name == row.category:
                return units
        return units

    def on_file_created(self, operation: Operation) -> None:
        """Keep a created file for later reads through any gateway of its volume."""
        if len(self.new_files) < 500:
            self.new_files.append((operation.volume, operation.path, operation.length))

    def draw_volume(self, row: Any) -> int:
        """Draw a volume, weighted by its present demand."""
        return self.random.choices(
            range(len(self.volumes)), cum_weights=self.shares[row.plan][1]
        )[0]

    def draw_edge(self, volume: int) -> GatewayConnections:
        """Draw one of a volume's gateways, the leading one more often."""
        group, lead = self.gateway_groups[volume], self.leaders[volume]
        skew = self.scenario.clients.skew
        weights = [
            1 / (1 + (place - lead) % len(group)) ** skew for place in range(len(group))
        ]
        return self.edges[self.random.choices(group, weights)[0]]

    # Results.

    def on_operation_ended(self, operation: Operation, final: str) -> None:
        self.open_operations -= 1
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
        slot = self.utility_by_second.setdefault(second, [0.0, 0.0])
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
        self.completed.append(
            CompletedOperation(
                second,
                self.volume_numbers[operation.volume.name],
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
        """Return the terms from which the service ratios are computed."""
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
            dict(self.volume_numbers),
            claims,
            cores / max(work, 1e-9),
            rules.largest_units,
            rules.share_utility,
            rules.spare_utility,
        )

    def service(self) -> dict[str, float]:
        """Return service ratios by reserve, share and the rest; '' stands for all."""
        return service_ratios(self.completed, self.terms())

    def write_trace(self) -> None:
        """Write the operations as a trace; its times count from the run's start."""
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
        """Write the results and stop the process."""
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
            "counted": self.service(),
            "counts": self.counts,
            "operations": self.operations,
            "unended": self.open_operations,
            "worst_lag_ms": self.lateness.worst * 1000,
            "late": self.lateness.to_stored(),
            "seconds": self.utility_by_second,
        }
        self.write_trace()
        with open(f"{self.out}/load.json", "w", encoding="utf-8") as sink:
            json.dump(result, sink, indent=1)
        self.reactor.addSystemEventTrigger("after", "shutdown", self.recorder.close)
        self.reactor.stop()
