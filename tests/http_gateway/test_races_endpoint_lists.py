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
from tests.support.discovery_connections import BEAT, HEAD, LOOK, Held, said
from tests.support.http_gateway_rig import NODE


class DiscoveryRaces(Held):
    def test_an_accepted_call_that_is_never_answered_times_out(self):
        for answer in (b"", HEAD, HEAD + said(9)[:40]):
            self.told.clear()
            self.follower.request_watch()
            server_socket, _ = self.taken()
            server_socket.sendall(answer)
            self.until(
                lambda: bool(self.follower.watch.response.status) == bool(answer)
            )
            self.go(FIRST_VALUE_TIMEOUT)
            self.assertEqual(self.failed(), 0, answer)
            self.go(2 * LOOK)
            self.assertEqual(self.failed(), 1, answer)

    def test_an_answer_octet_by_octet_is_complete_or_times_out_as_any_other(self):
        self.follower.request_watch()
        server_socket, _ = self.taken()
        for index in range(len(HEAD)):
            server_socket.sendall(HEAD[index : index + 1])
        self.until(lambda: self.follower.watch.response.status)
        data = said(7, True)
        waited = 0
        while not self.failed():
            self.assertLess(waited, FIRST_VALUE_TIMEOUT + 3 * LOOK)
            server_socket.sendall(data[waited // LOOK : waited // LOOK + 1])
            self.go(LOOK)
            waited += LOOK
        self.follower.request_watch()
        server_socket, _ = self.taken()
        for index in range(len(HEAD + data)):
            server_socket.sendall((HEAD + data)[index : index + 1])
            self.turn()
        self.until(lambda: self.told[-1] == (EndpointUpdateKind.SNAPSHOT, "ready"))

    def test_an_indented_list_in_two_pieces_is_read_when_complete(self):
        data = (
            json.dumps(
                {"version": 9, "full": True, "servers": [NODE]}, indent=1
            ).encode()
            + b"\n"
        )
        for cut in range(1, len(data), 17):
            self.told.clear()
            self.follower.request_watch()
            server_socket, _ = self.taken()
            server_socket.sendall(HEAD + b"%x\r\n%s\r\n" % (cut, data[:cut]))
            self.until(lambda: self.follower.watch.response.status)
            # A heartbeat between two pieces carries no update.
            server_socket.sendall(BEAT)
            self.go(FIRST_VALUE_TIMEOUT - LOOK)
            self.assertEqual(self.told, [], cut)
            server_socket.sendall(b"%x\r\n%s\r\n" % (len(data) - cut, data[cut:]))
            self.until(lambda: self.told)
            self.assertEqual(self.told, [(EndpointUpdateKind.SNAPSHOT, "ready")], cut)
            self.reset(server_socket)
            self.until(self.failed)

    def test_a_complete_list_without_a_line_end_is_reported_at_once(self):
        """An incomplete list is not reported."""
        for indent, version in ((None, 9), (1, 10)):
            update = {
                "version": version,
                "full": True,
                "servers": [NODE, NODE | {"id": "} ] }", "zone": "{"}],
            }
            data = json.dumps(update, indent=indent).encode()
            self.told.clear()
            self.follower.request_watch()
            server_socket, _ = self.taken()
            server_socket.sendall(HEAD)
            for index in range(len(data)):
                self.assertEqual(self.told, [], data[:index])
                server_socket.sendall(b"1\r\n%s\r\n" % data[index : index + 1])
                self.turn()
            self.until(lambda: self.told)
            self.go(2 * LOOK)
            server_socket.sendall(BEAT)  # the line end of the list
            server_socket.sendall(said(version + 1, state="leaving"))
            self.until(lambda: len(self.told) > 1)
            self.assertEqual(
                self.told,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready", "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                ],
                indent,
            )
            self.reset(server_socket)
            self.until(self.failed)

    def test_half_a_line_then_silence_on_an_open_watch_opens_another_in_time(self):
        old_socket = self.standing()
        old_socket.sendall(said(8)[:40])
        self.until(lambda: self.follower.watch.response.line)
        # Single octets follow.
        for index in range(SILENCE_BEFORE_NEW_WATCH[1] // LOOK + 2):
            old_socket.sendall(said(8)[40 + index : 41 + index])
            self.go(LOOK)
        server_socket, from_version = self.taken()
        server_socket.sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(
            (from_version, self.told[-1], self.failed()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )
        self.assertLess(self.clock, NOTIFIED_WITHIN - FIRST_VALUE_TIMEOUT)

    def test_a_reset_in_mid_line_drops_the_line_and_the_version_stays(self):
        server_socket = self.standing()
        server_socket.sendall(said(8)[:40])
        self.until(lambda: self.follower.watch.response.line)
        self.reset(server_socket)
        self.until(self.failed)
        self.follower.request_watch()
        self.assertEqual((self.taken()[1], len(self.told)), (7, 2))

    def test_a_list_directly_followed_by_the_end_of_the_watch_counts(self):
        for ending in (b"0\r\n\r\n", b""):
            self.told.clear()
            self.follower.version = 0
            self.follower.request_watch()
            server_socket, _ = self.taken()
            server_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            server_socket.sendall(
                HEAD + said(7, True) + said(8, state="leaving") + ending
            )
            server_socket.shutdown(socket.SHUT_WR)
            self.until(self.failed)
            self.assertEqual(
                self.told,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                    (EndpointUpdateKind.FAILED,),
                ],
            )

    def test_the_old_watch_and_the_new_one_deliver_an_update_at_the_same_time(self):
        for first in ("old", "new"):
            self.again()
            old_socket = self.standing()
            self.go(SILENCE_BEFORE_NEW_WATCH[1] + 2 * LOOK)
            new_socket, from_version = self.taken()
            updates = {
                "old": (old_socket, said(8, state="leaving")),
                "new": (new_socket, HEAD + said(8, state="leaving")),
            }
            for name in (first, "old" if first == "new" else "new"):
                server_socket, data = updates[name]
                server_socket.sendall(data)
            self.until(lambda: self.follower.previous is None)
            self.turn(5)
            self.assertEqual(
                (from_version, self.failed(), {each[1:] for each in self.told[1:]}),
                (7, 0, {("draining",)}),
                first,
            )
            new_socket.sendall(said(9))
            self.until(lambda: self.told[-1] == (EndpointUpdateKind.DELTA, "ready"))

    def test_a_watch_that_is_reset_while_another_is_opened_leaves_one_call(self):
        old_socket = self.standing()
        self.clock += SILENCE_BEFORE_NEW_WATCH[1] + LOOK
        self.reset(old_socket)
        # This requests a call; the reactor turn that opens it reads the reset first.
        self.follower.check()
        self.until(lambda: self.follower.previous is None)
        server_socket, from_version = self.taken()
        server_socket.sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(
            (from_version, self.told[-1], self.failed()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )

    def test_sighup_while_the_answer_to_a_call_is_in_transit(self):
        for answer_arrives, expected in (
            ("before the new call", 7),
            ("after it", 0),
            ("never", 0),
        ):
            self.again()
            self.follower.request_watch()
            first, _ = self.taken()
            new_discovery = self.discovery()
            self.follower.move(new_discovery.address)
            if answer_arrives == "before the new call":
                first.sendall(HEAD + said(7, True))
                self.until(lambda: self.told)
            new_socket, from_version = self.taken(new_discovery)
            self.assertEqual(from_version, expected, answer_arrives)
            if answer_arrives == "after it":
                first.sendall(HEAD + said(7, True))
                self.until(lambda: self.told)
            new_socket.sendall(HEAD + said(8, True, state="leaving"))
            self.until(lambda: (EndpointUpdateKind.SNAPSHOT, "draining") in self.told)
            self.until(lambda: self.follower.previous is None)
            self.assertEqual(
                (self.failed(), len(self.told)),
                (0, 2 - (answer_arrives == "never")),
                answer_arrives,
            )

    def test_after_sighup_an_unanswered_call_fails_though_the_old_watch_lives(self):
        old_socket = self.standing()
        new_discovery = self.discovery()
        self.follower.move(new_discovery.address)
        moved_at = self.clock
        self.taken(new_discovery)
        # The old watch continues to send heartbeats.
        for _ in range(FIRST_VALUE_TIMEOUT // LOOK // 10 + 1):
            old_socket.sendall(BEAT)
            self.turn(2)
            self.go(10 * LOOK)
        self.assertIsNone(self.follower.watch)
        while not self.failed():
            self.assertLess(self.clock - moved_at, NOTIFIED_AFTER_MOVE - 3 * LOOK)
            old_socket.sendall(BEAT)
            self.go(LOOK)
        self.follower.request_watch()
        server_socket, from_version = self.taken(new_discovery)
        server_socket.sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: self.told[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.assertEqual(from_version, 7)


if __name__ == "__main__":
    unittest.main()
