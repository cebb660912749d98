"""Descriptors at their edge, and clients that send what cannot be read: what others are owed beside them, on loopback sockets."""
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from contextlib import suppress
from dataclasses import replace

from milletsill.platform.decide import OVER, Stage
from tests.platform_rig import GIVEN, NODE, TXN, Loopback, ask, node_stand_in

READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
LIVE = b"GET /health/live HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}
OWED = 3.0  # seconds within which a bad client has an error or a close
BAD = {  # what is sent, and by what it is counted; nothing: by its close alone
    "noise": (b"\x00\xff\n\n", "a head that can be read in two ways"),
    "a request that is none": (b"EAT /me\r\n\r\n", "a head that cannot be read"),
    "an endless head": (b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 4000, "a head over the bound"),
    "half a request": (ask()[:60], "a request that does not end"),
    "silence": (b"", ""),
    "a length below zero": (ask(Content_Length="-5", **KEYED), "a head that cannot be read"),
    "a length that is huge": (ask(Content_Length="9" * 30, **KEYED), "a head that cannot be read"),
    "two ways to tell the length": (
        ask(Content_Length="4", Transfer_Encoding="chunked", **KEYED) + b"abcd", "a head that cannot be read"),
    "sixty megabytes": (ask(Content_Length="62914560", **KEYED) + b"x" * 300_000, "a body over the bound"),
    "chunks that are none": (ask(Transfer_Encoding="chunked", **KEYED) + b"zz\r\n", "chunks that cannot be read"),
    "chunks without an end": (
        ask(Transfer_Encoding="chunked", **KEYED) + b"1000\r\n" + b"x" * 4096 + b"\r\n", "a request that does not end"),
    "a class that does not exist": (ask(name="none"), "x-lane is not known"),
    "a plan that does not exist": (ask(X_Plan="none"), "x-plan is not known"),
    "a deadline that is no number": (ask(X_Remaining_Ms="NaN"), "x-remaining-ms"),
    "no id": (ask(drop=["X-Txn"]), "x-txn"),
    "the id of another's open request": (ask(TXN + 7), "x-txn is another's open one"),
    "hundreds at once": (b"".join(ask(number) for number in range(100, 400)) + b"x", "too much ahead of an answer"),
}


class Bad(Loopback):

    def refused(self):
        return {value: count for (what, value), count in self.gateway.tally.items() if what == "refused"}

    def flood(self, one, data):
        """As much as the system takes; the gateway's turns make room for more."""
        while data:
            with suppress(BlockingIOError):
                data = data[one.send(data):]
            self.turn(1)

    def test_each_bad_client_has_one_error_or_a_close_in_time_and_a_usual_one_is_served_beside_it(self):
        for name, (data, cause) in BAD.items():
            with self.subTest(name):
                self.again()
                other = self.client(ask(TXN + 7))
                link = self.taken()
                one = self.client()
                began = self.time
                self.flood(one, data)
                link.sendall(ANSWER)
                self.until(lambda: b" 200 " in self.got(other)[0], "the usual client is not served")
                got, how = b"", "open"
                while how == "open" and not got and self.time < began + 10:
                    self.pass_time(0.05)
                    piece, how = self.got(one)
                    got += piece
                self.assertTrue(got or how != "open", "neither an error nor a close")
                self.assertLess(self.time - began, OWED)
                self.assertRegex(got, rb"\AHTTP/1\.1 [45]\d\d " if cause else rb"\A\Z")
                self.assertEqual(got.count(b"HTTP/1.1 "), 1 if cause else 0)
                self.assertEqual([key[:len(cause)] for key in self.refused()], [cause] if cause else [])
                self.assertEqual(list(self.refused().values()), [1] if cause else [])
                other.sendall(ask(TXN + 8))
                self.until(lambda: b"X-Txn" in self.got(link)[0])
                link.sendall(ANSWER)
                self.until(lambda: b" 200 " in self.got(other)[0], "the usual client is not served")
                self.pass_time(2.0)
                self.assertEqual(len(self.gateway.clients.open), 1, "the bad client holds its descriptor")
                one.close()

    def test_one_octet_at_a_time_without_an_end_is_refused_in_time(self):
        one, sent = self.client(), 0
        while not self.got(one)[0] and sent < 80:
            one.sendall(b"GET / HTTP/1.1\r\nX: " [sent:sent + 1] or b"y")
            sent += 1
            self.pass_time(0.05)
        self.assertLess(sent * 0.05, OWED)
        self.assertEqual(self.refused(), {"a request that does not end": 1})

    def test_the_same_again_the_moment_it_is_turned_away_holds_nobody_up(self):
        other = self.client(ask())
        link = self.taken()
        for turn in range(200):
            one = self.client(ask(name="none"))
            data, how = self.all_of(one)
            self.assertEqual((data[:12], how), (b"HTTP/1.1 404", "ended"))
            one.close()
        link.sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(other)[0])
        self.assertEqual((len(self.gateway.clients.open), self.refused()), (1, {"x-lane is not known": 200}))


