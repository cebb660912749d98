"""Each test builds the state that it needs and calls one function of the scheduler."""

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


class Path(unittest.TestCase):
    """The design's ordinary path and where it is extended."""

    def test_queued_requests_leave_by_tag(self):
        scheduler, _ = make_scheduler()
        at = storage_node(scheduler)
        late, soon = (
            queued_request(scheduler, 1, volume=1),
            queued_request(scheduler, 2, volume=2),
        )
        soon.target -= 1000
        scheduler.placement.enqueue(late, at, 0)
        scheduler.placement.enqueue(soon, at, 0)
        self.assertIs(scheduler.edf.choose_next(at, 0), soon)

    def test_m_is_a_tenth_of_the_objective_until_latency_is_known(self):
        scheduler, _ = make_scheduler()
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        at.latency = None
        scheduler.placement.enqueue(one, at, 0)
        self.assertEqual(one.tag, 3000 - 300)

    def follower_of(self, slack, units=2.0, key=5, volume=1):
        scheduler, _ = make_scheduler()
        at, last = (
            storage_node(scheduler),
            queued_request(scheduler, 9, key=5, volume=1),
        )
        at.last_served = last
        head, follower = (
            queued_request(scheduler, 1, volume=2),
            queued_request(scheduler, 2, key=key, volume=volume, units=units),
        )
        for each in (head, follower):
            scheduler.placement.enqueue(each, at, 0)
        return scheduler.edf.choose_next(at, head.tag - slack), head, follower

    def test_a_follower_of_key_or_volume_goes_before_a_head_that_is_not_due(self):
        for key, volume in ((5, 3), (6, 1)):
            chosen, _, follower = self.follower_of(1000, key=key, volume=volume)
            self.assertIs(chosen, follower)

    def test_a_costly_follower_does_not_push_the_head_past_its_tag(self):
        chosen, head, _ = self.follower_of(1000, units=8.0)
        self.assertIs(chosen, head)

    def test_one_slot_waits_for_a_follower_only_with_others_out(self):
        scheduler, effects = make_scheduler()
        at = storage_node(scheduler)
        scheduler.gate.send(queued_request(scheduler, 8, volume=3), at, 0)
        at.window, at.last_served, at.follower_wait_until = (
            2.0,
            queued_request(scheduler, 9, key=5),
            200,
        )
        head = queued_request(scheduler, 1, volume=2)
        scheduler.placement.enqueue(head, at, 0)
        self.assertIsNone(scheduler.edf.choose_next(at, 0))
        self.assertEqual(effects.calls_of("set_timer")[-1], (200, at))
        at.in_flight.clear()
        self.assertIs(scheduler.edf.choose_next(at, 0), head)

    def test_background_leaves_while_the_deadline_queue_is_empty(self):
        scheduler, _ = make_scheduler()
        at, extra, due = (
            storage_node(scheduler),
            queued_request(scheduler, 1, volume=1),
            queued_request(scheduler, 2, volume=2),
        )
        extra.is_reserved = False
        scheduler.placement.enqueue(extra, at, 0)
        self.assertIs(scheduler.edf.choose_next(at, 0), extra)
        scheduler.placement.enqueue(due, at, 0)
        self.assertIs(scheduler.edf.choose_next(at, 0), due)

    def surplus(self, scheduler, number):
        one = queued_request(scheduler, number)
        one.is_reserved = False
        scheduler.placement.enqueue(one, scheduler.state.nodes[7], 0)
        return one

    def test_a_volumes_surplus_waits_for_its_window_over_all_nodes(self):
        scheduler, _ = make_scheduler()
        at = storage_node(scheduler)
        one, two = self.surplus(scheduler, 1), self.surplus(scheduler, 2)
        scheduler.gate.send(one, at, 0)
        self.assertGreater(scheduler.surplus.wait_time(two, 0), 0)

    def test_crowded_answers_narrow_a_volumes_surplus_window_below_one_by_pauses(self):
        scheduler, _ = make_scheduler()
        storage_node(scheduler)
        one = self.surplus(scheduler, 1)
        scheduler.gate.send(one, one.node, 0)
        scheduler.surplus.adjust_window(one.attempts[0], True, 1000)
        self.assertLess(one.volume.surplus_window, 1)
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

    def test_the_rest_of_a_run_leaves_at_once_within_the_heads_slack(self):
        scheduler, effects = make_scheduler()
        at = storage_node(scheduler)
        run = [queued_request(scheduler, number, key=5) for number in range(4)]
        head = queued_request(scheduler, 9, volume=2)
        for each in run[1:] + [head]:
            scheduler.placement.enqueue(each, at, 0)
        scheduler.edf.dispatch_batch(at, run[0], head.tag - 500)
        self.assertEqual([sent[0] for sent in effects.calls_of("send_attempt")], [1, 2])

    def test_what_cannot_leave_in_time_goes_behind_least_worthy_first(self):
        scheduler, effects = make_scheduler()
        at = storage_node(scheduler)
        held = [queued_request(scheduler, number, units=8.0) for number in range(3)]
        for each, utility in zip(held, (1.0, 0.5, 1.0)):
            each.is_reserved, each.weight = True, utility
            scheduler.placement.enqueue(each, at, 0)
        scheduler.edf.shed_late_requests(at, 0)
        self.assertEqual(
            [held[0].queue, held[1].queue], [at.deadline_queue, at.background_queue]
        )
        self.assertEqual(effects.calls_of("reject"), [])

    def test_what_cannot_leave_within_the_client_timeout_is_rejected_at_once(self):
        for best, declined in (
            (2000.0, 1),
            (200.0, 3),
        ):  # a crowded node keeps nothing late
            scheduler, effects = make_scheduler()
            at = storage_node(scheduler)
            at.unit_latency, at.usual_unit_latency, scheduler.estimator.unit_time = (
                2000.0,
                best,
                2000.0,
            )
            for number in range(3):
                scheduler.placement.enqueue(
                    queued_request(scheduler, number, units=4.0), at, 0
                )
            scheduler.edf.shed_late_requests(at, 0)
            self.assertEqual(len(effects.calls_of("reject")), declined, best)

    def test_background_leaves_a_crowded_node_one_at_a_time(self):
        scheduler, _ = make_scheduler()
        at, extra = storage_node(scheduler), queued_request(scheduler, 1)
        extra.is_reserved, at.window, at.usual_unit_latency = False, 3.0, 50.0
        scheduler.placement.enqueue(extra, at, 0)
        self.assertIs(scheduler.edf.choose_next(at, 0), extra)
        scheduler.gate.send(queued_request(scheduler, 2), at, 0)
        self.assertIsNone(scheduler.edf.choose_next(at, 0))

    def test_a_clients_retry_counts_from_its_first_try(self):
        scheduler, _ = make_scheduler()
        self.assertEqual(
            queued_request(
                scheduler, 1, now=2000, deadline=15_000, is_retry=True
            ).target,
            3000,
        )

    def test_a_retry_with_less_than_its_objective_left_is_a_short_try(self):
        scheduler, _ = make_scheduler()
        self.assertEqual(
            queued_request(
                scheduler, 1, now=20_000, deadline=21_000, is_retry=True
            ).target,
            21_000,
        )

    def test_the_window_widens_near_the_best_pace_and_narrows_far_from_it(self):
        for latency, wider in ((380, True), (4000, False)):
            scheduler, _ = make_scheduler(gateway_count=8)
            at, one = storage_node(scheduler), queued_request(scheduler, 1)
            at.window = 2.0
            scheduler.gate.send(one, at, 0)
            at.in_flight[0].filled_window = True
            scheduler.results.learn_from_success(
                at.in_flight[0],
                attempt_result(1, AttemptOutcome.SUCCEEDED, latency=latency),
                400,
            )
            self.assertEqual(at.window > 2.0, wider)


