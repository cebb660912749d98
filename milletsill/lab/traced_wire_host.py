"""Runs the scheduler for the bench like `milletsill.wirehost`, and writes traces.

The traces let the trace tools analyse a day of the bench that went badly. The bench is
given the command `python -m milletsill.lab wire FOLDER`. The wire protocol carries no
volume names, so traces identify volumes by number. An instance that is killed and
created again gets a new trace file.
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
    """All traces that this process writes.

    Each process writes to its own folder, since the bench runs several days.
    """

    def __init__(self, folder: str) -> None:
        self.folder = os.path.join(folder, str(os.getpid()))
        self.traces: list[SimulationTrace] = []
        os.makedirs(self.folder, exist_ok=True)

    def open(
        self, number: int, config: DeploymentConfig, seed: int, now: int
    ) -> SimulationTrace:
        """Create the trace file of a new scheduler instance."""
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
        """Close all trace files."""
        for trace in self.traces:
            trace.close()


class TracedInstance(Instance):
    """A scheduler instance whose events and effects are recorded."""

    def __init__(self, number: int, traces: InstanceTraces) -> None:
        super().__init__(number)
        self.traces = traces

    def make_scheduler(
        self, config: DeploymentConfig, seed: int, now: int
    ) -> SchedulerEvents:
        """Return a scheduler that is wrapped in a trace recorder."""
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
