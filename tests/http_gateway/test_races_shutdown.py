"""The instants in which the platform gateway ends something that is still owed.

Each crossing forced on loopback sockets.
"""

import copy
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from milletsill.http_gateway.process_state import ProcessEvent, shutdown_schedule
from tests.support.http_gateway_rig import CONFIG, SETTINGS, TXN, Loopback, req

READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"
PATIENCE = 1.0  # of the rig's settings
SHUT, DRAIN, OVER = (
    within / 10_000 for within, _ in shutdown_schedule(int(PATIENCE * 10_000))
)
KILL = PATIENCE + 0.7
LONG = 400_000


def answer(octets):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % octets + b"x" * octets


class Going(Loopback):
    def served(self, one, octets=2):
        """A client's request, answered by the node."""
        one.sendall(req())
        self.accept().sendall(answer(octets))

    def leave(self, at):
        self.terminate()
        self.advance_to(at)

    def test_what_a_resting_connection_holds_unread_at_the_shut_is_read_and_refused(
        self,
    ):
        one, other = self.client(), self.client()
        self.served(one)
        self.until(lambda: b"xx" in self.got(one)[0])
        self.leave(SHUT - 0.01)
        one.sendall(req(TXN + 1))
        other.sendall(req(TXN + 2)[:40])  # half a request
        self.wait_for_input()
        self.time += 0.02  # the shut comes before the octets are read
        self.turn()
        other.sendall(req(TXN + 2)[40:])
        for each in (one, other):
            data, how = self.read_all(each)
            self.assertEqual(
                (data.count(b"HTTP/1.1 "), data[:12], how),
                (1, b"HTTP/1.1 503", "ended"),
            )
            self.assertIn(b"Retry-After: 1.500\r\n", data)
            self.assertIn(b"Connection: close\r\n", data)
        self.assertEqual(
            self.gateway.report.counts["dispatch", "1"]
            + self.gateway.report.counts["dispatch", "0"],
            1,
        )

    def test_half_a_request_at_the_end_is_refused_and_a_resting_client_sees_an_end(
        self,
    ):
        half, resting, fresh = (
            self.client(req()[:60]),
            self.client(READY),
            self.client(),
        )
        self.until(lambda: b" 200 " in self.got(resting)[0])
        self.leave(SHUT + 0.01)
        half_at = self.got(half)
        self.advance_to(DRAIN)
        self.assertEqual(half_at, (b"", "open"))
        data, how = self.read_all(half)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "ended"))
        self.assertEqual(
            (self.read_all(resting), self.read_all(fresh)), ((b"", "ended"),) * 2
        )
        self.assertEqual(self.stop_times, [])  # they rest, and are heard out
        self.advance_to(OVER)
        self.assertEqual(len(self.stop_times), 1)

    def test_a_request_that_crosses_the_end_tears_no_former_answer_and_is_not_sent_on(
        self,
    ):
        """Unread at the end of our side it is refused.

        Behind it, it is thrown away, and its client sees an end.
        """
        for behind in (False, True):
            with self.subTest(behind=behind):
                self.restart()
                one = self.client(window=4096)
                self.served(one, LONG)
                self.until(lambda: self.gateway.report.counts["answer", "satisfied"])
                self.turn(20)
                self.leave(DRAIN - 0.005)
                for step in (0.01, one) if behind else (one, 0.01):
                    if step is one:
                        one.sendall(req(TXN + 1))
                        self.wait_for_input()
                    else:
                        self.time += step
                    self.turn(2 if behind else 0)
                self.turn()
                data, how = self.read_all(one)
                self.assertEqual(
                    (data.count(b"x"), data.count(b"HTTP/1.1 503"), how),
                    (LONG, 0 if behind else 1, "ended"),
                )
                self.assertEqual(self.gateway.report.counts["dispatch", "0"], 1)

    def test_what_a_slow_client_has_not_taken_keeps_the_process_until_its_bound(self):
        for takes in (True, False):
            with self.subTest(takes=takes):
                self.restart()
                one = self.client(window=4096)
                self.leave(PATIENCE / 2)
                self.served(one, LONG)
                self.until(lambda: self.gateway.report.counts["answer", "satisfied"])
                self.turn(20)
                self.advance_to(SHUT + 0.05)
                self.assertEqual(self.stop_times, [])
                taken = bytearray()
                if takes:
                    self.until(
                        lambda: (
                            taken.extend(self.got(one)[0]) or taken.count(b"x") >= LONG
                        ),
                        "the answer is torn",
                    )
                    one.close()
                    self.until(
                        lambda: self.stop_times,
                        "the process stays though nobody is left",
                    )
                else:
                    self.advance_to(OVER + 0.01)
                    self.assertEqual(len(self.stop_times), 1)
                self.assertLess(self.time - 1000, KILL - 0.05)

    def test_who_waits_beyond_the_end_is_answered_at_the_shut(self):
        self.changed = {"settings": patient(8.0)}
        self.restart()
        one = self.client(req(X_Remaining_Ms="8000"))
        link = self.accept()
        self.leave(shutdown_schedule(80_000)[0][0] / 10_000 + 0.01)
        data, how = self.read_all(one)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 502", "ended"))
        self.until(lambda: self.got(link)[1] == "reset", "the node is not told")
        self.assertEqual(self.gateway.host.active, {})
        self.assertEqual(
            sum(
                count
                for (what, _), count in self.gateway.report.counts.items()
                if what == "answer"
            ),
            1,
        )

    def test_requests_at_every_step_up_to_the_end_have_one_answer_or_were_never_read(
        self,
    ):
        for back in range(30, -1, -1):
            came = DRAIN + 0.01 - back * 0.005
            self.restart()
            one = self.client(READY)
            self.until(lambda: b" 200 " in self.got(one)[0])
            self.leave(PATIENCE / 2)
            self.advance_to(came)
            data, how = self.got(one)
            sent = how == "open"
            if sent:
                one.sendall(req())
                self.wait_for_input()
                self.advance_to(OVER + 0.01)
                data, how = self.read_all(one)
            crossed = came >= DRAIN - 0.0075
            self.assertTrue(
                data.count(b"HTTP/1.1 ") == 1
                or crossed
                and not data
                and how == "ended",
                (back, sent, data, how),
            )
            self.assertTrue(
                came < SHUT - 0.0075 or not self.gateway.report.counts["dispatch", "0"],
                back,
            )
            self.assertEqual(len(self.stop_times), 0 if not sent else 1, back)

    def test_a_second_sigterm_and_a_sighup_move_nothing(self):
        resting = self.client(READY)
        self.until(lambda: b" 200 " in self.got(resting)[0])
        self.leave(0.3)
        self.gateway.terminate()
        self.gateway.reload(self.gateway.configuration)
        self.advance_to(SHUT + 0.01)
        self.gateway.terminate()
        self.gateway.reload(self.gateway.configuration)
        self.assertEqual(self.stop_times, [])
        self.advance_to(OVER + 0.01)
        self.assertEqual(len(self.stop_times), 1)
        self.gateway.terminate()
        self.gateway.reload(self.gateway.configuration)
        self.turn()
        self.assertEqual(
            (
                len(self.stop_times),
                self.gateway.watcher.watch and self.gateway.watcher.watch.over,
            ),
            (1, True),
        )

    def test_sigterm_at_once_ends_with_nobody_left_in_time(self):
        self.leave(OVER + 0.01)
        self.assertEqual(len(self.stop_times), 1)
        self.assertLess(self.stop_times[0] - 1000, DRAIN + 0.02)

    def test_once_shut_nothing_is_sent_on_whatever_the_clocks_say(self):
        """As where the reactor's clock goes ahead of ours.

        The time to answer is not over yet.
        """
        one = self.client()
        self.leave(0.1)
        self.gateway._on_process_event(ProcessEvent.START_REJECTING)
        one.sendall(req())
        data, how = self.read_all(one)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "ended"))
        self.assertFalse(self.gateway.report.counts["dispatch", "0"])

    def test_a_request_before_the_door_at_the_shut_is_let_in_and_refused(self):
        self.leave(SHUT - 0.01)
        one = socket.create_connection(("127.0.0.1", self.port))
        self.sockets.append(one)
        one.sendall(req())
        one.setblocking(False)
        self.gateway._on_process_event(ProcessEvent.START_REJECTING)
        data, how = self.read_all(one)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "ended"))


