"""The settings that a gateway of a case is given: a small deployment of each site.

The names of the settings and the figures are those of the pages on the protocol and
of the briefs of the sites. Only what the gateway reads is set.
"""

from __future__ import annotations

from typing import Any

MS = 1_000_000
S = 1_000 * MS

Settings = dict[str, Any]


def request_class(
    name: str, aim_ms: int, deadline_ms: int, effect: str = "free", window_ms: int = 0
) -> Settings:
    """Return the settings of one class; `effect` as in the settings."""
    return {
        "name": name,
        "aim_ns": aim_ms * MS,
        "hard_limit_ns": deadline_ms * MS,
        "worth": 2.0,
        "late_value": 0.2,
        "streaming": False,
        "idempotency": effect,
        "group": "cell" if effect == "guarded" else "all",
        "window_ns": (window_ms or 5_000) * MS,
    }


# Classes and whether they write.
LAUTOKA_CLASSES = [
    (request_class("record-read", 400, 3000), False),
    (request_class("record-write", 750, 5000, "guarded", 7500), True),
    (request_class("season-export", 1500, 5000), False),
]
WALU_CLASSES = [
    (request_class("lot-read", 300, 1500), False),
    (request_class("lot-write", 400, 3000), True),
    (request_class("day-export", 2000, 6000), False),
]
LABASA_CLASSES = [
    (request_class("lot-read", 300, 2000), False),
    (request_class("landing-write", 400, 2000), True),
    (request_class("season-export", 1500, 5000), False),
]


def settings(
    classes: list[tuple[Settings, bool]], gateways: int, shards: int, drain_ms: int
) -> Settings:
    """Return the settings of a site with these classes."""
    return {
        "peers_total": gateways,
        "self_index": 0,
        "tier": 0,
        "zone": 0,
        "zones": ["hall-a"],
        "kinds": ["small-3core"],
        "stages": ["store-fleet"],
        "family": "stores",
        "resolution_ns": 2 * MS,
        "membership_mode": "on_request",
        "weights": "nominal",
        "classes": [each for each, _ in classes],
        "plans": [
            {
                "name": "priority",
                "usual_rate": 100.0,
                "guaranteed": 100.0,
                "pays": 1.8,
                "shares": 1.0,
                "ceiling_rate": 0.0,
                "most_at_once": 0.0,
                "cap_slack": 0.0,
            }
        ],
        "extra": {
            "writes": [write for _, write in classes],
            "largest": 8,
            "slots_total": shards,
            "unit_mean": 2.0,
            "cold_bears": 27.0,
            "fair_worth": 0.4,
            "spare_worth": 0.08,
            "meter_ns": 0,
            "tells_elsewhere": False,
        },
        "limits": {
            "cancel": True,
            "second_copies": True,
            "may_probe": False,
            "peers": False,
            "max_attempts": 3,
            "retry_after": True,
            "most_held": 20_000,
            "max_retry_after_ns": 2 * S,
            "conn_idle_ns": 30 * S,
            "dial_timeout_ns": 250 * MS,
            "max_streams": 32,
        },
        "report": {"via": "piggyback", "fields": ["depth", "concurrent"]},
        "rules": {
            "answer_slack_ns": 8 * MS,
            "ask_within_ns": 10 * S,
            "cold_from": 0.18,
            "warm_after_ns": 15 * S,
            "fall_multiple": 2.5,
            "fall_ns": 1 * S,
            "stop_sending_within_ns": drain_ms * MS,
        },
    }
