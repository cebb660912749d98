"""The processes of a run: edges, planner, relay; started, hurt and ended by their ids, their logs poured into files."""

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

PORTS = (20_000, 32_000)
LAB = [sys.executable, "-m", "milletsill.lab"]


def free_ports(count: int, hosts: tuple[str, ...] = ("127.0.0.1",)) -> list[int]:
    """Ports that nothing listens on now, TCP or UDP, below those that the system gives to outgoing connections."""
    found: list[int] = []
    for port in SystemRandom().sample(range(*PORTS), PORTS[1] - PORTS[0]):
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


def pour(source: BinaryIO, path: str) -> None:
    """What a process says into its log, until it ends."""
    with source, open(path, "ab", buffering=0) as sink:
        while data := source.read1(65_536):  # type: ignore[attr-defined]
            sink.write(data)


class Part:
    """One process of a run, which may be killed and started again."""

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


class Group(Part):
    """One process that carries some edges."""

    def __init__(self, run: Any, names: list[str]) -> None:
        super().__init__(run, names[0])
        self.names = names

    def command(self) -> list[str]:
        files = [f"{self.run.out}/{name}.textproto" for name in self.names]
        if self.run.module or self.run.plant:
            return LAB + ["edges", self.run.plant or self.run.module, *files]
        return [sys.executable, "-m", "milletsill", "edge", *files]

    def start(self) -> None:
        """Its log goes through a pipe, so that one without a disk still says what befell it."""
        self.process = self.run.processes.spawn(self.command(), self.name, piped=True)

    def states(self) -> list[str]:
        return [f"{self.run.out}/{name}.state" for name in self.names]

    def lose_state(self) -> None:
        for each in self.states():
            shutil.rmtree(each, ignore_errors=True)

    def copy_state(self) -> None:
        """As a snapshot of the machine would: the process stands while it is taken."""
        self.signal(signal.SIGSTOP)
        for each in self.states():
            shutil.rmtree(f"{each}.old", ignore_errors=True)
            shutil.copytree(each, f"{each}.old")
        self.signal(signal.SIGCONT)

    def old_state(self) -> None:
        """The copy in the place of what it has, while it is down."""
        for each in self.states():
            if os.path.isdir(f"{each}.old"):
                shutil.rmtree(each, ignore_errors=True)
                os.rename(f"{each}.old", each)

    def fill_disk(self, full: bool) -> None:
        """No write to a file goes through any more, or all do again: RLIMIT_FSIZE of the running process, at 0. A full disk
        says ENOSPC where this says EFBIG, and lets old blocks be written over; this does not.
        """
        if self.process is not None and self.process.poll() is None:
            _, most = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(
                self.process.pid, resource.RLIMIT_FSIZE, (0 if full else most, most)
            )


class PlannerPart(Part):
    """The planner of a run. Its folder has seen some starts; an old copy of it has seen none."""

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

    def start_old(self) -> None:
        """As if an old snapshot of the machine had come back."""
        os.rename(self.state, f"{self.state}.kept")
        self.start()

    def start_again(self) -> None:
        """The true state again; the old run, which should have ended, is ended."""
        if self.process is not None:
            self.exits.append(
                self.process.poll() if self.process.poll() is not None else -1
            )
        self.kill()
        shutil.rmtree(self.state, ignore_errors=True)
        os.rename(f"{self.state}.kept", self.state)
        self.start()


class Processes:
    """All that a run started, so that all of it is ended."""

    def __init__(self, out: str) -> None:
        self.out = out
        self.made: list[subprocess.Popen[bytes]] = []
        self.pours: list[Thread] = []

    def spawn(
        self, command: list[str], name: str, piped: bool = False
    ) -> subprocess.Popen[bytes]:
        path = f"{self.out}/{name}.log"
        if piped:
            made = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            self.pours.append(
                Thread(target=pour, args=(made.stdout, path), daemon=True)
            )
            self.pours[-1].start()
        else:
            with open(path, "ab") as log:
                made = subprocess.Popen(
                    command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
                )
        self.made.append(made)
        return made

    def end(self) -> None:
        """What still runs is killed; the logs are whole."""
        for each in self.made:
            if each.poll() is None:
                each.kill()
                each.wait()
        for thread in self.pours:
            thread.join(5)
