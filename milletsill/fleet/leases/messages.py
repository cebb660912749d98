"""Requests of lease proposers to acceptors, and the replies to them.

The values of the enumerations are sent over the network; see `codec`. Messages are
named tuples, which are made faster than dataclasses: there is one for each request.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from milletsill.fleet.leases.ballot import UNWRITTEN, Ballot, RecordVersion

MAX_KEY_BYTES = 255
MAX_VALUE_BYTES = 16_384
UNKNOWN = -1  # for an age or a time
# Creation time of a request from a gateway of an earlier version, which does not
# send when its value was made: the value counts from its arrival.
CREATED_ON_ARRIVAL = 1 << 62


class RequestKind(Enum):
    """What a proposer asks of the acceptors.

    PREPARE asks for a promise of the ballot and reads the record; of a ballot that is
    promised already it renews the lease. ACCEPT writes the record. RELEASE ends the
    lease at once and has no reply.
    """

    PREPARE = 1
    ACCEPT = 2
    RELEASE = 3


class ReplyStatus(Enum):
    """How an acceptor answers a request.

    GRANTED is a promise or an acceptance. BALLOT_TOO_LOW and LEASE_HELD are refusals.
    UNAVAILABLE: the acceptor may not answer now.
    """

    GRANTED = 1
    BALLOT_TOO_LOW = 2
    LEASE_HELD = 3
    UNAVAILABLE = 4


class AcceptorRequest(NamedTuple):
    """One request, the same to each acceptor.

    Attributes:
        kind: What is asked.
        key: The lease's name.
        ballot: The proposer's ballot.
        number: Number of the write (ACCEPT) or of the renewal (PREPARE) under the
            ballot.
        value: The whole record (ACCEPT).
        is_original: The value is new in this write (ACCEPT); false where a new holder
            writes again what it read.
        created_at: When the value was made, at the earliest, in ticks on the clock of
            whoever has the request.
    """

    kind: RequestKind
    key: str
    ballot: Ballot
    number: int = 0
    value: bytes = b""
    is_original: bool = False
    created_at: int = CREATED_ON_ARRIVAL


class AcceptorReply(NamedTuple):
    """The reply to a request, whose first four fields it repeats.

    Attributes:
        kind: As in the request.
        key: As in the request.
        ballot: As in the request.
        number: As in the request.
        status: The answer.
        version: Version of the last write (granted PREPARE).
        value: The record (granted PREPARE).
        value_age: For how long the record has had this value, in ticks, or `UNKNOWN`
            (granted PREPARE).
        promised_round: Round of the ballot that was promised (refusals).
        retry_delay: When to come back, in ticks (LEASE_HELD and UNAVAILABLE).
        holder: Name of the gateway that holds the lease (LEASE_HELD).
        is_copied: The acceptor did not accept the write, it copied it from another.
        is_original: The value was new in the last write.
    """

    kind: RequestKind
    key: str
    ballot: Ballot
    number: int
    status: ReplyStatus
    version: RecordVersion = UNWRITTEN
    value: bytes = b""
    value_age: int = UNKNOWN
    promised_round: int = 0
    retry_delay: int = 0
    holder: str = ""
    is_copied: bool = False
    is_original: bool = False

    @classmethod
    def to_request(
        cls, request: AcceptorRequest, status: ReplyStatus, retry_delay: int = 0
    ) -> AcceptorReply:
        """Return a reply without a record."""
        return cls(
            request.kind,
            request.key,
            request.ballot,
            request.number,
            status,
            retry_delay=retry_delay,
        )
