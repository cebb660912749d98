"""Settings of shapes that no deployment at hand has, from the first message to what the module does with them."""

import unittest

from milletsill.facts import facts_of, missing_in, unknown_in
from milletsill.interface import Request, EndpointUpdateKind, AttemptOutcome, Readiness
from milletsill.scheduler import Scheduler
from milletsill.scheduler.tables import Sign
from tests.support.scheduler_builders import Noted, answer, line

SECOND = 1_000_000_000


def settings(**parts):
    """The first message of a small layout; each part is laid over the base's, None takes it away."""
    base = {
        "peers_total": 4,
        "self_index": 0,
        "resolution_ns": 2_000_000,
        "membership_mode": "pushed",
        "weights": "nominal",
        "zone": 0,
        "zones": ["a", "b"],
        "classes": [
            {
                "name": "read",
                "aim_ns": SECOND // 2,
                "hard_limit_ns": 2 * SECOND,
                "worth": 1.0,
                "idempotency": "free",
                "group": "all",
            }
        ],
        "plans": [{"name": "p", "guaranteed": 10.0}],
        "extra": {
            "writes": [False],
            "largest": 8,
            "slots_total": 2,
            "unit_mean": 2.0,
            "cold_bears": 20.0,
        },
        "limits": {
            "max_attempts": 3,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_ns": SECOND,
        },
        "rules": {
            "stop_sending_within_ns": SECOND,
            "ask_within_ns": 10 * SECOND,
            "fall_multiple": 3.0,
            "fall_ns": SECOND,
            "cold_from": 0.25,
            "warm_after_ns": 10 * SECOND,
        },
    }
    for name, part in parts.items():
        laid = {**base.get(name, {}), **part} if isinstance(part, dict) else part
        base[name] = (
            {key: value for key, value in laid.items() if value is not None}
            if isinstance(laid, dict)
            else laid
        )
    return {name: part for name, part in base.items() if part is not None}


def category(**changed):
    return [{**settings()["classes"][0], **changed}]


def module(**parts):
    """A module with the facts of such settings, and what it says."""
    port = Noted()
    return Scheduler(facts_of(settings(**parts)), 1, 0, port), port


def arrival(
    number, cell=0, extent=0, gateways=1, units=2.0, category=0, plan=0, ends=20_000
):
    return Request(
        number, extent, 1, gateways, category, plan, False, False, cell, units, ends
    )


class Rules(unittest.TestCase):
    """What the rules rest on where a setting is missing."""

    def test_a_key_keeps_its_order_where_no_tick_is_told(self):
        of, _ = module(resolution_ns=None, classes=category(sequential=True))
        of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7)])
        for number in (1, 2):
            of.on_request(0, arrival(number, extent=5))
        self.assertGreater(of.key_wait(of.transfers[2], 0), 0)

    def test_a_limit_is_parted_among_all_where_a_volumes_gateways_are_not_told(self):
        for told, parts in ((0, 4), (1, 1), (3, 3)):
            of, _ = module(
                plans=[{"name": "p", "ceiling_rate": 8.0, "most_at_once": 8.0}]
            )
            of.on_request(100_000, arrival(1, gateways=told, ends=200_000))
            of.limit_wait(of.transfers[1], 100_000)
            self.assertAlmostEqual(of.volumes[1].limit.level, 8.0 / parts)

    def test_a_budget_without_a_span_still_holds(self):
        of, _ = module(rules={"resend_span_ns": 0, "further_ratio": 0.1})
        of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7)])
        of.on_request(0, arrival(1))
        of.dispatch(of.transfers[1], of.nodes[7], 0)
        self.assertGreater(of.repeat_wait(of.transfers[1], of.nodes[7], 5), 0)

    def test_the_list_is_asked_for_unless_the_settings_say_that_it_is_pushed(self):
        for mode, asked in (("pushed", 0), ("on_request", 1), ("polled", 1), (None, 1)):
            _, port = module(membership_mode=mode)
            self.assertEqual(len(port.of("watch_endpoints")), asked, mode)

    def test_a_failed_watch_waits_between_calls_where_no_span_is_told(self):
        of, port = module(rules={"ask_within_ns": None})
        for _ in range(3):
            of.on_endpoints(0, EndpointUpdateKind.FAILED, [])
            of.on_timer(0, "ask")
        at = [when for when, what in port.of("set_timer") if what == "ask"]
        self.assertGreater(at[1], 0)
        self.assertLessEqual(max(at), 20_000)  # the longest patience

    def test_a_cold_node_without_a_stated_budget_gets_one_usual_transfer_a_turn(self):
        of, _ = module(extra={"cold_bears": None}, peers_total=1)
        of.on_endpoints(20_000, EndpointUpdateKind.SNAPSHOT, [line(7, since=20_000)])
        for number in (1, 2):
            of.on_request(20_000, arrival(number, units=1.0, ends=60_000))
        self.assertEqual(of.cold_wait(of.transfers[1], of.nodes[7], 20_000), 0)
        of.dispatch(of.transfers[1], of.nodes[7], 20_000)
        self.assertGreater(of.cold_wait(of.transfers[2], of.nodes[7], 20_000), 0)

    def test_without_a_rule_for_cold_nodes_none_is_held_back(self):
        for rules in ({"fall_multiple": None}, {"fall_ns": None}):
            of, _ = module(rules=rules)
            of.on_endpoints(
                20_000, EndpointUpdateKind.SNAPSHOT, [line(7, since=20_000)]
            )
            of.on_request(20_000, arrival(1, units=8.0, ends=60_000))
            self.assertEqual(
                of.cold_wait(of.transfers[1], of.nodes[7], 20_000), 0, rules
            )


