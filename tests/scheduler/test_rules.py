"""Final answers, idempotency, endpoint lists, key order and retry budgets.

Each test builds the state that it needs and calls one function.
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


class SendGateRules(unittest.TestCase):
    """The send gate and the final answers."""

    def test_nothing_is_sent_after_the_clients_deadline(self):
        scheduler, _ = make_scheduler()
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        self.assertEqual(scheduler.gate.wait_time(queued, node, queued.deadline), NEVER)

    def test_a_queued_request_is_rejected_before_its_client_leaves(self):
        scheduler, effects = make_scheduler()
        queued = queued_request(scheduler, 1)
        scheduler.on_timer(queued.deadline - 40, queued)
        self.assertEqual(effects.calls_of("reject"), [(1, 5000)])

    def test_an_unsent_request_is_given_up_at_half_of_its_clients_time(self):
        for sent, expected in ((False, [(1, 5000)]), (True, [])):
            scheduler, effects = make_scheduler()
            queued = queued_request(scheduler, 1)
            if sent:
                scheduler.gate.send(queued, storage_node(scheduler), 0)
                scheduler.on_attempt_result(
                    100, attempt_result(1, AttemptOutcome.REJECTED)
                )
            scheduler.on_timer(queued.deadline // 2, queued)
            self.assertEqual(effects.calls_of("reject"), expected)

    def test_a_shed_request_is_rejected_at_once_with_a_retry_delay(self):
        scheduler, effects = make_scheduler()
        node = storage_node(scheduler)
        # The node backs off until after the request's target and is congested, so no
        # request can be in time there.
        node.backoff_until = 4000
        node.failures = 1
        scheduler.on_request(0, request(1))
        scheduler.dispatch_pending(0)
        self.assertEqual(
            (effects.calls_of("reject"), scheduler.state.requests), ([(1, 5000)], {})
        )

    def test_a_request_that_may_not_be_retried_is_answered_at_once(self):
        scheduler, effects = make_scheduler(max_attempts=1)
        queued = queued_request(scheduler, 1)
        scheduler.gate.send(queued, storage_node(scheduler), 0)
        scheduler.on_attempt_result(100, attempt_result(1, AttemptOutcome.ERROR))
        self.assertEqual(
            (effects.calls_of("reject"), scheduler.state.requests), ([(1, 5000)], {})
        )

    def test_a_timeout_at_the_clients_deadline_is_answered_at_once(self):
        scheduler, effects = make_scheduler(
            {
                "retry_safety": RetrySafety.IDEMPOTENCY_KEYED,
                "retry_scope": RetryScope.SHARD,
            }
        )
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        scheduler.on_attempt_result(
            queued.deadline, attempt_result(1, AttemptOutcome.TIMED_OUT)
        )
        self.assertEqual(effects.calls_of("fail"), [(1,)])

    def test_a_late_result_of_a_finished_request_changes_nothing(self):
        scheduler, effects = make_scheduler()
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        scheduler.on_client_cancelled(10, 1)
        scheduler.on_attempt_result(
            20, attempt_result(1, AttemptOutcome.SUCCEEDED, finished=True)
        )
        self.assertEqual(
            [effects.calls_of("reject"), effects.calls_of("fail"), node.in_flight],
            [[], [], []],
        )

    def test_a_non_idempotent_request_that_may_have_run_is_failed_not_rejected(self):
        scheduler, effects = make_scheduler(
            {"retry_safety": RetrySafety.NON_IDEMPOTENT}
        )
        queued = queued_request(scheduler, 1)
        scheduler.gate.send(queued, storage_node(scheduler), 0)
        scheduler.on_attempt_result(100, attempt_result(1, AttemptOutcome.RESET))
        self.assertEqual(
            [effects.calls_of("fail"), effects.calls_of("reject")], [[(1,)], []]
        )

    def test_a_non_idempotent_request_that_never_ran_may_be_retried(self):
        scheduler, _ = make_scheduler({"retry_safety": RetrySafety.NON_IDEMPOTENT})
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        scheduler.on_attempt_result(100, attempt_result(1, AttemptOutcome.REJECTED))
        self.assertEqual(
            (queued.state, scheduler.retry_policy.wait_time(queued, node, 100)),
            (RequestState.QUEUED, 0),
        )

    def test_an_idempotency_keyed_retry_keeps_to_its_scope_and_window(self):
        for scope, shard, zone, now, allowed in (
            (RetryScope.SHARD, 0, 1, 5, True),
            (RetryScope.SHARD, 1, 0, 5, False),
            (RetryScope.ZONE, 1, 0, 5, True),
            (RetryScope.ZONE, 0, 1, 5, False),
            (RetryScope.ALL, 1, 1, 5, True),
            (RetryScope.ALL, 0, 0, 20_000, False),
        ):
            scheduler, _ = make_scheduler(
                {"retry_safety": RetrySafety.IDEMPOTENCY_KEYED, "retry_scope": scope}
            )
            queued, other = (
                queued_request(scheduler, 1, deadline=90_000),
                storage_node(scheduler, 8, shard=shard, zone=zone),
            )
            scheduler.gate.send(queued, storage_node(scheduler), 0)
            queued.attempts[0].outcome = AttemptOutcome.TIMED_OUT
            self.assertEqual(
                scheduler.retry_policy.wait_time(queued, other, now) == 0,
                allowed,
                (scope, shard, zone, now),
            )

    def test_a_keyed_retry_that_waits_for_its_connection_starts_in_the_window(self):
        for now, allowed in ((17_499, True), (17_500, False), (19_999, False)):
            scheduler, _ = make_scheduler(
                {
                    "retry_safety": RetrySafety.IDEMPOTENCY_KEYED,
                    "retry_scope": RetryScope.ALL,
                    "retry_window": 20_000,
                },
                dial_timeout=2500,
            )
            queued = queued_request(scheduler, 1, deadline=90_000)
            scheduler.gate.send(queued, storage_node(scheduler), 0)
            queued.attempts[0].outcome = AttemptOutcome.TIMED_OUT
            self.assertEqual(
                scheduler.retry_policy.wait_time(
                    queued, storage_node(scheduler, 8), now
                )
                == 0,
                allowed,
                now,
            )

    def test_no_second_attempt_in_flight_where_hedging_is_not_allowed(self):
        scheduler, _ = make_scheduler(may_hedge=False)
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        self.assertEqual(scheduler.retry_policy.wait_time(queued, node, 5), NEVER)

    def test_a_retry_needs_retry_credit_at_the_node(self):
        scheduler, _ = make_scheduler()
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        node.retry_credit = 0
        self.assertEqual(scheduler.retry_policy.wait_time(queued, node, 5), NEVER)

    def test_the_retry_budget_applies_even_to_the_first_retry(self):
        scheduler, _ = make_scheduler(
            retry_budget_window=50_000, retry_budget_ratio=0.15
        )
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        self.assertGreater(scheduler.retry_policy.wait_time(queued, node, 5), 0)
        scheduler.retry_budget.request_times.extend([5] * 6)
        self.assertEqual(scheduler.retry_policy.wait_time(queued, node, 5), 0)

    def test_requests_at_a_draining_or_gone_node_are_placed_again(self):
        for readiness in (Readiness.DRAINING, Readiness.GONE):
            scheduler, _ = make_scheduler()
            node, queued = storage_node(scheduler), queued_request(scheduler, 1)
            scheduler.placement.enqueue(queued, node, 0)
            scheduler.on_endpoints(
                5, EndpointUpdateKind.DELTA, [endpoint(7, readiness=readiness)]
            )
            self.assertEqual(
                (
                    scheduler.gate.wait_time(queued, node, 5),
                    scheduler.state.unplaced[-1],
                    node.by_key,
                ),
                (NEVER, queued, []),
            )

    def test_a_node_missing_from_a_snapshot_is_unavailable(self):
        scheduler, _ = make_scheduler()
        node = storage_node(scheduler)
        scheduler.on_endpoints(5, EndpointUpdateKind.SNAPSHOT, [endpoint(8)])
        self.assertIs(node.health, NodeHealth.UNAVAILABLE)

    def test_a_failed_watch_is_renewed_within_the_configured_time(self):
        scheduler, effects = make_scheduler()
        for _ in range(9):
            scheduler.on_endpoints(0, EndpointUpdateKind.FAILED, [])
            self.assertTrue(0 < effects.calls_of("set_timer")[-1][0] <= 50_000)
            scheduler.on_timer(1, TimerToken.RENEW_WATCH)
        self.assertEqual(len(effects.calls_of("watch_endpoints")), 10)

    def test_a_key_runs_in_order_and_is_quarantined_if_indeterminate(self):
        scheduler, _ = make_scheduler({"is_ordered": True})
        node = storage_node(scheduler)
        first, second = (
            queued_request(scheduler, 1, key=5),
            queued_request(scheduler, 2, key=5),
        )
        self.assertEqual(
            [
                scheduler.ordering.wait_time(first, 0),
                scheduler.ordering.wait_time(second, 0) > 0,
            ],
            [0, True],
        )
        scheduler.gate.send(first, node, 0)
        scheduler.on_client_cancelled(10, 1)
        self.assertGreater(scheduler.ordering.wait_time(second, 10), 0)
        scheduler.on_attempt_result(20, attempt_result(1, AttemptOutcome.TIMED_OUT))
        self.assertEqual(scheduler.ordering.wait_time(second, 20), 3000)


if __name__ == "__main__":
    unittest.main()
