"""Parts that are lent and granted: each decision by itself, and the model of all of them with a network that misbehaves."""

import unittest
from dataclasses import replace

from milletsill.lab.model_checks import quota_model
from milletsill.planner.quota_granting import Planner
from milletsill.planner.quota_lending import Edge, Heard, Holding
from milletsill.planner.quota_plan import PLAN_EVERY, Pot, Share, fair, plan
from milletsill.planner.quota_terms import (
    GUARD,
    MOST_PROMISES,
    SECOND,
    WHOLE,
    Ask,
    Grant,
    Lent,
    Span,
    even,
)

SPAN, THING = Span(4 * SECOND, 5, 0.2), ("limit", 1)
NOW = 1000 * SECOND


def edge(gateways=4, fresh=True, epoch=1):
    made = Edge("e", 1, SPAN, NOW, fresh)
    made.know(THING, gateways)
    made.meet(epoch)
    return made


def grant(**values):
    return replace(Grant(1, 1, THING, 1, 0, 4 * SECOND, 0, NOW, 500, 0), **values)


def ask(name="a", **values):
    return replace(Ask(name, 1, 1, THING, 0, 250_000, (), NOW), **values)


class TheEdge(unittest.TestCase):
    def test_without_a_planner_it_has_its_even_part(self):
        self.assertEqual(
            (edge().part(THING, NOW), edge().holdings[THING].ends()), (250_000, [0])
        )

    def test_even_parts_never_pass_the_whole(self):
        self.assertTrue(all(each * even(each) <= WHOLE for each in range(1, 400)))

    def test_what_it_lends_is_off_until_its_end_and_back_after_it(self):
        made = edge()
        self.assertIs(made.take(grant(lend=100_000), NOW + 10), Heard.TAKEN)
        self.assertEqual(
            [
                made.part(THING, NOW + at)
                for at in (11, 4 * SECOND + 9, 4 * SECOND + 10)
            ],
            [150_000, 150_000, 250_000],
        )

    def test_a_grant_lasts_from_when_it_was_asked_for(self):
        made = edge()
        made.take(grant(granted=300_000), NOW + 3 * SECOND)
        self.assertEqual(
            [
                made.part(THING, NOW + at)
                for at in (3 * SECOND, 4 * SECOND - GUARD - 1, 4 * SECOND - GUARD)
            ],
            [550_000, 550_000, 250_000],
        )

    def test_a_grant_that_comes_after_its_end_is_not_used(self):
        made = edge()
        self.assertIs(
            made.take(grant(granted=300_000), NOW + 4 * SECOND), Heard.TOO_LATE
        )
        self.assertEqual(made.part(THING, NOW + 4 * SECOND), 250_000)

    def test_a_promise_is_never_made_smaller_before_its_end(self):
        made = edge()
        made.take(grant(lend=100_000), NOW)
        made.take(grant(lend=0, sequence=2), NOW + SECOND)
        self.assertEqual(
            [made.part(THING, NOW + at) for at in (SECOND, 4 * SECOND)],
            [150_000, 250_000],
        )

    def test_no_promise_goes_below_the_floor(self):
        made = edge()
        made.take(grant(lend=WHOLE), NOW)
        self.assertEqual(made.part(THING, NOW), 50_000)

    def test_a_new_epoch_gets_nothing_of_what_the_old_one_has(self):
        made = edge()
        made.take(grant(lend=100_000), NOW)
        self.assertTrue(made.meet(2))
        made.take(grant(epoch=2, lend=200_000), NOW + SECOND)
        self.assertEqual(made.part(THING, NOW + SECOND), 150_000)
        self.assertEqual(made.ask(THING, 0, NOW + SECOND).lent, ())
        made.take(
            grant(epoch=2, lend=200_000, sequence=2, asked=NOW + 4 * SECOND),
            NOW + 4 * SECOND,
        )
        self.assertEqual(
            (
                made.part(THING, NOW + 4 * SECOND),
                made.ask(THING, 0, NOW + 4 * SECOND).lent,
            ),
            (50_000, ((200_000, 500),)),
        )

    def test_an_older_epoch_is_refused(self):
        made = edge(epoch=5)
        self.assertEqual(
            (made.meet(4), made.meet(5), made.meet(6)), (False, True, True)
        )
        self.assertIs(made.take(grant(epoch=5, granted=9), NOW), Heard.OLD_EPOCH)

    def test_grants_that_are_doubled_late_or_make_no_sense_change_nothing(self):
        made = edge()
        made.take(grant(sequence=7, granted=1), NOW)
        for each, said in (
            (grant(sequence=7, granted=5), Heard.OLD_SEQUENCE),
            (grant(sequence=6, granted=5), Heard.OLD_SEQUENCE),
            (grant(sequence=8, granted=WHOLE + 1), Heard.SENSELESS),
            (grant(sequence=8, lend=-1), Heard.SENSELESS),
            (grant(sequence=8, asked=NOW + 1), Heard.SENSELESS),
            (grant(sequence=8, lasts=9 * SECOND), Heard.SENSELESS),
            (grant(sequence=8, thing=("limit", 2)), Heard.SENSELESS),
            (grant(sequence=8, incarnation=9, granted=5), Heard.SENSELESS),
        ):
            self.assertIs(made.take(each, NOW), said)
        self.assertEqual(made.part(THING, NOW), 250_001)

    def test_an_edge_that_has_started_again_rests_at_the_floor_and_lends_nothing(self):
        made = edge(fresh=False)
        made.take(grant(lend=100_000), NOW)
        self.assertEqual(
            [made.part(THING, NOW + at) for at in (0, 4 * SECOND - 1, 4 * SECOND)],
            [50_000, 50_000, 250_000],
        )
        self.assertEqual(made.ask(THING, 0, NOW).lent, ())

    def test_a_smaller_promise_goes_on_beside_a_larger_one(self):
        made = edge()
        made.take(grant(lend=100_000), NOW)
        made.take(
            grant(lend=60_000, sequence=2, asked=NOW + SECOND, told=777), NOW + SECOND
        )
        self.assertEqual(
            [made.part(THING, NOW + at) for at in (SECOND, 4 * SECOND, 5 * SECOND)],
            [150_000, 190_000, 250_000],
        )
        self.assertEqual(
            made.ask(THING, 0, NOW + SECOND).lent, ((100_000, 500), (60_000, 777))
        )

    def test_promises_are_bounded_and_none_is_made_smaller_by_that(self):
        held = Holding(WHOLE, 0)
        before = []
        for each in range(20):
            held.promise(Lent(1000 - each, NOW + each * 100 + SECOND, each), NOW)
            self.assertLessEqual(len(held.promises), MOST_PROMISES + 1)
            now = [held.lent(NOW + at) for at in range(0, SECOND, 500)]
            self.assertTrue(all(new >= old for new, old in zip(now, before or now)))
            before = now


