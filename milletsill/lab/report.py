"""Formats the report of a scenario run, and decides whether the run failed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from milletsill.lab.breaches import RULES, Breach
from milletsill.lab.lateness import LateMoment
from milletsill.lab.run_result import (
    ChannelsResult,
    FleetResult,
    LoadSummary,
    RunResult,
)

MAX_SHOWN = 3
MAX_LATENESS_MS = 60.0
"""Milliseconds by which clients may run late; beyond it latencies are invalid."""
TOO_LATE = ": ITS LATENCIES DO NOT COUNT"
OTHER_ENDS = ("lost", "unreached", "given up", "status")


def service(rows: Iterable[Mapping[str, Any]]) -> float:
    """Return the utility of answers in time divided by the utility that was due."""
    rows = list(rows)
    due: float = sum(row["due"] for row in rows)
    in_time: float = sum(row["in_time"] for row in rows)
    return in_time / due if due else 0.0


def listed(values: Mapping[str, object]) -> str:
    """Return names with their values, separated by commas."""
    return ", ".join(f"{name} {value}" for name, value in values.items())


def sorted_counts(counts: Mapping[str, int]) -> str:
    """Return counts sorted by name, separated by commas."""
    return listed(dict(sorted(counts.items())))


def quantiles(latencies: Mapping[str, float]) -> str:
    """Return latencies in milliseconds by quantile, separated by commas."""
    return ", ".join(f"p{quantile} {ms:.0f}" for quantile, ms in latencies.items())


def verdict(breaches: Sequence[Breach]) -> str:
    """Return "kept", or the number of breaches."""
    return f"{len(breaches)} BREACHES" if breaches else "kept"


def breach_lines(breaches: Sequence[Breach]) -> list[str]:
    """Return the lines that describe the first `MAX_SHOWN` breaches."""
    lines = []
    for breach in breaches[:MAX_SHOWN]:
        lines.append(f"  {breach.text}")
        lines += [f"    {packet}" for packet in breach.packets]
    return lines


def service_lines(module: str, load: LoadSummary) -> list[str]:
    """Return the service that clients got, in total and by request class and plan."""
    by_class = ", ".join(
        f"{name} {value:.3f}" for name, value in load["counted"].items() if name
    )
    lines = [
        f"module {module}: service {load['counted'].get('', 0):.3f} (utility in time / "
        "utility due, by reserve and share; simulated, stand-ins on loopback)",
        f"by category: {by_class}; without regard to reserve and share "
        f"{service(load['rows']):.3f}",
        f"{'category':<14}{'plan':<12}{'service':>8}{'satisfied':>10}{'declined':>9}"
        f"{'aborted':>8}{'other':>6}",
    ]
    for row in load["rows"]:
        other = sum(row.get(end, 0) for end in OTHER_ENDS)
        lines.append(
            f"{row['category']:<14}{row['plan']:<12}{service([row]):>8.3f}"
            f"{row.get('satisfied', 0):>10}{row.get('declined', 0):>9}"
            f"{row.get('aborted', 0):>8}{other:>6}"
        )
    for name in sorted({row["category"] for row in load["rows"]}):
        of_class = service(row for row in load["rows"] if row["category"] == name)
        latencies = quantiles(load["latency_ms"].get(name, {}))
        lines.append(f"{name}: service {of_class:.3f}, latency ms {latencies}")
    return lines


def laboratory_lines(result: RunResult) -> list[str]:
    """Return the work done, and how late the laboratory itself ran."""
    load = result.load
    too_late = TOO_LATE if load["worst_lag_ms"] > MAX_LATENESS_MS else ""
    lines = [
        f"{load['operations']} operations, {result.command_count} commands, "
        f"{result.attempt_count} attempts, {load['unended']} unfinished; the lab "
        f"itself was at most {load['worst_lag_ms']:.0f} ms late{too_late}"
    ]
    if load["late"]:
        worst = LateMoment(**load["late"][0])
        lines.append(worst.describe(len(load["late"])))
    if result.starved:
        lines.append(
            f"gateways had no processor core for {result.starved:.1f} s in total, in "
            "spans of 20 ms or more; the audit treats them as stopped there"
        )
    lines.append(f"counts: {sorted_counts(load['counts'])}")
    if result.planned:
        lines.append("the planner was in use")
    if result.flows:
        lines.append(f"flow export, counted and recorded: {listed(result.flows)}")
    lines.append(
        f"gateways' exit codes: {result.exits}; uncaught exceptions in the logs of: "
        f"{result.faults or 'none'}"
    )
    return lines


def rule_lines(breaches_by_rule: Mapping[int, Sequence[Breach]]) -> list[str]:
    """Return each rule's verdict and its first breaches."""
    lines = []
    for rule, breaches in breaches_by_rule.items():
        lines.append(f"rule {rule}, {RULES[rule]}: {verdict(breaches)}")
        lines += breach_lines(breaches)
    return lines


