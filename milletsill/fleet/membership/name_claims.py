"""What updates under this gateway's own name mean: refutation, and who has the name.

Two starts may bear one name: an earlier one whose state was lost, or another live
gateway. Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.transport import MemberState

# Since the start; no frame of an earlier start of this name is on its way for longer.
DUPLICATE_NAME_AFTER = 50_000
DUPLICATE_NAME_REPORT_INTERVAL = 300_000


class LocalStatus(Enum):
    """Whether this gateway has its name in the fleet."""

    ACTIVE = auto()
    DISPLACED = auto()  # another gateway with this name has it
    LEAVING = auto()  # it has announced that it leaves


class NameClaim(Enum):
    """What an update with this gateway's name is to it."""

    ACCUSATION = auto()  # a suspicion or worse of this start
    STALE = auto()  # an earlier start, or its own update
    OTHER_START = auto()  # a start that goes before this one, or has its incarnation
    # A start that goes past what this gateway advanced to: only a live one can.
    OVERTAKEN_BY_SMALLER_NONCE = auto()
    OVERTAKEN_BY_LARGER_NONCE = auto()
    NAME_RELEASED = auto()  # who had this gateway's name is gone


class NameClaimAction(Enum):
    """What to do about a claim."""

    NONE = auto()
    REFUTE = auto()
    REPORT_LOST_AND_ADVANCE = auto()
    REPORT_DUPLICATE_AND_ADVANCE = auto()
    REPORT_DUPLICATE_AND_YIELD = auto()
    ADVANCE = auto()  # take an incarnation past the other's


class NameClaimRule(NamedTuple):
    """The status after a claim, and what to do."""

    status: LocalStatus
    action: NameClaimAction


# (status, claim) -> rule; what is not here changes nothing.
NAME_CLAIM_RULES: Mapping[tuple[LocalStatus, NameClaim], NameClaimRule] = {
    (LocalStatus.ACTIVE, NameClaim.ACCUSATION): NameClaimRule(
        LocalStatus.ACTIVE, NameClaimAction.REFUTE
    ),
    (LocalStatus.ACTIVE, NameClaim.OTHER_START): NameClaimRule(
        LocalStatus.ACTIVE, NameClaimAction.REPORT_LOST_AND_ADVANCE
    ),
    # Guards the fleet against two that overtake each other without end: the smaller
    # nonce rests until the name is released. Cost: the one that rests is in nobody's
    # view meanwhile; its clients are served as before.
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
    """Return what an update with this gateway's name is to it.

    Args:
        update: The update.
        incarnation: This gateway's.
        nonce: This gateway's.
        refutation: This gateway's.
        advanced_to: The incarnation with which it went past others; None before that.
    """
    if update.nonce == nonce:
        accused = update.state in (MemberState.SUSPECT, MemberState.GONE)
        outdates_ours = update.refutation > refutation or (
            accused and update.refutation >= refutation
        )
        if update.incarnation == incarnation and outdates_ours:
            return NameClaim.ACCUSATION
        return NameClaim.STALE
    if update.incarnation < incarnation:
        return NameClaim.STALE
    if advanced_to is None:
        return NameClaim.OTHER_START
    if nonce > update.nonce:
        return NameClaim.OVERTAKEN_BY_SMALLER_NONCE
    return NameClaim.OVERTAKEN_BY_LARGER_NONCE
