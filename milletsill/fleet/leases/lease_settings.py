"""Settings of the lease service, and the program's interfaces that it uses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client import CollectorRegistry

from milletsill.event_log import LogEvent
from milletsill.fleet.leases.messages import MAX_VALUE_BYTES
from milletsill.fleet.leases.timings import LeaseTimings
from milletsill.fleet.transport import FleetTransport
from milletsill.named_timers import ReactorTimers


@dataclass(frozen=True, slots=True)
class LeaseEnvironment:
    """The program's interfaces that the lease service uses.

    Attributes:
        reactor: Schedules delayed calls.
        now: This gateway's clock, in ticks of a tenth of a millisecond.
        transport: Sends messages to other gateways.
        log: Writes events to the log.
        registry: Where metrics are registered.
    """

    reactor: ReactorTimers
    now: Callable[[], int]
    transport: FleetTransport
    log: LogEvent
    registry: CollectorRegistry


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSettings:
    """Settings of the lease service at one gateway.

    Attributes:
        acceptors: Names of the gateways that are acceptors. They and the timings must
            be the same at all gateways.
        timings: Durations of leases and requests.
        max_leases: The most leases at this gateway, and records at an acceptor.
        idle_after: An acceptor removes the record of a lease that has been unused for
            this long, in ticks.
        store_path: File of this gateway's acceptor, if it is one.
        seed: Seed of the random retry delays after a ballot was superseded.
        max_value_bytes: Size limit of a record; `MAX_VALUE_BYTES` applies as well.
        max_store_pages: Size limit of the file in SQLite pages; 0 for none.
    """

    acceptors: tuple[str, ...]
    timings: LeaseTimings
    max_leases: int
    idle_after: int
    store_path: str
    seed: int
    max_value_bytes: int = MAX_VALUE_BYTES
    max_store_pages: int = 0

    def __post_init__(self) -> None:
        """Remove duplicate acceptors; the order of the settings stays."""
        acceptors = tuple(dict.fromkeys(self.acceptors))
        object.__setattr__(self, "acceptors", acceptors)


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptorSettings:
    """Settings of one gateway's acceptor.

    Attributes:
        name: The gateway's name.
        others: Names of the other acceptors.
        timings: Durations of leases and requests.
        settings_digest: Digest of the settings that must be the same at all gateways.
        max_records: The most records that the acceptor keeps.
        idle_after: A record that has been unused for this long is removed, in ticks.
        store_path: The acceptor's file.
        max_store_pages: Size limit of the file in SQLite pages; 0 for none.
    """

    name: str
    others: tuple[str, ...]
    timings: LeaseTimings
    settings_digest: int
    max_records: int
    idle_after: int
    store_path: str
    max_store_pages: int = 0
