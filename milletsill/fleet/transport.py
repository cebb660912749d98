"""What the fleet's parts rest on: the view, and a way to tell a member something that may not arrive."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import xxhash

MemberState = Enum("MemberState", "ALIVE SUSPECT GONE LEFT")
ViewChange = Enum("ViewChange", "JOINED SUSPECTED REFUTED RESTARTED GONE LEFT")
MessageKind = Enum("MessageKind", "VIEW HEALTH CHANNEL")
PRESENT = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway as the view has it; `run` grows with each of its starts."""

    name: str
    address: str
    incarnation: int
    state: MemberState


def digest_of(members: Iterable[Member]) -> int:
    """Equal for equal sets of present members and their runs. A suspicion alone is no other view."""
    words = sorted(
        f"{each.name}\0{each.incarnation}\0{each.address}"
        for each in members
        if each.state in PRESENT
    )
    return xxhash.xxh64_intdigest("\n".join(words).encode("utf-8", "surrogateescape"))


class View:
    """Who is there, ordered by name; a new one for each change, with a version that grows at this gateway alone."""

    __slots__ = ("version", "members", "digest", "by_name")

    def __init__(self, version: int, members: Iterable[Member]) -> None:
        self.version = version
        self.members = tuple(
            sorted(
                (each for each in members if each.state in PRESENT),
                key=lambda each: each.name,
            )
        )
        self.digest = digest_of(self.members)
        self.by_name = {each.name: each for each in self.members}

    def rendezvous(
        self, name: str, count: int, among: Sequence[str] | None = None
    ) -> tuple[str, ...]:
        """The first `count` members for a name, by rendezvous hashing: one that joins or goes moves only what is its own."""
        names = self.by_name if among is None else among
        data = name.encode("utf-8", "surrogateescape")
        weights = sorted(
            (
                (
                    xxhash.xxh64_intdigest(
                        data + b"\0" + each.encode("utf-8", "surrogateescape")
                    ),
                    each,
                )
                for each in names
            ),
            reverse=True,
        )
        return tuple(each for _, each in weights[:count])

    def has_majority(self, fleet: int) -> bool:
        """Whether over half of a fleet of that size is in it."""
        return 2 * len(self.members) > fleet


class FleetTransport(Protocol):
    """One gateway's place among the others. Nothing told needs to arrive; what arrives is in order for one member, kind and
    connection, and may come twice.
    """

    name: str
    incarnation: int
    view: View

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        """Tell one member; False where it cannot even be tried (no such member, too much waits for it)."""

    def subscribe(
        self, kind: MessageKind, heard: Callable[[str, int, bytes], None]
    ) -> None:
        """Who is called with what members say of that kind: member, its run, body."""

    def watch_view(
        self, told: Callable[[View, Sequence[tuple[ViewChange, Member]]], None]
    ) -> None:
        """Who is called after each change of the view, never from within."""
