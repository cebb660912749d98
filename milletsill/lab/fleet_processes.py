"""Real gateways of one fleet on loopback, each a process of `python -m milletsill edge`; what they see is read from their own logs."""

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

FILE = """
name: "{name}" listen: "127.0.0.1:0" gateways: {count} state_dir: "{folder}/{name}"
registry {{ address: "127.0.0.1:{nobody}" }}
fleet {{ name: "{fleet}" address: "127.0.0.1:{port}" {join} {more} }}
plan {{ name: "p" usual_rate: 10 }} category {{ name: "c" target_ms: 300 patience_ms: 1000 }}
volume {{ name: "v" root: "/v" plan: "p" cell: 0 }} route {{ category: "c" }}
"""


def free_ports(count: int) -> list[int]:
    """Ports that nobody has now, for UDP and TCP alike."""
    held = []
    while len(held) < 2 * count:
        one, other = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        one.bind(("127.0.0.1", 0))
        try:
            other.bind(("127.0.0.1", one.getsockname()[1]))
            held += [one, other]
        except OSError:
            one.close()
    ports = [each.getsockname()[1] for each in held[::2]]
    for each in held:
        each.close()
    return ports


class FleetProcesses:
    """Gateways by number. `more` goes into each file's fleet block. `close` ends all that it started."""

    def __init__(self, folder: str, count: int, more: str = "") -> None:
        self.folder, self.names = folder, [f"gw-{each}" for each in range(count)]
        self.running: dict[int, subprocess.Popen[bytes]] = {}
        self.read_to, self.lines = (
            [0] * count,
            [list[dict[str, Any]]() for _ in range(count)],
        )
        *self.ports, nobody = free_ports(count + 1)
        join = " ".join(f'join: "127.0.0.1:{each}"' for each in self.ports[:3])
        for number, name in enumerate(self.names):
            self.write(
                number,
                FILE.format(
                    name=name,
                    count=count,
                    folder=folder,
                    nobody=nobody,
                    fleet="lab",
                    join=join,
                    more=more,
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

    def send(self, number: int, which: signal.Signals) -> None:
        self.running[number].send_signal(which)

    def end(self, number: int, which: signal.Signals = signal.SIGKILL) -> int:
        """The exit status."""
        process = self.running.pop(number)
        process.send_signal(which)
        return process.wait(timeout=20)

    def forget_state(self, number: int) -> None:
        shutil.rmtree(os.path.join(self.folder, self.names[number]), ignore_errors=True)

    def close(self) -> None:
        for each in self.running.values():
            each.kill()
        for each in self.running.values():
            each.wait(timeout=20)
        self.running.clear()

    # What they say.

    def log(self, number: int) -> list[dict[str, Any]]:
        """Its lines up to now."""
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
        """The last view of each that has said one."""
        found = []
        for number in among:
            held = [each for each in self.log(number) if each["event"] == "view"]
            found += held[-1:]
        return found

    def agree(self, among: Sequence[int], since: float = 0.0) -> bool:
        """Whether all of them see just these, in one view, and each said so since then."""
        views = self.views(among)
        return (
            len(views) == len(among)
            and len({each["digest"] for each in views}) == 1
            and all(
                each["members"] == len(among) and said_at(each) >= since
                for each in views
            )
        )

    def wait(self, holds: Callable[[], bool], most: float) -> bool:
        ends = time.monotonic() + most
        while not holds():
            if time.monotonic() > ends:
                return False
            time.sleep(0.05)
        return True

    def times(self, among: Sequence[int], since: float) -> list[float]:
        """Seconds from then until each had its last view, sorted."""
        return sorted(max(said_at(each) - since, 0.0) for each in self.views(among))


def said_at(line: dict[str, Any]) -> float:
    """Seconds since 1970."""
    return datetime.fromisoformat(line["timestamp"].replace("Z", "+00:00")).timestamp()
