"""Days with ill boxes on a clock of their own: the real modules, observers, rows and judges over modelled boxes.

Three ways to know: `alone` (each gateway by itself), `shared` (fleet/health) and `truth` (a table of the true state, told at
once: the best possible). All three draw their traffic from the same seeds. In `shared` rows reach one judge, which speaks for all
gateways (`lab.health_spread` shows how they agree), 0.1 to 0.6 s after they are written; all else is the code of the product.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

from google.protobuf import text_format

from milletsill.fleet.health.health_evaluator import HealthEvaluator
from milletsill.fleet.health.node_observer import NodeObserver, has_news_of
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking
from milletsill.fleet.health.report_store import NodeObservation, ReportStore
from milletsill.fleet.health.tuning import (
    ADVICE_PERIODS,
    CALM_PUBLISH_PERIODS,
    OBSERVATION_FADE,
    SECOND,
)
from milletsill.fleet.health.verdict_table import CALLED_VERDICTS, HealthVerdict
from milletsill.fleet.transport import Member, MemberState, View
from milletsill.interface import AttemptOutcome, Request
from milletsill.lab.modelled_node import ModelledNode
from milletsill.lab.scheduler_gateway import SchedulerGateway
from milletsill.lab.simulated_request import SimulatedAttempt, SimulatedRequest
from milletsill.lab.traffic_simulation import TrafficSimulation
from milletsill.settings.milletsill_pb2 import Scenario

PERIOD, JUDGES, NEAR, FAR = (
    3000,
    1,
    1000,
    6000,
)  # a row's way to a judge takes between the last two
NONE = AttemptOutcome.ERROR

SCENARIO = """
name: "health" edges: 1
gateway {{ name: "edge" gateways: {gateways} registry {{ address: "127.0.0.1:1" }}
  rules {{ further_free: 3 further_ratio: 0.3 further_window_ms: 5000 key_rest_ms: 500 cold_units: 40 warm_after_s: 1 }}
  reports {{ field: "queue" field: "busy" field: "inflight" }}
  plan {{ name: "standard" usual_rate: 40 reserve_rate: 40 }}
  category {{ name: "read" target_ms: 300 patience_ms: 1500 utility: 3 late_utility: 0.2 }}
  category {{ name: "write" target_ms: 400 patience_ms: 3000 utility: 2 late_utility: 0.2 write: true
             repeats: "ticketed" group: "cell" repeat_window_ms: 7500 }}
  category {{ name: "export" target_ms: 2000 patience_ms: 6000 utility: 1 late_utility: 0.1 }}
  {volumes} route {{ category: "read" }} }}
