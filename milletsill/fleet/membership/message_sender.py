"""Builds the messages to other gateways, with piggybacked updates."""

from __future__ import annotations

from milletsill.fleet.frames.codec import (
    MAX_UPDATES_PER_FRAME,
    max_update_length,
    octets_for_updates,
)
from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.gossip.gossip_queue import retransmit_limit
from milletsill.fleet.membership.effects import SendMessage
from milletsill.fleet.membership.member_table import MemberEntry
from milletsill.fleet.membership.membership_state import MembershipState
from milletsill.fleet.transport import MemberState


class MessageSender:
    """Builds messages and adds them to the effects of a `MembershipState`."""

    def __init__(self, state: MembershipState) -> None:
        self._state = state

    def probe(self, name: str) -> None:
        """Probe a member."""
        self._send_to_member(name, FrameType.PROBE, target=name)

    def request_indirect_probe(self, relay: str, target: MemberEntry) -> None:
        """Ask a member to probe the target."""
        self._send_to_member(
            relay, FrameType.INDIRECT_PROBE, target.name, target.address
        )

    def relay_probe(self, target: str, address: str, probe_number: int) -> None:
        """Probe a member on behalf of another gateway."""
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
        """Acknowledge a probe of this gateway."""
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
        """Send an ack with the target's own update to the requester of a probe."""
        message = FleetMessage(
            FrameType.ACK,
            self._state.local.update,
            updates=(target_update,),
            probe_number=probe_number,
            target=target_update.name,
        )
        self._send(address, message)

    def gossip(self, name: str) -> None:
        """Send a member a frame with only piggybacked updates."""
        self._send_to_member(name, FrameType.GOSSIP)

    def gossip_over_stream(self, address: str, update: MemberUpdate) -> None:
        """Send one update over the stream to an address."""
        message = FleetMessage(
            FrameType.GOSSIP, self._state.local.update, updates=(update,)
        )
        self._send(address, message, stream=True)

    def send_digest(self, address: str) -> None:
        """Send the digest of this gateway's view."""
        message = FleetMessage(
            FrameType.DIGEST,
            self._state.local.update,
            digest=self._state.table.digest,
        )
        self._send(address, message, stream=True)

    def send_full_state(self, now: int, address: str, reply_wanted: bool) -> None:
        """Send all known members, with at most MAX_UPDATES_PER_FRAME in each frame.

        If a reply is wanted, only the last frame requests it.
        """
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
        """Send a datagram to a member, with the updates that fit into it."""
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
        """Return the updates to piggyback on a datagram.

        If the receiver is held as suspect or gone, the first update tells it so, which
        lets it refute; the updates from the gossip queue follow.
        """
        state = self._state
        entries = state.table.entries
        updates: list[MemberUpdate] = []
        included = ""
        if receiver is not None and receiver.state in _REFUTABLE_STATES:
            included = receiver.name
            updates.append(_refutable_update(receiver, state.name))
        if not state.gossip:
            return tuple(updates)

        def length_of(name: str) -> int:
            return entries[name].to_gossip()[1] if name in entries else 0

        free_octets = octets_for_updates(state.config.fleet, state.local.update)
        free_octets -= sum(map(max_update_length, updates))
        limit = retransmit_limit(len(state.table.ring))
        for name in state.gossip.take(free_octets, limit, length_of):
            if name in entries and name != included:
                updates.append(entries[name].to_gossip()[0])
        return tuple(updates)


_REFUTABLE_STATES = (MemberState.SUSPECT, MemberState.GONE)


def _refutable_update(entry: MemberEntry, suspecter: str) -> MemberUpdate:
    """Return the update that informs a suspect or gone member of its state."""
    return MemberUpdate(
        name=entry.name,
        incarnation=entry.incarnation,
        nonce=entry.nonce,
        refutation=entry.refutation,
        state=entry.state,
        suspected_by=entry.suspected_by or (suspecter,),
    )
