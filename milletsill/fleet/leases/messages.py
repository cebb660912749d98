"""Requests of lease proposers to acceptors, and the replies to them.

The values of the enumerations are sent over the network; see `codec`. Messages are
named tuples because one is created for each request, and a named tuple is created
faster than a dataclass.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from milletsill.fleet.leases.ballot import UNWRITTEN, Ballot, RecordVersion

MAX_KEY_BYTES = 255
MAX_VALUE_BYTES = 16_384
UNKNOWN = -1  # an age or a time that is not known
# Creation time of a request from a gateway of an earlier version. Such a gateway does
# not send the creation time of the value, so the value's age counts from its arrival.
CREATED_ON_ARRIVAL = 1 << 62


class RequestKind(Enum):
    """The kinds of request that a proposer sends to the acceptors.

    PREPARE asks for a promise of the ballot and reads the record; for a ballot that is
    already promised it renews the lease. ACCEPT writes the record. RELEASE ends the
    lease at once and has no reply.
    """

    PREPARE = 1
    ACCEPT = 2
    RELEASE = 3


class ReplyStatus(Enum):
    """The result of a request at one acceptor.

    GRANTED is a promise or an acceptance. BALLOT_TOO_LOW and LEASE_HELD are refusals.
    UNAVAILABLE means that the acceptor cannot decide the request at present.
    """

    GRANTED = 1
    BALLOT_TOO_LOW = 2
    LEASE_HELD = 3
    UNAVAILABLE = 4


class AcceptorRequest(NamedTuple):
    """One request; every acceptor receives the same one.

    Attributes:
        kind: The kind of the request.
        key: The lease's name.
        ballot: The proposer's ballot.
        number: Number of the write (ACCEPT) or of the renewal (PREPARE) under the
            ballot.
        value: The whole record (ACCEPT).
        is_original: Whether the value is new in this write (ACCEPT); false where a new
            holder writes the value again that it read.
        created_at: The earliest time at which the value can have been created, in
            ticks on the clock of the gateway that handles the request.
    """

    kind: RequestKind
    key: str
    ballot: Ballot
    number: int = 0
    value: bytes = b""
    is_original: bool = False
    created_at: int = CREATED_ON_ARRIVAL


class AcceptorReply(NamedTuple):
    """The reply to a request; its first four fields are copied from the request.

    Attributes:
        kind: As in the request.
        key: As in the request.
        ballot: As in the request.
        number: As in the request.
        status: Whether the request was granted, or why not.
        version: Version of the last write (granted PREPARE).
        value: The record (granted PREPARE).
        value_age: How long the record has had this value, in ticks, or `UNKNOWN`
            (granted PREPARE).
        promised_round: Round of the promised ballot (refusals).
        retry_delay: Time after which a retry can succeed, in ticks (LEASE_HELD and
            UNAVAILABLE).
        holder: Name of the gateway that holds the lease (LEASE_HELD).
        is_copied: Whether the acceptor copied the write from another acceptor and did
            not accept it itself.
        is_original: Whether the value was new in the last write.
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
        """Return a reply to a request, without a record."""
        return cls(
            request.kind,
            request.key,
            request.ballot,
            request.number,
            status,
            retry_delay=retry_delay,
        )
