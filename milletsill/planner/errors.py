"""Errors between a planner and its gateways.

Without a planner each gateway continues with its even shares.
"""

from __future__ import annotations

from milletsill.errors import MilletsillError


class PlannerUnreachableError(MilletsillError):
    """The gateway cannot connect to the planner."""

    remedy = (
        "check that the planner runs and that planner.address is its address; "
        "shares stay even until it is reachable again"
    )


class PlannerEpochStaleError(MilletsillError):
    """The planner's epoch is older than the newest that this gateway accepted."""

    remedy = (
        "stop the older of the two planners, or check that its state_dir was not "
        "restored from a backup; this gateway lends nothing to it"
    )


class PlannerRejectedGatewayError(MilletsillError):
    """The planner rejected this gateway."""

    remedy = (
        "follow the reason in the message: two gateways with one name, "
        "different `lending` settings, another protocol version, too many gateways, "
        "or a newer planner"
    )


class QuotaSettingsMismatchError(MilletsillError):
    """A gateway's `lending` settings differ from the planner's."""

    remedy = (
        "set `lending` to the same values in the planner block of that gateway and in "
        "the planner's file, then restart the process whose settings were wrong"
    )


class PlannerSupersededError(MilletsillError):
    """A gateway has accepted a newer planner, so this planner exits."""

    remedy = (
        "run only one planner; if this one should run, stop the other "
        "and start this one again"
    )
