"""Timing of the endpoint watch against a discovery stand-in, on a simulated clock.

A missed endpoint update reaches the scheduler within the platform's six seconds,
counted from when the watch fell silent or from when discovery was reachable again,
whatever happened to earlier calls. The limit is four seconds after SIGHUP, and the
drain grace where lists are pushed.
"""

import unittest
from itertools import product

from milletsill.http_gateway.gateway import HttpGateway
from milletsill.interface import EndpointUpdateKind
from milletsill.scheduler.transitions import TimerToken
from tests.support import http_gateway_rig as shared
from tests.support.discovery_rig import (
    DRAIN_GRACE_S,
    ENDING_FAILURES,
    FAILURES,
    GATEWAY_COUNT,
    MOVE_NOTIFIED_S,
    NOTIFIED_S,
    OUTCOMES,
    DiscoveryServer,
    DiscoveryTest,
    FleetTest,
    OutageTest,
    encode_chunk,
)
from tests.support.scheduler_builders import endpoint, make_scheduler


class SilentWatch(DiscoveryTest):
    def test_an_update_that_a_silent_watch_misses_arrives_within_the_limit(self):
        for first_call, draw, phase in product(OUTCOMES, (0, 1), range(0, 20, 3)):
            service = self.start_gateway(draw)
            self.run_until(service, 8 + phase * 0.1)
            service.outcomes, service.calls = [first_call], []
            service.drain_node()
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                NOTIFIED_S - 0.2,
                (first_call, draw, phase),
            )
            self.assertLessEqual(len(service.calls), 2, (first_call, draw, phase))

    def test_a_late_heartbeat_costs_one_call_and_a_stalled_process_none(self):
        service = self.start_gateway(1)
        self.run_until(service, 6)
        ((beat, protocol, wire),) = service.watches
        beat[0] += 1.5
        service.outcomes, service.calls = ["503"], []
        self.run_until(service, 8)
        self.assertEqual(
            (len(service.calls), wire.aborted, len(service.watches)), (1, False, 1)
        )
        # The process stalls: what arrived meanwhile is read after the timers.
        self.reactor.rightNow += 4
        self.gateway.watcher.check()
        protocol.dataReceived(encode_chunk(b"\n"))
        self.run_until(service, 1)
        self.assertEqual(len(service.calls), 1)

    def test_after_sighup_the_list_arrives_within_the_limit(self):
        for first_call, draw in product(OUTCOMES, (0, 1)):
            service = self.start_gateway(draw)
            self.run_until(service, 8)
            service.outcomes = [first_call]
            service.drain_node()
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                MOVE_NOTIFIED_S - 0.2,
                (first_call, draw),
            )

    def test_a_new_process_calls_at_once_for_pushed_and_requested_lists(self):
        for mode, (first_call, time_limit) in product(
            ("pushed", "on_request"),
            {"good": 0.2, "refused": 1.5, "503": 1.5, "not up": 2.5}.items(),
        ):
            service = DiscoveryServer(self.reactor, [first_call])
            service.drain_node()
            self.gateway = HttpGateway(
                self.deployment(settings=shared.SETTINGS | {"membership_mode": mode}),
                self.reactor,
                self.now,
                0,
                self.gateway.log,
            )
            self.gateway.start()
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                time_limit,
                (mode, first_call),
            )

    def test_many_gateways_whose_watches_fall_silent_at_once(self):
        service = self.start_gateway(call_duration=0.008)
        gateways = [
            HttpGateway(
                self.deployment(seed=f"{seed:016x}"),
                self.reactor,
                self.now,
                0,
                self.gateway.log,
            )
            for seed in range(GATEWAY_COUNT)
        ]
        for gateway in gateways:
            gateway.start()
        self.run_until(service, 8)
        service.outcomes, service.calls = ["503", "good"] * (GATEWAY_COUNT // 4), []
        service.drain_node()
        self.assertLess(
            self.run_until(
                service, 20, lambda: all(map(self.knows_draining, gateways))
            ),
            NOTIFIED_S,
        )
        self.assertLess(len(service.calls), 1.4 * GATEWAY_COUNT)


class DiscoveryOutage(OutageTest):
    def test_after_any_failure_the_list_arrives_six_seconds_after_the_return(self):
        for play, failure, draw, length in product(
            (self.start_in_outage, self.lose_watch), FAILURES, (0, 1), range(0, 130, 7)
        ):
            waited, calls = play(failure, draw, length / 10)
            self.assertLess(
                waited, NOTIFIED_S - 0.2, (play.__name__, failure, draw, length)
            )
            self.assertLessEqual(
                calls, 3 + length / 7.5, (play.__name__, failure, draw, length)
            )  # later calls are at least 0.75 s apart

    def test_an_unanswered_call_right_after_an_outage_leaves_time_for_another(self):
        for play, failure, ways, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ENDING_FAILURES,
            (("no word",), ("head",), ("drip",)),
            (0, 1),
            range(0, 130, 11),
        ):
            self.assertLess(
                play(failure, draw, length / 10, outcomes=ways)[0],
                NOTIFIED_S - 0.1,
                (play.__name__, failure, ways, draw, length),
            )

    def test_a_new_address_that_fails_first_delivers_four_seconds_after_its_return(
        self,
    ):
        for failure, draw, length, old_watch_lives in product(
            FAILURES, (0, 1), range(0, 130, 7), (True, False)
        ):
            self.assertLess(
                self.reload_in_outage(failure, draw, length / 10, old_watch_lives)[0],
                MOVE_NOTIFIED_S - 0.15,
                (failure, draw, length, old_watch_lives),
            )

    def test_an_unanswered_call_at_a_new_address_leaves_time_within_four_seconds(self):
        for first_call, draw, old_watch_lives in product(
            OUTCOMES, (0, 1), (True, False)
        ):
            service = self.create_gateway(draw)
            self.gateway.start()
            self.run_until(service, 8)
            watches = service.drain_node()
            service.outcomes, service.watches = (
                [first_call],
                watches if old_watch_lives else [],
            )
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                MOVE_NOTIFIED_S - 0.2,
                (first_call, draw, old_watch_lives),
            )

    def test_a_pushed_list_arrives_within_the_grace_after_the_return(self):
        for play, failure, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ENDING_FAILURES,
            (0, 1),
            range(3, 130, 7),
        ):
            waited, calls = play(failure, draw, length / 10, "pushed")
            self.assertLess(
                waited, DRAIN_GRACE_S - 0.2, (play.__name__, failure, draw, length)
            )
            self.assertLessEqual(
                calls, 3 + length / 1.25, (play.__name__, failure, draw, length)
            )

    def test_a_list_may_come_indented(self):
        for mode, indent in product(("pushed", "on_request"), (0, 1, 2, "\t")):
            service = self.create_gateway(0, mode)
            service.drain_node()
            service.indent = indent
            self.gateway.start()
            self.assertLess(
                self.run_until(service, 20, self.knows_draining), 0.3, (mode, indent)
            )
            self.assertEqual((len(service.calls), len(service.watches)), (1, 1))

    def test_a_list_without_a_line_end_does_not_wait_for_the_heartbeat(self):
        for mode, indent in product(("pushed", "on_request"), (None, 1)):
            service = self.create_gateway(0, mode)
            service.drain_node()
            service.indent, service.line_end = indent, b""
            self.gateway.start()
            self.assertLess(
                self.run_until(service, 20, self.knows_draining), 0.3, (mode, indent)
            )
            self.run_until(service, 10)  # the heartbeat's line end ends the list's line
            self.assertEqual(
                (len(service.calls), len(service.open_connections())), (1, 1)
            )

    def test_a_rejected_first_call_is_followed_by_a_random_pause(self):
        for mode in ("pushed", "on_request"):
            pauses = []
            for draw in (0, 1):
                service = self.create_gateway(draw, mode)
                service.outcomes = ["503"]
                self.gateway.start()
                self.run_until(service, 3, lambda: len(service.calls) > 1, 0.002)
                pauses.append(service.calls[1] - service.calls[0])
            self.assertGreater(pauses[0], 0.06, (mode, pauses))
            self.assertGreater(pauses[1], 1.4 * pauses[0], (mode, pauses))


