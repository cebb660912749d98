"""Members of a fleet and the network between them, on a simulated clock.

The members run the real membership code (`milletsill.fleet.membership`). The network
has latency, loses datagrams and can be cut. Members can stall, be killed, leave and
restart. Messages of services above the fleet transport are simulated too.

Times are ticks of a tenth of a millisecond. The same seed gives the same run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from copy import copy
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from milletsill.fleet.frames.codec import FrameCodec
from milletsill.fleet.frames.messages import FleetMessage
from milletsill.fleet.frames.stream_framing import add_length_prefix
from milletsill.fleet.membership.config import MembershipConfig
from milletsill.fleet.membership.effects import SendMessage, ViewChanged
from milletsill.fleet.transport import ViewChange
from milletsill.lab.simulated_clock import SECOND, SimulatedClock
from milletsill.lab.simulated_member import SimulatedMember

RETRANSMIT_DELAY = 2000  # added to a stream message for each loss
MIN_DELAY = 2  # one-way latency of a datagram
MAX_DELAY = 20
SEED_COUNT = 3  # members that a member knows at its start


@dataclass(frozen=True, slots=True)
class FalseDeath:
    """A live member was declared gone.

    Attributes:
        at: The time of the declaration.
        observer: The member that declared it.
        member: The live member.
    """

    at: int
    observer: str
    member: str


@dataclass(frozen=True, slots=True)
class BlockedPath:
    """A cut: no message goes from these senders to these receivers."""

    senders: frozenset[str]
    receivers: frozenset[str]


class SentBy(NamedTuple):
    """The sender of packets, and whether it sent them in a stream."""

    member: str
    is_stream: bool


class SimulatedNetwork(SimulatedClock):
    """The members and the network between them.

    Args:
        seed: Seed of all random draws.
        with_codec: Encode and decode each message, and count its octets.

    Attributes:
        members: The latest incarnation of each member, by name.
        loss: The probability that a datagram or a stream message is lost.
        blocked: The paths that are cut.
        false_deaths: Live members that were declared gone.
        message_count: Messages sent.
        packet_counts: Packets sent; empty without a codec.
        octet_counts: Octets of those packets.
    """

    def __init__(self, seed: int, with_codec: bool = False) -> None:
        super().__init__()
        self.random = Random(seed)
        self.config = MembershipConfig("fleet")
        self.loss = 0.0
        self.members: dict[str, SimulatedMember] = {}
        self.blocked: list[BlockedPath] = []
        self.false_deaths: list[FalseDeath] = []
        self.codec = FrameCodec(self.config.fleet) if with_codec else None
        self.packet_counts: Counter[SentBy] = Counter()
        self.octet_counts: Counter[SentBy] = Counter()
        self.message_count = 0
        self._stream_arrivals: dict[tuple[str, str], int] = {}

    # Members.

    def start(
        self, name: str, incarnation: int = 1, seeds: Sequence[str] = ()
    ) -> SimulatedMember:
        """Start a member, or restart one that was killed.

        Args:
            name: The member's name.
            incarnation: The count of its starts that it has stored.
            seeds: Names of members that it knows at its start.
        """
        addresses = [f"{seed}:1" for seed in seeds]
        member = SimulatedMember(self, name, incarnation, addresses)
        self.members[name] = member
        return member

    def start_fleet(self, count: int, settle: int = 30 * SECOND) -> None:
        """Start a fleet in which each member knows all others, and let it settle."""
        names = [f"gateway-{number}" for number in range(count)]
        for name in names:
            seeds = self.random.sample(names, min(SEED_COUNT, count))
            self.start(name, seeds=seeds)
        self.introduce_all()
        self.run(self.now + settle)

    def introduce_all(self) -> None:
        """Put all members into each member's table."""
        known = {
            name: member.membership.state.local.entry
            for name, member in self.members.items()
        }
        ring = sorted((entry.ring_position, name) for name, entry in known.items())
        digest = 0
        for entry in known.values():
            digest ^= entry.digest
        for name, member in self.members.items():
            table = member.membership.state.table
            table.entries = {
                other: entry if other == name else copy(entry)
                for other, entry in known.items()
            }
            table.ring = list(ring)
            table.digest = digest
            member.membership.state.gossip.discard(name)
            member.view_version += 1

    def kill(self, name: str) -> None:
        """End a member's process at once (SIGKILL)."""
        self.members[name].is_up = False

    def leave(self, name: str) -> None:
        """Let a member leave and end its process (SIGTERM)."""
        member = self.members[name]
        member.apply(member.membership.leave(self.now))
        member.is_up = False

    def stall(self, name: str, span: int) -> None:
        """Stall a member's process for `span` ticks from now."""
        member = self.members[name]
        member.stalled_until = max(member.stalled_until, self.now + span)

    # The network.

    def cut(
        self, senders: Iterable[str], receivers: Iterable[str], both: bool = True
    ) -> None:
        """Block messages from senders to receivers, and the reverse if `both`."""
        path = BlockedPath(frozenset(senders), frozenset(receivers))
        self.blocked.append(path)
        if both:
            self.blocked.append(BlockedPath(path.receivers, path.senders))

    def heal(self) -> None:
        """Remove all cuts."""
        self.blocked.clear()

    def send(self, sender: SimulatedMember, sent: SendMessage) -> None:
        """Carry a message unless its path is cut or it is lost."""
        message = sent.message
        receiver = sent.address.rpartition(":")[0]
        if self.codec is not None:
            message = self._encode_and_count(self.codec, sender, sent)
        self.message_count += 1
        for path in self.blocked:
            if sender.name in path.senders and receiver in path.receivers:
                return
        when = (
            self.now + MIN_DELAY + int((MAX_DELAY - MIN_DELAY) * self.random.random())
        )
        if sent.stream:
            while self.random.random() < self.loss:
                when += RETRANSMIT_DELAY
            stream = (sender.name, receiver)
            when = max(when + MAX_DELAY, self._stream_arrivals.get(stream, 0))
            self._stream_arrivals[stream] = when
        elif self.random.random() < self.loss:
            return
        self.call_at(when, self._deliver, receiver, message, sent.stream)

    def _encode_and_count(
        self, codec: FrameCodec, sender: SimulatedMember, sent: SendMessage
    ) -> FleetMessage:
        data = codec.encode(sent.message)
        message = codec.decode(data)
        sent_by = SentBy(sender.name, sent.stream)
        self.packet_counts[sent_by] += 1
        framed = add_length_prefix(data) if sent.stream else data
        self.octet_counts[sent_by] += len(framed)
        return message

    def _deliver(self, name: str, message: FleetMessage, is_stream: bool) -> None:
        member = self.members.get(name)
        if member is not None:
            member.on_arrival(message, is_stream)

    # Observation.

    def on_view_changed(self, observer: SimulatedMember, effect: ViewChanged) -> None:
        """Record a false death if a live member was declared gone."""
        if effect.change is not ViewChange.GONE:
            return
        member = self.members.get(effect.member.name)
        if (
            member is not None
            and member.is_up
            and member.incarnation == effect.member.incarnation
        ):
            self.false_deaths.append(
                FalseDeath(self.now, observer.name, effect.member.name)
            )

    def live_members(self) -> list[SimulatedMember]:
        """Return the members whose process runs."""
        return [member for member in self.members.values() if member.is_up]

    def live_members_digest(self) -> int:
        """Return the digest of a view that contains exactly the live members."""
        digest = 0
        for member in self.live_members():
            digest ^= member.membership.state.local.entry.compute_digest()
        return digest

    def share_of_correct_views(
        self, among: Sequence[SimulatedMember] | None = None
    ) -> float:
        """Return the share of members whose view contains exactly the live members.

        Args:
            among: The members to look at; all live members if None.
        """
        members = self.live_members() if among is None else among
        expected = self.live_members_digest()
        return sum(member.digest == expected for member in members) / len(members)
