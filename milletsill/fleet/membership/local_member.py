"""This gateway's own membership: refutation, and conflicts over its name."""

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
    """The identity of this gateway's current start.

    Attributes:
        name: The gateway's name, unique in the fleet.
        address: host:port at which other gateways reach it.
        incarnation: A counter that grows with each start, stored on disk.
        nonce: A random 64-bit number drawn at each start.
    """

    name: str
    address: str
    incarnation: int
    nonce: int


class LocalMember:
    """This gateway's own entry and its status in the fleet.

    Attributes:
        entry: The entry of this gateway; it is in the member table unless another
            gateway holds the name.
        status: Whether this gateway holds its name.
        update: The update about the sender in each of this gateway's frames.
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
        """Whether another gateway holds this gateway's name."""
        return self.status is LocalStatus.DISPLACED

    def is_about_self(self, update: MemberUpdate) -> bool:
        """Return whether `on_update` must handle an update.

        While another gateway holds this gateway's name, only updates with this start's
        nonce are about this gateway; others are handled as those of any member.
        """
        if update.name != self.name:
            return False
        return not self.is_displaced or update.nonce == self.nonce

    def on_update(self, now: int, update: MemberUpdate) -> UpdateAction:
        """Handle an update about this gateway or another start with its name."""
        claim = classify_claim(
            update,
            self.entry.incarnation,
            self.nonce,
            self.entry.refutation,
            self._advanced_to,
        )
        return self._on_claim(now, claim, update)

    def on_name_released(self, now: int, update: MemberUpdate) -> None:
        """Take the name back, because the gateway that held it is gone or has left."""
        self._on_claim(now, NameClaim.NAME_RELEASED, update)

    def on_duplicate_name_frame(self, now: int, sender: MemberUpdate) -> None:
        """Handle a frame sent directly by another start with this gateway's name.

        For DUPLICATE_NAME_AFTER after the start such a frame is ignored, because it may
        be a delayed frame of an earlier start. Trade-off: two gateways that start
        together detect their duplicate name that much later.
        """
        if now - self._started >= DUPLICATE_NAME_AFTER:
            self.report_duplicate(now, sender.address)

    def report_duplicate(self, now: int, address: str) -> None:
        """Report a duplicate name to the operators of both gateways.

        Reports are limited to one per DUPLICATE_NAME_REPORT_INTERVAL.
        """
        if now - self._last_duplicate_report < DUPLICATE_NAME_REPORT_INTERVAL:
            return
        self._last_duplicate_report = now
        self._effects.append(OperatorEvent(OperatorEventKind.DUPLICATE_NAME, address))
        if address:
            message = FleetMessage(FrameType.DUPLICATE_NAME, self.update)
            self._effects.append(SendMessage(address, message))

    def leave(self, now: int) -> None:
        """Announce that this gateway leaves, unless another gateway holds its name."""
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
            self._report_incarnation_lost(update)
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

    def _report_incarnation_lost(self, update: MemberUpdate) -> None:
        self._effects.append(
            OperatorEvent(
                OperatorEventKind.INCARNATION_LOST,
                update.address,
                incarnation=update.incarnation,
            )
        )

    def _advance(self, incarnation: int) -> None:
        """Switch to an incarnation later than any that others know for this name."""
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
        """Replace this gateway's entry in the table with the other gateway's entry."""
        self._table.remove(self.name)
        other = MemberEntry(update, now)
        self._table.add(other)
        self._effects.append(ViewChanged(ViewChange.RESTARTED, other.to_member()))

    def _announce(self, now: int) -> None:
        self.update = self.entry.to_update(now)
        self._gossip.add(self.name)