class OutageWithManyGateways(FleetTest):
    def test_after_an_outage_all_get_the_list_as_fast_as_the_service_can_serve_it(self):
        for pushed, max_call_rate, max_calls, service_time, patient in (
            (False, 1.2, 3, 0.01, False),
            (False, 1.2, 3, 0.04, False),
            (True, 3.6, 8, 0.01, False),
            (True, 3.6, 8, 0.04, False),
            (False, 1.2, 3, 0.02, True),
            (True, 3.6, 8, 0.02, True),
        ):
            service, members = self.start_fleet(pushed, rejects_late=patient)
            service.outage_outcome, service.outage_end, service.calls = (
                "refused",
                self.reactor.seconds() + self.SPAN,
                [],
            )
            for _, protocol, _ in service.drain_node():
                protocol.connectionLost()
            self.run_fleet(service, members, self.SPAN, lambda: False)
            self.assertLess(
                len(service.calls) / self.FLEET / self.SPAN,
                max_call_rate,
                (pushed, service_time),
            )
            waited, calls = self.measure_recovery(service, members, service_time)
            self.assertLess(
                waited,
                service_time * self.FLEET + (2.0 if patient else 1.0),
                (pushed, service_time, patient),
            )
            self.assertLess(calls, max_calls, (pushed, service_time, patient))

    def test_after_all_watches_fall_silent_all_get_the_list_at_the_services_rate(self):
        for service_time, max_calls in ((0.01, 1.1), (0.02, 2), (0.04, 4)):
            service, members = self.start_fleet()
            service.rejects_late = False
            service.drain_node()
            waited, calls = self.measure_recovery(service, members, service_time)
            self.assertLess(
                waited, max(service_time * self.FLEET + 1.5, 3.5), service_time
            )
            self.assertLess(calls, max_calls, service_time)


