"""Settings and callbacks of the fleet service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from milletsill.event_log import LogEvent
from milletsill.fleet.frames.messages import VERSION
from milletsill.fleet.membership.config import (
    MILLISECOND,
    SECOND,
    MembershipConfig,
)
from milletsill.settings.milletsill_pb2 import FleetLink


class FleetFile(Protocol):
    """The part of a gateway's settings file that the fleet needs."""

    @property
    def name(self) -> str:
        """The gateway's name."""

    @property
    def fleet(self) -> FleetLink:
        """The `fleet` block of the file."""


@dataclass(frozen=True, slots=True)
class FleetServiceConfig:
    """One gateway's settings for the fleet.

    Attributes:
        name: The gateway's name.
        fleet: The fleet's name.
        address: host:port on which the gateway listens, UDP and TCP.
        advertise: host:port at which others reach it, if different; otherwise empty.
        seeds: Addresses of some other gateways (`join` in the settings file).
        membership: Intervals and bounds of the membership protocol.
        seed: Seed of the random choices.
        incarnation: Incarnation of this start.
        version: Protocol version; a test sets it to simulate a later one.
    """

    name: str
    fleet: str
    address: str
    advertise: str
    seeds: tuple[str, ...]
    membership: MembershipConfig
    seed: int
    incarnation: int
    version: int = VERSION

    @classmethod
    def from_file(
        cls, file: FleetFile, seed: int, incarnation: int
    ) -> FleetServiceConfig:
        """Return the settings in the `fleet` block of a gateway's file."""
        block = file.fleet
        return cls(
            name=file.name,
            fleet=block.name,
            address=block.address,
            advertise=block.advertise,
            seeds=tuple(block.join),
            membership=membership_config(block),
            seed=seed,
            incarnation=incarnation,
        )


def membership_config(block: FleetLink) -> MembershipConfig:
    """Return the intervals and bounds that a `fleet` block sets."""
    return MembershipConfig(
        fleet=block.name,
        probe_interval=int(block.probe_ms * MILLISECOND),
        ack_timeout=int(block.answer_ms * MILLISECOND),
        indirect_probes=block.through,
        suspicion_timeout=int(block.suspicion_ms * MILLISECOND),
        exchange_interval=int(block.exchange_s * SECOND),
        max_members=block.most_members,
        absent_retention=int(block.remember_s * SECOND),
    )


@dataclass(frozen=True, slots=True)
class FleetCallbacks:
    """Functions that a fleet service calls.

    Attributes:
        warn: Logs an event that needs an operator's attention.
        info: Logs an event of normal operation.
        store_incarnation: Stores a new incarnation for the next start.
    """

    warn: LogEvent
    info: LogEvent
    store_incarnation: Callable[[int], None]
