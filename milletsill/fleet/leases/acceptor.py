"""What one acceptor does with one request for one lease. No I/O and no clock.

An acceptor keeps, for each lease, a record on disk and a grant in memory. The record
is safe by ballots alone; the grant says until when other gateways are refused.
docs/registers.md has the argument. `acceptor_recovery` decides when an acceptor that
has just started may answer at all. What is made for each request is a named tuple,
which is made faster than a dataclass.
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
    """What an acceptor has on disk of one lease before it answers.

    Attributes:
        promised: The highest ballot that was promised.
        version: The last write.
        value: What was written.
        written_at: The acceptor's uptime at the last change, in ticks.
        is_copied: The write was not accepted here but copied from another acceptor
            during recovery: it is read, but is no vote.
    """

    promised: Ballot
    version: RecordVersion
    value: bytes
    written_at: int
    is_copied: bool = False


class LeaseGrant(NamedTuple):
    """What an acceptor has only in memory of one lease.

    Attributes:
        until: Until when other gateways are refused, in ticks.
        is_released: The holder released the lease before its end.
        value_since: Since when the record has its value, in ticks of the acceptor's
            clock; None where a former incarnation accepted it.
        is_original: The value was new in the last write.
    """

    until: int
    is_released: bool = False
    value_since: int | None = None
    is_original: bool = False


class LeaseState(NamedTuple):
    """What an acceptor knows of one lease when a request comes.

    Attributes:
        record: None for a lease that it has no record of.
        grant: None where nothing was granted; `grant_after_restart` for a record that
            a former incarnation wrote.
        ballot_floor: The highest round of all records that were removed.
    """

    record: LeaseRecord | None
    grant: LeaseGrant | None
    ballot_floor: int


class BallotRank(Enum):
    """A request's ballot against what was promised.

    SUPERSEDED is a write older than one under the same ballot.
    """

    LOWER = auto()
    SAME = auto()
    HIGHER = auto()
    SUPERSEDED = auto()


class GrantState(Enum):
    """Who has the lease, seen from the requester."""

    FREE = auto()
    OWN = auto()
    OTHER = auto()
    RELEASED = auto()


class AcceptorAction(Enum):
    """What an acceptor does with a request."""

    PROMISE = auto()
    RENEW = auto()
    ACCEPT = auto()
    RELEASE = auto()
    REJECT_BALLOT = auto()
    REJECT_HELD = auto()
    IGNORE = auto()


_NOT_HELD_BY_OTHER = (GrantState.FREE, GrantState.OWN, GrantState.RELEASED)
_ANSWERED = (RequestKind.PREPARE, RequestKind.ACCEPT)

# What is not in the table is ignored.
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
    # A released ballot is over, also for what was sent before and comes late.
    **{
        (kind, BallotRank.SAME, GrantState.RELEASED): AcceptorAction.REJECT_BALLOT
        for kind in _ANSWERED
    },
}


class AcceptorOutcome(NamedTuple):
    """What a request came to.

    Attributes:
        record: The record afterwards; the same object where nothing changed.
        grant: The grant afterwards.
        reply: None where nothing is said.
    """

    record: LeaseRecord | None
    grant: LeaseGrant | None
    reply: AcceptorReply | None


def rank_ballot(
    record: LeaseRecord | None, ballot_floor: int, request: AcceptorRequest
) -> BallotRank:
    """Compare a request's ballot with what was promised.

    A lease without a record counts as promised up to the floor.
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
    """Return who has the lease, seen from the requester."""
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
        state: What the acceptor knows of the lease.
        request: What is asked.
        now: The acceptor's clock, in ticks.
        uptime: For how long the acceptor was up over all its incarnations, in ticks.
        timings: How long leases last.
    """
    record = state.record
    grant = state.grant
    rank = rank_ballot(record, state.ballot_floor, request)
    held = grant_state(record, grant, request, now)
    action = ACCEPTOR_TABLE.get((request.kind, rank, held), AcceptorAction.IGNORE)
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
        # What was there already is no younger for being written again.
        if has_new_value:
            value_since = _creation_time(request, now)
        record = LeaseRecord(request.ballot, version, request.value, uptime)
    granted = LeaseGrant(
        now + timings.acceptor_duration(), False, value_since, is_original
    )
    reply = AcceptorReply.to_request(request, ReplyStatus.GRANTED)
    return AcceptorOutcome(record, granted, reply)


def _creation_time(request: AcceptorRequest, now: int) -> int | None:
    """Return when a new value was made, None for unknown.

    Guards an idempotency key's retry window against a write that was long on its way:
    times within the value count from when it was made, not from when it arrived. Harm:
    where that is unknown, what is in flight in it stays indeterminate.
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
    """Grant the lease and return what was written last."""
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

    It may have granted the lease just before it ended.
    """
    return LeaseGrant(started_at + timings.acceptor_duration())


def is_removable(record: LeaseRecord, uptime: int, idle_after: int) -> bool:
    """Whether a lease was unused for so long that its record may be removed."""
    return uptime - record.written_at >= idle_after


def raise_ballot_floor(ballot_floor: int, record: LeaseRecord) -> int:
    """Return the floor once a record is removed.

    What its ballot refused stays refused.
    """
    return max(ballot_floor, record.promised.round)
