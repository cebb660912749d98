"""Flows, their keys, and the records that they become.

Client flows: connection, store, plan, category; octets and packets to the gateway and,
reversed, back to the client; commands by outcome. Node flows: node, store, category,
outcome; octets and packets to the node and back; dispatches.
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
"""Port of the gateway towards nodes: it differs from connection to connection."""

WallMilliseconds: TypeAlias = Callable[[int], int]
"""Converts ticks to milliseconds since 1970."""


class CommandOutcome(StrEnum):
    """How a client's command ended; values are exported as finalAnswer."""

    SUCCEEDED = "satisfied"
    REJECTED = "declined"
    FAILED = "aborted"
    ABANDONED = "abandoned"


class ClientFlowKey(NamedTuple):
    """The ends of a client's connection and what its commands concern."""

    client: str
    client_port: int
    gateway: str
    gateway_port: int
    store: str
    plan: str
    category: str


class NodeFlowKey(NamedTuple):
    """A node and what dispatches to it concern.

    `outcome` is empty for control packets.
    """

    gateway: str
    node: str
    node_port: int
    node_id: int
    store: str
    category: str
    outcome: str


FlowKey: TypeAlias = ClientFlowKey | NodeFlowKey


@dataclass(frozen=True, slots=True)
class Exchange:
    """What one event adds to a flow; `duration` is in ticks.

    Forward is from the client, or to the node.
    """

    forward_octets: int
    forward_packets: int
    reverse_octets: int
    reverse_packets: int
    duration: int

    @property
    def packets(self) -> int:
        """Packets both ways."""
        return self.forward_packets + self.reverse_packets

    @property
    def octets(self) -> int:
        """Octets both ways."""
        return self.forward_octets + self.reverse_octets


@dataclass(slots=True)
class Flow:
    """The sums of one flow; times are ticks."""

    started: int
    last_seen: int
    forward_octets: int = 0
    forward_packets: int = 0
    reverse_octets: int = 0
    reverse_packets: int = 0
    count: int = 0
    """Commands of a client flow, dispatches of a node flow."""

    retries: int = 0
    duration_sum: int = 0
    duration_max: int = 0
    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    abandoned: int = 0

    def add(self, now: int, exchange: Exchange) -> None:
        """Adds one event."""
        self.last_seen = now
        self.forward_octets += exchange.forward_octets
        self.forward_packets += exchange.forward_packets
        self.reverse_octets += exchange.reverse_octets
        self.reverse_packets += exchange.reverse_packets
        self.duration_sum += exchange.duration
        self.duration_max = max(self.duration_max, exchange.duration)

    def count_outcome(self, outcome: CommandOutcome) -> None:
        """Counts one command by its outcome."""
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
        """Packets both ways."""
        return self.forward_packets + self.reverse_packets

    @property
    def octets(self) -> int:
        """Octets both ways."""
        return self.forward_octets + self.reverse_octets


def flow_record(
    key: FlowKey, flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> PendingRecord:
    """Returns the record of a flow that leaves the cache."""
    if isinstance(key, ClientFlowKey):
        return client_flow_record(key, flow, reason, to_wall)
    return node_flow_record(key, flow, reason, to_wall)


def client_flow_record(
    key: ClientFlowKey, flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> PendingRecord:
    """Returns the record of a client flow, in the order of CLIENT_FLOW."""
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
        key.store,
        key.plan,
        key.category,
    )
    counts = FlowRecordCounts(
        records=1, commands=flow.count, packets=flow.packets, octets=flow.octets
    )
    return PendingRecord(DataRecord(CLIENT_FLOW, values), FlowRecordKind.FLOW, counts)


def node_flow_record(
    key: NodeFlowKey, flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> PendingRecord:
    """Returns the record of a node flow, in the order of NODE_FLOW."""
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
        key.store,
        key.category,
        key.outcome,
    )
    counts = FlowRecordCounts(
        records=1, dispatches=flow.count, packets=flow.packets, octets=flow.octets
    )
    return PendingRecord(DataRecord(NODE_FLOW, values), FlowRecordKind.FLOW, counts)


def _times_and_volume(
    flow: Flow, reason: FlowEndReason, to_wall: WallMilliseconds
) -> tuple[int, ...]:
    """Returns the values that both kinds of flows have behind their endpoints."""
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
    """Returns the record of one command, in the order of COMMAND_RECORD.

    Its flow holds its counts, so that the record counts itself alone.
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
        key.store,
        key.plan,
        key.category,
        outcome.value,
    )
    record = DataRecord(COMMAND_RECORD, values)
    return PendingRecord(record, FlowRecordKind.COMMAND, FlowRecordCounts(records=1))
