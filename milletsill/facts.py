"""The platform's settings as the module's facts: one map for the bench's adapter and for the gateway in service.

Standard library only; nothing is decided here. Spans that must not be passed are rounded down, those that must have
passed are rounded up, to whole tenths of a millisecond, so that rounding never breaks a deadline. What is left out is
off; what cannot be meant (a word for a number, one below 0, no number at all) is a ValueError that names the field.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

UNIT = 100_000  # nanoseconds in a tenth of a millisecond
MOST = float(1 << 60)
# The settings' words for a report's fields, and those of the header that carries one, under our names.
REPORTS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "busy",
    "mean_ms": "service_ms",
    "tps": "rate",
    "err_ps": "errors",
    "inflight": "inflight",
    "queue": "queue",
    "util": "busy",
    "latency_ms": "service_ms",
    "qps": "rate",
    "eps": "errors",
}
REPEATS = {"free": "rerunnable", "guarded": "ticketed", "single_shot": "exclusive"}
# What the settings may hold, by part; "" is their top. Those that stand here and are not read mean nothing to a gateway.
KNOWN = {
    "": "callers classes extra family fees goal kinds limits membership_mode peers_total plans report resolution_ns rules "
    "self_index stages tier weights zone zones",
    "classes": "aim_ns aim_stretch group hard_limit_ns idempotency late_value name sequential streaming window_ns worth",
    "plans": "cap_slack ceiling_rate guaranteed most_at_once name pays shares usual_rate",
    "extra": "cold_bears fair_worth largest meter_ns slots_total spare_worth tells_elsewhere unit_mean writes",
    "fees": "connection cross_zone handshake late_fail membership_mode moves origin peer probe waste",
    "limits": "cancel conn_idle_ns cpu_us_per_request cpu_us_per_s dial_timeout_ns max_attempts max_retry_after_ns max_streams "
    "may_probe most_held peers retry_after second_copies",
    "report": "fields via",
    "rules": "answer_slack_ns ask_within_ns cold_from extra_free fall_ns fall_multiple further_ratio order_settle_ns "
    "resend_span_ns stop_sending_within_ns warm_after_ns",
}


def at_most(ns: float) -> int:
    """A span that must not be passed: rounded down, less one for the clock's own rounding."""
    return max(int(ns) // UNIT - 1, 0)


def at_least(ns: float) -> int:
    """A span that must have passed: rounded up, and one more for the clock's own rounding."""
    return -(-int(ns) // UNIT) + 1 if ns else 0


class Part:
    """One object of the settings; each value is checked where it is read. `where` leads to it."""

    def __init__(self, given: Any, where: str = "") -> None:
        if given is not None and not isinstance(given, dict):
            raise ValueError(f"{where.rstrip('.') or 'the whole'}: not a JSON object")
        self.given: Mapping[str, Any] = given or {}
        self.where = where

    def wrong(self, name: str, wanted: str) -> ValueError:
        return ValueError(
            f"{self.where}{name}: {str(self.given[name])[:40]!r} is not {wanted}"
        )

    def number(self, name: str, otherwise: float = 0.0, most: float = MOST) -> float:
        """A number from 0; an absent one is `otherwise`."""
        value = self.given.get(name)
        if value is None:
            return otherwise
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not 0 <= value <= most
        ):
            raise self.wrong(name, f"a number from 0 to {most:g}")
        return value

    def whole(self, name: str, otherwise: int = 0) -> int:
        return int(self.number(name, otherwise))

    def flag(self, name: str) -> bool:
        value = self.given.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.wrong(name, "true or false")
        return bool(value)

    def word(self, name: str, otherwise: str) -> str:
        value = self.given.get(name)
        if value is not None and not isinstance(value, str):
            raise self.wrong(name, "a word")
        return otherwise if value is None else value

    def items(self, name: str, kind: type) -> list[Any]:
        """A list of one kind of value; an absent one is empty."""
        value = self.given.get(name)
        if value is not None and not (
            isinstance(value, list) and all(isinstance(each, kind) for each in value)
        ):
            raise self.wrong(name, f"a list of {kind.__name__}")
        return list(value or ())

    def part(self, name: str) -> Part:
        return Part(self.given.get(name), f"{self.where}{name}.")

    def parts(self, name: str) -> list[Part]:
        return [
            Part(each, f"{self.where}{name}[{place}].")
            for place, each in enumerate(self.items(name, dict))
        ]


def category_of(part: Part) -> dict[str, Any]:
    """A category in our words. One that states only one of its two times has both alike."""
    target, patience = part.whole("aim_ns"), part.whole("hard_limit_ns")
    if not target and not patience:
        raise ValueError(
            f"{part.where}aim_ns: neither it nor hard_limit_ns says how long an answer may take"
        )
    return {
        "name": part.word("name", ""),
        "target_time": (target or patience) // UNIT,
        "stretch": part.number("aim_stretch"),
        "patience": (patience or target) // UNIT,
        "utility": part.number("worth", 1.0),
        "late_utility": part.number("late_value"),
        "streams": part.flag("streaming"),
        "repeats": REPEATS.get(part.word("idempotency", "single_shot"), "exclusive"),
        "group": part.word("group", "node"),
        "repeat_window": at_most(part.number("window_ns")),
        "in_order": part.flag("sequential"),
    }


def plan_of(part: Part) -> dict[str, Any]:
    """A plan in our words."""
    return {
        "name": part.word("name", ""),
        "usual_rate": part.number("usual_rate"),
        "reserve_rate": part.number("guaranteed"),
        "weight": part.number("shares", 1.0),
        "price": part.number("pays", 1.0),
        "limit_rate": part.number("ceiling_rate"),
        "limit_store": part.number("most_at_once"),
        "limit_slack": part.number("cap_slack"),
    }


def gateways_of(whole: Part) -> int:
    """How many share limits and what cold nodes bear: the one number that nothing safe can stand in for."""
    if not whole.whole("peers_total"):
        raise ValueError(
            "peers_total: missing or 0, and the parts of limits and of cold nodes' budgets rest on it"
        )
    return whole.whole("peers_total")


def facts_of(given: Any) -> dict[str, Any]:
    """The settings under our names and in our units; names that are not known are passed over. ValueError where they
    are of no use.
    """
    if not isinstance(given, dict):
        raise ValueError("not a JSON object")
    whole = Part(given)
    extra, limits, rules, report, fees = (
        whole.part(name) for name in ("extra", "limits", "rules", "report", "fees")
    )
    return {
        "gateways": gateways_of(whole),
        "index": None if given.get("self_index") is None else whole.whole("self_index"),
        "tick": at_least(whole.number("resolution_ns")),
        "zone": whole.whole("zone"),
        "categories": [category_of(each) for each in whole.parts("classes")],
        "plans": [plan_of(each) for each in whole.parts("plans")]
        or [plan_of(Part(None))],
        "writes": extra.items("writes", bool),
        "share_utility": extra.number("fair_worth"),
        "spare_utility": extra.number("spare_worth"),
        "unit_mean": extra.number("unit_mean") or 1.0,
        "largest_units": extra.number("largest"),
        "cold_units": extra.number("cold_bears"),
        "cells": extra.whole("slots_total"),
        "may_cancel": limits.flag("cancel"),
        "may_copy": limits.flag("second_copies"),
        "most_dispatches": limits.whole("max_attempts", 1),
        "most_held": limits.whole("most_held"),
        "pause_told": limits.flag("retry_after"),
        "longest_pause": limits.whole("max_retry_after_ns") // UNIT,
        "list_on_request": whole.word("membership_mode", "") != "pushed",
        "report_fields": [
            REPORTS.get(name, name) for name in report.items("fields", str)
        ],
        "cross_fee": fees.number("cross_zone"),
        "sized": whole.word("weights", "nominal") != "live",
        "ask_within": at_most(rules.number("ask_within_ns")),
        "cold_from": rules.number("cold_from", most=1.0),
        "warm_after": at_least(rules.number("warm_after_ns")),
        "cold_multiple": rules.number("fall_multiple"),
        "cold_window": at_least(rules.number("fall_ns")),
        "further_free": rules.whole("extra_free"),
        "further_ratio": rules.number("further_ratio"),
        "further_window": None
        if rules.given.get("resend_span_ns") is None
        else rules.whole("resend_span_ns") // UNIT,
        "key_rest": at_least(rules.number("order_settle_ns")),
        "link_idle": at_most(limits.number("conn_idle_ns")),
        "dial": at_most(limits.number("dial_timeout_ns")),
        "zones": whole.items("zones", str),
    }


def unknown_in(given: Mapping[str, Any]) -> list[str]:
    """Names in settings that were read and that no page tells of: a new layout's, or a slip of the pen."""
    found = [name for name in given if name not in KNOWN[""].split()]
    for part, names in KNOWN.items():
        value = given.get(part) if part else None
        for each in value if isinstance(value, list) else [value or {}]:
            found += [f"{part}.{name}" for name in each if name not in names.split()]
    return list(dict.fromkeys(found))


def missing_in(given: Mapping[str, Any], needed: Sequence[str]) -> list[str]:
    """Those of some names, each `part.name` or `name`, that settings leave out."""
    return [
        name
        for name in needed
        if (given.get(name.partition(".")[0]) or {} if "." in name else given).get(
            name.rpartition(".")[2]
        )
        in (None, [])
    ]
