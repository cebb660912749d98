"""Races between a discovery call and a parallel call, over loopback sockets."""

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

DRAIN_GRACE = 8_000  # tenths of a millisecond, where lists are pushed


class ParallelCall(WatcherTest):
    def test_pushed_lists_a_list_that_stops_in_mid_line_gets_a_parallel_call(self):
        for answered in ("second", "first"):
            self.restart()
            self.watcher.config = replace(self.watcher.config, drain_grace=DRAIN_GRACE)
            self.watcher.request_watch()
            first, _ = self.accept_watch()
            first.sendall(HEAD + list_line(8, True)[:40])
            self.until(lambda: self.watcher.watch.progress is CallProgress.RECEIVING)
            self.advance(DRAIN_GRACE * PARALLEL_CALL_PUSHED[1])
            second = self.accept_parallel()
            answered_socket, other_socket, data = (
                (second, first, HEAD + list_line(8, True))
                if answered == "second"
                else (first, second, list_line(8, True)[40:])
            )
            answered_socket.sendall(data)
            self.until(lambda: self.updates)
            self.wait_until_closed(other_socket)
            self.advance(FIRST_VALUE_TIMEOUT)
            self.assertEqual(
                (self.updates, self.watcher.parallel),
                ([(EndpointUpdateKind.SNAPSHOT, "ready")], None),
                answered,
            )
            answered_socket.sendall(list_line(9, state="leaving"))
            self.until(
                lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining")
            )

    def test_a_parallel_call_that_is_reset_is_repeated_and_the_first_call_stays(self):
        self.watcher.config = replace(self.watcher.config, drain_grace=DRAIN_GRACE)
        self.watcher.request_watch()
        first, _ = self.accept_watch()
        first.sendall(HEAD + list_line(8, True)[:40])
        self.until(lambda: self.watcher.watch.progress is CallProgress.RECEIVING)
        self.advance(DRAIN_GRACE * PARALLEL_CALL_PUSHED[1])
        self.reset(self.accept_parallel())
        self.until(lambda: self.watcher.parallel is None)
        self.advance(DRAIN_GRACE * PARALLEL_CALL_PUSHED[1])
        self.accept_parallel()
        first.sendall(list_line(8, True)[40:])
        self.until(lambda: self.updates)
        self.assertEqual(self.updates, [(EndpointUpdateKind.SNAPSHOT, "ready")])

    def test_pushed_lists_a_pending_connect_gets_at_most_one_parallel_call(self):
        full_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(full_listener.close)
        for _ in range(3):  # its queue is full: no later connect completes
            sock = socket.socket()
            self.addCleanup(sock.close)
            sock.setblocking(False)
            sock.connect_ex(full_listener.getsockname())
        connect_tcp, ports = self.reactor.connectTCP, []

        def connect(host, port, factory, timeout):
            ports.append(port)
            return connect_tcp(
                host,
                full_listener.getsockname()[1] if len(ports) <= 2 else port,
                factory,
                timeout=timeout,
            )

        self.reactor.connectTCP = connect
        self.watcher.config = replace(self.watcher.config, drain_grace=DRAIN_GRACE)
        self.watcher.request_watch()
        self.turn(3)
        self.advance(DRAIN_GRACE * PARALLEL_CALL_PUSHED[1])
        self.turn(3)
        self.assertEqual((len(ports), len(self.reactor.getWriters())), (2, 2))
        self.advance(DRAIN_GRACE * PARALLEL_CALL_PUSHED[1])
        self.assertEqual((len(ports), self.failure_count()), (3, 0))
        self.assertLess(self.clock, CONNECT_TIMEOUT)
        second = self.accept_parallel()
        self.turn(3)
        self.assertEqual(
            len(self.reactor.getWriters()), 1
        )  # the first connect, which may still complete
        second.sendall(HEAD + list_line(8, True))
        self.until(lambda: self.updates)
        self.turn(3)
        self.assertEqual(
            (self.updates, self.reactor.getWriters(), self.watcher.parallel),
            ([(EndpointUpdateKind.SNAPSHOT, "ready")], [], None),
        )

    def test_pushed_lists_an_accepted_call_gets_a_parallel_one_only_after_a_timeout(
        self,
    ):
        self.watcher.config = replace(self.watcher.config, drain_grace=DRAIN_GRACE)
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

    def test_after_sighup_a_reset_and_an_unanswered_call_leave_time_for_a_third(self):
        self.open_watch()
        new_discovery = self.discovery()
        self.watcher.move(new_discovery.address)
        moved_at = self.clock
        self.reset(self.accept_watch(new_discovery)[0])
        self.until(lambda: self.watcher.watch is None)
        while not self.failure_count():
            self.advance(CHECK_INTERVAL)
        self.watcher.request_watch()
        first, _ = self.accept_watch(new_discovery)
        self.advance(PARALLEL_CALL_AFTER_MOVE[1] - (self.clock - moved_at))
        second = self.accept_parallel(new_discovery)
        second.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.wait_until_closed(first)
        self.assertLess(self.clock - moved_at, NOTIFIED_AFTER_MOVE - RETRY_MARGIN)
        self.assertEqual(self.failure_count(), 1)

    def test_after_sighup_the_call_after_two_resets_bypasses_the_schedulers_pause(self):
        self.open_watch()
        new_discovery = self.discovery()
        self.watcher.move(new_discovery.address)
        moved_at = self.clock
        self.reset(self.accept_watch(new_discovery)[0])
        self.until(lambda: self.watcher.watch is None)
        while not self.failure_count():
            self.advance(CHECK_INTERVAL)
        # The scheduler retries the first time at once, the second time after a pause.
        self.watcher.request_watch()
        self.reset(self.accept_watch(new_discovery)[0])
        self.until(lambda: self.watcher.watch is None)
        while self.watcher.watch is None:
            self.assertLess(self.clock - moved_at, NOTIFIED_AFTER_MOVE - RETRY_MARGIN)
            self.advance(CHECK_INTERVAL)
        self.accept_watch(new_discovery)[0].sendall(
            HEAD + list_line(8, state="leaving")
        )
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.assertEqual(self.failure_count(), 1)


