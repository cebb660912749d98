"""What a membership wants done; whoever holds the sockets does it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from milletsill.fleet.frames.messages import Message
from milletsill.fleet.transport import Change, Member

# LOST_STATE: others knew a later run of this name. TWIN: two live ones have it. REFUTED: others suspected this one.
# STOOD: this one stood still. FULL: a member more than the bound.
Said = Enum("Said", "LOST_STATE TWIN REFUTED STOOD FULL")


@dataclass(slots=True)
class Send:
    """A message to an address: a datagram, or over the stream to it."""

    address: str
    message: Message
    stream: bool = False


@dataclass(slots=True)
class Say:
    """Something an operator should know; `where` an address or name, `span` tenths of a millisecond."""

    what: Said
    where: str = ""
    span: int = 0


@dataclass(slots=True)
class Changed:
    """The view has changed."""

    change: Change
    member: Member


@dataclass(slots=True)
class Claimed:
    """This gateway's run is another now; to be kept on disk."""

    run: int


Effect = Send | Say | Changed | Claimed
