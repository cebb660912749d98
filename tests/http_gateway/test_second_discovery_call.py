"""A second discovery call in parallel to one that is not answered.

The tests check how soon the endpoint list arrives and how many calls that costs a
service with many clients. They advance the clock themselves.
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

ALL_FAILURES = ENDING_FAILURES + ("late 503", "not up", "no word", "head", "drip")
NO_ANSWER = ("no word", "head", "half", "drip")


class PushedLists(OutageTest):
    """Lists are pushed: a change counts as notified at once.

    Only the drain grace is left to stop sending to a draining node.
    """

    def test_a_pending_connect_or_a_partial_list_leaves_time_within_the_grace(self):
        for play, failure, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ("not up", "torn"),
            (0, 1),
            range(0, 130, 3),
        ):
            self.assertLess(
                play(failure, draw, length / 10, "pushed")[0],
                DRAIN_GRACE_S / 2,
                (play.__name__, failure, draw, length),
            )
        for play, failure, next_failure, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            ("refused", "503", "not up"),
            ("half", "not up"),
            (0, 1),
            range(3, 130, 11),
        ):
            waited, _ = play(failure, draw, length / 10, "pushed", (next_failure,))
            self.assertLess(
                waited,
                DRAIN_GRACE_S,
                (play.__name__, failure, next_failure, draw, length),
            )

    def test_a_discovery_known_to_accept_without_answering_gets_parallel_calls(self):
        for play, failure, draw, length in product(
            (self.start_in_outage, self.lose_watch),
            NO_ANSWER,
            (0, 1),
            range(30, 130, 3),
        ):
            waited, calls = play(failure, draw, length / 10, "pushed")
            self.assertLess(waited, 2.2, (play.__name__, failure, draw, length))
            self.assertLessEqual(
                calls, 2 + length / 10, (play.__name__, failure, draw, length)
            )

    def test_a_call_answered_by_a_heartbeat_gets_no_parallel_call(self):
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

    def test_at_most_two_calls_are_open_at_one_address(self):
        for mode, failure, draw in product(
            ("pushed", "on_request"), ALL_FAILURES, (0, 1)
        ):
            service = self.create_gateway(draw, mode)
            self.gateway.start()
            self.run_until(service, 6)
            for _, protocol, _ in self.begin_outage(service, failure, 9):
                protocol.connectionLost()
            self.run_until(service, 6, lambda: self.assert_open_calls(service, 2))
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.run_until(
                service, 8, lambda: self.assert_open_calls(service, 3)
            )  # the third call is at the old address
            self.assertTrue(self.knows_draining(), (mode, failure, draw))
            self.assertEqual(len(service.open_connections()), 1, (mode, failure, draw))
            self.gateway.stop()

    def assert_open_calls(self, service, limit):
        self.assertLessEqual(len(service.open_connections()), limit)


class AddressChange(OutageTest):
    def test_after_sighup_two_failed_calls_leave_time_within_four_seconds(self):
        for first, second, draw, old_watch_lives in product(
            ALL_FAILURES, ALL_FAILURES, (0, 1), (True, False)
        ):
            service = self.create_gateway(draw)
            self.gateway.start()
            self.run_until(service, 8)
            watches, service.calls = service.drain_node(), []
            service.outcomes, service.watches = (
                [first, second],
                watches if old_watch_lives else [],
            )
            self.gateway.reload(self.deployment(discovery="127.0.0.1:8501"))
            self.assertLess(
                self.run_until(service, 20, self.knows_draining),
                MOVE_NOTIFIED_S - 0.1,
                (first, second, draw, old_watch_lives),
            )
            self.assertLessEqual(
                len(service.calls), 4, (first, second, draw, old_watch_lives)
            )
            self.gateway.stop()


class OverloadedDiscovery(FleetTest):
    """The load of parallel calls on a service that is up but has too many clients."""

    def test_after_an_outage_with_accepted_but_unanswered_calls(self):
        for service_time, time_limit, max_calls in (
            (0.01, 3.0, 1.5),
            (0.02, 5.0, 2),
            (0.04, 9.0, 5),
        ):
            service, members = self.start_fleet(True, rejects_late=False)
            service.outage_outcome, service.outage_end, service.calls = (
                "no word",
                self.reactor.seconds() + self.SPAN,
                [],
            )
            for _, protocol, _ in service.drain_node():
                protocol.connectionLost()
            self.run_fleet(service, members, self.SPAN, lambda: False)
            self.assertLess(
                len(service.calls) / self.FLEET / self.SPAN, 1, service_time
            )
            waited, calls = self.measure_recovery(service, members, service_time)
            self.assertLess(waited, time_limit, service_time)
            self.assertLess(calls, max_calls, service_time)

    def test_after_a_change_of_the_address(self):
        for pushed, service_time, patient, time_limit, max_calls in (
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
            waited, calls = self.measure_recovery(service, members, service_time)
            self.assertLess(waited, time_limit, (pushed, service_time, patient))
            self.assertLess(calls, max_calls, (pushed, service_time, patient))


class ParallelCallTiming(unittest.TestCase):
    def test_the_delay_before_a_parallel_call(self):
        late = (
            PARALLEL_CALL_AFTER_MOVE[0] - 12_000,
            PARALLEL_CALL_AFTER_MOVE[1] - 12_000,
        )
        for progress, unresponsive, grace, since_move, expected in (
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
                parallel_call_delay(progress, unresponsive, grace, since_move),
                expected,
                (progress, unresponsive, grace, since_move),
            )

    def test_a_service_that_may_only_be_busy_is_not_unresponsive(self):
        """A busy service accepts a call and answers within two seconds, even by 503."""
        self.assertGreater(FIRST_VALUE_TIMEOUT, 20_000)
        for unresponsive, silence, status, expected in (
            (False, 20_000, 503, False),
            (False, FIRST_VALUE_TIMEOUT + 1, 0, True),
            (False, FIRST_VALUE_TIMEOUT + 1, 200, True),
            (True, 0, 0, True),
            (True, 20_000, 503, False),
            (True, 3_000, 200, False),
        ):
            self.assertEqual(
                is_unresponsive(unresponsive, silence, status),
                expected,
                (unresponsive, silence, status),
            )


if __name__ == "__main__":
    unittest.main()
