"""Run of one case: the gateway by the deploy file, the stand-ins and the record."""

from __future__ import annotations

import json
import multiprocessing
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NoReturn

from review.common.settings import Settings

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 105
READY_S = 30.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseNotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


def with_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Case:
    """One run of a case.

    Attributes:
        folder: the case's folder, which gets `record.txt`.
        temp: a temporary folder.
        address: host and port of the gateway.
        gateway: the gateway's process.
        has_ended_gateway: whether the case itself has ended the gateway.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.temp = Path(tempfile.mkdtemp(prefix="case-"))
        self.address = ("127.0.0.1", 0)
        self.processes: list[subprocess.Popen[str]] = []
        self.gateway: subprocess.Popen[str] | None = None
        self.has_ended_gateway = False
        self.lines: list[tuple[float, str]] = []
        self.started_at = time.monotonic()

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line to the record, for now or for another time."""
        self.lines.append((time.monotonic() if at is None else at, text))

    # Processes.

    def start_servers(self, nodes: list[dict[str, Any]]) -> dict[str, Any]:
        """Start the storage nodes and discovery; return where they are."""
        path = self.temp / "servers.json"
        path.write_text(json.dumps({"log": str(self.node_log), "nodes": nodes}))
        process = subprocess.Popen(
            [sys.executable, "-m", "review.common.servers", str(path)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            raise CaseNotRunError("the stand-ins did not start")
        places: dict[str, Any] = json.loads(line)
        return places

    @property
    def node_log(self) -> Path:
        """The log of the storage nodes."""
        return self.temp / "nodes.jsonl"

    def start_gateway(
        self, places: dict[str, Any], settings: Settings, limits: dict[str, float]
    ) -> None:
        """Start a gateway with the deploy file's `run`, and wait until it is ready.

        A restarted gateway keeps its address.
        """
        if not self.address[1]:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                self.address = probe.getsockname()
        listen = f"127.0.0.1:{self.address[1]}"
        discovery = f"127.0.0.1:{places['discovery']}"
        config = {
            "name": "n1",
            "listen": listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": places["list"],
            "settings": settings,
        }
        path = self.temp / "config.json"
        path.write_text(json.dumps(config))
        environ = dict(os.environ)
        environ.update(
            NODE_NAME="n1",
            NODE_LISTEN=listen,
            NODE_DISCOVERY=discovery,
            NODE_CONFIG=str(path),
            TMPDIR=str(self.temp),
        )
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        with open(self.temp / "gateway.log", "w") as log:
            self.gateway = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                text=True,
            )
        self.processes.append(self.gateway)
        self._wait_until_ready()
        self.note(f"gateway ready at {listen}")

    def _wait_until_ready(self) -> None:
        request = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if self.gateway is None or self.gateway.poll() is not None:
                raise CaseNotRunError("the gateway ended at its start")
            try:
                with socket.create_connection(self.address, timeout=1) as probe:
                    probe.sendall(request)
                    if b" 200 " in probe.recv(4096):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CaseNotRunError("the gateway was not ready in time")

    def runs(self) -> list[dict[str, Any]]:
        """Return what the storage nodes have recorded so far."""
        with open(self.node_log) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    # The end.

    def close(self) -> None:
        """End all processes of the case, and keep the record."""
        for child in multiprocessing.active_children():
            child.kill()
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
            if process.stdin is not None:
                process.stdin.close()
        lines = [
            f"{at - self.started_at:9.4f} {text}\n"
            for at, text in sorted(self.lines, key=lambda each: each[0])
        ]
        (self.folder / "record.txt").write_text("".join(lines))
        shutil.rmtree(self.temp, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Case], list[str]]) -> NoReturn:
    """Play a case and exit with its status; `play` returns the breaks it saw."""

    def too_long(number: int, frame: object) -> None:
        raise CaseNotRunError(f"not over after {LIMIT_S} s")

    signal.signal(signal.SIGALRM, too_long)
    signal.alarm(LIMIT_S)
    case = Case(folder)
    status = NOT_RUN
    try:
        breaks = play(case)
        assert case.gateway is not None
        if not case.has_ended_gateway and case.gateway.poll() is not None:
            breaks.append(f"the gateway ended with status {case.gateway.poll()}")
        for each in breaks:
            case.note(f"BROKEN {each}")
        status = BROKEN if breaks else HELD
        result = f"{len(breaks)} breaks" if breaks else "held"
        summary = f"{folder.name}: trouble {int(with_trouble())}: {result}"
    except Exception as error:  # the exit status 1 is for a broken rule only
        summary = f"{folder.name}: could not run: {type(error).__name__}: {error}"
    finally:
        signal.alarm(0)
        case.note(summary)
        case.close()
    with suppress(OSError, ValueError):  # a closed output changes no exit status
        print(summary)
        for line in [text for _, text in case.lines if text.startswith("BROKEN")][:3]:
            print(line[:300])
        sys.stdout.flush()
    os._exit(status)  # without waiting for a thread of a case that took too long
