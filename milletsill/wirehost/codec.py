"""Frames and records of the wire, to and from plain Python values. Nothing is decided here."""
from __future__ import annotations

import json
from struct import Struct
from typing import Any, BinaryIO, Iterator, Mapping, NamedTuple

from milletsill.interface import Listed, News, Outcome, Readiness

UNIT = 100_000  # nanoseconds in a tenth of a millisecond

HEADER = Struct("<IIIQ")
REPLY = Struct("<II")
RECORD = Struct("<BI")
BORN, UPDATE, TAKEN, FLOWING, RETURNED, ABANDONED, RING, PROBED, NOTE, CRASH, ROSTER, INSTANCE = range(12)
NAMES = ("Born", "Update", "Req", "Flowing", "Returned", "Abandoned", "Ring", "Probed", "NoteFrom",
         "CrashNow", "Roster", "Instance")
# The fixed part of each event; what follows it is counted by its last field.
FIXED = {BORN: Struct("<QI"), UPDATE: Struct("<BQB"), TAKEN: Struct("<QQfHHBffQQ"), FLOWING: Struct("<QBQI"),
         RETURNED: Struct("<QHIHHBBQB"), ABANDONED: Struct("<Q"), RING: Struct("<Q"), PROBED: Struct("<IQHB"),
         NOTE: Struct("<IH"), CRASH: Struct("<"), ROSTER: Struct("<BI"), INSTANCE: Struct("<I")}
TAIL = {BORN: 1, RETURNED: 4, PROBED: 4, NOTE: 1, ROSTER: 22}
ENTRY = Struct("<IBfHBQH")

OUTCOMES = {0: Outcome.SATISFIED, 255: Outcome.ERROR, 254: Outcome.TURNED_AWAY, 253: Outcome.TIMED_OUT,
            252: Outcome.UNREACHED, 251: Outcome.RESET, 250: Outcome.CANCELLED, 249: Outcome.MOOT}
READINESS = {0: Readiness.GONE, 1: Readiness.READY, 2: Readiness.DRAINING}
NEWS = {0: News.CHANGES, 1: News.WHOLE, 2: News.CACHED, 3: News.FAILED}
REPORTS = {"concurrent": "inflight", "depth": "queue", "load_share": "busy", "mean_ms": "service_ms",
           "tps": "rate", "err_ps": "errors"}
REPEATS = {"free": "rerunnable", "guarded": "ticketed", "single_shot": "exclusive"}


class Malformed(Exception):
    """The input is not what the wire page allows."""


class Event(NamedTuple):
    """One record: its code, its fixed fields, and the counted bytes behind them."""

    code: int
    fields: tuple[Any, ...]
    tail: bytes


class Batch(NamedTuple):
    """One frame of events."""

    number: int
    clock: int
    events: list[Event]


def read_exactly(stream: BinaryIO, size: int, what: str, may_end: bool = False) -> bytes | None:
    """That many bytes; None where the input ends cleanly before the first of them."""
    data = stream.read(size)
    if may_end and not data:
        return None
    if len(data) != size:
        raise Malformed(f"input ended inside {what}: {len(data)} of {size} bytes")
    return data


def read_batch(stream: BinaryIO) -> Batch | None:
    """The next frame, or None at the end of the input."""
    head = read_exactly(stream, HEADER.size, "a batch header", may_end=True)
    if head is None:
        return None
    number, size, count, clock = HEADER.unpack(head)
    if size < HEADER.size + count * RECORD.size:
        raise Malformed(f"batch {number}: a length of {size} cannot hold {count} records")
    body = read_exactly(stream, size - HEADER.size, f"batch {number}")
    assert body is not None
    events = list(events_of(body, number))
    if len(events) != count:
        raise Malformed(f"batch {number}: {len(events)} records where the header says {count}")
    return Batch(number, clock, events)


