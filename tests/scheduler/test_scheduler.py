"""Each test builds the state that it needs and calls one function of the module."""

import unittest

from milletsill.interface import AttemptOutcome
from milletsill.scheduler.tables import CREDITS, Health, Sign
from tests.support.scheduler_builders import answer, arrival, node, scheduler, transfer


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
        head, follower = (
            transfer(of, 1, volume=2),
            transfer(of, 2, extent=extent, volume=volume, units=units),
        )
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
        self.assertEqual(port.of("set_timer")[-1], (200, at))
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
        self.assertEqual(
            [transfer(of, number).reserved for number in (2, 3)], [True, False]
        )

    def test_the_rest_of_a_run_leaves_at_once_within_the_heads_slack(self):
        of, port = scheduler()
        at = node(of)
        run = [transfer(of, number, extent=5) for number in range(4)]
        head = transfer(of, 9, volume=2)
        for each in run[1:] + [head]:
            of.hold(each, at, 0)
        of.run_on(at, run[0], head.tag - 500)
        self.assertEqual([sent[0] for sent in port.of("send_attempt")], [1, 2])

    def test_what_cannot_leave_in_time_goes_behind_least_useful_first(self):
        of, port = scheduler()
        at = node(of)
        held = [transfer(of, number, units=8.0) for number in range(3)]
        for each, utility in zip(held, (1.0, 0.5, 1.0)):
            each.reserved, each.utility = True, utility
            of.hold(each, at, 0)
        of.relieve(at, 0)
        self.assertEqual([held[0].queue, held[1].queue], [at.due, at.background])
        self.assertEqual(port.of("reject"), [])

    def test_what_cannot_leave_within_patience_is_declined_at_once(self):
        for best, declined in (
            (2000.0, 1),
            (200.0, 3),
        ):  # a crowded node keeps nothing late
            of, port = scheduler()
            at = node(of)
            at.pace, at.best, of.clear = 2000.0, best, 2000.0
            for number in range(3):
                of.hold(transfer(of, number, units=4.0), at, 0)
            of.relieve(at, 0)
            self.assertEqual(len(port.of("reject")), declined, best)

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
        self.assertEqual(
            transfer(of, 1, now=2000, ends=15_000, repeat=True).target, 3000
        )

    def test_a_repeat_with_less_than_its_target_time_left_is_a_short_try(self):
        of, _ = scheduler()
        self.assertEqual(
            transfer(of, 1, now=20_000, ends=21_000, repeat=True).target, 21_000
        )

    def test_the_window_widens_near_the_best_pace_and_narrows_far_from_it(self):
        for latency, wider in ((380, True), (4000, False)):
            of, _ = scheduler(gateways=8)
            at, one = node(of), transfer(of, 1)
            at.window = 2.0
            of.dispatch(one, at, 0)
            at.out[0].full = True
            of.learn(
                at.out[0], answer(1, AttemptOutcome.SUCCEEDED, latency=latency), 400
            )
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
            ("rerunnable", True, 0, 0, 3000),
            ("rerunnable", True, 0, 1000, 2400),
            ("rerunnable", False, 0, 1000, 2000),
            ("rerunnable", True, 1, 1000, 2000),
            ("rerunnable", True, 1, 4000, 2400),
            ("exclusive", True, 0, 0, 0),
        ):
            of, port = scheduler({"repeats": repeats})
            at, one = node(of), transfer(of, 1)
            at.lapses, one.reserved = lapses, reserved
            of.dispatch(one, at, now)
            self.assertEqual(port.of("send_attempt"), [(1, 7, timeout)])

    def test_a_first_dispatch_is_lost_sooner_where_its_target_leaves_time_for_another(
        self,
    ):
        for latency, number, credit, timeout, final in (
            (400.0, 0, 2, 2400, False),
            (None, 0, 2, 6000, True),
            (600.0, 0, 2, 6000, True),
            (400.0, 1, 2, 6000, True),
            (400.0, 0, 0, 6000, True),
        ):
            of, port = scheduler()
            at, one = node(of), transfer(of, 1, ends=50_000)
            one.target, one.reserved, at.latency, at.wait, at.credit = (
                6000,
                False,
                latency,
                0.0,
                credit,
            )
            one.dispatches = [None] * number
            of.dispatch(one, at, 0)
            self.assertEqual(
                (port.of("send_attempt")[-1][2], at.out[0].final),
                (timeout, final),
                (latency, number, credit),
            )

    def test_surplus_that_timed_out_at_its_target_is_declined_at_once(self):
        of, port = scheduler()
        one = transfer(of, 1)
        one.reserved = False
        of.dispatch(one, node(of), 0)
        of.on_attempt_result(3000, answer(1, AttemptOutcome.TIMED_OUT, latency=3000))
        self.assertEqual(port.of("reject"), [(1, 5000)])

    def test_dispatches_that_come_to_nothing_make_a_node_rest_twice_as_long_each(self):
        for outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.REJECTED):
            of, _ = scheduler()
            at, rests = node(of), []
            of.uniform = lambda low, high: 1.0
            for number in range(2):
                of.dispatch(transfer(of, number), at, at.rest_until)
                now = at.rest_until + 400
                of.on_attempt_result(now, answer(number, outcome))
                rests.append(at.rest_until - now)
            self.assertEqual(rests, [400, 1200])

    def test_a_dispatch_lost_alone_at_a_node_heard_of_late_is_no_lapse(self):
        for heard, silent, outcome, lapses, health in (
            (1000, 0, AttemptOutcome.TIMED_OUT, 0, Health.STEADY),
            (0, 0, AttemptOutcome.TIMED_OUT, 1, Health.RETURNED),
            (1000, 1500, AttemptOutcome.RESET, 1, Health.RETURNED),
            (1000, 0, AttemptOutcome.REJECTED, 1, Health.STEADY),
        ):
            of, _ = scheduler()
            at, of.shortest = node(of), 100
            of.dispatch(transfer(of, 1), at, 1500)
            at.heard, at.silent = heard, silent
            of.on_attempt_result(1900, answer(1, outcome, latency=400))
            self.assertEqual(
                (at.lapses, at.health), (lapses, health), (heard, silent, outcome)
            )

    def test_a_reset_that_comes_at_once_is_lost_alone_where_the_node_was_heard_within_target_times(
        self,
    ):
        of, _ = scheduler()
        at, of.shortest = node(of), 1000
        of.dispatch(transfer(of, 1), at, 2500)
        at.heard = 1000
        of.on_attempt_result(2501, answer(1, AttemptOutcome.RESET, latency=1))
        self.assertEqual((at.lapses, at.health), (0, Health.STEADY))

    def test_a_lost_dispatch_frees_its_slot_and_may_go_again(self):
        of, _ = scheduler()
        at, one = node(of), transfer(of, 1)
        of.hold(one, at, 0)
        of.dispatch(one, at, 0)
        of.on_attempt_result(2400, answer(1, AttemptOutcome.TIMED_OUT))
        self.assertEqual(
            (at.out, of.unplaced[-1], of.wait_for(one, at, 2400)), ([], one, 0)
        )

    def test_a_cell_without_a_node_waits_for_the_one_that_replaces_it(self):
        of, _ = scheduler()
        one = transfer(of, 1, cell=4)
        self.assertFalse(of.place(one, 0))
        node(of, 5, cell=4)
        self.assertTrue(of.place(one, 10))

    def test_taking_a_transfer_sends_nothing_before_settling(self):
        of, port = scheduler()
        node(of)
        of.on_request(0, arrival(1))
        self.assertEqual(port.of("send_attempt"), [])


if __name__ == "__main__":
    unittest.main()
