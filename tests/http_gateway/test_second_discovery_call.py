"""A second call to discovery beside one that is not answered.

How soon the list is in, and what that costs a service with many callers. On the clock
of the test's own.
"""

import unittest
from itertools import product

from milletsill.http_gateway.discovery_timing import (
    FIRST_VALUE_TIMEOUT,
    NOTIFIED_AFTER_MOVE,
    PARALLEL_CALL_AFTER_MOVE,
    PARALLEL_CALL_SOON,
    PARALLEL_CALL_UNRESPONSIVE,
    CallProgress,
    is_unresponsive,
    parallel_call_delay,
)
from tests.support.discovery_rig import (
    DRAIN_GRACE_S,
    ENDING_FAILURES,
    MOVE_NOTIFIED_S,
    FleetTest,
    OutageTest,
)

ANY = ENDING_FAILURES + ("late 503", "not up", "no word", "head", "drip")
SILENT = ("no word", "head", "half", "drip")


class Pushed(OutageTest):
    """What the agent has counts as told at once, and the grace to stop sending is all that there is."""

    def test_a_dial_that_is_not_up_and_a_list_that_stops_on_its_way_leave_time_within_the_grace(
        self,
    ):
        for play, way, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ("not up", "torn"),
            (0, 1),
            range(0, 130, 3),
        ):
            self.assertLess(
                play(way, draw, length / 10, "pushed")[0],
                DRAIN_GRACE_S / 2,
                (play.__name__, way, draw, length),
            )
        for play, way, last, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ("refused", "503", "not up"),
            ("half", "not up"),
            (0, 1),
            range(3, 130, 11),
        ):
            waited, _ = play(way, draw, length / 10, "pushed", (last,))
            self.assertLess(
                waited, DRAIN_GRACE_S, (play.__name__, way, last, draw, length)
            )

    def test_a_discovery_that_takes_calls_and_says_nothing_is_called_twice_as_often_once_that_is_seen(
        self,
    ):
        for play, way, draw, length in product(
            (self.start_in_outage, self.lose_watch), SILENT, (0, 1), range(30, 130, 3)
        ):
            waited, calls = play(way, draw, length / 10, "pushed")
            self.assertLess(waited, 2.2, (play.__name__, way, draw, length))
            self.assertLessEqual(
                calls, 2 + length / 10, (play.__name__, way, draw, length)
            )

    def test_a_call_whose_first_word_is_a_beat_stays_alone(self):
        for mode, draw in product(("pushed", "on_request"), (0, 1)):
            service = self.create_gateway(draw, mode)
            self.gateway.start()
            self.run_until(service, 10)
            self.assertEqual(len(service.calls), 1, (mode, draw))
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.run_until(service, 10)
            self.assertEqual(
                (len(service.calls), len(service.open_connections())),
                (2, 1),
                (mode, draw),
            )

    def test_never_more_than_two_calls_are_under_way_at_one_address(self):
        for mode, way, draw in product(("pushed", "on_request"), ANY, (0, 1)):
            service = self.create_gateway(draw, mode)
            self.gateway.start()
            self.run_until(service, 6)
            for _, protocol, _ in self.begin_outage(service, way, 9):
                protocol.connectionLost()
            self.run_until(service, 6, lambda: self.most(service, 2))
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.run_until(
                service, 8, lambda: self.most(service, 3)
            )  # one at the old address
            self.assertTrue(self.knows_draining(), (mode, way, draw))
            self.assertEqual(len(service.open_connections()), 1, (mode, way, draw))
            self.gateway.stop()

    def most(self, service, most):
        self.assertLessEqual(len(service.open_connections()), most)


class Moved(OutageTest):
    def test_after_sighup_two_failures_in_turn_leave_time_within_the_four_seconds(self):
        for first, second, draw, beats in product(ANY, ANY, (0, 1), (True, False)):
            service = self.create_gateway(draw)
            self.gateway.start()
            self.run_until(service, 8)
            gone, service.calls = service.drain_node(), []
            service.outcomes, service.watches = [first, second], gone if beats else []
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                MOVE_NOTIFIED_S - 0.1,
                (first, second, draw, beats),
            )
            self.assertLessEqual(len(service.calls), 4, (first, second, draw, beats))
            self.gateway.stop()


