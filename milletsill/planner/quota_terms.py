"""What planner and edges say to each other, and the terms that both reckon by."""

from __future__ import annotations

from dataclasses import dataclass

WHOLE, NEVER = 1_000_000, 1 << 60
MOST_PROMISES, MOST_ENDS = 3, 64  # of one holding; ends that are tried for a grant
GUARD = 200  # a grant is over this much before its end: a send that was decided just before it may still be on its way out
SECOND = 10_000
Thing = tuple[
    str, int
]  # what is parted: ("limit", volume), ("reserve", volume), ("cold", node)
SOON, SELDOM = (
    3,
    8,
)  # asks of what is idle: so many in a longest span where it is wanted, every so many spans where not


@dataclass(frozen=True, slots=True)
class Span:
    """How long things last, the same for planner and edges: the longest promise or grant, how much of a clock's rate may be
    wrong (parts in a thousand), the share of the even part that is never lent.
    """

    longest: int = 4 * SECOND
    drift: int = 5
    floor: float = 0.2

    def least(self, span: int) -> int:
        """What of a span on another's clock has surely passed on ours."""
        return span * (1000 - self.drift) // 1000

    def most(self, span: int) -> int:
        """What a span on another's clock may take on ours."""
        return -(-span * 1000 // (1000 - self.drift))


def even(gateways: int) -> int:
    """A gateway's capital: rounded down, so that the parts never pass the whole."""
    return WHOLE // max(gateways, 1)


@dataclass(frozen=True, slots=True)
class Lent:
    """One promise of an edge: a part, until when on its clock, and the planner's time that stood in what made it."""

    part: int
    ends: int
    heard: int


@dataclass(frozen=True, slots=True)
class Ask:
    """From an edge: what it wants of a thing, and what it has promised, as (part, heard). `sent` is its clock, sent back with
    the answer; `heard` is the planner's own time that stood in the grant that made a promise: it is not older than that.
    """

    edge: str
    incarnation: int
    epoch: int
    thing: Thing
    want: int
    capital: int
    lent: tuple[tuple[int, int], ...]
    sent: int


@dataclass(frozen=True, slots=True)
class Grant:
    """From the planner, in answer to one ask: what it grants on top for `lasts` from when it was asked for, what it would have
    lent, and its own time.
    """

    epoch: int
    incarnation: int
    thing: Thing
    sequence: int
    granted: int
    lasts: int
    lend: int
    asked: int
    told: int
    again: int  # ask again within this, even if nothing is wanted
