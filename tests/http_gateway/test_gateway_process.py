"""The gateway on the platform as a whole process, on loopback sockets."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from tests.support.http_gateway_rig import (
    CONFIG,
    NODE,
    RESPONSE,
    SETTINGS,
    node_stand_in,
    req,
)


class Whole(unittest.TestCase):
    """A real process."""

    def test_start_readiness_a_transfer_sighup_and_sigterm(self):
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        node, discovery, door = [each.getsockname()[1] for each in listeners]
        listeners[2].close()
        given = CONFIG | {
            "listen": f"127.0.0.1:{door}",
            "discovery": f"127.0.0.1:{discovery}",
            "known": {
                "version": 1,
                "full": True,
                "servers": [NODE | {"addr": f"127.0.0.1:{node}"}],
            },
        }
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "c.json")
            with open(path, "w") as file:
                json.dump(given, file)
            process = subprocess.Popen(
                [sys.executable, "-m", "milletsill", "serve"],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                env=os.environ | {"NODE_CONFIG": path},
            )
            try:
                client = self.reached(door)
                client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                self.assertIn(b" 200 ", client.recv(1000))
                client.sendall(req())
                listeners[0].settimeout(5)
                link = listeners[0].accept()[0]
                self.assertIn(b"X-Txn", link.recv(4000))
                process.send_signal(signal.SIGHUP)
                link.sendall(RESPONSE)
                self.assertIn(b" 200 ", client.recv(1000))
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(8), 0)
                log = process.stdout.read()
                self.assertTrue(
                    b"reloaded" in log
                    and b"stopped" in log
                    and b"Traceback" not in log,
                    log[-2000:],
                )
                client.close(), link.close()
            finally:
                process.kill()
                process.wait()
                process.stdout.close()
                for each in listeners:
                    each.close()

    def test_a_whole_process_under_settings_of_another_shape(self):
        """Two nodes a cell, no plans, no zones, no bounds, lists pushed.

        Calm transfers to answers, then SIGTERM.
        """
        classes = [{"name": "get", "aim_ns": 400_000_000, "idempotency": "free"}]
        settings = {
            "peers_total": 1,
            "membership_mode": "pushed",
            "weights": "live",
            "classes": classes,
        }
        with (
            node_stand_in(b"1") as one,
            node_stand_in(b"2") as other,
            tempfile.TemporaryDirectory() as folder,
        ):
            listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
            discovery, door = [each.getsockname()[1] for each in listeners]
            listeners[1].close()
            servers = [
                {"id": f"s-{port}", "addr": f"127.0.0.1:{port}", "state": "active"}
                for port in (one, other)
            ]
            path = os.path.join(folder, "c.json")
            with open(path, "w") as file:
                json.dump(
                    {
                        "name": "n",
                        "listen": f"127.0.0.1:{door}",
                        "discovery": f"127.0.0.1:{discovery}",
                        "settings": settings,
                        "known": {"version": 1, "full": True, "servers": servers},
                    },
                    file,
                )
            process = subprocess.Popen(
                [sys.executable, "-m", "milletsill", "serve"],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                env=os.environ | {"NODE_CONFIG": path},
            )
            try:
                clients, bodies = [self.reached(door) for _ in range(4)], set()
                for number in range(24):
                    clients[number % 4].sendall(
                        req(
                            txn=number + 1,
                            drop=("X-Plan",),
                            Cookie=f"block={number + 1:016x}",
                        )
                    )
                    for client in clients if number % 4 == 3 else ():
                        answer = client.recv(2000)
                        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                        bodies.add(answer[-1:])
                self.assertEqual(bodies, {b"1", b"2"})
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(12), 0)
                log = process.stdout.read()
                self.assertTrue(
                    b"missing" in log and b"Traceback" not in log, log[-2000:]
                )
                for client in clients:
                    client.close()
            finally:
                process.kill()
                process.wait()
                process.stdout.close()
                listeners[0].close()

    def test_settings_that_cannot_be_used_end_it_with_one_line_and_status_2(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "c.json")
            with open(path, "w") as file:
                json.dump(
                    CONFIG | {"settings": SETTINGS | {"resolution_ns": "often"}}, file
                )
            done = subprocess.run(
                [sys.executable, "-m", "milletsill", "serve"],
                env=os.environ | {"NODE_CONFIG": path},
                capture_output=True,
                timeout=20,
            )
        self.assertEqual(
            (done.returncode, done.stderr.count(b"\n"), done.stdout), (2, 1, b"")
        )
        self.assertIn(b"resolution_ns", done.stderr)

    def reached(self, port):
        for _ in range(100):
            try:
                client = socket.create_connection(("127.0.0.1", port), 5)
                client.settimeout(5)
                return client
            except OSError:
                time.sleep(0.1)
        self.fail("the gateway did not come up")

    def test_without_its_variables_it_says_one_line_and_what_it_loads_is_little(self):
        plain = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("NODE_")
        }
        done = subprocess.run(
            [sys.executable, "-m", "milletsill", "serve"],
            env=plain,
            capture_output=True,
            timeout=20,
        )
        self.assertEqual(
            (done.returncode, done.stderr.count(b"\n"), done.stdout), (2, 1, b"")
        )
        probe = (
            "import milletsill.http_gateway.gateway, milletsill.http_gateway.process, milletsill.gateway.process_setup, milletsill.http_gateway.json_log, sys; "
            "print([each for each in ('numpy', 'pyarrow', 'matplotlib', 'scapy', 'google.protobuf', 'click', "
            "'milletsill.flows', 'milletsill.trace', 'milletsill.planner', 'milletsill.sftp', 'structlog', 'rich') if each in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", probe], capture_output=True, timeout=20
        )
        self.assertEqual(done.stdout.strip(), b"[]")


if __name__ == "__main__":
    unittest.main()
