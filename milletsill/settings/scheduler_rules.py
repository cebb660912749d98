"""Checks that the scheduler rules and the other parts of a file are consistent."""

from __future__ import annotations

from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import GatewayFile, NodeRules

PACKET_OVERHEAD = 1024  # bytes of a packet besides its data


def check_rules(file: GatewayFile, report: MessageReport) -> None:
    """Check that packet sizes, `rules` and the connect timeout are consistent."""
    _check_packet_sizes(file, report)
    _check_rule_numbers(file.rules, report.nested("rules"))
    _check_connect_timeout(file, report)


def _check_packet_sizes(file: GatewayFile, report: MessageReport) -> None:
    """Check that packets and buffers can hold a request of the maximum size."""
    largest = file.rules.unit_bytes * file.rules.largest_units
    packet = largest + PACKET_OVERHEAD
    door_report = report.nested("door")
    if packet > file.door.most_packet:
        door_report.add(
            f"most_packet {file.door.most_packet} is under {packet} bytes, the packet "
            f"with a request of the maximum size ({largest} bytes)",
            "most_packet",
        )
    if packet > file.links.most_packet:
        report.nested("links").add(
            f"most_packet {file.links.most_packet} is under {packet} bytes, the "
            f"packet with a request of the maximum size ({largest} bytes)",
            "most_packet",
        )
    # The gateway reads no more commands from a client that does not read its answers,
    # so the unread answers are those to the client's outstanding commands.
    unread = file.door.most_outstanding * packet
    if unread > file.door.most_buffered:
        door_report.add(
            f"most_buffered {file.door.most_buffered} is under {unread} bytes, the "
            f"unread answers to most_outstanding {file.door.most_outstanding} "
            f"commands of {largest} bytes each",
            "most_buffered",
        )


def _check_rule_numbers(rules: NodeRules, report: MessageReport) -> None:
    """Check that the numbers in `rules` are consistent."""
    if rules.unit_mean > rules.largest_units:
        report.add(
            f"unit_mean {rules.unit_mean:g} is over largest_units "
            f"{rules.largest_units}",
            "unit_mean",
        )
    has_budget = rules.HasField("further_ratio") or rules.HasField("further_free")
    if rules.HasField("further_window_ms") != has_budget:
        report.add(
            "a retry budget needs further_window_ms together with further_ratio or "
            "further_free"
        )
    if rules.drain_grace_ms >= rules.ask_within_ms:
        report.add(
            f"drain_grace_ms {rules.drain_grace_ms:g} is not under "
            f"ask_within_ms {rules.ask_within_ms:g}",
            "drain_grace_ms",
        )


def _check_connect_timeout(file: GatewayFile, report: MessageReport) -> None:
    """Check that the connect timeout is under the shortest client timeout."""
    dial_ms = file.links.dial_ms
    shortest_ms = min((each.patience_ms for each in file.category), default=0)
    if dial_ms >= shortest_ms > 0:
        report.nested("links").add(
            f"dial_ms {dial_ms:g} (connect timeout) is not under the shortest "
            f"patience_ms {shortest_ms:g} (client timeout)",
            "dial_ms",
        )
