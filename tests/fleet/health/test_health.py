"""Shared health at gateways: scheduler advice, settings, and agreement on verdicts."""

import re
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from prometheus_client import CollectorRegistry
from twisted.internet.task import Clock

from milletsill.fleet.health.shared_health import (
    HealthConfig,
    HealthEnvironment,
    SharedHealth,
)
from milletsill.fleet.health.tuning import ADVICE_PERIODS, SECOND
from milletsill.fleet.health.verdict_table import HealthVerdict
from milletsill.fleet.transport import Member, MemberState, MessageKind, View
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    Readiness,
    Request,
)
from milletsill.lab.health_scenario import HealthScenario
from milletsill.lab.health_simulation import HealthSimulation
from milletsill.settings.gateway_file import check_gateway
from milletsill.settings.load import parse
from milletsill.settings.milletsill_pb2 import FleetLink, GatewayFile


class Advice(unittest.TestCase):
    def simulation(self, fault="calm"):
        return HealthSimulation(
            HealthScenario(
                fault=fault,
                knowledge="alone",
                seed=3,
                gateways=6,
                nodes=8,
                rate=60.0,
                begins=1,
                ends=3,
                lasts=4,
            )
        )

    def test_only_effective_advice_changes_scheduling_decisions(self):
        """Advice on an unlisted node and expired advice must have no effect."""

        def attempts_sent(advise):
            simulation, sent = self.simulation(), []
            for number, gateway in enumerate(simulation.gateways):
                send = gateway.send_attempt
                gateway.send_attempt = (
                    lambda transfer, node, timeout, send=send, number=number: (
                        sent.append((simulation.now, number, transfer, node, timeout)),
                        send(transfer, node, timeout),
                    )
                )
            for at in range(0, 4 * SECOND, 1000):
                simulation.call_at(at, advise, simulation)
            simulation.play()
            return sent

        unadvised = attempts_sent(lambda simulation: None)
        self.assertGreater(len(unadvised), 200)
        for ineffective in (
            lambda simulation: [
                each.scheduler.on_health_advice(
                    simulation.now, 99, 4.0, True, simulation.now + 3000
                )
                for each in simulation.gateways
            ],
            lambda simulation: [
                each.scheduler.on_health_advice(
                    simulation.now, 1, 4.0, True, simulation.now
                )
                for each in simulation.gateways
            ],
        ):
            self.assertEqual(attempts_sent(ineffective), unadvised)
        avoiding = attempts_sent(
            lambda simulation: [
                (
                    each.scheduler.on_health_advice(
                        simulation.now, 1, 4.0, True, simulation.now + 3000
                    ),
                    each.dispatch_soon(),
                )
                for each in simulation.gateways
            ]
        )
        count = [
            sum(node == 1 for _, _, _, node, _ in each)
            for each in (unadvised, avoiding)
        ]
        self.assertLess(count[1], count[0] / 2)

    def test_advice_expires_and_own_recent_results_take_precedence(self):
        simulation = self.simulation()
        simulation.start()
        simulation.run(SECOND)
        scheduler = simulation.gateways[0].scheduler
        node = scheduler.state.nodes[1]
        node.last_response_at = node.failed_at = -9 * SECOND
        scheduler.on_health_advice(simulation.now, 1, 4.0, True, simulation.now + 3000)
        self.assertEqual(node.backoff_until, simulation.now + 3000)
        request = SimpleNamespace(shard=None, key=0, node=None, attempts=[], units=1)
        placement_cost = scheduler.placement.placement_cost
        advised = placement_cost(request, node, simulation.now)[3]
        self.assertAlmostEqual(
            advised - placement_cost(request, node, simulation.now + 3000)[3], 4.0
        )
        node.backoff_until, node.failures = 0, 2
        node.last_response_at = simulation.now
        scheduler.on_health_advice(simulation.now, 1, 4.0, True, simulation.now + 3000)
        self.assertEqual((node.backoff_until, node.failures), (0, 2))
        node.last_response_at, node.backoff_until = -9 * SECOND, simulation.now + SECOND
        scheduler.on_health_advice(
            simulation.now, 1, 0.0, False, simulation.now + 3000
        )  # this gateway is chosen to probe the node
        self.assertEqual(
            (node.backoff_until <= simulation.now, node.failures), (True, 0)
        )