kind {{ name: "box" cores: 2 slots: 8 queue: 200 cold_s: 0 remembers: 4 seek: 0.5 cancel: "queued" }}
box {{ count: {boxes} kind: "box" }}
traffic {{ category: "read" operation: "read" per_s: 60 work_ms: 34 units: 2 run: 2 }}
traffic {{ category: "write" operation: "write" per_s: 20 work_ms: 45 units: 2 run: 2 }}
traffic {{ category: "write" operation: "new" per_s: 12 work_ms: 45 units: 2 }}
traffic {{ category: "export" operation: "read" per_s: 8 work_ms: 64 units: 5 }}
"""


def scenario_of(gateways: int, boxes: int, cell: int) -> Any:
    """`cell` boxes in each cell."""
    cells = boxes // cell
    volumes = " ".join(
        f'volume {{ name: "v{each}" root: "/v{each}" plan: "standard" cell: [{each % cells}, '
        f"{(each + 1) % cells}, {(each + 2) % cells}] }}"
        for each in range(cells)
    )
    return text_format.Parse(
        SCENARIO.format(gateways=gateways, boxes=boxes, volumes=volumes), Scenario()
    )


class Ill:
    """What is wrong with a box: `slow` divides its speed, `fails` is the share that comes to nothing, `still` stops it."""

    def __init__(
        self, slow: float = 1.0, fails: float = 0.0, still: bool = False
    ) -> None:
        self.slow, self.fails, self.still = slow, fails, still

    def truth(self, load: float) -> tuple[float, float]:
        """Strain, and the part of the gateways that had best send, for a box loaded like that."""
        if self.still:
            return 4.0, 0.0
        return min(self.slow - 1 + 3 * self.fails, 4.0), min(
            0.8 / (load * self.slow), 1.0
        )


KINDS = {
    "slow 2": Ill(slow=2),
    "slow 5": Ill(slow=5),
    "slow 20": Ill(slow=20),
    "fails a third": Ill(fails=1 / 3),
    "still": Ill(still=True),
    "calm": Ill(),
    "surge": Ill(),
}
LOAD = 0.45


class Ailing(ModelledNode):
    """A box that may fail a share of its work."""

    fails = 0.0

    def finish(self, jobs: list[Any]) -> None:
        for each in jobs:
            if each.what is not None:
                lost = self.fails and self.random.random() < self.fails
                self.simulation.call_at(
                    self.simulation.now + 5,
                    each.what,
                    NONE if lost else AttemptOutcome.SUCCEEDED,
                )


class Knowing(SchedulerGateway):
    """A gateway that tells an observer what it hears. `lies`: of some boxes it says the opposite."""

    observer: NodeObserver | None = None

    def on_attempt_ended(
        self, attempt: SimulatedAttempt, outcome: AttemptOutcome
    ) -> None:
        if self.observer is not None and not attempt.is_ended:
            self.observer.on_attempt_result(
                self.simulation.now,
                attempt.request.request,
                self.attempt_result(attempt, outcome, is_final=False),
            )
        super().on_attempt_ended(attempt, outcome)

    def take_request(
        self, request: Request, work: float, path: str, operation: str
    ) -> None:
        if operation == "new":
            request = replace(request, shard=None)
        super().take_request(request, work, path, operation)


class Day(TrafficSimulation):
    """One day in one of the three ways."""

    def __init__(
        self,
        ill: str,
        way: str,
        seed: int,
        gateways: int = 150,
        boxes: int = 44,
        rate: float = 580.0,
        cell: int = 2,
        begins: float = 6,
        ends: float = 20,
        lasts: float = 25,
        liars: float = 0.0,
        most_part: float = 0.34,
    ) -> None:
        super().__init__(scenario_of(gateways, boxes, cell), gateways, rate, seed)
        self.nodes = [
            Ailing(self, each.engine.kind, self.rules, seed * 1000 + number)
            for number, each in enumerate(self.nodes)
        ]
        self.endpoints = [
            replace(each, shard=each.node // cell) for each in self.endpoints
        ]
        self.ill, self.way, self.seed, self.liars = ill, way, seed, liars
        self.begins, self.ends, self.lasts = (
            int(begins * SECOND),
            int(ends * SECOND),
            int(lasts * SECOND),
        )
        self.sick = (
            sorted(Random(seed + 7).sample(range(boxes), boxes // 8))
            if ill not in ("calm", "surge")
            else []
        )
        self.cells = {each.node: each.shard for each in self.endpoints}
        self.worth = self.got = 0.0
        self.calls: list[
            tuple[int, int, int, HealthVerdict]
        ] = []  # when, judge, box, verdict
        for each in self.gateways:
            each.__class__ = Knowing
            each.on_final = self.told  # type: ignore[method-assign]
        self.others = Random(seed + 11)
        self.call_at(self.begins, self.fall)
        self.call_at(self.ends, self.mend)
        if way == "shared":
            self.share(most_part)
        if way == "truth":
            self.order = self.order_of()
            self.call_at(self.begins, self.tell_truth)

    def order_of(self) -> RendezvousRanking:
        view = View(
            1,
            [
                Member(str(each), "", 1, MemberState.ALIVE)
                for each in range(len(self.gateways))
            ],
        )
        order = RendezvousRanking()
        order.update(lambda name: map(int, view.rendezvous(name, len(self.gateways))))
        return order

    # Troubles.

    def fall(self) -> None:
        ill = KINDS[self.ill]
        if self.ill == "surge":
            self.rate *= 2.0
        for each in self.sick:
            box = self.nodes[each]
            box.engine.speed.slow, box.fails = ill.slow, ill.fails
            box.engine.speed.still_until = self.ends / SECOND if ill.still else 0.0

    def mend(self) -> None:
        if self.ill == "surge":
            self.rate /= 2.0
        for each in self.sick:
            self.nodes[each].finish(self.nodes[each].engine.advance(self.now / SECOND))
            self.nodes[each].engine.speed.slow, self.nodes[each].fails = 1.0, 0.0

    # What a day is worth.

    def told(self, now: int, transfer: SimulatedRequest, final: str) -> None:
        if not self.begins <= transfer.received_at < self.ends + 4 * SECOND:
            return
        category = self.gateways[0].config.request_classes[
            transfer.request.request_class
        ]
        worth = category.priority_weight * transfer.request.units
        self.worth += worth
        if final == "satisfied":
            late = now - transfer.received_at > category.latency_objective
            self.got += worth * (category.late_weight if late else 1.0)

    # Truth.

    def tell_truth(self) -> None:
        if self.now < self.ends:
            strain, part = KINDS[self.ill].truth(LOAD)
            for box in self.sick:
                places = self.order.places(box)
                for number, each in enumerate(self.gateways):
                    away = places[number] >= part * len(places)
                    each.scheduler.on_health_advice(
                        self.now, box, strain, away, min(self.now + 4000, self.ends)
                    )
                    each.dispatch_soon()
            self.call_at(self.now + PERIOD, self.tell_truth)

    # Sharing.

    def share(self, most_part: float) -> None:
        self.copies = [ReportStore(-1 - each, 1, 4096, 4096) for each in range(JUDGES)]
        self.judges = [HealthEvaluator(most_part) for _ in range(JUDGES)]
        self.order = self.order_of()
        self.false = Random(self.seed + 5).sample(
            range(len(self.gateways)), round(self.liars * len(self.gateways))
        )
        self.slandered = Random(self.seed + 13).sample(
            [each for each in self.cells if each not in self.sick],
            max(len(self.sick), 5),
        )
        for number, each in enumerate(self.gateways):
            each.observer = NodeObserver(
                [kind.latency_objective for kind in each.config.request_classes]
            )
            each.observer.on_endpoints(self.endpoints)
            each.own = ReportStore(number, 1, 2, 4096)
            each.turn = number
            self.call_at(self.others.randrange(PERIOD), self.publish, number)
        for each in range(JUDGES):
            self.call_at(PERIOD + each * PERIOD // JUDGES, self.judge, each)

    def publish(self, number: int) -> None:
        gateway = self.gateways[number]
        gateway.turn += 1
        lies = number in self.false
        if (
            gateway.observer.has_bad_news
            or has_news_of(gateway.observer.statistics, self.judges[0].not_healthy())
            or gateway.turn % CALM_PUBLISH_PERIODS == 0
            or lies
        ):
            words = gateway.observer.take_observations(self.now)
            if lies:
                words = self.lie(words)
            if words:
                news = gateway.own.write(words)
                for rows in self.copies:
                    self.call_at(
                        self.now + self.others.randrange(NEAR, FAR), rows.merge, news
                    )
        self.call_at(self.now + PERIOD, self.publish, number)

    def lie(self, words: dict[int, Any]) -> dict[int, Any]:
        """In concert: the same well boxes are ill, the ill ones are well."""
        for box in self.slandered:
            words[box] = NodeObservation(0, self.now, 8.0, 1.0, 1.0, 0.0, 0.0)
        for box in self.sick:
            words[box] = NodeObservation(0, self.now, 8.0, 0.0, 0.0, 8.0, 0.0)
        return words

    def judge(self, number: int) -> None:
        judge = self.judges[number]
        self.copies[number].expire(
            range(len(self.gateways)), self.now - 4 * OBSERVATION_FADE
        )
        for each in judge.evaluate(
            self.copies[number], len(self.gateways), self.order, self.cells, self.now
        ):
            self.calls.append((self.now, number, each.node, each.current))
        for place in range(number, len(self.gateways), JUDGES):
            gateway = self.gateways[place]
            for box in judge.nodes:
                if judge.nodes[box].verdict is not HealthVerdict.HEALTHY:
                    advice = judge.advice(
                        box, self.order.places(box)[place], len(self.gateways)
                    )
                    gateway.scheduler.on_health_advice(
                        self.now,
                        box,
                        advice.load_factor,
                        advice.avoid,
                        self.now + ADVICE_PERIODS * PERIOD,
                    )
                    gateway.dispatch_soon()
        self.call_at(self.now + PERIOD, self.judge, number)

    def false_calls(self) -> int:
        """Boxes called ill that were not, by the first judge."""
        return sum(
            1
            for _, judge, box, verdict in self.calls
            if judge == 0 and box not in self.sick and verdict in CALLED_VERDICTS
        )

    def play(self) -> float:
        """The share of what the day was worth, from the trouble's start until 4 s after its end."""
        self.start()
        self.run(self.lasts)
        return self.got / max(self.worth, 1e-9)
