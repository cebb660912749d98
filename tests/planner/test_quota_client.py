"""Tests of the quota client: requested demand, and shares passed to the scheduler."""

import unittest
from unittest.mock import Mock

from google.protobuf import text_format
from prometheus_client import CollectorRegistry
from twisted.internet.task import Clock

from milletsill.interface import Endpoint, Readiness
from milletsill.planner.quota_client import QuotaClient, QuotaClientEnvironment
from milletsill.planner.quota_client_config import QuotaClientConfig
from milletsill.planner.quota_terms import GRANT_GUARD, SECOND
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.sftp_gateway.deployment import config_of

GATEWAY = """
name: "e" listen: "127.0.0.1:0" gateways: 4 seed: 5 registry { address: "127.0.0.1:1" }
planner { address: "127.0.0.1:1" lending { longest_s: 2 } ask_s: 0.2 }
rules { cold_units: 40 cold_window_ms: 2000 warm_after_s: 12 }
plan { name: "p" usual_rate: 10 reserve_rate: 5 limit_rate: 20 limit_store: 40 }
category { name: "c" target_ms: 300 patience_ms: 1000 }
volume { name: "v" root: "/v" plan: "p" cell: [0] } route { category: "c" }
"""


class RecordingScheduler:
    """A scheduler host that records the shares passed to it."""

    def __init__(self):
        self.shares = []
        self.active = {}
        self.max_decision_age = 0

    def on_quota_share(self, *values):
        self.shares.append(values)


class QuotaClientDecisions(unittest.TestCase):
    def setUp(self):
        self.now = 1000 * SECOND
        self.scheduler = RecordingScheduler()
        self.clock = Clock()

    def client(self, incarnation=1):
        file = text_format.Parse(GATEWAY, GatewayFile())
        environment = QuotaClientEnvironment(
            self.clock,
            lambda: self.now,
            self.scheduler,
            lambda *_, **__: None,
            CollectorRegistry(),
        )
        config = QuotaClientConfig.from_settings(file, config_of(file))
        return QuotaClient(config, environment, incarnation, 1)

    def test_the_slow_start_budget_of_a_listed_node_is_shared(self):
        client = self.client(incarnation=2)
        client.on_endpoints(
            [
                Endpoint(7, Readiness.READY, 4.0, 0, 0, self.now - SECOND, 3),
                Endpoint(8, Readiness.READY, 4.0, 0, 0, None, 4),
            ]
        )
        self.assertEqual({each[:2] for each in self.scheduler.shares}, {("cold", 7)})
        self.assertAlmostEqual(
            self.scheduler.shares[0][2], 0.2 / 4, delta=1e-5
        )  # the floor, since the gateway has restarted
        self.assertEqual(client.slow_start_nodes, {3: 7})

    def test_the_share_of_a_node_is_passed_again_with_each_listing(self):
        """The scheduler may have dropped the share of a node that was gone."""
        client = self.client(incarnation=2)
        for _ in range(2):
            client.on_endpoints(
                [Endpoint(7, Readiness.READY, 4.0, 0, 0, self.now - SECOND, 3)]
            )
        self.assertGreaterEqual(
            sum(each[:2] == ("cold", 7) for each in self.scheduler.shares), 2
        )

    def test_volumes_are_tracked_from_the_start_and_the_floor_ends_by_timer(self):
        client = self.client(incarnation=2)
        client.start()
        self.addCleanup(client.stop)
        self.assertEqual(
            {each[:2] for each in self.scheduler.shares}, {("limit", 1), ("reserve", 1)}
        )
        self.scheduler.shares.clear()
        self.now += 2 * SECOND
        self.clock.advance(2)
        self.assertIn(("limit", 1, None), {each[:3] for each in self.scheduler.shares})

    def test_quotas_of_warm_nodes_are_dropped(self):
        client = self.client()
        for node in range(50):
            client.on_endpoints(
                [Endpoint(node, Readiness.READY, 4.0, 0, 0, self.now - SECOND, 3)]
            )
        client.on_tick()
        self.assertEqual(
            [each for each in client.demands if each.kind == "cold"], [("cold", 49)]
        )
        self.assertEqual(
            (
                len(client.ledger.holdings),
                len(client.forecasts),
                len(client.quota_rates),
            ),
            (1, 1, 1),
        )
        self.assertIn(("cold", 3, None, 0, 0.0), self.scheduler.shares)

    def test_requests_without_an_attempt_count_as_demand(self):
        client = self.client()
        client.track_volume(1, 4, client.config.plans[0], 0.0)
        self.scheduler.active = {
            1: Mock(
                answered=False,
                attempts=[],
                request=Mock(volume=1, shard=None, units=3.0),
            ),
            2: Mock(
                answered=False,
                attempts=[1],
                request=Mock(volume=1, shard=None, units=9.0),
            ),
        }
        self.assertEqual(client.waiting_units()["limit", 1], 3.0)

    def test_the_scheduler_host_gets_the_grant_guard_as_max_decision_age(self):
        self.client()
        self.assertEqual(self.scheduler.max_decision_age, GRANT_GUARD)


if __name__ == "__main__":
    unittest.main()
