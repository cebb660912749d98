"""Flows, their keys, and the records that export them.

A client flow is keyed by connection, volume, service plan and request class. It counts
octets and packets to the gateway and, as reverse elements, back to the client, and
commands by outcome. A node flow is keyed by node, volume, request class and outcome. It
counts octets and packets to the node and back, and attempts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from milletsill.flows.clocks import MICROSECONDS_PER_TICK
from milletsill.flows.delivery_account import FlowRecordCounts
from milletsill.flows.record_queue import FlowRecordKind, PendingRecord
from milletsill.flows.templates import (
    CLIENT_FLOW,
    COMMAND_RECORD,
    NODE_FLOW,
    DataRecord,
    FieldValue,
    FlowEndReason,
)

PROTOCOL_TCP = 6
"""protocolIdentifier of TCP (IANA)."""

UNKNOWN_PORT = 0
"""Port of the gateway in node flows: it is different for each connection."""

WallMilliseconds: TypeAlias = Callable[[int], int]
"""Converts ticks to milliseconds since 1970."""


class CommandOutcome(StrEnum):
    """How a client's command ended; the values are exported as finalAnswer."""

    SUCCEEDED = "satisfied"
    REJECTED = "declined"
    FAILED = "aborted"
    ABANDONED = "abandoned"


class ClientFlowKey(NamedTuple):
    """The endpoints of a client connection, and the attributes of its commands."""

    client: str
    client_port: int
    gateway: str
    gateway_port: int
    volume: str
    service_plan: str
    request_class: str


class NodeFlowKey(NamedTuple):
    """A node, and the attributes of attempts on it.

    `outcome` is empty for control packets.
    """

    gateway: str
    node: str
    node_port: int
    node_id: int
    volume: str
    request_class: str
    outcome: str


FlowKey: TypeAlias = ClientFlowKey | NodeFlowKey


@dataclass(frozen=True, slots=True)
class Exchange:
    """The traffic that one event adds to a flow; `duration` is in ticks.

    The forward direction is from the client, or to the node.
    """

    forward_octets: int
    forward_packets: int
    reverse_octets: int
    reverse_packets: int
    duration: int

    @property
    def packets(self) -> int:
        """Packets in both directions."""
        return self.forward_packets + self.reverse_packets

    @property
    def octets(self) -> int:
        """Octets in both directions."""
        return self.forward_octets + self.reverse_octets


@dataclass(slots=True)
class Flow:
    """The sums of one flow; times are in ticks."""

    started: int
    last_seen: int
    forward_octets: int = 0
    forward_packets: int = 0
    reverse_octets: int = 0
    reverse_packets: int = 0
    count: int = 0
    """Commands of a client flow, or attempts of a node flow."""

    retries: int = 0
    duration_sum: int = 0
    duration_max: int = 0
    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    abandoned: int = 0

    def add(self, now: int, exchange: Exchange) -> None:
        """Add one event."""
        self.last_seen = now
        self.forward_octets += exchange.forward_octets
        self.forward_packets += exchange.forward_packets
        self.reverse_octets += exchange.reverse_octets
        self.reverse_packets += exchange.reverse_packets
        self.duration_sum += exchange.duration
        self.duration_max = max(self.duration_max, exchange.duration)

    def count_outcome(self, outcome: CommandOutcome) -> None:
        """Count one command by its outcome."""
        self.count += 1
        if outcome is CommandOutcome.SUCCEEDED:
            self.succeeded += 1
        elif outcome is CommandOutcome.REJECTED:
            self.rejected += 1
        elif outcome is CommandOutcome.FAILED:
            self.failed += 1
        else:
            self.abandoned += 1

    @property
    def packets(self) -> int:
        """Packets in both directions."""
        return self.forward_packets + self.reverse_packets

    @property
    def octets(self) -> int:
        """Octets in both directions."""
        return self.forward_octets + self.reverse_octets


def flow_record(
    key: FlowKey, flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> PendingRecord:
    """Return the record of a flow that leaves the cache."""
    if isinstance(key, ClientFlowKey):
        return client_flow_record(key, flow, reason, to_wall)
    return node_flow_record(key, flow, reason, to_wall)


def client_flow_record(
    key: ClientFlowKey, flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> PendingRecord:
    """Return the record of a client flow, with the fields of CLIENT_FLOW."""
    values: tuple[FieldValue, ...] = (
        key.client,
        key.gateway,
        key.client_port,
        key.gateway_port,
        PROTOCOL_TCP,
        *_times_and_volume(flow, reason, to_wall),
        flow.count,
        flow.succeeded,
        flow.rejected,
        flow.failed,
        flow.abandoned,
        flow.duration_sum * MICROSECONDS_PER_TICK,
        flow.duration_max * MICROSECONDS_PER_TICK,
        key.volume,
        key.service_plan,
        key.request_class,
    )
    counts = FlowRecordCounts(
        records=1, commands=flow.count, packets=flow.packets, octets=flow.octets
    )
    return PendingRecord(DataRecord(CLIENT_FLOW, values), FlowRecordKind.FLOW, counts)


def node_flow_record(
    key: NodeFlowKey, flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> PendingRecord:
    """Return the record of a node flow, with the fields of NODE_FLOW."""
    values: tuple[FieldValue, ...] = (
        key.gateway,
        key.node,
        UNKNOWN_PORT,
        key.node_port,
        PROTOCOL_TCP,
        *_times_and_volume(flow, reason, to_wall),
        flow.count,
        flow.retries,
        flow.duration_sum * MICROSECONDS_PER_TICK,
        flow.duration_max * MICROSECONDS_PER_TICK,
        key.node_id,
        key.volume,
        key.request_class,
        key.outcome,
    )
    counts = FlowRecordCounts(
        records=1, attempts=flow.count, packets=flow.packets, octets=flow.octets
    )
    return PendingRecord(DataRecord(NODE_FLOW, values), FlowRecordKind.FLOW, counts)


def _times_and_volume(
    flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> tuple[int, ...]:
    """Return the values that follow the endpoints in both kinds of flow record."""
    return (
        to_wall(flow.started),
        to_wall(flow.last_seen),
        reason,
        flow.forward_octets,
        flow.forward_packets,
        flow.reverse_octets,
        flow.reverse_packets,
    )


def command_record(
    key: ClientFlowKey,
    outcome: CommandOutcome,
    exchange: Exchange,
    now: int,
    to_wall: WallMilliseconds,
) -> PendingRecord:
    """Return the record of one command, with the fields of COMMAND_RECORD.

    The flow includes the counts of the command, so its own record counts only as a
    record.
    """
    values: tuple[FieldValue, ...] = (
        key.client,
        key.gateway,
        key.client_port,
        key.gateway_port,
        PROTOCOL_TCP,
        to_wall(now - exchange.duration),
        to_wall(now),
        FlowEndReason.END_OF_FLOW,
        exchange.forward_octets,
        exchange.forward_packets,
        exchange.reverse_octets,
        exchange.reverse_packets,
        exchange.duration * MICROSECONDS_PER_TICK,
        key.volume,
        key.service_plan,
        key.request_class,
        outcome.value,
    )
    record = DataRecord(COMMAND_RECORD, values)
    return PendingRecord(record, FlowRecordKind.COMMAND, FlowRecordCounts(records=1))
