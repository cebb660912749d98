"""What an operator's file may say of health that is shared."""

from __future__ import annotations

from typing import Any

from milletsill.settings.channels import check_figures
from milletsill.settings.load import Report

SHARING = (("publish_ms", 50, 10_000), ("lasts_s", 0.5, 600), ("most_part", 0.01, 0.5))
CALM = 4  # rows of a calm gateway come so many periods apart


def check_health(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """Everything about `fleet { health }`; nothing where it is absent."""
    if not file.HasField("fleet") or not file.fleet.HasField("health"):
        return
    health, here = file.fleet.health, under + ("fleet", "health")
    check_figures(health, SHARING, here, report)
    if health.lasts_s * 1000 < CALM * health.publish_ms:
        report.add(
            here + ("lasts_s",),
            f"rows last {health.lasts_s:g} s and come every {CALM * health.publish_ms:g} ms from a "
            "calm gateway: they would be gone before they are renewed",
        )
