"""What an operator's file may say of traces and of flow export."""

from __future__ import annotations

from typing import Any

from milletsill.settings.addresses import check_address, is_ip
from milletsill.settings.load import Report

LEVELS_OF_METERING, TRANSPORTS, PROTOCOLS = (
    ("commands", "flows", "sampled"),
    ("tcp", "udp"),
    ("ipfix", "netflow9"),
)
SYNCS = ("blocks", "files", "never")


def check_trace(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """Traces: bounds that fit each other."""
    if not file.HasField("trace"):
        return
    trace, here = file.trace, under + ("trace",)
    if not trace.folder:
        report.add(here + ("folder",), "no folder for traces")
    if trace.sync not in SYNCS:
        report.add(
            here + ("sync",), f"sync {trace.sync!r} is not one of {', '.join(SYNCS)}"
        )
    if trace.total_bytes < 2 * trace.file_bytes:
        report.add(
            here + ("total_bytes",),
            f"{trace.total_bytes} bytes in all hold no two files of {trace.file_bytes}",
        )
    if trace.block_s > trace.file_s:
        report.add(
            here + ("block_s",),
            f"blocks of {trace.block_s:g} s in files of {trace.file_s:g} s",
        )


def check_flows(file: Any, report: Report, under: tuple[str, ...]) -> None:
    """Collectors, and figures of export that contradict each other."""
    if not file.HasField("flows"):
        return
    flows, here = file.flows, under + ("flows",)
    if not flows.collector:
        report.add(here, "flow export without a collector")
    if flows.closest not in LEVELS_OF_METERING:
        report.add(
            here + ("closest",),
            f"closest {flows.closest!r} is not one of {', '.join(LEVELS_OF_METERING)}",
        )
    if flows.idle_s > flows.active_s:
        report.add(
            here + ("idle_s",),
            f"an idle time-out of {flows.idle_s:g} s past the active one of "
            f"{flows.active_s:g} s",
        )
    for place, each in enumerate(flows.collector):
        one = here + ("collector", str(place))
        check_address(each.address, one + ("address",), report)
        for field, words in (("transport", TRANSPORTS), ("protocol", PROTOCOLS)):
            if getattr(each, field) not in words:
                report.add(
                    one + (field,),
                    f"{field} {getattr(each, field)!r} is not one of {', '.join(words)}",
                )
        if each.protocol == "netflow9" and each.transport != "udp":
            report.add(one + ("transport",), "netflow9 goes over udp alone")
        if each.transport == "udp" and not is_ip(each.address.rpartition(":")[0]):
            report.add(
                one + ("address",),
                f"a collector over udp needs an IP address, not {each.address!r}",
            )
        if not 100 <= each.most_queued <= 10_000_000:
            report.add(
                one + ("most_queued",),
                f"most_queued {each.most_queued} is not from 100 to 10000000",
            )
