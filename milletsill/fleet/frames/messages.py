"""What a frame says, apart from its octets: the words that decide.py of `members` speaks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from milletsill.fleet.transport import MessageKind, MemberState

# PROBE: are you there. ACK: the target is. THROUGH: probe it for me. NEWS: rows alone. DIGEST: is your view mine.
# ROWS: all I know. BODY: what another part of the program tells. TWIN: there are two with your name.
FrameType = Enum("FrameType", "PROBE ACK THROUGH NEWS DIGEST ROWS BODY TWIN")
VERSION = 1


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What is said of one gateway; `age` in tenths of a millisecond since it was gone or left."""

    name: str
    incarnation: int
    nonce: int
    refutation: int
    state: MemberState
    address: str = ""
    age: int = 0
    suspected_by: tuple[str, ...] = ()


@dataclass(slots=True)
class FleetMessage:
    """One frame. `what` is None for a kind that a later version has: its sender and rows still count."""

    type: FrameType | None
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    number: int = 0
    target: str = ""
    address: str = ""
    digest: int = 0
    kind: MessageKind | None = None
    body: bytes = b""
    answer: bool = False
    version: int = field(default=VERSION)
