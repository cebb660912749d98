"""What crosses on the way to and from discovery, over real sockets.

Each crossing is brought about step by step.
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


class Crossing(WatcherTest):
    def test_a_call_that_is_taken_and_never_answered_is_over_after_its_time(self):
        for answer in (b"", HEAD, HEAD + list_line(9)[:40]):
            self.updates.clear()
            self.watcher.request_watch()
            end, _ = self.accept_watch()
            end.sendall(answer)
            self.until(lambda: bool(self.watcher.watch.response.status) == bool(answer))
            self.advance(FIRST_VALUE_TIMEOUT)
            self.assertEqual(self.failure_count(), 0, answer)
            self.advance(2 * CHECK_INTERVAL)
            self.assertEqual(self.failure_count(), 1, answer)

    def test_an_answer_octet_by_octet_is_read_whole_or_over_in_the_same_time(self):
        self.watcher.request_watch()
        end, _ = self.accept_watch()
        for place in range(len(HEAD)):
            end.sendall(HEAD[place : place + 1])
        self.until(lambda: self.watcher.watch.response.status)
        text = list_line(7, True)
        spent = 0
        while not self.failure_count():
            self.assertLess(spent, FIRST_VALUE_TIMEOUT + 3 * CHECK_INTERVAL)
            end.sendall(text[spent // CHECK_INTERVAL : spent // CHECK_INTERVAL + 1])
            self.advance(CHECK_INTERVAL)
            spent += CHECK_INTERVAL
        self.watcher.request_watch()
        end, _ = self.accept_watch()
        for place in range(len(HEAD + text)):
            end.sendall((HEAD + text)[place : place + 1])
            self.turn()
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.SNAPSHOT, "ready"))

    def test_an_indented_list_that_comes_in_pieces_and_one_that_stops_half_way(self):
        text = (
            json.dumps(
                {"version": 9, "full": True, "servers": [NODE]}, indent=1
            ).encode()
            + b"\n"
        )
        for cut in range(1, len(text), 17):
            self.updates.clear()
            self.watcher.request_watch()
            end, _ = self.accept_watch()
            end.sendall(HEAD + b"%x\r\n%s\r\n" % (cut, text[:cut]))
            self.until(lambda: self.watcher.watch.response.status)
            end.sendall(HEARTBEAT)  # between two parts it says nothing
            self.advance(FIRST_VALUE_TIMEOUT - CHECK_INTERVAL)
            self.assertEqual(self.updates, [], cut)
            end.sendall(b"%x\r\n%s\r\n" % (len(text) - cut, text[cut:]))
            self.until(lambda: self.updates)
            self.assertEqual(
                self.updates, [(EndpointUpdateKind.SNAPSHOT, "ready")], cut
            )
            self.reset(end)
            self.until(self.failure_count)

    def test_a_list_without_a_line_end_is_told_at_once_and_what_is_no_whole_one_is_not(
        self,
    ):
        for indent, version in ((None, 9), (1, 10)):
            whole = {
                "version": version,
                "full": True,
                "servers": [NODE, NODE | {"id": "} ] }", "zone": "{"}],
            }
            text = json.dumps(whole, indent=indent).encode()
            self.updates.clear()
            self.watcher.request_watch()
            end, _ = self.accept_watch()
            end.sendall(HEAD)
            for place in range(len(text)):
                self.assertEqual(self.updates, [], text[:place])
                end.sendall(b"1\r\n%s\r\n" % text[place : place + 1])
                self.turn()
            self.until(lambda: self.updates)
            self.advance(2 * CHECK_INTERVAL)
            end.sendall(HEARTBEAT)  # its line end
            end.sendall(list_line(version + 1, state="leaving"))
            self.until(lambda: len(self.updates) > 1)
            self.assertEqual(
                self.updates,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready", "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                ],
                indent,
            )
            self.reset(end)
            self.until(self.failure_count)

    def test_half_a_line_then_silence_on_a_watch_that_stands_opens_another_in_time(
        self,
    ):
        old = self.open_watch()
        old.sendall(list_line(8)[:40])
        self.until(lambda: self.watcher.watch.response.line)
        for place in range(
            SILENCE_BEFORE_NEW_WATCH[1] // CHECK_INTERVAL + 2
        ):  # and it drips
            old.sendall(list_line(8)[40 + place : 41 + place])
            self.advance(CHECK_INTERVAL)
        end, asked = self.accept_watch()
        end.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: len(self.updates) == 2)
        self.assertEqual(
            (asked, self.updates[-1], self.failure_count()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )
        self.assertLess(self.clock, NOTIFIED_WITHIN - FIRST_VALUE_TIMEOUT)

    def test_a_reset_in_mid_line_tells_nothing_of_it_and_asks_from_the_version_held(
        self,
    ):
        end = self.open_watch()
        end.sendall(list_line(8)[:40])
        self.until(lambda: self.watcher.watch.response.line)
        self.reset(end)
        self.until(self.failure_count)
        self.watcher.request_watch()
        self.assertEqual((self.accept_watch()[1], len(self.updates)), (7, 2))

    def test_a_list_with_the_end_right_behind_it_counts_and_the_end_too(self):
        for end_of_it in (b"0\r\n\r\n", b""):
            self.updates.clear()
            self.watcher.version = 0
            self.watcher.request_watch()
            end, _ = self.accept_watch()
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            end.sendall(
                HEAD + list_line(7, True) + list_line(8, state="leaving") + end_of_it
            )
            end.shutdown(socket.SHUT_WR)
            self.until(self.failure_count)
            self.assertEqual(
                self.updates,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                    (EndpointUpdateKind.FAILED,),
                ],
            )

    def test_the_old_watch_speaks_in_the_moment_of_the_new_ones_first_line(self):
        for first in ("old", "new"):
            self.restart()
            old = self.open_watch()
            self.advance(SILENCE_BEFORE_NEW_WATCH[1] + 2 * CHECK_INTERVAL)
            new, asked = self.accept_watch()
            lines = {
                "old": (old, list_line(8, state="leaving")),
                "new": (new, HEAD + list_line(8, state="leaving")),
            }
            for name in (first, "old" if first == "new" else "new"):
                end, text = lines[name]
                end.sendall(text)
            self.until(lambda: self.watcher.previous is None)
            self.turn(5)
            self.assertEqual(
                (asked, self.failure_count(), {each[1:] for each in self.updates[1:]}),
                (7, 0, {("draining",)}),
                first,
            )
            new.sendall(list_line(9))
            self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "ready"))

    def test_a_watch_that_is_reset_between_the_ask_and_the_open_leaves_one_call(self):
        old = self.open_watch()
        self.clock += SILENCE_BEFORE_NEW_WATCH[1] + CHECK_INTERVAL
        self.reset(old)
        self.watcher.check()  # asks; in the turn that opens, the reset is read first
        self.until(lambda: self.watcher.previous is None)
        end, asked = self.accept_watch()
        end.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: len(self.updates) == 2)
        self.assertEqual(
            (asked, self.updates[-1], self.failure_count()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )

    def test_sighup_while_a_call_is_under_way_and_its_answer_crosses(self):
        for crosses, wanted in (
            ("before the new call", 7),
            ("after it", 0),
            ("never", 0),
        ):
            self.restart()
            self.watcher.request_watch()
            first, _ = self.accept_watch()
            there = self.discovery()
            self.watcher.move(there.address)
            if crosses == "before the new call":
                first.sendall(HEAD + list_line(7, True))
                self.until(lambda: self.updates)
            new, asked = self.accept_watch(there)
            self.assertEqual(asked, wanted, crosses)
            if crosses == "after it":
                first.sendall(HEAD + list_line(7, True))
                self.until(lambda: self.updates)
            new.sendall(HEAD + list_line(8, True, state="leaving"))
            self.until(
                lambda: (EndpointUpdateKind.SNAPSHOT, "draining") in self.updates
            )
            self.until(lambda: self.watcher.previous is None)
            self.assertEqual(
                (self.failure_count(), len(self.updates)),
                (0, 2 - (crosses == "never")),
                crosses,
            )

    def test_sighup_to_an_address_that_takes_the_call_and_never_answers_while_the_old_watch_beats_on(
        self,
    ):
        old = self.open_watch()
        there = self.discovery()
        self.watcher.move(there.address)
        moved = self.clock
        self.accept_watch(there)
        for _ in range(
            FIRST_VALUE_TIMEOUT // CHECK_INTERVAL // 10 + 1
        ):  # the old one beats on
            old.sendall(HEARTBEAT)
            self.turn(2)
            self.advance(10 * CHECK_INTERVAL)
        self.assertIsNone(self.watcher.watch)
        while not self.failure_count():
            self.assertLess(
                self.clock - moved, NOTIFIED_AFTER_MOVE - 3 * CHECK_INTERVAL
            )
            old.sendall(HEARTBEAT)
            self.advance(CHECK_INTERVAL)
        self.watcher.request_watch()
        end, asked = self.accept_watch(there)
        end.sendall(HEAD + list_line(8, state="leaving"))
        self.until(lambda: self.updates[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.assertEqual(asked, 7)


if __name__ == "__main__":
    unittest.main()
