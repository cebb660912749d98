"""The types between the scheduler and whatever hosts it.

Times are whole tenths of a millisecond on the host's clock. Ids appear only here;
inside the scheduler records point to each other. The host calls the methods of
`SchedulerEvents` with what happens, in order, and then `dispatch_pending` once when
nothing more is known for now; the scheduler acts through the `SchedulerEffects` that it
was given.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Protocol

from milletsill.deployment_config import DeploymentConfig


class AttemptOutcome(Enum):
    """How one attempt ended; the values are those of trace files."""

    SUCCEEDED = "satisfied"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreached"
    RESET = "reset"
    CANCELLED = "cancelled"
    WITHDRAWN = "moot"


class Readiness(Enum):
    """What the endpoint list says of a node; the values are those of trace files."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class EndpointUpdateKind(Enum):
    """What an update of the endpoint list holds; the values are as in trace files."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    CACHED = "cached"
    FAILED = "failed"


class QuotaKind(StrEnum):
    """What all gateways share; the values are as in trace files and at the planner."""

    # A volume's limit.
    LIMIT = "limit"
    # A volume's reserve.
    RESERVE = "reserve"
    # A node's slow-start budget.
    SLOW_START = "cold"


@dataclass(frozen=True, slots=True)
class GrantedShare:
    """This gateway's part of a whole until a time, and its part from then on.

    Attributes:
        share: a fraction of the whole; None: the even part, without an end.
    """

    share: float | None
    expires_at: int
    fallback_share: float


@dataclass(frozen=True, slots=True)
class Endpoint:
    """What the endpoint list says of one node.

    Attributes:
        node: its id.
        size: its capacity, in usual nodes.
        kind: its kind of hardware.
        started_at: its last start; None: long ago.
        shard: the part of the key space that it serves.
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
    """One read or write that the gateway has taken from a client.

    Attributes:
        key: what requests are ordered and batched by; 0: none.
        volume: the number of the volume that it is charged to.
        sharing_gateways: how many gateways share the volume; 0: not told.
        request_class: its place in the configuration's classes.
        service_plan: its place in the configuration's plans.
        is_retry: whether the client marks it as a retry.
        shard: where its object is; None for a new object.
        units: its work.
        deadline: when the client gives up.
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
    """The end of one attempt.

    Attributes:
        attempt_number: its place among the attempts of the request, from 0.
        request_finished: whether the client has its answer.
        latency: from the sending to the end.
        volume_usage: the volume's use everywhere, in hundredths of its usual rate; None
            where the node does not tell.
        units_elsewhere: the work that the node has of other gateways.
        load_report: what the node says of its load, by the configuration's field names.
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
    """What the scheduler may do."""

    def send_attempt(self, request_id: int, node_id: int, timeout: int) -> None:
        """Send the request to a node; a time-out of 0: until the client gives up."""

    def reject(self, request_id: int, retry_after: int) -> None:
        """Final answer: not done, a retry is harmless, best after the pause."""

    def fail(self, request_id: int) -> None:
        """Final answer: it may have been done."""

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Stop waiting for one attempt."""

    def watch_endpoints(self) -> None:
        """Ask for changes of the endpoint list from now on."""

    def fetch_endpoints(self) -> None:
        """Ask for the whole endpoint list once."""

    def probe_node(self, node_id: int) -> None:
        """Ask a node for its health."""

    def set_timer(self, at: int, token: object) -> None:
        """Call `on_timer` with the token at that time or just after."""

    def log(self, text: str) -> None:
        """Leave a line in the log."""


class SchedulerEvents(Protocol):
    """What the scheduler hears from its host."""

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """An update of the endpoint list; it is empty where the watch failed."""

    def on_request(self, now: int, request: Request) -> None:
        """A request that has to be answered once."""

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """The end of an attempt."""

    def on_client_cancelled(self, now: int, request_id: int) -> None:
        """The client of a request has left."""

    def on_timer(self, now: int, token: object) -> None:
        """The time of a timer has come."""

    def on_quota_share(
        self, now: int, kind: QuotaKind, id: int, granted: GrantedShare
    ) -> None:
        """Another part than the even one of what all gateways share.

        `id` is the volume's number or, for a slow-start budget, the node's id.
        """

    def on_health_advice(
        self, now: int, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        """What other gateways make of a node.

        `load_factor` is in shortest latency objectives; `avoid`: this gateway better
        sends it nothing. The advice ends at `expires_at` unless it comes again; nothing
        that is safe rests on it.
        """

    def dispatch_pending(self, now: int) -> None:
        """Nothing more is known for now: send what may go."""


# Makes a scheduler of a configuration, a seed, the time now and its effects.
SchedulerFactory = Callable[
    [DeploymentConfig, int, int, SchedulerEffects], SchedulerEvents
]
