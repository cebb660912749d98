"""Runs real gateways of one fleet on loopback and reads their views from their logs.

Each gateway is a process of `python -m milletsill edge`.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from datetime import datetime
from typing import Any

GATEWAY_FILE = """
name: "{name}" listen: "127.0.0.1:0" gateways: {count} state_dir: "{folder}/{name}"
registry {{ address: "127.0.0.1:{unused_port}" }}
fleet {{ name: "{fleet}" address: "127.0.0.1:{port}" {join} {fleet_fields} }}
plan {{ name: "p" usual_rate: 10 }} category {{ name: "c" target_ms: 300 patience_ms: 1000 }}
volume {{ name: "v" root: "/v" plan: "p" cell: 0 }} route {{ category: "c" }}
"""


def free_ports(count: int) -> list[int]:
    """Return ports that are free for both UDP and TCP."""
    sockets = []
    while len(sockets) < 2 * count:
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        tcp.bind(("127.0.0.1", 0))
        try:
            udp.bind(("127.0.0.1", tcp.getsockname()[1]))
            sockets += [tcp, udp]
        except OSError:
            tcp.close()
    ports = [each.getsockname()[1] for each in sockets[::2]]
    for each in sockets:
        each.close()
    return ports


class FleetProcesses:
    """Processes of gateways, by number.

    `fleet_fields` is added to the fleet block of each settings file. `close` kills all
    running processes.
    """

    def __init__(self, folder: str, count: int, fleet_fields: str = "") -> None:
        self.folder, self.names = folder, [f"gw-{each}" for each in range(count)]
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        self.read_to, self.lines = (
            [0] * count,
            [list[dict[str, Any]]() for _ in range(count)],
        )
        *self.ports, unused_port = free_ports(count + 1)
        join = " ".join(f'join: "127.0.0.1:{each}"' for each in self.ports[:3])
        for number, name in enumerate(self.names):
            self.write(
                number,
                GATEWAY_FILE.format(
                    name=name,
                    count=count,
                    folder=folder,
                    unused_port=unused_port,
                    fleet="lab",
                    join=join,
                    fleet_fields=fleet_fields,
                    port=self.ports[number],
                ),
            )

    def path(self, number: int, end: str) -> str:
        return os.path.join(self.folder, f"{self.names[number]}.{end}")

    def write(self, number: int, text: str) -> None:
        with open(self.path(number, "textproto"), "w", encoding="utf-8") as sink:
            sink.write(text)

    def start(self, number: int) -> None:
        with open(self.path(number, "log"), "ab") as log:
            self.running[number] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "milletsill",
                    "edge",
                    self.path(number, "textproto"),
                ],
                stderr=log,
                stdout=log,
            )

    def send(self, number: int, signal_number: signal.Signals) -> None:
        self.running[number].send_signal(signal_number)

    def end(self, number: int, signal_number: signal.Signals = signal.SIGKILL) -> int:
        """Signal a process to end; wait for it and return its exit status."""
        process = self.running.pop(number)
        process.send_signal(signal_number)
        return process.wait(timeout=20)

    def delete_state(self, number: int) -> None:
        shutil.rmtree(os.path.join(self.folder, self.names[number]), ignore_errors=True)

    def close(self) -> None:
        for each in self.running.values():
            each.kill()
        for each in self.running.values():
            each.wait(timeout=20)
        self.running.clear()

    # Logs.

    def log(self, number: int) -> list[dict[str, Any]]:
        """Return all JSON lines that a gateway has logged so far."""
        if os.path.exists(self.path(number, "log")):
            with open(self.path(number, "log"), "rb") as source:
                source.seek(self.read_to[number])
                data = source.read()
            whole = data[: data.rfind(b"\n") + 1]
            self.read_to[number] += len(whole)
            self.lines[number] += [
                json.loads(each) for each in whole.splitlines() if each.startswith(b"{")
            ]
        return self.lines[number]

    def views(self, among: Sequence[int]) -> list[dict[str, Any]]:
        """Return the last `view` event of each gateway that has logged one."""
        found = []
        for number in among:
            views = [each for each in self.log(number) if each["event"] == "view"]
            found += views[-1:]
        return found

    def views_agree(self, among: Sequence[int], since: float = 0.0) -> bool:
        """Return whether each logged, since then, the same view of exactly these."""
        views = self.views(among)
        return (
            len(views) == len(among)
            and len({each["digest"] for each in views}) == 1
            and all(
                each["members"] == len(among) and logged_at(each) >= since
                for each in views
            )
        )

    def wait(self, condition: Callable[[], bool], timeout: float) -> bool:
        ends = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > ends:
                return False
            time.sleep(0.05)
        return True

    def view_times(self, among: Sequence[int], since: float) -> list[float]:
        """Return the seconds from `since` to the last view of each gateway, sorted."""
        return sorted(max(logged_at(each) - since, 0.0) for each in self.views(among))


def logged_at(line: dict[str, Any]) -> float:
    """Return the time of a log line, in seconds since 1970."""
    return datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()
