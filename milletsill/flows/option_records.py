"""Records of options: what became of everything, and how closely it is metered."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.flows.delivery_account import DeliveryAccount, FlowRecordCounts
from milletsill.flows.metering_policy import MeteringControl
from milletsill.flows.metering_process import MeteringProcess
from milletsill.flows.record_queue import FlowRecordKind, PendingRecord
from milletsill.flows.templates import RELIABILITY, SAMPLING, DataRecord

SYSTEMATIC_COUNT_SAMPLING = 1
"""selectorAlgorithm of RFC 5477."""

SELECTOR_ID = 1
SAMPLED_AT_ONCE = 1
"""Events that are metered one behind the other."""


@dataclass(frozen=True, slots=True)
class ExporterIdentity:
    """The gateway's name and observation domain."""

    name: str
    domain: int


def sampling_record(
    identity: ExporterIdentity, metering: MeteringProcess, control: MeteringControl
) -> PendingRecord:
    """Returns the selector's record (RFC 5476)."""
    values = (
        identity.domain,
        SELECTOR_ID,
        SYSTEMATIC_COUNT_SAMPLING,
        SAMPLED_AT_ONCE,
        control.interval - SAMPLED_AT_ONCE,
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
    """Returns the record of what became of everything (RFC 7011, and our elements)."""
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
        sent.dispatches,
        dropped.dispatches,
        not_metered.dispatches,
        evicted_flows,
        causes,
    )
    return _option(DataRecord(RELIABILITY, values))


def _option(record: DataRecord) -> PendingRecord:
    return PendingRecord(record, FlowRecordKind.OPTION, FlowRecordCounts(records=1))
