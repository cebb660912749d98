"""What a gateway that runs for months must not keep: each test builds its state and calls one function."""

import gc
import unittest

from milletsill.interface import EndpointUpdateKind, AttemptOutcome, Readiness
from tests.support.scheduler_builders import (
    answer,
    arrival,
    line,
    node,
    scheduler,
    transfer,
)

LONG = 10_000_000


class Bounds(unittest.TestCase):
    """Records that are no longer needed are given back, and no rule is weaker for it."""

    def test_no_count_is_kept_where_no_budget_is_stated(self):
        of, _ = scheduler()
        transfer(of, 1)
        self.assertEqual(len(of.taken_at), 0)

    def test_counts_of_a_budget_lapse_with_its_window(self):
        of, _ = scheduler(further_window=1000, further_free=1)
        of.on_request(0, arrival(1))
        of.on_request(5000, arrival(2))
        self.assertEqual(list(of.taken_at), [5000])

    def test_an_idle_volume_is_forgotten(self):
        of, _ = scheduler()
        of.on_client_cancelled(1, transfer(of, 1, volume=1).id)
        of.on_request(LONG, arrival(2, volume=2, ends=LONG + 15_000))
        self.assertEqual(list(of.volumes), [2])

    def test_a_volume_with_something_out_is_kept(self):
        of, _ = scheduler()
        transfer(of, 1, volume=1).volume.out = 1
        of.on_request(LONG, arrival(2, volume=2, ends=LONG + 15_000))
        self.assertEqual(sorted(of.volumes), [1, 2])

    def test_a_limit_store_that_is_not_full_is_kept(self):
        of, _ = scheduler(plan={"limit_rate": 0.001, "limit_store": 100.0})
        transfer(of, 1, volume=1).volume.limit.level = 0.0
        of.on_request(LONG, arrival(2, volume=2, ends=LONG + 15_000))
        self.assertIn(1, of.volumes)

    def test_a_forgotten_limit_never_comes_back_fuller(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 100.0})
        old = transfer(of, 1, volume=1).volume
        of.on_request(LONG, arrival(2, volume=2, ends=LONG + 15_000))
        new = transfer(of, 3, now=LONG, volume=1, ends=LONG + 15_000).volume
        self.assertLessEqual(
            new.limit.fill(LONG, 10.0, 100.0), old.limit.fill(LONG, 10.0, 100.0)
        )

    def test_a_node_gone_for_long_is_forgotten_and_new_when_it_returns(self):
        of, _ = scheduler()
        of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7)])
        of.on_endpoints(1, EndpointUpdateKind.SNAPSHOT, [])
        of.on_endpoints(LONG, EndpointUpdateKind.SNAPSHOT, [])
        self.assertEqual(of.nodes, {})
        of.on_endpoints(LONG + 1, EndpointUpdateKind.SNAPSHOT, [line(7, since=LONG)])
        self.assertEqual(of.nodes[7].health.name, "RETURNED")

    def test_a_gone_node_that_owes_an_answer_is_kept(self):
        of, _ = scheduler()
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        of.on_endpoints(
            1, EndpointUpdateKind.DELTA, [line(7, readiness=Readiness.GONE)]
        )
        of.on_endpoints(LONG, EndpointUpdateKind.DELTA, [])
        self.assertIn(7, of.nodes)

    def test_a_wake_does_not_hold_a_transfer_that_is_over(self):
        of, port = scheduler()
        of.on_client_cancelled(1, transfer(of, 1).id)
        of.dispatch_pending(2)
        of.volumes.clear()
        gc.collect()
        self.assertIsNone(port.of("set_timer")[-1][1]())

    def test_what_is_over_with_nothing_out_is_freed_without_a_collector(self):
        of, port = scheduler()
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        watched = port.of("set_timer")[0][1]
        of.on_attempt_result(10, answer(1, AttemptOutcome.SUCCEEDED, over=True))
        at.follow = one = None
        of.unplaced.clear()
        gc.disable()
        self.addCleanup(gc.enable)
        self.assertIsNone(watched())

    def test_a_key_whose_line_is_empty_is_forgotten_after_its_rest(self):
        of, _ = scheduler({"in_order": True})
        at, one = node(of), transfer(of, 1, extent=9)
        of.dispatch(one, at, 0)
        of.on_attempt_result(100, answer(1, AttemptOutcome.RESET, over=True))
        of.on_request(200, arrival(2, volume=2))
        self.assertIn(9, of.keys)
        of.on_request(9000, arrival(3, volume=2))
        self.assertEqual(of.keys, {})


if __name__ == "__main__":
    unittest.main()
