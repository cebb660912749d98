"""Settings of the sites in deploy/sites for the hunt of crossings.

Another customer's categories, effects, spans and limits.
"""

import copy
import tomllib

from tests.support.http_gateway_rig import SETTINGS
from tests.support.paths import ROOT

SITES = ROOT / "deploy" / "sites"
EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
NS = 1_000_000  # of a millisecond


def site(name):
    """A drawing of settings, by a site's own figures."""
    told = tomllib.loads((SITES / name / f"{name}.toml").read_text())
    conn, allow, rules = told["tier"][0]["conn"], told["allow"], told["rules"]
    kind = told["tier"][0]["kind"][0]
    settings = copy.deepcopy(SETTINGS)
    settings["classes"] = [
        {
            "name": each["name"],
            "aim_ns": each["aim_ms"] * NS,
            "hard_limit_ns": each["deadline_ms"] * NS,
            "worth": each["worth"],
            "late_value": each["late_worth"],
            "idempotency": EFFECTS[each["effect"]],
            "group": each.get("group", "all"),
            "window_ns": each.get("window_ms", 0) * NS,
        }
        for each in told["class"]
    ]
    settings["extra"]["writes"] = [each["write"] for each in told["class"]]
    settings["membership_mode"] = (
        "pushed" if told["discovery"]["mode"] == "push" else "on_request"
    )
    settings["limits"] |= {
        "cancel": allow["cancel"],
        "second_copies": allow["second_copies"],
        "max_attempts": allow["max_attempts"],
        "retry_after": allow["retry_after"],
        "max_retry_after_ns": told["clients"]["max_retry_after_ms"] * NS,
        "conn_idle_ns": int(conn["idle_s"] * 1000) * NS,
        "dial_timeout_ns": conn["connect_timeout_ms"] * NS,
    }
    settings["rules"] |= {
        "stop_sending_within_ns": rules["drain_grace_ms"] * NS,
        "fall_multiple": rules["fall_multiple"],
        "fall_ns": rules["fall_ms"] * NS,
        "cold_from": kind["cold_from"][0],
        "warm_after_ns": int(kind["cold_s"][0] * 1000) * NS,
    }
    return lambda chance: settings
