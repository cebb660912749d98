"""The deployment's settings, a JSON object, as the typed configuration of one gateway.

It is the same for the simulator's adapter and for the gateway in service. Standard
library only; nothing is decided here. Spans that must not be passed are rounded down,
those that must have passed are rounded up, to whole tenths of a millisecond, so that
rounding never breaks a deadline. What is left out is off; what cannot be meant (a word
for a number, one below 0, no number at all) is a ValueError that names the field.
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
MAX_QUOTED = 40
# The settings' words for a load report's fields, and those of the header that carries
# one, to the names of `AttemptResult.load_report`.
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
RETRY_SAFETY_WORDS = {
    "free": RetrySafety.IDEMPOTENT,
    "guarded": RetrySafety.IDEMPOTENCY_KEYED,
    "single_shot": RetrySafety.NON_IDEMPOTENT,
}
RETRY_SCOPE_WORDS = {each.value: each for each in RetryScope}
PUSHED_MEMBERSHIP = "pushed"
LIVE_WEIGHTS = "live"
# What the settings may hold, by section; "" is their top. Those that stand here and are
# not read mean nothing to a gateway.
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
    """A span not to be passed: rounded down, less one for the clock's rounding."""
    return max(int(nanoseconds) // NANOSECONDS_PER_TICK - 1, 0)


def ticks_at_least(nanoseconds: float) -> int:
    """A span that must pass: rounded up, one more for the clock's rounding."""
    if not nanoseconds:
        return 0
    return -(-int(nanoseconds) // NANOSECONDS_PER_TICK) + 1


class SettingsSection:
    """One object of the settings; each value is checked where it is read.

    Args:
        given: the object; None where the settings leave it out.
        path: what leads to it, for messages.

    Raises:
        ValueError: it, or later a value of it, is not of its kind.
    """

    def __init__(self, given: Any, path: str = "") -> None:
        if given is not None and not isinstance(given, dict):
            raise ValueError(f"{path.rstrip('.') or 'the whole'}: not a JSON object")
        self.given: Mapping[str, Any] = given or {}
        self.path = path

    def number(
        self, name: str, default: float = 0.0, maximum: float = MAX_NUMBER
    ) -> float:
        """A number from 0."""
        value = self.given.get(name)
        if value is None:
            return default
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not 0 <= value <= maximum
        ):
            raise self._wrong(name, f"a number from 0 to {maximum:g}")
        return value

    def integer(self, name: str, default: int = 0) -> int:
        """A number without its fraction."""
        return int(self.number(name, default))

    def flag(self, name: str) -> bool:
        """True or false; an absent one is false."""
        value = self.given.get(name)
        if value is not None and not isinstance(value, bool):
            raise self._wrong(name, "true or false")
        return bool(value)

    def text(self, name: str, default: str) -> str:
        """A word."""
        value = self.given.get(name)
        if value is not None and not isinstance(value, str):
            raise self._wrong(name, "a word")
        return default if value is None else value

    def items(self, name: str, kind: type) -> list[Any]:
        """A list of one kind of value; an absent one is empty."""
        value = self.given.get(name)
        if value is not None and not (
            isinstance(value, list) and all(isinstance(each, kind) for each in value)
        ):
            raise self._wrong(name, f"a list of {kind.__name__}")
        return list(value or ())

    def section(self, name: str) -> SettingsSection:
        """An object in this one; an absent one is empty."""
        return SettingsSection(self.given.get(name), f"{self.path}{name}.")

    def sections(self, name: str) -> list[SettingsSection]:
        """A list of objects; an absent one is empty."""
        return [
            SettingsSection(each, f"{self.path}{name}[{place}].")
            for place, each in enumerate(self.items(name, dict))
        ]

    def _wrong(self, name: str, wanted: str) -> ValueError:
        quoted = repr(str(self.given[name])[:MAX_QUOTED])
        return ValueError(f"{self.path}{name}: {quoted} is not {wanted}")


def config_from_settings(given: Any) -> DeploymentConfig:
    """The settings as a configuration; names that are not known are passed over.

    Raises:
        ValueError: the settings are of no use; the message names the field.
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
    """Names in the settings that no page tells of: a new layout's, or a slip."""
    found = [name for name in given if name not in KNOWN_SETTINGS[""].split()]
    for section, names in KNOWN_SETTINGS.items():
        value = given.get(section) if section else None
        for each in value if isinstance(value, list) else [value or {}]:
            found += [f"{section}.{name}" for name in each if name not in names.split()]
    return list(dict.fromkeys(found))


def missing_settings(given: Mapping[str, Any], needed: Sequence[str]) -> list[str]:
    """Those of some names, each `section.name` or `name`, that settings leave out."""
    return [name for name in needed if _setting(given, name) in (None, [])]


def _setting(given: Mapping[str, Any], name: str) -> Any:
    section, _, last = name.rpartition(".")
    holder = (given.get(section) or {}) if section else given
    return holder.get(last)


def _request_class(given: SettingsSection) -> RequestClassConfig:
    """A request class. One that states only one of its two times has both alike."""
    objective = given.integer("aim_ns")
    client_timeout = given.integer("hard_limit_ns")
    if not objective and not client_timeout:
        raise ValueError(
            f"{given.path}aim_ns: neither it nor hard_limit_ns says how long an answer "
            "may take"
        )
    return RequestClassConfig(
        name=given.text("name", ""),
        latency_objective=(objective or client_timeout) // NANOSECONDS_PER_TICK,
        objective_stretch=given.number("aim_stretch"),
        client_timeout=(client_timeout or objective) // NANOSECONDS_PER_TICK,
        priority_weight=given.number("worth", 1.0),
        late_weight=given.number("late_value"),
        is_streaming=given.flag("streaming"),
        retry_safety=RETRY_SAFETY_WORDS.get(
            given.text("idempotency", "single_shot"), RetrySafety.NON_IDEMPOTENT
        ),
        retry_scope=RETRY_SCOPE_WORDS.get(given.text("group", "node"), RetryScope.NODE),
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
    """How many share limits and slow-start budgets; nothing safe stands in for it."""
    if not top.integer("peers_total"):
        raise ValueError(
            "peers_total: missing or 0, and the parts of limits and of cold nodes' "
            "budgets rest on it"
        )
    return top.integer("peers_total")
