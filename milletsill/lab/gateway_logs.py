"""Reads membership views and node verdicts from the gateways' logs.

The JSON events that count are `view` (with a digest), `member` (with a change) and
`node_verdict_changed`. Wall-clock timestamps are converted to the run's monotonic
clock, in seconds.
"""

from __future__ import annotations

import json
import os
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any


@dataclass(frozen=True, slots=True)
class ReportedView:
    """The digest and the number of members of a view that a gateway logged."""

    at: float
    digest: str
    members: int


@dataclass(frozen=True, slots=True)
class ReportedDeath:
    """A member that a gateway logged as dead."""

    at: float
    gateway: str
    member: str


@dataclass(frozen=True, slots=True, order=True)
class ReportedVerdict:
    """The new state of a node in a gateway's `node_verdict_changed` event."""

    at: float
    gateway: str
    node: int
    state: str


@dataclass(slots=True)
class GatewayLogs:
    """Events from the gateways' logs in order of time; views by gateway."""

    views: dict[str, list[ReportedView]] = field(
        default_factory=lambda: defaultdict(list)
    )
    deaths: list[ReportedDeath] = field(default_factory=list)
    verdicts: list[ReportedVerdict] = field(default_factory=list)

    def first_view_at(self, gateway: str, at: float) -> float:
        """Return when a gateway logged its first view at or after a time.

        A restarted gateway counts as down until then, so that the start time of the
        Python process does not count as slow agreement. Without a later view, the
        result is the given time.
        """
        views = self.views.get(gateway, ())
        return next((view.at for view in views if view.at >= at), at)

    def last_view(self, gateway: str, at: float) -> ReportedView | None:
        """Return the last view that a gateway logged up to a time."""
        views = self.views.get(gateway, [])
        place = bisect_right(views, at, key=lambda view: view.at) - 1
        return views[place] if place >= 0 else None

    def add(self, gateway: str, at: float, line: dict[str, Any]) -> None:
        """Add the event of one log line, if it is one that counts."""
        event = line["event"]
        if event == "view":
            view = ReportedView(at, line["digest"], line["members"])
            self.views[gateway].append(view)
        elif event == "member" and line.get("change") == "gone":
            self.deaths.append(ReportedDeath(at, gateway, line["member"]))
        elif event == "node_verdict_changed":
            verdict = ReportedVerdict(at, gateway, line["node"], line["new"])
            self.verdicts.append(verdict)


def json_lines(path: str) -> Iterator[dict[str, Any]]:
    """Yield the JSON events of a log; other lines, such as tracebacks, are skipped."""
    with open(path, encoding="utf-8", errors="replace") as source:
        for line in source:
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and "event" in event and "timestamp" in event:
                yield event


def read_gateway_logs(
    folder: str, names: Sequence[str], clock_offset: float
) -> GatewayLogs:
    """Read the log files of these processes; a missing file is skipped.

    Args:
        folder: The output folder of the run.
        names: The processes. If one runs several gateways, each line names its gateway.
        clock_offset: Wall-clock time minus monotonic time, in seconds.
    """
    logs = GatewayLogs()
    for name in names:
        path = f"{folder}/{name}.log"
        if not os.path.exists(path):
            continue
        for line in json_lines(path):
            timestamp = line["timestamp"].replace("Z", "+00:00")
            wall_time = datetime.fromisoformat(timestamp).timestamp()
            logs.add(line.get("gateway", name), wall_time - clock_offset, line)
    logs.verdicts.sort()
    return logs
