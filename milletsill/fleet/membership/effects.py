"""What a membership wants done; whoever holds the sockets does it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from milletsill.fleet.frames.messages import FleetMessage
from milletsill.fleet.transport import ViewChange, Member

# LOST_STATE: others knew a later run of this name. TWIN: two live ones have it. REFUTED: others suspected this one.
# STOOD: this one stood still. FULL: a member more than the bound.
OperatorEventKind = Enum("Said", "LOST_STATE TWIN REFUTED STOOD FULL")


@dataclass(slots=True)
class SendMessage:
    """A message to an address: a datagram, or over the stream to it."""

    address: str
    message: FleetMessage
    stream: bool = False


@dataclass(slots=True)
class OperatorEvent:
    """Something an operator should know; `where` an address or name, `span` tenths of a millisecond."""

    what: OperatorEventKind
    where: str = ""
    span: int = 0


@dataclass(slots=True)
class ViewChanged:
    """The view has changed."""

    change: ViewChange
    member: Member


@dataclass(slots=True)
class IncarnationChanged:
    """This gateway's run is another now; to be kept on disk."""

    run: int


Effect = SendMessage | OperatorEvent | ViewChanged | IncarnationChanged