class RewatchPause(unittest.TestCase):
    """The scheduler's pause after a failed watch, a share of the notification span."""

    def test_the_pause_grows_to_a_quarter_of_the_notification_span(self):
        for draw, part in ((0, 0.5), (1, 1.0)):
            scheduler, effects = make_scheduler(rewatch_within=60_000)
            scheduler.state.random.uniform = lambda least, most: (least, most)[draw]
            for failed_watches_before, share in (
                (0, 0),
                (1, 1 / 8),
                (2, 1 / 4),
                (3, 1 / 4),
                (9, 1 / 4),
                (400, 1 / 4),
            ):
                scheduler.endpoints.failed_watches = failed_watches_before
                scheduler.on_endpoints(1000, EndpointUpdateKind.FAILED, [])
                self.assertEqual(
                    effects.calls_of("set_timer")[-1],
                    (1000 + int(60_000 * share * part), TimerToken.RENEW_WATCH),
                )

    def test_a_cached_list_does_not_reset_the_count_of_failed_watches(self):
        for watches, kind, expected in (
            (False, EndpointUpdateKind.CACHED, 1),
            (True, EndpointUpdateKind.CACHED, 1),
            (True, EndpointUpdateKind.SNAPSHOT, 0),
            (True, EndpointUpdateKind.DELTA, 0),
        ):
            scheduler, _ = make_scheduler(watches_endpoints=watches)
            scheduler.on_endpoints(0, kind, [endpoint(7)])
            self.assertEqual(
                scheduler.endpoints.failed_watches, expected, (watches, kind)
            )

    def test_the_span_is_the_least_of_settings_and_platform_or_the_drain_grace(self):
        for mode, ask_within, grace, expected in (
            ("on_request", 10, 1, 60_000),
            ("on_request", 4, 1, 39_999),
            ("on_request", 0, 1, 60_000),
            ("pushed", 0, 1, 14_998),
            ("pushed", 10, 1, 14_998),
            ("pushed", 10, 0, 60_000),
            ("pushed", 0, 9, 60_000),
            (None, 0, 0, 60_000),
        ):
            rules = shared.SETTINGS["rules"] | {
                "ask_within_ns": ask_within * 10**9,
                "stop_sending_within_ns": grace * 10**9,
            }
            settings = shared.SETTINGS | {"membership_mode": mode, "rules": rules}
            deployment = shared.parse_configuration(
                shared.CONFIG | {"settings": settings}, {}, 0, list[str]().append
            )
            self.assertEqual(
                deployment.config.rewatch_within, expected, (mode, ask_within, grace)
            )
            self.assertEqual(
                deployment.drain_grace,
                max(grace * 10_000 - 1, 0) if mode == "pushed" else 0,
                (mode, ask_within, grace),
            )


if __name__ == "__main__":
    unittest.main()
