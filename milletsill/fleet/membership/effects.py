"""What a membership wants done; the service applies it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from milletsill.fleet.frames.messages import FleetMessage
from milletsill.fleet.transport import Member, ViewChange


class OperatorEventKind(Enum):
    """What an operator should know of."""

    INCARNATION_LOST = auto()  # others knew a later incarnation of this name
    DUPLICATE_NAME = auto()  # two live gateways have this name
    REFUTED = auto()  # others suspected this gateway
    STALLED = auto()  # this gateway stalled
    MEMBER_LIMIT = auto()  # a member more than the bound


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to an address: as a datagram, or over the stream to it."""

    address: str
    message: FleetMessage
    stream: bool = False


@dataclass(frozen=True, slots=True)
class OperatorEvent:
    """Something that an operator should know.

    Attributes:
        kind: What happened.
        location: An address, or the name that found no place.
        incarnation: That others knew, of a lost one.
        duration: Of a stall, in tenths of a millisecond.
    """

    kind: OperatorEventKind
    location: str = ""
    incarnation: int = 0
    duration: int = 0


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has changed by one member."""

    change: ViewChange
    member: Member


@dataclass(frozen=True, slots=True)
class IncarnationChanged:
    """This gateway has another incarnation from now on, to be kept on disk."""

    incarnation: int


Effect = SendMessage | OperatorEvent | ViewChanged | IncarnationChanged
