"""What a run prints, and whether it was broken."""

from __future__ import annotations

from typing import Any

from milletsill.lab.breaches import RULES
from milletsill.lab.lateness import LateMoment

MOST_SHOWN, MOST_LATE = 3, 60.0  # milliseconds
LATE = ": ITS LATENCIES DO NOT COUNT"


def service(rows: list[dict[str, Any]]) -> float:
    """Utility in time over utility due."""
    due = sum(each["due"] for each in rows)
    return sum(each["in_time"] for each in rows) / due if due else 0.0


def report(result: dict[str, Any]) -> str:
    """The text that a run prints."""
    lines = [
        f"module {result['module']}: service {result['counted'].get('', 0):.3f} (utility in time / utility due, by "
        "reserve and share; simulated, stand-ins on loopback)",
        "by category: "
        + ", ".join(
            f"{name} {value:.3f}" for name, value in result["counted"].items() if name
        )
        + f"; without regard to reserve and share {service(result['rows']):.3f}",
        f"{'category':<14}{'plan':<12}{'service':>8}{'satisfied':>10}{'declined':>9}{'aborted':>8}{'other':>6}",
    ]
    for row in result["rows"]:
        other = sum(
            row.get(each, 0) for each in ("lost", "unreached", "given up", "status")
        )
        lines.append(
            f"{row['category']:<14}{row['plan']:<12}{service([row]):>8.3f}{row.get('satisfied', 0):>10}"
            f"{row.get('declined', 0):>9}{row.get('aborted', 0):>8}{other:>6}"
        )
    for name in sorted({each["category"] for each in result["rows"]}):
        lines.append(
            f"{name}: service {service([r for r in result['rows'] if r['category'] == name]):.3f}, latency ms "
            + ", ".join(
                f"p{q} {ms:.0f}" for q, ms in result["latency_ms"].get(name, {}).items()
            )
        )
    lines.append(
        f"{result['operations']} operations, {result['commands']} commands, {result['dispatches']} "
        f"dispatches, {result['unended']} without an end; the lab itself was at most "
        f"{result['worst_lag_ms']:.0f} ms late{LATE if result['worst_lag_ms'] > MOST_LATE else ''}"
    )
    if result["late"]:
        worst = LateMoment(**result["late"][0])
        lines.append(worst.describe(len(result["late"])))
    if result["starved"]:
        lines.append(
            f"the machine gave edges no core for {result['starved']:.1f} s in all, in spans from 20 ms: there they are "
            "audited as if stopped"
        )
    lines.append(
        "counts: "
        + ", ".join(
            f"{name} {count}" for name, count in sorted(result["counts"].items())
        )
    )
    if result["planner"]:
        lines.append("parts were planned")
    if result["flows"]:
        lines.append(
            "flow export, counted against recorded: "
            + ", ".join(f"{k} {v}" for k, v in result["flows"].items())
        )
    lines.append(
        f"edges ended with {result['exits']}; faults in the logs of {result['faults'] or 'none'}"
    )
    for rule, found in result["breaches"].items():
        lines.append(
            f"rule {rule}, {RULES[rule]}: {'kept' if not found else f'{len(found)} BREACHES'}"
        )
        for breach in found[:MOST_SHOWN]:
            lines += [f"  {breach.text}"] + [f"    {each}" for each in breach.packets]
    return "\n".join(lines + of_contracts(result) + of_views(result))


def of_contracts(result: dict[str, Any]) -> list[str]:
    """Each contract's verdict and figures; none where the day had no channels."""
    lines = []
    for name, found in result.get("contracts", {}).items():
        told = result["contract_figures"].get(name, {})
        lines.append(
            f"contract {name}: {'kept' if not found else f'{len(found)} BREACHES'}; "
            + ", ".join(f"{what} {count}" for what, count in told.items())
        )
        for breach in found[:MOST_SHOWN]:
            lines += [f"  {breach.text}"] + [f"    {each}" for each in breach.packets]
    if "channels" in result:
        told = result["channels"]
        lines.append(
            f"channels: {told['connections']} connections, {told['unended']} numbers without an end; "
            f"that process was at most {told['worst_lag_ms']:.0f} ms late; "
            + ", ".join(
                f"{name} {count}" for name, count in sorted(told["counts"].items())
            )
        )
        for name, row in told["latency_ms"].items():
            lines.append(
                f"contract {name}: ms from made to settled "
                + ", ".join(f"p{q} {ms:.0f}" for q, ms in row.items())
            )
    return lines


def broken(result: dict[str, Any]) -> bool:
    """Whether a rule or contract was broken, wrong bytes read, something left without an end, or views differed at the end."""
    breaches = [*result["breaches"].values(), *result.get("contracts", {}).values()]
    unended = result["unended"] + result.get("channels", {}).get("unended", 0)
    wrong = result["counts"].get("reads with wrong bytes", 0)
    return (
        any(breaches)
        or not result.get("views_agree", True)
        or any((unended, wrong, result["faults"], *result["exits"]))
    )


def after(seconds: float | None) -> str:
    return "" if seconds is None else f", nine in ten after {seconds:.2f} s"


def of_views(result: dict[str, Any]) -> list[str]:
    """How long views took to agree after each fault; none where the day had no fleet."""
    if "views" not in result:
        return []
    lines = [
        "seconds until all gateways that can speak to each other had the same view, and kept it:"
    ]
    lines += [
        f"  {view.at - result['start']:7.1f} {view.name}: "
        + ("not before the next" if view.took is None else f"{view.took:.2f}")
        for view in result["views"]
    ]
    lines.append(
        f"views at the end: {'the same' if result['views_agree'] else 'NOT THE SAME'}; called gone without a cause: "
        f"{len(result['false_deaths'])}"
    )
    lines += [f"  {each}" for each in result["false_deaths"][:MOST_SHOWN]]
    lines += [
        f"{spread.fault}: called so by {spread.seen_by} gateways"
        f"{after(spread.seen_after)}; called steady again by {spread.end_seen_by}"
        f"{after(spread.end_seen_after)}"
        for spread in result["verdicts"]
    ]
    return lines + [
        "said by each gateway to others, a second: "
        + ", ".join(
            f"{name.replace('_', ' ')} {count:.0f}"
            for name, count in result["traffic"].items()
        )
    ]
