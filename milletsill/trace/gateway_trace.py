"""Traces a running gateway: connects its recorder, trace writer and metrics."""

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
# How long the writer's thread may hold the interpreter lock while the reactor waits.
SWITCH_INTERVAL_SECONDS = 0.0005


class ReactorThreads(Protocol):
    """The part of the reactor that other threads use."""

    def callFromThread(  # noqa: N802 - Twisted's name
        self, call: Callable[..., object], *args: Any, **named: Any
    ) -> None:
        """Run a call in the reactor's thread."""


@dataclass(frozen=True, slots=True)
class TracedRun:
    """The data of the traced run that a replay needs.

    Attributes:
        config: the scheduler's configuration.
        seed: the scheduler's random seed.
        incarnation: the gateway's incarnation number.
    """

    config: DeploymentConfig
    seed: int
    incarnation: int


def trace_header(deployment: Any, run: TracedRun) -> dict[str, Any]:
    """Return the header's fields: the gateway, the data for a replay, the volumes."""
    return {
        "name": deployment.name,
        "incarnation": run.incarnation,
        "seed": run.seed,
        "facts": to_stored(run.config),
        "plans": [each.name for each in deployment.plan],
        "volumes": [[each.name, each.plan] for each in deployment.volume],
    }


def writer_settings(deployment: Any) -> TraceWriterSettings:
    """Return the writer's settings from the `trace` section of the deploy file."""
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
    """Records one gateway's scheduler and writes the records to trace files.

    `deployment` is the deploy file's message. `log` receives an event's name and its
    fields and is called in the reactor's thread.
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
        self.records_counter = Counter(
            "milletsill_trace_records",
            "Records of the trace by what became of them",
            ("fate",),
            registry=registry,
        )
        self.writing_gauge = Gauge(
            "milletsill_trace_on",
            "1 while the trace is written, 0 while the disk refuses",
            registry=registry,
        )
        self.counted_totals = {"written": 0, "shed": 0}

    def start(self) -> None:
        """Start the writer's thread.

        The shorter switch interval protects the clients' latency from that thread,
        which holds the interpreter lock for whole intervals while it encodes a block.
        It costs more thread switches, and nothing in a process with a single thread.
        """
        sys.setswitchinterval(min(sys.getswitchinterval(), SWITCH_INTERVAL_SECONDS))
        self.trace_writer.header["made"] = self.created_at
        self.trace_writer.start()

    def update_metrics(self) -> None:
        """Update the metrics; called once a second."""
        self.writing_gauge.set(self.trace_writer.state is WriterState.WRITING)
        self.add_to_counter("written", self.trace_writer.records_written)
        self.add_to_counter("shed", self.trace_writer.records_shed)

    def add_to_counter(self, fate: str, total: int) -> None:
        """Add to the counter of a fate the records since the last call."""
        self.records_counter.labels(fate).inc(total - self.counted_totals[fate])
        self.counted_totals[fate] = total

    def stop(self) -> None:
        """Finish the file; a disk that hangs delays this by at most the timeout."""
        self.trace_writer.stop(STOP_TIMEOUT_SECONDS)
