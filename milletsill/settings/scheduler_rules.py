"""Checks the scheduler's rules of a gateway's file against its other parts."""

from __future__ import annotations

from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import GatewayFile, NodeRules

PACKET_OVERHEAD = 1024  # bytes of a packet beside its data


def check_rules(file: GatewayFile, report: MessageReport) -> None:
    """Check numbers that contradict each other."""
    _check_packet_sizes(file, report)
    _check_rules_alone(file.rules, report.nested("rules"))
    _check_connect_timeout(file, report)


def _check_packet_sizes(file: GatewayFile, report: MessageReport) -> None:
    """Check that packets and buffers hold a largest request."""
    largest = file.rules.unit_bytes * file.rules.largest_units
    packet = largest + PACKET_OVERHEAD
    door_report = report.nested("door")
    if packet > file.door.most_packet:
        door_report.add(
            f"a packet of {file.door.most_packet} bytes cannot hold a largest "
            f"transfer of {largest}",
            "most_packet",
        )
    if packet > file.links.most_packet:
        report.nested("links").add(
            "most_packet holds not one largest transfer", "most_packet"
        )
    # A client that does not read is not read from either: what it can leave unread is
    # the answers to the commands that it has outstanding.
    unread = file.door.most_outstanding * packet
    if unread > file.door.most_buffered:
        door_report.add(
            f"{file.door.most_outstanding} commands of {largest} bytes may "
            f"leave {unread} bytes unread, over {file.door.most_buffered}",
            "most_buffered",
        )


def _check_rules_alone(rules: NodeRules, report: MessageReport) -> None:
    """Check numbers within `rules`."""
    if rules.unit_mean > rules.largest_units:
        report.add(
            f"a mean of {rules.unit_mean:g} units over the largest of "
            f"{rules.largest_units}",
            "unit_mean",
        )
    has_budget = rules.HasField("further_ratio") or rules.HasField("further_free")
    if rules.HasField("further_window_ms") != has_budget:
        report.add(
            "a budget of further dispatches needs further_window_ms and "
            "further_ratio or further_free"
        )
    if rules.drain_grace_ms >= rules.ask_within_ms:
        report.add(
            f"a drain grace of {rules.drain_grace_ms:g} ms is not under "
            f"ask_within_ms {rules.ask_within_ms:g}",
            "drain_grace_ms",
        )


def _check_connect_timeout(file: GatewayFile, report: MessageReport) -> None:
    """Check that connecting to a node takes less than the shortest patience."""
    dial_ms = file.links.dial_ms
    shortest_ms = min((each.patience_ms for each in file.category), default=0)
    if dial_ms >= shortest_ms > 0:
        report.nested("links").add(
            f"dialling for {dial_ms:g} ms outlasts a patience of {shortest_ms:g} ms",
            "dial_ms",
        )
