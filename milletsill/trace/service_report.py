"""Reports the service of a trace, by time window, request class and reason.

A command counts in the window of its arrival. The service figure comes from
`service_accounting`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.reader import ProgressCallback, TraceReader
from milletsill.trace.records import BY_NAME, TICKS_PER_SECOND
from milletsill.trace.service_accounting import CompletedOperation, total_service
from milletsill.trace.service_terms import ServiceTerms, decode_terms

MAX_WINDOWS = 10_000
MAX_LATENCIES = 2_000_000
MAX_REASONS = 100
PERCENTILES = {"p50": 50, "p90": 90, "p99": 99}
TICKS_PER_MILLISECOND = 10
SMALLEST_UTILITY = 1e-9
COMMAND_KINDS = frozenset((BY_NAME["command"].number,))


@dataclass(frozen=True, slots=True)
class AnsweredCommand:
    """A command of a trace and its answer.

    Attributes:
        operation: the command as input of the service accounting.
        latency: tenths of a millisecond from arrival to answer.
        answer: `satisfied`, `declined` or `aborted`.
        reason: the reason of an answer other than `satisfied`.
    """

    operation: CompletedOperation
    latency: int
    answer: str
    reason: str


def answered_commands(
    reader: TraceReader,
    terms: ServiceTerms,
    since: int | None = None,
    until: int | None = None,
) -> Iterator[AnsweredCommand]:
    """Yield the commands of a trace that were answered from `since` to before `until`.

    Raises:
        MalformedTraceError: if a command's class or plan is not in the terms.
    """
    for _, _, values in reader.records(since, until, kinds=COMMAND_KINDS):
        began, latency, volume, plan, class_index, _, units, _, _, answer, reason = (
            values
        )
        if not (
            0 <= class_index < len(terms.classes) and 0 <= plan < len(terms.prices)
        ):
            raise MalformedTraceError(
                f"a command has category {class_index} and plan {plan}; the header has "
                f"{len(terms.classes)} categories and {len(terms.prices)} plans"
            )
        request_class = terms.classes[class_index]
        done = answer == "satisfied"
        in_time = done and latency <= request_class.target
        late_credit = request_class.late_utility if done else 0.0
        operation = CompletedOperation(
            second=began // TICKS_PER_SECOND,
            volume=terms.volumes.get(volume, 0),
            request_class=request_class.name,
            units=units,
            utility=request_class.utility * terms.prices[plan],
            credit=1.0 if in_time else late_credit,
            late=not in_time,
        )
        yield AnsweredCommand(operation, latency, answer, reason)


@dataclass(slots=True)
class ServiceWindow:
    """The figures of one time window; its utilities disregard reserves.

    Attributes:
        due: utility of all commands that arrived in the window.
        in_time: utility of those that were done in time.
        answers: number of commands by answer.
        latencies: latencies of the satisfied commands, by request class.
    """

    due: float = 0.0
    in_time: float = 0.0
    answers: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, list[int]] = field(default_factory=dict)

    def summary(self) -> dict[str, Any]:
        """Return the window's figures under the names that the command line prints."""
        return {
            "service": self.in_time / self.due if self.due else None,
            **self.answers,
            "ms": {
                name: latency_percentiles(latencies)
                for name, latencies in sorted(self.latencies.items())
            },
        }


def latency_percentiles(latencies: list[int]) -> dict[str, float]:
    """Return the percentiles by name, in milliseconds."""
    ticks = np.percentile(np.array(latencies), tuple(PERCENTILES.values()))
    return {
        name: round(float(value), 1)
        for name, value in zip(PERCENTILES, ticks / TICKS_PER_MILLISECOND, strict=True)
    }


class ServiceReport:
    """Accumulates the commands of a trace into the figures of a service report.

    `window` is the length of a time window in tenths of a millisecond.
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self.windows: dict[int, ServiceWindow] = {}
        self.reasons: Counter[tuple[str, str, str]] = Counter()
        self.operations: list[CompletedOperation] = []
        self.latency_count = 0

    def add(self, command: AnsweredCommand) -> None:
        """Add one command.

        Raises:
            MalformedTraceError: if there are more than `MAX_WINDOWS` windows.
        """
        operation = command.operation
        window = self.window_at(operation.second * TICKS_PER_SECOND // self.window)
        utility = operation.units * operation.utility
        window.due += utility
        window.in_time += 0.0 if operation.late else utility
        window.answers[command.answer] += 1
        if command.answer != "satisfied":
            self.add_reason(command)
        elif self.latency_count < MAX_LATENCIES:
            latencies = window.latencies.setdefault(operation.request_class, [])
            latencies.append(command.latency)
            self.latency_count += 1
        self.operations.append(operation)

    def window_at(self, index: int) -> ServiceWindow:
        """Return the window at an index, counted from the clock's zero."""
        if index not in self.windows and len(self.windows) >= MAX_WINDOWS:
            raise MalformedTraceError(
                f"more than {MAX_WINDOWS} time windows: choose longer windows"
            )
        return self.windows.setdefault(index, ServiceWindow())

    def add_reason(self, command: AnsweredCommand) -> None:
        """Count a command's reason; at most `MAX_REASONS` reasons are kept."""
        key = (command.operation.request_class, command.answer, command.reason)
        if len(self.reasons) < MAX_REASONS or key in self.reasons:
            self.reasons[key] += 1

    def summary(self, source: str, terms: ServiceTerms) -> dict[str, Any]:
        """Return the report's figures under the names that the command line prints."""
        in_time = sum(each.in_time for each in self.windows.values())
        due = sum(each.due for each in self.windows.values())
        return {
            "file": source,
            "commands": len(self.operations),
            "service": (
                service_ratios(self.operations, terms) if terms.capacity else None
            ),
            "service without reserves": in_time / max(due, SMALLEST_UTILITY),
            "windows": [
                {"from_s": place * self.window / TICKS_PER_SECOND, **window.summary()}
                for place, window in sorted(self.windows.items())
            ],
            "not satisfied": [
                {"category": name, "final": answer, "why": reason, "count": count}
                for (name, answer, reason), count in self.reasons.most_common()
            ],
        }


def report_service(
    source: str,
    window: int,
    capacity: float | None = None,
    since: int | None = None,
    until: int | None = None,
    progress: ProgressCallback | None = None,
) -> dict[str, Any]:
    """Return the service, latencies and answers by time window, and counts of reasons.

    `window` is in tenths of a millisecond; `capacity` is the units per second of all
    nodes.

    Raises:
        OSError: if the file cannot be read.
        MalformedTraceError: if it is not a trace or its header has no service terms.
    """
    report = ServiceReport(window)
    with TraceReader(source, progress) as reader:
        terms = decode_terms(reader.contents.header, capacity)
        for command in answered_commands(reader, terms, since, until):
            report.add(command)
        return report.summary(source, terms)


def service_ratios(
    operations: Sequence[CompletedOperation], terms: ServiceTerms
) -> dict[str, float]:
    """Return the service figure by request class, and in total under ''."""
    totals = total_service(
        operations,
        terms.entitlements,
        terms.capacity,
        terms.largest_units,
        terms.share,
        terms.spare,
    )
    return {
        name: counted / due if due else 0.0
        for name, (counted, due) in sorted(totals.items())
    }
