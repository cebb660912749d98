"""Settings of a small deployment, and schedulers that are built from them."""

from milletsill.deployment_settings import config_from_settings
from milletsill.interface import Request
from milletsill.scheduler import Scheduler
from tests.support.scheduler_builders import RecordedEffects

SECOND = 1_000_000_000


def settings(**parts):
    """Return the settings of a small deployment.

    Each keyword replaces a setting, or updates it if both are dicts; None removes it.
    """
    base = {
        "peers_total": 4,
        "self_index": 0,
        "resolution_ns": 2_000_000,
        "membership_mode": "pushed",
        "weights": "nominal",
        "zone": 0,
        "zones": ["a", "b"],
        "classes": [
            {
                "name": "read",
                "aim_ns": SECOND // 2,
                "hard_limit_ns": 2 * SECOND,
                "worth": 1.0,
                "idempotency": "free",
                "group": "all",
            }
        ],
        "plans": [{"name": "p", "guaranteed": 10.0}],
        "extra": {
            "writes": [False],
            "largest": 8,
            "slots_total": 2,
            "unit_mean": 2.0,
            "cold_bears": 20.0,
        },
        "limits": {
            "max_attempts": 3,
            "second_copies": True,
            "retry_after": True,
            "max_retry_after_ns": SECOND,
        },
        "rules": {
            "stop_sending_within_ns": SECOND,
            "ask_within_ns": 10 * SECOND,
            "fall_multiple": 3.0,
            "fall_ns": SECOND,
            "cold_from": 0.25,
            "warm_after_ns": 10 * SECOND,
        },
    }
    for name, part in parts.items():
        merged = {**base.get(name, {}), **part} if isinstance(part, dict) else part
        base[name] = (
            {key: value for key, value in merged.items() if value is not None}
            if isinstance(merged, dict)
            else merged
        )
    return {name: part for name, part in base.items() if part is not None}


def request_class(**changed):
    return [{**settings()["classes"][0], **changed}]


def make_scheduler(**parts):
    """Return a scheduler with these settings, and its recorded effects."""
    effects = RecordedEffects()
    return Scheduler(config_from_settings(settings(**parts)), 1, 0, effects), effects


def request(
    number,
    shard=0,
    key=0,
    sharing_gateways=1,
    units=2.0,
    request_class=0,
    service_plan=0,
    deadline=20_000,
):
    return Request(
        number,
        key,
        1,
        sharing_gateways,
        request_class,
        service_plan,
        False,
        False,
        shard,
        units,
        deadline,
    )
