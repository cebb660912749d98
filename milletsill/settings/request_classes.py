"""Checks the service plans and request classes of a gateway's file.

The file calls them `plan` and `category`.
"""

from __future__ import annotations

from milletsill.settings.field_checks import check_choice, check_unique_names
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import Category, GatewayFile, Plan

REPEAT_POLICIES = ("rerunnable", "ticketed", "exclusive")
REPEAT_GROUPS = ("all", "zone", "cell")


def check_plans(file: GatewayFile, report: MessageReport) -> None:
    """Check that service plans have unique names and consistent limits."""
    if not file.plan:
        report.add("the file needs at least one plan")
    check_unique_names(file.plan, "plan", report)
    for index, plan in enumerate(file.plan):
        _check_limit(plan, file.rules.largest_units, report.nested("plan", index))


def _check_limit(plan: Plan, largest_units: int, report: MessageReport) -> None:
    """Check the limit of one plan; `largest_units` is the maximum size of a request."""
    if plan.limit_rate and plan.limit_rate < plan.reserve_rate:
        report.add(
            f"limit_rate {plan.limit_rate:g} is under reserve_rate "
            f"{plan.reserve_rate:g} (units per second)",
            "limit_rate",
        )
    if plan.limit_rate and plan.limit_store < largest_units:
        report.add(
            f"limit_store {plan.limit_store:g} is under one request of "
            f"rules.largest_units {largest_units}",
            "limit_store",
        )
    if not plan.limit_rate and (plan.limit_store or plan.limit_slack):
        report.add(
            f"plan {plan.name!r} has limit_store or limit_slack without limit_rate"
        )


def check_categories(file: GatewayFile, report: MessageReport) -> None:
    """Check that request classes have unique names, valid times and retry settings."""
    if not file.category:
        report.add("the file needs at least one category")
    check_unique_names(file.category, "category", report)
    for index, category in enumerate(file.category):
        category_report = report.nested("category", index)
        _check_times(category, file.door.answer_margin_ms, category_report)
        _check_repeats(category, category_report)
        if category.in_order and not file.rules.HasField("key_rest_ms"):
            category_report.add(
                f"category {category.name!r} has in_order, which needs "
                "rules.key_rest_ms",
                "in_order",
            )


def _check_times(
    category: Category, answer_margin_ms: float, report: MessageReport
) -> None:
    """Check the latency objective and the client timeout of one class."""
    patience_ms = category.patience_ms
    if category.target_ms > patience_ms:
        report.add(
            f"target_ms {category.target_ms:g} (latency objective) is over "
            f"patience_ms {patience_ms:g} (client timeout)",
            "target_ms",
        )
    if answer_margin_ms >= patience_ms:
        report.add(
            f"patience_ms {patience_ms:g} (client timeout) is not over "
            f"door.answer_margin_ms {answer_margin_ms:g}",
            "patience_ms",
        )


def _check_repeats(category: Category, report: MessageReport) -> None:
    """Check the retry policy of one class."""
    check_choice(category, "repeats", REPEAT_POLICIES, report)
    check_choice(category, "group", REPEAT_GROUPS, report)
    if category.repeats == "ticketed" and not category.repeat_window_ms:
        report.add(
            f"ticketed category {category.name!r} needs a repeat_window_ms over 0",
            "repeat_window_ms",
        )
