"""The effects that a membership returns and the fleet service applies."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from milletsill.fleet.frames.messages import FleetMessage
from milletsill.fleet.transport import Member, ViewChange


class OperatorEventKind(Enum):
    """The kinds of events that are reported to an operator."""

    INCARNATION_LOST = auto()  # others know the same or a later incarnation of the name
    DUPLICATE_NAME = auto()  # two live gateways have this name
    REFUTED = auto()  # others suspected this gateway, and it refuted the suspicion
    STALLED = auto()  # this gateway stalled
    MEMBER_LIMIT = auto()  # a new member was refused because the table is full


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to an address, as a datagram or over a stream."""

    address: str
    message: FleetMessage
    stream: bool = False


@dataclass(frozen=True, slots=True)
class OperatorEvent:
    """An event that is reported to an operator.

    Attributes:
        kind: The kind of event.
        location: An address, or for MEMBER_LIMIT the name of the refused member.
        incarnation: For INCARNATION_LOST, the incarnation that others know.
        duration: For STALLED, the length of the stall in tenths of a millisecond.
    """

    kind: OperatorEventKind
    location: str = ""
    incarnation: int = 0
    duration: int = 0


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """Report that one member of the view changed."""

    change: ViewChange
    member: Member


@dataclass(frozen=True, slots=True)
class IncarnationChanged:
    """Report that this gateway took a new incarnation, which must be stored on disk."""

    incarnation: int


Effect = SendMessage | OperatorEvent | ViewChanged | IncarnationChanged
