"""The HTTP gateway as a process of its own, on loopback sockets."""

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


class GatewayProcess(unittest.TestCase):
    """The process that `python -m milletsill serve` starts."""

    def test_start_readiness_a_request_sighup_and_sigterm(self):
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        node, discovery, gateway_port = [each.getsockname()[1] for each in listeners]
        listeners[2].close()
        configuration = CONFIG | {
            "listen": f"127.0.0.1:{gateway_port}",
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
                json.dump(configuration, file)
            process = subprocess.Popen(
                [sys.executable, "-m", "milletsill", "serve"],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                env=os.environ | {"NODE_CONFIG": path},
            )
            try:
                client = self.connect(gateway_port)
                client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                self.assertIn(b" 200 ", client.recv(1000))
                client.sendall(req())
                listeners[0].settimeout(5)
                node_socket = listeners[0].accept()[0]
                self.assertIn(b"X-Txn", node_socket.recv(4000))
                process.send_signal(signal.SIGHUP)
                node_socket.sendall(RESPONSE)
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
                client.close(), node_socket.close()
            finally:
                process.kill()
                process.wait()
                process.stdout.close()
                for each in listeners:
                    each.close()

    def test_a_process_with_minimal_settings(self):
        """Two nodes on one shard; no plans, no zones, no limits; lists are pushed.

        All requests are answered, then SIGTERM ends the process.
        """
        classes = [{"name": "get", "aim_ns": 400_000_000, "idempotency": "free"}]
        settings = {
            "peers_total": 1,
            "membership_mode": "pushed",
            "weights": "live",
            "classes": classes,
        }
        with (
            node_stand_in(b"1") as first_port,
            node_stand_in(b"2") as second_port,
            tempfile.TemporaryDirectory() as folder,
        ):
            listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
            discovery, gateway_port = [each.getsockname()[1] for each in listeners]
            listeners[1].close()
            servers = [
                {"id": f"s-{port}", "addr": f"127.0.0.1:{port}", "state": "active"}
                for port in (first_port, second_port)
            ]
            path = os.path.join(folder, "c.json")
            with open(path, "w") as file:
                json.dump(
                    {
                        "name": "n",
                        "listen": f"127.0.0.1:{gateway_port}",
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
                clients, bodies = [self.connect(gateway_port) for _ in range(4)], set()
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

    def test_unusable_settings_end_the_process_with_one_line_and_status_2(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "c.json")
            with open(path, "w") as file:
                json.dump(
                    CONFIG | {"settings": SETTINGS | {"resolution_ns": "often"}}, file
                )
            completed = subprocess.run(
                [sys.executable, "-m", "milletsill", "serve"],
                env=os.environ | {"NODE_CONFIG": path},
                capture_output=True,
                timeout=20,
            )
        self.assertEqual(
            (completed.returncode, completed.stderr.count(b"\n"), completed.stdout),
            (2, 1, b""),
        )
        self.assertIn(b"resolution_ns", completed.stderr)

    def connect(self, port):
        for _ in range(100):
            try:
                client = socket.create_connection(("127.0.0.1", port), 5)
                client.settimeout(5)
                return client
            except OSError:
                time.sleep(0.1)
        self.fail("the gateway did not come up")

    def test_no_environment_is_a_one_line_error_and_imports_stay_few(self):
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith("NODE_")
        }
        completed = subprocess.run(
            [sys.executable, "-m", "milletsill", "serve"],
            env=environment,
            capture_output=True,
            timeout=20,
        )
        self.assertEqual(
            (completed.returncode, completed.stderr.count(b"\n"), completed.stdout),
            (2, 1, b""),
        )
        probe = (
            "import milletsill.http_gateway.gateway, milletsill.http_gateway.process, milletsill.gateway.process_setup, milletsill.http_gateway.json_log, sys; "
            "print([each for each in ('numpy', 'pyarrow', 'matplotlib', 'scapy', 'google.protobuf', 'click', "
            "'milletsill.flows', 'milletsill.trace', 'milletsill.planner', 'milletsill.sftp', 'structlog', 'rich') if each in sys.modules])"
        )
        completed = subprocess.run(
            [sys.executable, "-c", probe], capture_output=True, timeout=20
        )
        self.assertEqual(completed.stdout.strip(), b"[]")


if __name__ == "__main__":
    unittest.main()
