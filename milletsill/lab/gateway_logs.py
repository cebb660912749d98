"""Reads what gateways' own logs say of the fleet's views and of nodes.

Read are their JSON lines: `view` with a digest, `member` with a change,
`node_verdict_changed`. Wall time becomes the run's monotonic time, in seconds.
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
    """A view's digest and its number of members."""

    at: float
    digest: str
    members: int


@dataclass(frozen=True, slots=True)
class ReportedDeath:
    """A member that a gateway called gone."""

    at: float
    gateway: str
    member: str


@dataclass(frozen=True, slots=True, order=True)
class ReportedVerdict:
    """What a gateway began to call a node."""

    at: float
    gateway: str
    node: int
    state: str


@dataclass(slots=True)
class GatewayLogs:
    """What gateways said in their logs; views by gateway, all in the order of time."""

    views: dict[str, list[ReportedView]] = field(
        default_factory=lambda: defaultdict(list)
    )
    deaths: list[ReportedDeath] = field(default_factory=list)
    verdicts: list[ReportedVerdict] = field(default_factory=list)

    def first_view_at(self, gateway: str, at: float) -> float:
        """Return when a gateway that was started again had its first view.

        What Python takes to start is no matter of views. The given time where the
        gateway has had no view since.
        """
        views = self.views.get(gateway, ())
        return next((view.at for view in views if view.at >= at), at)

    def last_view(self, gateway: str, at: float) -> ReportedView | None:
        """Return the view that a gateway reported last by then."""
        views = self.views.get(gateway, [])
        place = bisect_right(views, at, key=lambda view: view.at) - 1
        return views[place] if place >= 0 else None

    def add(self, gateway: str, at: float, line: dict[str, Any]) -> None:
        """Add one line of a log."""
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
    """Yield the lines of a log that are JSON; the rest is for people."""
    with open(path, encoding="utf-8", errors="replace") as source:
        for line in source:
            try:
                made = json.loads(line)
            except ValueError:
                continue
            if isinstance(made, dict) and "event" in made and "timestamp" in made:
                yield made


def read_gateway_logs(
    folder: str, names: Sequence[str], clock_offset: float
) -> GatewayLogs:
    """Read the logs of these processes, where there are any.

    Args:
        folder: Where the run left its files.
        names: The processes; one of several gateways names them in its lines.
        clock_offset: Wall time less monotonic time, in seconds.
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
