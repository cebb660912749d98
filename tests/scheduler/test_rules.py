"""The other rules, and their parts.

Each test builds the state it needs and calls one function.
"""

import unittest

from milletsill.deployment_config import RetrySafety, RetryScope
from milletsill.interface import (
    AttemptOutcome,
    EndpointUpdateKind,
    Readiness,
)
from milletsill.scheduler.constants import NEVER
from milletsill.scheduler.transitions import NodeHealth, RequestState, TimerToken
from tests.support.scheduler_builders import (
    attempt_result,
    endpoint,
    make_scheduler,
    queued_request,
    request,
    storage_node,
)


class Rules(unittest.TestCase):
    """The gate and the final answers."""

    def test_nothing_is_sent_after_the_clients_time(self):
        scheduler, _ = make_scheduler()
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        self.assertEqual(scheduler.gate.wait_time(one, at, one.deadline), NEVER)

    def test_a_queued_request_is_rejected_before_its_client_leaves(self):
        scheduler, effects = make_scheduler()
        one = queued_request(scheduler, 1)
        scheduler.on_timer(one.deadline - 40, one)
        self.assertEqual(effects.calls_of("reject"), [(1, 5000)])

    def test_what_was_never_sent_is_given_up_at_half_of_its_clients_time(self):
        for sent, told in ((False, [(1, 5000)]), (True, [])):
            scheduler, effects = make_scheduler()
            one = queued_request(scheduler, 1)
            if sent:
                scheduler.gate.send(one, storage_node(scheduler), 0)
                scheduler.on_attempt_result(
                    100, attempt_result(1, AttemptOutcome.REJECTED)
                )
            scheduler.on_timer(one.deadline // 2, one)
            self.assertEqual(effects.calls_of("reject"), told)

    def test_what_is_given_up_is_answered_in_the_same_dispatch_with_a_time_to_come_back(
        self,
    ):
        scheduler, effects = make_scheduler()
        at = storage_node(scheduler)
        # behind its target, and the node is crowded: nothing can be in time there
        at.backoff_until = 4000
        at.failures = 1
        scheduler.on_request(0, request(1))
        scheduler.dispatch_pending(0)
        self.assertEqual(
            (effects.calls_of("reject"), scheduler.state.requests), ([(1, 5000)], {})
        )

    def test_what_may_not_go_again_is_answered_by_the_outcome_of_its_last_attempt(self):
        scheduler, effects = make_scheduler(max_attempts=1)
        one = queued_request(scheduler, 1)
        scheduler.gate.send(one, storage_node(scheduler), 0)
        scheduler.on_attempt_result(100, attempt_result(1, AttemptOutcome.ERROR))
        self.assertEqual(
            (effects.calls_of("reject"), scheduler.state.requests), ([(1, 5000)], {})
        )

    def test_a_timeout_at_the_clients_time_is_answered_at_once(self):
        scheduler, effects = make_scheduler(
            {
                "retry_safety": RetrySafety.IDEMPOTENCY_KEYED,
                "retry_scope": RetryScope.SHARD,
            }
        )
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(one, at, 0)
        scheduler.on_attempt_result(
            one.deadline, attempt_result(1, AttemptOutcome.TIMED_OUT)
        )
        self.assertEqual(effects.calls_of("fail"), [(1,)])

    def test_a_late_answer_for_a_request_that_is_over_changes_nothing(self):
        scheduler, effects = make_scheduler()
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(one, at, 0)
        scheduler.on_client_cancelled(10, 1)
        scheduler.on_attempt_result(
            20, attempt_result(1, AttemptOutcome.SUCCEEDED, finished=True)
        )
        self.assertEqual(
            [effects.calls_of("reject"), effects.calls_of("fail"), at.in_flight],
            [[], [], []],
        )

    def test_a_non_idempotent_request_that_may_have_run_is_failed_not_rejected(self):
        scheduler, effects = make_scheduler(
            {"retry_safety": RetrySafety.NON_IDEMPOTENT}
        )
        one = queued_request(scheduler, 1)
        scheduler.gate.send(one, storage_node(scheduler), 0)
        scheduler.on_attempt_result(100, attempt_result(1, AttemptOutcome.RESET))
        self.assertEqual(
            [effects.calls_of("fail"), effects.calls_of("reject")], [[(1,)], []]
        )

    def test_a_non_idempotent_request_that_never_ran_may_go_again(self):
        scheduler, _ = make_scheduler({"retry_safety": RetrySafety.NON_IDEMPOTENT})
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(one, at, 0)
        scheduler.on_attempt_result(100, attempt_result(1, AttemptOutcome.REJECTED))
        self.assertEqual(
            (one.state, scheduler.retry_policy.wait_time(one, at, 100)),
            (RequestState.QUEUED, 0),
        )

    def test_a_keyed_request_keeps_to_its_scope_and_window(self):
        for group, shard, zone, now, lawful in (
            (RetryScope.SHARD, 0, 1, 5, True),
            (RetryScope.SHARD, 1, 0, 5, False),
            (RetryScope.ZONE, 1, 0, 5, True),
            (RetryScope.ZONE, 0, 1, 5, False),
            (RetryScope.ALL, 1, 1, 5, True),
            (RetryScope.ALL, 0, 0, 20_000, False),
        ):
            scheduler, _ = make_scheduler(
                {"retry_safety": RetrySafety.IDEMPOTENCY_KEYED, "retry_scope": group}
            )
            one, other = (
                queued_request(scheduler, 1, deadline=90_000),
                storage_node(scheduler, 8, shard=shard, zone=zone),
            )
            scheduler.gate.send(one, storage_node(scheduler), 0)
            one.attempts[0].outcome = AttemptOutcome.TIMED_OUT
            self.assertEqual(
                scheduler.retry_policy.wait_time(one, other, now) == 0,
                lawful,
                (group, shard, zone, now),
            )

    def test_a_keyed_retry_that_waits_for_a_link_begins_within_the_window(self):
        for now, lawful in ((17_499, True), (17_500, False), (19_999, False)):
            scheduler, _ = make_scheduler(
                {
                    "retry_safety": RetrySafety.IDEMPOTENCY_KEYED,
                    "retry_scope": RetryScope.ALL,
                    "retry_window": 20_000,
                },
                dial_timeout=2500,
            )
            one = queued_request(scheduler, 1, deadline=90_000)
            scheduler.gate.send(one, storage_node(scheduler), 0)
            one.attempts[0].outcome = AttemptOutcome.TIMED_OUT
            self.assertEqual(
                scheduler.retry_policy.wait_time(one, storage_node(scheduler, 8), now)
                == 0,
                lawful,
                now,
            )

    def test_no_second_copy_where_copies_are_not_allowed(self):
        scheduler, _ = make_scheduler(may_hedge=False)
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(one, at, 0)
        self.assertEqual(scheduler.retry_policy.wait_time(one, at, 5), NEVER)

    def test_a_retry_goes_only_where_there_is_credit(self):
        scheduler, _ = make_scheduler()
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(one, at, 0)
        at.retry_credit = 0
        self.assertEqual(scheduler.retry_policy.wait_time(one, at, 5), NEVER)

    def test_retries_stay_within_their_budget_even_before_the_first(self):
        scheduler, _ = make_scheduler(
            retry_budget_window=50_000, retry_budget_ratio=0.15
        )
        at, one = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(one, at, 0)
        self.assertGreater(scheduler.retry_policy.wait_time(one, at, 5), 0)
        scheduler.retry_budget.request_times.extend([5] * 6)
        self.assertEqual(scheduler.retry_policy.wait_time(one, at, 5), 0)

    def test_a_node_that_drains_or_is_gone_gives_back_what_it_holds(self):
        for readiness in (Readiness.DRAINING, Readiness.GONE):
            scheduler, _ = make_scheduler()
            at, one = storage_node(scheduler), queued_request(scheduler, 1)
            scheduler.placement.enqueue(one, at, 0)
            scheduler.on_endpoints(
                5, EndpointUpdateKind.DELTA, [endpoint(7, readiness=readiness)]
            )
            self.assertEqual(
                (
                    scheduler.gate.wait_time(one, at, 5),
                    scheduler.state.unplaced[-1],
                    at.by_key,
                ),
                (NEVER, one, []),
            )

    def test_a_node_missing_from_a_whole_list_is_unavailable(self):
        scheduler, _ = make_scheduler()
        at = storage_node(scheduler)
        scheduler.on_endpoints(5, EndpointUpdateKind.SNAPSHOT, [endpoint(8)])
        self.assertIs(at.health, NodeHealth.UNAVAILABLE)

    def test_a_failed_watch_is_asked_for_again_within_the_stated_time(self):
        scheduler, effects = make_scheduler()
        for _ in range(9):
            scheduler.on_endpoints(0, EndpointUpdateKind.FAILED, [])
            self.assertTrue(0 < effects.calls_of("set_timer")[-1][0] <= 50_000)
            scheduler.on_timer(1, TimerToken.RENEW_WATCH)
        self.assertEqual(len(effects.calls_of("watch_endpoints")), 10)

    def test_one_key_runs_in_order_and_rests_after_an_indeterminate_outcome(self):
        scheduler, _ = make_scheduler({"is_ordered": True})
        at = storage_node(scheduler)
        one, two = (
            queued_request(scheduler, 1, key=5),
            queued_request(scheduler, 2, key=5),
        )
        self.assertEqual(
            [
                scheduler.ordering.wait_time(one, 0),
                scheduler.ordering.wait_time(two, 0) > 0,
            ],
            [0, True],
        )
        scheduler.gate.send(one, at, 0)
        scheduler.on_client_cancelled(10, 1)
        self.assertGreater(scheduler.ordering.wait_time(two, 10), 0)
        scheduler.on_attempt_result(20, attempt_result(1, AttemptOutcome.TIMED_OUT))
        self.assertEqual(scheduler.ordering.wait_time(two, 20), 3000)


if __name__ == "__main__":
    unittest.main()
