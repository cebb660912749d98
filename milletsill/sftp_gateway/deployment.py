"""The operator's file as the scheduler's configuration and the routing table.

Nothing is decided or tuned here.

Spans that must not be passed are rounded down, those that must have passed are rounded
up, to whole tenths of a millisecond, so that rounding never breaks a deadline.
"""

from __future__ import annotations

from math import ceil
from typing import Any

from milletsill.deployment_config import (
    DeploymentConfig,
    RequestClassConfig,
    RetrySafety,
    RetryScope,
    ServicePlanConfig,
)
from milletsill.node_connections.connection_state import PoolLimits
from milletsill.sftp_gateway.routing_table import (
    RequestSizing,
    RoutedVolume,
    RouteRule,
    RoutingTable,
)


def at_most(ms: float) -> int:
    """Return milliseconds that must not be passed as tenths, rounded down."""
    return max(int(ms * 10), 0)


def at_least(ms: float) -> int:
    """Return milliseconds that must have passed as tenths, rounded up."""
    return ceil(ms * 10)


def request_class_of(given: Any) -> RequestClassConfig:
    """Return one request class of the file."""
    return RequestClassConfig(
        name=given.name,
        latency_objective=at_most(given.target_ms),
        objective_stretch=0.0,
        client_timeout=at_most(given.patience_ms),
        priority_weight=given.utility,
        late_weight=given.late_utility,
        is_streaming=False,
        retry_safety=RetrySafety(given.repeats),
        retry_scope=RetryScope(given.group),
        retry_window=at_most(given.repeat_window_ms),
        is_ordered=given.in_order,
    )


def service_plan_of(given: Any) -> ServicePlanConfig:
    """Return one service plan of the file.

    Volumes name it by place, so its name is not kept.
    """
    return ServicePlanConfig(
        usual_rate=given.usual_rate,
        reserved_rate=given.reserve_rate,
        share_weight=given.weight,
        price=given.price,
        limit_rate=given.limit_rate,
        limit_burst=given.limit_store,
        limit_slack=given.limit_slack,
    )


def config_of(file: Any) -> DeploymentConfig:
    """Return the configuration of one gateway's file."""
    rules = file.rules
    shards = (shard for each in file.volume for shard in each.cell)
    return DeploymentConfig(
        gateway_count=file.gateways,
        gateway_index=None,
        timer_resolution=max(at_least(rules.tick_ms), 1),
        zone=file.zone,
        request_classes=tuple(request_class_of(each) for each in file.category),
        service_plans=tuple(service_plan_of(each) for each in file.plan),
        write_classes=tuple(
            place for place, each in enumerate(file.category) if each.write
        ),
        share_weight=rules.share_utility,
        spare_weight=rules.spare_utility,
        mean_request_units=rules.unit_mean,
        largest_request_units=rules.largest_units,
        slow_start_units=rules.cold_units,
        shard_count=max(shards, default=0) + 1,
        may_cancel_attempts=rules.may_cancel,
        may_hedge=rules.may_copy,
        max_attempts=rules.most_dispatches,
        max_queued_requests=file.door.most_held,
        sends_retry_after=rules.longest_pause_ms > 0,
        max_retry_after=at_most(rules.longest_pause_ms),
        watches_endpoints=True,
        load_report_fields=tuple(file.reports.field),
        cross_zone_cost=0.0,
        has_nominal_sizes=True,
        rewatch_within=at_most(rules.ask_within_ms),
        slow_start_initial_fraction=rules.cold_from,
        slow_start_duration=at_least(rules.warm_after_s * 1000),
        slow_start_multiple=rules.cold_multiple,
        slow_start_window=at_least(rules.cold_window_ms),
        retry_budget_free=rules.further_free,
        retry_budget_ratio=rules.further_ratio,
        retry_budget_window=at_least(rules.further_window_ms)
        if rules.HasField("further_window_ms")
        else None,
        key_quarantine=at_least(rules.key_rest_ms),
        dial_timeout=at_least(file.links.dial_ms),
    )


def routing_table_of(file: Any) -> RoutingTable:
    """Return the map from commands to requests."""
    plans = {each.name: place for place, each in enumerate(file.plan)}
    request_classes = {each.name: place for place, each in enumerate(file.category)}
    volumes = [
        RoutedVolume(
            number=place + 1,
            name=each.name,
            root=each.root,
            plan=plans[each.plan],
            shards=tuple(each.cell),
            sharing_gateways=each.gateways or file.gateways,
            placement=each.placement,
        )
        for place, each in enumerate(file.volume)
    ]
    routes = [
        RouteRule(
            operations=frozenset(each.operation),
            volume=each.volume,
            min_bytes=each.least_bytes,
            request_class=request_classes[each.category],
        )
        for each in file.route
    ]
    sizing = RequestSizing(
        unit_bytes=file.rules.unit_bytes,
        max_units=file.rules.largest_units,
        key_bytes=file.rules.extent_bytes,
        metadata_units=file.rules.meta_units,
    )
    return RoutingTable(volumes, routes, sizing)


def pool_limits_of(file: Any) -> PoolLimits:
    """Return the limits of every pool of node connections."""
    links = file.links
    return PoolLimits(
        max_connections=links.connections,
        attempts_per_connection=links.streams,
        max_handshakes=links.handshakes,
        dial_timeout=at_least(links.dial_ms),
        idle_timeout=at_least(links.idle_s * 1000),
        silence_timeout=at_least(links.silent_ms),
    )
