"""Stands between a host and the decision module, both ways: what the module is told and what it does goes to a writer, in
order. Neither of them knows of it, and without it none of this is loaded.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from milletsill.deployment_config import DeploymentConfig
from milletsill.interface import (
    AttemptResult,
    Request,
    SchedulerEvents,
    Endpoint,
    EndpointUpdateKind,
    GrantedShare,
    QuotaKind,
    SchedulerEffects,
    SchedulerFactory,
)

Put = Callable[..., None]


class Taker(Protocol):
    """Takes one record and never blocks; `trace.writer.Writer` is one."""

    def put(self, name: str, at: int, *values: Any) -> None: ...


class Ring:
    """A wake with the number that the trace knows it by."""

    __slots__ = ("number", "what")

    def __init__(self, number: int, what: object) -> None:
        self.number, self.what = number, what


class Done:
    """The Port of the module: each action is recorded, then passed to the host."""

    def __init__(self, port: SchedulerEffects, put: Put, now: int) -> None:
        self.port, self.put, self.now, self.wakes = port, put, now, 0

    def send_attempt(self, request_id: int, node_id: int, timeout: int) -> None:
        self.put("dispatch", self.now, request_id, node_id, timeout)
        self.port.send_attempt(request_id, node_id, timeout)

    def reject(self, request_id: int, retry_after: int) -> None:
        self.put("declined", self.now, request_id, retry_after)
        self.port.reject(request_id, retry_after)

    def fail(self, request_id: int) -> None:
        self.put("aborted", self.now, request_id)
        self.port.fail(request_id)

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        self.put("cancelled", self.now, request_id, attempt_number)
        self.port.cancel_attempt(request_id, attempt_number)

    def watch_endpoints(self) -> None:
        self.put("watch", self.now)
        self.port.watch_endpoints()

    def fetch_endpoints(self) -> None:
        self.put("fetch", self.now)
        self.port.fetch_endpoints()

    def probe_node(self, node_id: int) -> None:
        self.put("probe", self.now, node_id)
        self.port.probe_node(node_id)

    def set_timer(self, at: int, token: object) -> None:
        self.wakes += 1
        self.put("wake", self.now, at)
        self.port.set_timer(at, Ring(self.wakes, token))

    def log(self, text: str) -> None:
        self.put("remark", self.now, text)
        self.port.log(text)


class Told:
    """The module as the host sees it: each input is recorded, then passed on. `path` is of the next arrival."""

    def __init__(
        self,
        make: SchedulerFactory,
        config: DeploymentConfig,
        seed: int,
        now: int,
        port: SchedulerEffects,
        put: Put,
        names: Sequence[str],
    ) -> None:
        self.put, self.names, self.path = put, names, ""
        self.done = Done(port, put, now)
        self.module = make(config, seed, now, self.done)

    def on_endpoints(
        self, now: int, kind: EndpointUpdateKind, endpoints: Sequence[Endpoint]
    ) -> None:
        self.done.now = now
        self.put("listed", now, kind.value, len(endpoints))
        for each in endpoints:
            self.put(
                "listing",
                now,
                each.node,
                each.readiness.value,
                each.size,
                each.kind,
                each.zone,
                each.started_at or 0,
                each.started_at is not None,
                each.shard,
            )
        self.module.on_endpoints(now, kind, endpoints)

    def on_request(self, now: int, request: Request) -> None:
        self.done.now = now
        each, names = request, self.names
        store = (
            names[each.volume - 1]
            if 0 < each.volume <= len(names)
            else str(each.volume)
        )
        self.put(
            "arrival",
            now,
            each.id,
            each.key,
            each.volume,
            store,
            each.sharing_gateways,
            each.request_class,
            each.service_plan,
            each.is_retry,
            each.is_write,
            -1 if each.shard is None else each.shard,
            each.units,
            each.deadline,
            self.path,
        )
        self.path = ""
        self.module.on_request(now, request)

    def on_attempt_result(self, now: int, result: AttemptResult) -> None:
        self.done.now = now
        self.put(
            "outcome",
            now,
            result.request_id,
            result.attempt_number,
            result.node,
            result.outcome.value,
            result.request_finished,
            result.latency,
            -1 if result.volume_usage is None else result.volume_usage,
            result.units_elsewhere,
            json.dumps(result.load_report, sort_keys=True)
            if result.load_report
            else "",
        )
        self.module.on_attempt_result(now, result)

    def on_client_cancelled(self, now: int, request_id: int) -> None:
        self.done.now = now
        self.put("abandoned", now, request_id)
        self.module.on_client_cancelled(now, request_id)

    def on_timer(self, now: int, token: Any) -> None:
        self.done.now = now
        self.put("woken", now, token.number)
        self.module.on_timer(now, token.what)

    def on_quota_share(
        self, now: int, kind: QuotaKind, id: int, granted: GrantedShare
    ) -> None:
        self.done.now = now
        share = -1.0 if granted.share is None else granted.share
        self.put(
            "part",
            now,
            kind.value,
            id,
            share,
            granted.expires_at,
            granted.fallback_share,
        )
        self.module.on_quota_share(now, kind, id, granted)

    def on_health_advice(
        self, now: int, node_id: int, load_factor: float, avoid: bool, expires_at: int
    ) -> None:
        self.done.now = now
        self.put("advised", now, node_id, load_factor, int(avoid), expires_at)
        self.module.on_health_advice(now, node_id, load_factor, avoid, expires_at)

    def dispatch_pending(self, now: int) -> None:
        self.done.now = now
        self.put("settled", now)
        self.module.dispatch_pending(now)


class Recorder:
    """One instance's record. `names` are the stores' by number, from 1; `make` is given to the host in the module's place."""

    def __init__(self, writer: Taker, names: Sequence[str]) -> None:
        self.writer, self.names = writer, names
        self.told: Told | None = None
        self.made = 0  # when the module was: part of what a replay needs

    def around(self, make: SchedulerFactory) -> SchedulerFactory:
        """The same module with its record."""

        def made(
            config: DeploymentConfig, seed: int, now: int, port: SchedulerEffects
        ) -> SchedulerEvents:
            self.made = now
            self.told = Told(make, config, seed, now, port, self.writer.put, self.names)
            return self.told

        return made

    def path(self, path: str) -> None:
        """What the next arrival is about."""
        if self.told is not None:
            self.told.path = path

    def command(
        self,
        now: int,
        began: int,
        store: str,
        plan: int,
        category: int,
        operation: str,
        units: float,
        legs: int,
        tries: int,
        final: str,
        why: str,
    ) -> None:
        """What a client asked for, with its answer."""
        self.writer.put(
            "command",
            now,
            began,
            now - began,
            store,
            plan,
            category,
            operation,
            units,
            legs,
            tries,
            final,
            why,
        )
