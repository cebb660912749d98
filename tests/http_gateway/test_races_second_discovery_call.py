"""A second call beside one that discovery does not answer, over real sockets.

What crosses between the two.
"""

import socket
import unittest
from dataclasses import replace

from milletsill.http_gateway.discovery_timing import (
    CONNECT_TIMEOUT,
    FIRST_VALUE_TIMEOUT,
    NOTIFIED_AFTER_MOVE,
    PARALLEL_CALL_AFTER_MOVE,
    PARALLEL_CALL_PUSHED,
    PARALLEL_CALL_UNRESPONSIVE,
    RETRY_MARGIN,
    CallProgress,
)
from milletsill.interface import EndpointUpdateKind
from tests.support.discovery_connections import HEAD, LOOK, Held, said
from tests.support.http_gateway_rig import SETTINGS, Loopback, reset

GRACE = 8_000  # to stop sending, where lists are pushed


class Beside(Held):
    def test_where_lists_are_pushed_a_list_that_stops_in_mid_line_has_another_call_beside_it_in_time(
        self,
    ):
        for wins in ("second", "first"):
            self.again()
            self.follower.config = replace(self.follower.config, drain_grace=GRACE)
            self.follower.request_watch()
            first, _ = self.taken()
            first.sendall(HEAD + said(8, True)[:40])
            self.until(lambda: self.follower.watch.progress is CallProgress.RECEIVING)
            self.go(GRACE * PARALLEL_CALL_PUSHED[1])
            second = self.second()
            end, other, rest = (
                (second, first, HEAD + said(8, True))
                if wins == "second"
                else (first, second, said(8, True)[40:])
            )
            end.sendall(rest)
            self.until(lambda: self.told)
            self.over(other)
            self.go(FIRST_VALUE_TIMEOUT)
            self.assertEqual(
                (self.told, self.follower.parallel),
                ([(EndpointUpdateKind.SNAPSHOT, "ready")], None),
                wins,
            )
            end.sendall(said(9, state="leaving"))
            self.until(lambda: self.told[-1] == (EndpointUpdateKind.DELTA, "draining"))

    def test_a_second_call_that_is_reset_is_followed_by_another_and_costs_the_first_nothing(
        self,
    ):
        self.follower.config = replace(self.follower.config, drain_grace=GRACE)
        self.follower.request_watch()
        first, _ = self.taken()
        first.sendall(HEAD + said(8, True)[:40])
        self.until(lambda: self.follower.watch.progress is CallProgress.RECEIVING)
        self.go(GRACE * PARALLEL_CALL_PUSHED[1])
        self.reset(self.second())
        self.until(lambda: self.follower.parallel is None)
        self.go(GRACE * PARALLEL_CALL_PUSHED[1])
        self.second()
        first.sendall(said(8, True)[40:])
        self.until(lambda: self.told)
        self.assertEqual(self.told, [(EndpointUpdateKind.SNAPSHOT, "ready")])

    def test_where_lists_are_pushed_a_dial_that_is_not_up_has_another_beside_it_and_two_at_most(
        self,
    ):
        hole = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(hole.close)
        for _ in range(3):  # its queue is full: what comes now is never up
            one = socket.socket()
            self.addCleanup(one.close)
            one.setblocking(False)
            one.connect_ex(hole.getsockname())
        dial, dials = self.reactor.connectTCP, []

        def held_back(host, port, factory, timeout):
            dials.append(port)
            return dial(
                host,
                hole.getsockname()[1] if len(dials) <= 2 else port,
                factory,
                timeout=timeout,
            )

        self.reactor.connectTCP = held_back
        self.follower.config = replace(self.follower.config, drain_grace=GRACE)
        self.follower.request_watch()
        self.turn(3)
        self.go(GRACE * PARALLEL_CALL_PUSHED[1])
        self.turn(3)
        self.assertEqual((len(dials), len(self.reactor.getWriters())), (2, 2))
        self.go(GRACE * PARALLEL_CALL_PUSHED[1])
        self.assertEqual((len(dials), self.failed()), (3, 0))
        self.assertLess(self.clock, CONNECT_TIMEOUT)
        second = self.second()
        self.turn(3)
        self.assertEqual(
            len(self.reactor.getWriters()), 1
        )  # the first, which may still come up
        second.sendall(HEAD + said(8, True))
        self.until(lambda: self.told)
        self.turn(3)
        self.assertEqual(
            (self.told, self.reactor.getWriters(), self.follower.parallel),
            ([(EndpointUpdateKind.SNAPSHOT, "ready")], [], None),
        )

    def test_where_lists_are_pushed_a_call_that_is_taken_has_another_beside_it_only_behind_one_that_never_was_answered(
        self,
    ):
        self.follower.config = replace(self.follower.config, drain_grace=GRACE)
        self.follower.request_watch()
        self.taken()
        self.go(FIRST_VALUE_TIMEOUT)
        self.assertFalse(self.called())
        self.go(2 * LOOK)
        self.assertEqual(self.failed(), 1)
        self.follower.request_watch()
        first, _ = self.taken()
        self.go(PARALLEL_CALL_UNRESPONSIVE[1])
        second = self.second()
        second.sendall(HEAD + said(8, True))
        self.until(lambda: len(self.told) == 2)
        self.over(first)
        self.assertEqual(
            self.told,
            [(EndpointUpdateKind.FAILED,), (EndpointUpdateKind.SNAPSHOT, "ready")],
        )

    def test_after_sighup_a_call_that_is_reset_and_one_that_is_never_answered_leave_time_for_a_third(
        self,
    ):
        self.standing()
        there = self.discovery()
        self.follower.move(there.address)
        moved = self.clock
        self.reset(self.taken(there)[0])
        self.until(lambda: self.follower.watch is None)
        while not self.failed():
            self.go(LOOK)
        self.follower.request_watch()
        first, _ = self.taken(there)
        self.go(PARALLEL_CALL_AFTER_MOVE[1] - (self.clock - moved))
        second = self.second(there)
        second.sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: self.told[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.over(first)
        self.assertLess(self.clock - moved, NOTIFIED_AFTER_MOVE - RETRY_MARGIN)
        self.assertEqual(self.failed(), 1)

    def test_after_sighup_the_call_behind_two_that_are_reset_waits_for_no_pause_of_the_modules(
        self,
    ):
        self.standing()
        there = self.discovery()
        self.follower.move(there.address)
        moved = self.clock
        self.reset(self.taken(there)[0])
        self.until(lambda: self.follower.watch is None)
        while not self.failed():
            self.go(LOOK)
        # as the module does: the first time at once, the second time after a pause
        self.follower.request_watch()
        self.reset(self.taken(there)[0])
        self.until(lambda: self.follower.watch is None)
        while self.follower.watch is None:
            self.assertLess(self.clock - moved, NOTIFIED_AFTER_MOVE - RETRY_MARGIN)
            self.go(LOOK)
        self.taken(there)[0].sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: self.told[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.assertEqual(self.failed(), 1)


class Down(Loopback):
    """A whole gateway, lists pushed, grace 1 s, on a clock of the test's own."""

    changed = {"settings": SETTINGS | {"membership_mode": "pushed"}}

    def test_an_outage_costs_at_most_four_calls_a_second_and_its_end_is_seen_within_half_the_grace(
        self,
    ):
        address = self.listener.getsockname()
        self.listener.close()
        self.gateway.watcher.watch.end("down")
        told, failed = self.gateway.watcher.listener, []
        self.gateway.watcher.listener = lambda kind, places: (
            failed.append(kind),
            told(kind, places),
        )
        self.pass_time(20.0)
        self.assertEqual({EndpointUpdateKind.FAILED}, set(failed))
        self.assertLess(len(failed) / 20, 4)
        back = socket.create_server(address)
        self.sockets.append(back)
        back.setblocking(False)
        self.pass_time(0.5)
        back.accept()[0].close()


class Started(Loopback):
    """A whole gateway whose list, as it was known at the start, is out of date.

    Its node drains by now.
    """

    BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

    def drains(self):
        return any(
            node.health.name == "UNAVAILABLE"
            for node in self.gateway.host.scheduler.state.nodes.values()
        )

    def calls(self):
        while True:
            try:
                one = self.listener.accept()[0]
            except BlockingIOError:
                return
            self.sockets.append(one)
            yield one

    def waited(self, first):
        """Seconds from when discovery could be reached to the module's knowing.

        The first call is met as told.
        """
        self.listener.setblocking(False)
        began, ways = self.time, [first]
        while not self.drains() and self.time < began + 10:
            self.pass_time(0.04)
            for one in self.calls():
                way = ways.pop(0) if ways else HEAD + said(5, True, state="leaving")
                if way == "reset":
                    reset(one)
                else:
                    one.sendall(way)
        return self.time - began

    def test_what_the_known_list_lacks_is_in_whatever_becomes_of_the_first_call(self):
        for mode, first, most in (
            ("on_request", self.BUSY, 2.0),
            ("on_request", "reset", 2.0),
            ("on_request", b"", 4.5),
            ("on_request", HEAD + said(5)[:30], 4.5),
            ("on_request", "refused", 2.0),
            ("pushed", self.BUSY, 0.8),
            ("pushed", "reset", 0.8),
            ("pushed", b"", 3.0),
            ("pushed", HEAD + said(5)[:30], 0.8),
            ("pushed", "refused", 0.8),
        ):
            self.changed = {"settings": SETTINGS | {"membership_mode": mode}}
            self.again()
            self.assertFalse(self.drains())
            if first == "refused":
                address = self.listener.getsockname()
                self.listener.close()
                self.gateway.watcher.watch.end("not reached")
                self.pass_time(3.0)
                self.listener = socket.create_server(address)
                self.sockets.append(self.listener)
                first = HEAD + said(5, True, state="leaving")
            self.assertLess(self.waited(first), most, (mode, first))


if __name__ == "__main__":
    unittest.main()