class DiscoveryOutage(Loopback):
    """A gateway with pushed lists and a drain grace of 1 s, on a simulated clock."""

    changed = {"settings": SETTINGS | {"membership_mode": "pushed"}}

    def test_an_outage_costs_four_calls_a_second_and_its_end_is_seen_in_time(self):
        """The limits are four calls a second and half the drain grace."""
        address = self.listener.getsockname()
        self.listener.close()
        self.gateway.watcher.watch.end("down")
        notify, failed = self.gateway.watcher.listener, []
        self.gateway.watcher.listener = lambda kind, nodes: (
            failed.append(kind),
            notify(kind, nodes),
        )
        self.pass_time(20.0)
        self.assertEqual({EndpointUpdateKind.FAILED}, set(failed))
        self.assertLess(len(failed) / 20, 4)
        discovery = socket.create_server(address)
        self.sockets.append(discovery)
        discovery.setblocking(False)
        self.pass_time(0.5)
        discovery.accept()[0].close()


class OutdatedCache(Loopback):
    """A gateway whose cached endpoint list is outdated at the start.

    Its node is draining meanwhile.
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
                sock = self.listener.accept()[0]
            except BlockingIOError:
                return
            self.sockets.append(sock)
            yield sock

    def time_to_update(self, first):
        """Return the seconds from discovery being reachable to the scheduler's update.

        The first call gets `first`, the others the current list.
        """
        self.listener.setblocking(False)
        began, answers = self.time, [first]
        while not self.drains() and self.time < began + 10:
            self.pass_time(0.04)
            for sock in self.calls():
                answer = (
                    answers.pop(0)
                    if answers
                    else HEAD + list_line(5, True, state="leaving")
                )
                if answer == "reset":
                    reset(sock)
                else:
                    sock.sendall(answer)
        return self.time - began

    def test_an_update_after_the_cached_list_arrives_whatever_the_first_call_gets(self):
        for mode, first, time_limit in (
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
            self.assertLess(self.time_to_update(first), time_limit, (mode, first))


if __name__ == "__main__":
    unittest.main()
