"""The trace of a running gateway: its writer, its recorder and its metrics."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from typing import Any, Protocol

from prometheus_client import CollectorRegistry, Counter, Gauge

from milletsill.deployment_config import DeploymentConfig, to_stored
from milletsill.trace.recorder import TraceRecorder
from milletsill.trace.recording_policy import WriterState
from milletsill.trace.records import TICKS_PER_SECOND
from milletsill.trace.writer import TraceWriter, TraceWriterSettings

STOP_TIMEOUT_SECONDS = 3.0
# How long the writer's thread may keep the reactor from the interpreter.
SWITCH_INTERVAL_SECONDS = 0.0005


class ReactorThreads(Protocol):
    """The reactor, as a thread beside it uses it."""

    def callFromThread(  # noqa: N802 - Twisted's name
        self, call: Callable[..., object], *args: Any, **named: Any
    ) -> None:
        """Have the reactor's thread make a call."""


@dataclass(frozen=True, slots=True)
class TracedRun:
    """What a replay needs of the run that is traced.

    Attributes:
        config: the configuration of the scheduler.
        seed: the scheduler's random seed.
        incarnation: number of this start of the gateway.
    """

    config: DeploymentConfig
    seed: int
    incarnation: int


def trace_header(deployment: Any, run: TracedRun) -> dict[str, Any]:
    """Return the header's fields: who writes, what a replay needs, the volumes."""
    return {
        "name": deployment.name,
        "incarnation": run.incarnation,
        "seed": run.seed,
        "facts": to_stored(run.config),
        "plans": [each.name for each in deployment.plan],
        "volumes": [[each.name, each.plan] for each in deployment.volume],
    }


def writer_settings(deployment: Any) -> TraceWriterSettings:
    """Return the settings of the writer from the deploy file's `trace`."""
    trace = deployment.trace
    return TraceWriterSettings(
        folder=trace.folder,
        name=deployment.name,
        max_queued=trace.most_held,
        max_file_bytes=trace.file_bytes,
        max_file_age=ceil(trace.file_s * TICKS_PER_SECOND),
        max_total_bytes=trace.total_bytes,
        sync=trace.sync,
        max_block_age=ceil(trace.block_s * TICKS_PER_SECOND),
    )


class GatewayTrace(TraceRecorder):
    """One gateway's trace.

    `deployment` is the deploy file's message. `log` gets the event's name and its
    fields, in the reactor's thread.
    """

    def __init__(
        self,
        reactor: ReactorThreads,
        now: Callable[[], int],
        deployment: Any,
        run: TracedRun,
        log: Callable[..., None],
        registry: CollectorRegistry,
    ) -> None:
        self.trace_writer = TraceWriter(
            writer_settings(deployment),
            trace_header(deployment, run),
            now,
            lambda text: reactor.callFromThread(log, "trace", reason=text),
        )
        names = [each.name for each in deployment.volume]
        super().__init__(self.trace_writer, names)
        self.records = Counter(
            "milletsill_trace_records",
            "Records of the trace by what became of them",
            ("fate",),
            registry=registry,
        )
        self.on = Gauge(
            "milletsill_trace_on",
            "1 while the trace is written, 0 while the disk refuses",
            registry=registry,
        )
        self.counted = {"written": 0, "shed": 0}

    def start(self) -> None:
        """Start the writer's thread.

        The shorter switch interval guards clients' latency against that thread, which
        holds the interpreter for whole intervals while it forms a block. It costs more
        thread switches; with one thread there are none.
        """
        sys.setswitchinterval(min(sys.getswitchinterval(), SWITCH_INTERVAL_SECONDS))
        self.trace_writer.header["made"] = self.made_at
        self.trace_writer.start()

    def update_metrics(self) -> None:
        """Bring the metrics up to date; called once a second."""
        self.on.set(self.trace_writer.state is WriterState.WRITING)
        self.count("written", self.trace_writer.records_written)
        self.count("shed", self.trace_writer.records_shed)

    def count(self, fate: str, total: int) -> None:
        """Add to a counter what has come since the last call."""
        self.records.labels(fate).inc(total - self.counted[fate])
        self.counted[fate] = total

    def stop(self) -> None:
        """End the file; a disk that hangs is not waited for beyond the timeout."""
        self.trace_writer.stop(STOP_TIMEOUT_SECONDS)
