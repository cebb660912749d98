"""Interface to the fleet: the view of its members, and messages to one member.

A message may be lost. A view is one gateway's opinion and can be wrong for some time,
so no safety property may depend on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

import xxhash


class MemberState(Enum):
    """State of a member in a view, by rising severity; values are on the wire."""

    ALIVE = 1
    SUSPECT = 2
    GONE = 3
    LEFT = 4


class ViewChange(Enum):
    """Change of one member of the view; names appear in logs and metrics."""

    JOINED = 1
    SUSPECTED = 2
    REFUTED = 3
    RESTARTED = 4
    GONE = 5
    LEFT = 6


class MessageKind(Enum):
    """Component that a message is addressed to; values are on the wire."""

    VIEW = 1
    HEALTH = 2
    CHANNEL = 3


PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway as it appears in the view.

    Attributes:
        name: The gateway's name, unique in the fleet.
        address: IPv4 host:port, for UDP and TCP.
        incarnation: A number that grows with each start of the gateway.
        state: Its state according to this gateway.
    """

    name: str
    address: str
    incarnation: int
    state: MemberState


class MemberChange(NamedTuple):
    """A change of the view, and the member after the change."""

    change: ViewChange
    member: Member


def digest_of(members: Iterable[Member]) -> int:
    """Return a 64-bit digest that is equal for equal sets of present members.

    It covers name, incarnation and address. Suspicion alone does not change it.
    """
    lines = sorted(
        f"{each.name}\0{each.incarnation}\0{each.address}"
        for each in members
        if each.state in PRESENT_STATES
    )
    return xxhash.xxh64_intdigest("\n".join(lines).encode("utf-8", "surrogateescape"))


class View:
    """The present members, ordered by name; each change creates a new view.

    Attributes:
        version: A number that grows with each change; local to this gateway.
        members: The present members.
        digest: Equal at two gateways whose views are equal.
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
        """Return the `count` highest-ranked members for a name (rendezvous hashing).

        A member that joins or leaves changes the ranking only of names for which it
        is among the first.
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
        """Return whether the view has more than half of `fleet_size` members."""
        return 2 * len(self.members) > fleet_size


# Called with the sending member's name, its incarnation and the body.
MessageHandler = Callable[[str, int, bytes], None]
# Called with the new view and the changes since the previous view.
ViewHandler = Callable[[View, Sequence[MemberChange]], None]


class FleetTransport(Protocol):
    """One gateway's access to the view and to the other members.

    A message can be lost or delivered twice. Messages to one member, of one kind and
    over one connection, arrive in order.
    """

    @property
    def name(self) -> str:
        """This gateway's name."""

    @property
    def incarnation(self) -> int:
        """The incarnation that this gateway announces to the others."""

    @property
    def view(self) -> View:
        """The current view: the members that are present."""

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        """Send to one member.

        Returns:
            False if the message cannot be sent: there is no such member, the body is
            too long, or too much is queued for that member.
        """

    def subscribe(self, kind: MessageKind, handler: MessageHandler) -> None:
        """Call `handler` for each message of a kind from a member of the view."""

    def watch_view(self, handler: ViewHandler) -> None:
        """Call `handler` after each change of the view, never while it changes."""
