"""The messages that frames carry, independent of their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from milletsill.fleet.transport import MemberState, MessageKind

VERSION = 1


class FrameType(Enum):
    """The purpose of a frame; values are on the wire (`what` in fleet.proto)."""

    PROBE = 1  # asks the target for an ack
    ACK = 2  # reports that the target is alive
    INDIRECT_PROBE = 3  # asks the receiver to probe the target for the sender
    GOSSIP = 4  # carries only piggybacked updates
    DIGEST = 5  # carries the sender's view digest for the receiver to compare
    FULL_STATE = 6  # carries all members that the sender knows
    APPLICATION = 7  # carries a message of another part of the program
    DUPLICATE_NAME = 8  # reports that another live gateway has the receiver's name


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What a frame reports about one member.

    Attributes:
        name: The member's name.
        incarnation: A counter that grows with each start of the member.
        nonce: A random number drawn at each start, which distinguishes two starts with
            the same incarnation.
        refutation: A counter that grows when the member refutes a suspicion (SWIM's
            incarnation number).
        state: The state that the sender holds for the member.
        address: host:port; empty if the receiver already knows it.
        age: Tenths of a millisecond since the member became gone or left.
        suspected_by: Names of the members that suspect this member.
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
    """The decoded content of one frame.

    Attributes:
        type: The frame's type; None for a type that only a later version defines, whose
            sender and updates are still used.
        sender: The sending gateway, with its address.
        updates: Piggybacked updates, or the members of a full state.
        probe_number: The number of a relayed probe, which its ack repeats; 0 for none.
        target: The name of the member that is probed, or that an ack reports alive.
        target_address: The address of an indirect probe's target.
        digest: The sender's view digest.
        kind: The kind of an application message; None for a kind that only a later
            version defines.
        body: The body of an application message.
        reply_wanted: Whether the receiver of a full state answers with its own.
        version: The protocol version of the sender.
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
