"""Settings with unusual or missing parts, from parsing to the scheduler's behaviour."""

import unittest

from milletsill.deployment_settings import (
    config_from_settings,
    missing_settings,
    unknown_settings,
)
from milletsill.interface import AttemptOutcome, EndpointUpdateKind, Readiness
from milletsill.scheduler.transitions import TimerToken
from tests.support.scheduler_builders import attempt_result, endpoint
from tests.support.settings_builders import (
    make_scheduler,
    request,
    request_class,
    settings,
)


class MissingRuleSettings(unittest.TestCase):
    """How the scheduler's rules hold where a setting is missing."""

    def test_a_key_keeps_its_order_without_a_timer_resolution(self):
        scheduler, _ = make_scheduler(
            resolution_ns=None, classes=request_class(sequential=True)
        )
        scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [endpoint(7)])
        for number in (1, 2):
            scheduler.on_request(0, request(number, key=5))
        self.assertGreater(
            scheduler.ordering.wait_time(scheduler.state.requests[2], 0), 0
        )

    def test_a_limit_is_shared_by_all_gateways_if_a_volumes_are_unknown(self):
        for sharing_gateways, divisor in ((0, 4), (1, 1), (3, 3)):
            scheduler, _ = make_scheduler(
                plans=[{"name": "p", "ceiling_rate": 8.0, "most_at_once": 8.0}]
            )
            scheduler.on_request(
                100_000, request(1, sharing_gateways=sharing_gateways, deadline=200_000)
            )
            scheduler.rate_limiter.wait_time(scheduler.state.requests[1], 100_000)
            self.assertAlmostEqual(
                scheduler.volumes.by_id[1].limit.level, 8.0 / divisor
            )

    def test_a_retry_budget_without_a_window_still_holds(self):
        scheduler, _ = make_scheduler(rules={"resend_span_ns": 0, "further_ratio": 0.1})
        scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [endpoint(7)])
        scheduler.on_request(0, request(1))
        scheduler.gate.send(scheduler.state.requests[1], scheduler.state.nodes[7], 0)
        self.assertGreater(
            scheduler.retry_policy.wait_time(
                scheduler.state.requests[1], scheduler.state.nodes[7], 5
            ),
            0,
        )

    def test_the_endpoint_list_is_watched_unless_it_is_pushed(self):
        for mode, watches in (
            ("pushed", 0),
            ("on_request", 1),
            ("polled", 1),
            (None, 1),
        ):
            _, effects = make_scheduler(membership_mode=mode)
            self.assertEqual(len(effects.calls_of("watch_endpoints")), watches, mode)

    def test_failed_watches_are_paced_without_a_configured_time(self):
        scheduler, effects = make_scheduler(rules={"ask_within_ns": None})
        for _ in range(3):
            scheduler.on_endpoints(0, EndpointUpdateKind.FAILED, [])
            scheduler.on_timer(0, TimerToken.RENEW_WATCH)
        timer_times = [
            timer_time
            for timer_time, token in effects.calls_of("set_timer")
            if token == TimerToken.RENEW_WATCH
        ]
        self.assertGreater(timer_times[1], 0)
        self.assertLessEqual(max(timer_times), 20_000)  # the longest client timeout

    def test_slow_start_without_a_budget_allows_one_mean_request(self):
        scheduler, _ = make_scheduler(extra={"cold_bears": None}, peers_total=1)
        scheduler.on_endpoints(
            20_000, EndpointUpdateKind.SNAPSHOT, [endpoint(7, started_at=20_000)]
        )
        for number in (1, 2):
            scheduler.on_request(20_000, request(number, units=1.0, deadline=60_000))
        self.assertEqual(
            scheduler.slow_start.wait_time(
                scheduler.state.requests[1], scheduler.state.nodes[7], 20_000
            ),
            0,
        )
        scheduler.gate.send(
            scheduler.state.requests[1], scheduler.state.nodes[7], 20_000
        )
        self.assertGreater(
            scheduler.slow_start.wait_time(
                scheduler.state.requests[2], scheduler.state.nodes[7], 20_000
            ),
            0,
        )

    def test_without_slow_start_settings_no_request_is_held_back(self):
        for rules in ({"fall_multiple": None}, {"fall_ns": None}):
            scheduler, _ = make_scheduler(rules=rules)
            scheduler.on_endpoints(
                20_000, EndpointUpdateKind.SNAPSHOT, [endpoint(7, started_at=20_000)]
            )
            scheduler.on_request(20_000, request(1, units=8.0, deadline=60_000))
            self.assertEqual(
                scheduler.slow_start.wait_time(
                    scheduler.state.requests[1], scheduler.state.nodes[7], 20_000
                ),
                0,
                rules,
            )


