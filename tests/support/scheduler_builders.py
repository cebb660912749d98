"""What the tests share: facts, a port that notes what it is told, and short ways to build state."""

from __future__ import annotations

from typing import Any

from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    Readiness,
    Request,
)
from milletsill.scheduler import Scheduler
from milletsill.scheduler.records import Node, Transfer

BASE: dict[str, Any] = {
    "gateways": 2,
    "index": 0,
    "tick": 20,
    "plans": [
        {
            "usual_rate": 10.0,
            "reserve_rate": 10.0,
            "weight": 1.0,
            "price": 1.0,
            "limit_rate": 0.0,
            "limit_store": 0.0,
            "limit_slack": 0.0,
        }
    ],
    "share_utility": 0.3,
    "unit_mean": 2.0,
    "largest_units": 8,
    "cold_units": 20.0,
    "may_cancel": True,
    "may_copy": True,
    "most_dispatches": 3,
    "pause_told": True,
    "longest_pause": 5000,
    "list_on_request": True,
    "ask_within": 100_000,
    "cold_from": 0.25,
    "cold_multiple": 2.0,
    "warm_after": 100_000,
    "cold_window": 10_000,
    "further_free": 0,
    "further_ratio": 0.0,
    "further_window": None,
    "key_rest": 3000,
    "sized": True,
    "cross_fee": 0.0,
    "zone": 0,
    "dial": 0,
}
CATEGORY: dict[str, Any] = {
    "target_time": 3000,
    "stretch": 0.0,
    "patience": 15_000,
    "utility": 1.0,
    "late_utility": 0.1,
    "repeats": "rerunnable",
    "group": "all",
    "repeat_window": 20_000,
    "in_order": False,
}


class Noted:
    """A Port that keeps every action in order."""

    def __init__(self) -> None:
        self.said: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *values: self.said.append((name, *values))

    def of(self, name: str) -> list[tuple[Any, ...]]:
        return [said[1:] for said in self.said if said[0] == name]


def scheduler(
    category: dict[str, Any] | None = None,
    plan: dict[str, Any] | None = None,
    **facts: Any,
) -> tuple[Scheduler, Noted]:
    port = Noted()
    plans = [{**BASE["plans"][0], **(plan or {})}]
    given = {
        **BASE,
        "categories": [{**CATEGORY, **(category or {})}],
        **facts,
        "plans": plans,
    }
    return Scheduler(given, 1, 0, port), port  # type: ignore[arg-type]


def line(
    node: int,
    cell: int = 0,
    since: int | None = None,
    zone: int = 0,
    readiness: Readiness = Readiness.READY,
) -> Endpoint:
    return Endpoint(node, readiness, 1.0, 0, zone, since, cell)


def node(of: Scheduler, number: int = 7, **entry: Any) -> Node:
    made = of.nodes[number] = Node(line(number, **entry), 2.0)
    of.cells.setdefault(made.cell, []).append(made)
    of.clear = 200.0
    of.serving.append(made)
    made.latency, made.pace, made.best, made.window = 400.0, 200.0, 200.0, 1.0
    return made


def arrival(
    number: int,
    extent: int = 0,
    volume: int = 1,
    cell: int | None = 0,
    units: float = 2.0,
    ends: int = 15_000,
    repeat: bool = False,
) -> Request:
    return Request(number, extent, volume, 1, 0, 0, repeat, False, cell, units, ends)


def transfer(of: Scheduler, number: int, now: int = 0, **given: Any) -> Transfer:
    """A transfer that was taken and has no node yet."""
    of.on_request(now, arrival(number, **given))
    return of.transfers[number]


def answer(
    number: int,
    outcome: AttemptOutcome,
    go: int = 0,
    over: bool = False,
    latency: int = 400,
) -> AttemptResult:
    return AttemptResult(number, go, 7, outcome, over, latency, None, 0, {})
