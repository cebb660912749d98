"""Formats a service report as text or as a plot."""

from __future__ import annotations

from typing import Any

ANSWERS = ("satisfied", "declined", "aborted")


def format_report(report: dict[str, Any]) -> str:
    """Return a report as text with one line for each window and reason."""
    lines = [
        format_totals(report),
        f"{'from s':>10}{'service':>9}{'satisfied':>10}{'declined':>9}{'aborted':>8}"
        "  p50/p99 ms",
    ]
    lines += [format_window(window) for window in report["windows"]]
    lines += [
        f"{each['count']:>10}  {each['category']} {each['final']}: "
        f"{each['why'] or 'no reason kept'}"
        for each in report["not satisfied"]
    ]
    return "\n".join(lines)


def format_totals(report: dict[str, Any]) -> str:
    """Return the line for the whole trace."""
    by_reserve = ""
    if report["service"]:
        by_reserve = f"{report['service'].get('', 0):.3f} by reserve and share, "
    return (
        f"{report['file']}: {report['commands']} commands; service {by_reserve}"
        f"{report['service without reserves']:.3f} without regard to them"
    )


def format_window(window: dict[str, Any]) -> str:
    """Return the line for one time window."""
    latencies = ", ".join(
        f"{name} {each['p50']:g}/{each['p99']:g}" for name, each in window["ms"].items()
    )
    service = "-" if window["service"] is None else f"{window['service']:.3f}"
    return (
        f"{window['from_s']:>10.0f}{service:>9}{window.get('satisfied', 0):>10}"
        f"{window.get('declined', 0):>9}{window.get('aborted', 0):>8}  {latencies}"
    )


def plot_report(report: dict[str, Any], path: str) -> None:
    """Plot service, answers and 99th percentiles over time into an image file.

    matplotlib is imported only when this function is called.

    Raises:
        OSError: if the image cannot be written.
        ValueError: if the path's suffix names no image format.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    windows = report["windows"]
    times = [each["from_s"] for each in windows]
    figure, (upper, middle, lower) = pyplot.subplots(3, 1, sharex=True, figsize=(9, 8))
    upper.plot(times, [each["service"] for each in windows], drawstyle="steps-post")
    upper.set_ylabel("service")
    upper.set_ylim(0, 1.05)
    for answer in ANSWERS:
        counts = [each.get(answer, 0) for each in windows]
        middle.plot(times, counts, label=answer, drawstyle="steps-post")
    middle.set_ylabel("commands")
    middle.legend()
    for name in sorted({name for each in windows for name in each["ms"]}):
        latencies = [each["ms"].get(name, {}).get("p99") for each in windows]
        lower.plot(times, latencies, label=name, drawstyle="steps-post")
    lower.set_ylabel("p99 ms")
    lower.set_xlabel("s")
    lower.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
