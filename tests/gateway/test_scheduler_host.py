"""The scheduler host on a simulated clock.

The tests check which events it reports to the scheduler, and when, and that each request
gets exactly one final answer.
"""

import unittest

from twisted.internet.task import Clock

from milletsill.gateway.scheduler_host import HostCallbacks, SchedulerHost
from milletsill.interface import AttemptOutcome, Request
from milletsill.sftp import packets
from milletsill.sftp.extensions import NodeReply, NodeReplyStatus


class RecordingScheduler:
    """Records each event that the host reports."""

    def __init__(self, config, seed, now, effects):
        self.effects, self.events = effects, []

    def __getattr__(self, name):
        return lambda now, *values: self.events.append((name, now, *values))

    def events_named(self, name):
        return [each[1:] for each in self.events if each[0] == name]


class FakeConnectionPool:
    """Accepts attempts at node 7 only; the test calls their end callbacks."""

    def __init__(self):
        self.started, self.withdrawn, self.begun = [], 0, True

    def start_attempt(self, payload, request, number, node, deadline, ended):
        if node == 7:
            self.started.append((payload, ended))
        return self if node == 7 else None

    def withdraw(self, outcome):
        self.withdrawn += 1


class RecordingSink:
    """Records the final answers of a request."""

    def __init__(self):
        self.answers = []

    def succeeded(self, reply):
        self.answers.append("satisfied")

    def rejected(self, retry_after):
        self.answers.append(("declined", retry_after))

    def failed(self):
        self.answers.append("aborted")


