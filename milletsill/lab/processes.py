"""The processes of a scenario run: gateways, planner, relay and others.

Each process is started, stopped and killed by its own id; its output goes to a log file.
"""

from __future__ import annotations

import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
from random import Random, SystemRandom
from threading import Thread
from typing import Any, BinaryIO

from google.protobuf import text_format

from milletsill.planner.epoch_store import next_epoch
from milletsill.settings.milletsill_pb2 import PlannerFile

PORT_RANGE = (20_000, 32_000)
LAB = [sys.executable, "-m", "milletsill.lab"]


def free_ports(count: int, hosts: tuple[str, ...] = ("127.0.0.1",)) -> list[int]:
    """Return ports that are free on all hosts for TCP and UDP.

    They lie below the range from which the system takes ports of outgoing connections.
    """
    found: list[int] = []
    for port in SystemRandom().sample(
        range(*PORT_RANGE), PORT_RANGE[1] - PORT_RANGE[0]
    ):
        if len(found) == count:
            break
        if all(
            is_free(host, port, kind)
            for host in hosts
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ):
            found.append(port)
    return found


def is_free(host: str, port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def copy_output(source: BinaryIO, path: str) -> None:
    """Copy a process's output to its log file until the output ends."""
    with source, open(path, "ab", buffering=0) as sink:
        while data := source.read1(65_536):  # type: ignore[attr-defined]
            sink.write(data)


class RunProcess:
    """One process of a run, which can be killed and restarted."""

    def __init__(self, run: Any, name: str) -> None:
        self.run, self.name = run, name
        self.process: subprocess.Popen[bytes] | None = None

    def command(self) -> list[str]:
        raise NotImplementedError

    def start(self) -> None:
        self.process = self.run.processes.spawn(self.command(), self.name)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class GatewayGroupProcess(RunProcess):
    """One process that runs one or more gateways."""

    def __init__(self, run: Any, names: list[str]) -> None:
        super().__init__(run, names[0])
        self.names = names

    def command(self) -> list[str]:
        files = [f"{self.run.out}/{name}.textproto" for name in self.names]
        if self.run.module or self.run.plant:
            return LAB + ["edges", self.run.plant or self.run.module, *files]
        return [sys.executable, "-m", "milletsill", "edge", *files]

    def start(self) -> None:
        """Start the process with its output in a pipe.

        So the log is still written when `fill_disk` stops the process from writing files.
        """
        self.process = self.run.processes.spawn(self.command(), self.name, piped=True)

    def state_folders(self) -> list[str]:
        return [f"{self.run.out}/{name}.state" for name in self.names]

    def delete_state(self) -> None:
        for each in self.state_folders():
            shutil.rmtree(each, ignore_errors=True)

    def copy_state(self) -> None:
        """Copy the state folders as a snapshot would: the process is stopped meanwhile."""
        self.signal(signal.SIGSTOP)
        for each in self.state_folders():
            shutil.rmtree(f"{each}.old", ignore_errors=True)
            shutil.copytree(each, f"{each}.old")
        self.signal(signal.SIGCONT)

    def restore_state_copy(self) -> None:
        """Replace the state folders by their copies; the process is not running."""
        for each in self.state_folders():
            if os.path.isdir(f"{each}.old"):
                shutil.rmtree(each, ignore_errors=True)
                os.rename(f"{each}.old", each)

    def fill_disk(self, full: bool) -> None:
        """Make all writes to files fail, or let them succeed again.

        Sets RLIMIT_FSIZE of the running process to 0. Unlike a full disk, this gives
        EFBIG instead of ENOSPC, and existing blocks cannot be overwritten either.
        """
        if self.process is not None and self.process.poll() is None:
            _, most = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(
                self.process.pid, resource.RLIMIT_FSIZE, (0 if full else most, most)
            )


class PlannerProcess(RunProcess):
    """The planner of a run.

    Its state folder has seen some starts (epochs), the old state that a fault
    substitutes has seen none.
    """

    def __init__(self, run: Any, port: int) -> None:
        super().__init__(run, "planner")
        self.exits: list[int | None] = []
        self.state, self.path = (
            f"{run.out}/planner.state",
            f"{run.out}/planner.textproto",
        )
        file = PlannerFile(
            name="planner",
            listen=f"127.0.0.1:{port}",
            state_dir=self.state,
            metrics=f"127.0.0.1:{free_ports(1)[0]}",
        )
        file.lending.CopyFrom(run.scenario.gateway.planner.lending)
        with open(self.path, "w", encoding="utf-8") as sink:
            sink.write(text_format.MessageToString(file))
        shutil.rmtree(self.state, ignore_errors=True)
        for _ in range(3):
            next_epoch(self.state, Random(run.scenario.seed))

    def command(self) -> list[str]:
        return [sys.executable, "-m", "milletsill", "plan", self.path]

    def start_with_old_state(self) -> None:
        """Start without the current state, as if an old snapshot were restored."""
        os.rename(self.state, f"{self.state}.kept")
        self.start()

    def restart_with_current_state(self) -> None:
        """Kill the process that runs on old state, and start one on the current state.

        The process on old state should have ended by itself; `exits` gets its exit
        code, or -1 if it still runs.
        """
        if self.process is not None:
            self.exits.append(
                self.process.poll() if self.process.poll() is not None else -1
            )
        self.kill()
        shutil.rmtree(self.state, ignore_errors=True)
        os.rename(f"{self.state}.kept", self.state)
        self.start()


class StartedProcesses:
    """All processes that a run started, so that the run can end each of them."""

    def __init__(self, out: str) -> None:
        self.out = out
        self.started: list[subprocess.Popen[bytes]] = []
        self.copy_threads: list[Thread] = []

    def spawn(
        self, command: list[str], name: str, piped: bool = False
    ) -> subprocess.Popen[bytes]:
        path = f"{self.out}/{name}.log"
        if piped:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            self.copy_threads.append(
                Thread(target=copy_output, args=(process.stdout, path), daemon=True)
            )
            self.copy_threads[-1].start()
        else:
            with open(path, "ab") as log:
                process = subprocess.Popen(
                    command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
                )
        self.started.append(process)
        return process

    def kill_all(self) -> None:
        """Kill the processes that still run, and wait until their logs are complete."""
        for each in self.started:
            if each.poll() is None:
                each.kill()
                each.wait()
        for thread in self.copy_threads:
            thread.join(5)
