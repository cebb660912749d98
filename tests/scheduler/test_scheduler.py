"""EDF dispatch, surplus windows, timeouts and node health, one function per test."""

import unittest

from milletsill.deployment_config import RetrySafety
from milletsill.interface import AttemptOutcome
from milletsill.scheduler.constants import MAX_RETRY_CREDIT
from milletsill.scheduler.transitions import NodeEvent, NodeHealth
from tests.support.scheduler_builders import (
    attempt_result,
    make_scheduler,
    queued_request,
    request,
    storage_node,
)


class Dispatch(unittest.TestCase):
    """Batch-and-delay EDF and its extensions."""

    def test_queued_requests_leave_by_tag(self):
        scheduler, _ = make_scheduler()
        node = storage_node(scheduler)
        late, soon = (
            queued_request(scheduler, 1, volume=1),
            queued_request(scheduler, 2, volume=2),
        )
        soon.target -= 1000
        scheduler.placement.enqueue(late, node, 0)
        scheduler.placement.enqueue(soon, node, 0)
        self.assertIs(scheduler.edf.choose_next(node, 0), soon)

    def test_unknown_latency_is_taken_as_a_tenth_of_the_objective(self):
        scheduler, _ = make_scheduler()
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        node.latency = None
        scheduler.placement.enqueue(queued, node, 0)
        self.assertEqual(queued.tag, 3000 - 300)

    def follower_of(self, slack, units=2.0, key=5, volume=1):
        scheduler, _ = make_scheduler()
        node, last = (
            storage_node(scheduler),
            queued_request(scheduler, 9, key=5, volume=1),
        )
        node.last_served = last
        head, follower = (
            queued_request(scheduler, 1, volume=2),
            queued_request(scheduler, 2, key=key, volume=volume, units=units),
        )
        for each in (head, follower):
            scheduler.placement.enqueue(each, node, 0)
        return scheduler.edf.choose_next(node, head.tag - slack), head, follower

    def test_a_follower_of_key_or_volume_goes_before_a_head_that_is_not_due(self):
        for key, volume in ((5, 3), (6, 1)):
            chosen, _, follower = self.follower_of(1000, key=key, volume=volume)
            self.assertIs(chosen, follower)

    def test_a_costly_follower_does_not_push_the_head_past_its_tag(self):
        chosen, head, _ = self.follower_of(1000, units=8.0)
        self.assertIs(chosen, head)

    def test_the_last_slot_waits_for_a_follower_only_with_attempts_in_flight(self):
        scheduler, effects = make_scheduler()
        node = storage_node(scheduler)
        scheduler.gate.send(queued_request(scheduler, 8, volume=3), node, 0)
        node.window, node.last_served, node.follower_wait_until = (
            2.0,
            queued_request(scheduler, 9, key=5),
            200,
        )
        head = queued_request(scheduler, 1, volume=2)
        scheduler.placement.enqueue(head, node, 0)
        self.assertIsNone(scheduler.edf.choose_next(node, 0))
        self.assertEqual(effects.calls_of("set_timer")[-1], (200, node))
        node.in_flight.clear()
        self.assertIs(scheduler.edf.choose_next(node, 0), head)

    def test_background_requests_go_while_the_deadline_queue_is_empty(self):
        scheduler, _ = make_scheduler()
        node, background, due = (
            storage_node(scheduler),
            queued_request(scheduler, 1, volume=1),
            queued_request(scheduler, 2, volume=2),
        )
        background.is_reserved = False
        scheduler.placement.enqueue(background, node, 0)
        self.assertIs(scheduler.edf.choose_next(node, 0), background)
        scheduler.placement.enqueue(due, node, 0)
        self.assertIs(scheduler.edf.choose_next(node, 0), due)

    def surplus(self, scheduler, number):
        queued = queued_request(scheduler, number)
        queued.is_reserved = False
        scheduler.placement.enqueue(queued, scheduler.state.nodes[7], 0)
        return queued

    def test_a_volumes_surplus_waits_for_its_window_over_all_nodes(self):
        scheduler, _ = make_scheduler()
        node = storage_node(scheduler)
        first, second = self.surplus(scheduler, 1), self.surplus(scheduler, 2)
        scheduler.gate.send(first, node, 0)
        self.assertGreater(scheduler.surplus.wait_time(second, 0), 0)

    def test_congestion_narrows_the_surplus_window_below_one_by_pauses(self):
        scheduler, _ = make_scheduler()
        storage_node(scheduler)
        queued = self.surplus(scheduler, 1)
        scheduler.gate.send(queued, queued.node, 0)
        scheduler.surplus.adjust_window(queued.attempts[0], True, 1000)
        self.assertLess(queued.volume.surplus_window, 1)
        self.assertGreater(
            scheduler.surplus.wait_time(self.surplus(scheduler, 2), 1000), 0
        )

    def test_units_beyond_the_reserve_are_not_reserved(self):
        scheduler, _ = make_scheduler()
        queued_request(scheduler, 1).volume.reserve.level = 3.0
        self.assertEqual(
            [queued_request(scheduler, number).is_reserved for number in (2, 3)],
            [True, False],
        )

    def test_the_rest_of_a_batch_is_sent_at_once_within_the_heads_slack(self):
        scheduler, effects = make_scheduler()
        node = storage_node(scheduler)
        batch = [queued_request(scheduler, number, key=5) for number in range(4)]
        head = queued_request(scheduler, 9, volume=2)
        for each in batch[1:] + [head]:
            scheduler.placement.enqueue(each, node, 0)
        scheduler.edf.dispatch_batch(node, batch[0], head.tag - 500)
        self.assertEqual([sent[0] for sent in effects.calls_of("send_attempt")], [1, 2])

    def test_late_requests_of_the_lowest_weight_move_to_the_background(self):
        scheduler, effects = make_scheduler()
        node = storage_node(scheduler)
        requests = [queued_request(scheduler, number, units=8.0) for number in range(3)]
        for each, weight in zip(requests, (1.0, 0.5, 1.0)):
            each.is_reserved, each.weight = True, weight
            scheduler.placement.enqueue(each, node, 0)
        scheduler.edf.shed_late_requests(node, 0)
        self.assertEqual(
            [requests[0].queue, requests[1].queue],
            [node.deadline_queue, node.background_queue],
        )
        self.assertEqual(effects.calls_of("reject"), [])

    def test_requests_that_cannot_go_before_the_deadline_are_rejected(self):
        for usual, rejected in (
            (2000.0, 1),
            (200.0, 3),
        ):  # a congested node keeps no late requests
            scheduler, effects = make_scheduler()
            node = storage_node(scheduler)
            (
                node.unit_latency,
                node.usual_unit_latency,
                scheduler.estimator.unit_time,
            ) = (
                2000.0,
                usual,
                2000.0,
            )
            for number in range(3):
                scheduler.placement.enqueue(
                    queued_request(scheduler, number, units=4.0), node, 0
                )
            scheduler.edf.shed_late_requests(node, 0)
            self.assertEqual(len(effects.calls_of("reject")), rejected, usual)

    def test_a_congested_node_gets_background_requests_one_at_a_time(self):
        scheduler, _ = make_scheduler()
        node, background = storage_node(scheduler), queued_request(scheduler, 1)
        background.is_reserved, node.window, node.usual_unit_latency = False, 3.0, 50.0
        scheduler.placement.enqueue(background, node, 0)
        self.assertIs(scheduler.edf.choose_next(node, 0), background)
        scheduler.gate.send(queued_request(scheduler, 2), node, 0)
        self.assertIsNone(scheduler.edf.choose_next(node, 0))

    def test_the_target_of_a_clients_retry_counts_from_its_first_try(self):
        scheduler, _ = make_scheduler()
        self.assertEqual(
            queued_request(
                scheduler, 1, now=2000, deadline=15_000, is_retry=True
            ).target,
            3000,
        )

    def test_a_retry_with_less_than_its_objective_left_counts_from_now(self):
        scheduler, _ = make_scheduler()
        self.assertEqual(
            queued_request(
                scheduler, 1, now=20_000, deadline=21_000, is_retry=True
            ).target,
            21_000,
        )

    def test_the_window_widens_near_the_usual_latency_only(self):
        for latency, widens in ((380, True), (4000, False)):
            scheduler, _ = make_scheduler(gateway_count=8)
            node, queued = storage_node(scheduler), queued_request(scheduler, 1)
            node.window = 2.0
            scheduler.gate.send(queued, node, 0)
            node.in_flight[0].filled_window = True
            scheduler.results.learn_from_success(
                node.in_flight[0],
                attempt_result(1, AttemptOutcome.SUCCEEDED, latency=latency),
                400,
            )
            self.assertEqual(node.window > 2.0, widens)


