"""Checks the settings of node health sharing in a gateway's file."""

from __future__ import annotations

from milletsill.settings.field_checks import FieldRange, check_ranges
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import GatewayFile

HEALTH_RANGES = (
    FieldRange("publish_ms", 50, 10_000),
    FieldRange("lasts_s", 0.5, 600),
    FieldRange("most_part", 0.01, 0.5),
)
UNCHANGED_PERIODS = 4  # publish periods between two reports without a change


def check_health(file: GatewayFile, report: MessageReport) -> None:
    """Check `fleet { health }`, if the file has it."""
    if not file.HasField("fleet") or not file.fleet.HasField("health"):
        return
    health = file.fleet.health
    health_report = report.nested("fleet").nested("health")
    check_ranges(health, HEALTH_RANGES, health_report)
    unchanged_period_ms = UNCHANGED_PERIODS * health.publish_ms
    if health.lasts_s * 1000 < unchanged_period_ms:
        health_report.add(
            f"lasts_s {health.lasts_s:g} is under {unchanged_period_ms:g} ms, the "
            "report period of a gateway without changes: its reports would expire "
            "before they are renewed",
            "lasts_s",
        )
