"""Plays the scheduler on the bench's wire like `milletsill.wirehost`, and traces it.

A bad day of the bench can so be studied with the same tools. Given to the bench as its
command: `python -m milletsill.lab wire FOLDER`. The wire names no volumes: they stand
by number. An instance that is killed and made again gets a new file.
"""

from __future__ import annotations

import os
import sys

from milletsill.deployment_config import DeploymentConfig, to_stored
from milletsill.interface import SchedulerEvents
from milletsill.scheduler import Scheduler
from milletsill.trace.recorder import TraceRecorder
from milletsill.trace.trace_file import SimulationTrace
from milletsill.wirehost.codec import MalformedBatchError
from milletsill.wirehost.host import Instance, serve

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


class InstanceTraces:
    """All the traces of one play.

    They have a folder of their own, since the bench runs several days.
    """

    def __init__(self, folder: str) -> None:
        self.folder = os.path.join(folder, str(os.getpid()))
        self.traces: list[SimulationTrace] = []
        os.makedirs(self.folder, exist_ok=True)

    def open(
        self, number: int, config: DeploymentConfig, seed: int, now: int
    ) -> SimulationTrace:
        """Begin the trace of an instance that is made now."""
        about = {
            "name": f"instance-{number}",
            "seed": seed,
            "facts": to_stored(config),
            "made": now,
            "opened": 0,
            "wall_ms": 0,
        }
        name = f"instance-{number:04d}-{len(self.traces) + 1:05d}.mtrace"
        trace = SimulationTrace(os.path.join(self.folder, name), about)
        self.traces.append(trace)
        return trace

    def close(self) -> None:
        """End all traces."""
        for trace in self.traces:
            trace.close()


class TracedInstance(Instance):
    """An instance whose scheduler has a recorder around it."""

    def __init__(self, number: int, traces: InstanceTraces) -> None:
        super().__init__(number)
        self.traces = traces

    def make_scheduler(
        self, config: DeploymentConfig, seed: int, now: int
    ) -> SchedulerEvents:
        """Return a scheduler whose events and effects are recorded."""
        trace = self.traces.open(self.number, config, seed, now)
        return TraceRecorder(trace, ()).wrap(Scheduler)(config, seed, now, self)


def main(folder: str) -> int:
    """Serve the bench until its input ends; return the process's exit code."""
    traces = InstanceTraces(folder)
    try:
        serve(
            sys.stdin.buffer,
            sys.stdout.buffer,
            lambda number: TracedInstance(number, traces),
        )
    except MalformedBatchError as error:
        print(f"milletsill: malformed input: {error.describe()}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return EXIT_FAILED
    finally:
        traces.close()
    return 0
