"""Races between the gateway and discovery, over loopback sockets.

Each test brings about one order of events step by step.
"""

import json
import socket
import unittest

from milletsill.http_gateway.discovery_timing import (
    FIRST_VALUE_TIMEOUT,
    NOTIFIED_AFTER_MOVE,
    NOTIFIED_WITHIN,
    SILENCE_BEFORE_NEW_WATCH,
)
from milletsill.interface import EndpointUpdateKind
from tests.support.discovery_connections import (
    CHECK_INTERVAL,
    HEAD,
    HEARTBEAT,
    WatcherTest,
    list_line,
)
from tests.support.http_gateway_rig import NODE


class DiscoveryRaces(WatcherTest):
    def test_an_accepted_call_that_is_never_answered_times_out(self):
        for answer in (b"", HEAD, HEAD + list_line(9)[:40]):
            self.updates.clear()
            self.watcher.request_watch()
            server_socket, _ = self.accept_watch()
            server_socket.sendall(answer)
            self.until(lambda: bool(self.watcher.watch.response.status) == bool(answer))
            self.advance(FIRST_VALUE_TIMEOUT)
            self.assertEqual(self.failure_count(), 0, answer)
            self.advance(2 * CHECK_INTERVAL)
            self.assertEqual(self.failure_count(), 1, answer)

    def test_an_answer_octet_by_octet_is_complete_or_times_out_as_any_other(self):
        self.watcher.request_watch()
        server_socket, _ = self.accept_watch()
        for index in range(len(HEAD)):
            server_socket.sendall(HEAD[index : index + 1])
        self.until(lambda: self.watcher.watch.response.status)
        data = list_line(7, True)
        waited = 0
        while not self.failure_count():
            self.assertLess(waited, FIRST_VALUE_TIMEOUT + 3 * CHECK_INTERVAL)
            server_socket.sendall(
                data[waited // CHECK_INTERVAL : waited // CHECK_INTERVAL + 1]
            )
            self.advance(CHECK_INTERVAL)
            waited += CHECK_INTERVAL
        self.watcher.request_watch()
        server_socket, _ = self.accept_watch()
        for index in range(len(HEAD + data)):
            server_socket.sendall((HEAD + data)[index : index + 1])
            self.turn()
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.SNAPSHOT, "ready"))

    def test_an_indented_list_in_two_pieces_is_read_when_complete(self):
        data = (
            json.dumps(
                {"version": 9, "full": True, "servers": [NODE]}, indent=1
            ).encode()
            + b"\n"
        )
        for cut in range(1, len(data), 17):
            self.updates.clear()
            self.watcher.request_watch()
            server_socket, _ = self.accept_watch()
            server_socket.sendall(HEAD + b"%x\r\n%s\r\n" % (cut, data[:cut]))
            self.until(lambda: self.watcher.watch.response.status)
            # A heartbeat between two pieces carries no update.
            server_socket.sendall(HEARTBEAT)
            self.advance(FIRST_VALUE_TIMEOUT - CHECK_INTERVAL)
            self.assertEqual(self.updates, [], cut)
            server_socket.sendall(b"%x\r\n%s\r\n" % (len(data) - cut, data[cut:]))
            self.until(lambda: self.updates)
            self.assertEqual(
                self.updates, [(EndpointUpdateKind.SNAPSHOT, "ready")], cut
            )
            self.reset(server_socket)
            self.until(self.failure_count)

    def test_a_complete_list_without_a_line_end_is_reported_at_once(self):
        """An incomplete list is not reported."""
        for indent, version in ((None, 9), (1, 10)):
            update = {
                "version": version,
                "full": True,
                "servers": [NODE, NODE | {"id": "} ] }", "zone": "{"}],
            }
            data = json.dumps(update, indent=indent).encode()
            self.updates.clear()
            self.watcher.request_watch()
            server_socket, _ = self.accept_watch()
            server_socket.sendall(HEAD)
            for index in range(len(data)):
                self.assertEqual(self.updates, [], data[:index])
                server_socket.sendall(b"1\r\n%s\r\n" % data[index : index + 1])
                self.turn()
            self.until(lambda: self.updates)
            self.advance(2 * CHECK_INTERVAL)
            server_socket.sendall(HEARTBEAT)  # the line end of the list
            server_socket.sendall(list_line(version + 1, state="leaving"))
            self.until(lambda: len(self.updates) > 1)
            self.assertEqual(
                self.updates,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready", "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                ],
                indent,
            )
            self.reset(server_socket)
            self.until(self.failure_count)

    def test_half_a_line_then_silence_on_an_open_watch_opens_another_in_time(self):
        old_socket = self.open_watch()
        old_socket.sendall(list_line(8)[:40])
        self.until(lambda: self.watcher.watch.response.line)
        # Single octets follow.
        for index in range(SILENCE_BEFORE_NEW_WATCH[1] // CHECK_INTERVAL + 2):
            old_socket.sendall(list_line(8)[40 + index : 41 + index])
            self.advance(CHECK_INTERVAL)
        server_socket, from_version = self.accept_watch()
        server_socket.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: len(self.updates) == 2)
        self.assertEqual(
            (from_version, self.updates[-1], self.failure_count()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )
        self.assertLess(self.clock, NOTIFIED_WITHIN - FIRST_VALUE_TIMEOUT)

    def test_a_reset_in_mid_line_drops_the_line_and_the_version_stays(self):
        server_socket = self.open_watch()
        server_socket.sendall(list_line(8)[:40])
        self.until(lambda: self.watcher.watch.response.line)
        self.reset(server_socket)
        self.until(self.failure_count)
        self.watcher.request_watch()
        self.assertEqual((self.accept_watch()[1], len(self.updates)), (7, 2))

    def test_a_list_directly_followed_by_the_end_of_the_watch_counts(self):
        for ending in (b"0\r\n\r\n", b""):
            self.updates.clear()
            self.watcher.version = 0
            self.watcher.request_watch()
            server_socket, _ = self.accept_watch()
            server_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            server_socket.sendall(
                HEAD + list_line(7, True) + list_line(8, state="leaving") + ending
            )
            server_socket.shutdown(socket.SHUT_WR)
            self.until(self.failure_count)
            self.assertEqual(
                self.updates,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                    (EndpointUpdateKind.FAILED,),
                ],
            )

    def test_the_old_watch_and_the_new_one_deliver_an_update_at_the_same_time(self):
        for first in ("old", "new"):
            self.restart()
            old_socket = self.open_watch()
            self.advance(SILENCE_BEFORE_NEW_WATCH[1] + 2 * CHECK_INTERVAL)
            new_socket, from_version = self.accept_watch()
            updates = {
                "old": (old_socket, list_line(8, state="leaving")),
                "new": (new_socket, HEAD + list_line(8, state="leaving")),
            }
            for name in (first, "old" if first == "new" else "new"):
                server_socket, data = updates[name]
                server_socket.sendall(data)
            self.until(lambda: self.watcher.previous is None)
            self.turn(5)
            self.assertEqual(
                (
                    from_version,
                    self.failure_count(),
                    {each[1:] for each in self.updates[1:]},
                ),
                (7, 0, {("draining",)}),
                first,
            )
            new_socket.sendall(list_line(9))
            self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "ready"))

    def test_a_watch_that_is_reset_while_another_is_opened_leaves_one_call(self):
        old_socket = self.open_watch()
        self.clock += SILENCE_BEFORE_NEW_WATCH[1] + CHECK_INTERVAL
        self.reset(old_socket)
        # This requests a call; the reactor turn that opens it reads the reset first.
        self.watcher.check()
        self.until(lambda: self.watcher.previous is None)
        server_socket, from_version = self.accept_watch()
        server_socket.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: len(self.updates) == 2)
        self.assertEqual(
            (from_version, self.updates[-1], self.failure_count()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )

    def test_sighup_while_the_answer_to_a_call_is_in_transit(self):
        for answer_arrives, expected in (
            ("before the new call", 7),
            ("after it", 0),
            ("never", 0),
        ):
            self.restart()
            self.watcher.request_watch()
            first, _ = self.accept_watch()
            new_discovery = self.discovery()
            self.watcher.move(new_discovery.address)
            if answer_arrives == "before the new call":
                first.sendall(HEAD + list_line(7, True))
                self.until(lambda: self.updates)
            new_socket, from_version = self.accept_watch(new_discovery)
            self.assertEqual(from_version, expected, answer_arrives)
            if answer_arrives == "after it":
                first.sendall(HEAD + list_line(7, True))
                self.until(lambda: self.updates)
            new_socket.sendall(HEAD + list_line(8, True, state="leaving"))
            self.until(
                lambda: (EndpointUpdateKind.SNAPSHOT, "draining") in self.updates
            )
            self.until(lambda: self.watcher.previous is None)
            self.assertEqual(
                (self.failure_count(), len(self.updates)),
                (0, 2 - (answer_arrives == "never")),
                answer_arrives,
            )

    def test_after_sighup_an_unanswered_call_fails_though_the_old_watch_lives(self):
        old_socket = self.open_watch()
        new_discovery = self.discovery()
        self.watcher.move(new_discovery.address)
        moved_at = self.clock
        self.accept_watch(new_discovery)
        # The old watch continues to send heartbeats.
        for _ in range(FIRST_VALUE_TIMEOUT // CHECK_INTERVAL // 10 + 1):
            old_socket.sendall(HEARTBEAT)
            self.turn(2)
            self.advance(10 * CHECK_INTERVAL)
        self.assertIsNone(self.watcher.watch)
        while not self.failure_count():
            self.assertLess(
                self.clock - moved_at, NOTIFIED_AFTER_MOVE - 3 * CHECK_INTERVAL
            )
            old_socket.sendall(HEARTBEAT)
            self.advance(CHECK_INTERVAL)
        self.watcher.request_watch()
        server_socket, from_version = self.accept_watch(new_discovery)
        server_socket.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.assertEqual(from_version, 7)


if __name__ == "__main__":
    unittest.main()