class Share(Loopback):

    changed = {"limits": {"sockets": 64, "memory_mb": 64}}

    def burst(self, count, *data):
        """So many at the door before the gateway has a turn."""
        for _ in range(count):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.door))
            self.sockets.append(one)
            for each in data:
                one.sendall(each)

    def test_a_burst_in_the_first_round_stays_within_the_share_and_closes_nobody(self):
        self.burst(150)
        self.reactor.iterate(0)
        self.assertLessEqual(len(self.gateway.clients.open), self.gateway.clients.most + OVER)
        self.assertEqual(self.gateway.tally["refused", "no descriptor for a client"], 0)
        self.pass_time(1.0)
        self.assertEqual(self.gateway.tally["refused", "no descriptor for a client"], 0)

    def test_who_makes_way_is_read_first(self):
        """The share is full of clients whose requests are here; the process stood still for longer than a silent one may stay."""
        most = self.gateway.clients.most
        self.burst(most, READY)
        self.until(lambda: self.gateway.clients.paused)
        young = [each for each in self.gateway.clients.open if not each.reader.begun and each.stage.name == "FRESH"]
        self.time += 0.06
        self.turn()
        self.assertEqual(len(young), most, "read before the process stood still")
        answered = sum(b" 200 " in self.got(each)[0] for each in self.sockets[2:])
        self.assertEqual(answered, most)

    def test_a_full_share_leaves_room_for_discovery_a_link_and_health(self):
        self.listener.close()  # discovery is down
        self.gateway.follower.watch.end("down")
        resting = [self.client(LIVE) for _ in range(self.gateway.clients.most)]
        self.burst(100)
        self.turn(10)
        self.assertTrue(self.gateway.clients.paused)
        moved = socket.create_server(("127.0.0.1", 0))
        self.sockets.append(moved)
        self.gateway.reload(replace(self.gateway.deployment, discovery=moved.getsockname()))
        self.turn(5)
        moved.setblocking(False)
        moved.accept()[0].close()  # the call is there, with nobody gone yet
        resting[0].sendall(ask())
        link = self.taken()
        link.sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(resting[0])[0])
        for each in resting[1:]:
            self.got(each)
            each.sendall(READY)
        self.turn(5)
        self.assertTrue(all(b" 200 " in self.got(each)[0] for each in resting[1:]))
        late = socket.socket()
        late.setblocking(False)
        late.connect_ex(("127.0.0.1", self.door))
        self.sockets.append(late)
        late.sendall(READY)
        self.pass_time(4.0)
        self.assertIn(b" 200 ", self.got(late)[0])

    def descriptors(self):
        """Those of the gateway: the reactor's own, the door, clients, and whatever else is read or written."""
        return 1 + len({self.gateway.port, *self.reactor.getReaders(), *self.reactor.getWriters(),
                        *(each.transport for each in self.gateway.clients.open)})

    def test_idle_clients_up_to_the_share_leave_a_descriptor_for_the_call_at_discoverys_return(self):
        """They ask now and then, so none makes way. Each call that fails gives its descriptor back, and the next gets one."""
        for mode, within in (("on_request", 2.0), ("pushed", 0.6)):
            self.changed = Share.changed | {"settings": GIVEN["settings"] | {"membership_mode": mode}}
            self.again()
            address = self.listener.getsockname()
            self.listener.close()
            self.gateway.follower.watch.end("down")
            resting = [self.client(LIVE) for _ in range(self.gateway.clients.most)]
            self.turn(5)
            for each in self.gateway.clients.open:
                each.stage = Stage.WAITING  # as behind a transfer; one that only asked for health makes way as a silent one does
            self.burst(100)
            held = []
            for _ in range(6):
                self.pass_time(1.0)
                self.assertTrue(self.gateway.clients.paused, mode)
                held.append(self.descriptors())
                for each in resting:
                    self.assertIn(b" 200 ", self.got(each)[0], mode)
                    each.sendall(LIVE)
            self.assertGreaterEqual(min(held), self.gateway.clients.most, mode)
            self.assertLessEqual(max(held), self.gateway.deployment.sockets - 4, mode)  # two calls, the old watch, the file
            back = socket.create_server(address)
            self.sockets.append(back)
            back.setblocking(False)
            self.pass_time(within)
            back.accept()[0].close()

    def test_too_many_and_too_late_are_told_when_to_come_back(self):
        one = self.client(ask(X_Remaining_Ms="3"))
        self.until(lambda: self.gateway.tally["answer", "too late or too many"])
        self.turn()
        data, how = self.got(one)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "open"))
        self.assertIn(b"Retry-After: 1.500\r\n", data)

    def test_where_the_settings_tell_no_time_none_is_named(self):
        settings = GIVEN["settings"] | {"limits": GIVEN["settings"]["limits"] | {"retry_after": False}}
        self.changed = {"settings": settings}
        self.again()
        one = self.client(ask(X_Remaining_Ms="3"))
        self.until(lambda: self.gateway.tally["answer", "too late or too many"])
        self.turn()
        self.assertNotIn(b"Retry-After", self.got(one)[0])


