"""Settings of the sites in deploy/sites for the search for races.

A site has its own request classes, idempotency, time spans and limits.
"""

import copy
import tomllib

from tests.support.http_gateway_rig import SETTINGS
from tests.support.paths import ROOT

SITES = ROOT / "deploy" / "sites"
IDEMPOTENCY = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
NS_PER_MS = 1_000_000  # nanoseconds in a millisecond


def site_settings(name):
    """Return a function that draws settings; they are always those of the site."""
    config = tomllib.loads((SITES / name / f"{name}.toml").read_text())
    conn, allow, rules = config["tier"][0]["conn"], config["allow"], config["rules"]
    kind = config["tier"][0]["kind"][0]
    settings = copy.deepcopy(SETTINGS)
    settings["classes"] = [
        {
            "name": each["name"],
            "aim_ns": each["aim_ms"] * NS_PER_MS,
            "hard_limit_ns": each["deadline_ms"] * NS_PER_MS,
            "worth": each["worth"],
            "late_value": each["late_worth"],
            "idempotency": IDEMPOTENCY[each["effect"]],
            "group": each.get("group", "all"),
            "window_ns": each.get("window_ms", 0) * NS_PER_MS,
        }
        for each in config["class"]
    ]
    settings["extra"]["writes"] = [each["write"] for each in config["class"]]
    settings["membership_mode"] = (
        "pushed" if config["discovery"]["mode"] == "push" else "on_request"
    )
    settings["limits"] |= {
        "cancel": allow["cancel"],
        "second_copies": allow["second_copies"],
        "max_attempts": allow["max_attempts"],
        "retry_after": allow["retry_after"],
        "max_retry_after_ns": config["clients"]["max_retry_after_ms"] * NS_PER_MS,
        "conn_idle_ns": int(conn["idle_s"] * 1000) * NS_PER_MS,
        "dial_timeout_ns": conn["connect_timeout_ms"] * NS_PER_MS,
    }
    settings["rules"] |= {
        "stop_sending_within_ns": rules["drain_grace_ms"] * NS_PER_MS,
        "fall_multiple": rules["fall_multiple"],
        "fall_ns": rules["fall_ms"] * NS_PER_MS,
        "cold_from": kind["cold_from"][0],
        "warm_after_ns": int(kind["cold_s"][0] * 1000) * NS_PER_MS,
    }
    return lambda rng: settings