class Busy(FleetTest):
    """What the second calls cost a service that is not down and has too many callers."""

    def test_after_an_outage_in_which_calls_were_taken_and_never_answered(self):
        for takes, within, most in ((0.01, 3.0, 1.5), (0.02, 5.0, 2), (0.04, 9.0, 5)):
            service, members = self.start_fleet(True, rejects_late=False)
            service.outage_outcome, service.outage_end, service.calls = (
                "no word",
                self.reactor.seconds() + self.SPAN,
                [],
            )
            for _, protocol, _ in service.drain_node():
                protocol.connectionLost()
            self.run_fleet(service, members, self.SPAN, lambda: False)
            self.assertLess(len(service.calls) / self.FLEET / self.SPAN, 1, takes)
            waited, calls = self.measure_recovery(service, members, takes)
            self.assertLess(waited, within, takes)
            self.assertLess(calls, most, takes)

    def test_after_sighup(self):
        for pushed, takes, patient, within, most in (
            (False, 0.01, False, 2.2, 1.1),
            (False, 0.02, False, 4.3, 2.4),
            (True, 0.04, False, 9.5, 10),
            (True, 0.01, True, 2.2, 1.1),
            (False, 0.02, True, 4.3, 2.2),
        ):
            service, members = self.start_fleet(pushed, rejects_late=patient)
            service.watches = service.drain_node()
            for each in members:
                each.watcher.move(("127.0.0.1", 8501))
            waited, calls = self.measure_recovery(service, members, takes)
            self.assertLess(waited, within, (pushed, takes, patient))
            self.assertLess(calls, most, (pushed, takes, patient))


class Decided(unittest.TestCase):
    def test_when_another_call_is_made_beside_one(self):
        late = (
            PARALLEL_CALL_AFTER_MOVE[0] - 12_000,
            PARALLEL_CALL_AFTER_MOVE[1] - 12_000,
        )
        for stage, mute, grace, moved, wanted in (
            (CallProgress.CONNECTING, False, 8_000, None, (1_000, 2_000)),
            (CallProgress.RECEIVING, False, 8_000, None, (1_000, 2_000)),
            (CallProgress.CONNECTED, False, 8_000, None, None),
            (CallProgress.CONNECTED, True, 8_000, None, PARALLEL_CALL_UNRESPONSIVE),
            (CallProgress.CONNECTING, True, 0, None, None),
            (CallProgress.CONNECTED, True, 0, None, None),
            (CallProgress.RECEIVING, False, 0, None, None),
            (CallProgress.CONNECTED, False, 0, 12_000, late),
            (CallProgress.RECEIVING, False, 0, 12_000, late),
            (CallProgress.CONNECTING, False, 0, 12_000, PARALLEL_CALL_SOON),
            (CallProgress.RECEIVING, False, 8_000, 12_000, (1_000, 2_000)),
            (CallProgress.CONNECTED, False, 0, 34_000, PARALLEL_CALL_SOON),
            (CallProgress.CONNECTED, False, 0, NOTIFIED_AFTER_MOVE, None),
            (CallProgress.CONNECTING, False, 0, NOTIFIED_AFTER_MOVE, None),
        ):
            self.assertEqual(
                parallel_call_delay(stage, mute, grace, moved),
                wanted,
                (stage, mute, grace, moved),
            )

    def test_a_service_that_may_only_be_busy_is_not_mute(self):
        """It takes a call and speaks within two seconds, be it a 503."""
        self.assertGreater(FIRST_VALUE_TIMEOUT, 20_000)
        for mute, quiet, status, wanted in (
            (False, 20_000, 503, False),
            (False, FIRST_VALUE_TIMEOUT + 1, 0, True),
            (False, FIRST_VALUE_TIMEOUT + 1, 200, True),
            (True, 0, 0, True),
            (True, 20_000, 503, False),
            (True, 3_000, 200, False),
        ):
            self.assertEqual(
                is_unresponsive(mute, quiet, status), wanted, (mute, quiet, status)
            )


if __name__ == "__main__":
    unittest.main()
