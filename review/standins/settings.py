"""Settings of a small deployment, with figures from the ranges of the briefs."""

from __future__ import annotations

from typing import Any

MILLISECOND = 1_000_000
SECOND = 1_000_000_000


def request_class(
    name: str, aim_ms: int, patience_ms: int, **changed: Any
) -> dict[str, Any]:
    """Return a class whose requests may run again, unless `changed` says otherwise."""
    return {
        "name": name,
        "aim_ns": aim_ms * MILLISECOND,
        "hard_limit_ns": patience_ms * MILLISECOND,
        "worth": 2.0,
        "late_value": 0.2,
        "idempotency": "free",
        "group": "all",
        "window_ns": 7500 * MILLISECOND,
        "streaming": False,
    } | changed


def labasa_depot_later() -> dict[str, Any]:
    """Return settings of labasa-depot-later."""
    return _settings(
        classes=[
            request_class("lot-read", 300, 2000),
            request_class("landing-write", 400, 2000),
            request_class("season-export", 1500, 5000, worth=1.0),
        ],
        rooms=["room-1", "room-2", "room-3"],
        drain_grace_ms=250,
        fall_multiple=3.0,
    ) | {"report": {"fields": ["depth", "load_share"], "via": "piggyback"}}


def lautoka_wharf() -> dict[str, Any]:
    """Return settings of lautoka-wharf."""
    return _settings(
        classes=[
            request_class("record-read", 400, 3000),
            request_class(
                "record-write", 750, 5000, idempotency="guarded", group="cell"
            ),
            request_class("season-export", 1500, 5000, worth=1.0),
        ],
        rooms=["vitogo-parade"],
        drain_grace_ms=1000,
        fall_multiple=2.5,
    ) | {"report": {"fields": ["depth", "concurrent"], "via": "piggyback"}}


def _settings(
    classes: list[dict[str, Any]],
    rooms: list[str],
    drain_grace_ms: int,
    fall_multiple: float,
) -> dict[str, Any]:
    return {
        "peers_total": 3,
        "self_index": 0,
        "resolution_ns": 2 * MILLISECOND,
        "membership_mode": "on_request",
        "weights": "nominal",
        "zone": 0,
        "zones": rooms,
        "kinds": ["full-speed"],
        "classes": classes,
        "plans": [
            _plan("basic", 40.0, 30.0, 0.8),
            _plan("standard", 60.0, 72.0, 1.0),
            _plan("priority", 160.0, 128.0, 1.8),
        ],
        "extra": {
            "writes": [False, True, False],
            "largest": 8,
            "slots_total": 3,
            "unit_mean": 2.1,
            "cold_bears": 40.0,
            "fair_worth": 0.35,
            "spare_worth": 0.08,
            "meter_ns": 2 * SECOND,
            "tells_elsewhere": False,
        },
        "limits": {
            "cancel": True,
            "conn_idle_ns": 30 * SECOND,
            "dial_timeout_ns": 250 * MILLISECOND,
            "max_attempts": 3,
            "max_retry_after_ns": SECOND,
            "max_streams": 32,
            "may_probe": False,
            "most_held": 4096,
            "peers": False,
            "retry_after": True,
            "second_copies": True,
        },
        "rules": {
            "answer_slack_ns": 8 * MILLISECOND,
            "ask_within_ns": 10 * SECOND,
            "stop_sending_within_ns": drain_grace_ms * MILLISECOND,
            "cold_from": 0.2,
            "fall_multiple": fall_multiple,
            "fall_ns": SECOND,
            "warm_after_ns": 15 * SECOND,
        },
        "callers": {"marks_retry": True},
    }


def _plan(name: str, usual: float, reserved: float, pays: float) -> dict[str, Any]:
    return {
        "name": name,
        "usual_rate": usual,
        "guaranteed": reserved,
        "shares": 1.0,
        "pays": pays,
        "ceiling_rate": 0.0,
        "most_at_once": 0.0,
        "cap_slack": 0.0,
    }
