"""This gateway itself as a member: refutation, and two starts with one name."""

from __future__ import annotations

from dataclasses import dataclass

from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.gossip.gossip_queue import GossipQueue
from milletsill.fleet.membership.effects import (
    Effect,
    IncarnationChanged,
    OperatorEvent,
    OperatorEventKind,
    SendMessage,
    ViewChanged,
)
from milletsill.fleet.membership.member_table import MemberEntry, MemberTable
from milletsill.fleet.membership.name_claims import (
    ADVANCING_ACTIONS,
    DUPLICATE_ACTIONS,
    DUPLICATE_NAME_AFTER,
    DUPLICATE_NAME_REPORT_INTERVAL,
    NAME_CLAIM_RULES,
    LocalStatus,
    NameClaim,
    NameClaimAction,
    classify_claim,
)
from milletsill.fleet.membership.update_rules import UpdateAction
from milletsill.fleet.transport import MemberState, ViewChange


@dataclass(frozen=True, slots=True)
class LocalIdentity:
    """Who this gateway is.

    Attributes:
        name: Unique in the fleet.
        address: host:port at which the others reach it.
        incarnation: Grows with each start, kept on disk.
        nonce: 64 bits drawn at each start.
    """

    name: str
    address: str
    incarnation: int
    nonce: int


class LocalMember:
    """This gateway's own entry, and whether it has its name in the fleet.

    Attributes:
        entry: Its entry; in the table unless another gateway has the name.
        status: Whether it has the name.
        update: What each of its frames says of the sender.
    """

    def __init__(
        self,
        identity: LocalIdentity,
        table: MemberTable,
        gossip: GossipQueue,
        effects: list[Effect],
        now: int,
    ) -> None:
        self.name = identity.name
        self.nonce = identity.nonce
        self.status = LocalStatus.ACTIVE
        self._table = table
        self._gossip = gossip
        self._effects = effects
        self._started = now
        self._advanced_to: int | None = None
        self._last_duplicate_report = now - DUPLICATE_NAME_REPORT_INTERVAL
        self.entry = MemberEntry(
            MemberUpdate(
                name=identity.name,
                incarnation=identity.incarnation,
                nonce=identity.nonce,
                refutation=0,
                state=MemberState.ALIVE,
                address=identity.address,
            ),
            now,
        )
        table.add(self.entry)
        self.update = self.entry.to_update(now)
        gossip.add(self.name)

    @property
    def is_displaced(self) -> bool:
        """Whether another gateway has this one's name."""
        return self.status is LocalStatus.DISPLACED

    def claims(self, update: MemberUpdate) -> bool:
        """Return whether an update is about this gateway rather than about another.

        While another gateway has the name, updates of that one are as any member's.
        """
        if update.name != self.name:
            return False
        return not self.is_displaced or update.nonce == self.nonce

    def on_update(self, now: int, update: MemberUpdate) -> UpdateAction:
        """React to an update under this gateway's own name."""
        claim = classify_claim(
            update,
            self.entry.incarnation,
            self.nonce,
            self.entry.refutation,
            self._advanced_to,
        )
        return self._on_claim(now, claim, update)

    def on_name_released(self, now: int, update: MemberUpdate) -> None:
        """Whoever had this gateway's name is gone; take it back."""
        self._on_claim(now, NameClaim.NAME_RELEASED, update)

    def on_namesake_frame(self, now: int, sender: MemberUpdate) -> None:
        """A frame came straight from another gateway with this name.

        Guards against the last frames of an earlier start: none is on its way for so
        long. Cost: two that start together hear of it that much later.
        """
        if now - self._started >= DUPLICATE_NAME_AFTER:
            self.report_duplicate(now, sender.address)

    def report_duplicate(self, now: int, address: str) -> None:
        """Tell the operators of both gateways, at most once an interval."""
        if now - self._last_duplicate_report < DUPLICATE_NAME_REPORT_INTERVAL:
            return
        self._last_duplicate_report = now
        self._effects.append(OperatorEvent(OperatorEventKind.DUPLICATE_NAME, address))
        if address:
            message = FleetMessage(FrameType.DUPLICATE_NAME, self.update)
            self._effects.append(SendMessage(address, message))

    def leave(self, now: int) -> None:
        """Say that this gateway goes, unless another has its name."""
        if self.is_displaced:
            self.status = LocalStatus.LEAVING
            return
        self.status = LocalStatus.LEAVING
        previous = self.entry.state
        self.entry.state = MemberState.LEFT
        self.entry.since = now
        self._table.reindex(self.entry, previous)
        self._announce(now)
        self._effects.append(ViewChanged(ViewChange.LEFT, self.entry.to_member()))

    def _on_claim(
        self, now: int, claim: NameClaim, update: MemberUpdate
    ) -> UpdateAction:
        rule = NAME_CLAIM_RULES.get((self.status, claim))
        if rule is None:
            return UpdateAction.IGNORED
        if rule.status is LocalStatus.DISPLACED and not update.address:
            return UpdateAction.IGNORED
        self.status = rule.status
        if rule.action is NameClaimAction.REFUTE:
            self._refute(update)
        if rule.action is NameClaimAction.REPORT_LOST_AND_ADVANCE:
            self._report_lost(update)
        if rule.action in DUPLICATE_ACTIONS:
            self.report_duplicate(now, update.address)
        if rule.action in ADVANCING_ACTIONS:
            self._advance(update.incarnation + 1)
        if rule.action is NameClaimAction.REPORT_DUPLICATE_AND_YIELD:
            self._yield_name(now, update)
        else:
            self._announce(now)
        if rule.action is NameClaimAction.REFUTE:
            return UpdateAction.SELF_REFUTED
        return UpdateAction.SELF_CHANGED

    def _refute(self, update: MemberUpdate) -> None:
        self.entry.refutation = update.refutation + 1
        self.entry.gossip_cache = None
        self._effects.append(OperatorEvent(OperatorEventKind.REFUTED))

    def _report_lost(self, update: MemberUpdate) -> None:
        self._effects.append(
            OperatorEvent(
                OperatorEventKind.INCARNATION_LOST,
                update.address,
                incarnation=update.incarnation,
            )
        )

    def _advance(self, incarnation: int) -> None:
        """Take an incarnation past all that others have heard under this name."""
        if self._table.get(self.name) is not self.entry:
            self._table.remove(self.name)
            self._table.add(self.entry)
        self.entry.incarnation = incarnation
        self.entry.refutation = 0
        self._advanced_to = incarnation
        self._table.reindex(self.entry, self.entry.state)
        self._effects.append(IncarnationChanged(incarnation))
        self._effects.append(ViewChanged(ViewChange.RESTARTED, self.entry.to_member()))

    def _yield_name(self, now: int, update: MemberUpdate) -> None:
        """Hold the other gateway under this name in place of this one."""
        self._table.remove(self.name)
        namesake = MemberEntry(update, now)
        self._table.add(namesake)
        self._effects.append(ViewChanged(ViewChange.RESTARTED, namesake.to_member()))

    def _announce(self, now: int) -> None:
        self.update = self.entry.to_update(now)
        self._gossip.add(self.name)
