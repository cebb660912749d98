"""How an update of a member changes what is held of it. Pure.

Updates are ordered: a later incarnation goes before an earlier one, then a larger
nonce (two starts with one incarnation), then a later refutation (only the member itself
takes the next), then the graver state. Every gateway keeps the greatest that it has
heard, so whatever is lost, late or doubled, all end equal.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.probe_state import LEAST_SUSPICION_SHARE
from milletsill.fleet.transport import MemberState, ViewChange

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
GONE = MemberState.GONE
LEFT = MemberState.LEFT

# What is read so soon after a stall of this gateway may have waited through it.
JUST_AFTER_STALL = 2 * TICK_INTERVAL


class MemberVersion(NamedTuple):
    """What orders two updates of one member, but for the state."""

    incarnation: int
    nonce: int
    refutation: int


class UpdateOrder(Enum):
    """An update's version against the one that is held."""

    OLDER = auto()  # changes nothing
    SAME = auto()
    NEWER = auto()  # a later refutation of the same start
    NEW_START = auto()  # a later incarnation or a greater nonce


class UpdateAction(Enum):
    """What an update brought about."""

    IGNORED = auto()
    SUSPECTED = auto()  # note who suspects it and pass it on
    CONFIRMED = auto()  # one more suspects it
    VERIFY_DEATH = auto()  # said to be gone, but alive to this gateway: probe it
    JUDGE_DEATH = auto()  # a suspect is said to be gone: believe it or verify
    REFUTED = auto()
    REFRESHED = auto()  # alive, of a later refutation
    JOINED = auto()  # new, or back
    RESTARTED = auto()
    GONE = auto()
    LEFT = auto()
    NOTED = auto()  # absent before and after
    SELF_REFUTED = auto()  # this gateway was suspected, and it refuted that
    SELF_CHANGED = auto()  # another start with this gateway's name was met


class UpdateRule(NamedTuple):
    """The member's state after an update, and what to do."""

    state: MemberState
    action: UpdateAction


# (state held, state in the update, order) -> rule; what is not here changes nothing.
UPDATE_RULES: Mapping[tuple[MemberState, MemberState, UpdateOrder], UpdateRule] = {
    (ALIVE, SUSPECT, UpdateOrder.SAME): UpdateRule(SUSPECT, UpdateAction.SUSPECTED),
    (SUSPECT, SUSPECT, UpdateOrder.SAME): UpdateRule(SUSPECT, UpdateAction.CONFIRMED),
    # Guards a half that was cut off from believing the other half about itself once it
    # is healed: nobody who took a member for alive drops it without a probe.
    # Cost: a death without a suspicion before it is believed a timeout later.
    (ALIVE, GONE, UpdateOrder.SAME): UpdateRule(SUSPECT, UpdateAction.VERIFY_DEATH),
    (ALIVE, GONE, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.VERIFY_DEATH),
    (SUSPECT, GONE, UpdateOrder.SAME): UpdateRule(SUSPECT, UpdateAction.JUDGE_DEATH),
    (SUSPECT, GONE, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.VERIFY_DEATH),
    **{
        (held, LEFT, order): UpdateRule(LEFT, UpdateAction.LEFT)
        for held in (ALIVE, SUSPECT)
        for order in (UpdateOrder.SAME, UpdateOrder.NEWER)
    },
    (GONE, LEFT, UpdateOrder.SAME): UpdateRule(LEFT, UpdateAction.NOTED),
    (GONE, LEFT, UpdateOrder.NEWER): UpdateRule(LEFT, UpdateAction.NOTED),
    (ALIVE, ALIVE, UpdateOrder.NEWER): UpdateRule(ALIVE, UpdateAction.REFRESHED),
    (ALIVE, SUSPECT, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.SUSPECTED),
    (SUSPECT, ALIVE, UpdateOrder.NEWER): UpdateRule(ALIVE, UpdateAction.REFUTED),
    (SUSPECT, SUSPECT, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.SUSPECTED),
    (GONE, ALIVE, UpdateOrder.NEWER): UpdateRule(ALIVE, UpdateAction.JOINED),
    (GONE, SUSPECT, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.JOINED),
    (GONE, GONE, UpdateOrder.NEWER): UpdateRule(GONE, UpdateAction.NOTED),
    (LEFT, ALIVE, UpdateOrder.NEWER): UpdateRule(ALIVE, UpdateAction.JOINED),
    (LEFT, SUSPECT, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.JOINED),
    **{
        (held, state, UpdateOrder.NEW_START): UpdateRule(state, UpdateAction.RESTARTED)
        for held in (ALIVE, SUSPECT)
        for state in (ALIVE, SUSPECT)
    },
    **{
        (held, state, UpdateOrder.NEW_START): UpdateRule(state, UpdateAction.JOINED)
        for held in (GONE, LEFT)
        for state in (ALIVE, SUSPECT)
    },
    **{
        (held, GONE, UpdateOrder.NEW_START): UpdateRule(GONE, UpdateAction.GONE)
        for held in (ALIVE, SUSPECT)
    },
    **{
        (held, LEFT, UpdateOrder.NEW_START): UpdateRule(LEFT, UpdateAction.LEFT)
        for held in (ALIVE, SUSPECT)
    },
    **{
        (held, state, UpdateOrder.NEW_START): UpdateRule(state, UpdateAction.NOTED)
        for held in (GONE, LEFT)
        for state in (GONE, LEFT)
    },
}

VIEW_CHANGE_OF: Mapping[UpdateAction, ViewChange] = {
    UpdateAction.SUSPECTED: ViewChange.SUSPECTED,
    UpdateAction.VERIFY_DEATH: ViewChange.SUSPECTED,
    UpdateAction.REFUTED: ViewChange.REFUTED,
    UpdateAction.JOINED: ViewChange.JOINED,
    UpdateAction.LEFT: ViewChange.LEFT,
    UpdateAction.GONE: ViewChange.GONE,
    UpdateAction.RESTARTED: ViewChange.RESTARTED,
}

# Only the member itself brings these about, so they are signs of its life.
SIGNS_OF_LIFE = (
    UpdateAction.REFUTED,
    UpdateAction.JOINED,
    UpdateAction.RESTARTED,
    UpdateAction.REFRESHED,
)


def compare_versions(held: MemberVersion, update: MemberVersion) -> UpdateOrder:
    """Return the order of an update's version against the one that is held."""
    if update[:2] != held[:2]:
        later = update[:2] > held[:2]
        return UpdateOrder.NEW_START if later else UpdateOrder.OLDER
    if update.refutation == held.refutation:
        return UpdateOrder.SAME
    if update.refutation > held.refutation:
        return UpdateOrder.NEWER
    return UpdateOrder.OLDER


def is_death_believed(
    has_accuser: bool,
    suspected_for: int,
    since_stall: int,
    config: MembershipConfig,
) -> bool:
    """Return whether a suspect's death is believed without a probe of its own.

    So where some member is named that suspected it, and it had the least timeout to
    refute that. What is read right after this gateway stalled has waited in the
    socket, suspicion and death alike, so there the time between them says nothing.
    """
    least_timeout = config.suspicion_timeout * LEAST_SUSPICION_SHARE
    return has_accuser and (
        suspected_for >= least_timeout or since_stall <= JUST_AFTER_STALL
    )
