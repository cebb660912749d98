"""Verdicts on nodes, findings about them, and which finding changes which verdict."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum


class HealthVerdict(Enum):
    """What gateways hold of a node together; the values are metric labels."""

    HEALTHY = "steady"
    DEGRADED = "degraded"
    FAILING = "failing"
    RECOVERING = "recovering"


class HealthFinding(Enum):
    """What the votes say of a node at one evaluation."""

    FAILING = "failing"  # at least half of the answers are lost
    IMPAIRED = "impaired"  # many are lost, or it is slower than its load explains
    HEALTHY = "healthy"  # neither, by a margin
    RESTORED = "restored"  # healthy, and all gateways send to it again
    INCONCLUSIVE = "inconclusive"  # too few votes, or between the thresholds
    UNOBSERVED = "unobserved"  # none of the gateways that may try it says anything
    OVER_LIMIT = "over_limit"  # impaired, and too many others are at once


class LoadAction(Enum):
    """What a transition does to the share of the gateways that may send to a node."""

    KEEP = "keep"
    CUT = "cut"
    ADJUST = "adjust"  # cut or raise it by how much of the load is wasted
    RAMP_UP = "ramp_up"


CALLED_VERDICTS = (HealthVerdict.DEGRADED, HealthVerdict.FAILING)

Transition = tuple[HealthVerdict, LoadAction]
_TO_RECOVERING: Transition = (HealthVerdict.RECOVERING, LoadAction.RAMP_UP)

# What is not in the table changes nothing.
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
    # In a small fleet all gateways try a called node, so that it counts as restored as
    # soon as it is healthy.
    (HealthVerdict.FAILING, HealthFinding.RESTORED): _TO_RECOVERING,
    (HealthVerdict.DEGRADED, HealthFinding.RESTORED): _TO_RECOVERING,
    # Where too few may send to learn its pace, more must: otherwise a node that failed
    # would stay so for good.
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
    """Read the table."""
    return TRANSITIONS.get((verdict, finding), (verdict, LoadAction.KEEP))
