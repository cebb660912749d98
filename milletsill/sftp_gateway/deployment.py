"""Converts the gateway's file to the scheduler's configuration and the routing table.

Durations become ticks of a tenth of a millisecond. Upper limits are rounded down and
minimum waiting times are rounded up, so that rounding never breaks a deadline.
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


def ticks_rounded_down(ms: float) -> int:
    """Convert an upper limit from milliseconds to ticks, rounding down."""
    return max(int(ms * 10), 0)


def ticks_rounded_up(ms: float) -> int:
    """Convert a minimum waiting time from milliseconds to ticks, rounding up."""
    return ceil(ms * 10)


def request_class_of(given: Any) -> RequestClassConfig:
    """Return the configuration of a request class of the file."""
    return RequestClassConfig(
        name=given.name,
        latency_objective=ticks_rounded_down(given.target_ms),
        objective_stretch=0.0,
        client_timeout=ticks_rounded_down(given.patience_ms),
        priority_weight=given.utility,
        late_weight=given.late_utility,
        is_streaming=False,
        retry_safety=RetrySafety(given.repeats),
        retry_scope=RetryScope(given.group),
        retry_window=ticks_rounded_down(given.repeat_window_ms),
        is_ordered=given.in_order,
    )


def service_plan_of(given: Any) -> ServicePlanConfig:
    """Return the configuration of a service plan of the file.

    Volumes refer to a plan by its index, so its name is not needed.
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
    """Return the deployment configuration in a gateway's file."""
    rules = file.rules
    shards = (shard for each in file.volume for shard in each.cell)
    return DeploymentConfig(
        gateway_count=file.gateways,
        gateway_index=None,
        timer_resolution=max(ticks_rounded_up(rules.tick_ms), 1),
        zone=file.zone,
        request_classes=tuple(request_class_of(each) for each in file.category),
        service_plans=tuple(service_plan_of(each) for each in file.plan),
        write_classes=tuple(
            index for index, each in enumerate(file.category) if each.write
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
        max_retry_after=ticks_rounded_down(rules.longest_pause_ms),
        watches_endpoints=True,
        load_report_fields=tuple(file.reports.field),
        cross_zone_cost=0.0,
        has_nominal_sizes=True,
        rewatch_within=ticks_rounded_down(rules.ask_within_ms),
        slow_start_initial_fraction=rules.cold_from,
        slow_start_duration=ticks_rounded_up(rules.warm_after_s * 1000),
        slow_start_multiple=rules.cold_multiple,
        slow_start_window=ticks_rounded_up(rules.cold_window_ms),
        retry_budget_free=rules.further_free,
        retry_budget_ratio=rules.further_ratio,
        retry_budget_window=ticks_rounded_up(rules.further_window_ms)
        if rules.HasField("further_window_ms")
        else None,
        key_quarantine=ticks_rounded_up(rules.key_rest_ms),
        dial_timeout=ticks_rounded_up(file.links.dial_ms),
    )


def routing_table_of(file: Any) -> RoutingTable:
    """Return the routing table of a gateway's file."""
    plans = {each.name: index for index, each in enumerate(file.plan)}
    request_classes = {each.name: index for index, each in enumerate(file.category)}
    volumes = [
        RoutedVolume(
            number=index + 1,
            name=each.name,
            root=each.root,
            plan=plans[each.plan],
            shards=tuple(each.cell),
            sharing_gateways=each.gateways or file.gateways,
            placement=each.placement,
        )
        for index, each in enumerate(file.volume)
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
    """Return the limits of each pool of node connections."""
    links = file.links
    return PoolLimits(
        max_connections=links.connections,
        attempts_per_connection=links.streams,
        max_handshakes=links.handshakes,
        dial_timeout=ticks_rounded_up(links.dial_ms),
        idle_timeout=ticks_rounded_up(links.idle_s * 1000),
        silence_timeout=ticks_rounded_up(links.silent_ms),
    )
