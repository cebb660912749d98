"""Checks what a gateway's file says of health that gateways share."""

from __future__ import annotations

from milletsill.settings.field_checks import FieldRange, check_ranges
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import GatewayFile

HEALTH_RANGES = (
    FieldRange("publish_ms", 50, 10_000),
    FieldRange("lasts_s", 0.5, 600),
    FieldRange("most_part", 0.01, 0.5),
)
CALM_PERIODS = 4  # a gateway with nothing new reports once in so many periods


def check_health(file: GatewayFile, report: MessageReport) -> None:
    """Check `fleet { health }`; nothing where it is absent."""
    if not file.HasField("fleet") or not file.fleet.HasField("health"):
        return
    health = file.fleet.health
    health_report = report.nested("fleet").nested("health")
    check_ranges(health, HEALTH_RANGES, health_report)
    calm_period_ms = CALM_PERIODS * health.publish_ms
    if health.lasts_s * 1000 < calm_period_ms:
        health_report.add(
            f"rows last {health.lasts_s:g} s and come every {calm_period_ms:g} ms "
            "from a calm gateway: they would be gone before they are renewed",
            "lasts_s",
        )
