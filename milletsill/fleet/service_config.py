"""What a fleet service is given: its settings, and whom it tells."""

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
    """The part of a gateway's file that the fleet needs."""

    @property
    def name(self) -> str:
        """The gateway's name."""

    @property
    def fleet(self) -> FleetLink:
        """The `fleet` block."""


@dataclass(frozen=True, slots=True)
class FleetServiceConfig:
    """One gateway's settings for the fleet.

    Attributes:
        name: The gateway's name.
        fleet: The fleet's name.
        address: host:port to listen on, UDP and TCP.
        advertise: Where others reach it, if that differs; else empty.
        seeds: Addresses of some others (`join` in the file).
        membership: Intervals and bounds.
        seed: Of the random choices.
        incarnation: Of this start.
        version: Of the protocol; another only where a test plays a later one.
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
        """Read the `fleet` block of a gateway's file."""
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
    """Return the intervals and bounds of a `fleet` block."""
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
    """Whom a fleet service tells.

    Attributes:
        warn: Logs what someone should look at.
        info: Logs what goes on.
        store_incarnation: Keeps a new incarnation for the next start.
    """

    warn: LogEvent
    info: LogEvent
    store_incarnation: Callable[[int], None]