class Whole(unittest.TestCase):

    def test_a_whole_process_at_its_limit_hears_sighup_finds_discovery_and_serves(self):
        limit = 64
        down, moved, door = (socket.create_server(("127.0.0.1", 0)) for _ in range(3))
        names = [each.getsockname()[1] for each in (down, moved, door)]
        down.close(), door.close()
        with tempfile.TemporaryDirectory() as folder, node_stand_in(b"1") as node:
            path = os.path.join(folder, "c.json")

            def write(discovery):
                with open(path, "w") as file:
                    json.dump(GIVEN | {"listen": f"127.0.0.1:{names[2]}", "discovery": f"127.0.0.1:{discovery}",
                                       "limits": {"sockets": limit, "memory_mb": 64},
                                       "known": {"version": 1, "full": True,
                                                 "servers": [NODE | {"addr": f"127.0.0.1:{node}"}]}}, file)
            write(names[0])
            with open(os.path.join(folder, "log"), "w+b") as log, subprocess.Popen(
                    [sys.executable, "-m", "milletsill", "serve"], stdout=log, stderr=subprocess.STDOUT,
                    env=os.environ | {"NODE_CONFIG": path},
                    preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))) as process:
                silent = []
                try:
                    usual = self.reached(names[2])
                    usual.sendall(LIVE)
                    self.assertIn(b" 200 ", usual.recv(1000))
                    for _ in range(150):
                        silent.append(socket.socket())
                        silent[-1].setblocking(False)
                        silent[-1].connect_ex(("127.0.0.1", names[2]))
                    write(names[1])
                    process.send_signal(signal.SIGHUP)
                    moved.settimeout(5)
                    moved.accept()[0].close()
                    for each in (ask(X_Remaining_Ms="5000"), READY):  # on new connections: they wait before the door
                        other = self.reached(names[2])
                        other.sendall(each)
                        self.assertIn(b" 200 ", other.recv(1000))
                        other.close()
                    usual.close()
                finally:
                    for each in silent:
                        each.close()
                    process.kill()
                log.seek(0)
                text = log.read()
                self.assertTrue(b"reloaded" in text and b"Traceback" not in text and b"EMFILE" not in text, text[-2000:])
        moved.close()

    def reached(self, port):
        for _ in range(100):
            with suppress(OSError):
                one = socket.create_connection(("127.0.0.1", port), 5)
                one.settimeout(5)
                return one
            time.sleep(0.1)
        self.fail("the gateway did not come up")


if __name__ == "__main__":
    unittest.main()
