"""What a run did to its gateways and to the network between them, and when."""

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
PARTITIONS = ("split", "isolate")


@dataclass(frozen=True, slots=True)
class ProcessFault:
    """A fault of a scenario as it was done to gateways; seconds.

    `extra` is what the scenario's words for the kind of fault say.
    """

    kind: str
    at: float
    for_s: float
    extra: float
    gateways: Sequence[str]


@dataclass(frozen=True, slots=True)
class DownSpan:
    """When a gateway did not run, or had no view yet after it did."""

    since: float
    until: float


@dataclass(frozen=True, slots=True)
class PartedSpan:
    """A fault of the network between gateways; which ones, and when."""

    kind: str
    gateways: frozenset[str]
    since: float
    until: float


@dataclass(frozen=True, slots=True, order=True)
class TimelineMark:
    """Something that views may change after: a fault's begin or its end."""

    at: float
    name: str


@dataclass(slots=True)
class FaultTimeline:
    """Gateways that were down, faults of the network, and their begins and ends."""

    down: dict[str, list[DownSpan]]
    network: list[PartedSpan]
    marks: list[TimelineMark]

    def is_up(self, gateway: str, at: float) -> bool:
        """Return whether a gateway runs."""
        return not any(
            span.since <= at < span.until for span in self.down.get(gateway, ())
        )

    def restarted_at(self, gateway: str, at: float) -> float:
        """Return when a gateway was last back; 0 where it never was down."""
        spans = self.down.get(gateway, ())
        return max((span.until for span in spans if span.until <= at), default=0.0)

    def sides(self, names: Sequence[str], at: float) -> list[list[str]]:
        """Return the gateways that run, by whom they can speak to."""
        partitions = [
            span
            for span in self.network
            if span.since <= at < span.until and span.kind in PARTITIONS
        ]
        sides: dict[tuple[str | bool, ...], list[str]] = defaultdict(list)
        for name in names:
            if self.is_up(name, at):
                sides[tuple(side_in(span, name) for span in partitions)].append(name)
        return list(sides.values())


def side_in(span: PartedSpan, name: str) -> str | bool:
    """Return what tells a gateway's side of a partition from the others."""
    if span.kind == "isolate" and name in span.gateways:
        return name
    return name in span.gateways


class TimelineReader:
    """Puts a run's timeline together."""

    def __init__(self, names: Sequence[str], logs: GatewayLogs) -> None:
        self.names = names
        self.logs = logs
        self.down: dict[str, list[DownSpan]] = defaultdict(list)
        self.network: list[PartedSpan] = []
        self.marks: list[TimelineMark] = []

    def take_down(self, gateway: str, since: float, until: float) -> None:
        """Note that a gateway was down until its first view after a time."""
        back_at = self.logs.first_view_at(gateway, until)
        self.down[gateway].append(DownSpan(since, back_at))

    def last_back_at(self, fault: ProcessFault) -> float:
        """Return when the last of a fault's gateways was back."""
        return max(self.down[name][-1].until for name in fault.gateways)

    def add_process_fault(self, fault: ProcessFault) -> None:
        """Add what was done to processes."""
        names = ", ".join(fault.gateways)
        self.marks.append(TimelineMark(fault.at, f"{fault.kind} of {names}"))
        if fault.kind in DOWN_FAULTS:
            for name in fault.gateways:
                self.take_down(name, fault.at, fault.at + fault.for_s)
            mark = f"{names} back after {fault.kind}"
            self.marks.append(TimelineMark(self.last_back_at(fault), mark))
        elif fault.kind == ROLLING_FAULT:
            for place, name in enumerate(fault.gateways):
                at = fault.at + fault.for_s * place / len(fault.gateways)
                self.take_down(name, at, at + fault.extra)
            mark = f"{ROLLING_FAULT} over"
            self.marks.append(TimelineMark(self.last_back_at(fault), mark))

    def read_network(self, path: str) -> None:
        """Add what the relay's record says of the network."""
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
                span = PartedSpan(note["fault"], gateways, since, entry.at)
                self.network.append(span)


def read_fault_timeline(
    folder: str,
    names: Sequence[str],
    start: float,
    logs: GatewayLogs,
    faults: Sequence[ProcessFault],
) -> FaultTimeline:
    """Put together what the run did to processes and what the relay's record says."""
    reader = TimelineReader(names, logs)
    reader.marks.append(TimelineMark(start, "the day's start"))
    for fault in faults:
        reader.add_process_fault(fault)
    reader.read_network(f"{folder}/relay.rec")
    return FaultTimeline(reader.down, reader.network, sorted(reader.marks))
