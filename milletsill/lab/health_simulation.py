"""Simulates the benefit of shared health: faulty nodes under traffic.

The schedulers, observers, reports and evaluators are the product's own; the nodes and
the clock are modelled. Gateways learn of faulty nodes in one of three ways: `alone`
(each gateway by itself), `shared` (`milletsill.fleet.health`) or `truth` (the true
state is given to all gateways at once, which is the best possible). All three draw
their traffic from the same seeds. With `shared`, reports reach a single evaluator 0.1
to 0.6 s after they are written, and all gateways follow its verdicts;
`milletsill.lab.gossip_simulation` simulates how several evaluators come to agree.

Times are ticks of 0.1 ms unless stated otherwise.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from milletsill.deployment_config import DeploymentConfig
from milletsill.fleet.health.health_evaluator import HealthEvaluator
from milletsill.fleet.health.node_observer import NodeObserver, has_unreported
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking
from milletsill.fleet.health.report_store import NodeObservation, ReportStore
from milletsill.fleet.health.tuning import (
    ADVICE_PERIODS,
    OBSERVATION_DECAY_TIME,
    ROUTINE_REPORT_PERIODS,
    SECOND,
)
from milletsill.fleet.health.verdict_table import FLAGGED_VERDICTS, HealthVerdict
from milletsill.fleet.transport import Member, MemberState, View
from milletsill.interface import AttemptOutcome, Request
from milletsill.lab.engine import Job
from milletsill.lab.health_scenario import (
    CALM,
    NODE_FAULTS,
    SHARED,
    SURGE,
    TRUTH,
    HealthScenario,
    make_scenario,
)
from milletsill.lab.modelled_node import NETWORK_DELAY, ModelledNode
from milletsill.lab.scheduler_gateway import SUCCEEDED, SchedulerGateway
from milletsill.lab.simulated_request import SimulatedAttempt, SimulatedRequest
from milletsill.lab.traffic_simulation import TrafficSimulation

PUBLISH_INTERVAL = 3000
TRUTH_LIFETIME = 4000
MIN_REPORT_DELAY = 1000  # from the writing of a report to the evaluator
MAX_REPORT_DELAY = 6000
COUNTED_AFTER = 4 * SECOND  # requests count until this long after the fault's end
MAX_REPORTS = 4096
MAX_NODES = 4096
EVALUATOR_ORIGIN = -1
REPORT_KEPT_FOR = 4 * OBSERVATION_DECAY_TIME
NODES_PER_FAULTY_NODE = 8  # one node in 8 is faulty
MIN_FALSELY_REPORTED = 5
SURGE_FACTOR = 2.0
USUAL_LOAD = 0.45


class FailingNode(ModelledNode):
    """A node that may fail a share of its attempts."""

    failing_share = 0.0

    def finish(self, jobs: Sequence[Job]) -> None:
        """Answer the attempts whose work is done; a share of them fails."""
        for job in jobs:
            if job.what is None:
                continue
            is_lost = self.failing_share and self.random.random() < self.failing_share
            outcome = AttemptOutcome.ERROR if is_lost else AttemptOutcome.SUCCEEDED
            arrives_at = self.simulation.now + NETWORK_DELAY
            self.simulation.call_at(arrives_at, job.what, outcome)


class ObservingGateway(SchedulerGateway):
    """A gateway that passes its attempts to a node observer if health is shared.

    Attributes:
        observer: The node observer; None if health is not shared.
        report: The gateway's own report.
        periods: Number of publishing periods so far. It starts at a different value in
            each gateway, so that their routine reports are spread over time.
    """

    observer: NodeObserver | None = None
    report: ReportStore
    periods = 0

    def start_observing(self, origin: int) -> NodeObserver:
        """Create the observer and the report."""
        classes = self.config.request_classes
        self.observer = NodeObserver([each.latency_objective for each in classes])
        self.report = ReportStore(origin, 1, 2, MAX_NODES)
        self.periods = origin
        return self.observer

    def on_attempt_ended(
        self, attempt: SimulatedAttempt, outcome: AttemptOutcome
    ) -> None:
        """Handle the end of an attempt; only its first end is observed."""
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
        """Accept a client's request; a new object may go to any shard."""
        if operation == "new":
            request = replace(request, shard=None)
        super().take_request(request, work, path, operation)


@dataclass(frozen=True, slots=True)
class TimedVerdict:
    """A change of a verdict, and when the evaluator made it."""

    at: int
    node: int
    verdict: HealthVerdict


