"""The platform's settings as the module's facts: one map for the bench's adapter and for the gateway in service.

Standard library only; nothing is decided here. Spans that must not be passed are rounded down, those that must have
passed are rounded up, to whole tenths of a millisecond, so that rounding never breaks a deadline.
"""
from __future__ import annotations

from typing import Any, Mapping

UNIT = 100_000  # nanoseconds in a tenth of a millisecond
# The settings' words for a report's fields, and those of the header that carries one, under our names.
REPORTS = {"concurrent": "inflight", "depth": "queue", "load_share": "busy", "mean_ms": "service_ms",
           "tps": "rate", "err_ps": "errors", "inflight": "inflight", "queue": "queue", "util": "busy",
           "latency_ms": "service_ms", "qps": "rate", "eps": "errors"}
REPEATS = {"free": "rerunnable", "guarded": "ticketed", "single_shot": "exclusive"}


def at_most(ns: float) -> int:
    """A span that must not be passed: rounded down, less one for the clock's own rounding."""
    return max(int(ns) // UNIT - 1, 0)


def at_least(ns: float) -> int:
    """A span that must have passed: rounded up, and one more for the clock's own rounding."""
    return -(-int(ns) // UNIT) + 1 if ns else 0


def category_of(given: Mapping[str, Any]) -> dict[str, Any]:
    """A category in our words."""
    return {"name": given.get("name", ""), "target_time": int(given.get("aim_ns", 0)) // UNIT,
            "patience": int(given.get("hard_limit_ns", 0)) // UNIT, "utility": given.get("worth", 1.0),
            "late_utility": given.get("late_value", 0.0), "streams": given.get("streaming", False),
            "repeats": REPEATS.get(given.get("idempotency", "single_shot"), "exclusive"),
            "group": given.get("group", "cell"), "repeat_window": at_most(given.get("window_ns", 0)),
            "in_order": bool(given.get("sequential", False))}


def plan_of(given: Mapping[str, Any]) -> dict[str, Any]:
    """A plan in our words."""
    return {"name": given.get("name", ""), "usual_rate": given.get("usual_rate", 0.0), "reserve_rate": given.get("guaranteed", 0.0),
            "weight": given.get("shares", 1.0), "price": given.get("pays", 1.0),
            "limit_rate": given.get("ceiling_rate", 0.0), "limit_store": given.get("most_at_once", 0.0),
            "limit_slack": given.get("cap_slack", 0.0)}


def facts_of(given: Any) -> dict[str, Any]:
    """The settings under our names and in our units; names that are not known are passed over. ValueError where they
    are of no use."""
    if not isinstance(given, dict):
        raise ValueError("not a JSON object")
    try:
        return gathered(given)
    except (TypeError, AttributeError, KeyError, OverflowError) as error:
        raise ValueError(f"a value of the wrong kind: {error}") from None


def gathered(given: Mapping[str, Any]) -> dict[str, Any]:
    """Each fact from its place in the settings."""
    extra, limits, rules = (given.get(name) or {} for name in ("extra", "limits", "rules"))
    report, fees = given.get("report") or {}, given.get("fees") or {}
    budget = rules.get("resend_span_ns")
    index = given.get("self_index")
    return {
        "gateways": max(int(given.get("peers_total", 1)), 1), "index": None if index is None else int(index),
        "tick": at_least(given.get("resolution_ns", 0)),
        "zone": given.get("zone", 0), "categories": [category_of(each) for each in given.get("classes", [])],
        "plans": [plan_of(each) for each in given.get("plans", [])], "writes": extra.get("writes", []),
        "meter": int(extra.get("meter_ns", 0)) // UNIT, "share_utility": extra.get("fair_worth", 0.0),
        "spare_utility": extra.get("spare_worth", 0.0), "unit_mean": extra.get("unit_mean", 1.0) or 1.0,
        "largest_units": extra.get("largest", 1), "cold_units": extra.get("cold_bears", 0.0),
        "cells": extra.get("slots_total", 0), "tells_elsewhere": extra.get("tells_elsewhere", False),
        "may_probe": limits.get("may_probe", False), "may_cancel": limits.get("cancel", False),
        "may_copy": limits.get("second_copies", False), "most_dispatches": limits.get("max_attempts", 1),
        "most_held": limits.get("most_held", 0), "pause_told": limits.get("retry_after", False),
        "longest_pause": int(limits.get("max_retry_after_ns", 0)) // UNIT,
        "list_on_request": given.get("membership_mode") != "pushed",
        "report_fields": [REPORTS.get(name, name) for name in report.get("fields", [])],
        "report_by": report.get("via", "silent"), "waste_fee": fees.get("waste", 0.0),
        "probe_fee": fees.get("probe", 0.0), "list_fee": fees.get("membership_mode", 0.0),
        "drain_grace": at_most(rules.get("stop_sending_within_ns", 0)),
        "ask_within": at_most(rules.get("ask_within_ns", 0)), "cold_from": rules.get("cold_from", 0.0),
        "warm_after": at_least(rules.get("warm_after_ns", 0)),
        "cold_multiple": rules.get("fall_multiple", 0.0), "cold_window": at_least(rules.get("fall_ns", 0)),
        "further_free": rules.get("extra_free", 0), "further_ratio": rules.get("further_ratio", 0.0),
        "further_window": None if budget is None else int(budget) // UNIT,
        "key_rest": at_least(rules.get("order_settle_ns", 0)),
        "link_idle": at_most(limits.get("conn_idle_ns", 0)), "dial": at_most(limits.get("dial_timeout_ns", 0)),
        "zones": list(given.get("zones") or ()),
    }
