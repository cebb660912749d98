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
from tests.support.discovery_connections import BEAT, HEAD, LOOK, Held, said
from tests.support.http_gateway_rig import NODE


class Crossing(Held):
    def test_a_call_that_is_taken_and_never_answered_is_over_after_its_time(self):
        for answer in (b"", HEAD, HEAD + said(9)[:40]):
            self.told.clear()
            self.follower.request_watch()
            end, _ = self.taken()
            end.sendall(answer)
            self.until(
                lambda: bool(self.follower.watch.response.status) == bool(answer)
            )
            self.go(FIRST_VALUE_TIMEOUT)
            self.assertEqual(self.failed(), 0, answer)
            self.go(2 * LOOK)
            self.assertEqual(self.failed(), 1, answer)

    def test_an_answer_octet_by_octet_is_read_whole_or_over_in_the_same_time(self):
        self.follower.request_watch()
        end, _ = self.taken()
        for place in range(len(HEAD)):
            end.sendall(HEAD[place : place + 1])
        self.until(lambda: self.follower.watch.response.status)
        text = said(7, True)
        spent = 0
        while not self.failed():
            self.assertLess(spent, FIRST_VALUE_TIMEOUT + 3 * LOOK)
            end.sendall(text[spent // LOOK : spent // LOOK + 1])
            self.go(LOOK)
            spent += LOOK
        self.follower.request_watch()
        end, _ = self.taken()
        for place in range(len(HEAD + text)):
            end.sendall((HEAD + text)[place : place + 1])
            self.turn()
        self.until(lambda: self.told[-1] == (EndpointUpdateKind.SNAPSHOT, "ready"))

    def test_an_indented_list_that_comes_in_pieces_and_one_that_stops_half_way(self):
        text = (
            json.dumps(
                {"version": 9, "full": True, "servers": [NODE]}, indent=1
            ).encode()
            + b"\n"
        )
        for cut in range(1, len(text), 17):
            self.told.clear()
            self.follower.request_watch()
            end, _ = self.taken()
            end.sendall(HEAD + b"%x\r\n%s\r\n" % (cut, text[:cut]))
            self.until(lambda: self.follower.watch.response.status)
            end.sendall(BEAT)  # between two parts it says nothing
            self.go(FIRST_VALUE_TIMEOUT - LOOK)
            self.assertEqual(self.told, [], cut)
            end.sendall(b"%x\r\n%s\r\n" % (len(text) - cut, text[cut:]))
            self.until(lambda: self.told)
            self.assertEqual(self.told, [(EndpointUpdateKind.SNAPSHOT, "ready")], cut)
            self.reset(end)
            self.until(self.failed)

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
            self.told.clear()
            self.follower.request_watch()
            end, _ = self.taken()
            end.sendall(HEAD)
            for place in range(len(text)):
                self.assertEqual(self.told, [], text[:place])
                end.sendall(b"1\r\n%s\r\n" % text[place : place + 1])
                self.turn()
            self.until(lambda: self.told)
            self.go(2 * LOOK)
            end.sendall(BEAT)  # its line end
            end.sendall(said(version + 1, state="leaving"))
            self.until(lambda: len(self.told) > 1)
            self.assertEqual(
                self.told,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready", "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                ],
                indent,
            )
            self.reset(end)
            self.until(self.failed)

    def test_half_a_line_then_silence_on_a_watch_that_stands_opens_another_in_time(
        self,
    ):
        old = self.standing()
        old.sendall(said(8)[:40])
        self.until(lambda: self.follower.watch.response.line)
        for place in range(SILENCE_BEFORE_NEW_WATCH[1] // LOOK + 2):  # and it drips
            old.sendall(said(8)[40 + place : 41 + place])
            self.go(LOOK)
        end, asked = self.taken()
        end.sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(
            (asked, self.told[-1], self.failed()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )
        self.assertLess(self.clock, NOTIFIED_WITHIN - FIRST_VALUE_TIMEOUT)

    def test_a_reset_in_mid_line_tells_nothing_of_it_and_asks_from_the_version_held(
        self,
    ):
        end = self.standing()
        end.sendall(said(8)[:40])
        self.until(lambda: self.follower.watch.response.line)
        self.reset(end)
        self.until(self.failed)
        self.follower.request_watch()
        self.assertEqual((self.taken()[1], len(self.told)), (7, 2))

    def test_a_list_with_the_end_right_behind_it_counts_and_the_end_too(self):
        for end_of_it in (b"0\r\n\r\n", b""):
            self.told.clear()
            self.follower.version = 0
            self.follower.request_watch()
            end, _ = self.taken()
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            end.sendall(HEAD + said(7, True) + said(8, state="leaving") + end_of_it)
            end.shutdown(socket.SHUT_WR)
            self.until(self.failed)
            self.assertEqual(
                self.told,
                [
                    (EndpointUpdateKind.SNAPSHOT, "ready"),
                    (EndpointUpdateKind.DELTA, "draining"),
                    (EndpointUpdateKind.FAILED,),
                ],
            )

    def test_the_old_watch_speaks_in_the_moment_of_the_new_ones_first_line(self):
        for first in ("old", "new"):
            self.again()
            old = self.standing()
            self.go(SILENCE_BEFORE_NEW_WATCH[1] + 2 * LOOK)
            new, asked = self.taken()
            lines = {
                "old": (old, said(8, state="leaving")),
                "new": (new, HEAD + said(8, state="leaving")),
            }
            for name in (first, "old" if first == "new" else "new"):
                end, text = lines[name]
                end.sendall(text)
            self.until(lambda: self.follower.previous is None)
            self.turn(5)
            self.assertEqual(
                (asked, self.failed(), {each[1:] for each in self.told[1:]}),
                (7, 0, {("draining",)}),
                first,
            )
            new.sendall(said(9))
            self.until(lambda: self.told[-1] == (EndpointUpdateKind.DELTA, "ready"))

    def test_a_watch_that_is_reset_between_the_ask_and_the_open_leaves_one_call(self):
        old = self.standing()
        self.clock += SILENCE_BEFORE_NEW_WATCH[1] + LOOK
        self.reset(old)
        self.follower.check()  # asks; in the turn that opens, the reset is read first
        self.until(lambda: self.follower.previous is None)
        end, asked = self.taken()
        end.sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: len(self.told) == 2)
        self.assertEqual(
            (asked, self.told[-1], self.failed()),
            (7, (EndpointUpdateKind.DELTA, "draining"), 0),
        )

    def test_sighup_while_a_call_is_under_way_and_its_answer_crosses(self):
        for crosses, wanted in (
            ("before the new call", 7),
            ("after it", 0),
            ("never", 0),
        ):
            self.again()
            self.follower.request_watch()
            first, _ = self.taken()
            there = self.discovery()
            self.follower.move(there.address)
            if crosses == "before the new call":
                first.sendall(HEAD + said(7, True))
                self.until(lambda: self.told)
            new, asked = self.taken(there)
            self.assertEqual(asked, wanted, crosses)
            if crosses == "after it":
                first.sendall(HEAD + said(7, True))
                self.until(lambda: self.told)
            new.sendall(HEAD + said(8, True, state="leaving"))
            self.until(lambda: (EndpointUpdateKind.SNAPSHOT, "draining") in self.told)
            self.until(lambda: self.follower.previous is None)
            self.assertEqual(
                (self.failed(), len(self.told)), (0, 2 - (crosses == "never")), crosses
            )

    def test_sighup_to_an_address_that_takes_the_call_and_never_answers_while_the_old_watch_beats_on(
        self,
    ):
        old = self.standing()
        there = self.discovery()
        self.follower.move(there.address)
        moved = self.clock
        self.taken(there)
        for _ in range(FIRST_VALUE_TIMEOUT // LOOK // 10 + 1):  # the old one beats on
            old.sendall(BEAT)
            self.turn(2)
            self.go(10 * LOOK)
        self.assertIsNone(self.follower.watch)
        while not self.failed():
            self.assertLess(self.clock - moved, NOTIFIED_AFTER_MOVE - 3 * LOOK)
            old.sendall(BEAT)
            self.go(LOOK)
        self.follower.request_watch()
        end, asked = self.taken(there)
        end.sendall(HEAD + said(8, state="leaving"))
        self.until(lambda: self.told[-1] == (EndpointUpdateKind.DELTA, "draining"))
        self.assertEqual(asked, 7)


if __name__ == "__main__":
    unittest.main()
