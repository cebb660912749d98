"""Configurations, recorded effects and builders of scheduler state for tests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from milletsill.deployment_config import (
    DeploymentConfig,
    RequestClassConfig,
    RetrySafety,
    RetryScope,
    ServicePlanConfig,
)
from milletsill.interface import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    Readiness,
    Request,
)
from milletsill.scheduler import Scheduler
from milletsill.scheduler.records import QueuedRequest, StorageNode

SERVICE_PLAN = ServicePlanConfig(
    usual_rate=10.0,
    reserved_rate=10.0,
    share_weight=1.0,
    price=1.0,
    limit_rate=0.0,
    limit_burst=0.0,
    limit_slack=0.0,
)
REQUEST_CLASS = RequestClassConfig(
    name="",
    latency_objective=3000,
    objective_stretch=0.0,
    client_timeout=15_000,
    priority_weight=1.0,
    late_weight=0.1,
    is_streaming=False,
    retry_safety=RetrySafety.IDEMPOTENT,
    retry_scope=RetryScope.ALL,
    retry_window=20_000,
    is_ordered=False,
)
CONFIG = DeploymentConfig(
    gateway_count=2,
    gateway_index=0,
    timer_resolution=20,
    zone=0,
    request_classes=(REQUEST_CLASS,),
    service_plans=(SERVICE_PLAN,),
    write_classes=(),
    share_weight=0.3,
    spare_weight=0.0,
    mean_request_units=2.0,
    largest_request_units=8,
    slow_start_units=20.0,
    shard_count=0,
    may_cancel_attempts=True,
    may_hedge=True,
    max_attempts=3,
    max_queued_requests=0,
    sends_retry_after=True,
    max_retry_after=5000,
    watches_endpoints=True,
    load_report_fields=(),
    cross_zone_cost=0.0,
    has_nominal_sizes=True,
    rewatch_within=100_000,
    slow_start_initial_fraction=0.25,
    slow_start_duration=100_000,
    slow_start_multiple=2.0,
    slow_start_window=10_000,
    retry_budget_free=0,
    retry_budget_ratio=0.0,
    retry_budget_window=None,
    key_quarantine=3000,
    dial_timeout=0,
)


class RecordedEffects:
    """Records the calls of all effects in order, and does nothing else."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def __getattr__(self, name: str) -> Any:
        return lambda *values: self.calls.append((name, *values))

    def calls_of(self, name: str) -> list[tuple[Any, ...]]:
        """Return the arguments of each call of one effect."""
        return [call[1:] for call in self.calls if call[0] == name]


def make_scheduler(
    request_class: Mapping[str, Any] | None = None,
    plan: Mapping[str, Any] | None = None,
    **overrides: Any,
) -> tuple[Scheduler, RecordedEffects]:
    """Create a scheduler with some fields of class, plan and configuration changed."""
    effects = RecordedEffects()
    config = replace(
        CONFIG,
        request_classes=(replace(REQUEST_CLASS, **(request_class or {})),),
        service_plans=(replace(SERVICE_PLAN, **(plan or {})),),
        **overrides,
    )
    return Scheduler(config, 1, 0, effects), effects


def endpoint(
    node: int,
    shard: int = 0,
    started_at: int | None = None,
    zone: int = 0,
    readiness: Readiness = Readiness.READY,
) -> Endpoint:
    return Endpoint(node, readiness, 1.0, 0, zone, started_at, shard)


def storage_node(scheduler: Scheduler, number: int = 7, **entry: Any) -> StorageNode:
    """Add a node that is available and has answered before."""
    state = scheduler.state
    made = state.nodes[number] = StorageNode(endpoint(number, **entry), 2.0)
    state.shards.setdefault(made.shard, []).append(made)
    state.serving.append(made)
    scheduler.estimator.unit_time = 200.0
    made.latency = 400.0
    made.unit_latency = 200.0
    made.usual_unit_latency = 200.0
    made.window = 1.0
    return made


def request(
    number: int,
    key: int = 0,
    volume: int = 1,
    shard: int | None = 0,
    units: float = 2.0,
    deadline: int = 15_000,
    is_retry: bool = False,
) -> Request:
    return Request(
        number, key, volume, 1, 0, 0, is_retry, False, shard, units, deadline
    )


def queued_request(
    scheduler: Scheduler, number: int, now: int = 0, **given: Any
) -> QueuedRequest:
    """Add a request that has arrived and has no node yet."""
    scheduler.on_request(now, request(number, **given))
    return scheduler.state.requests[number]


def attempt_result(
    number: int,
    outcome: AttemptOutcome,
    attempt_number: int = 0,
    finished: bool = False,
    latency: int = 400,
) -> AttemptResult:
    return AttemptResult(
        number, attempt_number, 7, outcome, finished, latency, None, 0, {}
    )
