"""Checks a planner's file, and the settings of the planner in a gateway's file."""

from __future__ import annotations

from milletsill.settings.field_checks import (
    FieldRange,
    check_address,
    check_present_addresses,
    check_program_name,
    check_ranges,
)
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import GatewayFile, Lending, PlannerFile

LENDING_RANGES = (
    FieldRange("longest_s", 1, 60),
    FieldRange("drift_permille", 0, 100),
    FieldRange("floor", 0.01, 0.9),
)
PLANNER_RANGES = (
    FieldRange("most_edges", 1, 100_000),
    FieldRange("most_things", 1, 10_000_000),
    FieldRange("silent_s", 1, 600),
)
QUOTAS_PER_VOLUME = 2
OTHER_QUOTAS = 64  # quotas of a gateway besides those of its volumes
REQUESTS_PER_LOAN = 3  # quota requests that must fit into the longest loan


def check_planner(file: PlannerFile, report: MessageReport) -> None:
    """Check everything in a planner's file."""
    check_program_name(file.name, report)
    check_present_addresses(file, ("listen", "metrics"), report)
    if not file.state_dir:
        report.add("state_dir is empty", "state_dir")
    check_lending(file.lending, report.nested("lending"))
    check_ranges(file, PLANNER_RANGES, report)


def check_lending(lending: Lending, report: MessageReport) -> None:
    """Check the settings of loans: a loan outlasts a quota request and its answer."""
    check_ranges(lending, LENDING_RANGES, report)


def check_planner_link(file: GatewayFile, report: MessageReport) -> None:
    """Check `planner` of a gateway's file, if the file has it."""
    if not file.HasField("planner"):
        return
    planner = file.planner
    planner_report = report.nested("planner")
    check_address(planner.address, planner_report, "address")
    check_lending(planner.lending, planner_report.nested("lending"))
    quotas = QUOTAS_PER_VOLUME * len(file.volume) + OTHER_QUOTAS
    if planner.most_things < quotas:
        planner_report.add(
            f"most_things {planner.most_things} is under {quotas}, the quotas of "
            f"{len(file.volume)} volumes and {OTHER_QUOTAS} others",
            "most_things",
        )
    if planner.ask_s * REQUESTS_PER_LOAN > planner.lending.longest_s:
        planner_report.add(
            f"ask_s {planner.ask_s:g}: {REQUESTS_PER_LOAN} quota requests do not fit "
            f"into a loan of longest_s {planner.lending.longest_s:g}",
            "ask_s",
        )
