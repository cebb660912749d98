"""A fleet on a clock of its own: many modules, the stand-ins' box model, drawn traffic, no sockets and no waiting.

The decision modules are the real ones; each gateway is one `Gateway`, the Port of its module. Traffic is drawn from a
scenario's rows (rates, sizes, work, runs, weights of plans) and comes through an edge by chance. Boxes are
`lab.engine.Engine`s. What is left out beside the processes' laboratory: sockets, the gateways' own processor time, legs of
commands (each is one transfer), repeats by clients and the scenario's troubles.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import accumulate
from random import Random
from typing import Any

from milletsill.deployment_config import DeploymentConfig
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    Readiness,
    Request,
    SchedulerEvents,
)
from milletsill.lab.engine import Engine, Speed
from milletsill.scheduler import Scheduler
from milletsill.sftp_gateway.deployment import config_of, routing_table_of

WAY = 5  # tenths of a millisecond from a gateway to a box, and back
SECOND = 10_000


class Transfer:
    """One transfer of a gateway, until its answer and the end of its dispatches."""

    __slots__ = (
        "arrival",
        "began",
        "work",
        "number",
        "out",
        "answered",
        "path",
        "operation",
    )

    def __init__(
        self, arrival: Request, began: int, work: float, path: str, operation: str
    ) -> None:
        self.arrival, self.began, self.work, self.path, self.operation = (
            arrival,
            began,
            work,
            path,
            operation,
        )
        self.number = self.out = 0
        self.answered = False


class Gateway:
    """The Port of one module. `around` may put something between it and the module; `told` hears of each final answer."""

    def __init__(
        self, fleet: Fleet, place: int, config: DeploymentConfig, seed: int
    ) -> None:
        self.fleet, self.place, self.config, self.seed = fleet, place, config, seed
        self.transfers: dict[int, Transfer] = {}
        self.count, self.settling = 0, False
        self.before: Callable[[str], None] = lambda path: (
            None
        )  # an arrival, with its path
        self.told: Callable[[int, Transfer, str], None] = lambda now, transfer, final: (
            None
        )
        self.module: SchedulerEvents

    def start(self, around: Callable[[Any], Any] = lambda make: make) -> None:
        self.module = around(Scheduler)(self.config, self.seed, self.fleet.now, self)

    def take(self, arrival: Request, work: float, path: str, operation: str) -> None:
        now = self.fleet.now
        self.transfers[arrival.id] = Transfer(arrival, now, work, path, operation)
        self.before(path)
        self.module.on_request(now, arrival)
        self.settle_soon()

    def settle_soon(self) -> None:
        if not self.settling:
            self.settling = True
            self.fleet.at(self.fleet.now, self.settle)

    def settle(self) -> None:
        self.settling = False
        self.module.dispatch_pending(self.fleet.now)

    def final(self, transfer: Transfer, final: str) -> None:
        transfer.answered = True
        self.told(self.fleet.now, transfer, final)
        if not transfer.out:
            self.transfers.pop(transfer.arrival.id, None)

    def returned(
        self,
        transfer: Transfer,
        number: int,
        node: int,
        sent: int,
        outcome: AttemptOutcome,
        done: list[bool],
    ) -> None:
        """One dispatch has ended, at most once."""
        if done[0]:
            return
        done[0] = True
        now, over = (
            self.fleet.now,
            outcome is AttemptOutcome.SUCCEEDED and not transfer.answered,
        )
        transfer.out -= 1
        report = (
            self.fleet.boxes[node].report()
            if outcome is AttemptOutcome.SUCCEEDED
            else {}
        )
        self.module.on_attempt_result(
            now,
            AttemptResult(
                transfer.arrival.id,
                number,
                node,
                outcome,
                over,
                now - sent,
                None,
                0,
                report,
            ),
        )
        if over:
            self.final(transfer, "satisfied")
        elif transfer.answered and not transfer.out:
            self.transfers.pop(transfer.arrival.id, None)
        self.settle_soon()

    # The Port.

    def send_attempt(self, transfer: int, node: int, timeout: int) -> None:
        held, fleet = self.transfers[transfer], self.fleet
        number, held.number, held.out = held.number, held.number + 1, held.out + 1
        done, now = [False], fleet.now
        back = lambda outcome: self.returned(held, number, node, now, outcome, done)  # noqa: E731
        ends = (
            min(now + timeout, held.arrival.deadline)
            if timeout
            else held.arrival.deadline
        )
        fleet.at(ends, back, AttemptOutcome.TIMED_OUT)
        fleet.at(now + WAY, fleet.boxes[node].take, held, number, back)

    def reject(self, transfer: int, pause: int) -> None:
        held = self.transfers.get(transfer)
        if held is not None and not held.answered:
            self.final(held, "declined")

    def fail(self, transfer: int) -> None:
        held = self.transfers.get(transfer)
        if held is not None and not held.answered:
            self.final(held, "aborted")

    def cancel_attempt(self, transfer: int, number: int) -> None: ...

    def watch_endpoints(self) -> None: ...

    def fetch_endpoints(self) -> None: ...

    def probe_node(self, node: int) -> None: ...

    def set_timer(self, at: int, what: object) -> None:
        self.fleet.at(at, lambda: self.module.on_timer(self.fleet.now, what))

    def log(self, text: str) -> None: ...


class Box:
    """One stand-in box on the fleet's clock."""

    def __init__(self, fleet: Fleet, kind: Any, seed: int) -> None:
        self.fleet, self.chance, self.due = fleet, Random(seed), 0
        self.engine = Engine(
            kind, fleet.rules, self.chance, fleet.now / SECOND, False, Speed()
        )

    def take(
        self, transfer: Transfer, number: int, back: Callable[[AttemptOutcome], None]
    ) -> None:
        now, arrival = self.fleet.now / SECOND, transfer.arrival
        self.finish(self.engine.advance(now))
        job = self.engine.take(
            now,
            transfer.work,
            arrival.units,
            arrival.key,
            number == 0,
            arrival.is_write,
            arrival.deadline / SECOND,
            back,
        )
        if job is None:
            self.fleet.at(self.fleet.now + WAY, back, AttemptOutcome.REJECTED)
        self.look_again()

    def look_again(self) -> None:
        """One look at the soonest end; older looks find nothing to do."""
        if self.engine.working:
            self.due = self.fleet.now + max(
                int(self.engine.soonest(self.fleet.now / SECOND) * SECOND) + 1, 1
            )
            self.fleet.at(self.due, self.look, self.due)

    def look(self, due: int) -> None:
        if due == self.due:
            self.finish(self.engine.advance(self.fleet.now / SECOND))
            self.look_again()

    def finish(self, jobs: list[Any]) -> None:
        for each in jobs:
            if each.what is not None:
                self.fleet.at(self.fleet.now + WAY, each.what, AttemptOutcome.SUCCEEDED)

    def report(self) -> dict[str, float]:
        engine = self.engine
        held = {
            "queue": float(len(engine.queue)),
            "inflight": float(len(engine.queue) + len(engine.working)),
            "busy": min(len(engine.working) / engine.kind.cores, 1.0),
        }
        return {name: held[name] for name in self.fleet.fields if name in held}


