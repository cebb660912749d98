"""The state tables of client connections and of the gateway.

Each test reads one row of a table or calls one function.
"""

import unittest

from milletsill.gateway.stall_detection import (
    earliest_arrival,
    must_read_sockets_first,
)
from milletsill.sftp_gateway.answer_log import AnswerLogLimiter
from milletsill.sftp_gateway.client_state import (
    SftpClientEffect,
    SftpClientEvent,
    SftpClientState,
    flow_control_event,
    next_client_state,
)
from milletsill.sftp_gateway.gateway_state import (
    GatewayEffect,
    GatewayEvent,
    GatewayState,
    client_deadline,
    next_gateway_state,
    refusal_reason,
)


class ClientStates(unittest.TestCase):
    def test_a_command_before_init_or_a_second_init_aborts_the_connection(self):
        self.assertEqual(
            next_client_state(SftpClientState.AWAITING_INIT, SftpClientEvent.COMMAND),
            (SftpClientState.CLOSED, SftpClientEffect.ABORT),
        )
        self.assertEqual(
            next_client_state(SftpClientState.OPEN, SftpClientEvent.INIT),
            (SftpClientState.CLOSED, SftpClientEffect.ABORT),
        )

    def test_a_paused_connection_resumes_at_half_of_the_limit(self):
        self.assertEqual(
            [
                flow_control_event(SftpClientState.OPEN, 64, False, 64),
                flow_control_event(SftpClientState.PAUSED, 33, False, 64),
                flow_control_event(SftpClientState.PAUSED, 32, False, 64),
                flow_control_event(SftpClientState.PAUSED, 0, True, 64),
            ],
            [SftpClientEvent.OVER_LIMIT, None, SftpClientEvent.UNDER_LIMIT, None],
        )

    def test_a_client_that_does_not_read_is_paused_then_aborted(self):
        self.assertEqual(
            flow_control_event(SftpClientState.OPEN, 0, True, 64),
            SftpClientEvent.OVER_LIMIT,
        )
        self.assertEqual(
            next_client_state(SftpClientState.PAUSED, SftpClientEvent.SEND_TIMEOUT),
            (SftpClientState.CLOSED, SftpClientEffect.ABORT),
        )

    def test_a_closed_connection_ignores_every_event(self):
        for event in SftpClientEvent:
            self.assertEqual(
                next_client_state(SftpClientState.CLOSED, event),
                (SftpClientState.CLOSED, SftpClientEffect.NONE),
            )


class GatewayStates(unittest.TestCase):
    def test_termination_drains_then_stops_when_drained_timed_out_or_repeated(self):
        self.assertEqual(
            next_gateway_state(GatewayState.SERVING, GatewayEvent.TERMINATE),
            (GatewayState.DRAINING, GatewayEffect.DRAIN),
        )
        for event in (
            GatewayEvent.DRAINED,
            GatewayEvent.DRAIN_TIMEOUT,
            GatewayEvent.TERMINATE,
        ):
            self.assertEqual(
                next_gateway_state(GatewayState.DRAINING, event),
                (GatewayState.STOPPED, GatewayEffect.STOP),
            )

    def test_commands_are_refused_by_state_limit_and_deadline(self):
        self.assertEqual(
            [
                bool(refusal_reason(*each))
                for each in (
                    (GatewayState.SERVING, 0, 5, 9),
                    (GatewayState.DRAINING, 0, 5, 9),
                    (GatewayState.SERVING, 5, 5, 9),
                    (GatewayState.SERVING, 0, 5, 0),
                )
            ],
            [False, True, True, True],
        )

    def test_the_shorter_timeout_applies_minus_the_margin(self):
        self.assertEqual(
            [client_deadline(0, 100, each, 5) for each in (0, 50, 900)], [95, 45, 95]
        )

    def test_after_a_stall_sockets_are_read_before_timeouts_once(self):
        self.assertEqual(
            [
                must_read_sockets_first(*each)
                for each in ((20_000, False), (20_000, True), (10, False))
            ],
            [True, False, False],
        )

    def test_data_read_after_a_stall_may_date_from_the_last_check(self):
        self.assertEqual(
            [earliest_arrival(1500, 1490, 990), earliest_arrival(9000, 1490, 990)],
            [None, 990],
        )

    def test_answers_are_logged_at_a_limited_rate_and_the_rest_counted(self):
        limiter = AnswerLogLimiter(2)
        self.assertEqual(
            [
                limiter.take(0),
                limiter.take(0),
                limiter.take(0),
                limiter.take(0),
                limiter.take(10_000),
            ],
            [0, 0, None, None, 2],
        )


if __name__ == "__main__":
    unittest.main()
