"""Everything that one gateway holds of the members: rows, who is present, who follows whom by hash, a mark of it all."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator

import xxhash

from milletsill.fleet.frames.codec import row_room
from milletsill.fleet.frames.messages import MemberUpdate
from milletsill.fleet.transport import PRESENT, Member, MemberState


class Known:
    """One member; `since` when its standing began here, `by` who suspects it, `place` its hash on the ring."""

    __slots__ = (
        "name",
        "address",
        "run",
        "nonce",
        "turn",
        "standing",
        "by",
        "since",
        "mark",
        "place",
        "news",
    )

    def __init__(self, row: MemberUpdate, now: int) -> None:
        self.name, self.address, self.run, self.nonce, self.turn = (
            row.name,
            row.address,
            row.incarnation,
            row.nonce,
            row.refutation,
        )
        self.standing, self.by, self.since = row.state, row.suspected_by, now - row.age
        self.news: tuple[MemberUpdate, int] | None = (
            None  # as it rides on datagrams, and the octets it takes there
        )
        self.mark, self.place = (
            0,
            xxhash.xxh64_intdigest(row.name.encode("utf-8", "surrogateescape")),
        )

    @property
    def key(self) -> tuple[int, int, int]:
        return self.run, self.nonce, self.turn

    def row(self, now: int, full: bool = True) -> MemberUpdate:
        """What is said of it; without its address and age where that saves room and says nothing new. A suspicion that is
        nobody's own, only hearsay, is not passed on.
        """
        standing = (
            self.standing
            if self.by or self.standing is not MemberState.SUSPECT
            else MemberState.ALIVE
        )
        return MemberUpdate(
            self.name,
            self.run,
            self.nonce,
            self.turn,
            standing,
            self.address if full or standing is MemberState.ALIVE else "",
            max(now - self.since, 0) if full and standing not in PRESENT else 0,
            self.by if standing is MemberState.SUSPECT else (),
        )

    def short(self) -> tuple[MemberUpdate, int]:
        """Its row as news, and the room that takes; made once for each change."""
        if self.news is None:
            row = self.row(0, full=False)
            self.news = row, row_room(row)
        return self.news

    def member(self) -> Member:
        return Member(self.name, self.address, self.run, self.standing)

    def marked(self) -> int:
        return xxhash.xxh64_intdigest(
            f"{self.name}\0{self.run}\0{self.nonce}\0{self.address}".encode(
                "utf-8", "surrogateescape"
            )
        )


class Table:
    """Members by name. `mark` is equal where the same starts are present: exclusive or of theirs, so a change costs one hash."""

    def __init__(self, most: int) -> None:
        self.most, self.held, self.mark = most, dict[str, Known](), 0
        self.ring: list[tuple[int, str]] = []  # present ones by hash of the name
        self.away: dict[str, None] = {}  # gone and left ones, the oldest first
        self.suspects: dict[str, None] = {}

    def get(self, name: str) -> Known | None:
        return self.held.get(name)

    def add(self, known: Known) -> bool:
        """False where the table is full of those present; one that is long away makes room."""
        if len(self.held) >= self.most:
            if not self.away:
                return False
            self.drop(next(iter(self.away)))
        self.held[known.name] = known
        self.sort(known, None)
        return True

    def drop(self, name: str) -> None:
        known = self.held.pop(name)
        self.away.pop(name, None)
        self.suspects.pop(name, None)
        if known.mark:
            self.out(known)

    def sort(self, known: Known, before: MemberState | None) -> None:
        """After each change of a member: where it belongs."""
        name, present, known.news = known.name, known.standing in PRESENT, None
        if known.mark:
            self.mark ^= known.mark
        elif present:
            insort(self.ring, (known.place, name))
        if not present and known.mark:
            del self.ring[bisect_left(self.ring, (known.place, name))]
        known.mark = known.marked() if present else 0
        self.mark ^= known.mark
        if known.standing is not before:
            self.away.pop(name, None)
            self.suspects.pop(name, None)
            if not present:
                self.away[name] = None
            elif known.standing is MemberState.SUSPECT:
                self.suspects[name] = None

    def out(self, known: Known) -> None:
        self.mark ^= known.mark
        del self.ring[bisect_left(self.ring, (known.place, known.name))]
        known.mark = 0

    def after(self, place: int, count: int, skip: str) -> list[str]:
        """Those that follow a place on the ring."""
        at, found = bisect_left(self.ring, (place, "")), list[str]()
        for step in range(min(count + 1, len(self.ring))):
            name = self.ring[(at + step) % len(self.ring)][1]
            if name != skip and len(found) < count:
                found.append(name)
        return found

    def some(
        self, count: int, chance: Callable[[int], int], skip: str, other: str = ""
    ) -> list[str]:
        """Present members by chance, fewer where there are none."""
        found: dict[str, None] = {}
        for _ in range(3 * count):
            if len(found) >= count or not self.ring:
                break
            name = self.ring[chance(len(self.ring))][1]
            if name not in (skip, other):
                found[name] = None
        return list(found)

    def forget(self, before: int) -> Iterator[str]:
        """Those away since before that."""
        for name in [name for name in self.away if self.held[name].since < before]:
            self.drop(name)
            yield name
