"""Checks the settings of traces and of flow export in a gateway's file."""

from __future__ import annotations

from milletsill.settings.field_checks import (
    check_address,
    check_choice,
    is_ip_address,
)
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import Collector, GatewayFile

METERING_LEVELS = ("commands", "flows", "sampled")
TRANSPORTS = ("tcp", "udp")
PROTOCOLS = ("ipfix", "netflow9")
SYNC_POLICIES = ("blocks", "files", "never")
MIN_QUEUED_RECORDS = 100
MAX_QUEUED_RECORDS = 10_000_000


def check_trace(file: GatewayFile, report: MessageReport) -> None:
    """Check `trace`, if the file has it, and that its limits are consistent."""
    if not file.HasField("trace"):
        return
    trace = file.trace
    trace_report = report.nested("trace")
    if not trace.folder:
        trace_report.add("trace.folder is empty", "folder")
    check_choice(trace, "sync", SYNC_POLICIES, trace_report)
    if trace.total_bytes < 2 * trace.file_bytes:
        trace_report.add(
            f"total_bytes {trace.total_bytes} is under two files of file_bytes "
            f"{trace.file_bytes}",
            "total_bytes",
        )
    if trace.block_s > trace.file_s:
        trace_report.add(
            f"block_s {trace.block_s:g} is over file_s {trace.file_s:g}", "block_s"
        )


def check_flows(file: GatewayFile, report: MessageReport) -> None:
    """Check `flows`, if the file has it: its collectors, level and timeouts."""
    if not file.HasField("flows"):
        return
    flows = file.flows
    flows_report = report.nested("flows")
    if not flows.collector:
        flows_report.add("flows needs at least one collector")
    check_choice(flows, "closest", METERING_LEVELS, flows_report)
    if flows.idle_s > flows.active_s:
        flows_report.add(
            f"idle_s {flows.idle_s:g} (idle timeout) is over active_s "
            f"{flows.active_s:g} (active timeout)",
            "idle_s",
        )
    for index, collector in enumerate(flows.collector):
        _check_collector(collector, flows_report.nested("collector", index))


def _check_collector(collector: Collector, report: MessageReport) -> None:
    """Check one collector of flow records."""
    check_address(collector.address, report, "address")
    check_choice(collector, "transport", TRANSPORTS, report)
    check_choice(collector, "protocol", PROTOCOLS, report)
    if collector.protocol == "netflow9" and collector.transport != "udp":
        report.add("netflow9 requires transport udp", "transport")
    host = collector.address.rpartition(":")[0]
    if collector.transport == "udp" and not is_ip_address(host):
        report.add(
            f"a collector over udp needs an IP address, not {collector.address!r}",
            "address",
        )
    if not MIN_QUEUED_RECORDS <= collector.most_queued <= MAX_QUEUED_RECORDS:
        report.add(
            f"most_queued {collector.most_queued} is not from {MIN_QUEUED_RECORDS} "
            f"to {MAX_QUEUED_RECORDS}",
            "most_queued",
        )
