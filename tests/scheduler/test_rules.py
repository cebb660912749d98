"""The seven rules, and their parts: each test builds the state it needs and calls one function."""

import unittest

from milletsill.interface import EndpointUpdateKind, AttemptOutcome, Readiness
from milletsill.scheduler.records import Store
from milletsill.scheduler.tables import NEVER, Health, Phase
from tests.support.scheduler_builders import (
    answer,
    arrival,
    line,
    node,
    scheduler,
    transfer,
)


class Rules(unittest.TestCase):
    """The gate and the final answers."""

    def test_nothing_is_sent_after_the_clients_time(self):
        of, _ = scheduler()
        at, one = node(of), transfer(of, 1)
        self.assertEqual(of.wait_for(one, at, one.ends), NEVER)

    def test_a_held_transfer_is_declined_before_its_client_leaves(self):
        of, port = scheduler()
        one = transfer(of, 1)
        of.on_timer(one.ends - 40, one)
        self.assertEqual(port.of("reject"), [(1, 5000)])

    def test_what_was_never_dispatched_is_given_up_at_half_of_its_clients_time(self):
        for dispatched, told in ((False, [(1, 5000)]), (True, [])):
            of, port = scheduler()
            one = transfer(of, 1)
            if dispatched:
                of.dispatch(one, node(of), 0)
                of.on_attempt_result(100, answer(1, AttemptOutcome.REJECTED))
            of.on_timer(one.ends // 2, one)
            self.assertEqual(port.of("reject"), told)

    def test_what_is_given_up_is_answered_in_the_same_settle_with_a_time_to_come_back(
        self,
    ):
        of, port = scheduler()
        at = node(of)
        at.rest_until = 4000  # behind its target, and the node is crowded: nothing can be in time there
        at.lapses = 1
        of.on_request(0, arrival(1))
        of.dispatch_pending(0)
        self.assertEqual((port.of("reject"), of.transfers), ([(1, 5000)], {}))

    def test_what_may_not_go_again_is_answered_with_the_word_of_its_last_dispatch(self):
        of, port = scheduler(most_dispatches=1)
        one = transfer(of, 1)
        of.dispatch(one, node(of), 0)
        of.on_attempt_result(100, answer(1, AttemptOutcome.ERROR))
        self.assertEqual((port.of("reject"), of.transfers), ([(1, 5000)], {}))

    def test_a_timeout_at_the_clients_time_is_answered_at_once(self):
        of, port = scheduler({"repeats": "ticketed", "group": "cell"})
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        of.on_attempt_result(one.ends, answer(1, AttemptOutcome.TIMED_OUT))
        self.assertEqual(port.of("fail"), [(1,)])

    def test_a_late_answer_for_a_transfer_that_is_over_changes_nothing(self):
        of, port = scheduler()
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        of.on_client_cancelled(10, 1)
        of.on_attempt_result(20, answer(1, AttemptOutcome.SUCCEEDED, over=True))
        self.assertEqual([port.of("reject"), port.of("fail"), at.out], [[], [], []])

    def test_an_exclusive_transfer_that_may_have_run_is_aborted_not_declined(self):
        of, port = scheduler({"repeats": "exclusive"})
        one = transfer(of, 1)
        of.dispatch(one, node(of), 0)
        of.on_attempt_result(100, answer(1, AttemptOutcome.RESET))
        self.assertEqual([port.of("fail"), port.of("reject")], [[(1,)], []])

    def test_an_exclusive_transfer_that_never_ran_may_go_again(self):
        of, _ = scheduler({"repeats": "exclusive"})
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        of.on_attempt_result(100, answer(1, AttemptOutcome.REJECTED))
        self.assertEqual((one.phase, of.repeat_wait(one, at, 100)), (Phase.HELD, 0))

    def test_a_ticketed_transfer_keeps_to_its_group_and_window(self):
        for group, cell, zone, now, lawful in (
            ("cell", 0, 1, 5, True),
            ("cell", 1, 0, 5, False),
            ("zone", 1, 0, 5, True),
            ("zone", 0, 1, 5, False),
            ("all", 1, 1, 5, True),
            ("all", 0, 0, 20_000, False),
        ):
            of, _ = scheduler({"repeats": "ticketed", "group": group})
            one, other = transfer(of, 1, ends=90_000), node(of, 8, cell=cell, zone=zone)
            of.dispatch(one, node(of), 0)
            one.dispatches[0].outcome = AttemptOutcome.TIMED_OUT
            self.assertEqual(
                of.repeat_wait(one, other, now) == 0, lawful, (group, cell, zone, now)
            )

    def test_a_ticketed_repeat_that_waits_for_a_link_begins_within_the_window(self):
        for now, lawful in ((17_499, True), (17_500, False), (19_999, False)):
            of, _ = scheduler(
                {"repeats": "ticketed", "group": "all", "repeat_window": 20_000},
                dial=2500,
            )
            one = transfer(of, 1, ends=90_000)
            of.dispatch(one, node(of), 0)
            one.dispatches[0].outcome = AttemptOutcome.TIMED_OUT
            self.assertEqual(of.repeat_wait(one, node(of, 8), now) == 0, lawful, now)

    def test_no_second_copy_where_copies_are_not_allowed(self):
        of, _ = scheduler(may_copy=False)
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        self.assertEqual(of.repeat_wait(one, at, 5), NEVER)

    def test_a_further_dispatch_goes_only_where_there_is_credit(self):
        of, _ = scheduler()
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        at.credit = 0
        self.assertEqual(of.repeat_wait(one, at, 5), NEVER)

    def test_further_dispatches_stay_within_their_budget_even_before_the_first(self):
        of, _ = scheduler(further_window=50_000, further_ratio=0.15)
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        self.assertGreater(of.repeat_wait(one, at, 5), 0)
        of.taken_at.extend([5] * 6)
        self.assertEqual(of.repeat_wait(one, at, 5), 0)

    def test_a_node_that_drains_or_is_gone_gives_back_what_it_holds(self):
        for readiness in (Readiness.DRAINING, Readiness.GONE):
            of, _ = scheduler()
            at, one = node(of), transfer(of, 1)
            of.hold(one, at, 0)
            of.on_endpoints(5, EndpointUpdateKind.DELTA, [line(7, readiness=readiness)])
            self.assertEqual(
                (of.wait_for(one, at, 5), of.unplaced[-1], at.extents), (NEVER, one, [])
            )

    def test_a_node_missing_from_a_whole_list_is_barred(self):
        of, _ = scheduler()
        at = node(of)
        of.on_endpoints(5, EndpointUpdateKind.SNAPSHOT, [line(8)])
        self.assertIs(at.health, Health.BARRED)

    def test_a_failed_watch_is_asked_for_again_within_the_stated_time(self):
        of, port = scheduler()
        for _ in range(9):
            of.on_endpoints(0, EndpointUpdateKind.FAILED, [])
            self.assertTrue(0 < port.of("set_timer")[-1][0] <= 50_000)
            of.on_timer(1, "ask")
        self.assertEqual(len(port.of("watch_endpoints")), 10)

    def test_a_cold_node_gets_this_gateways_part_and_more_as_it_warms(self):
        # All together bear twenty units in a window, by its age a window ago; half of that is this gateway's.
        for now, units, lawful in (
            (0, 10.0, True),
            (0, 11.0, False),
            (50_000, 21.0, True),
            (50_000, 22.0, False),
            (100_001, 99.0, True),
        ):
            of, _ = scheduler()
            one = transfer(of, 1, units=units)
            self.assertEqual(
                of.cold_wait(one, node(of, since=1), now) == 0, lawful, (now, units)
            )

    def test_where_a_cold_part_is_below_a_usual_transfer_each_is_drawn_for_once(self):
        # All together bear ten of mean work in a window: a hundredth of 0.25 of that for each window since the cell's last.
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
        # One of mean work: its line is 5, and 5 over e to the 1 + 12 / 5 may be drawn in a window.
        self.check_odds(0.0016687, 10_002, 2.0, 0, cold_units=2.0)
        self.check_odds(0.0016687 / 29.964, 10_002, 4.0, 0, cold_units=2.0)

    def check_odds(self, odds, gap, units, age, **facts):
        for lot, lawful in ((odds * 0.999, odds > 0), (odds * 1.001, False)):
            of, _ = scheduler(gateways=100, **facts)
            one, at = transfer(of, 1, units=units), node(of, since=1)
            one.gap, one.lot = gap, lot
            self.assertEqual(
                of.cold_wait(one, at, 1 + age) == 0, lawful, (gap, units, age, lot)
            )

    def test_a_small_transfer_does_not_pass_a_part_below_a_usual_one(self):
        """Each gateway's would be one of mean work, and all together more than the node bears."""
        of, _ = scheduler(
            gateways=13, cold_multiple=100.0
        )  # its part is one and a half units, a usual transfer two
        small = transfer(of, 1, units=1.0)
        small.gap, small.lot = 0, 0.0
        self.assertGreater(of.cold_wait(small, node(of, since=1), 1), 0)
        of.on_quota_share(0, "cold", 7, 1 / 13, 1 << 40, 1 / 13)
        self.assertGreater(of.cold_wait(small, of.nodes[7], 1), 0)

    def test_the_gap_is_the_cells_and_what_was_held_or_left_once_is_not_drawn_for(self):
        of, _ = scheduler(gateways=100)
        gaps = [
            (at, transfer(of, at, now=at, cell=cell).gap)
            for at, cell in ((700, 0), (900, 1), (1000, 0), (1300, None))
        ]
        self.assertEqual(gaps, [(700, 700), (900, 900), (1000, 300), (1300, 1300)])
        of.on_endpoints(1400, EndpointUpdateKind.DELTA, [line(7, since=1400)])
        self.assertEqual([each.gap for each in of.transfers.values()], [0, 900, 0, 0])
        one, at = transfer(of, 5, now=30_000), of.nodes[7]
        one.lot = 0.0
        self.assertEqual(of.cold_wait(one, at, 30_000), 0)
        of.dispatch(one, at, 30_000)
        self.assertGreater(of.cold_wait(one, at, 30_000), 0)

    def test_cells_not_asked_for_in_a_while_are_forgotten(self):
        of, _ = scheduler(gateways=100)
        for number in range(200):
            transfer(of, number, now=number * 100_000, cell=number)
        self.assertLess(len(of.last), 6)

    def test_a_node_that_starts_a_moment_from_now_is_cold_too(self):
        for warm_after in (0, 100_000):
            of, _ = scheduler(gateways=100, index=50, warm_after=warm_after)
            self.assertGreater(of.cold_wait(transfer(of, 1), node(of, since=3), 1), 0)

    def test_what_a_cold_node_answered_counts_until_its_window_is_over(self):
        of, _ = scheduler()  # this gateway's part is ten units
        at, one = node(of, since=1), transfer(of, 1, units=6.0)
        of.dispatch(one, at, 1)
        self.assertGreater(of.cold_wait(transfer(of, 2, units=5.0), at, 500), 0)
        of.learn(at.out[0], answer(1, AttemptOutcome.SUCCEEDED), 600)
        self.assertGreater(of.cold_wait(transfer(of, 3, units=5.0), at, 600), 0)
        self.assertGreater(of.cold_wait(transfer(of, 4, units=5.0), at, 10_002), 0)
        self.assertEqual(of.cold_wait(transfer(of, 5, units=5.0), at, 10_003), 0)

    def test_small_transfers_to_a_cold_node_weigh_as_usual_ones(self):
        """Each is as much of a load there, also when it is answered."""
        of, _ = scheduler()  # this gateway's part is ten units, a usual transfer two
        at = node(of, since=1)
        for number in range(1, 40):
            one = transfer(of, number, units=1.0)
            if of.cold_wait(one, at, 10 * number):
                break
            of.dispatch(one, at, 10 * number)
            of.learn(
                at.out[-1], answer(number, AttemptOutcome.SUCCEEDED), 10 * number + 5
            )
        self.assertEqual(number, 6)

    def test_no_transfer_that_a_cold_node_answered_gives_back_follower_or_not(self):
        for extent in (5, 6):
            of, _ = scheduler()
            at = node(of, since=1)
            for number, named in ((1, 5), (2, extent)):
                of.dispatch(transfer(of, number, extent=named), at, 10)
                of.learn(at.out[-1], answer(number, AttemptOutcome.SUCCEEDED), 20)
            self.assertEqual(list(at.sends), [(10, 2.0), (10, 2.0)])

    def test_a_restarted_gateway_takes_a_cold_nodes_part_for_spent(self):
        of, _ = scheduler()
        of.on_endpoints(1000, EndpointUpdateKind.CACHED, [line(7, since=900)])
        self.assertGreater(of.cold_wait(transfer(of, 1), of.nodes[7], 1000), 0)

    def test_one_key_runs_in_order_and_rests_after_an_unsure_end(self):
        of, _ = scheduler({"in_order": True})
        at = node(of)
        one, two = transfer(of, 1, extent=5), transfer(of, 2, extent=5)
        self.assertEqual([of.key_wait(one, 0), of.key_wait(two, 0) > 0], [0, True])
        of.dispatch(one, at, 0)
        of.on_client_cancelled(10, 1)
        self.assertGreater(of.key_wait(two, 10), 0)
        of.on_attempt_result(20, answer(1, AttemptOutcome.TIMED_OUT))
        self.assertEqual(of.key_wait(two, 20), 3000)

    def test_a_told_part_of_a_limit_holds_until_its_end_and_then_the_other(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.on_quota_share(0, "limit", 1, 0.5, 4001, 0.25)
        self.assertEqual(of.limit_wait(one, 0), 4001)  # 2 units at 5 a second
        self.assertEqual(of.limit_wait(one, 4000), 0)
        of.on_quota_share(4000, "limit", 1, 0.5, 4000, 0.25)  # over already
        one.volume.limit.level = 0.0
        self.assertEqual(of.limit_wait(one, 4000), 8001)

    def test_what_filled_over_the_end_of_a_part_fills_at_the_smaller(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.on_quota_share(0, "limit", 1, 0.1, 10_000, 1.0)
        of.limit_wait(one, 20_000)
        self.assertAlmostEqual(one.volume.limit.level, 2.0)

    def test_a_larger_part_brings_no_more_of_what_was_before_it(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.on_quota_share(0, "limit", 1, 0.1, 99_000, 0.1)
        of.on_quota_share(10_000, "limit", 1, 1.0, 99_000, 0.1)
        self.assertAlmostEqual(one.volume.limit.level, 1.0)
        of.on_quota_share(10_000, "limit", 1, None, 0, 0.0)
        self.assertEqual(of.parts, {})

    def test_a_part_outlives_its_volume(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.on_quota_share(0, "limit", 1, 0.1, 1 << 50, 0.1)
        one.volume.used_at, one.volume.limit.level = 0, 99.0
        one.volume.reserve.level = 1e9
        of.forget_idle(1 << 40)
        self.assertIn(1, of.volumes)

    def test_a_told_part_of_a_cold_budget(self):
        of, _ = scheduler(gateways=100, index=50)
        cold, one = node(of, since=1), transfer(of, 1)
        self.assertGreater(of.cold_wait(one, cold, 2), 0)
        of.on_quota_share(0, "cold", 7, 0.5, 1 << 40, 0.01)
        self.assertEqual(of.cold_wait(one, cold, 2), 0)

    def test_a_told_part_of_a_reserve_takes_the_place_of_the_estimate(self):
        of, _ = scheduler(plan={"reserve_rate": 100.0})
        of.on_quota_share(0, "reserve", 1, 0.9, 1 << 40, 0.5)
        one = transfer(of, 1, now=10_000)
        self.assertGreater(one.volume.reserve.level, 90.0)

    def test_the_limit_store_starts_empty_and_is_charged_once(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        at, one = node(of), transfer(of, 1)
        self.assertGreater(of.limit_wait(one, 0), 0)
        self.assertEqual(of.limit_wait(one, 2000), 0)
        of.dispatch(one, at, 2000)
        self.assertAlmostEqual(one.volume.limit.level, 0.0)

    def test_a_store_fills_to_its_most(self):
        store = Store(1.0, 0)
        self.assertEqual(
            [store.fill(5_000, 4.0, 10.0), store.fill(90_000, 4.0, 10.0)], [3.0, 10.0]
        )


if __name__ == "__main__":
    unittest.main()
