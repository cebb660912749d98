"""Wraps a scheduler to record its events and effects in the order they happen.

`TracedScheduler` passes events from the host to the scheduler, `TracedEffects` passes
effects from the scheduler to the host; each records them first. Host and scheduler are
unaware of both. All times are whole tenths of a millisecond of the gateway's clock.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Protocol, cast

from milletsill.interface import (
    AttemptResult,
    Endpoint,
    EndpointUpdateKind,
    GrantedShare,
    QuotaKind,
    Request,
    SchedulerEffects,
    SchedulerEvents,
)

# Integer and float columns have no null; these values stand for an absent value.
NEW_OBJECT_SHARD = -1
UNKNOWN_USAGE = -1
EVEN_SHARE = -1.0


class PutRecord(Protocol):
    """Takes one record: its kind's name, its time, and the values of its fields."""

    def __call__(self, name: str, at: int, *values: object) -> None:
        """Take the record without blocking."""


class TracedTimer:
    """A timer's token together with the timer's number in the trace."""

    __slots__ = ("number", "token")

    def __init__(self, number: int, token: object) -> None:
        self.number = number
        self.token = token


class TracedEffects:
    """Records each effect of a scheduler, then passes it to the host."""

    def __init__(self, effects: SchedulerEffects, put: PutRecord, now: int) -> None:
        self.effects = effects
        self.put = put
        self.now = now
        self.timers_set = 0

    def send_attempt(self, request_id: int, node_id: int, timeout: int) -> None:
        """Record a `dispatch` and send the attempt."""
        self.put("dispatch", self.now, request_id, node_id, timeout)
        self.effects.send_attempt(request_id, node_id, timeout)

    def reject(self, request_id: int, retry_after: int) -> None:
        """Record `declined` and reject the request."""
        self.put("declined", self.now, request_id, retry_after)
        self.effects.reject(request_id, retry_after)

    def fail(self, request_id: int) -> None:
        """Record `aborted` and fail the request."""
        self.put("aborted", self.now, request_id)
        self.effects.fail(request_id)

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Record `cancelled` and cancel the attempt."""
        self.put("cancelled", self.now, request_id, attempt_number)
        self.effects.cancel_attempt(request_id, attempt_number)

    def watch_endpoints(self) -> None:
        """Record `watch` and request the endpoint list and its changes."""
        self.put("watch", self.now)
        self.effects.watch_endpoints()

    def fetch_endpoints(self) -> None:
        """Record `fetch` and request the endpoint list once."""
        self.put("fetch", self.now)
        self.effects.fetch_endpoints()

    def probe_node(self, node_id: int) -> None:
        """Record `probe` and probe the node."""
        self.put("probe", self.now, node_id)
        self.effects.probe_node(node_id)

    def set_timer(self, at: int, token: object) -> None:
        """Record `wake` and set a timer that carries its number."""
        self.timers_set += 1
        self.put("wake", self.now, at)
        self.effects.set_timer(at, TracedTimer(self.timers_set, token))

    def log(self, text: str) -> None:
        """Record `remark` and log the text."""
        self.put("remark", self.now, text)
        self.effects.log(text)


class TracedScheduler:
    """Records each event of a scheduler, then passes it to the scheduler.

    Attributes:
        effects: the recorded effects of the scheduler.
        next_path: the path to record with the next request; empty if unknown.
    """

    def __init__(
        self,
        scheduler: SchedulerEvents,
        effects: TracedEffects,
        volume_names: Sequence[str],
    ) -> None:
        self.scheduler = scheduler
        self.effects = effects
        self.put = effects.put
        self.volume_names = volume_names
        self.next_path = ""

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        """Record `listed` and a `listing` for each endpoint."""
        self.effects.now = now
        self.put("listed", now, kind.value, len(endpoints))
        for endpoint in endpoints:
            self.put(
                "listing",
                now,
                endpoint.node,
                endpoint.readiness.value,
                endpoint.size,
                endpoint.kind,
                endpoint.zone,
                endpoint.started_at or 0,
                endpoint.started_at is not None,
                endpoint.shard,
            )
        self.scheduler.on_endpoints(now, kind, endpoints)

    def on_request(self, now: int, request: Request) -> None:
        """Record an `arrival`."""
        self.effects.now = now
        self.put(
            "arrival",
            now,
            request.id,
            request.key,
            request.volume,
            self.volume_name(request.volume),
            request.sharing_gateways,
            request.request_class,
            request.service_plan,
            request.is_retry,
            request.is_write,
            NEW_OBJECT_SHARD if request.shard is None else request.shard,
            request.units,
            request.deadline,
            self.next_path,
        )
        self.next_path = ""
        self.scheduler.on_request(now, request)

    def volume_name(self, number: int) -> str:
        """Return a volume's name, or its number as text if it has no name."""
        if 0 < number <= len(self.volume_names):
            return self.volume_names[number - 1]
        return str(number)

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        """Record an `outcome`."""
        self.effects.now = now
        usage = result.volume_usage
        report = result.load_report
        self.put(
            "outcome",
            now,
            result.request_id,
            result.attempt_number,
            result.node,
            result.outcome.value,
            result.request_finished,
            result.latency,
            UNKNOWN_USAGE if usage is None else usage,
            result.units_elsewhere,
            json.dumps(report, sort_keys=True) if report else "",
        )
        self.scheduler.on_attempt_result(now, result)

    def on_client_cancelled(self, now: int, request_id: int) -> None:
        """Record `abandoned`."""
        self.effects.now = now
        self.put("abandoned", now, request_id)
        self.scheduler.on_client_cancelled(now, request_id)

    def on_timer(self, now: int, token: object) -> None:
        """Record `woken` and pass the scheduler its own token."""
        self.effects.now = now
        timer = cast(TracedTimer, token)
        self.put("woken", now, timer.number)
        self.scheduler.on_timer(now, timer.token)

    def on_quota_share(
        self, now: int, kind: QuotaKind, id: int, granted: GrantedShare
    ) -> None:
        """Record a `part`."""
        self.effects.now = now
        share = EVEN_SHARE if granted.share is None else granted.share
        self.put(
            "part",
            now,
            kind.value,
            id,
            share,
            granted.expires_at,
            granted.fallback_share,
        )
        self.scheduler.on_quota_share(now, kind, id, granted)

    def on_health_advice(
        self, now: int, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        """Record `advised`."""
        self.effects.now = now
        self.put("advised", now, node_id, load_factor, int(avoid), expires_at)
        self.scheduler.on_health_advice(now, node_id, load_factor, avoid, expires_at)

    def dispatch_pending(self, now: int) -> None:
        """Record `settled`."""
        self.effects.now = now
        self.put("settled", now)
        self.scheduler.dispatch_pending(now)
