"""Races between the gateway's shutdown and open requests, on loopback sockets."""

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
CLIENT_TIMEOUT = 1.0  # seconds, of the rig's settings
# Seconds after SIGTERM at which the gateway begins to reject requests, begins to drain
# its connections, and stops at the latest.
REJECTING_AT, DRAINING_AT, STOPPED_AT = (
    within / 10_000 for within, _ in shutdown_schedule(int(CLIENT_TIMEOUT * 10_000))
)
KILLED_AT = CLIENT_TIMEOUT + 0.7
LONG = 400_000


def answer(octets):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % octets + b"x" * octets


class ShutdownRaces(Loopback):
    def serve(self, client, octets=2):
        """Send a client's request and have the node answer it."""
        client.sendall(req())
        self.accept().sendall(answer(octets))

    def begin_shutdown(self, at):
        self.terminate()
        self.advance_to(at)

    def test_an_unread_request_on_an_idle_connection_is_rejected_at_the_shutdown(self):
        client, other = self.client(), self.client()
        self.serve(client)
        self.until(lambda: b"xx" in self.got(client)[0])
        self.begin_shutdown(REJECTING_AT - 0.01)
        client.sendall(req(TXN + 1))
        other.sendall(req(TXN + 2)[:40])  # half a request
        self.wait_for_input()
        self.time += 0.02  # the shutdown step runs before the octets are read
        self.turn()
        other.sendall(req(TXN + 2)[40:])
        for each in (client, other):
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

    def test_half_a_request_at_the_end_is_rejected_and_an_idle_client_is_closed(self):
        partial, idle, new = (
            self.client(req()[:60]),
            self.client(READY),
            self.client(),
        )
        self.until(lambda: b" 200 " in self.got(idle)[0])
        self.begin_shutdown(REJECTING_AT + 0.01)
        partial_state = self.got(partial)
        self.advance_to(DRAINING_AT)
        self.assertEqual(partial_state, (b"", "open"))
        data, how = self.read_all(partial)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "ended"))
        self.assertEqual(
            (self.read_all(idle), self.read_all(new)), ((b"", "ended"),) * 2
        )
        self.assertEqual(self.stop_times, [])  # the clients' sides are still open
        self.advance_to(STOPPED_AT)
        self.assertEqual(len(self.stop_times), 1)

    def test_a_request_that_crosses_the_end_does_not_cut_the_previous_answer(self):
        """It is not forwarded, but rejected if unread when the gateway closes its side.

        A request after that is discarded, and its client sees a close.
        """
        for after_close in (False, True):
            with self.subTest(after_close=after_close):
                self.restart()
                client = self.client(window=4096)
                self.serve(client, LONG)
                self.until(lambda: self.gateway.report.counts["answer", "satisfied"])
                self.turn(20)
                self.begin_shutdown(DRAINING_AT - 0.005)
                for step in (0.01, client) if after_close else (client, 0.01):
                    if step is client:
                        client.sendall(req(TXN + 1))
                        self.wait_for_input()
                    else:
                        self.time += step
                    self.turn(2 if after_close else 0)
                self.turn()
                data, how = self.read_all(client)
                self.assertEqual(
                    (data.count(b"x"), data.count(b"HTTP/1.1 503"), how),
                    (LONG, 0 if after_close else 1, "ended"),
                )
                self.assertEqual(self.gateway.report.counts["dispatch", "0"], 1)

    def test_an_unread_answer_keeps_the_process_running_until_its_limit(self):
        for reads in (True, False):
            with self.subTest(reads=reads):
                self.restart()
                client = self.client(window=4096)
                self.begin_shutdown(CLIENT_TIMEOUT / 2)
                self.serve(client, LONG)
                self.until(lambda: self.gateway.report.counts["answer", "satisfied"])
                self.turn(20)
                self.advance_to(REJECTING_AT + 0.05)
                self.assertEqual(self.stop_times, [])
                received = bytearray()
                if reads:
                    self.until(
                        lambda: (
                            received.extend(self.got(client)[0])
                            or received.count(b"x") >= LONG
                        ),
                        "the answer is cut",
                    )
                    client.close()
                    self.until(
                        lambda: self.stop_times, "the process stays without any client"
                    )
                else:
                    self.advance_to(STOPPED_AT + 0.01)
                    self.assertEqual(len(self.stop_times), 1)
                self.assertLess(self.time - 1000, KILLED_AT - 0.05)

    def test_a_request_with_a_deadline_after_the_end_is_answered_at_the_shutdown(self):
        self.changed = {"settings": settings_with_client_timeout(8.0)}
        self.restart()
        client = self.client(req(X_Remaining_Ms="8000"))
        node_socket = self.accept()
        self.begin_shutdown(shutdown_schedule(80_000)[0][0] / 10_000 + 0.01)
        data, how = self.read_all(client)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 502", "ended"))
        self.until(lambda: self.got(node_socket)[1] == "reset", "no reset at the node")
        self.assertEqual(self.gateway.host.active, {})
        self.assertEqual(
            sum(
                count
                for (what, _), count in self.gateway.report.counts.items()
                if what == "answer"
            ),
            1,
        )

    def test_requests_at_each_step_up_to_the_end_have_one_answer_or_are_unread(self):
        for steps in range(30, -1, -1):
            sent_at = DRAINING_AT + 0.01 - steps * 0.005
            self.restart()
            client = self.client(READY)
            self.until(lambda: b" 200 " in self.got(client)[0])
            self.begin_shutdown(CLIENT_TIMEOUT / 2)
            self.advance_to(sent_at)
            data, how = self.got(client)
            sent = how == "open"
            if sent:
                client.sendall(req())
                self.wait_for_input()
                self.advance_to(STOPPED_AT + 0.01)
                data, how = self.read_all(client)
            crossed = sent_at >= DRAINING_AT - 0.0075
            self.assertTrue(
                data.count(b"HTTP/1.1 ") == 1
                or crossed
                and not data
                and how == "ended",
                (steps, sent, data, how),
            )
            self.assertTrue(
                sent_at < REJECTING_AT - 0.0075
                or not self.gateway.report.counts["dispatch", "0"],
                steps,
            )
            self.assertEqual(len(self.stop_times), 0 if not sent else 1, steps)

    def test_a_second_sigterm_and_a_sighup_do_not_change_the_schedule(self):
        idle = self.client(READY)
        self.until(lambda: b" 200 " in self.got(idle)[0])
        self.begin_shutdown(0.3)
        self.gateway.terminate()
        self.gateway.reload(self.gateway.configuration)
        self.advance_to(REJECTING_AT + 0.01)
        self.gateway.terminate()
        self.gateway.reload(self.gateway.configuration)
        self.assertEqual(self.stop_times, [])
        self.advance_to(STOPPED_AT + 0.01)
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

    def test_sigterm_without_clients_ends_the_process_in_time(self):
        self.begin_shutdown(STOPPED_AT + 0.01)
        self.assertEqual(len(self.stop_times), 1)
        self.assertLess(self.stop_times[0] - 1000, DRAINING_AT + 0.02)

    def test_once_requests_are_rejected_none_is_forwarded_whatever_the_clock(self):
        """The reactor's clock may be ahead of the gateway's.

        Then the time to answer is not over yet when the step runs.
        """
        client = self.client()
        self.begin_shutdown(0.1)
        self.gateway._on_process_event(ProcessEvent.START_REJECTING)
        client.sendall(req())
        data, how = self.read_all(client)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "ended"))
        self.assertFalse(self.gateway.report.counts["dispatch", "0"])

    def test_a_request_in_the_accept_queue_at_the_shutdown_is_rejected(self):
        self.begin_shutdown(REJECTING_AT - 0.01)
        client = socket.create_connection(("127.0.0.1", self.port))
        self.sockets.append(client)
        client.sendall(req())
        client.setblocking(False)
        self.gateway._on_process_event(ProcessEvent.START_REJECTING)
        data, how = self.read_all(client)
        self.assertEqual((data[:12], how), (b"HTTP/1.1 503", "ended"))