class Settings(unittest.TestCase):
    def test_settings_out_of_bounds_are_rejected(self):
        text = Path("examples/fleet-1.textproto").read_text("utf-8")
        text = re.sub(r"health *{[^}]*}", "", text).replace(
            "fleet {", "fleet { health { HERE }", 1
        )
        parse(text.replace("HERE", "lasts_s: 3"), "f", GatewayFile, check_gateway)
        for invalid, expected_text in (
            ("publish_ms: 2", "publish_ms"),
            ("lasts_s: 1", "renewed"),
            ("most_part: 0.9", "most_part"),
        ):
            with self.assertRaisesRegex(Exception, expected_text):
                parse(text.replace("HERE", invalid), "f", GatewayFile, check_gateway)


class LoopbackTransport:
    """A fleet transport that delivers each message at once."""

    def __init__(self, name, transports):
        self.name = name
        self.incarnation = 1
        self.view = View(0, ())
        self.on_frame = None
        self.on_view = None
        self.transports = transports
        transports[name] = self

    def send(self, member, kind, body):
        self.transports[member].on_frame(self.name, self.incarnation, body)
        return True

    def subscribe(self, kind, on_frame):
        assert kind is MessageKind.HEALTH
        self.on_frame = on_frame

    def watch_view(self, on_view):
        self.on_view = on_view


class Gateways(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.transports = {}
        self.events = []

    def now(self):
        return int(self.clock.seconds() * SECOND)

    def make_gateway(self, number):
        fleet = FleetLink(most_members=1024)
        fleet.health.publish_ms = 300
        fleet.health.lasts_s = 6
        fleet.health.most_part = 0.34
        environment = HealthEnvironment(
            self.clock,
            self.now,
            LoopbackTransport(f"edge-{number}", self.transports),
            mock.Mock(),
            mock.Mock(),
            lambda event, **values: self.events.append((event, values)),
            CollectorRegistry(),
        )
        config = HealthConfig.from_settings(fleet, 64, [3000])
        return SharedHealth(config, environment, number)

    def test_gateways_agree_advise_their_schedulers_and_stop(self):
        endpoints = [
            Endpoint(each, Readiness.READY, 2.0, 0, 0, None, each) for each in range(6)
        ]
        gateways = [self.make_gateway(each) for each in range(6)]
        for each in gateways:
            each.start()
            each.on_endpoints(EndpointUpdateKind.SNAPSHOT, endpoints)
        members = [Member(name, "", 1, MemberState.ALIVE) for name in self.transports]
        for each in gateways:
            each.on_view(View(1, members), ())
        request = Request(1, 1, 1, 1, 0, 0, False, False, None, 1, 99_000)
        for step in range(200):
            self.clock.advance(0.1)
            node = step % 6
            lost = node == 2 and step > 60
            outcome = AttemptOutcome.TIMED_OUT if lost else AttemptOutcome.SUCCEEDED
            for each in gateways:
                result = AttemptResult(1, 0, node, outcome, not lost, 300, None, 0, {})
                each.environment.scheduler.on_attempt_ended(self.now(), request, result)
        self.assertTrue(
            all(
                each.evaluator.nodes[2].verdict is HealthVerdict.FAILING
                for each in gateways
            )
        )
        self.assertTrue(
            any(
                event == "node_verdict_changed"
                and values["node"] == 2
                and values["new"] == "failing"
                for event, values in self.events
            )
        )
        last_advice = [
            call.args
            for each in gateways
            for call in each.environment.scheduler.on_health_advice.call_args_list[-1:]
        ]
        self.assertTrue(
            any(avoid for _, _, avoid, _ in last_advice)
            and all(
                until == self.now() + ADVICE_PERIODS * 3000 or until > self.now()
                for _, _, _, until in last_advice
            )
        )
        gateways[0].on_frame("edge-1", 1, b"\xff")
        self.assertEqual(
            gateways[0].environment.warn.call_args.kwargs["error"],
            "MalformedHealthReportError",
        )
        for each in gateways:
            each.stop()
        self.assertEqual(self.clock.getDelayedCalls(), [])


if __name__ == "__main__":
    unittest.main()
