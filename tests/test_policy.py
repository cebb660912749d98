"""Each test builds the state that it needs and calls one function of the module."""
import unittest

from milletsill.interface import News, Outcome, Readiness
from milletsill.policy.records import Store
from milletsill.policy.tables import CREDITS, NEVER, Health, Phase, Sign
from tests.helpers import answer, arrival, line, node, scheduler, transfer


class Rules(unittest.TestCase):
    """The gate and the final answers."""

    def test_nothing_is_sent_after_the_clients_time(self):
        of, _ = scheduler()
        at, one = node(of), transfer(of, 1)
        self.assertEqual(of.wait_for(one, at, one.ends), NEVER)

    def test_a_held_transfer_is_declined_before_its_client_leaves(self):
        of, port = scheduler()
        one = transfer(of, 1)
        of.woken(one.ends - 40, one)
        self.assertEqual(port.of("decline"), [(1, 5000)])

    def test_what_was_never_dispatched_is_given_up_at_half_of_its_clients_time(self):
        for dispatched, told in ((False, [(1, 5000)]), (True, [])):
            of, port = scheduler()
            one = transfer(of, 1)
            if dispatched:
                of.dispatch(one, node(of), 0)
                of.returned(100, answer(1, Outcome.TURNED_AWAY))
            of.woken(one.ends // 2, one)
            self.assertEqual(port.of("decline"), told)

    def test_what_is_given_up_is_answered_in_the_same_settle_with_a_time_to_come_back(self):
        of, port = scheduler()
        at = node(of)
        at.rest_until = 4000  # behind its target, and the node is crowded: nothing can be in time there
        at.lapses = 1
        of.taken(0, arrival(1))
        of.settle(0)
        self.assertEqual((port.of("decline"), of.transfers), ([(1, 5000)], {}))

    def test_what_may_not_go_again_is_answered_with_the_word_of_its_last_dispatch(self):
        of, port = scheduler(most_dispatches=1)
        one = transfer(of, 1)
        of.dispatch(one, node(of), 0)
        of.returned(100, answer(1, Outcome.ERROR))
        self.assertEqual((port.of("decline"), of.transfers), ([(1, 5000)], {}))

    def test_a_timeout_at_the_clients_time_is_answered_at_once(self):
        of, port = scheduler({"repeats": "ticketed", "group": "cell"})
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        of.returned(one.ends, answer(1, Outcome.TIMED_OUT))
        self.assertEqual(port.of("abort"), [(1,)])

    def test_a_late_answer_for_a_transfer_that_is_over_changes_nothing(self):
        of, port = scheduler()
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        of.abandoned(10, 1)
        of.returned(20, answer(1, Outcome.SATISFIED, over=True))
        self.assertEqual([port.of("decline"), port.of("abort"), at.out], [[], [], []])

    def test_an_exclusive_transfer_that_may_have_run_is_aborted_not_declined(self):
        of, port = scheduler({"repeats": "exclusive"})
        one = transfer(of, 1)
        of.dispatch(one, node(of), 0)
        of.returned(100, answer(1, Outcome.RESET))
        self.assertEqual([port.of("abort"), port.of("decline")], [[(1,)], []])

    def test_an_exclusive_transfer_that_never_ran_may_go_again(self):
        of, _ = scheduler({"repeats": "exclusive"})
        at, one = node(of), transfer(of, 1)
        of.dispatch(one, at, 0)
        of.returned(100, answer(1, Outcome.TURNED_AWAY))
        self.assertEqual((one.phase, of.repeat_wait(one, at, 100)), (Phase.HELD, 0))

    def test_a_ticketed_transfer_keeps_to_its_group_and_window(self):
        for group, cell, zone, now, lawful in (("cell", 0, 1, 5, True), ("cell", 1, 0, 5, False),
                                               ("zone", 1, 0, 5, True), ("zone", 0, 1, 5, False),
                                               ("all", 1, 1, 5, True), ("all", 0, 0, 20_000, False)):
            of, _ = scheduler({"repeats": "ticketed", "group": group})
            one, other = transfer(of, 1, ends=90_000), node(of, 8, cell=cell, zone=zone)
            of.dispatch(one, node(of), 0)
            one.dispatches[0].outcome = Outcome.TIMED_OUT
            self.assertEqual(of.repeat_wait(one, other, now) == 0, lawful, (group, cell, zone, now))

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
            of.listed(5, News.CHANGES, [line(7, readiness=readiness)])
            self.assertEqual((of.wait_for(one, at, 5), of.unplaced[-1], at.extents), (NEVER, one, []))

    def test_a_node_missing_from_a_whole_list_is_barred(self):
        of, _ = scheduler()
        at = node(of)
        of.listed(5, News.WHOLE, [line(8)])
        self.assertIs(at.health, Health.BARRED)

    def test_a_failed_watch_is_asked_for_again_within_the_stated_time(self):
        of, port = scheduler()
        for _ in range(9):
            of.listed(0, News.FAILED, [])
            self.assertTrue(0 < port.of("wake")[-1][0] <= 50_000)
            of.woken(1, "ask")
        self.assertEqual(len(port.of("watch")), 10)

    def test_a_cold_node_gets_this_gateways_part_and_more_as_it_warms(self):
        for now, units, lawful in ((0, 5.0, True), (0, 6.0, False), (50_000, 12.0, True), (50_000, 13.0, False),
                                   (100_001, 99.0, True)):
            of, _ = scheduler()
            one = transfer(of, 1, units=units)
            self.assertEqual(of.cold_wait(one, node(of, since=1), now) == 0, lawful, (now, units))

    def test_where_a_cold_part_is_below_one_unit_gateways_take_turns(self):
        turns = {}
        for index in range(100):
            of, _ = scheduler(gateways=100, index=index)  # all together bear ten units, grown by the turn's time
            at, one = node(of, since=1), transfer(of, 1)
            for turn in range(6):
                if of.cold_wait(one, at, 1 + turn * 15_003) == 0:
                    turns.setdefault(turn, []).append(index)
                self.assertGreater(of.cold_wait(one, at, 1 + turn * 15_003 + 2_500), 0, "a turn is over")
        self.assertEqual([len(turns[turn]) for turn in range(6)], [5, 5, 8, 10, 12, 14])
        self.assertEqual(turns[0], [7, 8, 9, 10, 11])

    def test_in_its_turn_a_gateway_sends_a_usual_transfers_units_and_no_more(self):
        of, _ = scheduler(gateways=100, index=7)
        at, one = node(of, since=1), transfer(of, 1)
        self.assertGreater(of.cold_wait(transfer(of, 2, units=3.0), at, 5), 0)
        of.dispatch(one, at, 5)
        of.learn(at.out[0], answer(1, Outcome.SATISFIED), 600)  # what it answered is not given back within a turn
        self.assertGreater(of.cold_wait(transfer(of, 3, units=1.0), at, 600), 0)

    def test_a_node_that_starts_a_moment_from_now_is_cold_too(self):
        for warm_after in (0, 100_000):
            of, _ = scheduler(gateways=100, index=50, warm_after=warm_after)
            self.assertGreater(of.cold_wait(transfer(of, 1), node(of, since=3), 1), 0)

    def test_a_restarted_gateway_takes_its_turn_for_spent(self):
        of, _ = scheduler(gateways=100, index=7)
        of.listed(5, News.CACHED, [line(7, since=1)])
        self.assertGreater(of.cold_wait(transfer(of, 1), of.nodes[7], 6), 0)

    def test_what_a_cold_node_answered_may_be_sent_to_it_again(self):
        of, _ = scheduler()
        at, one = node(of, since=1), transfer(of, 1, units=5.0)
        of.dispatch(one, at, 1)
        self.assertGreater(of.cold_wait(transfer(of, 2), at, 500), 0)
        of.learn(at.out[0], answer(1, Outcome.SATISFIED), 600)
        self.assertEqual(of.cold_wait(transfer(of, 3), at, 600), 0)

    def test_small_transfers_to_a_cold_node_weigh_as_usual_ones(self):
        """Each is as much of a load there, and answers of small ones tell of little work."""
        of, _ = scheduler()  # this gateway's part is five units, a usual transfer two
        at = node(of, since=1)
        for number in range(1, 40):
            one = transfer(of, number, units=1.0)
            if of.cold_wait(one, at, 10 * number):
                break
            of.dispatch(one, at, 10 * number)
            of.learn(at.out[-1], answer(number, Outcome.SATISFIED), 10 * number + 5)
        self.assertEqual(number, 5)

    def test_a_follower_that_a_cold_node_answered_gives_back_less(self):
        given = []
        for extent in (5, 6):
            of, _ = scheduler()
            at = node(of, since=1)
            for number, named in ((1, 5), (2, extent)):
                of.dispatch(transfer(of, number, extent=named), at, 10)
                of.learn(at.out[-1], answer(number, Outcome.SATISFIED), 20)
            given.append(at.sends[-1][1])
        self.assertEqual(given, [-1.0, -2.0])

    def test_a_restarted_gateway_takes_a_cold_nodes_part_for_spent(self):
        of, _ = scheduler()
        of.listed(1000, News.CACHED, [line(7, since=900)])
        self.assertGreater(of.cold_wait(transfer(of, 1), of.nodes[7], 1000), 0)

    def test_one_key_runs_in_order_and_rests_after_an_unsure_end(self):
        of, _ = scheduler({"in_order": True})
        at = node(of)
        one, two = transfer(of, 1, extent=5), transfer(of, 2, extent=5)
        self.assertEqual([of.key_wait(one, 0), of.key_wait(two, 0) > 0], [0, True])
        of.dispatch(one, at, 0)
        of.abandoned(10, 1)
        self.assertGreater(of.key_wait(two, 10), 0)
        of.returned(20, answer(1, Outcome.TIMED_OUT))
        self.assertEqual(of.key_wait(two, 20), 3000)

    def test_a_told_part_of_a_limit_holds_until_its_end_and_then_the_other(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.part(0, "limit", 1, 0.5, 4001, 0.25)
        self.assertEqual(of.limit_wait(one, 0), 4001)  # 2 units at 5 a second
        self.assertEqual(of.limit_wait(one, 4000), 0)
        of.part(4000, "limit", 1, 0.5, 4000, 0.25)  # over already
        one.volume.limit.level = 0.0
        self.assertEqual(of.limit_wait(one, 4000), 8001)

    def test_what_filled_over_the_end_of_a_part_fills_at_the_smaller(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.part(0, "limit", 1, 0.1, 10_000, 1.0)
        of.limit_wait(one, 20_000)
        self.assertAlmostEqual(one.volume.limit.level, 2.0)

    def test_a_larger_part_brings_no_more_of_what_was_before_it(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.part(0, "limit", 1, 0.1, 99_000, 0.1)
        of.part(10_000, "limit", 1, 1.0, 99_000, 0.1)
        self.assertAlmostEqual(one.volume.limit.level, 1.0)
        of.part(10_000, "limit", 1, None, 0, 0.0)
        self.assertEqual(of.parts, {})

    def test_a_part_outlives_its_volume(self):
        of, _ = scheduler(plan={"limit_rate": 10.0, "limit_store": 20.0})
        one = transfer(of, 1)
        of.part(0, "limit", 1, 0.1, 1 << 50, 0.1)
        one.volume.used_at, one.volume.limit.level = 0, 99.0
        one.volume.reserve.level = 1e9
        of.forget_idle(1 << 40)
        self.assertIn(1, of.volumes)

    def test_a_told_part_of_a_cold_budget(self):
        of, _ = scheduler(gateways=100, index=50)
        cold, one = node(of, since=1), transfer(of, 1)
        self.assertGreater(of.cold_wait(one, cold, 2), 0)
        of.part(0, "cold", 7, 0.5, 1 << 40, 0.01)
        self.assertEqual(of.cold_wait(one, cold, 2), 0)

    def test_a_told_part_of_a_reserve_takes_the_place_of_the_estimate(self):
        of, _ = scheduler(plan={"reserve_rate": 100.0})
        of.part(0, "reserve", 1, 0.9, 1 << 40, 0.5)
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
        self.assertEqual([store.fill(5_000, 4.0, 10.0), store.fill(90_000, 4.0, 10.0)], [3.0, 10.0])


class Path(unittest.TestCase):
    """The design's ordinary path and where it is extended."""

    def test_held_transfers_leave_by_tag(self):
        of, _ = scheduler()
        at = node(of)
        late, soon = transfer(of, 1, volume=1), transfer(of, 2, volume=2)
        soon.target -= 1000
        of.hold(late, at, 0)
        of.hold(soon, at, 0)
        self.assertIs(of.choose(at, 0), soon)

    def test_m_is_a_tenth_of_the_target_time_until_latency_is_known(self):
        of, _ = scheduler()
        at, one = node(of), transfer(of, 1)
        at.latency = None
        of.hold(one, at, 0)
        self.assertEqual(one.tag, 3000 - 300)

    def follower_of(self, slack, units=2.0, extent=5, volume=1):
        of, _ = scheduler()
        at, last = node(of), transfer(of, 9, extent=5, volume=1)
        at.follow = last
        head, follower = transfer(of, 1, volume=2), transfer(of, 2, extent=extent, volume=volume, units=units)
        for each in (head, follower):
            of.hold(each, at, 0)
        return of.choose(at, head.tag - slack), head, follower

    def test_a_follower_of_extent_or_volume_goes_before_a_head_that_is_not_due(self):
        for extent, volume in ((5, 3), (6, 1)):
            chosen, _, follower = self.follower_of(1000, extent=extent, volume=volume)
            self.assertIs(chosen, follower)

    def test_a_costly_follower_does_not_push_the_head_past_its_tag(self):
        chosen, head, _ = self.follower_of(1000, units=8.0)
        self.assertIs(chosen, head)

    def test_one_slot_waits_for_a_follower_only_with_others_out(self):
        of, port = scheduler()
        at = node(of)
        of.dispatch(transfer(of, 8, volume=3), at, 0)
        at.window, at.follow, at.follow_until = 2.0, transfer(of, 9, extent=5), 200
        head = transfer(of, 1, volume=2)
        of.hold(head, at, 0)
        self.assertIsNone(of.choose(at, 0))
        self.assertEqual(port.of("wake")[-1], (200, at))
        at.out.clear()
        self.assertIs(of.choose(at, 0), head)

    def test_background_leaves_while_the_deadline_queue_is_empty(self):
        of, _ = scheduler()
        at, extra, due = node(of), transfer(of, 1, volume=1), transfer(of, 2, volume=2)
        extra.reserved = False
        of.hold(extra, at, 0)
        self.assertIs(of.choose(at, 0), extra)
        of.hold(due, at, 0)
        self.assertIs(of.choose(at, 0), due)

    def surplus(self, of, number):
        one = transfer(of, number)
        one.reserved = False
        of.hold(one, of.nodes[7], 0)
        return one

    def test_a_volumes_surplus_waits_for_its_window_over_all_nodes(self):
        of, _ = scheduler()
        at = node(of)
        one, two = self.surplus(of, 1), self.surplus(of, 2)
        of.dispatch(one, at, 0)
        self.assertGreater(of.surplus_wait(two, 0), 0)

    def test_crowded_answers_narrow_a_volumes_surplus_window_below_one_by_pauses(self):
        of, _ = scheduler()
        node(of)
        one = self.surplus(of, 1)
        of.dispatch(one, one.node, 0)
        of.ease(one.dispatches[0], True, 1000)
        self.assertLess(one.volume.window, 1)
        self.assertGreater(of.surplus_wait(self.surplus(of, 2), 1000), 0)

    def test_units_beyond_the_reserve_are_not_reserved(self):
        of, _ = scheduler()
        transfer(of, 1).volume.reserve.level = 3.0
        self.assertEqual([transfer(of, number).reserved for number in (2, 3)], [True, False])

    def test_the_rest_of_a_run_leaves_at_once_within_the_heads_slack(self):
        of, port = scheduler()
        at = node(of)
        run = [transfer(of, number, extent=5) for number in range(4)]
        head = transfer(of, 9, volume=2)
        for each in run[1:] + [head]:
            of.hold(each, at, 0)
        of.run_on(at, run[0], head.tag - 500)
        self.assertEqual([sent[0] for sent in port.of("send")], [1, 2])

    def test_what_cannot_leave_in_time_goes_behind_least_useful_first(self):
        of, port = scheduler()
        at = node(of)
        held = [transfer(of, number, units=8.0) for number in range(3)]
        for each, utility in zip(held, (1.0, 0.5, 1.0)):
            each.reserved, each.utility = True, utility
            of.hold(each, at, 0)
        of.relieve(at, 0)
        self.assertEqual([held[0].queue, held[1].queue], [at.due, at.background])
        self.assertEqual(port.of("decline"), [])

    def test_what_cannot_leave_within_patience_is_declined_at_once(self):
        for best, declined in ((2000.0, 1), (200.0, 3)):  # a crowded node keeps nothing late
            of, port = scheduler()
            at = node(of)
            at.pace, at.best, of.clear = 2000.0, best, 2000.0
            for number in range(3):
                of.hold(transfer(of, number, units=4.0), at, 0)
            of.relieve(at, 0)
            self.assertEqual(len(port.of("decline")), declined, best)

    def test_background_leaves_a_crowded_node_one_at_a_time(self):
        of, _ = scheduler()
        at, extra = node(of), transfer(of, 1)
        extra.reserved, at.window, at.best = False, 3.0, 50.0
        of.hold(extra, at, 0)
        self.assertIs(of.choose(at, 0), extra)
        of.dispatch(transfer(of, 2), at, 0)
        self.assertIsNone(of.choose(at, 0))

    def test_a_clients_repeat_counts_from_its_first_try(self):
        of, _ = scheduler()
        self.assertEqual(transfer(of, 1, now=2000, ends=15_000, repeat=True).target, 3000)

    def test_a_repeat_with_less_than_its_target_time_left_is_a_short_try(self):
        of, _ = scheduler()
        self.assertEqual(transfer(of, 1, now=20_000, ends=21_000, repeat=True).target, 21_000)

    def test_the_window_widens_near_the_best_pace_and_narrows_far_from_it(self):
        for latency, wider in ((380, True), (4000, False)):
            of, _ = scheduler(gateways=8)
            at, one = node(of), transfer(of, 1)
            at.window = 2.0
            of.dispatch(one, at, 0)
            at.out[0].full = True
            of.learn(at.out[0], answer(1, Outcome.SATISFIED, latency=latency), 400)
            self.assertEqual(at.window > 2.0, wider)


class Nodes(unittest.TestCase):
    """Health, credit and where a new object goes."""

    def test_a_new_object_goes_where_credit_is_left_and_the_strain_is_least(self):
        of, _ = scheduler()
        slow, quick, spent = node(of, 1), node(of, 2), node(of, 3)
        slow.strain, quick.strain, spent.strain, spent.credit = 2.0, 0.5, 0.1, 0
        of.choices = lambda among, k: among
        of.dispatch(transfer(of, 8, cell=0), spent, 0)
        one = transfer(of, 1, cell=None)
        self.assertTrue(of.place(one, 0))
        self.assertEqual((one.node, quick.credit), (quick, CREDITS - 1))

    def test_what_is_out_at_a_node_counts_as_strain(self):
        of, _ = scheduler()
        at = node(of)
        of.dispatch(transfer(of, 1), at, 0)
        self.assertGreater(of.strain_of(at), of.strain_of(node(of, 8)))

    def test_a_node_without_word_proves_itself(self):
        of, _ = scheduler(gateways=8)
        at = node(of)
        at.window = 9.0
        of.sign(at, Sign.LAPSE, 100)
        self.assertEqual((at.health, at.window, at.credit), (Health.RETURNED, 1.0, 1))
        of.sign(at, Sign.PROVEN, 1000)
        self.assertIs(at.health, Health.STEADY)

    def test_a_returned_node_gets_the_most_useful_first(self):
        of, _ = scheduler()
        at = node(of)
        at.health = Health.RETURNED
        first, second = transfer(of, 1), transfer(of, 2, volume=2)
        second.utility = 5.0
        for each in (first, second):
            of.hold(each, at, 0)
        self.assertIs(of.choose(at, 0), second)

    def test_a_dispatch_times_out_after_some_latencies_but_not_before_its_target(self):
        for repeats, reserved, lapses, now, timeout in (
                ("rerunnable", True, 0, 0, 3000), ("rerunnable", True, 0, 1000, 2400),
                ("rerunnable", False, 0, 1000, 2000), ("rerunnable", True, 1, 1000, 2000),
                ("rerunnable", True, 1, 4000, 2400), ("exclusive", True, 0, 0, 0)):
            of, port = scheduler({"repeats": repeats})
            at, one = node(of), transfer(of, 1)
            at.lapses, one.reserved = lapses, reserved
            of.dispatch(one, at, now)
            self.assertEqual(port.of("send"), [(1, 7, timeout)])

    def test_a_first_dispatch_is_lost_sooner_where_its_target_leaves_time_for_another(self):
        for latency, number, credit, timeout, final in ((400.0, 0, 2, 2400, False), (None, 0, 2, 6000, True),
                                                        (600.0, 0, 2, 6000, True), (400.0, 1, 2, 6000, True),
                                                        (400.0, 0, 0, 6000, True)):
            of, port = scheduler()
            at, one = node(of), transfer(of, 1, ends=50_000)
            one.target, one.reserved, at.latency, at.wait, at.credit = 6000, False, latency, 0.0, credit
            one.dispatches = [None] * number
            of.dispatch(one, at, 0)
            self.assertEqual((port.of("send")[-1][2], at.out[0].final), (timeout, final), (latency, number, credit))

    def test_surplus_that_timed_out_at_its_target_is_declined_at_once(self):
        of, port = scheduler()
        one = transfer(of, 1)
        one.reserved = False
        of.dispatch(one, node(of), 0)
        of.returned(3000, answer(1, Outcome.TIMED_OUT, latency=3000))
        self.assertEqual(port.of("decline"), [(1, 5000)])

    def test_dispatches_that_come_to_nothing_make_a_node_rest_twice_as_long_each(self):
        for outcome in (Outcome.TIMED_OUT, Outcome.TURNED_AWAY):
            of, _ = scheduler()
            at, rests = node(of), []
            of.uniform = lambda low, high: 1.0
            for number in range(2):
                of.dispatch(transfer(of, number), at, at.rest_until)
                now = at.rest_until + 400
                of.returned(now, answer(number, outcome))
                rests.append(at.rest_until - now)
            self.assertEqual(rests, [400, 1200])

    def test_a_dispatch_lost_alone_at_a_node_heard_of_late_is_no_lapse(self):
        for heard, silent, outcome, lapses, health in (
                (1000, 0, Outcome.TIMED_OUT, 0, Health.STEADY), (0, 0, Outcome.TIMED_OUT, 1, Health.RETURNED),
                (1000, 1500, Outcome.RESET, 1, Health.RETURNED), (1000, 0, Outcome.TURNED_AWAY, 1, Health.STEADY)):
            of, _ = scheduler()
            at, of.shortest = node(of), 100
            of.dispatch(transfer(of, 1), at, 1500)
            at.heard, at.silent = heard, silent
            of.returned(1900, answer(1, outcome, latency=400))
            self.assertEqual((at.lapses, at.health), (lapses, health), (heard, silent, outcome))

    def test_a_reset_that_comes_at_once_is_lost_alone_where_the_node_was_heard_within_target_times(self):
        of, _ = scheduler()
        at, of.shortest = node(of), 1000
        of.dispatch(transfer(of, 1), at, 2500)
        at.heard = 1000
        of.returned(2501, answer(1, Outcome.RESET, latency=1))
        self.assertEqual((at.lapses, at.health), (0, Health.STEADY))

    def test_a_lost_dispatch_frees_its_slot_and_may_go_again(self):
        of, _ = scheduler()
        at, one = node(of), transfer(of, 1)
        of.hold(one, at, 0)
        of.dispatch(one, at, 0)
        of.returned(2400, answer(1, Outcome.TIMED_OUT))
        self.assertEqual((at.out, of.unplaced[-1], of.wait_for(one, at, 2400)), ([], one, 0))

    def test_a_cell_without_a_node_waits_for_the_one_that_replaces_it(self):
        of, _ = scheduler()
        one = transfer(of, 1, cell=4)
        self.assertFalse(of.place(one, 0))
        node(of, 5, cell=4)
        self.assertTrue(of.place(one, 10))

    def test_taking_a_transfer_sends_nothing_before_settling(self):
        of, port = scheduler()
        node(of)
        of.taken(0, arrival(1))
        self.assertEqual(port.of("send"), [])


if __name__ == "__main__":
    unittest.main()