class Choice(unittest.TestCase):
    """Several nodes in a cell: which one, before the queues of that one decide when."""

    def cell(self, *lines, now=0, **parts):
        of, port = module(**parts)
        of.on_endpoints(
            now,
            EndpointUpdateKind.SNAPSHOT,
            [line(number, **entry) for number, entry in lines],
        )
        return of, port

    def test_all_nodes_of_a_cell_are_used(self):
        of, _ = self.cell(*((number, {}) for number in (7, 8, 9)))
        for number in range(12):
            of.on_request(0, arrival(number))
        of.dispatch_pending(0)
        self.assertEqual(
            [
                len(of.nodes[each].out) + len(of.nodes[each].extents)
                for each in (7, 8, 9)
            ],
            [4, 4, 4],
        )

    def test_without_cells_any_node_takes_any_transfer(self):
        of, port = self.cell((7, {}), (8, {}), extra={"slots_total": None})
        for number in (1, 2):
            of.on_request(0, arrival(number))
        of.dispatch_pending(0)
        self.assertEqual({node for _, node, _ in port.of("send_attempt")}, {7, 8})

    def test_what_a_resting_node_holds_goes_to_another_of_its_cell(self):
        of, _ = self.cell((7, {}), (8, {}))
        for number in range(12):
            of.on_request(0, arrival(number))
        of.dispatch_pending(0)
        gone = next(iter(of.nodes[7].out))
        of.on_attempt_result(
            100, answer(gone.transfer.id, AttemptOutcome.REJECTED, latency=100)
        )
        self.assertFalse(of.nodes[7].extents)
        of.dispatch_pending(100)
        self.assertFalse(of.nodes[7].extents)

    def test_a_further_dispatch_prefers_another_node_of_the_cell_where_the_rules_let_it(
        self,
    ):
        for repeats, group, zone, elsewhere in (
            ("free", "all", 1, True),
            ("guarded", "zone", 0, True),
            ("guarded", "zone", 1, False),
            ("guarded", "cell", 1, True),
        ):
            of, _ = self.cell(
                (7, {}),
                (8, {"zone": zone}),
                classes=category(idempotency=repeats, group=group, window_ns=SECOND),
            )
            of.on_request(0, arrival(1))
            one = of.transfers[1]
            of.hold(one, of.nodes[7], 0)
            of.dispatch(one, of.nodes[7], 0)
            of.on_attempt_result(100, answer(1, AttemptOutcome.ERROR, latency=100))
            self.assertTrue(of.place(one, 100))
            self.assertIs(
                one.node, of.nodes[8 if elsewhere else 7], (repeats, group, zone)
            )

    def test_what_finds_no_credit_any_more_stands_in_a_queue_and_is_given_up_in_time(
        self,
    ):
        of, port = self.cell((7, {}), (8, {}))
        of.on_request(0, arrival(1))
        of.unplaced.clear()
        of.dispatch(of.transfers[1], of.nodes[7], 0)
        of.on_attempt_result(100, answer(1, AttemptOutcome.ERROR, latency=100))
        for each in of.nodes.values():
            each.credit, each.rest_until = 0, 19_000  # behind its target
        of.dispatch_pending(5_000)
        self.assertEqual((len(port.of("reject")), of.unplaced), (1, []))

    def test_a_cold_node_whose_part_is_spent_is_passed_over(self):
        of, _ = self.cell((7, {}), (8, {"since": 20_000}), now=20_000)
        of.nodes[8].sends.append((20_000, 99.0))
        of.on_request(20_000, arrival(1, ends=40_000))
        of.place(of.transfers[1], 20_000)
        self.assertIs(of.transfers[1].node, of.nodes[7])

    def test_a_new_object_stays_in_the_cell_where_it_may_have_run(self):
        of, _ = self.cell((7, {}), (8, {"cell": 1}), (9, {}))
        of.on_request(0, arrival(1, cell=None))
        of.dispatch(of.transfers[1], of.nodes[7], 0)
        of.transfers[1].dispatches[0].outcome = AttemptOutcome.RESET
        self.assertEqual(of.choice(of.transfers[1]), [of.nodes[7], of.nodes[9]])

    def test_a_node_that_leaves_hands_over_to_those_that_stay(self):
        of, _ = self.cell((7, {}), (8, {}))
        of.on_request(0, arrival(1))
        of.hold(of.transfers[1], of.nodes[7], 0)
        of.on_endpoints(
            5, EndpointUpdateKind.DELTA, [line(7, readiness=Readiness.DRAINING)]
        )
        of.place(of.transfers[1], 5)
        self.assertIs(of.transfers[1].node, of.nodes[8])

    def test_the_fewer_gateways_the_wider_a_crowded_nodes_window_stays(self):
        for gateways, least in ((1, 4.5), (2, 3.0), (8, 1.0), (300, 1.0)):
            of, _ = self.cell((7, {}), peers_total=gateways)
            of.nodes[7].window, of.nodes[7].pace = 5.0, 10_000.0
            for number in range(60):
                of.on_request(0, arrival(number, ends=200_000))
                of.dispatch(of.transfers[number], of.nodes[7], 0)
                of.learn(
                    of.nodes[7].out[-1],
                    answer(number, AttemptOutcome.SUCCEEDED, latency=20_000),
                    0,
                )
                of.nodes[7].best = 1.0
                of.clear = 1.0
            self.assertEqual(of.nodes[7].window, least)
            of.sign(of.nodes[7], Sign.LAPSE, 0)
            self.assertEqual(of.nodes[7].window, least)

    def test_behind_its_extent_a_transfer_takes_less(self):
        of, _ = self.cell((7, {}), (8, {}))
        of.clear = 200.0
        of.on_request(0, arrival(1, extent=5))
        of.on_request(0, arrival(2, extent=5))
        of.hold(of.transfers[1], of.nodes[7], 0)
        of.nodes[8].strain = of.nodes[7].strain = 0.0
        of.nodes[7].latency = of.nodes[8].latency = 1.0
        grudge = [
            of.reluctance(of.transfers[2], of.nodes[each], 0)[3]
            - of.strain_of(of.nodes[each])
            for each in (7, 8)
        ]
        self.assertEqual(grudge, [-0.04, 0.0])


