"""The allowed range of each numeric field of a gateway's file."""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.message import Message

from milletsill.settings.field_checks import FieldRange, check_ranges_if_present
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import GatewayFile

# Keyed by the field of the gateway's file that holds the message or the messages.
RANGES: dict[str, tuple[FieldRange, ...]] = {
    "door": (
        FieldRange("most_connections", 1, 100_000),
        FieldRange("most_packet", 34_000, 64_000_000),
        FieldRange("most_handles", 1, 65_536),
        FieldRange("most_outstanding", 1, 4096),
        FieldRange("most_buffered", 65_536, 1 << 30),
        FieldRange("most_held", 1, 1_000_000),
        FieldRange("idle_s", 1, 86_400),
        FieldRange("answer_margin_ms", 0, 10_000),
        FieldRange("drain_s", 0.1, 3600),
        FieldRange("locations", 16, 10_000_000),
    ),
    "links": (
        FieldRange("connections", 1, 64),
        FieldRange("streams", 1, 4096),
        FieldRange("handshakes", 1, 16),
        FieldRange("dial_ms", 1, 60_000),
        FieldRange("idle_s", 0.1, 86_400),
        FieldRange("silent_ms", 10, 600_000),
        FieldRange("most_packet", 65_536, 1 << 30),
    ),
    "registry": (
        FieldRange("call_ms", 10, 60_000),
        FieldRange("connect_ms", 10, 60_000),
        FieldRange("most_line", 1024, 64_000_000),
        FieldRange("most_boxes", 1, 100_000),
    ),
    "rules": (
        FieldRange("drain_grace_ms", 0, 60_000),
        FieldRange("ask_within_ms", 100, 3_600_000),
        FieldRange("cold_from", 0, 1),
        FieldRange("warm_after_s", 0, 86_400),
        FieldRange("cold_multiple", 1, 1000),
        FieldRange("cold_window_ms", 0, 600_000),
        FieldRange("cold_units", 0, 1e9),
        FieldRange("further_free", 0, 1e6),
        FieldRange("further_ratio", 0, 10),
        FieldRange("further_window_ms", 1, 3_600_000),
        FieldRange("key_rest_ms", 0, 600_000),
        FieldRange("most_dispatches", 1, 16),
        FieldRange("longest_pause_ms", 0, 600_000),
        FieldRange("share_utility", 0, 1),
        FieldRange("spare_utility", 0, 1),
        FieldRange("unit_bytes", 256, 1 << 24),
        FieldRange("largest_units", 1, 4096),
        FieldRange("unit_mean", 0.01, 4096),
        FieldRange("meter_ms", 0, 3_600_000),
        FieldRange("tick_ms", 0.1, 100),
        FieldRange("meta_units", 0.001, 4096),
        FieldRange("extent_bytes", 4096, 1 << 40),
    ),
    "plan": (
        FieldRange("usual_rate", 0.001, 1e9),
        FieldRange("reserve_rate", 0, 1e9),
        FieldRange("weight", 0.001, 1e6),
        FieldRange("price", 0, 1e6),
        FieldRange("limit_rate", 0, 1e9),
        FieldRange("limit_store", 0, 1e9),
        FieldRange("limit_slack", 0, 1e9),
    ),
    "category": (
        FieldRange("target_ms", 1, 3_600_000),
        FieldRange("patience_ms", 1, 3_600_000),
        FieldRange("utility", 0, 1e6),
        FieldRange("late_utility", 0, 1),
        FieldRange("repeat_window_ms", 0, 3_600_000),
    ),
    "logging": (FieldRange("answers_per_s", 0, 10_000),),
    "flows": (
        FieldRange("most_flows", 16, 10_000_000),
        FieldRange("active_s", 1, 86_400),
        FieldRange("idle_s", 0.5, 86_400),
        FieldRange("template_s", 1, 86_400),
        FieldRange("template_messages", 1, 1_000_000),
        FieldRange("path_bytes", 512, 65_000),
        FieldRange("cpu_share", 0.001, 1),
        FieldRange("enterprise", 1, (1 << 32) - 1),
    ),
    "planner": (FieldRange("ask_s", 0.05, 10), FieldRange("most_things", 1, 100_000)),
    "fleet": (
        FieldRange("probe_ms", 50, 60_000),
        FieldRange("answer_ms", 10, 30_000),
        FieldRange("through", 0, 16),
        FieldRange("suspicion_ms", 100, 600_000),
        FieldRange("exchange_s", 0.2, 3600),
        FieldRange("most_members", 1024, 100_000),
        FieldRange("remember_s", 10, 30 * 86_400),
    ),
    "trace": (
        FieldRange("file_bytes", 65_536, 1 << 40),
        FieldRange("file_s", 1, 30 * 86_400),
        FieldRange("total_bytes", 131_072, 1 << 50),
        FieldRange("most_held", 1000, 10_000_000),
        FieldRange("block_s", 0.1, 600),
    ),
}


def check_gateway_ranges(file: GatewayFile, report: MessageReport) -> None:
    """Check that each number that is present in the file is within its range."""
    for field_name, ranges in RANGES.items():
        for message, message_report in _messages_of(file, field_name, report):
            check_ranges_if_present(message, ranges, message_report)


def _messages_of(
    file: GatewayFile, field_name: str, report: MessageReport
) -> Iterator[tuple[Message, MessageReport]]:
    """Yield the message of a field, or each message of a repeated one."""
    value = getattr(file, field_name)
    if isinstance(value, Message):
        yield value, report.nested(field_name)
        return
    for index, message in enumerate(value):
        yield message, report.nested(field_name, index)
