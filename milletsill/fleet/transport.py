"""What the other parts of the fleet build on: the view, and messages to one member.

A message may be lost. A view is what one gateway believes; it may be wrong for a
time, so nothing that must hold may rest on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

import xxhash


class MemberState(Enum):
    """What a gateway believes of a member, the graver later; values are on the wire."""

    ALIVE = 1
    SUSPECT = 2
    GONE = 3
    LEFT = 4


class ViewChange(Enum):
    """What happened to one member of the view; names are in logs and metrics."""

    JOINED = 1
    SUSPECTED = 2
    REFUTED = 3
    RESTARTED = 4
    GONE = 5
    LEFT = 6


class MessageKind(Enum):
    """The part of the program that a message is for; values are on the wire."""

    VIEW = 1
    HEALTH = 2
    CHANNEL = 3


PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway as the view has it.

    Attributes:
        name: Unique in the fleet.
        address: IPv4 host:port, UDP and TCP.
        incarnation: Grows with each start of the gateway.
        state: What is believed of it.
    """

    name: str
    address: str
    incarnation: int
    state: MemberState


class MemberChange(NamedTuple):
    """One change of the view and the member after it."""

    change: ViewChange
    member: Member


def digest_of(members: Iterable[Member]) -> int:
    """Return 64 bits that are equal for equal sets of present members.

    Name, incarnation and address count. A suspicion alone makes no other view.
    """
    lines = sorted(
        f"{each.name}\0{each.incarnation}\0{each.address}"
        for each in members
        if each.state in PRESENT_STATES
    )
    return xxhash.xxh64_intdigest("\n".join(lines).encode("utf-8", "surrogateescape"))


class View:
    """The members that are present, ordered by name; a new object for each change.

    Attributes:
        version: Grows with each change, at this gateway alone.
        members: The present members.
        digest: Equal digests at two gateways mean equal views.
        by_name: The same members by name.
    """

    __slots__ = ("version", "members", "digest", "by_name")

    def __init__(self, version: int, members: Iterable[Member]) -> None:
        self.version = version
        self.members = tuple(
            sorted(
                (each for each in members if each.state in PRESENT_STATES),
                key=lambda each: each.name,
            )
        )
        self.digest = digest_of(self.members)
        self.by_name = {each.name: each for each in self.members}

    def rendezvous(
        self, name: str, count: int, among: Sequence[str] | None = None
    ) -> tuple[str, ...]:
        """Return the first `count` members for a name, by rendezvous hashing.

        A member that joins or goes moves only the names that are its own.
        """
        candidates = self.by_name if among is None else among
        prefix = name.encode("utf-8", "surrogateescape") + b"\0"
        weights = sorted(
            (
                (
                    xxhash.xxh64_intdigest(
                        prefix + each.encode("utf-8", "surrogateescape")
                    ),
                    each,
                )
                for each in candidates
            ),
            reverse=True,
        )
        return tuple(each for _, each in weights[:count])

    def has_majority(self, fleet_size: int) -> bool:
        """Return whether over half of a fleet of that size is in the view."""
        return 2 * len(self.members) > fleet_size


# Called with the sending member's name, its incarnation and the body.
MessageHandler = Callable[[str, int, bytes], None]
# Called with the new view and what changed since the one before.
ViewHandler = Callable[[View, Sequence[MemberChange]], None]


class FleetTransport(Protocol):
    """One gateway's place among the others.

    No message needs to arrive. Those that arrive are in order for one member, kind
    and connection, and may come twice.
    """

    @property
    def name(self) -> str:
        """This gateway's name."""

    @property
    def incarnation(self) -> int:
        """This gateway's incarnation, as the others know it."""

    @property
    def view(self) -> View:
        """The members that are present."""

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        """Send to one member.

        Returns:
            False where it cannot even be tried: no such member, the body is too long,
            or too much waits for that member.
        """

    def subscribe(self, kind: MessageKind, handler: MessageHandler) -> None:
        """Call `handler` with each message of that kind from a present member."""

    def watch_view(self, handler: ViewHandler) -> None:
        """Call `handler` after each change of the view, never from within one."""