class Absent(unittest.TestCase):
    """What is not there, or is nothing: served with that feature off."""

    def test_without_plans_transfers_are_taken_under_the_plainest(self):
        for plans in ([], None):
            of, port = module(plans=plans)
            of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7)])
            of.on_request(0, arrival(1))
            of.dispatch_pending(0)
            self.assertEqual(len(port.of("send_attempt")), 1)

    def test_where_no_plan_has_a_reserve_all_go_by_their_target_times(self):
        for plans, reserved in (
            ([{}], True),
            ([{}, {"guaranteed": 1.0}], False),
            ([{"usual_rate": 1.0}], False),
            ([{"usual_rate": 80.0}], True),
            ([{"usual_rate": 80.0}, {"guaranteed": 1.0}], False),
        ):
            of, _ = module(plans=plans)
            for number in range(9):
                of.on_request(0, arrival(number, units=8.0))
            self.assertEqual(of.transfers[8].reserved, reserved)

    def test_a_transfer_without_units_counts_as_a_usual_one(self):
        for units in (0.0, -1.0, float("nan"), float("inf")):
            of, _ = module()
            of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7)])
            of.on_request(0, arrival(1, units=units))
            of.dispatch(of.transfers[1], of.nodes[7], 0)
            of.on_attempt_result(100, answer(1, AttemptOutcome.SUCCEEDED, over=True))
            self.assertEqual(of.nodes[7].pace, 200.0)

    def test_one_time_of_a_category_stands_for_the_other(self):
        for given, both in (
            ({"aim_ns": None}, 20_000),
            ({"hard_limit_ns": None}, 5_000),
            ({"aim_ns": 0}, 20_000),
        ):
            one = facts_of(settings(classes=category(**given)))["categories"][0]
            self.assertEqual((one["target_time"], one["patience"]), (both, both))

    def test_a_stretched_target_grows_with_the_work(self):
        of, _ = module(classes=category(aim_stretch=3.0))
        of.clear = 100.0
        for number, units, target in (
            (1, 2.0, 5_600),
            (2, 8.0, 7_400),
            (3, 80.0, 20_000),
        ):
            of.on_request(0, arrival(number, units=units))
            self.assertEqual(of.transfers[number].target, target)

    def test_sizes_that_follow_load_say_nothing_of_what_a_node_can_do(self):
        for weights, size in (("live", 1), ("nominal", 0.25)):
            of, _ = module(weights=weights)
            entry = line(7)
            object.__setattr__(entry, "size", 0.25)
            of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [entry])
            self.assertEqual(of.nodes[7].size, size)

    def test_an_absurd_size_counts_as_one(self):
        for size in (0.0, -1.0, float("nan"), float("inf")):
            of, _ = module()
            entry = line(7)
            object.__setattr__(entry, "size", size)
            of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [entry])
            self.assertEqual(of.nodes[7].size, 1)

    def test_a_node_at_home_is_preferred_where_crossing_costs(self):
        of, _ = module(fees={"cross_zone": 0.02}, zone=1)
        of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7), line(8, zone=1)])
        for number in range(3):
            of.on_request(0, arrival(number, units=0.001))
            of.place(of.transfers[number], 0)
            self.assertIs(of.transfers[number].node, of.nodes[8])

    def test_what_no_setting_tells_of_costs_only_itself(self):
        for strange in ({"category": 9}, {"plan": 9}):
            of, port = module()
            of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7)])
            of.on_request(0, arrival(1, **strange))
            of.on_request(0, arrival(2))
            of.dispatch_pending(0)
            self.assertEqual(
                (port.of("reject"), [sent[0] for sent in port.of("send_attempt")]),
                ([(1, 0)], [2]),
            )

    def test_news_of_what_was_never_heard_of_costs_nothing(self):
        of, port = module()
        of.on_endpoints(
            0, EndpointUpdateKind.DELTA, [line(9, readiness=Readiness.GONE), line(7)]
        )
        of.on_attempt_result(1, answer(5, AttemptOutcome.SUCCEEDED))
        of.on_client_cancelled(1, 5)
        of.on_timer(1, None)
        of.on_request(1, arrival(1))
        of.on_request(1, arrival(2, cell=99))
        of.dispatch_pending(1)
        self.assertEqual([sent[:2] for sent in port.of("send_attempt")], [(1, 7)])

    def test_nothing_is_kept_to_be_late_where_late_answers_have_no_utility(self):
        for late, plan, kept in (
            (0.2, {"guaranteed": 90.0}, 1),
            (0.0, {"guaranteed": 90.0}, 0),
            (0.2, {}, 0),
        ):
            of, port = module(classes=category(late_value=late), plans=[plan])
            of.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [line(7)])
            of.on_request(0, arrival(1))
            of.nodes[
                7
            ].rest_until = 6_000  # behind its target, before its client's time
            of.dispatch_pending(0)
            self.assertEqual(
                (len(of.nodes[7].background), len(port.of("reject"))), (kept, 1 - kept)
            )


