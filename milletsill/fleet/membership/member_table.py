"""The table of known members, with a hash ring and a digest of those present."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

import xxhash

from milletsill.fleet.frames.codec import max_update_length
from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.membership.update_rules import MemberVersion
from milletsill.fleet.transport import PRESENT_STATES, Member, MemberState

# Maximum random draws for each requested member of a sample; draws may repeat.
DRAWS_PER_MEMBER = 3


class MemberEntry:
    """The state that this gateway holds for one member.

    Attributes:
        since: The local time at which the member's current state began.
        suspected_by: Names of the members that suspect this member.
        digest: The member's part of the table's digest; 0 while it is not in the view.
        ring_position: The hash of the member's name.
        gossip_cache: The update that is piggybacked, and its size in octets.
    """

    __slots__ = (
        "name",
        "address",
        "incarnation",
        "nonce",
        "refutation",
        "state",
        "suspected_by",
        "since",
        "digest",
        "ring_position",
        "gossip_cache",
    )

    def __init__(self, update: MemberUpdate, now: int) -> None:
        self.name = update.name
        self.address = update.address
        self.incarnation = update.incarnation
        self.nonce = update.nonce
        self.refutation = update.refutation
        self.state = update.state
        self.suspected_by = update.suspected_by
        self.since = now - update.age
        self.digest = 0
        self.ring_position = xxhash.xxh64_intdigest(
            update.name.encode("utf-8", "surrogateescape")
        )
        self.gossip_cache: tuple[MemberUpdate, int] | None = None

    @property
    def version(self) -> MemberVersion:
        """The version that an update is compared with."""
        return MemberVersion(self.incarnation, self.nonce, self.refutation)

    @property
    def in_view(self) -> bool:
        """Whether the member is present and so part of the view."""
        return self.digest != 0

    def to_update(self, now: int, full: bool = True) -> MemberUpdate:
        """Return the update about this member to send to others.

        If `full` is False, the update omits the age, and omits the address unless the
        state is ALIVE. A suspicion that names no suspecting member rests only on
        reports, so it is not passed on: the update then has the state ALIVE.
        """
        state = self.state
        if state is MemberState.SUSPECT and not self.suspected_by:
            state = MemberState.ALIVE
        with_address = full or state is MemberState.ALIVE
        with_age = full and state not in PRESENT_STATES
        return MemberUpdate(
            name=self.name,
            incarnation=self.incarnation,
            nonce=self.nonce,
            refutation=self.refutation,
            state=state,
            address=self.address if with_address else "",
            age=max(now - self.since, 0) if with_age else 0,
            suspected_by=self.suspected_by if state is MemberState.SUSPECT else (),
        )

    def to_gossip(self) -> tuple[MemberUpdate, int]:
        """Return the update to piggyback and its size in octets.

        The result is cached until the entry changes.
        """
        if self.gossip_cache is None:
            update = self.to_update(0, full=False)
            self.gossip_cache = (update, max_update_length(update))
        return self.gossip_cache

    def to_member(self) -> Member:
        """Return the member as the view holds it."""
        return Member(self.name, self.address, self.incarnation, self.state)

    def compute_digest(self) -> int:
        """Return the member's part of the digest of a view that contains it."""
        identity = f"{self.name}\0{self.incarnation}\0{self.nonce}\0{self.address}"
        return xxhash.xxh64_intdigest(identity.encode("utf-8", "surrogateescape"))


class MemberTable:
    """The known members by name, at most `max_members`.

    Attributes:
        entries: All members by name.
        digest: The exclusive or of the digests of the present members, so that a change
            needs only one hash. Equal for two tables in which the same starts of
            members are present.
        ring: The present members, ordered by the hashes of their names.
        absent: The gone and left members, in the order in which they became absent.
        suspects: The suspected members.
    """

    def __init__(self, max_members: int) -> None:
        self.max_members = max_members
        self.entries: dict[str, MemberEntry] = {}
        self.digest = 0
        self.ring: list[tuple[int, str]] = []
        self.absent: dict[str, None] = {}
        self.suspects: dict[str, None] = {}

    def get(self, name: str) -> MemberEntry | None:
        """Return the entry of a name, or None if the member is not known."""
        return self.entries.get(name)

    def add(self, entry: MemberEntry) -> bool:
        """Add a member; if the table is full, remove the longest absent member first.

        Returns:
            False if the table is full and all its members are present.
        """
        if len(self.entries) >= self.max_members:
            if not self.absent:
                return False
            self.remove(next(iter(self.absent)))
        self.entries[entry.name] = entry
        self.reindex(entry, None)
        return True

    def remove(self, name: str) -> None:
        """Remove a known member."""
        entry = self.entries.pop(name)
        self.absent.pop(name, None)
        self.suspects.pop(name, None)
        if entry.in_view:
            self._remove_from_ring(entry)
            self.digest ^= entry.digest
            entry.digest = 0

    def reindex(self, entry: MemberEntry, previous: MemberState | None) -> None:
        """Update the ring, digest and state indexes after a change of a member.

        Args:
            entry: The changed member.
            previous: Its state before the change; None for a new member.
        """
        present = entry.state in PRESENT_STATES
        entry.gossip_cache = None
        if entry.in_view:
            self.digest ^= entry.digest
            if not present:
                self._remove_from_ring(entry)
        elif present:
            insort(self.ring, (entry.ring_position, entry.name))
        entry.digest = entry.compute_digest() if present else 0
        self.digest ^= entry.digest
        if entry.state is not previous:
            self._index_by_state(entry)

    def successors(self, position: int, count: int, exclude: str) -> list[str]:
        """Return the members that follow a position on the ring, except `exclude`."""
        start = bisect_left(self.ring, (position, ""))
        found: list[str] = []
        for step in range(min(count + 1, len(self.ring))):
            name = self.ring[(start + step) % len(self.ring)][1]
            if name != exclude and len(found) < count:
                found.append(name)
        return found

    def sample(
        self,
        count: int,
        draw: Callable[[int], int],
        exclude: str,
        also_exclude: str = "",
    ) -> list[str]:
        """Return a random sample of present members.

        The sample is smaller than `count` if the draws do not find enough members.

        Args:
            count: The number of members requested.
            draw: Returns a random number below its argument.
            exclude: A name to leave out.
            also_exclude: Another name to leave out.
        """
        found: dict[str, None] = {}
        for _ in range(DRAWS_PER_MEMBER * count):
            if len(found) >= count or not self.ring:
                break
            name = self.ring[draw(len(self.ring))][1]
            if name not in (exclude, also_exclude):
                found[name] = None
        return list(found)

    def remove_absent(self, before: int) -> None:
        """Remove the members that became absent before a time."""
        for name in [each for each in self.absent if self.entries[each].since < before]:
            self.remove(name)

    def _remove_from_ring(self, entry: MemberEntry) -> None:
        del self.ring[bisect_left(self.ring, (entry.ring_position, entry.name))]

    def _index_by_state(self, entry: MemberEntry) -> None:
        self.absent.pop(entry.name, None)
        self.suspects.pop(entry.name, None)
        if entry.state not in PRESENT_STATES:
            self.absent[entry.name] = None
        elif entry.state is MemberState.SUSPECT:
            self.suspects[entry.name] = None
