"""Checks a gateway's file: each part by itself, and the parts against each other.

The checks do no I/O. Each one gets a message and the report on it, and adds a flaw for
each invalid field. A file is rejected here before the gateway accepts any request.
"""

from __future__ import annotations

from milletsill.settings.channels import check_channels
from milletsill.settings.exports import check_flows, check_trace
from milletsill.settings.field_checks import (
    check_address,
    check_choice,
    check_present_addresses,
    check_program_name,
)
from milletsill.settings.flaws import MessageReport
from milletsill.settings.fleet import check_fleet
from milletsill.settings.health import check_health
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.settings.planner_file import check_planner_link
from milletsill.settings.ranges import check_gateway_ranges
from milletsill.settings.request_classes import check_categories, check_plans
from milletsill.settings.scheduler_rules import check_rules
from milletsill.settings.volumes import check_routes, check_volumes

LOG_LEVELS = ("debug", "info", "warning", "error")
REPORT_FIELDS = ("inflight", "queue", "busy", "service_ms")
MAX_GATEWAYS = 100_000


def check_gateway(file: GatewayFile, report: MessageReport) -> None:
    """Check everything in a gateway's file.

    The flaws are in the order of the checks, and only the first MAX_FLAWS are kept.
    """
    check_gateway_ranges(file, report)
    _check_identity(file, report)
    _check_logging(file, report)
    check_flows(file, report)
    check_trace(file, report)
    check_planner_link(file, report)
    check_fleet(file, report)
    check_plans(file, report)
    check_categories(file, report)
    check_volumes(file, report)
    check_routes(file, report)
    check_rules(file, report)
    check_channels(file, report)
    check_health(file, report)


def _check_identity(file: GatewayFile, report: MessageReport) -> None:
    """Check the gateway's name, its addresses, its zone and the fleet size."""
    check_program_name(file.name, report)
    if not 1 <= file.gateways <= MAX_GATEWAYS:
        report.add(
            f"gateways {file.gateways} is not from 1 to {MAX_GATEWAYS}", "gateways"
        )
    check_present_addresses(file, ("listen", "metrics"), report)
    check_address(file.registry.address, report.nested("registry"), "address")
    if file.zones and file.zone >= len(file.zones):
        report.add(
            f"zone {file.zone} is not an index of {len(file.zones)} zones", "zone"
        )


def _check_logging(file: GatewayFile, report: MessageReport) -> None:
    """Check the log level and the names of the fields in node load reports."""
    check_choice(file.logging, "level", LOG_LEVELS, report.nested("logging"))
    reports_report = report.nested("reports")
    for index, field_name in enumerate(file.reports.field):
        if field_name not in REPORT_FIELDS:
            reports_report.add(
                f"report field {field_name!r} is not one of {', '.join(REPORT_FIELDS)}",
                "field",
                index,
            )