class SchedulerHostTest(unittest.TestCase):
    def setUp(self):
        self.clock, self.pool, self.sink, self.log = (
            Clock(),
            FakeConnectionPool(),
            RecordingSink(),
            [],
        )
        self.host = SchedulerHost(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000 + 0.5),
            {},
            1,
            RecordingScheduler,
            HostCallbacks(
                start_attempt=self.pool.start_attempt,
                watch_endpoints=lambda: None,
                log=self.log.append,
                count=lambda *values: None,
            ),
        )
        request = Request(1, 5, 1, 1, 0, 0, False, False, 0, 2.0, 10_000)
        self.host.accept_request(request, self.sink, "payload")
        self.scheduler = self.host.scheduler

    def reply(self):
        return NodeReply(
            NodeReplyStatus.DONE, "0", {"queue": 3.0}, None, 2, packets.Data(0, b"x")
        )

    def test_an_ended_attempt_releases_its_exchange(self):
        self.host.send_attempt(1, 7, 5000)
        attempt = self.host.active[1].attempts[0]
        self.pool.started[0][1](AttemptOutcome.ERROR, None)
        self.assertEqual((attempt.ended, attempt.exchange), (True, None))

    def test_events_of_one_reactor_turn_get_one_dispatch(self):
        self.host.cancel_request(1)
        self.clock.advance(0)
        self.assertEqual(
            [
                len(self.scheduler.events_named(each))
                for each in ("on_request", "on_client_cancelled", "dispatch_pending")
            ],
            [1, 1, 1],
        )

    def test_an_attempt_without_a_connection_is_withdrawn_when_its_client_leaves(self):
        self.pool.begun = False
        self.host.send_attempt(1, 7, 5000)
        self.host.cancel_request(1)
        self.assertEqual(
            self.pool.withdrawn,
            1,
            "immediately, even if the scheduler may not cancel attempts",
        )
        self.clock.advance(0)
        self.assertEqual(
            [
                each[1].outcome
                for each in self.scheduler.events_named("on_attempt_result")
            ],
            [AttemptOutcome.WITHDRAWN],
        )
        self.assertEqual(self.host.active, {})

    def test_only_the_scheduler_cancels_a_sent_attempt_when_its_client_leaves(self):
        self.host.send_attempt(1, 7, 5000)
        self.host.cancel_request(1)
        self.clock.advance(0)
        self.assertEqual(
            (self.pool.withdrawn, self.scheduler.events_named("on_attempt_result")),
            (0, []),
        )

    def test_after_a_stall_the_sockets_are_read_before_the_dispatch(self):
        self.clock.advance(0)
        self.host.on_endpoints(None, [])  # an event in this turn
        # After the stall, one reactor turn reads the sockets before the dispatch.
        self.clock.rightNow += 0.5
        self.host.turn.run()
        self.assertEqual(len(self.scheduler.events_named("dispatch_pending")), 1)
        self.clock.advance(0)
        self.assertGreater(len(self.scheduler.events_named("dispatch_pending")), 1)

    def test_a_successful_attempt_answers_once_and_finishes_the_request(
        self,
    ):
        self.host.send_attempt(1, 7, 500)
        self.pool.started[0][1](AttemptOutcome.SUCCEEDED, self.reply())
        self.pool.started[0][1](AttemptOutcome.SUCCEEDED, self.reply())
        (result,) = [
            each[1] for each in self.scheduler.events_named("on_attempt_result")
        ]
        self.assertEqual(
            (
                self.sink.answers,
                result.request_finished,
                result.units_elsewhere,
                dict(result.load_report),
                self.host.active,
            ),
            (["satisfied"], True, 2, {"queue": 3.0}, {}),
        )

    def test_a_scheduler_error_is_logged_and_each_request_still_gets_its_answer(
        self,
    ):
        def failing(now, *values):
            raise KeyError("lost")

        self.scheduler.dispatch_pending = failing
        self.host.cancel_request(1)  # schedules a dispatch
        self.clock.advance(0)
        request = Request(2, 5, 1, 1, 0, 0, False, False, 0, 2.0, 20_000)
        self.host.accept_request(request, self.sink, "payload")
        self.clock.advance(2.01)
        self.assertEqual(
            (self.sink.answers, self.host.active, self.host.unanswered),
            (["aborted"], {}, 0),
        )
        self.assertTrue(
            self.log and all("KeyError" in each for each in self.log), self.log
        )

    def test_an_attempt_decided_before_a_stall_is_not_sent(self):
        self.host.max_decision_age = 200
        self.clock.advance(0)  # dispatches now
        self.clock.rightNow += 0.03
        self.host.send_attempt(1, 7, 500)
        self.assertEqual(self.pool.started, [])
        self.clock.advance(0)
        (result,) = [
            each[1] for each in self.scheduler.events_named("on_attempt_result")
        ]
        self.assertIs(result.outcome, AttemptOutcome.UNREACHABLE)

    def test_a_timeout_is_reported_and_its_exchange_is_withdrawn(self):
        self.host.send_attempt(1, 7, 500)
        self.clock.advance(0.051)
        (result,) = [
            each[1] for each in self.scheduler.events_named("on_attempt_result")
        ]
        self.assertEqual(
            (result.outcome, self.pool.withdrawn, self.sink.answers),
            (AttemptOutcome.TIMED_OUT, 1, []),
        )

    def test_an_attempt_without_a_timeout_ends_at_the_client_deadline(self):
        self.host.send_attempt(1, 7, 0)
        self.clock.advance(0.9)
        self.assertEqual(self.scheduler.events_named("on_attempt_result"), [])
        self.clock.advance(0.11)
        self.assertEqual(
            self.scheduler.events_named("on_attempt_result")[0][1].outcome,
            AttemptOutcome.TIMED_OUT,
        )

    def test_after_a_stall_an_unread_reply_takes_precedence_over_its_timeout(self):
        self.host.send_attempt(1, 7, 500)
        self.clock.rightNow = 2.0  # a stall; no socket was read
        self.host.timers.run_due()
        self.assertEqual(self.scheduler.events_named("on_attempt_result"), [])
        self.pool.started[0][1](AttemptOutcome.SUCCEEDED, self.reply())
        self.clock.advance(0)
        self.assertEqual(
            self.scheduler.events_named("on_attempt_result")[0][1].outcome,
            AttemptOutcome.SUCCEEDED,
        )

    def test_an_attempt_without_a_connection_is_reported_unreachable_later(self):
        self.host.send_attempt(1, 8, 500)
        self.assertEqual(self.scheduler.events_named("on_attempt_result"), [])
        self.clock.advance(0.001)
        self.assertEqual(
            self.scheduler.events_named("on_attempt_result")[0][1].outcome,
            AttemptOutcome.UNREACHABLE,
        )

    def test_nothing_is_sent_after_the_final_answer(self):
        self.host.reject(1, 70)
        self.host.send_attempt(1, 7, 500)
        self.host.fail(1)
        self.assertEqual(
            (self.pool.started, self.sink.answers, len(self.log)),
            ([], [("declined", 70)], 1),
        )

    def test_a_request_stays_active_without_its_payload_until_its_attempts_end(self):
        self.host.send_attempt(1, 7, 500)
        self.host.cancel_request(1)
        self.assertIsNone(self.host.active[1].payload)
        self.pool.started[0][1](AttemptOutcome.RESET, None)
        self.assertEqual(self.host.active, {})

    def test_a_cancelled_attempt_is_reported_after_the_call_returns(self):
        self.host.send_attempt(1, 7, 500)
        self.host.cancel_attempt(1, 0)
        self.assertEqual(self.scheduler.events_named("on_attempt_result"), [])
        self.clock.advance(0.001)
        self.assertEqual(
            self.scheduler.events_named("on_attempt_result")[0][1].outcome,
            AttemptOutcome.CANCELLED,
        )

    def test_timers_run_in_order_on_one_delayed_call(self):
        for at, token in ((300, "c"), (100, "a"), (200, "b")):
            self.host.set_timer(at, token)
        self.assertEqual(
            len(
                [
                    each
                    for each in self.clock.getDelayedCalls()
                    if each.func == self.host.timers.run_due
                ]
            ),
            1,
        )
        for _ in range(40):
            self.clock.advance(0.001)
        self.assertEqual(
            [each[1] for each in self.scheduler.events_named("on_timer")],
            ["a", "b", "c"],
        )


if __name__ == "__main__":
    unittest.main()
