"""How one acceptor decides one request for one lease. No I/O and no clock.

An acceptor keeps, for each lease, a record on disk and a grant in memory. Ballots alone
keep the record consistent; the grant determines until when other gateways are refused.
docs/registers.md has the proof. `acceptor_recovery` decides when an acceptor that has
just started may answer at all. Objects that are created for each request are named
tuples, which are created faster than dataclasses.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from milletsill.fleet.leases.ballot import UNWRITTEN, Ballot, RecordVersion
from milletsill.fleet.leases.messages import (
    UNKNOWN,
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
    RequestKind,
)
from milletsill.fleet.leases.timings import LeaseTimings


class LeaseRecord(NamedTuple):
    """An acceptor's record of one lease, which is on disk before the acceptor replies.

    Attributes:
        promised: The highest ballot that was promised.
        version: Version of the last write.
        value: The value of the last write.
        written_at: The acceptor's uptime at the last change, in ticks.
        is_copied: Whether the acceptor copied the write from another acceptor during
            recovery and did not accept it itself. A copied write can be read but is
            not a vote.
    """

    promised: Ballot
    version: RecordVersion
    value: bytes
    written_at: int
    is_copied: bool = False


class LeaseGrant(NamedTuple):
    """An acceptor's grant of one lease, which is only in memory.

    Attributes:
        until: Until when other gateways are refused, in ticks.
        is_released: Whether the holder released the lease before its end.
        value_since: Since when the record has had its value, in ticks on the
            acceptor's clock; None if unknown, as where a former incarnation accepted
            the value.
        is_original: Whether the value was new in the last write.
    """

    until: int
    is_released: bool = False
    value_since: int | None = None
    is_original: bool = False


class LeaseState(NamedTuple):
    """An acceptor's state of one lease when a request arrives.

    Attributes:
        record: The record; None where the acceptor has none.
        grant: The grant; None where nothing was granted. A record that a former
            incarnation wrote has the grant of `grant_after_restart`.
        ballot_floor: The highest ballot round of all records that were removed.
    """

    record: LeaseRecord | None
    grant: LeaseGrant | None
    ballot_floor: int


class BallotRank(Enum):
    """A request's ballot compared with the promised ballot.

    SUPERSEDED: the request is a write, and a later write under the same ballot was
    accepted.
    """

    LOWER = auto()
    SAME = auto()
    HIGHER = auto()
    SUPERSEDED = auto()


class GrantState(Enum):
    """The lease's state from the requester's point of view.

    FREE: there is no grant, or the grant of another gateway has ended. OWN: the last
    grant is the requester's. OTHER: another gateway holds the lease. RELEASED: the last
    holder released it.
    """

    FREE = auto()
    OWN = auto()
    OTHER = auto()
    RELEASED = auto()


class AcceptorAction(Enum):
    """How an acceptor handles a request."""

    PROMISE = auto()
    RENEW = auto()
    ACCEPT = auto()
    RELEASE = auto()
    REJECT_BALLOT = auto()
    REJECT_HELD = auto()
    IGNORE = auto()


_NOT_HELD_BY_OTHER = (GrantState.FREE, GrantState.OWN, GrantState.RELEASED)
_ANSWERED = (RequestKind.PREPARE, RequestKind.ACCEPT)

# A request whose combination is not in the table is ignored.
ACCEPTOR_TABLE: dict[tuple[RequestKind, BallotRank, GrantState], AcceptorAction] = {
    **{
        (kind, rank, GrantState.OTHER): AcceptorAction.REJECT_HELD
        for kind in _ANSWERED
        for rank in (BallotRank.LOWER, BallotRank.HIGHER)
    },
    **{
        (kind, BallotRank.LOWER, grant): AcceptorAction.REJECT_BALLOT
        for kind in _ANSWERED
        for grant in _NOT_HELD_BY_OTHER
    },
    **{
        (RequestKind.PREPARE, BallotRank.HIGHER, grant): AcceptorAction.PROMISE
        for grant in _NOT_HELD_BY_OTHER
    },
    **{
        (RequestKind.ACCEPT, BallotRank.HIGHER, grant): AcceptorAction.ACCEPT
        for grant in _NOT_HELD_BY_OTHER
    },
    **{
        (RequestKind.PREPARE, BallotRank.SAME, grant): AcceptorAction.RENEW
        for grant in GrantState
    },
    **{
        (RequestKind.ACCEPT, BallotRank.SAME, grant): AcceptorAction.ACCEPT
        for grant in GrantState
    },
    **{
        (RequestKind.RELEASE, BallotRank.SAME, grant): AcceptorAction.RELEASE
        for grant in GrantState
    },
    # After a release the ballot is no longer valid. This also rejects requests that
    # were sent before the release and arrive after it.
    **{
        (kind, BallotRank.SAME, GrantState.RELEASED): AcceptorAction.REJECT_BALLOT
        for kind in _ANSWERED
    },
}


class AcceptorOutcome(NamedTuple):
    """The result of a request.

    Attributes:
        record: The record afterwards; the same object if nothing changed.
        grant: The grant afterwards.
        reply: The reply; None where the request has none.
    """

    record: LeaseRecord | None
    grant: LeaseGrant | None
    reply: AcceptorReply | None


def rank_ballot(
    record: LeaseRecord | None, ballot_floor: int, request: AcceptorRequest
) -> BallotRank:
    """Compare a request's ballot with the promised ballot.

    For a lease without a record, all rounds up to the floor count as promised.
    """
    if record is None:
        is_above = request.ballot.round > ballot_floor
        return BallotRank.HIGHER if is_above else BallotRank.LOWER
    if request.ballot != record.promised:
        is_above = request.ballot > record.promised
        return BallotRank.HIGHER if is_above else BallotRank.LOWER
    is_write = request.kind is RequestKind.ACCEPT
    if is_write and (request.ballot, request.number) < record.version:
        return BallotRank.SUPERSEDED
    return BallotRank.SAME


def grant_state(
    record: LeaseRecord | None,
    grant: LeaseGrant | None,
    request: AcceptorRequest,
    now: int,
) -> GrantState:
    """Return the lease's state from the requester's point of view."""
    if record is None or grant is None:
        return GrantState.FREE
    if grant.is_released:
        return GrantState.RELEASED
    if request.ballot.same_holder(record.promised):
        return GrantState.OWN
    return GrantState.FREE if now >= grant.until else GrantState.OTHER


def handle_request(
    state: LeaseState,
    request: AcceptorRequest,
    now: int,
    uptime: int,
    timings: LeaseTimings,
) -> AcceptorOutcome:
    """Decide one request at one acceptor.

    Args:
        state: The acceptor's state of the lease.
        request: The request.
        now: The acceptor's clock, in ticks.
        uptime: Total uptime of the acceptor over all its incarnations, in ticks.
        timings: Durations of leases and requests.
    """
    record = state.record
    grant = state.grant
    rank = rank_ballot(record, state.ballot_floor, request)
    granted_to = grant_state(record, grant, request, now)
    action = ACCEPTOR_TABLE.get((request.kind, rank, granted_to), AcceptorAction.IGNORE)
    if action is AcceptorAction.ACCEPT:
        return _accept(state, request, now, uptime, timings)
    if action is AcceptorAction.PROMISE or action is AcceptorAction.RENEW:
        is_new = action is AcceptorAction.PROMISE
        promised = _promised(record, request.ballot, uptime) if is_new else record
        assert promised is not None
        return _grant_read(promised, grant, request, now, timings)
    if action is AcceptorAction.RELEASE:
        ended = (grant or LeaseGrant(now))._replace(until=now, is_released=True)
        return AcceptorOutcome(record, ended, None)
    if action is AcceptorAction.IGNORE:
        return AcceptorOutcome(record, grant, None)
    is_held = action is AcceptorAction.REJECT_HELD
    return AcceptorOutcome(record, grant, _rejection(state, request, now, is_held))


def _accept(
    state: LeaseState,
    request: AcceptorRequest,
    now: int,
    uptime: int,
    timings: LeaseTimings,
) -> AcceptorOutcome:
    record = state.record
    grant = state.grant
    value_since = None if grant is None else grant.value_since
    is_original = False if grant is None else grant.is_original
    version = RecordVersion(request.ballot, request.number)
    if record is None or record.version != version or record.is_copied:
        has_new_value = record is None or record.value != request.value
        is_original = request.is_original and has_new_value
        # Writing the same value again does not make it younger.
        if has_new_value:
            value_since = _creation_time(request, now)
        record = LeaseRecord(request.ballot, version, request.value, uptime)
    granted = LeaseGrant(
        now + timings.acceptor_duration(), False, value_since, is_original
    )
    reply = AcceptorReply.to_request(request, ReplyStatus.GRANTED)
    return AcceptorOutcome(record, granted, reply)


def _creation_time(request: AcceptorRequest, now: int) -> int | None:
    """Return when a new value was created; None if unknown.

    Guards an idempotency key's retry window against a write that was delayed in
    transit: times within the value count from its creation, not from its arrival. The
    cost: where the creation time is unknown, requests that the value records as in
    flight stay indeterminate.
    """
    if not request.is_original or request.created_at == UNKNOWN:
        return None
    return min(request.created_at, now)


def _promised(record: LeaseRecord | None, ballot: Ballot, uptime: int) -> LeaseRecord:
    if record is None:
        return LeaseRecord(ballot, UNWRITTEN, b"", uptime)
    return record._replace(promised=ballot, written_at=uptime)


def _grant_read(
    record: LeaseRecord,
    grant: LeaseGrant | None,
    request: AcceptorRequest,
    now: int,
    timings: LeaseTimings,
) -> AcceptorOutcome:
    """Grant the lease; the reply contains the last write."""
    value_since = None if grant is None else grant.value_since
    is_original = False if grant is None else grant.is_original
    if record.version == UNWRITTEN:
        value_age = 0
    else:
        value_age = UNKNOWN if value_since is None else now - value_since
    reply = AcceptorReply(
        request.kind,
        request.key,
        request.ballot,
        request.number,
        ReplyStatus.GRANTED,
        record.version,
        record.value,
        value_age,
        is_copied=record.is_copied,
        is_original=is_original,
    )
    granted = LeaseGrant(
        now + timings.acceptor_duration(), False, value_since, is_original
    )
    return AcceptorOutcome(record, granted, reply)


def _rejection(
    state: LeaseState, request: AcceptorRequest, now: int, is_held: bool
) -> AcceptorReply:
    record = state.record
    grant = state.grant
    floor = state.ballot_floor
    reply = AcceptorReply.to_request(request, ReplyStatus.BALLOT_TOO_LOW)
    if record is None or grant is None or not is_held:
        promised_round = floor if record is None else record.promised.round
        return reply._replace(promised_round=promised_round)
    return reply._replace(
        status=ReplyStatus.LEASE_HELD,
        promised_round=record.promised.round,
        retry_delay=grant.until - now,
        holder=record.promised.gateway,
    )


def grant_after_restart(started_at: int, timings: LeaseTimings) -> LeaseGrant:
    """Return the grant of a record that a former incarnation wrote.

    That incarnation may have granted the lease just before it ended.
    """
    return LeaseGrant(started_at + timings.acceptor_duration())


def is_removable(record: LeaseRecord, uptime: int, idle_after: int) -> bool:
    """Whether a lease has been unused for long enough to remove its record."""
    return uptime - record.written_at >= idle_after


def raise_ballot_floor(ballot_floor: int, record: LeaseRecord) -> int:
    """Return the ballot floor after a record is removed.

    Ballots that the record's promise refused stay refused.
    """
    return max(ballot_floor, record.promised.round)
