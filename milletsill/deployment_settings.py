"""Decode the deployment's settings, a JSON object, into a gateway's configuration.

The simulator's adapter and the real gateway both use this module. It imports nothing
but the standard library and `deployment_config`, and makes no decisions. Durations are
rounded to whole ticks (tenths of a millisecond): upper bounds down and lower bounds up,
so that rounding never breaks a deadline. An absent setting is off. An invalid value (a
string for a number, a negative number, NaN) raises a ValueError that names the setting.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from milletsill.deployment_config import (
    DeploymentConfig,
    RequestClassConfig,
    RetrySafety,
    RetryScope,
    ServicePlanConfig,
)

# A tick is a tenth of a millisecond.
NANOSECONDS_PER_TICK = 100_000
MAX_NUMBER = float(1 << 60)
# In error messages, in characters.
MAX_QUOTED_LENGTH = 40
# Names of load report fields, as the settings and the load report header have them, to
# their names in `AttemptResult.load_report`.
LOAD_REPORT_NAMES = {
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
RETRY_SAFETIES = {
    "free": RetrySafety.IDEMPOTENT,
    "guarded": RetrySafety.IDEMPOTENCY_KEYED,
    "single_shot": RetrySafety.NON_IDEMPOTENT,
}
RETRY_SCOPES = {each.value: each for each in RetryScope}
PUSHED_MEMBERSHIP = "pushed"
LIVE_WEIGHTS = "live"
# The documented settings by section; "" is the top level. The settings that this module
# does not read have no meaning for a gateway.
KNOWN_SETTINGS = {
    "": "callers classes extra family fees goal kinds limits membership_mode "
    "peers_total plans report resolution_ns rules self_index stages tier weights zone "
    "zones",
    "classes": "aim_ns aim_stretch group hard_limit_ns idempotency late_value name "
    "sequential streaming window_ns worth",
    "plans": "cap_slack ceiling_rate guaranteed most_at_once name pays shares "
    "usual_rate",
    "extra": "cold_bears fair_worth largest meter_ns slots_total spare_worth "
    "tells_elsewhere unit_mean writes",
    "fees": "connection cross_zone handshake late_fail membership_mode moves origin "
    "peer probe waste",
    "limits": "cancel conn_idle_ns cpu_us_per_request cpu_us_per_s dial_timeout_ns "
    "max_attempts max_retry_after_ns max_streams may_probe most_held peers retry_after "
    "second_copies",
    "report": "fields via",
    "rules": "answer_slack_ns ask_within_ns cold_from extra_free fall_ns fall_multiple "
    "further_ratio order_settle_ns resend_span_ns stop_sending_within_ns warm_after_ns",
}


def ticks_at_most(nanoseconds: float) -> int:
    """Convert an upper bound to ticks.

    Round down and subtract one tick for the rounding of the clock.
    """
    return max(int(nanoseconds) // NANOSECONDS_PER_TICK - 1, 0)


def ticks_at_least(nanoseconds: float) -> int:
    """Convert a lower bound to ticks; 0 stays 0.

    Round up and add one tick for the rounding of the clock.
    """
    if not nanoseconds:
        return 0
    return -(-int(nanoseconds) // NANOSECONDS_PER_TICK) + 1


class SettingsSection:
    """One JSON object of the settings, whose values are checked when they are read.

    Args:
        given: the object; None if the settings lack it.
        path: the prefix of the names in error messages, with its final dot.

    Raises:
        ValueError: `given` is not an object, or a value that is read later is invalid.
    """

    def __init__(self, given: Any, path: str = "") -> None:
        if given is not None and not isinstance(given, dict):
            raise ValueError(f"{path.rstrip('.') or 'settings'}: not a JSON object")
        self.given: Mapping[str, Any] = given or {}
        self.path = path

    def number(
        self, name: str, default: float = 0.0, maximum: float = MAX_NUMBER
    ) -> float:
        """Return a number from 0 to `maximum`."""
        value = self.given.get(name)
        if value is None:
            return default
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not 0 <= value <= maximum
        ):
            raise self._invalid(name, f"a number from 0 to {maximum:g}")
        return value

    def integer(self, name: str, default: int = 0) -> int:
        """Return a number from 0, truncated to an integer."""
        return int(self.number(name, default))

    def flag(self, name: str) -> bool:
        """Return a boolean; False if the setting is absent."""
        value = self.given.get(name)
        if value is not None and not isinstance(value, bool):
            raise self._invalid(name, "true or false")
        return bool(value)

    def text(self, name: str, default: str) -> str:
        """Return a string."""
        value = self.given.get(name)
        if value is not None and not isinstance(value, str):
            raise self._invalid(name, "a string")
        return default if value is None else value

    def items(self, name: str, kind: type) -> list[Any]:
        """Return a list of values of one type; empty if the setting is absent."""
        value = self.given.get(name)
        if value is not None and not (
            isinstance(value, list) and all(isinstance(each, kind) for each in value)
        ):
            raise self._invalid(name, f"a list of {kind.__name__}")
        return list(value or ())

    def section(self, name: str) -> SettingsSection:
        """Return a nested object as a section; empty if the setting is absent."""
        return SettingsSection(self.given.get(name), f"{self.path}{name}.")

    def sections(self, name: str) -> list[SettingsSection]:
        """Return a list of nested objects; empty if the setting is absent."""
        return [
            SettingsSection(each, f"{self.path}{name}[{index}].")
            for index, each in enumerate(self.items(name, dict))
        ]

    def _invalid(self, name: str, expected: str) -> ValueError:
        quoted = repr(str(self.given[name])[:MAX_QUOTED_LENGTH])
        return ValueError(f"{self.path}{name}: {quoted} is not {expected}")


def config_from_settings(given: Any) -> DeploymentConfig:
    """Return the configuration that the settings describe; ignore unknown settings.

    Raises:
        ValueError: a setting is missing or invalid; the message names it.
    """
    if not isinstance(given, dict):
        raise ValueError("not a JSON object")
    top = SettingsSection(given)
    extra = top.section("extra")
    limits = top.section("limits")
    rules = top.section("rules")
    report = top.section("report")
    fees = top.section("fees")
    return DeploymentConfig(
        gateway_count=_gateway_count(top),
        gateway_index=None
        if given.get("self_index") is None
        else top.integer("self_index"),
        timer_resolution=ticks_at_least(top.number("resolution_ns")),
        zone=top.integer("zone"),
        request_classes=tuple(_request_class(each) for each in top.sections("classes")),
        service_plans=tuple(_service_plan(each) for each in top.sections("plans"))
        or (_service_plan(SettingsSection(None)),),
        write_classes=tuple(extra.items("writes", bool)),
        share_weight=extra.number("fair_worth"),
        spare_weight=extra.number("spare_worth"),
        mean_request_units=extra.number("unit_mean") or 1.0,
        largest_request_units=extra.number("largest"),
        slow_start_units=extra.number("cold_bears"),
        shard_count=extra.integer("slots_total"),
        may_cancel_attempts=limits.flag("cancel"),
        may_hedge=limits.flag("second_copies"),
        max_attempts=limits.integer("max_attempts", 1),
        max_queued_requests=limits.integer("most_held"),
        sends_retry_after=limits.flag("retry_after"),
        max_retry_after=limits.integer("max_retry_after_ns") // NANOSECONDS_PER_TICK,
        watches_endpoints=top.text("membership_mode", "") != PUSHED_MEMBERSHIP,
        load_report_fields=tuple(
            LOAD_REPORT_NAMES.get(name, name) for name in report.items("fields", str)
        ),
        cross_zone_cost=fees.number("cross_zone"),
        has_nominal_sizes=top.text("weights", "nominal") != LIVE_WEIGHTS,
        rewatch_within=ticks_at_most(rules.number("ask_within_ns")),
        slow_start_initial_fraction=rules.number("cold_from", maximum=1.0),
        slow_start_duration=ticks_at_least(rules.number("warm_after_ns")),
        slow_start_multiple=rules.number("fall_multiple"),
        slow_start_window=ticks_at_least(rules.number("fall_ns")),
        retry_budget_free=rules.integer("extra_free"),
        retry_budget_ratio=rules.number("further_ratio"),
        retry_budget_window=None
        if rules.given.get("resend_span_ns") is None
        else rules.integer("resend_span_ns") // NANOSECONDS_PER_TICK,
        key_quarantine=ticks_at_least(rules.number("order_settle_ns")),
        connection_idle_timeout=ticks_at_most(limits.number("conn_idle_ns")),
        dial_timeout=ticks_at_most(limits.number("dial_timeout_ns")),
        zone_names=tuple(top.items("zones", str)),
    )


def unknown_settings(given: Mapping[str, Any]) -> list[str]:
    """Return the names of undocumented settings.

    Such a name is from a later layout of the settings or is misspelt.
    """
    unknown = [name for name in given if name not in KNOWN_SETTINGS[""].split()]
    for section, names in KNOWN_SETTINGS.items():
        value = given.get(section) if section else None
        for each in value if isinstance(value, list) else [value or {}]:
            unknown += [
                f"{section}.{name}" for name in each if name not in names.split()
            ]
    return list(dict.fromkeys(unknown))


def missing_settings(given: Mapping[str, Any], needed: Sequence[str]) -> list[str]:
    """Return the names, `section.name` or `name`, that the settings do not give."""
    return [name for name in needed if _setting(given, name) in (None, [])]


def _setting(given: Mapping[str, Any], name: str) -> Any:
    section, _, key = name.rpartition(".")
    values = (given.get(section) or {}) if section else given
    return values.get(key)


def _request_class(given: SettingsSection) -> RequestClassConfig:
    """Decode a request class.

    If only one of objective and client timeout is given, it applies to both.
    """
    objective = given.integer("aim_ns")
    client_timeout = given.integer("hard_limit_ns")
    if not objective and not client_timeout:
        raise ValueError(
            f"{given.path}aim_ns: missing or 0, and so is hard_limit_ns; "
            "a request class needs at least one of them"
        )
    return RequestClassConfig(
        name=given.text("name", ""),
        latency_objective=(objective or client_timeout) // NANOSECONDS_PER_TICK,
        objective_stretch=given.number("aim_stretch"),
        client_timeout=(client_timeout or objective) // NANOSECONDS_PER_TICK,
        priority_weight=given.number("worth", 1.0),
        late_weight=given.number("late_value"),
        is_streaming=given.flag("streaming"),
        retry_safety=RETRY_SAFETIES.get(
            given.text("idempotency", "single_shot"), RetrySafety.NON_IDEMPOTENT
        ),
        retry_scope=RETRY_SCOPES.get(given.text("group", "node"), RetryScope.NODE),
        retry_window=ticks_at_most(given.number("window_ns")),
        is_ordered=given.flag("sequential"),
    )


def _service_plan(given: SettingsSection) -> ServicePlanConfig:
    return ServicePlanConfig(
        name=given.text("name", ""),
        usual_rate=given.number("usual_rate"),
        reserved_rate=given.number("guaranteed"),
        share_weight=given.number("shares", 1.0),
        price=given.number("pays", 1.0),
        limit_rate=given.number("ceiling_rate"),
        limit_burst=given.number("most_at_once"),
        limit_slack=given.number("cap_slack"),
    )


def _gateway_count(top: SettingsSection) -> int:
    """Return how many gateways share the limits and the slow-start budgets.

    The setting is required, since no default is safe.
    """
    if not top.integer("peers_total"):
        raise ValueError(
            "peers_total: missing or 0; limits and slow-start budgets are divided by it"
        )
    return top.integer("peers_total")
