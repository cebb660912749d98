"""The host of the module on a clock of the test's own.

What it tells the module, and when.
"""

import unittest

from twisted.internet.task import Clock

from milletsill.gateway.scheduler_host import HostCallbacks, SchedulerHost
from milletsill.interface import AttemptOutcome, Request
from milletsill.sftp import packets
from milletsill.sftp.extensions import NodeReply, NodeReplyStatus


class Module:
    """Notes what it is told."""

    def __init__(self, config, seed, now, port):
        self.port, self.said = port, []

    def __getattr__(self, name):
        return lambda now, *values: self.said.append((name, now, *values))

    def of(self, name):
        return [each[1:] for each in self.said if each[0] == name]


class Links:
    """Keeps dispatches to node 7; the test ends them."""

    def __init__(self):
        self.held, self.withdrawn, self.begun = [], 0, True

    def carry(self, cargo, arrival, number, node, ends, ended):
        if node == 7:
            self.held.append((cargo, ended))
        return self if node == 7 else None

    def withdraw(self, outcome):
        self.withdrawn += 1


class Asker:
    def __init__(self):
        self.told = []

    def succeeded(self, verdict):
        self.told.append("satisfied")

    def rejected(self, pause):
        self.told.append(("declined", pause))

    def failed(self):
        self.told.append("aborted")


