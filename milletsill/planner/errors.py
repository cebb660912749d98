"""What can go wrong between a planner and its gateways.

Without a planner each gateway goes on with its even shares.
"""

from __future__ import annotations

from milletsill.errors import MilletsillError


class PlannerUnreachableError(MilletsillError):
    """The planner is not reached."""

    remedy = (
        "see that the planner runs and that planner.address is its own; "
        "shares are even until it is back"
    )


class PlannerEpochStaleError(MilletsillError):
    """A planner that is older than one that this gateway has heard."""

    remedy = (
        "stop the older of the two, or see that its state_dir was not put back; "
        "it is given nothing"
    )


class PlannerRejectedGatewayError(MilletsillError):
    """The planner does not take this gateway."""

    remedy = (
        "as it says: one name or run for two gateways, other terms of lending, "
        "another version, too many gateways, a newer planner"
    )


class QuotaSettingsMismatchError(MilletsillError):
    """A gateway whose terms of lending are not the planner's."""

    remedy = (
        "give `lending` the same values in the planner block of that gateway and in "
        "the planner's file, then restart the one that was wrong"
    )


class PlannerSupersededError(MilletsillError):
    """A gateway knows a newer planner, so this one ends."""

    remedy = (
        "see that one planner runs; if this was the right one, stop the other "
        "and start this again"
    )
