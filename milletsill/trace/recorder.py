"""Records one scheduler: its events and effects, and the commands of clients.

Neither the scheduler nor its host knows of the recorder, and none of this is loaded
where tracing is off.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from milletsill.deployment_config import DeploymentConfig
from milletsill.interface import SchedulerEffects, SchedulerEvents, SchedulerFactory
from milletsill.trace.traced_scheduler import (
    TracedEffects,
    TracedScheduler,
)


class RecordSink(Protocol):
    """Takes records and never blocks; `trace.writer.TraceWriter` is one."""

    def put(self, name: str, at: int, *values: object) -> None:
        """Take one record: the name of its kind, its time and its fields' values."""


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """What a client asked for and got. Times are tenths of a millisecond.

    Attributes:
        began: when the command arrived.
        volume: the volume's name.
        service_plan: place of the volume's plan in the configuration.
        request_class: place of the command's class in the configuration.
        operation: what was asked, by its name in the protocol.
        units: its cost.
        requests: requests to the scheduler that it took.
        attempts: attempts of the requests.
        answer: `satisfied`, `declined` or `aborted`.
        reason: why it was not satisfied.
    """

    began: int
    volume: str
    service_plan: int
    request_class: int
    operation: str
    units: float
    requests: int
    attempts: int
    answer: str
    reason: str


class TraceRecorder:
    """Records one scheduler instance.

    `volume_names` are the volumes' names by number, from 1.
    """

    def __init__(self, writer: RecordSink, volume_names: Sequence[str]) -> None:
        self.writer = writer
        self.volume_names = volume_names
        self.scheduler: TracedScheduler | None = None
        # When the scheduler was made, which a replay needs.
        self.made_at = 0

    def wrap(self, make: SchedulerFactory) -> SchedulerFactory:
        """Return a factory of the same scheduler, recorded."""

        def make_traced(
            config: DeploymentConfig, seed: int, now: int, effects: SchedulerEffects
        ) -> SchedulerEvents:
            self.made_at = now
            traced = TracedEffects(effects, self.writer.put, now)
            scheduler = make(config, seed, now, traced)
            self.scheduler = TracedScheduler(scheduler, traced, self.volume_names)
            return self.scheduler

        return make_traced

    def set_next_path(self, path: str) -> None:
        """Name the path that the next request is about."""
        if self.scheduler is not None:
            self.scheduler.next_path = path

    def record_command(self, now: int, command: CommandRecord) -> None:
        """Record a client's command with its answer."""
        self.writer.put(
            "command",
            now,
            command.began,
            now - command.began,
            command.volume,
            command.service_plan,
            command.request_class,
            command.operation,
            command.units,
            command.requests,
            command.attempts,
            command.answer,
            command.reason,
        )
