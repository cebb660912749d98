"""Rules for updates under this gateway's own name: refutation and name conflicts.

Another start can have the same name: an earlier start of this gateway whose stored
state was lost, or another live gateway. No I/O; times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.transport import MemberState

# Time after the start from which a frame of another start proves that the other is
# live: no frame of an earlier start is in transit for that long.
DUPLICATE_NAME_AFTER = 50_000
DUPLICATE_NAME_REPORT_INTERVAL = 300_000


class LocalStatus(Enum):
    """Whether this gateway holds its name in the fleet."""

    ACTIVE = auto()
    DISPLACED = auto()  # another gateway holds the name
    LEAVING = auto()  # this gateway is leaving the fleet


class NameClaim(Enum):
    """The classification of an update with this gateway's name."""

    # The update is about this start and supersedes its state, e.g. a suspicion.
    NEEDS_REFUTATION = auto()
    STALE = auto()  # an earlier start, or this gateway's own update
    OTHER_START = auto()  # another start with the same or a later incarnation
    # Another start reached the incarnation to which this gateway advanced, or a later
    # one; only a live gateway can do that.
    OVERTAKEN_BY_SMALLER_NONCE = auto()
    OVERTAKEN_BY_LARGER_NONCE = auto()
    NAME_RELEASED = auto()  # the gateway that held the name is gone or has left


class NameClaimAction(Enum):
    """The action for a claim."""

    NONE = auto()
    REFUTE = auto()
    REPORT_LOST_AND_ADVANCE = auto()
    REPORT_DUPLICATE_AND_ADVANCE = auto()
    REPORT_DUPLICATE_AND_YIELD = auto()
    ADVANCE = auto()  # take an incarnation later than the other's


class NameClaimRule(NamedTuple):
    """The status after a claim, and the action to perform."""

    status: LocalStatus
    action: NameClaimAction


# (status, claim) -> rule; a pair that is not listed changes nothing.
NAME_CLAIM_RULES: Mapping[tuple[LocalStatus, NameClaim], NameClaimRule] = {
    (LocalStatus.ACTIVE, NameClaim.NEEDS_REFUTATION): NameClaimRule(
        LocalStatus.ACTIVE, NameClaimAction.REFUTE
    ),
    (LocalStatus.ACTIVE, NameClaim.OTHER_START): NameClaimRule(
        LocalStatus.ACTIVE, NameClaimAction.REPORT_LOST_AND_ADVANCE
    ),
    # Prevents two live gateways with one name from overtaking each other forever: the
    # one with the smaller nonce yields until the name is released. Trade-off: until
    # then the yielding gateway is in no view; it still serves its clients.
    (LocalStatus.ACTIVE, NameClaim.OVERTAKEN_BY_SMALLER_NONCE): NameClaimRule(
        LocalStatus.ACTIVE, NameClaimAction.REPORT_DUPLICATE_AND_ADVANCE
    ),
    (LocalStatus.ACTIVE, NameClaim.OVERTAKEN_BY_LARGER_NONCE): NameClaimRule(
        LocalStatus.DISPLACED, NameClaimAction.REPORT_DUPLICATE_AND_YIELD
    ),
    (LocalStatus.DISPLACED, NameClaim.NAME_RELEASED): NameClaimRule(
        LocalStatus.ACTIVE, NameClaimAction.ADVANCE
    ),
}

ADVANCING_ACTIONS = (
    NameClaimAction.REPORT_LOST_AND_ADVANCE,
    NameClaimAction.REPORT_DUPLICATE_AND_ADVANCE,
    NameClaimAction.ADVANCE,
)
DUPLICATE_ACTIONS = (
    NameClaimAction.REPORT_DUPLICATE_AND_ADVANCE,
    NameClaimAction.REPORT_DUPLICATE_AND_YIELD,
)


def classify_claim(
    update: MemberUpdate,
    incarnation: int,
    nonce: int,
    refutation: int,
    advanced_to: int | None,
) -> NameClaim:
    """Classify an update with this gateway's name.

    Args:
        update: The update.
        incarnation: This gateway's incarnation.
        nonce: This gateway's nonce.
        refutation: This gateway's refutation counter.
        advanced_to: The incarnation to which this gateway last advanced past another
            start; None if it has not advanced yet.
    """
    if update.nonce == nonce:
        is_refutable = update.state in (MemberState.SUSPECT, MemberState.GONE)
        supersedes_own = update.refutation > refutation or (
            is_refutable and update.refutation >= refutation
        )
        if update.incarnation == incarnation and supersedes_own:
            return NameClaim.NEEDS_REFUTATION
        return NameClaim.STALE
    if update.incarnation < incarnation:
        return NameClaim.STALE
    if advanced_to is None:
        return NameClaim.OTHER_START
    if nonce > update.nonce:
        return NameClaim.OVERTAKEN_BY_SMALLER_NONCE
    return NameClaim.OVERTAKEN_BY_LARGER_NONCE