def events_of(body: bytes, number: int) -> Iterator[Event]:
    """The records of one frame, each checked against its own length."""
    at = 0
    while at < len(body):
        if len(body) - at < RECORD.size:
            raise Malformed(f"batch {number}: {len(body) - at} bytes left over after the last record")
        code, size = RECORD.unpack_from(body, at)
        fixed = FIXED.get(code)
        if fixed is None:
            raise Malformed(f"batch {number}: unknown event code {code}")
        start = at + RECORD.size
        at = start + size
        if at > len(body) or size < fixed.size:
            raise Malformed(f"batch {number}: {NAMES[code]} cannot have a length of {size}")
        fields = fixed.unpack_from(body, start)
        counted = fields[-1] * TAIL[code] if code in TAIL else 0
        if size != fixed.size + counted:
            raise Malformed(f"batch {number}: {NAMES[code]} is {size} bytes long, not {fixed.size + counted}")
        yield Event(code, fields, body[start + fixed.size:at])


def pick(table: Mapping[int, Any], code: int, what: str) -> Any:
    """The word for a code; an unknown one is malformed input."""
    if code not in table:
        raise Malformed(f"unknown {what} {code}")
    return table[code]


def entries_of(tail: bytes) -> tuple[Listed, ...]:
    """The lines of a Roster."""
    return tuple(Listed(node, pick(READINESS, ready, "readiness"), size, kind, zone,
                        -(-since // UNIT) if since else None, cell)
                 for node, ready, size, kind, zone, since, cell in ENTRY.iter_unpack(tail))


def report_of(tail: bytes, fields: list[str]) -> dict[str, float]:
    """A load report by our names."""
    values = Struct(f"<{len(tail) // 4}f").unpack(tail)
    return dict(zip(fields, values))


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
    return {"usual_rate": given.get("usual_rate", 0.0), "reserve_rate": given.get("guaranteed", 0.0),
            "weight": given.get("shares", 1.0), "price": given.get("pays", 1.0),
            "limit_rate": given.get("ceiling_rate", 0.0), "limit_store": given.get("most_at_once", 0.0),
            "limit_slack": given.get("cap_slack", 0.0)}


def facts_of(text: bytes) -> dict[str, Any]:
    """The settings under our names and in our units; names that are not known are passed over."""
    try:
        given = json.loads(text)
    except ValueError as error:
        raise Malformed(f"the settings are not JSON: {error}") from None
    if not isinstance(given, dict):
        raise Malformed("the settings are not a JSON object")
    extra, limits, rules = (given.get(name) or {} for name in ("extra", "limits", "rules"))
    report, fees = given.get("report") or {}, given.get("fees") or {}
    budget = rules.get("resend_span_ns")
    return {
        "gateways": max(int(given.get("peers_total", 1)), 1), "tick": at_least(given.get("resolution_ns", 0)),
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
        "list_on_request": given.get("membership_mode") == "on_request",
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
    }


def action(code: int, layout: str) -> Any:
    """A packer of one kind of action, header included."""
    fields = Struct("<" + layout)
    whole = Struct("<BI" + layout)
    return lambda *values: whole.pack(code, fields.size, *values)


ATTEMPT, FAILURE, REJECT = action(0, "QIQ"), action(1, "Q"), action(2, "QQ")
SOURCE, STREAM, CALL_OFF = action(5, "I"), action(6, "B"), action(7, "QB")
PROBE, QUERY, NOTIFY = action(8, "I"), action(9, ""), action(11, "QQ")


def text_action(code: int, text: str) -> bytes:
    """A Remark (4) or an Exception (3)."""
    data = text.encode()[:60_000]
    return RECORD.pack(code, 2 + len(data)) + len(data).to_bytes(2, "little") + data


def reply_to(number: int, actions: list[bytes]) -> bytes:
    """The frame that answers a batch."""
    body = b"".join(actions)
    return REPLY.pack(number, REPLY.size + len(body)) + body
