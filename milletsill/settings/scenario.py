"""Checks a scenario: the traffic and faults that the laboratory runs on gateways."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from milletsill.settings.field_checks import (
    FieldRange,
    check_choice,
    check_ranges,
    check_unique_names,
)
from milletsill.settings.flaws import MessageReport
from milletsill.settings.gateway_file import check_gateway
from milletsill.settings.milletsill_pb2 import Scenario, Trouble

FAULTS = (
    "vanish",
    "slow",
    "pauses",
    "neighbour",
    "report_late",
    "burst",
    "tenant_burst",
    "hot_key",
    "scan",
    "reconnect",
    "balancer_crash",
    "balancer_roll",
    "balancer_stall",
    "retry_abuse",
    "give_up",
    "drain",
    "replace",
    "registry_away",
    "cut",
    "planner_crash",
    "planner_stall",
    "planner_old",
    "balancer_leave",
    "balancer_lost",
    "balancer_old",
    "balancer_full",
    "split",
    "isolate",
    "cut_one_way",
    "lossy",
    "slow_network",
    "reset_network",
)
NETWORK_FAULTS = (
    "split",
    "isolate",
    "cut_one_way",
    "lossy",
    "slow_network",
    "reset_network",
)
TRAFFIC_OPERATIONS = ("read", "write", "list", "look", "new")
MAX_GATEWAYS = 400
MAX_FLEET_GATEWAYS = 250  # each gateway of a fleet has its own loopback address
MAX_NODES = 400
MAX_SECONDS = 7200
CHANNEL_TRAFFIC_RANGES = (
    FieldRange("channels", 1, 1000),
    FieldRange("per_s", 0.01, 1000),
    FieldRange("window", 1, 1000),
    FieldRange("batch", 1, 1000),
    FieldRange("reconnect_s", 0.1, 3600),
    FieldRange("elsewhere", 0, 1),
    FieldRange("extents", 1, 1000),
    FieldRange("patience_ms", 10, 600_000),
)


class PlannedMessage(Protocol):
    """A message that may apply to the volumes of a single service plan."""

    @property
    def plan(self) -> str:
        """Return the name of the plan; empty for the volumes of all plans."""


def check_scenario(file: Scenario, report: MessageReport) -> None:
    """Check everything in a scenario."""
    check_gateway(file.gateway, report.nested("gateway"))
    node_count = sum(box.count for box in file.box)
    _check_sizes(file, node_count, report)
    _check_nodes(file, node_count, report)
    _check_traffic(file, report)
    _check_surges(file, report)
    plans = {plan.name for plan in file.gateway.plan}
    _check_plans_exist(file.traffic, "traffic", plans, report)
    _check_plans_exist(file.surge, "surge", plans, report)
    _check_plans_exist(file.trouble, "trouble", plans, report)
    _check_channel_traffic(file, report)
    has_fleet = file.gateway.HasField("fleet")
    for index, fault in enumerate(file.trouble):
        _check_fault(fault, has_fleet, report.nested("trouble", index))


def _check_sizes(file: Scenario, node_count: int, report: MessageReport) -> None:
    """Check that the scenario is not too large for one machine."""
    for field_name, value, maximum in (
        ("edges", file.edges, MAX_GATEWAYS),
        ("box", node_count, MAX_NODES),
        ("seconds", file.seconds, MAX_SECONDS),
    ):
        if not 1 <= value <= maximum:
            report.add(f"{field_name} {value:g} is not from 1 to {maximum}", field_name)
    if file.gateway.HasField("fleet") and file.edges > MAX_FLEET_GATEWAYS:
        report.add(
            f"edges {file.edges} is over {MAX_FLEET_GATEWAYS}, the limit with a fleet",
            "edges",
        )


def _check_nodes(file: Scenario, node_count: int, report: MessageReport) -> None:
    """Check that the kind of each node and the node of each shard are defined."""
    kinds = check_unique_names(file.kind, "kind", report)
    for index, box in enumerate(file.box):
        if box.kind not in kinds:
            report.nested("box", index).add(f"kind {box.kind!r} is not defined", "kind")
    gateway_report = report.nested("gateway")
    for index, volume in enumerate(file.gateway.volume):
        if any(shard >= node_count for shard in volume.cell):
            gateway_report.nested("volume", index).add(
                f"volume {volume.name!r} has a cell (shard) without a box (node); the "
                f"scenario has {node_count}",
                "cell",
            )


def _check_traffic(file: Scenario, report: MessageReport) -> None:
    """Check the request class and operation of each kind of traffic."""
    categories = {category.name for category in file.gateway.category}
    for index, traffic in enumerate(file.traffic):
        traffic_report = report.nested("traffic", index)
        if traffic.category not in categories:
            traffic_report.add(
                f"category {traffic.category!r} is not defined", "category"
            )
        check_choice(traffic, "operation", TRAFFIC_OPERATIONS, traffic_report)


def _check_surges(file: Scenario, report: MessageReport) -> None:
    """Check that each surge refers to volumes that exist."""
    volume_count = len(file.gateway.volume)
    for index, surge in enumerate(file.surge):
        if any(number >= volume_count for number in surge.on):
            report.nested("surge", index).add(
                f"a number is not under {volume_count}, the count of volumes", "on"
            )


def _check_plans_exist(
    messages: Iterable[PlannedMessage],
    field_name: str,
    plans: set[str],
    report: MessageReport,
) -> None:
    """Check that the plans that the messages of a repeated field name exist."""
    for index, message in enumerate(messages):
        if message.plan and message.plan not in plans:
            report.nested(field_name, index).add(
                f"plan {message.plan!r} is not defined", "plan"
            )


def _check_channel_traffic(file: Scenario, report: MessageReport) -> None:
    """Check the traffic on channels: its contracts, volumes and numbers."""
    contracts = {contract.name for contract in file.gateway.fleet.channels.contract}
    volumes = {volume.name for volume in file.gateway.volume}
    for index, traffic in enumerate(file.channels):
        traffic_report = report.nested("channels", index)
        if traffic.contract not in contracts:
            traffic_report.add(
                f"contract {traffic.contract!r} is not in gateway.fleet.channels",
                "contract",
            )
        if traffic.volume not in volumes:
            traffic_report.add(f"volume {traffic.volume!r} is not defined", "volume")
        check_ranges(traffic, CHANNEL_TRAFFIC_RANGES, traffic_report)


def _check_fault(fault: Trouble, has_fleet: bool, report: MessageReport) -> None:
    """Check one fault of the scenario (setting `trouble`)."""
    if fault.what not in FAULTS:
        report.add(f"{fault.what!r} is not one of {', '.join(FAULTS)}", "what")
    if fault.what in NETWORK_FAULTS and not has_fleet:
        report.add(f"network fault {fault.what!r} needs gateway.fleet", "what")
    is_valid_loss = 0 <= fault.size < 1 and 0 <= fault.extra <= 1
    if fault.what == "lossy" and not is_valid_loss:
        report.add(
            f"lossy: size {fault.size:g} (share lost) must be from 0 to under 1, "
            f"extra {fault.extra:g} (share duplicated) from 0 to 1"
        )
    is_in_range = (
        0 <= fault.part <= 1
        and 0 <= fault.at_s <= MAX_SECONDS
        and 0 <= fault.for_s <= MAX_SECONDS
    )
    if not is_in_range:
        report.add(
            f"part {fault.part:g} is not from 0 to 1, or at_s {fault.at_s:g} or for_s "
            f"{fault.for_s:g} is not from 0 to {MAX_SECONDS}"
        )
