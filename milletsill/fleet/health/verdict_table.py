"""Verdicts on nodes, findings about them, and the table of verdict transitions."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum


class HealthVerdict(Enum):
    """Verdict of the gateways on a node; the values are metric labels."""

    HEALTHY = "steady"
    DEGRADED = "degraded"
    FAILING = "failing"
    RECOVERING = "recovering"


class HealthFinding(Enum):
    """Result of one evaluation of the votes on a node."""

    FAILING = "failing"  # at least half of the attempts failed
    IMPAIRED = (
        "impaired"  # many attempts failed, or it is slower than its load explains
    )
    HEALTHY = "healthy"  # few failures and normal pace, with a margin
    RESTORED = "restored"  # healthy, and all gateways send to it
    INCONCLUSIVE = "inconclusive"  # too few votes, or between the thresholds
    UNOBSERVED = "unobserved"  # no votes from the gateways that may send to it
    OVER_LIMIT = "over_limit"  # impaired, but too many nodes are


class LoadAction(Enum):
    """Effect of a transition on the share of the gateways that may send to a node."""

    KEEP = "keep"
    CUT = "cut"
    ADJUST = "adjust"  # cut or raise it, depending on the wasted share
    RAMP_UP = "ramp_up"


FLAGGED_VERDICTS = (HealthVerdict.DEGRADED, HealthVerdict.FAILING)

Transition = tuple[HealthVerdict, LoadAction]
_TO_RECOVERING: Transition = (HealthVerdict.RECOVERING, LoadAction.RAMP_UP)

# A pair that is not in the table leaves the verdict and the load unchanged.
TRANSITIONS: Mapping[tuple[HealthVerdict, HealthFinding], Transition] = {
    **{
        (verdict, HealthFinding.FAILING): (HealthVerdict.FAILING, LoadAction.CUT)
        for verdict in HealthVerdict
    },
    **{
        (verdict, HealthFinding.IMPAIRED): (HealthVerdict.DEGRADED, LoadAction.ADJUST)
        for verdict in HealthVerdict
    },
    (HealthVerdict.FAILING, HealthFinding.HEALTHY): _TO_RECOVERING,
    (HealthVerdict.DEGRADED, HealthFinding.HEALTHY): _TO_RECOVERING,
    (HealthVerdict.RECOVERING, HealthFinding.HEALTHY): _TO_RECOVERING,
    (HealthVerdict.RECOVERING, HealthFinding.RESTORED): (
        HealthVerdict.HEALTHY,
        LoadAction.KEEP,
    ),
    # In a small fleet all gateways probe a flagged node, so its finding is RESTORED as
    # soon as it is healthy.
    (HealthVerdict.FAILING, HealthFinding.RESTORED): _TO_RECOVERING,
    (HealthVerdict.DEGRADED, HealthFinding.RESTORED): _TO_RECOVERING,
    # If too few gateways may send to measure the node's pace, the admitted share has to
    # grow. Otherwise a node that has failed would stay FAILING forever.
    (HealthVerdict.FAILING, HealthFinding.INCONCLUSIVE): (
        HealthVerdict.FAILING,
        LoadAction.ADJUST,
    ),
    (HealthVerdict.DEGRADED, HealthFinding.INCONCLUSIVE): (
        HealthVerdict.DEGRADED,
        LoadAction.ADJUST,
    ),
    (HealthVerdict.RECOVERING, HealthFinding.INCONCLUSIVE): _TO_RECOVERING,
    (HealthVerdict.FAILING, HealthFinding.UNOBSERVED): (
        HealthVerdict.FAILING,
        LoadAction.RAMP_UP,
    ),
    (HealthVerdict.DEGRADED, HealthFinding.UNOBSERVED): _TO_RECOVERING,
    (HealthVerdict.RECOVERING, HealthFinding.UNOBSERVED): _TO_RECOVERING,
    (HealthVerdict.DEGRADED, HealthFinding.OVER_LIMIT): _TO_RECOVERING,
    (HealthVerdict.FAILING, HealthFinding.OVER_LIMIT): _TO_RECOVERING,
    (HealthVerdict.RECOVERING, HealthFinding.OVER_LIMIT): _TO_RECOVERING,
}


def next_verdict(verdict: HealthVerdict, finding: HealthFinding) -> Transition:
    """Return the new verdict and the load action from the transition table."""
    return TRANSITIONS.get((verdict, finding), (verdict, LoadAction.KEEP))
