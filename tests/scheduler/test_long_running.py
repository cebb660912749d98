"""Records that a gateway which runs for months has to evict.

Each test builds its state and calls one function.
"""

import gc
import unittest

from milletsill.interface import AttemptOutcome, EndpointUpdateKind, Readiness
from milletsill.scheduler.constants import MAX_KEPT_VOLUMES, OPEN_CLIENT_TIMEOUTS
from tests.support.scheduler_builders import (
    attempt_result,
    endpoint,
    make_scheduler,
    queued_request,
    request,
    storage_node,
)

LONG = 10_000_000


class Eviction(unittest.TestCase):
    """Records that are no longer needed are evicted, and no rule is weakened by it."""

    def test_no_request_times_are_kept_without_a_retry_budget(self):
        scheduler, _ = make_scheduler()
        queued_request(scheduler, 1)
        self.assertEqual(len(scheduler.retry_budget.request_times), 0)

    def test_request_times_older_than_the_budget_window_are_dropped(self):
        scheduler, _ = make_scheduler(retry_budget_window=1000, retry_budget_free=1)
        scheduler.on_request(0, request(1))
        scheduler.on_request(5000, request(2))
        self.assertEqual(list(scheduler.retry_budget.request_times), [5000])

    def test_an_idle_volume_is_evicted(self):
        scheduler, _ = make_scheduler()
        scheduler.on_client_cancelled(1, queued_request(scheduler, 1, volume=1).id)
        scheduler.on_request(LONG, request(2, volume=2, deadline=LONG + 15_000))
        self.assertEqual(list(scheduler.volumes.by_id), [2])

    def test_a_volume_with_surplus_in_flight_is_kept(self):
        scheduler, _ = make_scheduler()
        queued_request(scheduler, 1, volume=1).volume.surplus_in_flight = 1
        scheduler.on_request(LONG, request(2, volume=2, deadline=LONG + 15_000))
        self.assertEqual(sorted(scheduler.volumes.by_id), [1, 2])

    def test_a_volume_whose_limit_bucket_is_not_full_is_kept(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 0.001, "limit_burst": 100.0})
        queued_request(scheduler, 1, volume=1).volume.limit.level = 0.0
        scheduler.on_request(LONG, request(2, volume=2, deadline=LONG + 15_000))
        self.assertIn(1, scheduler.volumes.by_id)

    # Guards against memory that grows without end under ever new volumes.
    def test_many_volumes_are_evicted_once_they_have_no_open_request(self):
        scheduler, _ = make_scheduler()
        timeout = OPEN_CLIENT_TIMEOUTS * scheduler.state.longest_client_timeout
        gap = timeout // MAX_KEPT_VOLUMES + 1
        for number in range(1, 3 * MAX_KEPT_VOLUMES):
            now = number * gap
            one = request(number, volume=number, deadline=now + 1000)
            scheduler.on_request(now, one)
            scheduler.on_client_cancelled(now + 1, number)
        self.assertLessEqual(len(scheduler.volumes.by_id), MAX_KEPT_VOLUMES + 2)

    def test_of_many_volumes_those_with_an_open_request_or_spent_limit_are_kept(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 0.001, "limit_burst": 100.0})
        for number in range(1, MAX_KEPT_VOLUMES + 10):
            queued_request(scheduler, number, volume=number)
        now = scheduler.state.longest_client_timeout
        spent = scheduler.volumes.by_id[1]
        scheduler.evict_idle(now)
        self.assertEqual(len(scheduler.volumes.by_id), MAX_KEPT_VOLUMES + 9)
        spent.limit.level = 0.0
        scheduler.evict_idle(OPEN_CLIENT_TIMEOUTS * now + 1)
        self.assertIn(spent.id, scheduler.volumes.by_id)

    def test_an_evicted_volume_does_not_return_with_a_fuller_limit(self):
        scheduler, _ = make_scheduler(plan={"limit_rate": 10.0, "limit_burst": 100.0})
        old = queued_request(scheduler, 1, volume=1).volume
        scheduler.on_request(LONG, request(2, volume=2, deadline=LONG + 15_000))
        new = queued_request(
            scheduler, 3, now=LONG, volume=1, deadline=LONG + 15_000
        ).volume
        self.assertLessEqual(
            new.limit.fill(LONG, 10.0, 100.0), old.limit.fill(LONG, 10.0, 100.0)
        )

    def test_a_node_gone_for_long_is_evicted_and_new_when_it_returns(self):
        scheduler, _ = make_scheduler()
        scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [endpoint(7)])
        scheduler.on_endpoints(1, EndpointUpdateKind.SNAPSHOT, [])
        scheduler.on_endpoints(LONG, EndpointUpdateKind.SNAPSHOT, [])
        self.assertEqual(scheduler.state.nodes, {})
        scheduler.on_endpoints(
            LONG + 1, EndpointUpdateKind.SNAPSHOT, [endpoint(7, started_at=LONG)]
        )
        self.assertEqual(scheduler.state.nodes[7].health.name, "RECOVERING")

    def test_a_gone_node_with_an_attempt_in_flight_is_kept(self):
        scheduler, _ = make_scheduler()
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        scheduler.on_endpoints(
            1, EndpointUpdateKind.DELTA, [endpoint(7, readiness=Readiness.GONE)]
        )
        scheduler.on_endpoints(LONG, EndpointUpdateKind.DELTA, [])
        self.assertIn(7, scheduler.state.nodes)

    def test_a_timer_does_not_keep_a_finished_request_alive(self):
        scheduler, effects = make_scheduler()
        scheduler.on_client_cancelled(1, queued_request(scheduler, 1).id)
        scheduler.dispatch_pending(2)
        scheduler.volumes.by_id.clear()
        gc.collect()
        self.assertIsNone(effects.calls_of("set_timer")[-1][1]())

    def test_a_finished_request_is_freed_without_the_garbage_collector(self):
        scheduler, effects = make_scheduler()
        node, queued = storage_node(scheduler), queued_request(scheduler, 1)
        scheduler.gate.send(queued, node, 0)
        request_reference = effects.calls_of("set_timer")[0][1]
        scheduler.on_attempt_result(
            10, attempt_result(1, AttemptOutcome.SUCCEEDED, finished=True)
        )
        node.last_served = queued = None
        scheduler.state.unplaced.clear()
        gc.disable()
        self.addCleanup(gc.enable)
        self.assertIsNone(request_reference())

    def test_a_key_with_an_empty_queue_is_evicted_after_its_quarantine(self):
        scheduler, _ = make_scheduler({"is_ordered": True})
        node, queued = storage_node(scheduler), queued_request(scheduler, 1, key=9)
        scheduler.gate.send(queued, node, 0)
        scheduler.on_attempt_result(
            100, attempt_result(1, AttemptOutcome.RESET, finished=True)
        )
        scheduler.on_request(200, request(2, volume=2))
        self.assertIn(9, scheduler.ordering.queues)
        scheduler.on_request(9000, request(3, volume=2))
        self.assertEqual(scheduler.ordering.queues, {})


if __name__ == "__main__":
    unittest.main()