class ThePlanner(unittest.TestCase):
    def lent(self, planner, now=NOW, part=100_000):
        """One edge that has lent, as the planner knows it."""
        planner.hear(ask("giver"), now)
        planner.hear(ask("giver", lent=((part, now),), sent=NOW + 1), now + 10)

    def hungry(self, planner, name, now):
        """One that wants all, through as many plans as it takes to believe it."""
        for each in range(6):
            if planner.pots:
                planner.pots[THING].planned = -1 << 60
            found = planner.hear(ask(name, want=WHOLE, sent=NOW + each), now)
        return found

    def test_it_grants_nothing_that_was_not_lent(self):
        planner = Planner(1, SPAN)
        self.assertEqual(planner.hear(ask("taker", want=WHOLE), NOW).granted, 0)

    def test_what_is_lent_is_granted_and_ends_before_the_promise_can(self):
        planner = Planner(1, SPAN)
        self.lent(planner)
        found = self.hungry(planner, "taker", NOW + 20)
        self.assertEqual(found.granted, 100_000)
        self.assertLessEqual(
            NOW + 20 + SPAN.most(found.lasts), NOW + SPAN.least(4 * SECOND)
        )

    def test_what_is_lent_is_granted_once(self):
        planner = Planner(1, SPAN)
        self.lent(planner)
        first = self.hungry(planner, "taker", NOW + 20)
        second = self.hungry(planner, "other", NOW + 30)
        self.assertGreater(first.granted, 0)
        self.assertLessEqual(first.granted + second.granted, 100_000)

    def test_a_larger_grant_that_may_still_run_stays_counted(self):
        share = Share(1, grants=[(300, NOW + 50), (100, NOW + 90)])
        self.assertEqual([share.out(NOW + at) for at in (0, 50, 90)], [300, 100, 0])

    def test_a_promise_to_another_epoch_is_not_counted(self):
        planner = Planner(2, SPAN)
        planner.hear(ask("giver", epoch=1, lent=((100_000, NOW),)), NOW)
        self.assertEqual(
            planner.hear(ask("taker", epoch=2, want=WHOLE), NOW + 1).granted, 0
        )

    def test_asks_that_are_old_make_no_sense_or_find_no_room_count_for_nothing(self):
        planner = Planner(1, SPAN, most_edges=1, most_things=1)
        planner.hear(ask("a", incarnation=3, sent=NOW + 5), NOW)
        for each in (
            ask("a", incarnation=2),
            ask("a", incarnation=3, sent=NOW),
            ask("b"),
            ask("a", incarnation=3, thing=("limit", 2)),
            ask("a", want=-1),
            ask("a", want=1000 * WHOLE),
            ask("a", capital=0),
            ask("a", lent=((250_001, 0),)),
            ask("a", lent=((1, 0),) * 9),
            ask("a", capital=300_000, incarnation=3, sent=NOW + 9),
            ask("a", lent=((1, NOW + 1),)),
        ):
            self.assertIsNone(planner.hear(each, NOW), each)
        self.assertEqual(len(planner.pots[THING].shares), 1)

    def test_a_quiet_edge_is_told_to_lend_what_another_wants(self):
        planner = Planner(1, SPAN)
        planner.linked = {"quiet", "loud"}
        found = planner.hear(ask("quiet"), NOW)
        self.assertEqual(found.again, SPAN.longest * 8)
        later = NOW + 5 * SECOND
        for each in range(6):
            planner.pots[THING].planned = -1 << 60
            planner.hear(ask("loud", want=WHOLE, sent=NOW + each), later)
        ((name, call),) = planner.drain_calls()
        self.assertEqual((name, call.granted, call.asked), ("quiet", 0, NOW))
        self.assertGreater(call.lend, 0)
        self.assertEqual(planner.drain_calls(), [])

    def test_what_comes_unasked_and_late_is_lent_all_the_same(self):
        made = edge()
        self.assertIs(made.take(grant(lend=100_000), NOW + 60 * SECOND), Heard.TOO_LATE)
        self.assertEqual(made.part(THING, NOW + 60 * SECOND), 150_000)

    def test_a_frozen_planner_keeps_its_plan(self):
        planner = Planner(1, SPAN)
        planner.frozen = True
        self.lent(planner)
        self.assertEqual(planner.hear(ask("taker", want=WHOLE), NOW + 20).granted, 0)


