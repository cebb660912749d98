"""The operator's file as the module's facts and the edge's atlas. Nothing is decided or tuned here.

Spans that must not be passed are rounded down, those that must have passed are rounded up, to whole tenths of a
millisecond, so that rounding never breaks a deadline.
"""

from __future__ import annotations

from math import ceil
from typing import Any

from milletsill.node_connections.connection_state import PoolLimits
from milletsill.sftp_gateway.routing import Atlas, RouteRule, VolumePlace, pick_facts


def at_most(ms: float) -> int:
    return max(int(ms * 10), 0)


def at_least(ms: float) -> int:
    return ceil(ms * 10)


def category_of(given: Any) -> dict[str, Any]:
    return {
        "name": given.name,
        "target_time": at_most(given.target_ms),
        "stretch": 0.0,
        "patience": at_most(given.patience_ms),
        "utility": given.utility,
        "late_utility": given.late_utility,
        "streams": False,
        "repeats": given.repeats,
        "group": given.group,
        "repeat_window": at_most(given.repeat_window_ms),
        "in_order": given.in_order,
    }


def plan_of(given: Any) -> dict[str, Any]:
    return {
        "usual_rate": given.usual_rate,
        "reserve_rate": given.reserve_rate,
        "weight": given.weight,
        "price": given.price,
        "limit_rate": given.limit_rate,
        "limit_store": given.limit_store,
        "limit_slack": given.limit_slack,
    }


def facts_of(file: Any) -> dict[str, Any]:
    """The facts of one gateway's file; shapes and units as interface.py has them."""
    rules, reports = file.rules, list(file.reports.field)
    return pick_facts(
        gateways=file.gateways,
        index=None,
        tick=max(at_least(rules.tick_ms), 1),
        zone=file.zone,
        categories=[category_of(each) for each in file.category],
        plans=[plan_of(each) for each in file.plan],
        writes=[place for place, each in enumerate(file.category) if each.write],
        share_utility=rules.share_utility,
        spare_utility=rules.spare_utility,
        unit_mean=rules.unit_mean,
        largest_units=rules.largest_units,
        cold_units=rules.cold_units,
        cells=max((cell for each in file.volume for cell in each.cell), default=0) + 1,
        may_cancel=rules.may_cancel,
        may_copy=rules.may_copy,
        most_dispatches=rules.most_dispatches,
        most_held=file.door.most_held,
        pause_told=rules.longest_pause_ms > 0,
        longest_pause=at_most(rules.longest_pause_ms),
        list_on_request=True,
        report_fields=reports,
        ask_within=at_most(rules.ask_within_ms),
        cold_from=rules.cold_from,
        warm_after=at_least(rules.warm_after_s * 1000),
        cold_multiple=rules.cold_multiple,
        cold_window=at_least(rules.cold_window_ms),
        further_free=rules.further_free,
        further_ratio=rules.further_ratio,
        further_window=at_least(rules.further_window_ms)
        if rules.HasField("further_window_ms")
        else None,
        key_rest=at_least(rules.key_rest_ms),
        sized=True,
        cross_fee=0.0,
        dial=at_least(file.links.dial_ms),
    )


def atlas_of(file: Any) -> Atlas:
    """The map from commands to transfers."""
    plans = {each.name: place for place, each in enumerate(file.plan)}
    categories = {each.name: place for place, each in enumerate(file.category)}
    volumes = [
        VolumePlace(
            place + 1,
            each.name,
            each.root,
            plans[each.plan],
            tuple(each.cell),
            each.gateways or file.gateways,
            each.placement,
        )
        for place, each in enumerate(file.volume)
    ]
    routes = [
        RouteRule(
            frozenset(each.operation),
            each.volume,
            each.least_bytes,
            categories[each.category],
        )
        for each in file.route
    ]
    return Atlas(
        volumes,
        routes,
        file.rules.unit_bytes,
        file.rules.largest_units,
        file.rules.extent_bytes,
        file.rules.meta_units,
    )


def bounds_of(file: Any) -> PoolLimits:
    """The bounds of every pool of links."""
    links = file.links
    return PoolLimits(
        links.connections,
        links.streams,
        links.handshakes,
        at_least(links.dial_ms),
        at_least(links.idle_s * 1000),
        at_least(links.silent_ms),
    )
