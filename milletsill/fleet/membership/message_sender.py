"""Builds the messages to other members, with piggybacked updates."""

from __future__ import annotations

from milletsill.fleet.frames.codec import (
    MAX_UPDATES_PER_FRAME,
    max_update_length,
    room_for_updates,
)
from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.gossip.gossip_queue import retransmit_limit
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.membership.member_table import MemberEntry
from milletsill.fleet.membership.membership_state import MembershipState
from milletsill.fleet.transport import MemberState


class MessageSender:
    """Adds messages to the effects of a membership's state."""

    def __init__(self, state: MembershipState) -> None:
        self._state = state

    def probe(self, name: str) -> None:
        """Probe a member."""
        self._send_to_member(name, FrameType.PROBE, target=name)

    def request_indirect_probe(self, helper: str, target: MemberEntry) -> None:
        """Ask a member to probe another."""
        self._send_to_member(
            helper, FrameType.INDIRECT_PROBE, target.name, target.address
        )

    def relay_probe(self, target: str, address: str, probe_number: int) -> None:
        """Probe a member that another gateway asked about."""
        entry = self._state.table.get(target)
        message = FleetMessage(
            FrameType.PROBE,
            self._state.local.update,
            updates=self._updates_for(entry),
            probe_number=probe_number,
            target=target,
        )
        self._send(address, message)

    def ack(self, address: str, prober: MemberEntry | None, probe_number: int) -> None:
        """Answer a probe of this gateway."""
        message = FleetMessage(
            FrameType.ACK,
            self._state.local.update,
            updates=self._updates_for(prober),
            probe_number=probe_number,
            target=self._state.name,
        )
        self._send(address, message)

    def relay_ack(
        self, address: str, probe_number: int, target_update: MemberUpdate
    ) -> None:
        """Pass an ack on to the requester, with the target's own update."""
        message = FleetMessage(
            FrameType.ACK,
            self._state.local.update,
            updates=(target_update,),
            probe_number=probe_number,
            target=target_update.name,
        )
        self._send(address, message)

    def gossip(self, name: str) -> None:
        """Send a member updates alone."""
        self._send_to_member(name, FrameType.GOSSIP)

    def gossip_over_stream(self, address: str, update: MemberUpdate) -> None:
        """Send one update over the stream to an address."""
        message = FleetMessage(
            FrameType.GOSSIP, self._state.local.update, updates=(update,)
        )
        self._send(address, message, stream=True)

    def digest(self, address: str) -> None:
        """Send the digest of this gateway's view."""
        message = FleetMessage(
            FrameType.DIGEST,
            self._state.local.update,
            digest=self._state.table.digest,
        )
        self._send(address, message, stream=True)

    def full_state(self, now: int, address: str, reply_wanted: bool) -> None:
        """Send all members, in frames of a bounded length; the last asks a reply."""
        entries = self._state.table.entries.values()
        updates = [each.to_update(now) for each in entries]
        for start in range(0, len(updates), MAX_UPDATES_PER_FRAME):
            end = start + MAX_UPDATES_PER_FRAME
            message = FleetMessage(
                FrameType.FULL_STATE,
                self._state.local.update,
                updates=tuple(updates[start:end]),
                reply_wanted=reply_wanted and end >= len(updates),
            )
            self._send(address, message, stream=True)

    def _send_to_member(
        self,
        name: str,
        frame_type: FrameType,
        target: str = "",
        target_address: str = "",
    ) -> None:
        """Send a datagram to a member, with the updates that have room in it."""
        entry = self._state.table.entries[name]
        message = FleetMessage(
            frame_type,
            self._state.local.update,
            updates=self._updates_for(entry),
            target=target,
            target_address=target_address,
        )
        self._send(entry.address, message)

    def _send(self, address: str, message: FleetMessage, stream: bool = False) -> None:
        self._state.effects.append(SendMessage(address, message, stream))

    def _updates_for(self, receiver: MemberEntry | None) -> tuple[MemberUpdate, ...]:
        """Return what rides on a datagram to a member.

        First what is held against the receiver, so that it can refute it; then gossip.
        """
        state = self._state
        entries = state.table.entries
        updates: list[MemberUpdate] = []
        accused = ""
        if receiver is not None and receiver.state in _ACCUSED_STATES:
            accused = receiver.name
            updates.append(_accusation(receiver, state.name))
        if not state.gossip:
            return tuple(updates)

        def length_of(name: str) -> int:
            return entries[name].to_gossip()[1] if name in entries else 0

        room = room_for_updates(state.config.fleet, state.local.update)
        room -= sum(map(max_update_length, updates))
        limit = retransmit_limit(len(state.table.ring))
        for name in state.gossip.take(room, limit, length_of):
            if name in entries and name != accused:
                updates.append(entries[name].to_gossip()[0])
        return tuple(updates)


_ACCUSED_STATES = (MemberState.SUSPECT, MemberState.GONE)


def _accusation(entry: MemberEntry, accuser: str) -> MemberUpdate:
    """Return the update by which a member hears what is held against it."""
    return MemberUpdate(
        name=entry.name,
        incarnation=entry.incarnation,
        nonce=entry.nonce,
        refutation=entry.refutation,
        state=entry.state,
        suspected_by=entry.suspected_by or (accuser,),
    )