class HealthSimulation(TrafficSimulation):
    """One run, with a fault that begins and ends.

    Attributes:
        faulty_nodes: The nodes that have the fault.
        verdict_changes: All changes of verdicts.
        asked_utility: Utility of the requests that count.
        served_utility: Utility of those that were answered.
    """

    def __init__(self, scenario: HealthScenario) -> None:
        super().__init__(
            make_scenario(scenario.gateways, scenario.nodes, scenario.shard_size),
            scenario.gateways,
            scenario.rate,
            scenario.seed,
        )
        self.scenario = scenario
        self.fault = NODE_FAULTS[scenario.fault]
        self.begins = int(scenario.begins * SECOND)
        self.ends = int(scenario.ends * SECOND)
        self.lasts = int(scenario.lasts * SECOND)
        self.failing_nodes = [
            FailingNode(
                self, node.engine.kind, self.rules, scenario.seed * 1000 + number
            )
            for number, node in enumerate(self.nodes)
        ]
        self.nodes = list(self.failing_nodes)
        self.endpoints = [
            replace(endpoint, shard=endpoint.node // scenario.shard_size)
            for endpoint in self.endpoints
        ]
        self.shards = {endpoint.node: endpoint.shard for endpoint in self.endpoints}
        self.observing_gateways = [
            self._observing(gateway.place, gateway.config, gateway.seed)
            for gateway in self.gateways
        ]
        self.gateways = list(self.observing_gateways)
        self.faulty_nodes = self._draw_ill_nodes()
        self.verdict_changes: list[TimedVerdict] = []
        self.asked_utility = 0.0
        self.served_utility = 0.0
        self.ranking = self._rank_gateways()
        self.report_random = Random(scenario.seed + 11)
        self.call_at(self.begins, self._begin_fault)
        self.call_at(self.ends, self._end_fault)
        if scenario.knowledge == SHARED:
            self._start_sharing()
        if scenario.knowledge == TRUTH:
            self.call_at(self.begins, self._tell_truth)

    def _observing(
        self, place: int, config: DeploymentConfig, seed: int
    ) -> ObservingGateway:
        gateway = ObservingGateway(self, place, config, seed)
        gateway.on_final = self._on_final
        return gateway

    def _draw_ill_nodes(self) -> list[int]:
        if self.scenario.fault in (CALM, SURGE):
            return []
        nodes = self.scenario.nodes
        random = Random(self.scenario.seed + 7)
        return sorted(random.sample(range(nodes), nodes // NODES_PER_FAULTY_NODE))

    def _rank_gateways(self) -> RendezvousRanking:
        count = len(self.gateways)
        members = [
            Member(str(place), "", 1, MemberState.ALIVE) for place in range(count)
        ]
        view = View(1, members)
        ranking = RendezvousRanking()
        ranking.update(lambda name: map(int, view.rendezvous(name, count)))
        return ranking

    # The fault.

    def _begin_fault(self) -> None:
        if self.scenario.fault == SURGE:
            self.rate *= SURGE_FACTOR
        for number in self.faulty_nodes:
            node = self.failing_nodes[number]
            node.engine.speed.slow = self.fault.slowdown
            node.failing_share = self.fault.failing_share
            stopped_until = self.ends / SECOND if self.fault.is_stopped else 0.0
            node.engine.speed.still_until = stopped_until

    def _end_fault(self) -> None:
        if self.scenario.fault == SURGE:
            self.rate /= SURGE_FACTOR
        for number in self.faulty_nodes:
            node = self.failing_nodes[number]
            node.finish(node.engine.advance(self.now / SECOND))
            node.engine.speed.slow = 1.0
            node.failing_share = 0.0

    # Utility.

    def _on_final(self, now: int, request: SimulatedRequest, final: str) -> None:
        if not self.begins <= request.received_at < self.ends + COUNTED_AFTER:
            return
        classes = self.gateways[0].config.request_classes
        request_class = classes[request.request.request_class]
        utility = request_class.priority_weight * request.request.units
        self.asked_utility += utility
        if final == SUCCEEDED:
            is_late = now - request.received_at > request_class.latency_objective
            self.served_utility += utility * (
                request_class.late_weight if is_late else 1.0
            )

    # The true state, given to all gateways.

    def _tell_truth(self) -> None:
        if self.now >= self.ends:
            return
        advice = self.fault.true_advice(USUAL_LOAD)
        until = min(self.now + TRUTH_LIFETIME, self.ends)
        for node in self.faulty_nodes:
            places = self.ranking.places(node)
            admitted = advice.admitted_share * len(places)
            for gateway in self.gateways:
                gateway.scheduler.on_health_advice(
                    self.now,
                    node,
                    advice.load_factor,
                    places[gateway.place] >= admitted,
                    until,
                )
                gateway.dispatch_soon()
        self.call_at(self.now + PUBLISH_INTERVAL, self._tell_truth)

    # Shared health.

    def _start_sharing(self) -> None:
        scenario = self.scenario
        count = len(self.gateways)
        self.reports = ReportStore(EVALUATOR_ORIGIN, 1, MAX_REPORTS, MAX_NODES)
        self.evaluator = HealthEvaluator(scenario.max_flagged_share)
        liar_count = round(scenario.liar_share * count)
        self.lying_gateways = Random(scenario.seed + 5).sample(range(count), liar_count)
        sound = [node for node in self.shards if node not in self.faulty_nodes]
        self.falsely_reported = Random(scenario.seed + 13).sample(
            sound, max(len(self.faulty_nodes), MIN_FALSELY_REPORTED)
        )
        for gateway in self.observing_gateways:
            observer = gateway.start_observing(gateway.place)
            observer.on_endpoints(self.endpoints)
            first = self.report_random.randrange(PUBLISH_INTERVAL)
            self.call_at(first, self._publish, gateway, observer)
        self.call_at(PUBLISH_INTERVAL, self._evaluate)

    def _publish(self, gateway: ObservingGateway, observer: NodeObserver) -> None:
        gateway.periods += 1
        is_liar = gateway.place in self.lying_gateways
        if (
            observer.has_urgent_results
            or has_unreported(observer.statistics, self.evaluator.not_healthy())
            or gateway.periods % ROUTINE_REPORT_PERIODS == 0
            or is_liar
        ):
            observations = observer.take_observations(self.now)
            if is_liar:
                self._falsify(observations)
            if observations:
                delta = gateway.report.write(observations)
                delay = self.report_random.randrange(MIN_REPORT_DELAY, MAX_REPORT_DELAY)
                self.call_at(self.now + delay, self.reports.merge, delta)
        self.call_at(self.now + PUBLISH_INTERVAL, self._publish, gateway, observer)

    def _falsify(self, observations: dict[int, NodeObservation]) -> None:
        """Report some sound nodes as failing and the faulty ones as sound.

        All lying gateways choose the same sound nodes.
        """
        for node in self.falsely_reported:
            observations[node] = NodeObservation(0, self.now, 8.0, 1.0, 1.0, 0.0, 0.0)
        for node in self.faulty_nodes:
            observations[node] = NodeObservation(0, self.now, 8.0, 0.0, 0.0, 8.0, 0.0)

    def _evaluate(self) -> None:
        count = len(self.gateways)
        self.reports.expire(range(count), self.now - REPORT_KEPT_FOR)
        changes = self.evaluator.evaluate(
            self.reports, count, self.ranking, self.shards, self.now
        )
        for change in changes:
            self.verdict_changes.append(
                TimedVerdict(self.now, change.node, change.current)
            )
        for gateway in self.gateways:
            self._advise(gateway)
        self.call_at(self.now + PUBLISH_INTERVAL, self._evaluate)

    def _advise(self, gateway: SchedulerGateway) -> None:
        count = len(self.gateways)
        until = self.now + ADVICE_PERIODS * PUBLISH_INTERVAL
        for node, held in self.evaluator.nodes.items():
            if held.verdict is HealthVerdict.HEALTHY:
                continue
            place = self.ranking.places(node)[gateway.place]
            advice = self.evaluator.advice(node, place, count)
            gateway.scheduler.on_health_advice(
                self.now, node, advice.load_factor, advice.avoid, until
            )
            gateway.dispatch_soon()

    def count_false_verdicts(self) -> int:
        """Return how often the evaluator flagged a sound node."""
        return sum(
            change.node not in self.faulty_nodes and change.verdict in FLAGGED_VERDICTS
            for change in self.verdict_changes
        )

    def play(self) -> float:
        """Run the simulation and return the share of the utility that was served.

        Requests count from the fault's start until 4 s after its end.
        """
        self.start()
        self.run(self.lasts)
        return self.served_utility / max(self.asked_utility, 1e-9)