class Whole(unittest.TestCase):
    """`milletsill serve` as a process, begun by a few lines of the test's own."""

    def run_with(self, lines, told=lambda process, folder: None, within=15):
        """Its status and log, once it has ended by itself.

        `told` is called once it listens.
        """
        with (
            socket.create_server(("127.0.0.1", 0)) as one,
            socket.create_server(("127.0.0.1", 0)) as other,
        ):
            door, discovery = one.getsockname()[1], other.getsockname()[1]
        with (
            tempfile.TemporaryDirectory() as folder,
            open(os.path.join(folder, "log"), "w+") as log,
        ):
            path = os.path.join(folder, "c.json")
            with open(path, "w") as file:
                json.dump(
                    CONFIG
                    | {
                        "listen": f"127.0.0.1:{door}",
                        "discovery": f"127.0.0.1:{discovery}",
                    },
                    file,
                )
            end = "from milletsill.http_gateway import process\nsys.exit(process.main([]))\n"
            with subprocess.Popen(
                [sys.executable, "-c", "import os, signal, sys, time\n" + lines + end],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | {"NODE_CONFIG": path, "FOLDER": folder},
            ) as process:
                try:
                    self.listening(process, log)
                    told(process, folder)
                    status = process.wait(within)
                finally:
                    process.kill()
            log.seek(0)
            return status, log.read()

    def listening(self, process, log):
        """Waits as long as a busy machine takes to start it."""
        for _ in range(600):
            log.seek(0)
            if '"listening"' in log.read() or process.poll() is not None:
                return
            time.sleep(0.05)
        self.fail("it does not listen")

    def test_signals_that_came_before_the_reactor_ran_are_heard_once_each(self):
        status, log = self.run_with(
            "from milletsill.http_gateway.process import SignalQueue\n"
            "first = SignalQueue.__init__\n"
            "def begin(self):\n"
            "    first(self)\n"
            "    for each in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):\n"
            "        os.kill(os.getpid(), each)\n"
            "SignalQueue.__init__ = begin\n"
        )
        heard = [
            log.count(f'"event": "{each}"')
            for each in ("leaving", "reloaded", "stopped")
        ]
        self.assertEqual(
            (status, heard, "Traceback" in log), (0, [1, 1, 1], False), log
        )

    def test_the_interpreters_own_end_is_not_waited_for(self):
        """It takes a tenth of a second of a core, and is counted on the span before the earliest kill."""
        status, log = self.run_with(
            "import atexit\natexit.register(time.sleep, 60)\n",
            lambda process, folder: process.terminate(),
        )
        self.assertEqual(
            (status, log.count('"event": "stopped"'), log[-2:]), (0, 1, "}\n"), log
        )

    def test_a_wall_clock_that_is_set_back_puts_no_end_off(self):
        """By a minute, right after SIGTERM."""

        def told(process, folder):
            process.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            open(os.path.join(folder, "back"), "w").close()

        status, log = self.run_with(
            "wall, back = time.time, os.path.join(os.environ['FOLDER'], 'back')\n"
            "time.time = lambda: wall() - 60 * os.path.exists(back)\n",
            told,
        )
        self.assertEqual((status, "Traceback" in log), (0, False), log)


def patient(seconds):
    settings = copy.deepcopy(SETTINGS)
    for each in settings["classes"]:
        each |= {"hard_limit_ns": int(seconds * 1e9), "idempotency": "single_shot"}
    return settings


if __name__ == "__main__":
    unittest.main()
