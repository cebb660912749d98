"""Shards with several nodes: at which node a request is queued."""

import unittest

from milletsill.interface import AttemptOutcome, EndpointUpdateKind, Readiness
from milletsill.scheduler.transitions import NodeEvent
from tests.support.scheduler_builders import attempt_result, endpoint
from tests.support.settings_builders import (
    SECOND,
    make_scheduler,
    request,
    request_class,
)


class NodeChoice(unittest.TestCase):
    """The choice of a node, before the queues of that node decide when to send."""

    def shard(self, *entries, now=0, **settings):
        scheduler, effects = make_scheduler(**settings)
        scheduler.on_endpoints(
            now,
            EndpointUpdateKind.SNAPSHOT,
            [endpoint(number, **entry) for number, entry in entries],
        )
        return scheduler, effects

    def test_all_nodes_of_a_shard_are_used(self):
        scheduler, _ = self.shard(*((number, {}) for number in (7, 8, 9)))
        for number in range(12):
            scheduler.on_request(0, request(number))
        scheduler.dispatch_pending(0)
        self.assertEqual(
            [
                len(scheduler.state.nodes[each].in_flight)
                + len(scheduler.state.nodes[each].by_key)
                for each in (7, 8, 9)
            ],
            [4, 4, 4],
        )

    def test_without_shards_any_node_takes_any_request(self):
        scheduler, effects = self.shard((7, {}), (8, {}), extra={"slots_total": None})
        for number in (1, 2):
            scheduler.on_request(0, request(number))
        scheduler.dispatch_pending(0)
        self.assertEqual(
            {node for _, node, _ in effects.calls_of("send_attempt")}, {7, 8}
        )

    def test_requests_at_a_node_that_backs_off_move_to_another_of_its_shard(self):
        scheduler, _ = self.shard((7, {}), (8, {}))
        for number in range(12):
            scheduler.on_request(0, request(number))
        scheduler.dispatch_pending(0)
        attempt = next(iter(scheduler.state.nodes[7].in_flight))
        scheduler.on_attempt_result(
            100,
            attempt_result(attempt.request.id, AttemptOutcome.REJECTED, latency=100),
        )
        self.assertFalse(scheduler.state.nodes[7].by_key)
        scheduler.dispatch_pending(100)
        self.assertFalse(scheduler.state.nodes[7].by_key)

    def test_a_retry_prefers_another_node_of_the_shard_if_it_is_allowed(self):
        for safety, scope, zone, other_node_expected in (
            ("free", "all", 1, True),
            ("guarded", "zone", 0, True),
            ("guarded", "zone", 1, False),
            ("guarded", "cell", 1, True),
        ):
            scheduler, _ = self.shard(
                (7, {}),
                (8, {"zone": zone}),
                classes=request_class(
                    idempotency=safety, group=scope, window_ns=SECOND
                ),
            )
            scheduler.on_request(0, request(1))
            queued = scheduler.state.requests[1]
            scheduler.placement.enqueue(queued, scheduler.state.nodes[7], 0)
            scheduler.gate.send(queued, scheduler.state.nodes[7], 0)
            scheduler.on_attempt_result(
                100, attempt_result(1, AttemptOutcome.ERROR, latency=100)
            )
            self.assertTrue(scheduler.placement.place(queued, 100))
            self.assertIs(
                queued.node,
                scheduler.state.nodes[8 if other_node_expected else 7],
                (safety, scope, zone),
            )

    def test_a_retry_without_credit_is_queued_and_rejected_in_time(self):
        scheduler, effects = self.shard((7, {}), (8, {}))
        scheduler.on_request(0, request(1))
        scheduler.state.unplaced.clear()
        scheduler.gate.send(scheduler.state.requests[1], scheduler.state.nodes[7], 0)
        scheduler.on_attempt_result(
            100, attempt_result(1, AttemptOutcome.ERROR, latency=100)
        )
        for each in scheduler.state.nodes.values():
            each.retry_credit, each.backoff_until = 0, 19_000  # after the target
        scheduler.dispatch_pending(5_000)
        self.assertEqual(
            (len(effects.calls_of("reject")), scheduler.state.unplaced), (1, [])
        )

    def test_a_warming_up_node_whose_budget_share_is_spent_is_not_chosen(self):
        scheduler, _ = self.shard((7, {}), (8, {"started_at": 20_000}), now=20_000)
        scheduler.state.nodes[8].recent_sends.append((20_000, 99.0))
        scheduler.on_request(20_000, request(1, deadline=40_000))
        scheduler.placement.place(scheduler.state.requests[1], 20_000)
        self.assertIs(scheduler.state.requests[1].node, scheduler.state.nodes[7])

    def test_a_new_object_stays_in_the_shard_that_may_have_stored_it(self):
        scheduler, _ = self.shard((7, {}), (8, {"shard": 1}), (9, {}))
        scheduler.on_request(0, request(1, shard=None))
        scheduler.gate.send(scheduler.state.requests[1], scheduler.state.nodes[7], 0)
        scheduler.state.requests[1].attempts[0].outcome = AttemptOutcome.RESET
        self.assertEqual(
            scheduler.placement.candidates(scheduler.state.requests[1]),
            [scheduler.state.nodes[7], scheduler.state.nodes[9]],
        )

    def test_requests_at_a_node_that_drains_move_to_the_others(self):
        scheduler, _ = self.shard((7, {}), (8, {}))
        scheduler.on_request(0, request(1))
        scheduler.placement.enqueue(
            scheduler.state.requests[1], scheduler.state.nodes[7], 0
        )
        scheduler.on_endpoints(
            5, EndpointUpdateKind.DELTA, [endpoint(7, readiness=Readiness.DRAINING)]
        )
        scheduler.placement.place(scheduler.state.requests[1], 5)
        self.assertIs(scheduler.state.requests[1].node, scheduler.state.nodes[8])

    def test_fewer_gateways_keep_a_wider_window_at_a_congested_node(self):
        for gateways, min_window in ((1, 4.5), (2, 3.0), (8, 1.0), (300, 1.0)):
            scheduler, _ = self.shard((7, {}), peers_total=gateways)
            scheduler.state.nodes[7].window, scheduler.state.nodes[7].unit_latency = (
                5.0,
                10_000.0,
            )
            for number in range(60):
                scheduler.on_request(0, request(number, deadline=200_000))
                scheduler.gate.send(
                    scheduler.state.requests[number], scheduler.state.nodes[7], 0
                )
                scheduler.results.learn_from_success(
                    scheduler.state.nodes[7].in_flight[-1],
                    attempt_result(number, AttemptOutcome.SUCCEEDED, latency=20_000),
                    0,
                )
                scheduler.state.nodes[7].usual_unit_latency = 1.0
                scheduler.estimator.unit_time = 1.0
            self.assertEqual(scheduler.state.nodes[7].window, min_window)
            scheduler.outliers.on_node_event(
                scheduler.state.nodes[7], NodeEvent.ATTEMPT_FAILED, 0
            )
            self.assertEqual(scheduler.state.nodes[7].window, min_window)

    def test_a_request_behind_others_of_its_key_costs_less(self):
        scheduler, _ = self.shard((7, {}), (8, {}))
        scheduler.estimator.unit_time = 200.0
        scheduler.on_request(0, request(1, key=5))
        scheduler.on_request(0, request(2, key=5))
        scheduler.placement.enqueue(
            scheduler.state.requests[1], scheduler.state.nodes[7], 0
        )
        scheduler.state.nodes[8].load_factor = scheduler.state.nodes[7].load_factor = (
            0.0
        )
        scheduler.state.nodes[7].latency = scheduler.state.nodes[8].latency = 1.0
        discounts = [
            scheduler.placement.placement_cost(
                scheduler.state.requests[2], scheduler.state.nodes[each], 0
            )[3]
            - scheduler.estimator.load_factor(scheduler.state.nodes[each])
            for each in (7, 8)
        ]
        self.assertEqual(discounts, [-0.04, 0.0])


if __name__ == "__main__":
    unittest.main()
