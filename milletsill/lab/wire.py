"""Plays the module on the bench's wire like `milletsill.wirehost`, and keeps a trace of each instance, so that a bad bench day can
be studied with the same tools. Given to the bench as its command: `python -m milletsill.lab wire FOLDER`.

The wire names no stores: they stand by number. An instance that is killed and born again gets a new file.
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


class Kept:
    """All the traces of one play.

    A folder of its own, since the bench runs several days.
    """

    def __init__(self, folder: str) -> None:
        self.folder, self.taps, self.births = (
            os.path.join(folder, str(os.getpid())),
            list[SimulationTrace](),
            0,
        )
        os.makedirs(self.folder, exist_ok=True)

    def tap(
        self, number: int, config: DeploymentConfig, seed: int, now: int
    ) -> SimulationTrace:
        self.births += 1
        about = {
            "name": f"instance-{number}",
            "seed": seed,
            "facts": to_stored(config),
            "made": now,
            "opened": 0,
            "wall_ms": 0,
        }
        made = SimulationTrace(
            os.path.join(
                self.folder, f"instance-{number:04d}-{self.births:05d}.mtrace"
            ),
            about,
        )
        self.taps.append(made)
        return made

    def close(self) -> None:
        for each in self.taps:
            each.close()


class Recorded(Instance):
    """An instance whose module has a recorder around it."""

    def __init__(self, number: int, kept: Kept) -> None:
        super().__init__(number)
        self.kept = kept

    def make_scheduler(
        self, config: DeploymentConfig, seed: int, now: int
    ) -> SchedulerEvents:
        """A scheduler whose events and effects are recorded."""
        tap = self.kept.tap(self.number, config, seed, now)
        return TraceRecorder(tap, ()).wrap(Scheduler)(config, seed, now, self)


def main(folder: str) -> int:
    kept = Kept(folder)
    try:
        serve(
            sys.stdin.buffer, sys.stdout.buffer, lambda number: Recorded(number, kept)
        )
    except MalformedBatchError as error:
        print(f"milletsill: malformed input: {error.describe()}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    finally:
        kept.close()
    return 0
