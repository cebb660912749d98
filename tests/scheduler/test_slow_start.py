"""Slow start: each test builds the state that it needs and calls one function."""

import unittest

from milletsill.interface import (
    AttemptOutcome,
    EndpointUpdateKind,
    GrantedShare,
    QuotaKind,
)
from tests.support.scheduler_builders import (
    attempt_result,
    endpoint,
    make_scheduler,
    queued_request,
    storage_node,
)


class SlowStartBudget(unittest.TestCase):
    """How much a warming-up node is sent."""

    def test_a_warming_up_node_gets_this_gateways_growing_share(self):
        # All gateways together may send twenty units in a window, by the node's age one
        # window ago; this gateway's share is half of that.
        for now, units, allowed in (
            (0, 10.0, True),
            (0, 11.0, False),
            (50_000, 21.0, True),
            (50_000, 22.0, False),
            (100_001, 99.0, True),
        ):
            scheduler, _ = make_scheduler()
            queued = queued_request(scheduler, 1, units=units)
            self.assertEqual(
                scheduler.slow_start.wait_time(
                    queued, storage_node(scheduler, started_at=1), now
                )
                == 0,
                allowed,
                (now, units),
            )

    def test_a_share_below_a_mean_request_is_replaced_by_draws(self):
        # All gateways together may send ten requests of mean work in a window. This
        # gateway's draws get a hundredth of 0.25 of that per window since its last
        # request for the shard.
        for gap, units, age, probability in (
            (10_002, 2.0, 0, 0.025),
            (5_001, 2.0, 0, 0.0125),
            (5_001, 1.0, 0, 0.0125),
            (0, 2.0, 0, 0.0),
            (10_002, 4.0, 0, 0.025 / 7.3298),
            (10_002, 2.0, 60_002, 0.025 * 2.5),
        ):
            self.check_probability(probability, gap, units, age)

    def test_a_small_slow_start_budget_lowers_the_probability(self):
        # The budget is one request of mean work, so the overload threshold is 5, and
        # draws may use 5 / e^(1 + 12 / 5) requests in a window.
        self.check_probability(0.0016687, 10_002, 2.0, 0, slow_start_units=2.0)
        self.check_probability(0.0016687 / 29.964, 10_002, 4.0, 0, slow_start_units=2.0)

    def check_probability(self, probability, gap, units, age, **overrides):
        for draw, allowed in (
            (probability * 0.999, probability > 0),
            (probability * 1.001, False),
        ):
            scheduler, _ = make_scheduler(gateway_count=100, **overrides)
            queued, node = (
                queued_request(scheduler, 1, units=units),
                storage_node(scheduler, started_at=1),
            )
            queued.arrival_gap, queued.admission_draw = gap, draw
            self.assertEqual(
                scheduler.slow_start.wait_time(queued, node, 1 + age) == 0,
                allowed,
                (gap, units, age, draw),
            )

    def test_a_small_request_is_not_admitted_by_a_share_below_the_mean(self):
        """One mean request per gateway would add up to more than the node can serve."""
        scheduler, _ = make_scheduler(
            gateway_count=13, slow_start_multiple=100.0
        )  # its share is 1.5 units, a mean request has 2
        small = queued_request(scheduler, 1, units=1.0)
        small.arrival_gap, small.admission_draw = 0, 0.0
        self.assertGreater(
            scheduler.slow_start.wait_time(
                small, storage_node(scheduler, started_at=1), 1
            ),
            0,
        )
        scheduler.on_quota_share(
            0, QuotaKind.SLOW_START, 7, GrantedShare(1 / 13, 1 << 40, 1 / 13)
        )
        self.assertGreater(
            scheduler.slow_start.wait_time(small, scheduler.state.nodes[7], 1), 0
        )

    def test_gaps_are_per_shard_and_queued_or_sent_requests_are_not_drawn(self):
        scheduler, _ = make_scheduler(gateway_count=100)
        gaps = [
            (now, queued_request(scheduler, now, now=now, shard=shard).arrival_gap)
            for now, shard in ((700, 0), (900, 1), (1000, 0), (1300, None))
        ]
        self.assertEqual(gaps, [(700, 700), (900, 900), (1000, 300), (1300, 1300)])
        scheduler.on_endpoints(
            1400, EndpointUpdateKind.DELTA, [endpoint(7, started_at=1400)]
        )
        self.assertEqual(
            [each.arrival_gap for each in scheduler.state.requests.values()],
            [0, 900, 0, 0],
        )
        queued, node = (
            queued_request(scheduler, 5, now=30_000),
            scheduler.state.nodes[7],
        )
        queued.admission_draw = 0.0
        self.assertEqual(scheduler.slow_start.wait_time(queued, node, 30_000), 0)
        scheduler.gate.send(queued, node, 30_000)
        self.assertGreater(scheduler.slow_start.wait_time(queued, node, 30_000), 0)

    def test_idle_shards_are_evicted(self):
        scheduler, _ = make_scheduler(gateway_count=100)
        for number in range(200):
            queued_request(scheduler, number, now=number * 100_000, shard=number)
        self.assertLess(len(scheduler.slow_start.last_arrivals), 6)

    def test_a_start_time_slightly_in_the_future_counts_as_warming_up(self):
        for slow_start_duration in (0, 100_000):
            scheduler, _ = make_scheduler(
                gateway_count=100,
                gateway_index=50,
                slow_start_duration=slow_start_duration,
            )
            self.assertGreater(
                scheduler.slow_start.wait_time(
                    queued_request(scheduler, 1),
                    storage_node(scheduler, started_at=3),
                    1,
                ),
                0,
            )

    def test_answered_requests_count_until_the_end_of_the_window(self):
        scheduler, _ = make_scheduler()  # this gateway's share is ten units
        node, queued = (
            storage_node(scheduler, started_at=1),
            queued_request(scheduler, 1, units=6.0),
        )
        scheduler.gate.send(queued, node, 1)
        self.assertGreater(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 2, units=5.0), node, 500
            ),
            0,
        )
        scheduler.results.learn_from_success(
            node.in_flight[0], attempt_result(1, AttemptOutcome.SUCCEEDED), 600
        )
        self.assertGreater(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 3, units=5.0), node, 600
            ),
            0,
        )
        self.assertGreater(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 4, units=5.0), node, 10_002
            ),
            0,
        )
        self.assertEqual(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 5, units=5.0), node, 10_003
            ),
            0,
        )

    def test_small_requests_are_charged_as_mean_ones(self):
        """A small request loads the node as much as a mean one, also once answered."""
        scheduler, _ = (
            make_scheduler()
        )  # this gateway's share is ten units, a mean request has two
        node = storage_node(scheduler, started_at=1)
        for number in range(1, 40):
            queued = queued_request(scheduler, number, units=1.0)
            if scheduler.slow_start.wait_time(queued, node, 10 * number):
                break
            scheduler.gate.send(queued, node, 10 * number)
            scheduler.results.learn_from_success(
                node.in_flight[-1],
                attempt_result(number, AttemptOutcome.SUCCEEDED),
                10 * number + 5,
            )
        self.assertEqual(number, 6)

    def test_an_answer_returns_no_budget_for_followers_or_others(self):
        for key in (5, 6):
            scheduler, _ = make_scheduler()
            node = storage_node(scheduler, started_at=1)
            for number, request_key in ((1, 5), (2, key)):
                scheduler.gate.send(
                    queued_request(scheduler, number, key=request_key), node, 10
                )
                scheduler.results.learn_from_success(
                    node.in_flight[-1],
                    attempt_result(number, AttemptOutcome.SUCCEEDED),
                    20,
                )
            self.assertEqual(list(node.recent_sends), [(10, 2.0), (10, 2.0)])

    def test_a_restarted_gateway_assumes_that_its_share_is_spent(self):
        scheduler, _ = make_scheduler()
        scheduler.on_endpoints(
            1000, EndpointUpdateKind.CACHED, [endpoint(7, started_at=900)]
        )
        self.assertGreater(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 1), scheduler.state.nodes[7], 1000
            ),
            0,
        )

    def test_a_granted_share_of_a_slow_start_budget_is_used(self):
        scheduler, _ = make_scheduler(gateway_count=100, gateway_index=50)
        node, queued = (
            storage_node(scheduler, started_at=1),
            queued_request(scheduler, 1),
        )
        self.assertGreater(scheduler.slow_start.wait_time(queued, node, 2), 0)
        scheduler.on_quota_share(
            0, QuotaKind.SLOW_START, 7, GrantedShare(0.5, 1 << 40, 0.01)
        )
        self.assertEqual(scheduler.slow_start.wait_time(queued, node, 2), 0)


if __name__ == "__main__":
    unittest.main()
