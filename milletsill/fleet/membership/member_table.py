"""The members that one gateway knows, the hash ring of those present, and a digest."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable

import xxhash

from milletsill.fleet.frames.codec import max_update_length
from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.membership.update_rules import MemberVersion
from milletsill.fleet.transport import PRESENT_STATES, Member, MemberState

SAMPLE_TRIES = 3  # draws for each member of a sample


class MemberEntry:
    """What this gateway holds of one member.

    Attributes:
        since: When its state began here.
        suspected_by: Names of members that suspect it.
        digest: Its part of the table's digest; 0 while it is not in the view.
        ring_position: The hash of its name.
        gossip_cache: Its update as it is piggybacked, and the octets that takes.
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
        """What orders an update against what is held."""
        return MemberVersion(self.incarnation, self.nonce, self.refutation)

    @property
    def in_view(self) -> bool:
        """Whether the table counts it as present."""
        return self.digest != 0

    def to_update(self, now: int, full: bool = True) -> MemberUpdate:
        """Return what is passed on of it.

        Without its address and age where `full` is not wanted and they say nothing new.
        A suspicion that is nobody's own, only hearsay, is not passed on.
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
        """Return its piggybacked update and the octets of it; made once a change."""
        if self.gossip_cache is None:
            update = self.to_update(0, full=False)
            self.gossip_cache = (update, max_update_length(update))
        return self.gossip_cache

    def to_member(self) -> Member:
        """Return it as the view has it."""
        return Member(self.name, self.address, self.incarnation, self.state)

    def compute_digest(self) -> int:
        """Return its part of the digest of a view that it is in."""
        identity = f"{self.name}\0{self.incarnation}\0{self.nonce}\0{self.address}"
        return xxhash.xxh64_intdigest(identity.encode("utf-8", "surrogateescape"))


class MemberTable:
    """Members by name, at most `max_members`.

    Attributes:
        entries: All members by name.
        digest: The exclusive or of the digests of those present, so a change costs one
            hash; equal where the same starts are present.
        ring: Those present by the hash of their names.
        absent: Those gone or left, the oldest first.
        suspects: Those suspected.
    """

    def __init__(self, max_members: int) -> None:
        self.max_members = max_members
        self.entries: dict[str, MemberEntry] = {}
        self.digest = 0
        self.ring: list[tuple[int, str]] = []
        self.absent: dict[str, None] = {}
        self.suspects: dict[str, None] = {}

    def get(self, name: str) -> MemberEntry | None:
        """Return the member of that name, if it is known."""
        return self.entries.get(name)

    def add(self, entry: MemberEntry) -> bool:
        """Add a member; one that is long absent makes room.

        Returns:
            False where the table is full of members that are present.
        """
        if len(self.entries) >= self.max_members:
            if not self.absent:
                return False
            self.remove(next(iter(self.absent)))
        self.entries[entry.name] = entry
        self.reindex(entry, None)
        return True

    def remove(self, name: str) -> None:
        """Forget a member that is known."""
        entry = self.entries.pop(name)
        self.absent.pop(name, None)
        self.suspects.pop(name, None)
        if entry.in_view:
            self._remove_from_ring(entry)
            self.digest ^= entry.digest
            entry.digest = 0

    def reindex(self, entry: MemberEntry, previous: MemberState | None) -> None:
        """Sort a member in anew, after each change of it."""
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
            self._sort_by_state(entry)

    def successors(self, position: int, count: int, skip: str) -> list[str]:
        """Return members that follow a position on the ring, without `skip`."""
        start = bisect_left(self.ring, (position, ""))
        found: list[str] = []
        for step in range(min(count + 1, len(self.ring))):
            name = self.ring[(start + step) % len(self.ring)][1]
            if name != skip and len(found) < count:
                found.append(name)
        return found

    def sample(
        self, count: int, draw: Callable[[int], int], skip: str, also_skip: str = ""
    ) -> list[str]:
        """Return present members by chance, fewer where there are none.

        Args:
            count: Members wanted.
            draw: Returns a number below its argument.
            skip: A name that is not wanted.
            also_skip: Another one.
        """
        found: dict[str, None] = {}
        for _ in range(SAMPLE_TRIES * count):
            if len(found) >= count or not self.ring:
                break
            name = self.ring[draw(len(self.ring))][1]
            if name not in (skip, also_skip):
                found[name] = None
        return list(found)

    def forget_absent(self, before: int) -> None:
        """Forget members that are absent since before that time."""
        for name in [each for each in self.absent if self.entries[each].since < before]:
            self.remove(name)

    def _remove_from_ring(self, entry: MemberEntry) -> None:
        del self.ring[bisect_left(self.ring, (entry.ring_position, entry.name))]

    def _sort_by_state(self, entry: MemberEntry) -> None:
        self.absent.pop(entry.name, None)
        self.suspects.pop(entry.name, None)
        if entry.state not in PRESENT_STATES:
            self.absent[entry.name] = None
        elif entry.state is MemberState.SUSPECT:
            self.suspects[entry.name] = None
