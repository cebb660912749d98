"""What a frame says, apart from its octets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from milletsill.fleet.transport import MemberState, MessageKind

VERSION = 1


class FrameType(Enum):
    """What a frame is for; values are on the wire (`what` in fleet.proto)."""

    PROBE = 1  # are you there
    ACK = 2  # the target is alive
    INDIRECT_PROBE = 3  # probe the target for me
    GOSSIP = 4  # piggybacked updates alone
    DIGEST = 5  # is your view equal to mine
    FULL_STATE = 6  # all members that the sender knows
    APPLICATION = 7  # a message of another part of the program
    DUPLICATE_NAME = 8  # another live gateway has your name


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What one frame says of one member.

    Attributes:
        name: The member's name.
        incarnation: Grows with each start of the member.
        nonce: Drawn at each start; tells two starts with one incarnation apart.
        refutation: SWIM's counter; grows when the member refutes a suspicion.
        state: What the sender believes of it.
        address: host:port; empty where the receiver knows it.
        age: Tenths of a millisecond since the member was gone or left.
        suspected_by: Names of members that suspect it.
    """

    name: str
    incarnation: int
    nonce: int
    refutation: int
    state: MemberState
    address: str = ""
    age: int = 0
    suspected_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FleetMessage:
    """One frame.

    Attributes:
        type: None for a type that a later version has: sender and updates still count.
        sender: The sending gateway, with its address.
        updates: Piggybacked updates, or the members of a full state.
        probe_number: Of a relayed probe; its ack repeats it. 0 for none.
        target: Whom a probe means, or whose life an ack tells of.
        target_address: Where an indirect probe's target is.
        digest: The sender's view digest.
        kind: Of an application message; None for a kind of a later version.
        body: Of an application message.
        reply_wanted: The receiver of a full state answers with its own.
        version: Of the sender's program.
    """

    type: FrameType | None
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    probe_number: int = 0
    target: str = ""
    target_address: str = ""
    digest: int = 0
    kind: MessageKind | None = None
    body: bytes = b""
    reply_wanted: bool = False
    version: int = VERSION