class GatewayProcess(unittest.TestCase):
    """`milletsill serve` as a process that first runs some code of the test."""

    def run_with(self, lines, on_listening=lambda process, folder: None, within=15):
        """Return the status and the log of the process after it ended by itself.

        `on_listening` is called once it listens.
        """
        with (
            socket.create_server(("127.0.0.1", 0)) as first,
            socket.create_server(("127.0.0.1", 0)) as second,
        ):
            gateway_port, discovery = first.getsockname()[1], second.getsockname()[1]
        with (
            tempfile.TemporaryDirectory() as folder,
            open(os.path.join(folder, "log"), "w+") as log,
        ):
            path = os.path.join(folder, "c.json")
            with open(path, "w") as file:
                json.dump(
                    CONFIG
                    | {
                        "listen": f"127.0.0.1:{gateway_port}",
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
                    self.await_listening(process, log)
                    on_listening(process, folder)
                    status = process.wait(within)
                finally:
                    process.kill()
            log.seek(0)
            return status, log.read()

    def await_listening(self, process, log):
        """Wait until the process listens or ends: up to 30 s on a busy machine."""
        for _ in range(600):
            log.seek(0)
            if '"listening"' in log.read() or process.poll() is not None:
                return
            time.sleep(0.05)
        self.fail("the process does not listen within 30 s")

    def test_signals_before_the_start_of_the_reactor_are_handled_once_each(self):
        status, log = self.run_with(
            "from milletsill.http_gateway.process import SignalQueue\n"
            "first = SignalQueue.__init__\n"
            "def begin(self):\n"
            "    first(self)\n"
            "    for each in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):\n"
            "        os.kill(os.getpid(), each)\n"
            "SignalQueue.__init__ = begin\n"
        )
        counts = [
            log.count(f'"event": "{each}"')
            for each in ("leaving", "reloaded", "stopped")
        ]
        self.assertEqual(
            (status, counts, "Traceback" in log), (0, [1, 1, 1], False), log
        )

    def test_the_process_does_not_wait_for_the_interpreters_shutdown(self):
        """It takes 0.1 s of a core, within the time before the earliest kill."""
        status, log = self.run_with(
            "import atexit\natexit.register(time.sleep, 60)\n",
            lambda process, folder: process.terminate(),
        )
        self.assertEqual(
            (status, log.count('"event": "stopped"'), log[-2:]), (0, 1, "}\n"), log
        )

    def test_a_wall_clock_that_is_set_back_does_not_delay_the_end(self):
        """The clock is set back by a minute right after SIGTERM."""

        def on_listening(process, folder):
            process.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            open(os.path.join(folder, "back"), "w").close()

        status, log = self.run_with(
            "wall, back = time.time, os.path.join(os.environ['FOLDER'], 'back')\n"
            "time.time = lambda: wall() - 60 * os.path.exists(back)\n",
            on_listening,
        )
        self.assertEqual((status, "Traceback" in log), (0, False), log)


def settings_with_client_timeout(seconds):
    settings = copy.deepcopy(SETTINGS)
    for each in settings["classes"]:
        each |= {"hard_limit_ns": int(seconds * 1e9), "idempotency": "single_shot"}
    return settings


if __name__ == "__main__":
    unittest.main()
