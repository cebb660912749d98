"""Many schedulers in front of one node that has just come up.

What they send it together (rule 4). Simulated time, no bench.
"""

import unittest

from milletsill.interface import EndpointUpdateKind, Request
from tests.support.scheduler_builders import endpoint
from tests.support.slow_start_fleet import Fleet


class ColdNode(unittest.TestCase):
    """No gateway knows of another, and all together stay within what the node bears."""

    def check(
        self,
        gateways,
        rate,
        uses=0.0,
        kinds=((1, True), (2, False), (3, True)),
        **overrides,
    ):
        plays = [
            Fleet(seed, gateways, rate, even, **overrides).play()
            for seed, even in kinds
        ]
        for play in plays:
            self.assertLessEqual(play.most(), 1.0, (gateways, play.even))
        self.assertGreater(
            sum(play.used() for play in plays) / len(plays),
            uses,
            f"a guard that sends nothing, {gateways}",
        )

    def test_two_hundred_gateways_and_little_traffic(self):
        # Less than the 0.15 that N + 3 root N + 3 left room for: at N from 1 to 5.5 a
        # draw may have 0.17 to 0.25 N, not 0.4.
        self.check(
            200,
            40.0,
            0.11,
            slow_start_units=2.0,
            slow_start_multiple=2.5,
            slow_start_initial_fraction=0.18,
            slow_start_duration=150_000,
        )

    def test_two_hundred_gateways_that_all_have_much_to_send(self):
        self.check(
            200,
            300.0,
            0.15,
            slow_start_units=2.0,
            slow_start_multiple=2.5,
            slow_start_initial_fraction=0.18,
            slow_start_duration=150_000,
        )

    def test_a_larger_budget_over_a_longer_window(self):
        self.check(
            200,
            200.0,
            0.15,
            slow_start_units=27.0,
            slow_start_multiple=3.0,
            slow_start_initial_fraction=0.19,
            slow_start_duration=170_000,
            slow_start_window=30_000,
        )

    def test_a_thousand_gateways(self):
        self.check(
            1024,
            150.0,
            0.04,
            slow_start_units=12.0,
            slow_start_multiple=3.0,
            slow_start_initial_fraction=0.3,
            slow_start_duration=60_000,
        )

    def test_few_gateways(self):
        overrides = {
            "slow_start_multiple": 3.0,
            "slow_start_initial_fraction": 0.19,
            "slow_start_duration": 100_000,
            "slow_start_window": 30_000,
        }
        for gateways, units in ((5, 27.0), (5, 3.0), (12, 9.0), (40, 12.0)):
            self.check(gateways, 60.0, 0.12, slow_start_units=units, **overrides)

    def test_few_gateways_and_a_node_quicker_than_promised(self):
        """What it answers is no leave to send it more than the settings let all together send."""
        overrides = {
            "quick": 5.0,
            "slow_start_multiple": 3.0,
            "slow_start_initial_fraction": 0.19,
            "slow_start_duration": 100_000,
            "slow_start_window": 30_000,
        }
        for gateways, rate, units in (
            (5, 60.0, 27.0),
            (5, 90.0, 60.0),
            (12, 120.0, 60.0),
        ):
            self.check(
                gateways,
                rate,
                0.4,
                ((1, True), (2, False)),
                slow_start_units=units,
                **overrides,
            )

    def test_parts_that_pass_a_usual_request_while_the_node_warms(self):
        """Draws at first, whole parts later.

        Both sides of that switch and the windows over it.
        """
        overrides = {
            "slow_start_multiple": 2.5,
            "slow_start_initial_fraction": 0.18,
            "slow_start_duration": 60_000,
        }
        for gateways, units, quick, uses in (
            (12, 9.0, 1.0, 0.3),
            (20, 20.0, 5.0, 0.35),
            (30, 20.0, 1.0, 0.3),
            (30, 12.0, 5.0, 0.15),
        ):
            self.check(
                gateways, 100.0, uses, quick=quick, slow_start_units=units, **overrides
            )

    def test_small_requests_where_a_part_is_below_a_usual_one(self):
        for gateways, units in ((30, 52.0), (60, 104.0)):
            self.check(
                gateways,
                10.0 * gateways,
                0.3,
                ((1, True), (3, True)),
                largest=1,
                mean_request_units=4.0,
                slow_start_units=units,
                slow_start_multiple=2.5,
                slow_start_initial_fraction=0.18,
                slow_start_duration=60_000,
            )

    def test_connections_to_a_quick_node_that_come_up_late(self):
        for gateways, units, way in ((5, 120.0, 10), (20, 80.0, 300)):
            self.check(
                gateways,
                300.0,
                0.5,
                ((1, True), (2, True)),
                quick=5.0,
                way=way,
                late=0.33,
                told=200,
                slow_start_units=units,
                slow_start_multiple=2.5,
                slow_start_initial_fraction=0.18,
                slow_start_duration=60_000,
            )

    def test_all_gateways_restart_at_once(self):
        for gateways, units, uses in (
            (5, 27.0, 0.25),
            (20, 20.0, 0.25),
            (200, 12.0, 0.05),
        ):
            self.check(
                gateways,
                100.0,
                uses,
                ((1, True), (2, False)),
                at_once=True,
                quick=5.0,
                slow_start_units=units,
                slow_start_multiple=2.5,
                slow_start_initial_fraction=0.18,
                slow_start_duration=60_000,
            )

    def test_new_objects_that_may_go_to_other_nodes_as_well(self):
        for gateways, others in ((30, 4), (100, 1)):
            self.check(
                gateways,
                200.0,
                0.1,
                ((1, True), (2, False)),
                others=others,
                new=0.5,
                slow_start_units=8.0,
                slow_start_multiple=2.5,
                slow_start_initial_fraction=0.18,
                slow_start_duration=60_000,
            )

    def test_a_surge_and_clients_that_come_again_elsewhere(self):
        overrides = {
            "surge": 3.0,
            "retries": 2,
            "slow_start_multiple": 2.5,
            "slow_start_initial_fraction": 0.18,
        }
        self.check(
            100,
            30.0,
            0.15,
            ((1, True), (2, False)),
            slow_start_units=4.0,
            slow_start_duration=150_000,
            **overrides,
        )
        for gateways, units, uses in (
            (5, 10.0, 0.2),
            (12, 10.0, 0.2),
            (20, 10.0, 0.15),
            (30, 10.0, 0.15),
            (200, 1.0, 0.02),
            (1024, 12.0, 0.02),
        ):
            self.check(
                gateways,
                60.0,
                uses,
                ((1, True), (2, False)),
                slow_start_units=units,
                slow_start_duration=60_000,
                **overrides,
            )

    def test_what_was_queued_before_the_start_was_known_stays(self):
        fleet = Fleet(
            1,
            200,
            0.001,
            True,
            slow_start_units=12.0,
            slow_start_multiple=2.5,
            slow_start_initial_fraction=0.18,
            slow_start_duration=150_000,
        )
        fleet.events.clear()
        for at in range(0, 4000, 1000):
            for gateway in fleet.gateways:
                fleet.now, id = 50_000 + at, next(fleet.numbers)
                fleet.units[id] = 2
                gateway.scheduler.on_request(
                    fleet.now,
                    Request(
                        id, id, 1, 9, 0, 0, False, False, 0, 2.0, fleet.now + 15_000
                    ),
                )
                gateway.scheduler.dispatch_pending(fleet.now)
        for gateway in fleet.gateways:
            gateway.scheduler.on_endpoints(
                fleet.now, EndpointUpdateKind.SNAPSHOT, [endpoint(7, started_at=54_000)]
            )
            gateway.scheduler.dispatch_pending(fleet.now)
        self.assertEqual(fleet.sent, [])
