"""Measures how long gateways took to agree after each fault.

The module covers membership views and health states of nodes, both read from the
gateways' logs. Views agree at a moment when all running gateways that can reach each
other report the same view; on a partitioned network, each side is compared by itself.
Times are seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from milletsill.lab.fault_timeline import PARTITIONS, FaultTimeline
from milletsill.lab.gateway_logs import GatewayLogs, ReportedDeath, ReportedView
from milletsill.lab.record_entries import read_entries
from milletsill.settings.milletsill_pb2 import Scenario

MAX_DEATH_DELAY = 12.0
"""Seconds after a fault's end for which the fault may explain a reported death."""
NODE_FAULTS = ("slow", "pauses", "neighbour", "vanish")
LINK_FAULTS = (*PARTITIONS, "cut_one_way", "lossy")
HEALTHY = "steady"
TRAFFIC_COUNTS = ("packets", "octets", "stream_octets")


@dataclass(frozen=True, slots=True)
class ViewAgreement:
    """After how many seconds all views agreed, and stayed so until the next mark.

    `took` is None where they did not.
    """

    name: str
    at: float
    took: float | None


def current_view(
    logs: GatewayLogs, timeline: FaultTimeline, gateway: str, at: float
) -> ReportedView | None:
    """Return a gateway's view; None where it reported none since its last restart."""
    view = logs.last_view(gateway, at)
    if view is None or view.at < timeline.restarted_at(gateway, at):
        return None
    return view


def views_agree(
    logs: GatewayLogs, timeline: FaultTimeline, names: Sequence[str], at: float
) -> bool:
    """Return whether gateways that reach each other have one view, of just them."""
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
    """Return, for each mark of the timeline, how long the views took to agree.

    The views have to agree until the next mark. Marks during a one-way cut are left
    out, because the set of reachable members is undefined there.
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
    """Return whether a recent fault of either gateway or the network explains it."""
    was_down = any(
        span.since <= death.at <= span.until + MAX_DEATH_DELAY
        for name in (death.member, death.gateway)
        for span in timeline.down.get(name, ())
    )
    return was_down or any(
        span.since <= death.at <= span.until + MAX_DEATH_DELAY
        for span in timeline.network
        if span.kind in LINK_FAULTS
    )


def false_deaths(logs: GatewayLogs, timeline: FaultTimeline) -> list[str]:
    """Return the reported deaths that no fault explains, as lines of a report."""
    return [
        f"{death.at:.3f} {death.gateway} reported {death.member} dead"
        for death in logs.deaths
        if not has_cause(death, timeline)
    ]


@dataclass(frozen=True, slots=True)
class VerdictSpread:
    """How many gateways detected a node's fault and its end, and how fast.

    Each time is the number of seconds until nine in ten of all gateways had detected
    it, or None where fewer did.
    """

    fault: str
    seen_by: int
    seen_after: float | None
    end_seen_by: int
    end_seen_after: float | None


def nine_in_ten(seconds: Sequence[float], count: int) -> float | None:
    """Return the time by which nine in ten of `count` were done, None if fewer are.

    `seconds` holds one time for each that is done.
    """
    needed = -(-9 * count // 10)
    return sorted(seconds)[needed - 1] if len(seconds) >= needed else None


def verdict_spread(
    logs: GatewayLogs, node: int, since: float, until: float
) -> tuple[dict[str, float], dict[str, float]]:
    """Return, by gateway, the seconds until it detected a fault, and the end of it."""
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
    """Return, for each fault of a named node, how fast the gateways detected it.

    A gateway detects a fault when it logs another state than healthy for the node while
    the fault lasts, and detects the end when it logs the node as healthy again.
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
                    f"{fault.what} of node {node}",
                    len(seen),
                    nine_in_ten(list(seen.values()), gateway_count),
                    len(end_seen),
                    nine_in_ten(list(end_seen.values()), gateway_count),
                )
            )
    return found


def fleet_traffic(folder: str) -> dict[str, float]:
    """Return a gateway's mean rate of traffic through the relay, per second.

    The mean is over all gateways and the time between the relay's first and last
    totals; the result is empty where its record has fewer than two of them.
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
