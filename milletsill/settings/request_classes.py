"""Checks the service plans and request classes of a gateway's file.

The file's words for them are `plan` and `category`.
"""

from __future__ import annotations

from milletsill.settings.field_checks import check_choice, check_unique_names
from milletsill.settings.flaws import MessageReport
from milletsill.settings.milletsill_pb2 import Category, GatewayFile, Plan

REPEAT_POLICIES = ("rerunnable", "ticketed", "exclusive")
REPEAT_GROUPS = ("all", "zone", "cell")


def check_plans(file: GatewayFile, report: MessageReport) -> None:
    """Check the service plans: names that differ, limits that fit each other."""
    if not file.plan:
        report.add("no plan")
    check_unique_names(file.plan, "plan", report)
    for index, plan in enumerate(file.plan):
        _check_limit(plan, file.rules.largest_units, report.nested("plan", index))


def _check_limit(plan: Plan, largest_units: int, report: MessageReport) -> None:
    """Check the limit of one plan; `largest_units` is the size of a largest request."""
    if plan.limit_rate and plan.limit_rate < plan.reserve_rate:
        report.add(
            f"a limit of {plan.limit_rate:g} units a second under the reserve "
            f"of {plan.reserve_rate:g}",
            "limit_rate",
        )
    if plan.limit_rate and plan.limit_store < largest_units:
        report.add(
            f"a limit store of {plan.limit_store:g} units holds not one largest "
            f"transfer of {largest_units}",
            "limit_store",
        )
    if not plan.limit_rate and (plan.limit_store or plan.limit_slack):
        report.add(
            f"plan {plan.name!r} has a limit store or slack without a limit_rate"
        )


def check_categories(file: GatewayFile, report: MessageReport) -> None:
    """Check the request classes: names that differ, times and retries that fit."""
    if not file.category:
        report.add("no category")
    check_unique_names(file.category, "category", report)
    for index, category in enumerate(file.category):
        category_report = report.nested("category", index)
        _check_times(category, file.door.answer_margin_ms, category_report)
        _check_repeats(category, category_report)
        if category.in_order and not file.rules.HasField("key_rest_ms"):
            category_report.add(
                f"category {category.name!r} keeps order, but rules.key_rest_ms "
                "is missing",
                "in_order",
            )


def _check_times(
    category: Category, answer_margin_ms: float, report: MessageReport
) -> None:
    """Check the target time and the patience of one class."""
    patience_ms = category.patience_ms
    if category.target_ms > patience_ms:
        report.add(
            f"a target time of {category.target_ms:g} ms past the patience of "
            f"{patience_ms:g} ms",
            "target_ms",
        )
    if answer_margin_ms >= patience_ms:
        report.add(
            f"a patience of {patience_ms:g} ms within the answer margin of "
            f"{answer_margin_ms:g} ms",
            "patience_ms",
        )


def _check_repeats(category: Category, report: MessageReport) -> None:
    """Check whether and how requests of one class may be retried."""
    check_choice(category, "repeats", REPEAT_POLICIES, report)
    check_choice(category, "group", REPEAT_GROUPS, report)
    if category.repeats == "ticketed" and not category.repeat_window_ms:
        report.add(
            f"ticketed category {category.name!r} without a repeat window",
            "repeat_window_ms",
        )
