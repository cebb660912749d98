"""Verdicts: transition table, false reports, limits and ramp-up; node observations."""

import unittest
from itertools import pairwise
from random import Random

from milletsill.fleet.health import tuning
from milletsill.fleet.health.health_evaluator import HealthEvaluator
from milletsill.fleet.health.node_observer import NodeObserver
from milletsill.fleet.health.node_verdict import NodeVerdict
from milletsill.fleet.health.rendezvous_ranking import RendezvousRanking
from milletsill.fleet.health.report_store import ReportStore
from milletsill.fleet.health.tuning import SECOND
from milletsill.fleet.health.verdict_table import (
    HealthFinding,
    HealthVerdict,
    next_verdict,
)
from milletsill.fleet.transport import Member, MemberState, View
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    Readiness,
    Request,
)
from tests.fleet.health.observations import observation

GATEWAYS = 40
NODES = 12
SHARDS = {node: node for node in range(NODES)}
PERIOD = 3000


def view_of(count):
    return View(
        1, [Member(str(each), "", 1, MemberState.ALIVE) for each in range(count)]
    )


def ranking_of(count):
    ranking = RendezvousRanking()
    ranking.update(lambda name: map(int, view_of(count).rendezvous(name, count)))
    return ranking


class Fleet:
    """One evaluator that receives the reports of several gateways."""

    def __init__(self, gateways=GATEWAYS, shards=SHARDS, max_flagged_share=0.34):
        self.store = ReportStore(-1, 1, 4096, 4096)
        self.evaluator = HealthEvaluator(max_flagged_share)
        self.now = SECOND
        self.origins = [ReportStore(each, 1, 2, 4096) for each in range(gateways)]
        self.shards = shards
        self.ranking = ranking_of(gateways)
        self.changes = []

    def run(self, seconds, observe):
        """Report `observe(origin, node)`, an observation or None, in each period.

        Returns:
            The nodes that are flagged at the end.
        """
        for _ in range(round(seconds * SECOND) // PERIOD):
            self.now += PERIOD
            for number, origin in enumerate(self.origins):
                observations = {
                    node: each
                    for node in self.shards
                    if (each := observe(number, node)) is not None
                }
                for each in observations.values():
                    each.observed_at = self.now
                if observations:
                    self.store.merge(origin.write(observations))
            self.changes += self.evaluator.evaluate(
                self.store, len(self.origins), self.ranking, self.shards, self.now
            )
        return {
            node for node, state in self.evaluator.nodes.items() if state.is_flagged
        }


def honest_observer(random, lost=None, pace=None, share=0.2):
    """Return an observer with a share of loss and a mean pace for each node.

    Each gateway observes a node in `share` of the periods.
    """
    return lambda origin, node: (
        observation(
            float(random.random() < (lost or {}).get(node, 0.0)),
            (pace or {}).get(node, 0.0) + random.gauss(0, 0.8),
        )
        if random.random() < share
        else None
    )


def with_false_reports(honest, false_origins, is_misreported):
    """Return an observer for which the first origins report healthy nodes as failing."""
    return lambda origin, node: (
        observation(1.0, answers=8.0)
        if origin < false_origins and is_misreported(node)
        else honest(origin, node)
    )


class Verdicts(unittest.TestCase):
    def test_the_table_flags_a_node_and_restores_it(self):
        path = [
            (HealthFinding.IMPAIRED, HealthVerdict.DEGRADED),
            (HealthFinding.FAILING, HealthVerdict.FAILING),
            (HealthFinding.INCONCLUSIVE, HealthVerdict.FAILING),
            (HealthFinding.HEALTHY, HealthVerdict.RECOVERING),
            (HealthFinding.IMPAIRED, HealthVerdict.DEGRADED),
            (HealthFinding.OVER_LIMIT, HealthVerdict.RECOVERING),
            (HealthFinding.RESTORED, HealthVerdict.HEALTHY),
            (HealthFinding.INCONCLUSIVE, HealthVerdict.HEALTHY),
            (HealthFinding.OVER_LIMIT, HealthVerdict.HEALTHY),
        ]
        verdict = HealthVerdict.HEALTHY
        for finding, expected in path:
            verdict, _ = next_verdict(verdict, finding)
            self.assertIs(verdict, expected)

    def test_only_impaired_nodes_are_flagged_and_recover_gradually(self):
        for lost, pace in (({3: 1.0}, {}), ({3: 0.4}, {}), ({}, {3: 1.3})):
            fleet, random = Fleet(), Random(4)
            self.assertEqual(fleet.run(8, honest_observer(random)), set())
            self.assertEqual(
                fleet.run(12, honest_observer(random, lost, pace)), {3}, (lost, pace)
            )
            shares = []
            for _ in range(40):
                fleet.run(0.3, honest_observer(random))
                shares.append(fleet.evaluator.nodes[3].unrestricted_share)
            self.assertIs(fleet.evaluator.nodes[3].verdict, HealthVerdict.HEALTHY)
            self.assertTrue(
                all(later - earlier < 0.5 for earlier, later in pairwise(shares)),
                shares,
            )
            self.assertEqual({each.node for each in fleet.changes}, {3})

    def test_no_node_is_flagged_if_all_are_slow_or_too_many_fail(self):
        fleet, random = Fleet(), Random(5)
        fleet.run(6, honest_observer(random))
        self.assertEqual(
            fleet.run(8, honest_observer(random, {}, dict.fromkeys(SHARDS, 1.5))),
            set(),
        )
        self.assertEqual(
            fleet.run(8, honest_observer(random, dict.fromkeys(range(8), 1.0))), set()
        )
        self.assertGreater(fleet.evaluator.disregarded, 4)

    def test_not_all_nodes_of_a_shard_are_flagged(self):
        fleet, random = (
            Fleet(shards={node: node // 4 for node in range(NODES)}),
            Random(6),
        )
        flagged = fleet.run(14, honest_observer(random, {0: 1.0, 1: 1.0, 2: 1.0}))
        self.assertEqual(len(flagged), 1)

    def test_false_reports_of_a_minority_change_no_verdict(self):
        for share, is_misreported in (
            (0.05, lambda node: node in (1, 2)),
            (0.2, lambda node: node in (1, 2, 3)),
            (0.3, lambda node: True),
        ):
            fleet, random = Fleet(100), Random(7)
            honest = honest_observer(random, {5: 1.0}, share=0.1)
            observe = with_false_reports(honest, share * 100, is_misreported)
            fleet.run(60, observe)
            last = {each.node for each in fleet.changes[-1:]} | fleet.run(6, observe)
            self.assertEqual(last & {1, 2, 3}, set(), share)
            self.assertIs(fleet.evaluator.nodes[5].verdict, HealthVerdict.FAILING)

    def test_few_gateways_probe_a_failing_node_and_its_load_is_cut_in_steps(self):
        fleet, random = Fleet(), Random(8)
        fleet.run(6, honest_observer(random))
        fleet.run(12, honest_observer(random, {3: 1.0}))
        evaluator = fleet.evaluator
        advice = [
            evaluator.advice(3, fleet.ranking.places(3)[each], GATEWAYS)
            for each in range(GATEWAYS)
        ]
        probers = sum(each.load_factor <= 0 for each in advice)
        self.assertTrue(tuning.MIN_PROBERS <= probers <= GATEWAYS / 3, probers)
        self.assertEqual(sum(each.avoid for each in advice), GATEWAYS - probers)
        state = NodeVerdict(HealthVerdict.FAILING)
        evaluator.apply_finding(3, state, HealthFinding.FAILING, GATEWAYS, False)
        self.assertEqual(state.admitted_share, tuning.FAILING_CUT_FACTOR)


class Observations(unittest.TestCase):
    def test_relative_pace_accounts_for_request_size_and_load(self):
        def relative_pace(latency, inflight):
            observer = NodeObserver([3000])
            observer.on_endpoints(
                [
                    Endpoint(each, Readiness.READY, 2.0, 0, 0, None, each)
                    for each in range(2)
                ]
            )

            def observe(node, units, latency, inflight):
                observer.on_attempt_result(
                    0,
                    Request(1, 1, 1, 1, 0, 0, False, False, None, units, 9000),
                    AttemptResult(
                        1,
                        0,
                        node,
                        AttemptOutcome.SUCCEEDED,
                        True,
                        latency,
                        None,
                        0,
                        {"inflight": inflight},
                    ),
                )

            for _ in range(60):
                observe(0, 1, 200, 1)
                observe(0, 8, 1600, 1)
            observe(1, 8, latency, inflight)
            return observer.take_observations(0)[1].relative_pace

        self.assertAlmostEqual(relative_pace(1600, 1), 0, places=2)
        self.assertAlmostEqual(relative_pace(6400, 7), 0, places=2)
        self.assertAlmostEqual(relative_pace(6400, 1), 2, places=2)


if __name__ == "__main__":
    unittest.main()
