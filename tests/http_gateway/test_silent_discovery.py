"""The clock of discovery, played against a stand-in of it on a clock of the test's own.

A list that is missed is in the module within the platform's six seconds, counted from
when a watch fell silent or from when discovery could be reached again, whatever became
of the calls before that; after SIGHUP within four; where lists are pushed within the
drain grace.
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


class Silence(DiscoveryTest):
    def test_what_a_silent_watch_misses_is_in_before_it_counts_as_told(self):
        for way, draw, phase in product(OUTCOMES, (0, 1), range(0, 20, 3)):
            service = self.start_gateway(draw)
            self.run_until(service, 8 + phase * 0.1)
            service.outcomes, service.calls = [way], []
            service.drain_node()
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                NOTIFIED_S - 0.2,
                (way, draw, phase),
            )
            self.assertLessEqual(len(service.calls), 2, (way, draw, phase))

    def test_a_beat_that_is_late_costs_a_call_and_not_the_list_and_a_pause_of_our_own_costs_nothing(
        self,
    ):
        service = self.start_gateway(1)
        self.run_until(service, 6)
        ((beat, protocol, wire),) = service.watches
        beat[0] += 1.5
        service.outcomes, service.calls = ["503"], []
        self.run_until(service, 8)
        self.assertEqual(
            (len(service.calls), wire.aborted, len(service.watches)), (1, False, 1)
        )
        # the process stood still; what had come meanwhile is read after the timers
        self.reactor.rightNow += 4
        self.gateway.watcher.check()
        protocol.dataReceived(encode_chunk(b"\n"))
        self.run_until(service, 1)
        self.assertEqual(len(service.calls), 1)

    def test_after_sighup_the_list_is_in_before_it_counts_as_told(self):
        for way, draw in product(OUTCOMES, (0, 1)):
            service = self.start_gateway(draw)
            self.run_until(service, 8)
            service.outcomes = [way]
            service.drain_node()
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                MOVE_NOTIFIED_S - 0.2,
                (way, draw),
            )

    def test_a_new_process_asks_at_once_whether_lists_are_pushed_or_asked_for(self):
        for mode, (way, within) in product(
            ("pushed", "on_request"),
            {"good": 0.2, "refused": 1.5, "503": 1.5, "not up": 2.5}.items(),
        ):
            service = DiscoveryServer(self.reactor, [way])
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
                self.run_until(service, 20, self.knows_draining), within, (mode, way)
            )

    def test_many_whose_watches_fall_silent_at_once(self):
        service = self.start_gateway(call_duration=0.008)
        fleet = [
            HttpGateway(
                self.deployment(seed=f"{seed:016x}"),
                self.reactor,
                self.now,
                0,
                self.gateway.log,
            )
            for seed in range(GATEWAY_COUNT)
        ]
        for gateway in fleet:
            gateway.start()
        self.run_until(service, 8)
        service.outcomes, service.calls = ["503", "good"] * (GATEWAY_COUNT // 4), []
        service.drain_node()
        self.assertLess(
            self.run_until(service, 20, lambda: all(map(self.knows_draining, fleet))),
            NOTIFIED_S,
        )
        self.assertLess(len(service.calls), 1.4 * GATEWAY_COUNT)


class Outage(OutageTest):
    def test_whatever_failed_before_the_list_is_in_six_seconds_after_discovery_can_be_reached(
        self,
    ):
        for play, way, draw, length in product(
            (self.start_in_outage, self.lose_watch), FAILURES, (0, 1), range(0, 130, 7)
        ):
            waited, calls = play(way, draw, length / 10)
            self.assertLess(
                waited, NOTIFIED_S - 0.2, (play.__name__, way, draw, length)
            )
            self.assertLessEqual(
                calls, 3 + length / 7.5, (play.__name__, way, draw, length)
            )  # later ones 0.75 s apart at least

    def test_a_call_that_is_taken_and_never_answered_right_after_the_outage_leaves_time_for_another(
        self,
    ):
        for play, way, ways, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ENDING_FAILURES,
            (("no word",), ("head",), ("drip",)),
            (0, 1),
            range(0, 130, 11),
        ):
            self.assertLess(
                play(way, draw, length / 10, outcomes=ways)[0],
                NOTIFIED_S - 0.1,
                (play.__name__, way, ways, draw, length),
            )

    def test_a_new_address_that_fails_at_first_has_told_four_seconds_after_it_can_be_reached(
        self,
    ):
        for way, draw, length, beats in product(
            FAILURES, (0, 1), range(0, 130, 7), (True, False)
        ):
            self.assertLess(
                self.reload_in_outage(way, draw, length / 10, beats)[0],
                MOVE_NOTIFIED_S - 0.15,
                (way, draw, length, beats),
            )

    def test_a_call_at_the_new_address_that_is_never_answered_leaves_time_for_another_within_the_four(
        self,
    ):
        for way, draw, beats in product(OUTCOMES, (0, 1), (True, False)):
            service = self.create_gateway(draw)
            self.gateway.start()
            self.run_until(service, 8)
            gone = service.drain_node()
            service.outcomes, service.watches = [way], gone if beats else []
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                MOVE_NOTIFIED_S - 0.2,
                (way, draw, beats),
            )

    def test_where_lists_are_pushed_the_list_is_in_within_the_grace_after_the_return(
        self,
    ):
        for play, way, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ENDING_FAILURES,
            (0, 1),
            range(3, 130, 7),
        ):
            waited, calls = play(way, draw, length / 10, "pushed")
            self.assertLess(
                waited, DRAIN_GRACE_S - 0.2, (play.__name__, way, draw, length)
            )
            self.assertLessEqual(
                calls, 3 + length / 1.25, (play.__name__, way, draw, length)
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

    def test_a_list_without_a_line_end_does_not_wait_for_the_beat(self):
        for mode, indent in product(("pushed", "on_request"), (None, 1)):
            service = self.create_gateway(0, mode)
            service.drain_node()
            service.indent, service.line_end = indent, b""
            self.gateway.start()
            self.assertLess(
                self.run_until(service, 20, self.knows_draining), 0.3, (mode, indent)
            )
            self.run_until(service, 10)  # the beat ends its line
            self.assertEqual(
                (len(service.calls), len(service.open_connections())), (1, 1)
            )

    def test_a_first_call_that_is_turned_away_is_followed_by_a_pause_drawn_by_chance(
        self,
    ):
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


class FullFleet(FleetTest):
    def test_after_an_outage_all_have_the_list_as_soon_as_the_service_can_give_it(self):
        for pushed, each_second, most, takes, patient in (
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
                each_second,
                (pushed, takes),
            )
            waited, calls = self.measure_recovery(service, members, takes)
            self.assertLess(
                waited,
                takes * self.FLEET + (2.0 if patient else 1.0),
                (pushed, takes, patient),
            )
            self.assertLess(calls, most, (pushed, takes, patient))

    def test_where_all_watches_fall_silent_at_once_all_have_the_list_as_soon_as_the_service_can_give_it(
        self,
    ):
        for takes, most in ((0.01, 1.1), (0.02, 2), (0.04, 4)):
            service, members = self.start_fleet()
            service.rejects_late = False
            service.drain_node()
            waited, calls = self.measure_recovery(service, members, takes)
            self.assertLess(waited, max(takes * self.FLEET + 1.5, 3.5), takes)
            self.assertLess(calls, most, takes)


class Pause(unittest.TestCase):
    """The module's pause after a failed watch, and the time that it is a share of."""

    def test_a_share_of_the_time_in_which_a_change_counts_as_told_that_grows_to_a_quarter(
        self,
    ):
        for draw, part in ((0, 0.5), (1, 1.0)):
            scheduler, effects = make_scheduler(rewatch_within=60_000)
            scheduler.state.random.uniform = lambda least, most: (least, most)[draw]
            for asks, share in (
                (0, 0),
                (1, 1 / 8),
                (2, 1 / 4),
                (3, 1 / 4),
                (9, 1 / 4),
                (400, 1 / 4),
            ):
                scheduler.endpoints.failed_watches = asks
                scheduler.on_endpoints(1000, EndpointUpdateKind.FAILED, [])
                self.assertEqual(
                    effects.calls_of("set_timer")[-1],
                    (1000 + int(60_000 * share * part), TimerToken.RENEW_WATCH),
                )

    def test_the_list_as_it_was_known_is_no_proof_that_discovery_can_be_reached(self):
        for asked, news, left in (
            (False, EndpointUpdateKind.CACHED, 1),
            (True, EndpointUpdateKind.CACHED, 1),
            (True, EndpointUpdateKind.SNAPSHOT, 0),
            (True, EndpointUpdateKind.DELTA, 0),
        ):
            scheduler, _ = make_scheduler(watches_endpoints=asked)
            scheduler.on_endpoints(0, news, [endpoint(7)])
            self.assertEqual(scheduler.endpoints.failed_watches, left, (asked, news))

    def test_the_time_is_the_least_that_settings_and_page_say_and_the_grace_where_lists_are_pushed(
        self,
    ):
        for mode, stated, grace, wanted in (
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
                "ask_within_ns": stated * 10**9,
                "stop_sending_within_ns": grace * 10**9,
            }
            settings = shared.SETTINGS | {"membership_mode": mode, "rules": rules}
            made = shared.parse_configuration(
                shared.CONFIG | {"settings": settings}, {}, 0, list[str]().append
            )
            self.assertEqual(made.config.rewatch_within, wanted, (mode, stated, grace))
            self.assertEqual(
                made.drain_grace,
                max(grace * 10_000 - 1, 0) if mode == "pushed" else 0,
                (mode, stated, grace),
            )


if __name__ == "__main__":
    unittest.main()
