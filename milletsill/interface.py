"""The interface between the scheduler and the program that hosts it.

Times are integers in ticks (tenths of a millisecond) on the host's clock. Requests and
nodes are named by ids at this interface only; inside the scheduler, records refer to
each other directly. The host calls the methods of `SchedulerEvents` in the order in
which the events occur, and calls `dispatch_pending` once after all events that are
known at that time. The scheduler acts through the `SchedulerEffects` that it was given.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Protocol

from milletsill.deployment_config import DeploymentConfig


class AttemptOutcome(Enum):
    """How one attempt ended. Trace files store these values."""

    SUCCEEDED = "satisfied"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreached"
    RESET = "reset"
    CANCELLED = "cancelled"
    WITHDRAWN = "moot"


class Readiness(Enum):
    """A node's state in the endpoint list. Trace files store these values."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class EndpointUpdateKind(Enum):
    """What an endpoint update contains. Trace files store these values."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    CACHED = "cached"
    FAILED = "failed"


class QuotaKind(StrEnum):
    """A kind of quota that all gateways share.

    Trace files and the planner's protocol use these values.
    """

    # A volume's rate limit.
    LIMIT = "limit"
    # A volume's reserved rate.
    RESERVE = "reserve"
    # A node's slow-start budget.
    SLOW_START = "cold"


@dataclass(frozen=True, slots=True)
class GrantedShare:
    """This gateway's share of a quota, and the share that replaces it on expiry.

    Attributes:
        share: a fraction of the quota; None for an equal share that never expires.
        expires_at: the time from which `fallback_share` applies.
        fallback_share: the fraction of the quota from `expires_at` on.
    """

    share: float | None
    expires_at: int
    fallback_share: float


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One node's entry in the endpoint list.

    Attributes:
        node: the node's id.
        size: the node's capacity; 1.0 is the capacity of a standard node.
        kind: the number of the node's hardware type.
        zone: the number of the node's zone.
        started_at: when the node last started; None if that was long ago.
        shard: the part of the key space that the node serves.
    """

    node: int
    readiness: Readiness
    size: float
    kind: int
    zone: int
    started_at: int | None
    shard: int


@dataclass(frozen=True, slots=True)
class Request:
    """One read or write that the gateway has accepted from a client.

    Attributes:
        key: the key by which requests are ordered and batched; 0 for no key.
        volume: the number of the volume that the request is charged to.
        sharing_gateways: how many gateways serve the volume; 0 if not known.
        request_class: an index into the configuration's request classes.
        service_plan: an index into the configuration's service plans.
        is_retry: whether the client marked the request as a retry.
        shard: the shard that holds the object; None for a new object.
        units: the request's work in units.
        deadline: when the client times out.
    """

    id: int
    key: int
    volume: int
    sharing_gateways: int
    request_class: int
    service_plan: int
    is_retry: bool
    is_write: bool
    shard: int | None
    units: float
    deadline: int


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended, and what the node reported with it.

    Attributes:
        attempt_number: the attempt's index among those of the request, from 0.
        request_finished: whether this result gave the client its final answer.
        latency: the time from sending the attempt to its end.
        volume_usage: the volume's use through all gateways, in hundredths of its usual
            rate; None if the node did not report it.
        units_elsewhere: the units of work that the node has served for other gateways.
        load_report: the values of the node's load report, by the field names of the
            configuration.
    """

    request_id: int
    attempt_number: int
    node: int
    outcome: AttemptOutcome
    request_finished: bool
    latency: int
    volume_usage: int | None
    units_elsewhere: int
    load_report: Mapping[str, float]


class SchedulerEffects(Protocol):
    """The actions that the scheduler can take; the host implements them."""

    def send_attempt(self, request_id: int, node_id: int, timeout: int) -> None:
        """Send the request to a node; a timeout of 0 means the client's deadline."""

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer that the request was not executed and may safely be retried.

        `retry_after` is the recommended delay before the retry.
        """

    def fail(self, request_id: int) -> None:
        """Answer that the request failed; it may have been executed."""

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Cancel one attempt."""

    def watch_endpoints(self) -> None:
        """Subscribe to changes of the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Request the whole endpoint list once."""

    def probe_node(self, node_id: int) -> None:
        """Send a health check to a node."""

    def set_timer(self, at: int, token: object) -> None:
        """Call `on_timer` with the token at the given time or shortly after it."""

    def log(self, text: str) -> None:
        """Write a line to the log."""


class SchedulerEvents(Protocol):
    """The events that the host reports to the scheduler."""

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Process an endpoint update; `endpoints` is empty if the watch failed."""

    def on_request(self, now: int, request: Request) -> None:
        """Accept a request, which must get exactly one final answer."""

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """Process the end of an attempt."""

    def on_client_cancelled(self, now: int, request_id: int) -> None:
        """Drop a request whose client has cancelled it or disconnected."""

    def on_timer(self, now: int, token: object) -> None:
        """Handle the expiry of a timer that `set_timer` started."""

    def on_quota_share(
        self, now: int, kind: QuotaKind, id: int, granted: GrantedShare
    ) -> None:
        """Replace this gateway's share of a quota; the initial share is an equal one.

        `id` is the volume's number or, for a slow-start budget, the node's id.
        """

    def on_health_advice(
        self, now: int, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        """Take the health advice that the gateways as a group give on a node.

        `load_factor` is in multiples of the shortest latency objective. `avoid` advises
        this gateway to send the node nothing. The advice lapses at `expires_at` unless
        it is renewed. Safety never depends on it.
        """

    def dispatch_pending(self, now: int) -> None:
        """Send what may be sent, once all events known at this time are reported."""


# Creates a scheduler from its configuration, random seed, current time and effects.
SchedulerFactory = Callable[
    [DeploymentConfig, int, int, SchedulerEffects], SchedulerEvents
]
