"""Typed settings of flow export, from the gateway's file."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.flows.clocks import seconds_to_ticks
from milletsill.flows.codecs import CODECS_BY_NAME, FlowCodec
from milletsill.flows.flow_cache import FlowCacheSettings
from milletsill.flows.metering_policy import MeteringLevel
from milletsill.settings.milletsill_pb2 import Collector as FileCollector
from milletsill.settings.milletsill_pb2 import FlowExport

TCP_MESSAGE_OCTETS = 8192
"""Maximum octets of a message over TCP."""

UDP_TRANSPORT = "udp"
"""Value of the setting `transport` of a collector."""


@dataclass(frozen=True, slots=True)
class TemplateSchedule:
    """When templates are resent over UDP: after a number of ticks or of messages."""

    over_udp: bool
    interval: int
    message_interval: int


@dataclass(frozen=True, slots=True)
class CollectorSettings:
    """Settings of one collector."""

    address: str
    host: str
    port: int
    over_udp: bool
    codec: FlowCodec
    max_queued_records: int
    max_message_octets: int
    enterprise: int
    templates: TemplateSchedule


@dataclass(frozen=True, slots=True)
class ExportSettings:
    """Settings of flow export of one gateway."""

    collectors: tuple[CollectorSettings, ...]
    copies: bool
    """Whether each collector gets every record; otherwise one of them does."""

    closest_level: MeteringLevel
    max_cost_share: float
    """Maximum share of the gateway's time that export may take."""

    cache: FlowCacheSettings


def read_export_settings(file: FlowExport) -> ExportSettings:
    """Convert the settings of a checked file."""
    return ExportSettings(
        collectors=tuple(_read_collector(file, each) for each in file.collector),
        copies=file.copies,
        closest_level=MeteringLevel[file.closest.upper()],
        max_cost_share=file.cpu_share,
        cache=FlowCacheSettings(
            max_flows=file.most_flows,
            active_timeout=seconds_to_ticks(file.active_s),
            idle_timeout=seconds_to_ticks(file.idle_s),
        ),
    )


def _read_collector(file: FlowExport, collector: FileCollector) -> CollectorSettings:
    host, _, port = collector.address.rpartition(":")
    over_udp = collector.transport == UDP_TRANSPORT
    return CollectorSettings(
        address=collector.address,
        host=host,
        port=int(port),
        over_udp=over_udp,
        codec=CODECS_BY_NAME[collector.protocol],
        max_queued_records=collector.most_queued,
        max_message_octets=file.path_bytes if over_udp else TCP_MESSAGE_OCTETS,
        enterprise=file.enterprise,
        templates=TemplateSchedule(
            over_udp=over_udp,
            interval=seconds_to_ticks(file.template_s),
            message_interval=file.template_messages,
        ),
    )
