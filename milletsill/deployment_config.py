"""The typed configuration of one gateway, and the codec for its stored form.

A configuration is made from the deployment's settings (`deployment_settings`) or from
the operator's file of the SFTP gateway, and is handed to the scheduler as it is. All
spans are whole tenths of a millisecond, all rates are units a second, all sizes are
units.

Trace files store a configuration as JSON under the names of the operators' pages.
`to_stored` and `from_stored` are the one place where those names and ours both stand.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any


class RetrySafety(Enum):
    """Whether a request may be sent again once it may have been executed."""

    IDEMPOTENT = "rerunnable"
    IDEMPOTENCY_KEYED = "ticketed"
    NON_IDEMPOTENT = "exclusive"


class RetryScope(Enum):
    """At which nodes a request with an idempotency key may be retried."""

    NODE = "node"
    SHARD = "cell"
    ZONE = "zone"
    ALL = "all"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClassConfig:
    """What all requests of one class have in common.

    Attributes:
        name: the class's name in settings and request headers.
        latency_objective: the span within which an answer has its full worth.
        objective_stretch: grows the objective by this many usual times of the work.
        client_timeout: how long a client waits from its first try.
        priority_weight: the worth of a unit that is answered within the objective.
        late_weight: the worth of a unit that is answered later; 0: none.
        is_streaming: whether the response streams.
        retry_safety: whether a request that may have been executed may go again.
        retry_scope: at which nodes an idempotency-keyed request may go again.
        retry_window: for how long after its first attempt it may.
        is_ordered: whether requests of one key are executed in their order.
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
    """What a tenant has paid for.

    Attributes:
        name: the plan's name in settings; None where requests name it by place alone.
        usual_rate: what a tenant uses as a rule.
        reserved_rate: what a tenant is guaranteed; 0: nothing.
        share_weight: the weight of a tenant in what is left beyond reserves.
        price: multiplies the priority weight of a request.
        limit_rate: the rate that a tenant must not pass; 0: no limit.
        limit_burst: the units that a tenant may use at once.
        limit_slack: the fraction by which a limit may be passed.
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
    """What one gateway has to know of its deployment.

    Attributes:
        gateway_count: how many gateways share limits and slow-start budgets.
        gateway_index: this gateway's place among them; None where it is not known.
        timer_resolution: by how much a timer may be late.
        zone: the zone that this gateway is in.
        request_classes: the classes, by the number that a request gives.
        service_plans: the plans, by the number that a request gives; at least one.
        write_classes: which classes write; flags by class from the settings, numbers of
            classes from the file of the SFTP gateway. The scheduler does not read it.
        share_weight: multiplies the weight of work beyond a tenant's reserve.
        spare_weight: the same for work beyond its share of what is spare.
        mean_request_units: the work of a usual request.
        largest_request_units: the work of the largest request; 0: not known.
        slow_start_units: what all gateways together may send a node that has just
            started in one window; 0: not known.
        shard_count: the number of shards; 0: not known.
        may_cancel_attempts: whether an attempt in flight may be cancelled.
        may_hedge: whether a request may have two attempts in flight.
        max_attempts: the most attempts of one request.
        max_queued_requests: the most requests that a gateway holds; 0: its own bound.
        sends_retry_after: whether a rejection says when to come back.
        max_retry_after: the longest time to come back that a rejection may give.
        watches_endpoints: whether the endpoint list has to be asked for.
        load_report_fields: the names of a load report's values, in their order.
        cross_zone_cost: what an attempt into another zone costs, in shortest
            objectives.
        has_nominal_sizes: whether the list's sizes tell what nodes can do.
        rewatch_within: the time within which a failed watch has to be renewed; 0: not
            known.
        slow_start_initial_fraction: the share of its capacity that a node starts with.
        slow_start_duration: the age at which a node is warm.
        slow_start_multiple: the multiple of its budget that fells a node; 0: none does.
        slow_start_window: the window over which the budget holds; 0: there is no
            budget.
        retry_budget_free: the retries that are free in each window.
        retry_budget_ratio: the retries that each request of a window allows.
        retry_budget_window: the window of the retry budget; None: no budget is stated.
        key_quarantine: how long an ordered key rests after an indeterminate outcome.
        connection_idle_timeout: how long a node connection may be idle; None: set
            elsewhere.
        dial_timeout: how long at most an attempt waits for its connection.
        zone_names: the names of the zones; None where they have none.
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


# The names in stored configurations, by ours.
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
# Fields whose None is not stored: the one who made the configuration has no such
# setting.
OMITTED_WHERE_NONE = frozenset({"name", "connection_idle_timeout", "zone_names"})


def to_stored(config: DeploymentConfig) -> dict[str, Any]:
    """The configuration as JSON values, under the names that trace files keep."""
    return _stored(config, STORED_NAMES)


def from_stored(stored: Mapping[str, Any]) -> DeploymentConfig:
    """The configuration out of a trace file's header.

    Raises:
        KeyError: a value is missing that every configuration has.
        ValueError: a word is not one of those that are known.
    """
    values = {
        name: stored[old]
        for name, old in STORED_NAMES.items()
        if old in stored or name not in OMITTED_WHERE_NONE
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
    """A request class out of its stored form; errors as in `from_stored`."""
    values = {name: stored[old] for name, old in STORED_CLASS_NAMES.items()}
    values["retry_safety"] = RetrySafety(values["retry_safety"])
    values["retry_scope"] = RetryScope(values["retry_scope"])
    return RequestClassConfig(**values)


def service_plan_from_stored(stored: Mapping[str, Any]) -> ServicePlanConfig:
    """A service plan out of its stored form; errors as in `from_stored`."""
    return ServicePlanConfig(
        **{
            name: stored[old]
            for name, old in STORED_PLAN_NAMES.items()
            if old in stored or name not in OMITTED_WHERE_NONE
        }
    )


def _stored(
    part: DeploymentConfig | RequestClassConfig | ServicePlanConfig,
    names: Mapping[str, str],
) -> dict[str, Any]:
    made: dict[str, Any] = {}
    for field in fields(part):
        value = getattr(part, field.name)
        if value is not None or field.name not in OMITTED_WHERE_NONE:
            made[names[field.name]] = _stored_value(value)
    return made


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
