"""Rules for how an update changes the state that is held for a member. No I/O.

Updates of one member are ordered by incarnation, then by nonce (for two starts with the
same incarnation), then by refutation (only the member itself increments it), then by
the severity of the state. Every gateway keeps the greatest update that it has received,
so all gateways converge although frames may be lost, delayed or duplicated.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.probe_state import MIN_SUSPICION_FACTOR
from milletsill.fleet.transport import MemberState, ViewChange

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
GONE = MemberState.GONE
LEFT = MemberState.LEFT

# Frames that are read within this time after a stall of this gateway may have waited in
# the socket during the stall.
POST_STALL_WINDOW = 2 * TICK_INTERVAL


class MemberVersion(NamedTuple):
    """The part of an update, without the state, that orders updates of one member."""

    incarnation: int
    nonce: int
    refutation: int


class UpdateOrder(Enum):
    """The order of an update's version relative to the held version."""

    OLDER = auto()  # the update changes nothing
    SAME = auto()
    NEWER = auto()  # a later refutation of the same start
    NEW_START = auto()  # a later incarnation, or the same one with a greater nonce


class UpdateAction(Enum):
    """The action that results from an update."""

    IGNORED = auto()
    SUSPECTED = auto()  # record the suspecting members and gossip the suspicion
    CONFIRMED = auto()  # another member suspects the suspect too
    VERIFY_GONE = auto()  # probe a member that is reported gone
    ACCEPT_OR_VERIFY = auto()  # accept that a suspect is gone, or probe it first
    REFUTED = auto()
    REFRESHED = auto()  # the member is still alive and has a later refutation
    JOINED = auto()  # the member is new or present again
    RESTARTED = auto()
    GONE = auto()
    LEFT = auto()
    ABSENT_UPDATED = auto()  # the member was absent and stays absent
    SELF_REFUTED = auto()  # this gateway was suspected and refuted the suspicion
    SELF_CHANGED = auto()  # another start with this gateway's name was detected


class UpdateRule(NamedTuple):
    """The member's state after an update, and the action to perform."""

    state: MemberState
    action: UpdateAction


# (held state, updated state, order) -> rule; a key that is not listed changes nothing.
UPDATE_RULES: Mapping[tuple[MemberState, MemberState, UpdateOrder], UpdateRule] = {
    (ALIVE, SUSPECT, UpdateOrder.SAME): UpdateRule(SUSPECT, UpdateAction.SUSPECTED),
    (SUSPECT, SUSPECT, UpdateOrder.SAME): UpdateRule(SUSPECT, UpdateAction.CONFIRMED),
    # A gateway never drops a member that it holds as alive without probing it first.
    # Otherwise, after a partition heals, each side would accept the other side's
    # reports that its own members are gone. Trade-off: a gone report without a
    # preceding suspicion takes effect one timeout later.
    (ALIVE, GONE, UpdateOrder.SAME): UpdateRule(SUSPECT, UpdateAction.VERIFY_GONE),
    (ALIVE, GONE, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.VERIFY_GONE),
    (SUSPECT, GONE, UpdateOrder.SAME): UpdateRule(
        SUSPECT, UpdateAction.ACCEPT_OR_VERIFY
    ),
    (SUSPECT, GONE, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.VERIFY_GONE),
    **{
        (held, LEFT, order): UpdateRule(LEFT, UpdateAction.LEFT)
        for held in (ALIVE, SUSPECT)
        for order in (UpdateOrder.SAME, UpdateOrder.NEWER)
    },
    (GONE, LEFT, UpdateOrder.SAME): UpdateRule(LEFT, UpdateAction.ABSENT_UPDATED),
    (GONE, LEFT, UpdateOrder.NEWER): UpdateRule(LEFT, UpdateAction.ABSENT_UPDATED),
    (ALIVE, ALIVE, UpdateOrder.NEWER): UpdateRule(ALIVE, UpdateAction.REFRESHED),
    (ALIVE, SUSPECT, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.SUSPECTED),
    (SUSPECT, ALIVE, UpdateOrder.NEWER): UpdateRule(ALIVE, UpdateAction.REFUTED),
    (SUSPECT, SUSPECT, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.SUSPECTED),
    (GONE, ALIVE, UpdateOrder.NEWER): UpdateRule(ALIVE, UpdateAction.JOINED),
    (GONE, SUSPECT, UpdateOrder.NEWER): UpdateRule(SUSPECT, UpdateAction.JOINED),
    (GONE, GONE, UpdateOrder.NEWER): UpdateRule(GONE, UpdateAction.ABSENT_UPDATED),
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
        (held, state, UpdateOrder.NEW_START): UpdateRule(
            state, UpdateAction.ABSENT_UPDATED
        )
        for held in (GONE, LEFT)
        for state in (GONE, LEFT)
    },
}

VIEW_CHANGE_OF: Mapping[UpdateAction, ViewChange] = {
    UpdateAction.SUSPECTED: ViewChange.SUSPECTED,
    UpdateAction.VERIFY_GONE: ViewChange.SUSPECTED,
    UpdateAction.REFUTED: ViewChange.REFUTED,
    UpdateAction.JOINED: ViewChange.JOINED,
    UpdateAction.LEFT: ViewChange.LEFT,
    UpdateAction.GONE: ViewChange.GONE,
    UpdateAction.RESTARTED: ViewChange.RESTARTED,
}

# Actions that only the member itself can cause, so they show that it is alive.
LIVENESS_ACTIONS = (
    UpdateAction.REFUTED,
    UpdateAction.JOINED,
    UpdateAction.RESTARTED,
    UpdateAction.REFRESHED,
)


def compare_versions(held: MemberVersion, update: MemberVersion) -> UpdateOrder:
    """Return the order of an update's version relative to the held version."""
    if update[:2] != held[:2]:
        later = update[:2] > held[:2]
        return UpdateOrder.NEW_START if later else UpdateOrder.OLDER
    if update.refutation == held.refutation:
        return UpdateOrder.SAME
    if update.refutation > held.refutation:
        return UpdateOrder.NEWER
    return UpdateOrder.OLDER


def is_gone_report_accepted(
    has_suspecter: bool,
    suspected_for: int,
    since_stall: int,
    config: MembershipConfig,
) -> bool:
    """Return whether a report that a suspect is gone is accepted without a probe.

    It is accepted if at least one member is known to suspect the suspect, and if the
    suspect had the minimum suspicion timeout to refute. Right after a stall of this
    gateway the second condition is dropped: both the suspicion and the gone report may
    have waited in the socket, so the time between their arrivals means nothing.
    """
    min_timeout = config.suspicion_timeout * MIN_SUSPICION_FACTOR
    return has_suspecter and (
        suspected_for >= min_timeout or since_stall <= POST_STALL_WINDOW
    )
