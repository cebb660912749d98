"""Traces as the edge sees them: the writer with the terms of its file, the recorder around the module, figures."""

from __future__ import annotations

import sys
from collections.abc import Callable
from math import ceil
from typing import Any

from prometheus_client import Counter, Gauge

from milletsill.deployment_config import DeploymentConfig, to_stored
from milletsill.trace.recorder import Recorder
from milletsill.trace.recording_policy import Tracing
from milletsill.trace.writer import Writer

STOP_WITHIN, SWITCH = (
    3.0,
    0.0005,
)  # seconds: that the end waits for the disk; that the writer may keep the reactor waiting


def about(
    file: Any, config: DeploymentConfig, seed: int, incarnation: int
) -> dict[str, Any]:
    """What the header says of the writer: who, the configuration and seed that a replay needs, the stores by number."""
    return {
        "name": file.name,
        "incarnation": incarnation,
        "seed": seed,
        "facts": to_stored(config),
        "plans": [each.name for each in file.plan],
        "volumes": [[each.name, each.plan] for each in file.volume],
    }


class Traces(Recorder):
    """One gateway's trace."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        file: Any,
        config: DeploymentConfig,
        seed: int,
        incarnation: int,
        remark: Callable[..., None],
        registry: Any,
    ) -> None:
        terms = file.trace
        self.writer: Writer
        super().__init__(
            Writer(
                terms.folder,
                file.name,
                about(file, config, seed, incarnation),
                now,
                lambda text: reactor.callFromThread(remark, "trace", reason=text),
                terms.most_held,
                terms.file_bytes,
                ceil(terms.file_s * 10_000),
                terms.total_bytes,
                terms.sync,
                ceil(terms.block_s * 10_000),
            ),
            [each.name for each in file.volume],
        )
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
        self.told_of = {"written": 0, "shed": 0}

    def start(self) -> None:
        # Guards clients' latency against the writer's thread, which holds the interpreter for whole intervals while it forms a
        # block, whatever else waits. Harm: more switches; with one thread there are none.
        sys.setswitchinterval(min(sys.getswitchinterval(), SWITCH))
        self.writer.about["made"] = self.made
        self.writer.start()

    def look(self) -> None:
        """Once a second: the figures."""
        self.on.set(self.writer.tracing is Tracing.ON)
        for fate, count in (
            ("written", self.writer.written),
            ("shed", self.writer.lost),
        ):
            self.records.labels(fate).inc(count - self.told_of[fate])
            self.told_of[fate] = count

    def stop(self) -> None:
        """End the file; a disk that hangs is left behind."""
        self.writer.stop(STOP_WITHIN)