class NodeState(unittest.TestCase):
    """Node health, retry credit, backoff and the placement of new objects."""

    def test_a_new_object_goes_to_the_least_loaded_node_with_credit(self):
        scheduler, _ = make_scheduler()
        slow, fast, spent = (
            storage_node(scheduler, 1),
            storage_node(scheduler, 2),
            storage_node(scheduler, 3),
        )
        slow.load_factor, fast.load_factor, spent.load_factor, spent.retry_credit = (
            2.0,
            0.5,
            0.1,
            0,
        )
        scheduler.gate.send(queued_request(scheduler, 8, shard=0), spent, 0)
        queued = queued_request(scheduler, 1, shard=None)
        self.assertTrue(scheduler.placement.place(queued, 0))
        self.assertEqual((queued.node, fast.retry_credit), (fast, MAX_RETRY_CREDIT - 1))

    def test_attempts_in_flight_count_as_load(self):
        scheduler, _ = make_scheduler()
        node = storage_node(scheduler)
        scheduler.gate.send(queued_request(scheduler, 1), node, 0)
        self.assertGreater(
            scheduler.estimator.load_factor(node),
            scheduler.estimator.load_factor(storage_node(scheduler, 8)),
        )

    def test_an_unresponsive_node_recovers_by_responding_in_time(self):
        scheduler, _ = make_scheduler(gateway_count=8)
        node = storage_node(scheduler)
        node.window = 9.0
        scheduler.outliers.on_node_event(node, NodeEvent.ATTEMPT_FAILED, 100)
        self.assertEqual(
            (node.health, node.window, node.retry_credit),
            (NodeHealth.RECOVERING, 1.0, 1),
        )
        scheduler.outliers.on_node_event(node, NodeEvent.RESPONDED_IN_TIME, 1000)
        self.assertIs(node.health, NodeHealth.HEALTHY)

    def test_a_recovering_node_gets_the_most_valuable_request_first(self):
        scheduler, _ = make_scheduler()
        node = storage_node(scheduler)
        node.health = NodeHealth.RECOVERING
        first, second = (
            queued_request(scheduler, 1),
            queued_request(scheduler, 2, volume=2),
        )
        second.weight = 5.0
        for each in (first, second):
            scheduler.placement.enqueue(each, node, 0)
        self.assertIs(scheduler.edf.choose_next(node, 0), second)

    def test_an_attempt_times_out_after_some_latencies_but_not_before_its_target(self):
        for safety, reserved, failures, now, timeout in (
            (RetrySafety.IDEMPOTENT, True, 0, 0, 3000),
            (RetrySafety.IDEMPOTENT, True, 0, 1000, 2400),
            (RetrySafety.IDEMPOTENT, False, 0, 1000, 2000),
            (RetrySafety.IDEMPOTENT, True, 1, 1000, 2000),
            (RetrySafety.IDEMPOTENT, True, 1, 4000, 2400),
            (RetrySafety.NON_IDEMPOTENT, True, 0, 0, 0),
        ):
            scheduler, effects = make_scheduler({"retry_safety": safety})
            node, queued = storage_node(scheduler), queued_request(scheduler, 1)
            node.failures, queued.is_reserved = failures, reserved
            scheduler.gate.send(queued, node, now)
            self.assertEqual(effects.calls_of("send_attempt"), [(1, 7, timeout)])

    def test_a_first_attempt_times_out_early_if_there_is_time_for_another(self):
        for latency, number, credit, timeout, is_final in (
            (400.0, 0, 2, 2400, False),
            (None, 0, 2, 6000, True),
            (600.0, 0, 2, 6000, True),
            (400.0, 1, 2, 6000, True),
            (400.0, 0, 0, 6000, True),
        ):
            scheduler, effects = make_scheduler()
            node, queued = (
                storage_node(scheduler),
                queued_request(scheduler, 1, deadline=50_000),
            )
            (
                queued.target,
                queued.is_reserved,
                node.latency,
                node.wait,
                node.retry_credit,
            ) = (
                6000,
                False,
                latency,
                0.0,
                credit,
            )
            queued.attempts = [None] * number
            scheduler.gate.send(queued, node, 0)
            self.assertEqual(
                (effects.calls_of("send_attempt")[-1][2], node.in_flight[0].is_final),
                (timeout, is_final),
                (latency, number, credit),
            )

    def test_surplus_that_timed_out_at_its_target_is_rejected_at_once(self):
        scheduler, effects = make_scheduler()
        queued = queued_request(scheduler, 1)
        queued.is_reserved = False
        scheduler.gate.send(queued, storage_node(scheduler), 0)
        scheduler.on_attempt_result(
            3000, attempt_result(1, AttemptOutcome.TIMED_OUT, latency=3000)
        )
        self.assertEqual(effects.calls_of("reject"), [(1, 5000)])

    def test_each_failed_attempt_lengthens_the_backoff(self):
        for outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.REJECTED):
            scheduler, _ = make_scheduler()
            node, backoffs = storage_node(scheduler), []
            scheduler.state.random.uniform = lambda low, high: 1.0
            for number in range(2):
                scheduler.gate.send(
                    queued_request(scheduler, number), node, node.backoff_until
                )
                now = node.backoff_until + 400
                scheduler.on_attempt_result(now, attempt_result(number, outcome))
                backoffs.append(node.backoff_until - now)
            self.assertEqual(backoffs, [400, 1200])

    def test_an_isolated_loss_at_a_responsive_node_is_no_failure(self):
        for responded_at, unanswered_at, outcome, failures, health in (
            (1000, 0, AttemptOutcome.TIMED_OUT, 0, NodeHealth.HEALTHY),
            (0, 0, AttemptOutcome.TIMED_OUT, 1, NodeHealth.RECOVERING),
            (1000, 1500, AttemptOutcome.RESET, 1, NodeHealth.RECOVERING),
            (1000, 0, AttemptOutcome.REJECTED, 1, NodeHealth.HEALTHY),
        ):
            scheduler, _ = make_scheduler()
            node, scheduler.estimator.shortest_objective = storage_node(scheduler), 100
            scheduler.gate.send(queued_request(scheduler, 1), node, 1500)
            node.last_response_at, node.last_unanswered_at = responded_at, unanswered_at
            scheduler.on_attempt_result(1900, attempt_result(1, outcome, latency=400))
            self.assertEqual(
                (node.failures, node.health),
                (failures, health),
                (responded_at, unanswered_at, outcome),
            )

    def test_an_immediate_reset_is_isolated_if_the_node_responded_recently(self):
        scheduler, _ = make_scheduler()
        node, scheduler.estimator.shortest_objective = storage_node(scheduler), 1000
        scheduler.gate.send(queued_request(scheduler, 1), node, 2500)
        node.last_response_at = 1000
        scheduler.on_attempt_result(
            2501, attempt_result(1, AttemptOutcome.RESET, latency=1)
        )
        self.assertEqual((node.failures, node.health), (0, NodeHealth.HEALTHY))

    def test_a_timed_out_attempt_frees_its_slot_and_may_be_retried(self):
        scheduler, _ = make_scheduler()
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.placement.enqueue(queued, node, 0)
        scheduler.gate.send(queued, node, 0)
        scheduler.on_attempt_result(2400, attempt_result(1, AttemptOutcome.TIMED_OUT))
        self.assertEqual(
            (
                node.in_flight,
                scheduler.state.unplaced[-1],
                scheduler.gate.wait_time(queued, node, 2400),
            ),
            ([], queued, 0),
        )

    def test_requests_for_a_shard_without_nodes_wait_for_a_new_node(self):
        scheduler, _ = make_scheduler()
        queued = queued_request(scheduler, 1, shard=4)
        self.assertFalse(scheduler.placement.place(queued, 0))
        storage_node(scheduler, 5, shard=4)
        self.assertTrue(scheduler.placement.place(queued, 10))

    def test_a_request_is_not_sent_before_the_next_dispatch(self):
        scheduler, effects = make_scheduler()
        storage_node(scheduler)
        scheduler.on_request(0, request(1))
        self.assertEqual(effects.calls_of("send_attempt"), [])


if __name__ == "__main__":
    unittest.main()