def contract_lines(result: ChannelsResult) -> list[str]:
    """Return each contract's verdict and figures."""
    lines = []
    for title, breaches in result.breaches.items():
        figures = result.figures.get(title)
        counts = listed(figures.by_title()) if figures is not None else ""
        lines.append(f"contract {title}: {verdict(breaches)}; {counts}")
        lines += breach_lines(breaches)
    summary = result.summary
    lines.append(
        f"channels: {summary['connections']} connections, {summary['unended']} numbers "
        f"unfinished; their process was at most {summary['worst_lag_ms']:.0f} ms "
        f"late; {sorted_counts(summary['counts'])}"
    )
    for name, latencies in summary["latency_ms"].items():
        lines.append(f"contract {name}: ms from made to settled {quantiles(latencies)}")
    return lines


def ninth_decile_text(seconds: float | None) -> str:
    """Return the seconds until nine in ten gateways had acted; empty for None."""
    return "" if seconds is None else f", nine in ten after {seconds:.2f} s"


def view_lines(fleet: FleetResult) -> list[str]:
    """Return how long gateways' views took to agree after each fault."""
    lines = [
        "seconds until all gateways that can reach each other had the same view, "
        "and kept it:"
    ]
    for view in fleet.agreements:
        took = "not before the next" if view.took is None else f"{view.took:.2f}"
        lines.append(f"  {view.at - fleet.start:7.1f} {view.name}: {took}")
    lines.append(
        f"views at the end: {'the same' if fleet.views_agree else 'NOT THE SAME'}; "
        f"live gateways declared gone: {len(fleet.false_deaths)}"
    )
    lines += [f"  {death}" for death in fleet.false_deaths[:MAX_SHOWN]]
    lines += [
        f"{spread.fault}: detected by {spread.seen_by} gateways"
        f"{ninth_decile_text(spread.seen_after)}; its end by {spread.end_seen_by}"
        f"{ninth_decile_text(spread.end_seen_after)}"
        for spread in fleet.spreads
    ]
    traffic = ", ".join(
        f"{name.replace('_', ' ')} {count:.0f}" for name, count in fleet.traffic.items()
    )
    return [*lines, f"sent by each gateway to others, per second: {traffic}"]


def report(result: RunResult) -> str:
    """Return the report of a run."""
    lines = service_lines(result.module, result.load)
    lines += laboratory_lines(result)
    lines += rule_lines(result.breaches)
    if result.channels is not None:
        lines += contract_lines(result.channels)
    if result.fleet is not None:
        lines += view_lines(result.fleet)
    return "\n".join(lines)


def broken(result: RunResult) -> bool:
    """Return whether a run failed.

    A run fails if a rule or contract was broken, wrong bytes were read, an operation or
    a number on a channel never ended, a process failed, or views differed at the end.
    """
    breaches = list(result.breaches.values())
    unended = result.load["unended"]
    if result.channels is not None:
        breaches += result.channels.breaches.values()
        unended += result.channels.summary["unended"]
    if any(breaches) or unended or result.faults or any(result.exits):
        return True
    if result.load["counts"].get("reads with wrong bytes", 0):
        return True
    return result.fleet is not None and not result.fleet.views_agree
