"""The state that one gateway holds for all members, and how updates change it."""

from __future__ import annotations

from milletsill.fleet.frames.codec import MAX_SUSPECTED_BY
from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.gossip.gossip_queue import GossipQueue
from milletsill.fleet.membership.config import MembershipConfig
from milletsill.fleet.membership.effects import (
    Effect,
    OperatorEvent,
    OperatorEventKind,
    ViewChanged,
)
from milletsill.fleet.membership.local_member import LocalIdentity, LocalMember
from milletsill.fleet.membership.member_table import MemberEntry, MemberTable
from milletsill.fleet.membership.update_rules import (
    POST_STALL_WINDOW,
    UPDATE_RULES,
    VIEW_CHANGE_OF,
    MemberVersion,
    UpdateAction,
    UpdateOrder,
    compare_versions,
    is_gone_report_accepted,
)
from milletsill.fleet.transport import PRESENT_STATES, MemberState, ViewChange

_SUSPECTING_ACTIONS = (
    UpdateAction.SUSPECTED,
    UpdateAction.RESTARTED,
    UpdateAction.JOINED,
)
_NOT_GOSSIPED_ACTIONS = (UpdateAction.VERIFY_GONE, UpdateAction.ABSENT_UPDATED)


class MembershipState:
    """The member table, this gateway's own entry, and the updates to gossip.

    The configured maximum number of members bounds the table and the gossip queue.

    Attributes:
        local: The entry and status of this gateway.
        table: All known members.
        gossip: The names of the members whose updates are to be gossiped.
        effects: The pending effects; `take_effects` returns and clears them.
        last_stall: The time at which this gateway's last stall ended.
    """

    def __init__(
        self, identity: LocalIdentity, config: MembershipConfig, now: int
    ) -> None:
        self.name = identity.name
        self.config = config
        self.last_stall = now - POST_STALL_WINDOW - 1
        self.effects: list[Effect] = []
        self.table = MemberTable(config.max_members)
        self.gossip = GossipQueue()
        self.local = LocalMember(identity, self.table, self.gossip, self.effects, now)

    def take_effects(self) -> list[Effect]:
        """Return and clear the pending effects."""
        taken = self.effects.copy()
        self.effects.clear()
        return taken

    def merge(
        self, now: int, update: MemberUpdate, gossip: bool = True
    ) -> UpdateAction:
        """Merge an update of any member, including this gateway.

        Args:
            now: The current time.
            update: The update from a received frame.
            gossip: Whether a change is queued for gossip.

        Returns:
            The resulting action; IGNORED if the update changes nothing.
        """
        entry = self.table.entries.get(update.name)
        if entry is not None and _is_known(entry, update):
            return UpdateAction.IGNORED
        if self.local.is_about_self(update):
            return self.local.on_update(now, update)
        if entry is None:
            return self._add_member(now, update, gossip)
        return self._update_member(now, entry, update, gossip)

    def suspect(self, now: int, name: str) -> None:
        """Suspect a member because this gateway's own probes of it failed."""
        entry = self.table.get(name)
        if entry is None or entry.state not in PRESENT_STATES:
            return
        if entry.state is MemberState.SUSPECT:
            self._confirm(entry, (self.name,))
            return
        entry.suspected_by = (self.name,)
        self._set_state(now, entry, MemberState.SUSPECT, UpdateAction.SUSPECTED)
        self.gossip.add(name)

    def declare_gone(self, now: int, name: str) -> None:
        """Declare a member gone because all its timeouts expired without an ack."""
        entry = self.table.get(name)
        if entry is None or entry.state not in PRESENT_STATES:
            return
        entry.suspected_by = ()
        self._set_state(now, entry, MemberState.GONE, UpdateAction.GONE)
        self.gossip.add(name)

    def _add_member(self, now: int, update: MemberUpdate, gossip: bool) -> UpdateAction:
        """Add a member that was not known.

        An absent member whose age has reached the retention time is not added, because
        gateways would otherwise send it to each other forever.
        """
        present = update.state in PRESENT_STATES
        if not update.address:
            return UpdateAction.IGNORED
        if not present and update.age >= self.config.absent_retention:
            return UpdateAction.IGNORED
        entry = MemberEntry(update, now)
        if not self.table.add(entry):
            event = OperatorEvent(OperatorEventKind.MEMBER_LIMIT, update.name)
            self.effects.append(event)
            return UpdateAction.IGNORED
        if not present:
            return UpdateAction.ABSENT_UPDATED
        self.effects.append(ViewChanged(ViewChange.JOINED, entry.to_member()))
        if gossip:
            self.gossip.add(update.name)
        return UpdateAction.JOINED

    def _update_member(
        self, now: int, entry: MemberEntry, update: MemberUpdate, gossip: bool
    ) -> UpdateAction:
        """Apply an update of a known member."""
        version = MemberVersion(update.incarnation, update.nonce, update.refutation)
        order = compare_versions(entry.version, version)
        rule = UPDATE_RULES.get((entry.state, update.state, order))
        if rule is None:
            return UpdateAction.IGNORED
        new_start = order is UpdateOrder.NEW_START
        if new_start and update.state in PRESENT_STATES and not update.address:
            return UpdateAction.IGNORED
        state, action = rule
        if action is UpdateAction.CONFIRMED:
            return self._confirm(entry, update.suspected_by)
        if action is UpdateAction.ACCEPT_OR_VERIFY:
            state, action = self._accept_or_verify(now, entry)
        entry.suspected_by = _suspected_by_after(entry, update, state, action)
        entry.incarnation = update.incarnation
        entry.nonce = update.nonce
        entry.refutation = update.refutation
        entry.address = update.address or entry.address
        self._set_state(now, entry, state, action, update.age)
        if gossip and action not in _NOT_GOSSIPED_ACTIONS:
            self.gossip.add(update.name)
        return action

    def _accept_or_verify(
        self, now: int, entry: MemberEntry
    ) -> tuple[MemberState, UpdateAction]:
        """Return the state and action for a suspect that is reported gone."""
        accepted = is_gone_report_accepted(
            has_suspecter=bool(entry.suspected_by),
            suspected_for=now - entry.since,
            since_stall=now - self.last_stall,
            config=self.config,
        )
        if accepted:
            return MemberState.GONE, UpdateAction.GONE
        return MemberState.SUSPECT, UpdateAction.VERIFY_GONE

    def _confirm(
        self, entry: MemberEntry, suspected_by: tuple[str, ...]
    ) -> UpdateAction:
        """Add members to those that suspect a member, up to MAX_SUSPECTED_BY."""
        confirmed_by = tuple(dict.fromkeys(entry.suspected_by + suspected_by))
        confirmed_by = confirmed_by[:MAX_SUSPECTED_BY]
        if len(confirmed_by) == len(entry.suspected_by):
            return UpdateAction.IGNORED
        entry.suspected_by = confirmed_by
        entry.gossip_cache = None
        self.gossip.add(entry.name)
        return UpdateAction.CONFIRMED

    def _set_state(
        self,
        now: int,
        entry: MemberEntry,
        state: MemberState,
        action: UpdateAction,
        age: int = 0,
    ) -> None:
        """Set a member's state and report the change of the view, if there is one."""
        previous = entry.state
        entry.state = state
        if state is not previous or action is UpdateAction.RESTARTED:
            entry.since = now - age
        self.table.reindex(entry, previous)
        change = VIEW_CHANGE_OF.get(action)
        known_suspect = previous is MemberState.SUSPECT
        if change is ViewChange.SUSPECTED and known_suspect:
            change = None
        if change is not None:
            self.effects.append(ViewChanged(change, entry.to_member()))
        released = entry.name == self.name and state not in PRESENT_STATES
        if released and self.local.is_displaced:
            self.local.on_name_released(now, entry.to_update(now))


def _is_known(entry: MemberEntry, update: MemberUpdate) -> bool:
    """Return whether an update equals the held entry, as most updates do."""
    return (
        update.refutation == entry.refutation
        and update.nonce == entry.nonce
        and update.incarnation == entry.incarnation
        and update.state is entry.state
        and update.suspected_by == entry.suspected_by
    )


def _suspected_by_after(
    entry: MemberEntry,
    update: MemberUpdate,
    state: MemberState,
    action: UpdateAction,
) -> tuple[str, ...]:
    """Return the members that suspect a member after an update.

    The caller has not applied the update to `entry` yet.
    """
    if action in _SUSPECTING_ACTIONS and state is MemberState.SUSPECT:
        return update.suspected_by
    verifying = action is UpdateAction.VERIFY_GONE
    if verifying and entry.state is MemberState.SUSPECT:
        return entry.suspected_by
    return ()
