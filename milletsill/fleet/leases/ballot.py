"""Ballots and record versions, whose order keeps a lease's record consistent.

The record is a CASPaxos register. An acceptor never accepts a lower ballot than it
promised, a write is chosen once a majority of the acceptors accepted it, and a new
lease holder reads from a majority before it writes. The record's consistency does not
depend on clocks.
"""

from __future__ import annotations

from typing import NamedTuple


class Ballot(NamedTuple):
    """A proposal number. Ballots are totally ordered and never reused.

    Attributes:
        round: A counter; a proposer uses a higher round than any that it knows of.
        gateway: Name of the proposer's gateway.
        nonce: Random number that the gateway draws at each start.
    """

    round: int
    gateway: str
    nonce: int

    def same_holder(self, other: Ballot) -> bool:
        """Whether both ballots belong to the same start of the same gateway."""
        return self.gateway == other.gateway and self.nonce == other.nonce


class RecordVersion(NamedTuple):
    """The version of one write: its ballot, and its number under that ballot."""

    ballot: Ballot
    number: int


NO_BALLOT = Ballot(0, "", 0)
UNWRITTEN = RecordVersion(NO_BALLOT, 0)


def majority(acceptors: int) -> int:
    """Return the size of a quorum; any two quorums have an acceptor in common."""
    return acceptors // 2 + 1
