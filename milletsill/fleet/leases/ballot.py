"""Ballots and record versions: the order that keeps a lease's record safe.

The record is a CASPaxos register. An acceptor never goes below a ballot that it
promised, a write counts once a majority of the acceptors accepted it, and a new
lease holder reads a majority before it writes. No clock is part of this.
"""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """A proposal number: ordered, and never used twice.

    Attributes:
        round: Counts up; a proposer goes past the highest round that it knows of.
        gateway: Name of the gateway that proposes.
        nonce: Random number of one start of that gateway.
    """

    round: int
    gateway: str
    nonce: int

    def same_holder(self, other: Ballot) -> bool:
        """Whether both ballots are of one start of one gateway."""
        return self.gateway == other.gateway and self.nonce == other.nonce


class RecordVersion(NamedTuple):
    """The version of one write: its ballot, and its number under that ballot."""

    ballot: Ballot
    number: int


NO_BALLOT = Ballot(0, "", 0)
UNWRITTEN = RecordVersion(NO_BALLOT, 0)


def majority(acceptors: int) -> int:
    """Return the size of a quorum: any two quorums have an acceptor in common."""
    return acceptors // 2 + 1