class Fleet:
    """`gateways` of a scenario's file before its boxes; traffic of `rate` transfers a second in all."""

    def __init__(self, scenario: Any, gateways: int, rate: float, seed: int) -> None:
        self.scenario, self.chance, self.now = scenario, Random(seed), 0
        file, self.rules = scenario.gateway, scenario.gateway.rules
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count, self.fields = 0, list(file.reports.field)
        kinds = {each.name: each for each in scenario.kind}
        self.boxes = [
            Box(self, kinds[each.kind], seed * 1000 + number)
            for number, each in enumerate(
                each for each in scenario.box for _ in range(each.count)
            )
        ]
        self.entries = [
            Endpoint(
                number,
                Readiness.READY,
                float(box.engine.kind.cores),
                0,
                0,
                None,
                number,
            )
            for number, box in enumerate(self.boxes)
        ]
        config = config_of(file)
        self.gateways = [
            Gateway(self, each, config, seed * 100_000 + each)
            for each in range(gateways)
        ]
        self.routing_table, self.volumes = routing_table_of(file), list(file.volume)
        plans = {each.name: each for each in file.plan}
        weights = [plans[each.plan].usual_rate for each in self.volumes]
        self.shares = list(accumulate(weights))
        self.rows = list(scenario.traffic)
        whole = sum(each.per_s for each in self.rows)
        self.row_shares, self.rate = (
            list(accumulate(each.per_s for each in self.rows)),
            rate,
        )
        self.runs: dict[int, tuple[int, int]] = {}
        self.patience = {
            each.name: int(each.patience_ms * 10) for each in file.category
        }
        self.categories = {each.name: place for place, each in enumerate(file.category)}
        assert whole > 0

    def at(self, at: int, call: Callable[..., None], *values: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (max(at, self.now), self.count, call, values))

    def start(
        self,
        around: Callable[[Gateway], Callable[[Any], Any]] = lambda gateway: (
            lambda make: make
        ),
    ) -> None:
        """Make the modules, give them the list, let the traffic begin."""
        for each in self.gateways:
            each.start(around(each))
            each.module.on_endpoints(
                self.now, EndpointUpdateKind.SNAPSHOT, self.entries
            )
            each.settle_soon()
        self.at(self.now, self.arrive)

    def run(self, until: int) -> None:
        """Until a time of the clock."""
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, call, values = heapq.heappop(events)
            call(*values)
        self.now = until

    def arrive(self) -> None:
        """One transfer, and when the next comes."""
        chance = self.chance
        row = self.rows[
            chance.choices(range(len(self.rows)), cum_weights=self.row_shares)[0]
        ]
        place = chance.choices(range(len(self.volumes)), cum_weights=self.shares)[0]
        volume = self.routing_table.volumes_by_root[self.volumes[place].root]
        gateway = self.gateways[chance.randrange(len(self.gateways))]
        gateway.count += 1
        extent, left = self.runs.get(place, (0, 0))
        if left <= 0:
            extent, left = (
                chance.getrandbits(32) * 64 + place,
                int(chance.expovariate(1 / row.run)) + 1,
            )
        self.runs[place] = (extent, left - 1)
        path = f"{volume.root}/f{extent >> 6:08x}"
        units = min(
            max(int(chance.expovariate(1 / row.units)) + 1, 1), self.rules.largest_units
        )
        work = (
            row.work_ms
            / 1000
            * units
            / self.rules.unit_mean
            * max(chance.gauss(1.0, min(row.cv, 1.0)), 0.1)
        )
        write = row.operation in ("write", "new")
        arrival = Request(
            gateway.count,
            self.routing_table.request_key(path, 0),
            volume.number,
            volume.sharing_gateways,
            self.categories[row.category],
            volume.plan,
            False,
            write,
            self.routing_table.home_shard(volume, path),
            units,
            self.now + self.patience[row.category],
        )
        gateway.take(arrival, work, path, row.operation)
        self.at(
            self.now + max(round(chance.expovariate(self.rate) * SECOND), 0),
            self.arrive,
        )


def part_of(scenario: Any, part: int, of: int) -> Any:
    """The same scenario with boxes of 1/of the power, for one of `of` processes that share a fleet's gateways."""
    made = type(scenario)()
    made.CopyFrom(scenario)
    for each in made.kind:
        each.speed /= of
    made.seed += part
    return made
