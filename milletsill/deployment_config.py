"""The typed configuration of one gateway, and the codec for its stored form.

A configuration is built from the deployment's settings (`deployment_settings`) or from
the configuration file of the SFTP gateway, and is passed to the scheduler unchanged.
All durations are integers in ticks (tenths of a millisecond), all rates are in units
per second, and all sizes are in units.

Trace files store a configuration as JSON under the names of the operators'
documentation. Only this module maps those names to the names of the attributes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any


class RetrySafety(Enum):
    """Whether a request that may have been executed can be sent again."""

    IDEMPOTENT = "rerunnable"
    IDEMPOTENCY_KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class RetryScope(Enum):
    """The set of nodes at which an idempotency-keyed request may be retried."""

    NODE = "node"
    SHARD = "cell"
    ZONE = "zone"
    ALL = "all"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClassConfig:
    """The properties that all requests of one class share.

    Attributes:
        name: the class's name in settings and request headers.
        latency_objective: the time within which an answer has its full value.
        objective_stretch: extends a request's objective by this multiple of the time
            that its work usually takes.
        client_timeout: how long a client waits, counted from its first try.
        priority_weight: the value of a unit that is answered within the objective.
        late_weight: the value of a unit that is answered after it; 0 for no value.
        is_streaming: whether the response is streamed.
        retry_safety: whether a request that may have been executed can be sent again.
        retry_scope: the nodes at which an idempotency-keyed request may be retried.
        retry_window: how long after its first attempt such a request may be retried.
        is_ordered: whether requests of one key are executed in order.
    """

    name: str
    latency_objective: int
    objective_stretch: float
    client_timeout: int
    priority_weight: float
    late_weight: float
    is_streaming: bool
    retry_safety: RetrySafety
    retry_scope: RetryScope
    retry_window: int
    is_ordered: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePlanConfig:
    """The rates and limits of a tenant's service plan.

    Attributes:
        name: the plan's name in settings; None if requests give its index only.
        usual_rate: the rate that a tenant normally uses.
        reserved_rate: the rate that a tenant is guaranteed; 0 for no reserve.
        share_weight: a tenant's weight in sharing the capacity beyond all reserves.
        price: multiplies the priority weight of a request.
        limit_rate: the rate that a tenant must not exceed; 0 for no limit.
        limit_burst: the units that a tenant may use in one burst.
        limit_slack: the fraction by which a limit may be exceeded.
    """

    name: str | None = None
    usual_rate: float
    reserved_rate: float
    share_weight: float
    price: float
    limit_rate: float
    limit_burst: float
    limit_slack: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentConfig:
    """The configuration of one gateway in its deployment.

    Attributes:
        gateway_count: how many gateways share limits and slow-start budgets.
        gateway_index: this gateway's index among them; None if it is not known.
        timer_resolution: the longest time by which a timer may be late.
        zone: the number of this gateway's zone.
        request_classes: the classes, indexed by `Request.request_class`.
        service_plans: the plans, indexed by `Request.service_plan`; at least one.
        write_classes: which classes write: one flag per class if built from the
            settings, class indexes if built from the SFTP gateway's file. The scheduler
            does not read it.
        share_weight: multiplies the weight of work beyond a tenant's reserve.
        spare_weight: multiplies the weight of work beyond a tenant's share of the
            capacity that the reserves leave.
        mean_request_units: the work of an average request.
        largest_request_units: the work of the largest request; 0 if not known.
        slow_start_units: the work that all gateways together may send in one window to
            a node that has just started; 0 if not known.
        shard_count: the number of shards; 0 if not known.
        may_cancel_attempts: whether an attempt in flight may be cancelled.
        may_hedge: whether a request may have two attempts in flight.
        max_attempts: the maximum number of attempts of one request.
        max_queued_requests: the maximum number of requests that a gateway holds; 0
            leaves the bound to the gateway.
        sends_retry_after: whether a rejection carries a retry delay.
        max_retry_after: the longest retry delay that a rejection may carry.
        watches_endpoints: whether the gateway has to subscribe to the endpoint list;
            otherwise updates are pushed to it.
        load_report_fields: the names of a load report's values, in order.
        cross_zone_cost: the cost of an attempt into another zone, in multiples of the
            shortest latency objective.
        has_nominal_sizes: whether the sizes in the endpoint list give the nodes'
            nominal capacities.
        rewatch_within: the time within which a failed watch must be renewed; 0 if not
            known.
        slow_start_initial_fraction: the fraction of its capacity that a node has when
            it starts.
        slow_start_duration: the age at which a node has its full capacity.
        slow_start_multiple: the multiple of its slow-start budget that makes a node
            fail; 0 if none does.
        slow_start_window: the window of the slow-start budget; 0 for no budget.
        retry_budget_free: the retries in each window that are not charged.
        retry_budget_ratio: the retries that each request in a window adds.
        retry_budget_window: the window of the retry budget; None for no budget.
        key_quarantine: how long an ordered key is blocked after an indeterminate
            outcome.
        connection_idle_timeout: how long a node connection may be idle; None if it is
            configured elsewhere.
        dial_timeout: the longest time that an attempt waits for its connection.
        zone_names: the names of the zones; None if the zones have no names.
    """

    gateway_count: int
    gateway_index: int | None
    timer_resolution: int
    zone: int
    request_classes: tuple[RequestClassConfig, ...]
    service_plans: tuple[ServicePlanConfig, ...]
    write_classes: tuple[int, ...]
    share_weight: float
    spare_weight: float
    mean_request_units: float
    largest_request_units: float
    slow_start_units: float
    shard_count: int
    may_cancel_attempts: bool
    may_hedge: bool
    max_attempts: int
    max_queued_requests: int
    sends_retry_after: bool
    max_retry_after: int
    watches_endpoints: bool
    load_report_fields: tuple[str, ...]
    cross_zone_cost: float
    has_nominal_sizes: bool
    rewatch_within: int
    slow_start_initial_fraction: float
    slow_start_duration: int
    slow_start_multiple: float
    slow_start_window: int
    retry_budget_free: int
    retry_budget_ratio: float
    retry_budget_window: int | None
    key_quarantine: int
    connection_idle_timeout: int | None = None
    dial_timeout: int
    zone_names: tuple[str, ...] | None = None


# Attribute names to their names in stored configurations.
STORED_CLASS_NAMES = {
    "name": "name",
    "latency_objective": "target_time",
    "objective_stretch": "stretch",
    "client_timeout": "patience",
    "priority_weight": "utility",
    "late_weight": "late_utility",
    "is_streaming": "streams",
    "retry_safety": "repeats",
    "retry_scope": "group",
    "retry_window": "repeat_window",
    "is_ordered": "in_order",
}
STORED_PLAN_NAMES = {
    "name": "name",
    "usual_rate": "usual_rate",
    "reserved_rate": "reserve_rate",
    "share_weight": "weight",
    "price": "price",
    "limit_rate": "limit_rate",
    "limit_burst": "limit_store",
    "limit_slack": "limit_slack",
}
STORED_NAMES = {
    "gateway_count": "gateways",
    "gateway_index": "index",
    "timer_resolution": "tick",
    "zone": "zone",
    "request_classes": "categories",
    "service_plans": "plans",
    "write_classes": "writes",
    "share_weight": "share_utility",
    "spare_weight": "spare_utility",
    "mean_request_units": "unit_mean",
    "largest_request_units": "largest_units",
    "slow_start_units": "cold_units",
    "shard_count": "cells",
    "may_cancel_attempts": "may_cancel",
    "may_hedge": "may_copy",
    "max_attempts": "most_dispatches",
    "max_queued_requests": "most_held",
    "sends_retry_after": "pause_told",
    "max_retry_after": "longest_pause",
    "watches_endpoints": "list_on_request",
    "load_report_fields": "report_fields",
    "cross_zone_cost": "cross_fee",
    "has_nominal_sizes": "sized",
    "rewatch_within": "ask_within",
    "slow_start_initial_fraction": "cold_from",
    "slow_start_duration": "warm_after",
    "slow_start_multiple": "cold_multiple",
    "slow_start_window": "cold_window",
    "retry_budget_free": "further_free",
    "retry_budget_ratio": "further_ratio",
    "retry_budget_window": "further_window",
    "key_quarantine": "key_rest",
    "connection_idle_timeout": "link_idle",
    "dial_timeout": "dial",
    "zone_names": "zones",
}
# Attributes that are not stored if they are None: the source of the configuration has
# no such setting.
OMITTED_WHERE_NONE = frozenset({"name", "connection_idle_timeout", "zone_names"})


def to_stored(config: DeploymentConfig) -> dict[str, Any]:
    """Return the configuration as JSON values under the names of trace files."""
    return _stored(config, STORED_NAMES)


def from_stored(stored: Mapping[str, Any]) -> DeploymentConfig:
    """Return the configuration that a trace file's header stores.

    Raises:
        KeyError: a required value is missing.
        ValueError: a retry safety or a retry scope is unknown.
    """
    values = {
        name: stored[stored_name]
        for name, stored_name in STORED_NAMES.items()
        if stored_name in stored or name not in OMITTED_WHERE_NONE
    }
    values["request_classes"] = tuple(
        request_class_from_stored(each) for each in stored["categories"]
    )
    values["service_plans"] = tuple(
        service_plan_from_stored(each) for each in stored["plans"]
    )
    for name in ("write_classes", "load_report_fields", "zone_names"):
        if name in values:
            values[name] = tuple(values[name])
    return DeploymentConfig(**values)


def request_class_from_stored(stored: Mapping[str, Any]) -> RequestClassConfig:
    """Decode a stored request class; raises the errors of `from_stored`."""
    values = {
        name: stored[stored_name] for name, stored_name in STORED_CLASS_NAMES.items()
    }
    values["retry_safety"] = RetrySafety(values["retry_safety"])
    values["retry_scope"] = RetryScope(values["retry_scope"])
    return RequestClassConfig(**values)


def service_plan_from_stored(stored: Mapping[str, Any]) -> ServicePlanConfig:
    """Decode a stored service plan; raises the errors of `from_stored`."""
    return ServicePlanConfig(
        **{
            name: stored[stored_name]
            for name, stored_name in STORED_PLAN_NAMES.items()
            if stored_name in stored or name not in OMITTED_WHERE_NONE
        }
    )


def _stored(
    config: DeploymentConfig | RequestClassConfig | ServicePlanConfig,
    names: Mapping[str, str],
) -> dict[str, Any]:
    stored: dict[str, Any] = {}
    for field in fields(config):
        value = getattr(config, field.name)
        if value is not None or field.name not in OMITTED_WHERE_NONE:
            stored[names[field.name]] = _stored_value(value)
    return stored


def _stored_value(value: Any) -> Any:
    if isinstance(value, RequestClassConfig):
        return _stored(value, STORED_CLASS_NAMES)
    if isinstance(value, ServicePlanConfig):
        return _stored(value, STORED_PLAN_NAMES)
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_stored_value(each) for each in value]
    return value