class ThePlan(unittest.TestCase):
    def pot(self, *wants):
        pot = Pot(250_000)
        for place, want in enumerate(wants):
            pot.shares[str(place)] = Share(250_000, want, reported=NOW)
        return pot

    def settle(self, pot, rounds=12):
        for each in range(rounds):
            for share in pot.shares.values():
                share.reported = NOW + each * PLAN_EVERY
            plan(pot, SPAN, NOW + each * PLAN_EVERY)
        return {name: (each.lend, each.due) for name, each in pot.shares.items()}

    def test_fair_shares(self):
        self.assertEqual(
            fair({"a": 10, "b": 50, "c": 90}, 100), {"a": 10, "b": 45, "c": 45}
        )
        self.assertEqual(fair({"a": 0}, 100), {"a": 0})

    def test_who_wants_nothing_lends_what_another_wants_and_no_more(self):
        found = self.settle(self.pot(0, 0, 0, 500_000))
        self.assertGreater(found["3"][1], 300_000)
        self.assertAlmostEqual(
            sum(lend for lend, _ in found.values()), found["3"][1], delta=20_000
        )

    def test_where_nobody_wants_more_nothing_is_lent(self):
        self.assertEqual(
            {lend for lend, _ in self.settle(self.pot(0, 10, 100, 1000)).values()}, {0}
        )

    def test_no_plan_goes_below_the_floor(self):
        found = self.settle(self.pot(0, 0, 0, WHOLE), 40)
        self.assertTrue(all(lend < 200_000 for lend, _ in found.values()))

    def test_one_report_moves_little(self):
        pot = self.pot(0, 0, 0, WHOLE)
        plan(pot, SPAN, NOW)
        self.assertTrue(all(each.lend <= 250_000 // 4 for each in pot.shares.values()))

    def test_one_that_is_silent_is_left_what_it_has_and_forgotten_in_the_end(self):
        pot = self.pot(0, 0, 0, WHOLE)
        pot.shares["0"].reported = NOW - 5 * SECOND
        plan(pot, SPAN, NOW)
        self.assertEqual(pot.shares["0"].lend, 0)
        plan(pot, SPAN, NOW + 3600 * SECOND)
        self.assertEqual(pot.shares, {})


class TheModel(unittest.TestCase):
    def test_every_order_of_events_of_a_small_fleet(self):
        for edges, depth, first in ((2, 4, 6), (3, 3, 9)):
            count, wrong = quota_model.explore(edges, depth, 100_000, first)
            self.assertIsNone(wrong)
            self.assertGreater(count, 300)

    def test_chance_through_a_large_fleet_whose_clocks_drift(self):
        for seed in range(6):
            self.assertIsNone(quota_model.walk(20, 1500, seed)[1])

    def test_each_guard_taken_out_is_found(self):
        for guard in quota_model.MUTANTS:
            with self.subTest(guard), quota_model.without(guard):
                self.assertIsNotNone(quota_model.wrong(300))

    def test_a_grant_that_was_overtaken_is_counted_until_its_end(self):
        self.assertLessEqual(quota_model.overtaken(), WHOLE)

    def test_the_model_does_grant(self):
        world = quota_model.World(4)
        for step in range(80):
            world.exchange(step % 4)
            world.pass_time(SECOND // 8)
        self.assertGreater(world.edges[0].part(THING, world.clock(0)), 600_000)


if __name__ == "__main__":
    unittest.main()