class MissingSettings(unittest.TestCase):
    """Missing or empty settings turn off the feature that they configure."""

    def test_without_service_plans_requests_use_a_default_plan(self):
        for plans in ([], None):
            scheduler, effects = make_scheduler(plans=plans)
            scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [endpoint(7)])
            scheduler.on_request(0, request(1))
            scheduler.dispatch_pending(0)
            self.assertEqual(len(effects.calls_of("send_attempt")), 1)

    def test_usual_rates_stand_in_for_reserves_if_no_plan_has_one(self):
        for plans, reserved in (
            ([{}], True),
            ([{}, {"guaranteed": 1.0}], False),
            ([{"usual_rate": 1.0}], False),
            ([{"usual_rate": 80.0}], True),
            ([{"usual_rate": 80.0}, {"guaranteed": 1.0}], False),
        ):
            scheduler, _ = make_scheduler(plans=plans)
            for number in range(9):
                scheduler.on_request(0, request(number, units=8.0))
            self.assertEqual(scheduler.state.requests[8].is_reserved, reserved)

    def test_a_request_without_valid_units_counts_as_a_mean_one(self):
        for units in (0.0, -1.0, float("nan"), float("inf")):
            scheduler, _ = make_scheduler()
            scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [endpoint(7)])
            scheduler.on_request(0, request(1, units=units))
            scheduler.gate.send(
                scheduler.state.requests[1], scheduler.state.nodes[7], 0
            )
            scheduler.on_attempt_result(
                100, attempt_result(1, AttemptOutcome.SUCCEEDED, finished=True)
            )
            self.assertEqual(scheduler.state.nodes[7].unit_latency, 200.0)

    def test_a_missing_objective_or_client_timeout_is_taken_from_the_other(self):
        for overrides, expected in (
            ({"aim_ns": None}, 20_000),
            ({"hard_limit_ns": None}, 5_000),
            ({"aim_ns": 0}, 20_000),
        ):
            first_class = config_from_settings(
                settings(classes=request_class(**overrides))
            ).request_classes[0]
            self.assertEqual(
                (first_class.latency_objective, first_class.client_timeout),
                (expected, expected),
            )

    def test_objective_stretch_extends_the_target_by_the_work(self):
        scheduler, _ = make_scheduler(classes=request_class(aim_stretch=3.0))
        scheduler.estimator.unit_time = 100.0
        for number, units, target in (
            (1, 2.0, 5_600),
            (2, 8.0, 7_400),
            (3, 80.0, 20_000),
        ):
            scheduler.on_request(0, request(number, units=units))
            self.assertEqual(scheduler.state.requests[number].target, target)

    def test_sizes_that_follow_load_are_not_taken_as_capacity(self):
        for weights, size in (("live", 1), ("nominal", 0.25)):
            scheduler, _ = make_scheduler(weights=weights)
            entry = endpoint(7)
            object.__setattr__(entry, "size", 0.25)
            scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [entry])
            self.assertEqual(scheduler.state.nodes[7].size, size)

    def test_an_invalid_size_counts_as_one(self):
        for size in (0.0, -1.0, float("nan"), float("inf")):
            scheduler, _ = make_scheduler()
            entry = endpoint(7)
            object.__setattr__(entry, "size", size)
            scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [entry])
            self.assertEqual(scheduler.state.nodes[7].size, 1)

    def test_a_node_of_the_same_zone_is_preferred_if_crossing_zones_costs(self):
        scheduler, _ = make_scheduler(fees={"cross_zone": 0.02}, zone=1)
        scheduler.on_endpoints(
            0, EndpointUpdateKind.SNAPSHOT, [endpoint(7), endpoint(8, zone=1)]
        )
        for number in range(3):
            scheduler.on_request(0, request(number, units=0.001))
            scheduler.placement.place(scheduler.state.requests[number], 0)
            self.assertIs(
                scheduler.state.requests[number].node, scheduler.state.nodes[8]
            )

    def test_a_request_of_an_unknown_class_or_plan_is_rejected_alone(self):
        for unknown in ({"request_class": 9}, {"service_plan": 9}):
            scheduler, effects = make_scheduler()
            scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [endpoint(7)])
            scheduler.on_request(0, request(1, **unknown))
            scheduler.on_request(0, request(2))
            scheduler.dispatch_pending(0)
            self.assertEqual(
                (
                    effects.calls_of("reject"),
                    [sent[0] for sent in effects.calls_of("send_attempt")],
                ),
                ([(1, 0)], [2]),
            )

    def test_events_about_unknown_nodes_and_requests_are_ignored(self):
        scheduler, effects = make_scheduler()
        scheduler.on_endpoints(
            0,
            EndpointUpdateKind.DELTA,
            [endpoint(9, readiness=Readiness.GONE), endpoint(7)],
        )
        scheduler.on_attempt_result(1, attempt_result(5, AttemptOutcome.SUCCEEDED))
        scheduler.on_client_cancelled(1, 5)
        scheduler.on_timer(1, None)
        scheduler.on_request(1, request(1))
        scheduler.on_request(1, request(2, shard=99))
        scheduler.dispatch_pending(1)
        self.assertEqual(
            [sent[:2] for sent in effects.calls_of("send_attempt")], [(1, 7)]
        )

    def test_late_requests_are_kept_only_if_late_answers_have_weight(self):
        for late_value, service_plan, queued in (
            (0.2, {"guaranteed": 90.0}, 1),
            (0.0, {"guaranteed": 90.0}, 0),
            (0.2, {}, 0),
        ):
            scheduler, effects = make_scheduler(
                classes=request_class(late_value=late_value), plans=[service_plan]
            )
            scheduler.on_endpoints(0, EndpointUpdateKind.SNAPSHOT, [endpoint(7)])
            scheduler.on_request(0, request(1))
            scheduler.state.nodes[
                7
            ].backoff_until = 6_000  # after its target, before its client's deadline
            scheduler.dispatch_pending(0)
            self.assertEqual(
                (
                    len(scheduler.state.nodes[7].background_queue),
                    len(effects.calls_of("reject")),
                ),
                (queued, 1 - queued),
            )