class Words(unittest.TestCase):
    """What cannot be meant is one line that names its field."""

    def test_each_names_its_field(self):
        for field, parts in (
            ("classes[0].aim_ns", {"classes": category(aim_ns="soon")}),
            ("classes[0].aim_ns", {"classes": category(aim_ns=None, hard_limit_ns=0)}),
            ("classes[0].worth", {"classes": category(worth=-1)}),
            ("classes", {"classes": 5}),
            ("plans[0].ceiling_rate", {"plans": [{"ceiling_rate": float("nan")}]}),
            ("plans", {"plans": [3]}),
            ("peers_total", {"peers_total": float("inf")}),
            ("rules.cold_from", {"rules": {"cold_from": 2}}),
            ("limits.cancel", {"limits": {"cancel": "no"}}),
            ("extra.largest", {"extra": {"largest": [8]}}),
            ("extra.writes", {"extra": {"writes": [1]}}),
            ("zones", {"zones": "a"}),
            ("membership_mode", {"membership_mode": 1}),
            ("rules", {"rules": [1]}),
            ("resolution_ns", {"resolution_ns": True}),
            ("report.fields", {"report": {"fields": [None]}}),
        ):
            whole = {**settings(), "report": {}}
            for name, part in parts.items():
                whole[name] = (
                    {**whole[name], **part} if isinstance(part, dict) else part
                )
            with self.assertRaises(ValueError, msg=field) as caught:
                facts_of(whole)
            self.assertTrue(
                str(caught.exception).startswith(field + ":"), str(caught.exception)
            )
            self.assertNotIn("\n", str(caught.exception))

    def test_unknown_names_are_found_and_missing_ones(self):
        given = settings(limits={"burst": 3}, rules={"fall_ns": None})
        given["classes"][0]["colour"] = given["shape"] = 1
        self.assertEqual(unknown_in(given), ["shape", "classes.colour", "limits.burst"])
        self.assertEqual(
            missing_in(
                given, ("rules.fall_ns", "rules.fall_multiple", "fees.waste", "tier")
            ),
            ["rules.fall_ns", "fees.waste", "tier"],
        )


if __name__ == "__main__":
    unittest.main()
