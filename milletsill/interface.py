"""The types between the decision module and whatever hosts it.

Times are whole tenths of a millisecond. Ids appear only here, at the door; inside the module objects
point to each other. The host calls the methods of `Decisions` with what it is told, in order, then
`settle` once when nothing more is known for now; the module acts through the `Port` that it was given.

The facts given at the start are a plain map of names to values:
  gateways, index (this one's among them, None where it is not told), tick, categories, plans, writes, zone, share_utility,
  spare_utility, unit_mean, largest_units (0: not told), cold_units, cells,
  may_cancel, may_copy, most_dispatches, most_held, pause_told, longest_pause,
  list_on_request, report_fields, ask_within, cold_from, warm_after, cold_multiple, cold_window,
  further_free, further_ratio, further_window (None where no budget is stated), key_rest,
  sized (whether the list's sizes tell what nodes can do), cross_fee (of a dispatch into another zone),
  dial (how long at most a dispatch waits for a link: so much later than it was decided on may it begin).
A category is a map of: target_time, stretch (of the target time, by the transfer's work), patience, utility,
late_utility, repeats, group, repeat_window, in_order, streams.  A plan is a map of: usual_rate, reserve_rate, weight, price, limit_rate (0: none),
limit_store, limit_slack; rates are units a second.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

Facts = Mapping[str, Any]


class AttemptOutcome(Enum):
    """How one dispatch ended."""

    SUCCEEDED = "satisfied"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreached"
    RESET = "reset"
    CANCELLED = "cancelled"
    WITHDRAWN = "moot"


class Readiness(Enum):
    """What the list of nodes says of one."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class EndpointUpdateKind(Enum):
    """What kind of news the list brings."""

    DELTA = "changes"
    SNAPSHOT = "whole"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the list of nodes; `since` is the node's last start, None for long ago."""

    node: int
    readiness: Readiness
    size: float
    kind: int
    zone: int
    started_at: int | None
    shard: int


@dataclass(frozen=True, slots=True)
class Request:
    """A transfer that the gateway has taken; `cell` is None for a new object; `ends` is a clock time; `gateways` is 0 where
    it is not told how many share its volume.
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
    """The end of one dispatch; `used` is the volume's use everywhere in units a second times 100 over its
    usual rate, None where it is not told.
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
    """What the module may do."""

    def send_attempt(self, transfer: int, node: int, timeout: int) -> None:
        """Dispatch the transfer; a time-out of 0 means until the client gives up."""

    def reject(self, transfer: int, pause: int) -> None:
        """Final answer: trying again is harmless, best after the pause."""

    def fail(self, transfer: int) -> None:
        """Final answer: nothing is promised."""

    def cancel_attempt(self, transfer: int, number: int) -> None:
        """Stop waiting for one dispatch."""

    def watch_endpoints(self) -> None:
        """Ask for changes of the list from now on."""

    def fetch_endpoints(self) -> None:
        """Ask for the whole list once."""

    def probe_node(self, node: int) -> None:
        """Ask a node for its health."""

    def set_timer(self, at: int, what: object) -> None:
        """Call `woken` with `what` at that time or just after."""

    def log(self, text: str) -> None:
        """Leave a line in the log."""


class SchedulerEvents(Protocol):
    """What a host calls."""

    def on_endpoints(
        self, now: int, news: EndpointUpdateKind, entries: Sequence[Endpoint]
    ) -> None: ...

    def on_request(self, now: int, arrival: Request) -> None: ...

    def on_attempt_result(self, now: int, answer: AttemptResult) -> None: ...

    def on_client_cancelled(self, now: int, transfer: int) -> None: ...

    def on_timer(self, now: int, what: object) -> None: ...

    def on_quota_share(
        self, now: int, what: str, id: int, share: float | None, ends: int, after: float
    ) -> None:
        """Another part than the even one of a whole: `limit` or `reserve` of a volume, `cold` budget of a node; `share` until
        `ends`, then `after`; a share of None is the even part again.
        """

    def on_health_advice(
        self, now: int, id: int, strain: float, away: bool, until: int
    ) -> None:
        """What other gateways make of a node, in shortest target times of strain; `away`: this one better sends it nothing. It
        ends at `until` where it is not said again; nothing that is safe rests on it.
        """

    def dispatch_pending(self, now: int) -> None: ...
