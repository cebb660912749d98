"""What the parts of one gateway's acceptor share."""

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

LOG_INTERVAL = 100_000  # between two log events of one type of error, in ticks
RETRY_INTERVAL = 10_000  # after a disk that did not take a write, in ticks

T = TypeVar("T")


class RunBlocking(Protocol):
    """Runs a job off the reactor's thread; jobs run one after another."""

    def __call__(
        self, job: Callable[[], T], on_result: Callable[[T | MilletsillError], None]
    ) -> None:
        """Run a job; the reactor calls `on_result` with its result or its error."""


class AcceptorPeers(Protocol):
    """What an acceptor sends to other gateways."""

    def send_replies(self, gateway: str, replies: Sequence[AcceptorReply]) -> None:
        """Send replies to a gateway, which may be this one."""

    def query_witnesses(self, everybody: bool) -> None:
        """Ask acceptors, or all gateways, which identity of this one they know."""

    def query_page(self, acceptor: str, after: str) -> None:
        """Ask an acceptor for its records after a key."""


class GrantTable:
    """Who was granted which lease, only in memory.

    Read by the thread of the store, and changed there or while no job runs.
    """

    def __init__(self, timings: LeaseTimings, started_at: int) -> None:
        self._timings = timings
        self._started_at = started_at
        self._grants: dict[str, LeaseGrant] = {}

    def get(self, key: str) -> LeaseGrant:
        """Return a lease's grant.

        For one that is not known, what a former incarnation may have granted.
        """
        known = self._grants.get(key)
        if known is not None:
            return known
        return grant_after_restart(self._started_at, self._timings)

    def update(self, grants: Mapping[str, LeaseGrant]) -> None:
        """Take over grants."""
        self._grants.update(grants)

    def discard(self, key: str) -> None:
        """Forget a lease whose record was removed."""
        self._grants.pop(key, None)

    def reset(self, now: int) -> None:
        """Forget all, as after a restart at this time."""
        self._grants = {}
        self._started_at = now


class AcceptorContext:
    """Settings, clock, file, grants and metrics of one gateway's acceptor.

    Attributes:
        store: The file, None until it is open.
        started_at: When this incarnation started, in ticks.
        previous_uptime: For how long former incarnations were up, in ticks.
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
        """Return for how long the acceptor was up over all incarnations, in ticks."""
        return self.previous_uptime + self.now() - self.started_at

    def log_error(self, error: MilletsillError) -> None:
        """Log an error, of each type once in a while."""
        kind = type(error).__name__
        now = self.now()
        if now - self._logged_at.get(kind, now - LOG_INTERVAL) >= LOG_INTERVAL:
            self._logged_at[kind] = now
            self.log("acceptor_error", **error.log_fields())
