"""Rule 4: each test builds the state it needs and calls one function."""

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
    """What a node that warms up is sent."""

    def test_a_cold_node_gets_this_gateways_part_and_more_as_it_warms(self):
        # All together bear twenty units in a window, by its age a window ago; half of
        # that is this gateway's.
        for now, units, lawful in (
            (0, 10.0, True),
            (0, 11.0, False),
            (50_000, 21.0, True),
            (50_000, 22.0, False),
            (100_001, 99.0, True),
        ):
            scheduler, _ = make_scheduler()
            one = queued_request(scheduler, 1, units=units)
            self.assertEqual(
                scheduler.slow_start.wait_time(
                    one, storage_node(scheduler, started_at=1), now
                )
                == 0,
                lawful,
                (now, units),
            )

    def test_where_a_cold_part_is_below_a_usual_request_each_is_drawn_for_once(self):
        # All together bear ten of mean work in a window: a hundredth of 0.25 of that
        # for each window since the shard's last.
        for gap, units, age, odds in (
            (10_002, 2.0, 0, 0.025),
            (5_001, 2.0, 0, 0.0125),
            (5_001, 1.0, 0, 0.0125),
            (0, 2.0, 0, 0.0),
            (10_002, 4.0, 0, 0.025 / 7.3298),
            (10_002, 2.0, 60_002, 0.025 * 2.5),
        ):
            self.check_odds(odds, gap, units, age)

    def test_a_small_cold_budget_is_drawn_for_with_lower_odds(self):
        # One of mean work: its line is 5, and 5 over e to the 1 + 12 / 5 may be drawn
        # in a window.
        self.check_odds(0.0016687, 10_002, 2.0, 0, slow_start_units=2.0)
        self.check_odds(0.0016687 / 29.964, 10_002, 4.0, 0, slow_start_units=2.0)

    def check_odds(self, odds, gap, units, age, **overrides):
        for lot, lawful in ((odds * 0.999, odds > 0), (odds * 1.001, False)):
            scheduler, _ = make_scheduler(gateway_count=100, **overrides)
            one, at = (
                queued_request(scheduler, 1, units=units),
                storage_node(scheduler, started_at=1),
            )
            one.arrival_gap, one.admission_draw = gap, lot
            self.assertEqual(
                scheduler.slow_start.wait_time(one, at, 1 + age) == 0,
                lawful,
                (gap, units, age, lot),
            )

    def test_a_small_request_does_not_pass_a_part_below_a_usual_one(self):
        """Each gateway's would be one of mean work, and all together more than the node bears."""
        scheduler, _ = make_scheduler(
            gateway_count=13, slow_start_multiple=100.0
        )  # its part is one and a half units, a usual request two
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

    def test_the_gap_is_the_shards_and_what_was_queued_or_left_once_is_not_drawn_for(
        self,
    ):
        scheduler, _ = make_scheduler(gateway_count=100)
        gaps = [
            (at, queued_request(scheduler, at, now=at, shard=shard).arrival_gap)
            for at, shard in ((700, 0), (900, 1), (1000, 0), (1300, None))
        ]
        self.assertEqual(gaps, [(700, 700), (900, 900), (1000, 300), (1300, 1300)])
        scheduler.on_endpoints(
            1400, EndpointUpdateKind.DELTA, [endpoint(7, started_at=1400)]
        )
        self.assertEqual(
            [each.arrival_gap for each in scheduler.state.requests.values()],
            [0, 900, 0, 0],
        )
        one, at = queued_request(scheduler, 5, now=30_000), scheduler.state.nodes[7]
        one.admission_draw = 0.0
        self.assertEqual(scheduler.slow_start.wait_time(one, at, 30_000), 0)
        scheduler.gate.send(one, at, 30_000)
        self.assertGreater(scheduler.slow_start.wait_time(one, at, 30_000), 0)

    def test_shards_not_asked_for_in_a_while_are_forgotten(self):
        scheduler, _ = make_scheduler(gateway_count=100)
        for number in range(200):
            queued_request(scheduler, number, now=number * 100_000, shard=number)
        self.assertLess(len(scheduler.slow_start.last_arrivals), 6)

    def test_a_node_that_starts_a_moment_from_now_is_cold_too(self):
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

    def test_what_a_cold_node_answered_counts_until_its_window_is_over(self):
        scheduler, _ = make_scheduler()  # this gateway's part is ten units
        at, one = (
            storage_node(scheduler, started_at=1),
            queued_request(scheduler, 1, units=6.0),
        )
        scheduler.gate.send(one, at, 1)
        self.assertGreater(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 2, units=5.0), at, 500
            ),
            0,
        )
        scheduler.results.learn_from_success(
            at.in_flight[0], attempt_result(1, AttemptOutcome.SUCCEEDED), 600
        )
        self.assertGreater(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 3, units=5.0), at, 600
            ),
            0,
        )
        self.assertGreater(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 4, units=5.0), at, 10_002
            ),
            0,
        )
        self.assertEqual(
            scheduler.slow_start.wait_time(
                queued_request(scheduler, 5, units=5.0), at, 10_003
            ),
            0,
        )

    def test_small_requests_to_a_cold_node_weigh_as_usual_ones(self):
        """Each is as much of a load there, also when it is answered."""
        scheduler, _ = (
            make_scheduler()
        )  # this gateway's part is ten units, a usual request two
        at = storage_node(scheduler, started_at=1)
        for number in range(1, 40):
            one = queued_request(scheduler, number, units=1.0)
            if scheduler.slow_start.wait_time(one, at, 10 * number):
                break
            scheduler.gate.send(one, at, 10 * number)
            scheduler.results.learn_from_success(
                at.in_flight[-1],
                attempt_result(number, AttemptOutcome.SUCCEEDED),
                10 * number + 5,
            )
        self.assertEqual(number, 6)

    def test_no_request_that_a_cold_node_answered_gives_back_follower_or_not(self):
        for key in (5, 6):
            scheduler, _ = make_scheduler()
            at = storage_node(scheduler, started_at=1)
            for number, named in ((1, 5), (2, key)):
                scheduler.gate.send(
                    queued_request(scheduler, number, key=named), at, 10
                )
                scheduler.results.learn_from_success(
                    at.in_flight[-1],
                    attempt_result(number, AttemptOutcome.SUCCEEDED),
                    20,
                )
            self.assertEqual(list(at.recent_sends), [(10, 2.0), (10, 2.0)])

    def test_a_restarted_gateway_takes_a_cold_nodes_part_for_spent(self):
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

    def test_a_told_part_of_a_cold_budget(self):
        scheduler, _ = make_scheduler(gateway_count=100, gateway_index=50)
        cold, one = storage_node(scheduler, started_at=1), queued_request(scheduler, 1)
        self.assertGreater(scheduler.slow_start.wait_time(one, cold, 2), 0)
        scheduler.on_quota_share(
            0, QuotaKind.SLOW_START, 7, GrantedShare(0.5, 1 << 40, 0.01)
        )
        self.assertEqual(scheduler.slow_start.wait_time(one, cold, 2), 0)


if __name__ == "__main__":
    unittest.main()
