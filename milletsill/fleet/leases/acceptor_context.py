"""State and interfaces that the components of one gateway's acceptor share."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol, TypeVar

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.acceptor import LeaseGrant, grant_after_restart
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.fleet.leases.lease_settings import AcceptorSettings, LeaseEnvironment
from milletsill.fleet.leases.messages import AcceptorReply
from milletsill.fleet.leases.metrics import AcceptorMetrics
from milletsill.fleet.leases.timings import LeaseTimings

LOG_INTERVAL = 100_000  # ticks between two log events of one error type
RETRY_INTERVAL = 10_000  # ticks until a retry after a failed write to the disk

T = TypeVar("T")


class RunBlocking(Protocol):
    """Runs jobs one after another, outside the reactor's thread."""

    def __call__(
        self, job: Callable[[], T], on_result: Callable[[T | MilletsillError], None]
    ) -> None:
        """Run a job; the reactor calls `on_result` with its result or its error."""


class AcceptorPeers(Protocol):
    """Sends an acceptor's messages to other gateways."""

    def send_replies(self, gateway: str, replies: Sequence[AcceptorReply]) -> None:
        """Send replies to a gateway, which may be this one."""

    def query_known_identity(self, all_gateways: bool) -> None:
        """Ask the acceptors, or all gateways, which identity they know of this one."""

    def query_page(self, acceptor: str, after: str) -> None:
        """Ask an acceptor for its records after a key."""


class GrantTable:
    """An acceptor's grants by lease; they are only in memory.

    The store's thread reads it. It is changed in that thread or while no job runs.
    """

    def __init__(self, timings: LeaseTimings, started_at: int) -> None:
        self._timings = timings
        self._started_at = started_at
        self._grants: dict[str, LeaseGrant] = {}

    def get(self, key: str) -> LeaseGrant:
        """Return a lease's grant.

        For an unknown lease this is the grant that a former incarnation may have given.
        """
        known = self._grants.get(key)
        if known is not None:
            return known
        return grant_after_restart(self._started_at, self._timings)

    def update(self, grants: Mapping[str, LeaseGrant]) -> None:
        """Set the grants of some leases."""
        self._grants.update(grants)

    def discard(self, key: str) -> None:
        """Remove the grant of a lease whose record was removed."""
        self._grants.pop(key, None)

    def reset(self, now: int) -> None:
        """Remove all grants, as after a restart at this time."""
        self._grants = {}
        self._started_at = now


class AcceptorContext:
    """Settings, clock, file, grants and metrics of one gateway's acceptor.

    Attributes:
        settings: The acceptor's settings.
        now: The gateway's clock, in ticks.
        log: Writes events to the log.
        metrics: Metrics of the acceptor.
        started_at: When this incarnation started, in ticks.
        previous_uptime: Total uptime of former incarnations, in ticks.
        grants: Grants by lease.
        store: The file; None until it is open.
    """

    def __init__(
        self, settings: AcceptorSettings, environment: LeaseEnvironment
    ) -> None:
        self.settings = settings
        self.now = environment.now
        self.log = environment.log
        self.metrics = AcceptorMetrics(environment.registry)
        self.started_at = environment.now()
        self.previous_uptime = 0
        self.grants = GrantTable(settings.timings, self.started_at)
        self.store: AcceptorStore | None = None
        self._logged_at: dict[str, int] = {}

    def uptime(self) -> int:
        """Return the acceptor's total uptime over all incarnations, in ticks."""
        return self.previous_uptime + self.now() - self.started_at

    def log_error(self, error: MilletsillError) -> None:
        """Log an error, at most once per `LOG_INTERVAL` for each error type."""
        kind = type(error).__name__
        now = self.now()
        if now - self._logged_at.get(kind, now - LOG_INTERVAL) >= LOG_INTERVAL:
            self._logged_at[kind] = now
            self.log("acceptor_error", **error.log_fields())
