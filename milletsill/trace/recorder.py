"""Records a scheduler's events and effects, and the commands of clients.

The scheduler and its host are unaware of the recorder. A gateway without tracing does
not import this package.
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
    """Takes records without blocking, for example a `trace.writer.TraceWriter`."""

    def put(self, name: str, at: int, *values: object) -> None:
        """Take one record: its kind's name, its time and the values of its fields."""


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """A client's command and its answer. Times are tenths of a millisecond.

    Attributes:
        began: time of the command's arrival.
        volume: the volume's name.
        service_plan: index of the volume's plan in the configuration.
        request_class: index of the command's class in the configuration.
        operation: the operation's name in the protocol.
        units: cost of the command in units.
        requests: number of scheduler requests that the command took.
        attempts: number of attempts of these requests.
        answer: `satisfied`, `declined` or `aborted`.
        reason: the reason of an answer other than `satisfied`.
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

    `volume_names` holds the volumes' names in order of their numbers, which begin at 1.
    """

    def __init__(self, writer: RecordSink, volume_names: Sequence[str]) -> None:
        self.writer = writer
        self.volume_names = volume_names
        self.scheduler: TracedScheduler | None = None
        # Time of the scheduler's creation; a replay needs it.
        self.created_at = 0

    def wrap(self, create_scheduler: SchedulerFactory) -> SchedulerFactory:
        """Return a factory that creates the same scheduler with recording."""

        def create_traced(
            config: DeploymentConfig, seed: int, now: int, effects: SchedulerEffects
        ) -> SchedulerEvents:
            self.created_at = now
            traced = TracedEffects(effects, self.writer.put, now)
            scheduler = create_scheduler(config, seed, now, traced)
            self.scheduler = TracedScheduler(scheduler, traced, self.volume_names)
            return self.scheduler

        return create_traced

    def set_next_path(self, path: str) -> None:
        """Set the path to record with the next request."""
        if self.scheduler is not None:
            self.scheduler.next_path = path

    def record_command(self, now: int, command: CommandRecord) -> None:
        """Record a client's command and its answer."""
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
