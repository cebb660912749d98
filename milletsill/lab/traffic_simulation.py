"""Gateways and nodes under randomly drawn traffic, on a simulated clock.

The schedulers are the real ones. Traffic is drawn from a scenario's traffic rows
(rates, sizes, work, lengths of sequential runs) and its plans' rates; each request goes
to a random gateway. Unlike the laboratory with real processes, the simulation omits
sockets, the gateways' own processor time, the steps of a command (each command is one
request), retries by clients and the scenario's faults.

Times are ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate
from random import Random
from typing import Any

from milletsill.interface import Endpoint, EndpointUpdateKind, Readiness, Request
from milletsill.lab.modelled_node import ModelledNode
from milletsill.lab.scheduler_gateway import (
    SchedulerGateway,
    SchedulerWrapper,
    use_directly,
)
from milletsill.lab.simulated_clock import SECOND, SimulatedClock
from milletsill.settings.milletsill_pb2 import Scenario, Traffic
from milletsill.sftp_gateway.deployment import config_of, routing_table_of


@dataclass(slots=True)
class SequentialRun:
    """Consecutive requests of one volume for the same key.

    Attributes:
        key: The key.
        left: Requests of the run that are still to come.
    """

    key: int
    left: int


class TrafficSimulation(SimulatedClock):
    """Gateways in front of a scenario's nodes, and the scenario's traffic.

    Args:
        scenario: The source of the gateway file, nodes and traffic.
        gateways: The number of gateways.
        rate: Requests per second over all gateways.
        seed: Seed of all random draws.
    """

    def __init__(
        self, scenario: Scenario, gateways: int, rate: float, seed: int
    ) -> None:
        super().__init__()
        self.random = Random(seed)
        self.rate = rate
        file = scenario.gateway
        self.rules = file.rules
        self.report_fields = list(file.reports.field)
        self.nodes = self._make_nodes(scenario, seed)
        self.endpoints = [
            Endpoint(
                number,
                Readiness.READY,
                float(node.engine.kind.cores),
                0,
                0,
                None,
                number,
            )
            for number, node in enumerate(self.nodes)
        ]
        config = config_of(file)
        self.gateways = [
            SchedulerGateway(self, number, config, seed * 100_000 + number)
            for number in range(gateways)
        ]
        self.routing_table = routing_table_of(file)
        self.volumes = list(file.volume)
        plans = {plan.name: plan for plan in file.plan}
        self._volume_weights = list(
            accumulate(plans[volume.plan].usual_rate for volume in self.volumes)
        )
        self._rows = list(scenario.traffic)
        self._row_weights = list(accumulate(row.per_s for row in self._rows))
        self._runs: dict[int, SequentialRun] = {}
        self._client_timeouts = {
            category.name: int(category.patience_ms * 10) for category in file.category
        }
        self._request_classes = {
            category.name: number for number, category in enumerate(file.category)
        }
        assert self._row_weights[-1] > 0, "the scenario has no traffic"

    def _make_nodes(self, scenario: Scenario, seed: int) -> list[ModelledNode]:
        kinds = {kind.name: kind for kind in scenario.kind}
        names = [box.kind for box in scenario.box for _ in range(box.count)]
        return [
            ModelledNode(self, kinds[name], self.rules, seed * 1000 + number)
            for number, name in enumerate(names)
        ]

    def call_at(self, when: int, call: Callable[..., object], *values: Any) -> None:
        """Schedule a call; a time in the past means now."""
        super().call_at(max(when, self.now), call, *values)

    def start(
        self,
        wrapper_for: Callable[[SchedulerGateway], SchedulerWrapper] = (
            lambda gateway: use_directly
        ),
    ) -> None:
        """Create the schedulers, give them the endpoint list and start the traffic."""
        for gateway in self.gateways:
            gateway.start(wrapper_for(gateway))
            gateway.scheduler.on_endpoints(
                self.now, EndpointUpdateKind.SNAPSHOT, self.endpoints
            )
            gateway.dispatch_soon()
        self.call_at(self.now, self._draw_request)

    def _draw_request(self) -> None:
        """Draw one request, and the time of the next one."""
        random = self.random
        rows = range(len(self._rows))
        row = self._rows[random.choices(rows, cum_weights=self._row_weights)[0]]
        volumes = range(len(self.volumes))
        volume_index = random.choices(volumes, cum_weights=self._volume_weights)[0]
        volume = self.routing_table.volumes_by_root[self.volumes[volume_index].root]
        gateway = self.gateways[random.randrange(len(self.gateways))]
        gateway.request_count += 1
        path = f"{volume.root}/f{self._draw_key(volume_index, row) >> 6:08x}"
        units = min(
            max(int(random.expovariate(1 / row.units)) + 1, 1),
            self.rules.largest_units,
        )
        work = (
            row.work_ms
            / 1000
            * units
            / self.rules.unit_mean
            * max(random.gauss(1.0, min(row.cv, 1.0)), 0.1)
        )
        request = Request(
            gateway.request_count,
            self.routing_table.request_key(path, 0),
            volume.number,
            volume.sharing_gateways,
            self._request_classes[row.category],
            volume.plan,
            False,
            row.operation in ("write", "new"),
            self.routing_table.home_shard(volume, path),
            units,
            self.now + self._client_timeouts[row.category],
        )
        gateway.take_request(request, work, path, row.operation)
        pause = max(round(random.expovariate(self.rate) * SECOND), 0)
        self.call_at(self.now + pause, self._draw_request)

    def _draw_key(self, volume_index: int, row: Traffic) -> int:
        """Return the key of the volume's sequential run, or of a new run."""
        run = self._runs.get(volume_index)
        if run is None or run.left <= 0:
            run = SequentialRun(
                self.random.getrandbits(32) * 64 + volume_index,
                int(self.random.expovariate(1 / row.run)) + 1,
            )
            self._runs[volume_index] = run
        run.left -= 1
        return run.key


def scenario_part(scenario: Scenario, part: int, part_count: int) -> Scenario:
    """Return the scenario for one of the processes that share a fleet's gateways.

    Its nodes have `1 / part_count` of their speed, and each part has its own seed.
    """
    result = Scenario()
    result.CopyFrom(scenario)
    for kind in result.kind:
        kind.speed /= part_count
    result.seed += part
    return result