class Nodes(unittest.TestCase):
    """Health, credit and where a new object goes."""

    def test_a_new_object_goes_where_credit_is_left_and_the_load_is_least(self):
        scheduler, _ = make_scheduler()
        slow, quick, spent = (
            storage_node(scheduler, 1),
            storage_node(scheduler, 2),
            storage_node(scheduler, 3),
        )
        slow.load_factor, quick.load_factor, spent.load_factor, spent.retry_credit = (
            2.0,
            0.5,
            0.1,
            0,
        )
        scheduler.gate.send(queued_request(scheduler, 8, shard=0), spent, 0)
        one = queued_request(scheduler, 1, shard=None)
        self.assertTrue(scheduler.placement.place(one, 0))
        self.assertEqual((one.node, quick.retry_credit), (quick, MAX_RETRY_CREDIT - 1))

    def test_what_is_out_at_a_node_counts_as_load(self):
        scheduler, _ = make_scheduler()
        at = storage_node(scheduler)
        scheduler.gate.send(queued_request(scheduler, 1), at, 0)
        self.assertGreater(
            scheduler.estimator.load_factor(at),
            scheduler.estimator.load_factor(storage_node(scheduler, 8)),
        )

    def test_a_silent_node_proves_itself(self):
        scheduler, _ = make_scheduler(gateway_count=8)
        at = storage_node(scheduler)
        at.window = 9.0
        scheduler.outliers.on_node_event(at, NodeEvent.ATTEMPT_FAILED, 100)
        self.assertEqual(
            (at.health, at.window, at.retry_credit), (NodeHealth.RECOVERING, 1.0, 1)
        )
        scheduler.outliers.on_node_event(at, NodeEvent.RESPONDED_IN_TIME, 1000)
        self.assertIs(at.health, NodeHealth.HEALTHY)

    def test_a_recovering_node_gets_the_worthiest_first(self):
        scheduler, _ = make_scheduler()
        at = storage_node(scheduler)
        at.health = NodeHealth.RECOVERING
        first, second = (
            queued_request(scheduler, 1),
            queued_request(scheduler, 2, volume=2),
        )
        second.weight = 5.0
        for each in (first, second):
            scheduler.placement.enqueue(each, at, 0)
        self.assertIs(scheduler.edf.choose_next(at, 0), second)

    def test_an_attempt_times_out_after_some_latencies_but_not_before_its_target(self):
        for repeats, reserved, failures, now, timeout in (
            (RetrySafety.IDEMPOTENT, True, 0, 0, 3000),
            (RetrySafety.IDEMPOTENT, True, 0, 1000, 2400),
            (RetrySafety.IDEMPOTENT, False, 0, 1000, 2000),
            (RetrySafety.IDEMPOTENT, True, 1, 1000, 2000),
            (RetrySafety.IDEMPOTENT, True, 1, 4000, 2400),
            (RetrySafety.NON_IDEMPOTENT, True, 0, 0, 0),
        ):
            scheduler, effects = make_scheduler({"retry_safety": repeats})
            at, one = storage_node(scheduler), queued_request(scheduler, 1)
            at.failures, one.is_reserved = failures, reserved
            scheduler.gate.send(one, at, now)
            self.assertEqual(effects.calls_of("send_attempt"), [(1, 7, timeout)])

    def test_a_first_attempt_is_lost_sooner_where_its_target_leaves_time_for_another(
        self,
    ):
        for latency, number, credit, timeout, final in (
            (400.0, 0, 2, 2400, False),
            (None, 0, 2, 6000, True),
            (600.0, 0, 2, 6000, True),
            (400.0, 1, 2, 6000, True),
            (400.0, 0, 0, 6000, True),
        ):
            scheduler, effects = make_scheduler()
            at, one = (
                storage_node(scheduler),
                queued_request(scheduler, 1, deadline=50_000),
            )
            one.target, one.is_reserved, at.latency, at.wait, at.retry_credit = (
                6000,
                False,
                latency,
                0.0,
                credit,
            )
            one.attempts = [None] * number
            scheduler.gate.send(one, at, 0)
            self.assertEqual(
                (effects.calls_of("send_attempt")[-1][2], at.in_flight[0].is_final),
                (timeout, final),
                (latency, number, credit),
            )

    def test_surplus_that_timed_out_at_its_target_is_rejected_at_once(self):
        scheduler, effects = make_scheduler()
        one = queued_request(scheduler, 1)
        one.is_reserved = False
        scheduler.gate.send(one, storage_node(scheduler), 0)
        scheduler.on_attempt_result(
            3000, attempt_result(1, AttemptOutcome.TIMED_OUT, latency=3000)
        )
        self.assertEqual(effects.calls_of("reject"), [(1, 5000)])

    def test_attempts_that_come_to_nothing_make_a_node_back_off_longer_each_time(self):
        for outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.REJECTED):
            scheduler, _ = make_scheduler()
            at, rests = storage_node(scheduler), []
            scheduler.state.random.uniform = lambda low, high: 1.0
            for number in range(2):
                scheduler.gate.send(
                    queued_request(scheduler, number), at, at.backoff_until
                )
                now = at.backoff_until + 400
                scheduler.on_attempt_result(now, attempt_result(number, outcome))
                rests.append(at.backoff_until - now)
            self.assertEqual(rests, [400, 1200])

    def test_an_attempt_lost_alone_at_a_node_heard_of_late_is_no_failure(self):
        for heard, silent, outcome, failures, health in (
            (1000, 0, AttemptOutcome.TIMED_OUT, 0, NodeHealth.HEALTHY),
            (0, 0, AttemptOutcome.TIMED_OUT, 1, NodeHealth.RECOVERING),
            (1000, 1500, AttemptOutcome.RESET, 1, NodeHealth.RECOVERING),
            (1000, 0, AttemptOutcome.REJECTED, 1, NodeHealth.HEALTHY),
        ):
            scheduler, _ = make_scheduler()
            at, scheduler.estimator.shortest_objective = storage_node(scheduler), 100
            scheduler.gate.send(queued_request(scheduler, 1), at, 1500)
            at.last_response_at, at.last_unanswered_at = heard, silent
            scheduler.on_attempt_result(1900, attempt_result(1, outcome, latency=400))
            self.assertEqual(
                (at.failures, at.health), (failures, health), (heard, silent, outcome)
            )

    def test_a_reset_that_comes_at_once_is_lost_alone_where_the_node_was_heard_within_objectives(
        self,
    ):
        scheduler, _ = make_scheduler()
        at, scheduler.estimator.shortest_objective = storage_node(scheduler), 1000
        scheduler.gate.send(queued_request(scheduler, 1), at, 2500)
        at.last_response_at = 1000
        scheduler.on_attempt_result(
            2501, attempt_result(1, AttemptOutcome.RESET, latency=1)
        )
        self.assertEqual((at.failures, at.health), (0, NodeHealth.HEALTHY))

    def test_a_lost_attempt_frees_its_slot_and_may_go_again(self):
        scheduler, _ = make_scheduler()
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.placement.enqueue(one, at, 0)
        scheduler.gate.send(one, at, 0)
        scheduler.on_attempt_result(2400, attempt_result(1, AttemptOutcome.TIMED_OUT))
        self.assertEqual(
            (
                at.in_flight,
                scheduler.state.unplaced[-1],
                scheduler.gate.wait_time(one, at, 2400),
            ),
            ([], one, 0),
        )

    def test_a_shard_without_a_node_waits_for_the_one_that_replaces_it(self):
        scheduler, _ = make_scheduler()
        one = queued_request(scheduler, 1, shard=4)
        self.assertFalse(scheduler.placement.place(one, 0))
        storage_node(scheduler, 5, shard=4)
        self.assertTrue(scheduler.placement.place(one, 10))

    def test_taking_a_request_sends_nothing_before_dispatching(self):
        scheduler, effects = make_scheduler()
        storage_node(scheduler)
        scheduler.on_request(0, request(1))
        self.assertEqual(effects.calls_of("send_attempt"), [])


if __name__ == "__main__":
    unittest.main()
