"""Starts the real gateway by the `run` command of the deploy file, and ends it."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

from review.standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 30.0


class CaseCannotRunError(Exception):
    """The case could not run; its script exits with 2."""


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as one:
        return int(one.getsockname()[1])


class Gateway:
    """One gateway process."""

    def __init__(self, record: Record, folder: Path, document: dict[str, Any]) -> None:
        self.record = record
        self.name = str(document["name"])
        self.port = free_port()
        self.config = folder / f"{self.name}.json"
        self.document = document | {"listen": f"127.0.0.1:{self.port}"}
        self.log = (folder / f"{self.name}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, and wait until it is ready.

        Raises:
            CaseCannotRunError: it is not ready in the time that the pages allow.
        """
        self.config.write_text(json.dumps(self.document), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text("utf-8"))
        environment = os.environ | {"NODE_CONFIG": str(self.config)}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]],
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        started_at = time.monotonic()
        while time.monotonic() < started_at + READY_SECONDS:
            if self.process.poll() is not None:
                break
            if self._is_ready():
                self.record.write(self.name, f"ready, process {self.process.pid}")
                return
            time.sleep(0.05)
        raise CaseCannotRunError(f"{self.name} is not ready: see {self.log.name}")

    def _is_ready(self) -> bool:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=1)
        try:
            connection.request("GET", "/health/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.record.write(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def peak_memory_mb(self) -> int:
        """Return the most memory that the process has held, in MiB."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
        return int(status.partition("VmHWM:")[2].split()[0]) // 1024

    def end(self) -> int | None:
        """End the process; return its status if it had ended by itself."""
        if self.process is None:
            return None
        status = self.process.poll()
        if status is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.log.close()
        return status