class InvalidSettings(unittest.TestCase):
    """Each invalid setting is reported in one line that names its field."""

    def test_each_invalid_setting_is_reported_by_its_field(self):
        for field, overrides in (
            ("classes[0].aim_ns", {"classes": request_class(aim_ns="soon")}),
            (
                "classes[0].aim_ns",
                {"classes": request_class(aim_ns=None, hard_limit_ns=0)},
            ),
            ("classes[0].worth", {"classes": request_class(worth=-1)}),
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
            document = {**settings(), "report": {}}
            for name, value in overrides.items():
                document[name] = (
                    {**document[name], **value} if isinstance(value, dict) else value
                )
            with self.assertRaises(ValueError, msg=field) as caught:
                config_from_settings(document)
            self.assertTrue(
                str(caught.exception).startswith(field + ":"), str(caught.exception)
            )
            self.assertNotIn("\n", str(caught.exception))

    def test_unknown_and_missing_settings_are_found(self):
        document = settings(limits={"burst": 3}, rules={"fall_ns": None})
        document["classes"][0]["colour"] = document["shape"] = 1
        self.assertEqual(
            unknown_settings(document), ["shape", "classes.colour", "limits.burst"]
        )
        self.assertEqual(
            missing_settings(
                document, ("rules.fall_ns", "rules.fall_multiple", "fees.waste", "tier")
            ),
            ["rules.fall_ns", "fees.waste", "tier"],
        )


if __name__ == "__main__":
    unittest.main()
