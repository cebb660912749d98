"""Options records: delivery counts (reliability) and the metering level (sampling)."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.flows.delivery_account import DeliveryAccount, FlowRecordCounts
from milletsill.flows.metering_policy import MeteringControl
from milletsill.flows.metering_process import MeteringProcess
from milletsill.flows.record_queue import FlowRecordKind, PendingRecord
from milletsill.flows.templates import RELIABILITY, SAMPLING, DataRecord

SYSTEMATIC_COUNT_SAMPLING = 1
"""Value of selectorAlgorithm (RFC 5477)."""

SELECTOR_ID = 1
CONSECUTIVE_SAMPLES = 1
"""Consecutive events metered per interval, exported as samplingPacketInterval."""


@dataclass(frozen=True, slots=True)
class ExporterIdentity:
    """The gateway's name and observation domain."""

    name: str
    domain: int


def sampling_record(
    identity: ExporterIdentity, metering: MeteringProcess, control: MeteringControl
) -> PendingRecord:
    """Return the options record of the sampling selector (RFC 5476)."""
    values = (
        identity.domain,
        SELECTOR_ID,
        SYSTEMATIC_COUNT_SAMPLING,
        CONSECUTIVE_SAMPLES,
        control.interval - CONSECUTIVE_SAMPLES,
        metering.observed,
        metering.selected,
        int(control.level),
    )
    return _option(DataRecord(SAMPLING, values))


def reliability_record(
    identity: ExporterIdentity,
    account: DeliveryAccount,
    not_metered: FlowRecordCounts,
    evicted_flows: int,
) -> PendingRecord:
    """Return the options record of delivery counts, with enterprise elements."""
    sent = account.sent
    dropped = account.dropped()
    causes = "; ".join(
        f"{cause} {counts.records}"
        for cause, counts in account.dropped_by_cause.items()
    )
    values = (
        identity.domain,
        identity.domain,
        identity.name,
        account.messages,
        sent.records,
        account.octets,
        dropped.records,
        dropped.packets,
        dropped.octets,
        sent.commands,
        dropped.commands,
        not_metered.commands,
        sent.attempts,
        dropped.attempts,
        not_metered.attempts,
        evicted_flows,
        causes,
    )
    return _option(DataRecord(RELIABILITY, values))


def _option(record: DataRecord) -> PendingRecord:
    return PendingRecord(record, FlowRecordKind.OPTION, FlowRecordCounts(records=1))