class Hosted(unittest.TestCase):
    def setUp(self):
        self.clock, self.pool, self.asker, self.log = Clock(), Links(), Asker(), []
        self.host = SchedulerHost(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000 + 0.5),
            {},
            1,
            Module,
            HostCallbacks(
                start_attempt=self.pool.carry,
                watch_endpoints=lambda: None,
                log=self.log.append,
                count=lambda *values: None,
            ),
        )
        arrival = Request(1, 5, 1, 1, 0, 0, False, False, 0, 2.0, 10_000)
        self.host.take(arrival, self.asker, "cargo")
        self.module = self.host.scheduler

    def verdict(self):
        return NodeReply(
            NodeReplyStatus.DONE, "0", {"queue": 3.0}, None, 2, packets.Data(0, b"x")
        )

    def test_a_dispatch_that_ended_holds_on_to_nothing(self):
        self.host.send_attempt(1, 7, 5000)
        out = self.host.active[1].attempts[0]
        self.pool.held[0][1](AttemptOutcome.ERROR, None)
        self.assertEqual((out.over, out.exchange), (True, None))

    def test_events_of_one_moment_are_settled_once(self):
        self.host.cancel_request(1)
        self.clock.advance(0)
        self.assertEqual(
            [
                len(self.module.of(each))
                for each in ("on_request", "on_client_cancelled", "dispatch_pending")
            ],
            [1, 1, 1],
        )

    def test_what_still_waits_for_a_link_is_withdrawn_when_its_client_leaves(self):
        self.pool.begun = False
        self.host.send_attempt(1, 7, 5000)
        self.host.cancel_request(1)
        self.assertEqual(
            self.pool.withdrawn, 1, "at once, whether or not the module may cancel"
        )
        self.clock.advance(0)
        self.assertEqual(
            [each[1].outcome for each in self.module.of("on_attempt_result")],
            [AttemptOutcome.WITHDRAWN],
        )
        self.assertEqual(self.host.active, {})

    def test_what_is_on_its_way_when_its_client_leaves_is_the_modules_to_cancel(self):
        self.host.send_attempt(1, 7, 5000)
        self.host.cancel_request(1)
        self.clock.advance(0)
        self.assertEqual(
            (self.pool.withdrawn, self.module.of("on_attempt_result")), (0, [])
        )

    def test_after_a_stall_what_came_is_read_before_anything_is_settled(self):
        self.clock.advance(0)
        self.host.on_endpoints(None, [])  # an event of this round
        self.clock.rightNow += (
            0.5  # the process stood: a turn of the sockets comes first
        )
        self.host.turn.run()
        self.assertEqual(len(self.module.of("dispatch_pending")), 1)
        self.clock.advance(0)
        self.assertGreater(len(self.module.of("dispatch_pending")), 1)

    def test_a_satisfied_dispatch_answers_once_and_tells_the_module_that_it_is_over(
        self,
    ):
        self.host.send_attempt(1, 7, 500)
        self.pool.held[0][1](AttemptOutcome.SUCCEEDED, self.verdict())
        self.pool.held[0][1](AttemptOutcome.SUCCEEDED, self.verdict())
        (answer,) = [each[1] for each in self.module.of("on_attempt_result")]
        self.assertEqual(
            (
                self.asker.told,
                answer.request_finished,
                answer.units_elsewhere,
                dict(answer.load_report),
                self.host.active,
            ),
            (["satisfied"], True, 2, {"queue": 3.0}, {}),
        )

    def test_an_error_in_the_module_is_said_and_every_transfer_still_gets_its_answer(
        self,
    ):
        def failing(now, *values):
            raise KeyError("lost")

        self.module.dispatch_pending = failing
        self.host.cancel_request(1)  # settles
        self.clock.advance(0)
        arrival = Request(2, 5, 1, 1, 0, 0, False, False, 0, 2.0, 20_000)
        self.host.take(arrival, self.asker, "cargo")
        self.clock.advance(2.01)
        self.assertEqual(
            (self.asker.told, self.host.active, self.host.unanswered),
            (["aborted"], {}, 0),
        )
        self.assertTrue(
            self.log and all("KeyError" in each for each in self.log), self.log
        )

    def test_a_send_decided_before_the_process_stood_is_not_made(self):
        self.host.max_decision_age = 200
        self.clock.advance(0)  # settled now
        self.clock.rightNow += 0.03
        self.host.send_attempt(1, 7, 500)
        self.assertEqual(self.pool.held, [])
        self.clock.advance(0)
        (answer,) = [each[1] for each in self.module.of("on_attempt_result")]
        self.assertIs(answer.outcome, AttemptOutcome.UNREACHABLE)

    def test_a_time_out_is_told_and_the_box_is_told_too(self):
        self.host.send_attempt(1, 7, 500)
        self.clock.advance(0.051)
        (answer,) = [each[1] for each in self.module.of("on_attempt_result")]
        self.assertEqual(
            (answer.outcome, self.pool.withdrawn, self.asker.told),
            (AttemptOutcome.TIMED_OUT, 1, []),
        )

    def test_no_time_out_means_until_the_client_leaves(self):
        self.host.send_attempt(1, 7, 0)
        self.clock.advance(0.9)
        self.assertEqual(self.module.of("on_attempt_result"), [])
        self.clock.advance(0.11)
        self.assertEqual(
            self.module.of("on_attempt_result")[0][1].outcome, AttemptOutcome.TIMED_OUT
        )

    def test_after_a_stall_an_answer_in_the_socket_goes_before_its_time_out(self):
        self.host.send_attempt(1, 7, 500)
        self.clock.rightNow = 2.0  # the process stood; nothing was read
        self.host.timers.run_due()
        self.assertEqual(self.module.of("on_attempt_result"), [])
        self.pool.held[0][1](AttemptOutcome.SUCCEEDED, self.verdict())
        self.clock.advance(0)
        self.assertEqual(
            self.module.of("on_attempt_result")[0][1].outcome, AttemptOutcome.SUCCEEDED
        )

    def test_a_node_without_links_is_unreached_later(self):
        self.host.send_attempt(1, 8, 500)
        self.assertEqual(self.module.of("on_attempt_result"), [])
        self.clock.advance(0.001)
        self.assertEqual(
            self.module.of("on_attempt_result")[0][1].outcome,
            AttemptOutcome.UNREACHABLE,
        )

    def test_nothing_is_sent_after_the_final_answer(self):
        self.host.reject(1, 70)
        self.host.send_attempt(1, 7, 500)
        self.host.fail(1)
        self.assertEqual(
            (self.pool.held, self.asker.told, len(self.log)),
            ([], [("declined", 70)], 1),
        )

    def test_a_transfer_stays_until_its_dispatches_have_ended_without_its_data(self):
        self.host.send_attempt(1, 7, 500)
        self.host.cancel_request(1)
        self.assertIsNone(self.host.active[1].payload)
        self.pool.held[0][1](AttemptOutcome.RESET, None)
        self.assertEqual(self.host.active, {})

    def test_a_cancel_ends_a_dispatch_but_not_from_within(self):
        self.host.send_attempt(1, 7, 500)
        self.host.cancel_attempt(1, 0)
        self.assertEqual(self.module.of("on_attempt_result"), [])
        self.clock.advance(0.001)
        self.assertEqual(
            self.module.of("on_attempt_result")[0][1].outcome, AttemptOutcome.CANCELLED
        )

    def test_wakes_come_in_order_and_one_timer_serves_all(self):
        for at, what in ((300, "c"), (100, "a"), (200, "b")):
            self.host.set_timer(at, what)
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
            [each[1] for each in self.module.of("on_timer")], ["a", "b", "c"]
        )


if __name__ == "__main__":
    unittest.main()
