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
from tests.support.discovery_connections import (
    CHECK_INTERVAL,
    HEAD,
    WatcherTest,
    list_line,
)
from tests.support.http_gateway_rig import SETTINGS, Loopback, reset

GRACE = 8_000  # to stop sending, where lists are pushed


class Beside(WatcherTest):
    def test_where_lists_are_pushed_a_list_that_stops_in_mid_line_has_another_call_beside_it_in_time(
        self,
    ):
        for wins in ("second", "first"):
            self.restart()
            self.watcher.config = replace(self.watcher.config, drain_grace=GRACE)
            self.watcher.request_watch()
            first, _ = self.accept_watch()
            first.sendall(HEAD + list_line(8, True)[:40])
            self.until(lambda: self.watcher.watch.progress is CallProgress.RECEIVING)
            self.advance(GRACE * PARALLEL_CALL_PUSHED[1])
            second = self.accept_parallel()
            end, other, rest = (
                (second, first, HEAD + list_line(8, True))
                if wins == "second"
                else (first, second, list_line(8, True)[40:])
            )
            end.sendall(rest)
            self.until(lambda: self.updates)
            self.wait_until_closed(other)
            self.advance(FIRST_VALUE_TIMEOUT)
            self.assertEqual(
                (self.updates, self.watcher.parallel),
                ([(EndpointUpdateKind.SNAPSHOT, "ready")], None),
                wins,
            )
            end.sendall(list_line(9, state="leaving"))
            self.until(
                lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining")
            )

    def test_a_second_call_that_is_reset_is_followed_by_another_and_costs_the_first_nothing(
        self,
    ):
        self.watcher.config = replace(self.watcher.config, drain_grace=GRACE)
        self.watcher.request_watch()
        first, _ = self.accept_watch()
        first.sendall(HEAD + list_line(8, True)[:40])
        self.until(lambda: self.watcher.watch.progress is CallProgress.RECEIVING)
        self.advance(GRACE * PARALLEL_CALL_PUSHED[1])
        self.reset(self.accept_parallel())
        self.until(lambda: self.watcher.parallel is None)
        self.advance(GRACE * PARALLEL_CALL_PUSHED[1])
        self.accept_parallel()
        first.sendall(list_line(8, True)[40:])
        self.until(lambda: self.updates)
        self.assertEqual(self.updates, [(EndpointUpdateKind.SNAPSHOT, "ready")])

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
        self.watcher.config = replace(self.watcher.config, drain_grace=GRACE)
        self.watcher.request_watch()
        self.turn(3)
        self.advance(GRACE * PARALLEL_CALL_PUSHED[1])
        self.turn(3)
        self.assertEqual((len(dials), len(self.reactor.getWriters())), (2, 2))
        self.advance(GRACE * PARALLEL_CALL_PUSHED[1])
        self.assertEqual((len(dials), self.failure_count()), (3, 0))
        self.assertLess(self.clock, CONNECT_TIMEOUT)
        second = self.accept_parallel()
        self.turn(3)
        self.assertEqual(
            len(self.reactor.getWriters()), 1
        )  # the first, which may still come up
        second.sendall(HEAD + list_line(8, True))
        self.until(lambda: self.updates)
        self.turn(3)
        self.assertEqual(
            (self.updates, self.reactor.getWriters(), self.watcher.parallel),
            ([(EndpointUpdateKind.SNAPSHOT, "ready")], [], None),
        )

    def test_where_lists_are_pushed_a_call_that_is_taken_has_another_beside_it_only_behind_one_that_never_was_answered(
        self,
    ):
        self.watcher.config = replace(self.watcher.config, drain_grace=GRACE)
        self.watcher.request_watch()
        self.accept_watch()
        self.advance(FIRST_VALUE_TIMEOUT)
        self.assertFalse(self.has_pending_call())
        self.advance(2 * CHECK_INTERVAL)
        self.assertEqual(self.failure_count(), 1)
        self.watcher.request_watch()
        first, _ = self.accept_watch()
        self.advance(PARALLEL_CALL_UNRESPONSIVE[1])
        second = self.accept_parallel()
        second.sendall(HEAD + list_line(8, True))
        self.until(lambda: len(self.updates) == 2)
        self.wait_until_closed(first)
        self.assertEqual(
            self.updates,
            [(EndpointUpdateKind.FAILED,), (EndpointUpdateKind.SNAPSHOT, "ready")],
        )

    def test_after_sighup_a_call_that_is_reset_and_one_that_is_never_answered_leave_time_for_a_third(
        self,
    ):
        self.open_watch()
        there = self.discovery()
        self.watcher.move(there.address)
        moved = self.clock
        self.reset(self.accept_watch(there)[0])
        self.until(lambda: self.watcher.watch is None)
        while not self.failure_count():
            self.advance(CHECK_INTERVAL)
        self.watcher.request_watch()
        first, _ = self.accept_watch(there)
        self.advance(PARALLEL_CALL_AFTER_MOVE[1] - (self.clock - moved))
        second = self.accept_parallel(there)
        second.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.wait_until_closed(first)
        self.assertLess(self.clock - moved, NOTIFIED_AFTER_MOVE - RETRY_MARGIN)
        self.assertEqual(self.failure_count(), 1)

    def test_after_sighup_the_call_behind_two_that_are_reset_waits_for_no_pause_of_the_modules(
        self,
    ):
        self.open_watch()
        there = self.discovery()
        self.watcher.move(there.address)
        moved = self.clock
        self.reset(self.accept_watch(there)[0])
        self.until(lambda: self.watcher.watch is None)
        while not self.failure_count():
            self.advance(CHECK_INTERVAL)
        # as the module does: the first time at once, the second time after a pause
        self.watcher.request_watch()
        self.reset(self.accept_watch(there)[0])
        self.until(lambda: self.watcher.watch is None)
        while self.watcher.watch is None:
            self.assertLess(self.clock - moved, NOTIFIED_AFTER_MOVE - RETRY_MARGIN)
            self.advance(CHECK_INTERVAL)
        self.accept_watch(there)[0].sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.assertEqual(self.failure_count(), 1)


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
                way = (
                    ways.pop(0) if ways else HEAD + list_line(5, True, state="leaving")
                )
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
            ("on_request", HEAD + list_line(5)[:30], 4.5),
            ("on_request", "refused", 2.0),
            ("pushed", self.BUSY, 0.8),
            ("pushed", "reset", 0.8),
            ("pushed", b"", 3.0),
            ("pushed", HEAD + list_line(5)[:30], 0.8),
            ("pushed", "refused", 0.8),
        ):
            self.changed = {"settings": SETTINGS | {"membership_mode": mode}}
            self.restart()
            self.assertFalse(self.drains())
            if first == "refused":
                address = self.listener.getsockname()
                self.listener.close()
                self.gateway.watcher.watch.end("not reached")
                self.pass_time(3.0)
                self.listener = socket.create_server(address)
                self.sockets.append(self.listener)
                first = HEAD + list_line(5, True, state="leaving")
            self.assertLess(self.waited(first), most, (mode, first))


if __name__ == "__main__":
    unittest.main()
