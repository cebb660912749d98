"""How long views, and what gateways call a node, took to agree after each fault.

A moment agrees when all gateways that run and can speak say the same; over a split
network each side by itself. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from milletsill.lab.fault_timeline import PARTITION_FAULTS, FaultTimeline
from milletsill.lab.gateway_logs import GatewayLogs, ReportedDeath, ReportedView
from milletsill.lab.record_entries import read_entries
from milletsill.settings.milletsill_pb2 import Scenario

DEATH_MAY_FOLLOW = 12.0
"""Seconds after a fault for which a member's being called gone may come of it."""
NODE_FAULTS = ("slow", "pauses", "neighbour", "vanish")
PARTING_FAULTS = (*PARTITION_FAULTS, "cut_one_way", "lossy")
HEALTHY = "steady"
TRAFFIC_COUNTS = ("packets", "octets", "stream_octets")


@dataclass(frozen=True, slots=True)
class ViewAgreement:
    """After how many seconds all views agreed, until the next mark at least."""

    name: str
    at: float
    took: float | None


def current_view(
    logs: GatewayLogs, timeline: FaultTimeline, gateway: str, at: float
) -> ReportedView | None:
    """Return a gateway's view; None where it has had none since it was back."""
    view = logs.last_view(gateway, at)
    if view is None or view.at < timeline.restarted_at(gateway, at):
        return None
    return view


def views_agree(
    logs: GatewayLogs, timeline: FaultTimeline, names: Sequence[str], at: float
) -> bool:
    """Return whether all who can speak to each other have one view, of just these."""
    for side in timeline.sides(names, at):
        views = [current_view(logs, timeline, name, at) for name in side]
        first = views[0]
        if first is None or first.members != len(side):
            return False
        if any(
            view is None or view.digest != first.digest or view.members != first.members
            for view in views
        ):
            return False
    return True


def view_agreements(
    logs: GatewayLogs, timeline: FaultTimeline, names: Sequence[str], end: float
) -> list[ViewAgreement]:
    """Return for each mark when views agreed after it, and went on to.

    Marks that lie in a cut one way are left out: nobody can say who is there.
    """
    changes = sorted(view.at for views in logs.views.values() for view in views)
    ends = [mark.at for mark in timeline.marks[1:]] + [end]
    found = []
    for mark, until in zip(timeline.marks, ends, strict=False):
        if any(
            span.kind == "cut_one_way" and span.since <= mark.at < span.until
            for span in timeline.network
        ):
            continue
        agreed_at: float | None = None
        for at in [mark.at, *(each for each in changes if mark.at < each < until)]:
            if not views_agree(logs, timeline, names, at):
                agreed_at = None
            elif agreed_at is None:
                agreed_at = at
        took = None if agreed_at is None else agreed_at - mark.at
        found.append(ViewAgreement(mark.name, mark.at, took))
    return found


def has_cause(death: ReportedDeath, timeline: FaultTimeline) -> bool:
    """Return whether either gateway was down or something lay between of late."""
    was_down = any(
        span.since <= death.at <= span.until + DEATH_MAY_FOLLOW
        for name in (death.member, death.gateway)
        for span in timeline.down.get(name, ())
    )
    return was_down or any(
        span.since <= death.at <= span.until + DEATH_MAY_FOLLOW
        for span in timeline.network
        if span.kind in PARTING_FAULTS
    )


def false_deaths(logs: GatewayLogs, timeline: FaultTimeline) -> list[str]:
    """Return members that were called gone without a cause, as lines of a report."""
    return [
        f"{death.at:.3f} {death.gateway} called {death.member} gone"
        for death in logs.deaths
        if not has_cause(death, timeline)
    ]


@dataclass(frozen=True, slots=True)
class VerdictSpread:
    """How many gateways saw a node's fault and its end, and after how many seconds.

    The seconds are those of nine in ten of all gateways; None where fewer did.
    """

    fault: str
    seen_by: int
    seen_after: float | None
    end_seen_by: int
    end_seen_after: float | None


def nine_in_ten(seconds: Sequence[float], count: int) -> float | None:
    """Return when nine in ten of `count` had done it; None where they had not."""
    needed = -(-9 * count // 10)
    return sorted(seconds)[needed - 1] if len(seconds) >= needed else None


def verdict_spread(
    logs: GatewayLogs, node: int, since: float, until: float
) -> tuple[dict[str, float], dict[str, float]]:
    """Return by gateway after how many seconds it saw a fault, and its end."""
    seen: dict[str, float] = {}
    end_seen: dict[str, float] = {}
    for verdict in logs.verdicts:
        if verdict.node != node:
            continue
        healthy = verdict.state == HEALTHY
        if since <= verdict.at < until and not healthy:
            seen.setdefault(verdict.gateway, verdict.at - since)
        elif verdict.at >= until and healthy and verdict.gateway in seen:
            end_seen.setdefault(verdict.gateway, verdict.at - until)
    return seen, end_seen


def verdict_spreads(
    logs: GatewayLogs, scenario: Scenario, start: float, gateway_count: int
) -> list[VerdictSpread]:
    """Return for each fault of a named node how gateways came to see it.

    A gateway saw it that called the node anything but steady while it lasted, and
    its end where it called the node steady again.
    """
    found = []
    for fault in scenario.trouble:
        if fault.what not in NODE_FAULTS:
            continue
        since = start + fault.at_s
        until = start + fault.at_s + fault.for_s
        for node in fault.on:
            seen, end_seen = verdict_spread(logs, node, since, until)
            found.append(
                VerdictSpread(
                    f"{fault.what} of box {node}",
                    len(seen),
                    nine_in_ten(list(seen.values()), gateway_count),
                    len(end_seen),
                    nine_in_ten(list(end_seen.values()), gateway_count),
                )
            )
    return found


def fleet_traffic(folder: str) -> dict[str, float]:
    """Return what a gateway sent to others through the relay, a second.

    The mean of all gateways over the relay's life; empty where its record has too
    little to tell.
    """
    totals = []
    for entry in read_entries(f"{folder}/relay.rec"):
        note = entry.note()
        if note.get("what") == "passed":
            totals.append((entry.at, note))
    if len(totals) < 2:
        return {}
    since, first = totals[0]
    until, last = totals[-1]
    return {
        name: sum(b - a for a, b in zip(first[name], last[name], strict=False))
        / len(last[name])
        / (until - since)
        for name in TRAFFIC_COUNTS
    }
