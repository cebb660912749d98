"""Builds a timeline of the faults that a run injected into gateways and their network.

Process faults come from the scenario, network faults from the relay's record. The log
of a gateway tells when it had a view again after a restart.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from milletsill.lab.gateway_logs import GatewayLogs
from milletsill.lab.record_entries import read_entries

DOWN_FAULTS = (
    "balancer_crash",
    "balancer_lost",
    "balancer_old",
    "balancer_leave",
)
ROLLING_FAULT = "balancer_roll"
PARTITION_FAULTS = ("split", "isolate")


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """A fault of a scenario that was injected into gateway processes.

    `at` and `for_s` are seconds; what `extra` means depends on the kind of fault.
    """

    kind: str
    at: float
    for_s: float
    extra: float
    gateways: Sequence[str]


@dataclass(frozen=True, slots=True)
class DownSpan:
    """A time in which a gateway was down or had no view yet after its restart."""

    since: float
    until: float


@dataclass(frozen=True, slots=True)
class NetworkFaultSpan:
    """A time in which a network fault affected these gateways."""

    kind: str
    gateways: frozenset[str]
    since: float
    until: float


@dataclass(frozen=True, slots=True, order=True)
class TimelineMark:
    """An event after which views may change: the start or the end of a fault."""

    at: float
    name: str


@dataclass(slots=True)
class FaultTimeline:
    """Down times of gateways, network faults, and marks of their starts and ends."""

    down: dict[str, list[DownSpan]]
    network: list[NetworkFaultSpan]
    marks: list[TimelineMark]

    def is_up(self, gateway: str, at: float) -> bool:
        """Return whether a gateway is running at a time."""
        return not any(
            span.since <= at < span.until for span in self.down.get(gateway, ())
        )

    def restarted_at(self, gateway: str, at: float) -> float:
        """Return the end of a gateway's last down time up to `at`; 0 without one."""
        spans = self.down.get(gateway, ())
        return max((span.until for span in spans if span.until <= at), default=0.0)

    def sides(self, names: Sequence[str], at: float) -> list[list[str]]:
        """Return the running gateways, grouped by the partition that they are in."""
        partitions = [
            span
            for span in self.network
            if span.since <= at < span.until and span.kind in PARTITION_FAULTS
        ]
        sides: dict[tuple[str | bool, ...], list[str]] = defaultdict(list)
        for name in names:
            if self.is_up(name, at):
                sides[tuple(partition_side(span, name) for span in partitions)].append(
                    name
                )
        return list(sides.values())


def partition_side(span: NetworkFaultSpan, name: str) -> str | bool:
    """Return a value that is equal for gateways on the same side of a partition."""
    if span.kind == "isolate" and name in span.gateways:
        return name
    return name in span.gateways


class TimelineReader:
    """Collects the down times, network faults and marks of a run."""

    def __init__(self, names: Sequence[str], logs: GatewayLogs) -> None:
        self.names = names
        self.logs = logs
        self.down: dict[str, list[DownSpan]] = defaultdict(list)
        self.network: list[NetworkFaultSpan] = []
        self.marks: list[TimelineMark] = []

    def add_down_span(self, gateway: str, since: float, until: float) -> None:
        """Add a down time from `since` to the gateway's first view after `until`."""
        view_at = self.logs.first_view_at(gateway, until)
        self.down[gateway].append(DownSpan(since, view_at))

    def recovered_at(self, fault: ProcessFault) -> float:
        """Return when the last of a fault's gateways had a view again."""
        return max(self.down[name][-1].until for name in fault.gateways)

    def add_process_fault(self, fault: ProcessFault) -> None:
        """Add a fault of gateway processes."""
        names = ", ".join(fault.gateways)
        self.marks.append(TimelineMark(fault.at, f"{fault.kind} of {names}"))
        if fault.kind in DOWN_FAULTS:
            for name in fault.gateways:
                self.add_down_span(name, fault.at, fault.at + fault.for_s)
            mark = f"{names} recovered from {fault.kind}"
            self.marks.append(TimelineMark(self.recovered_at(fault), mark))
        elif fault.kind == ROLLING_FAULT:
            for place, name in enumerate(fault.gateways):
                at = fault.at + fault.for_s * place / len(fault.gateways)
                self.add_down_span(name, at, at + fault.extra)
            mark = f"end of {ROLLING_FAULT}"
            self.marks.append(TimelineMark(self.recovered_at(fault), mark))

    def read_network(self, path: str) -> None:
        """Add the network faults in the relay's record."""
        began: dict[tuple[str, float], tuple[float, frozenset[str]]] = {}
        for entry in read_entries(path):
            note = entry.note()
            if note.get("what") not in ("begin", "end"):
                continue
            begins = note["what"] == "begin"
            gateways = frozenset(self.names[number] for number in note["on"])
            name = f"{note['fault']} of {', '.join(sorted(gateways)) or 'all'}"
            mark = name if begins else f"healed: {name}"
            self.marks.append(TimelineMark(entry.at, mark))
            key = (note["fault"], note["planned"])
            if begins:
                began[key] = entry.at, gateways
            elif key in began:
                since, gateways = began.pop(key)
                span = NetworkFaultSpan(note["fault"], gateways, since, entry.at)
                self.network.append(span)


def read_fault_timeline(
    folder: str,
    names: Sequence[str],
    start: float,
    logs: GatewayLogs,
    faults: Sequence[ProcessFault],
) -> FaultTimeline:
    """Build the timeline from the process faults and the relay's record."""
    reader = TimelineReader(names, logs)
    reader.marks.append(TimelineMark(start, "start of the run"))
    for fault in faults:
        reader.add_process_fault(fault)
    reader.read_network(f"{folder}/relay.rec")
    return FaultTimeline(reader.down, reader.network, sorted(reader.marks))
